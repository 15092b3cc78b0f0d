#include <cppunit/extensions/HelperMacros.h>

#include "base/hashing.h"
#include "context/answer.h"
#include "context/priority.h"

namespace jujubefront {
namespace {

class ContextTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ContextTests);
  CPPUNIT_TEST(TierOutranksCohort);
  CPPUNIT_TEST(CutOffOrAlteredBodiesAreNotWhole);
  CPPUNIT_TEST(StatusDistinguishesNotRunFromUnknown);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TierOutranksCohort() {
    RandomState random{.state_ = 1};
    for (int i = 0; i < 1000; ++i) {
      CallContext callout{.tier_ = 0};
      CallContext status{.tier_ = 1};
      callout.root_key_.low_ = NextRandom(random);
      status.root_key_.low_ = NextRandom(random);
      CPPUNIT_ASSERT(PriorityOf(callout) < PriorityOf(status));
    }
  }

  // Guards against delivering an answer that was truncated or corrupted between
  // nodes.
  void CutOffOrAlteredBodiesAreNotWhole() {
    const std::string text = "{\"job\":7}";
    Answer answer;
    answer.body_ = std::make_shared<const std::string>(text);
    answer.body_hash_ = HashBytes(text);
    CPPUNIT_ASSERT(IsWhole(answer, text.size()));
    CPPUNIT_ASSERT(!IsWhole(answer, text.size() + 1));
    answer.body_ = std::make_shared<const std::string>("{\"job\":8}");
    CPPUNIT_ASSERT(!IsWhole(answer, text.size()));
    answer.body_ = nullptr;
    CPPUNIT_ASSERT(!IsWhole(answer, text.size()));
  }

  void StatusDistinguishesNotRunFromUnknown() {
    struct Row {
      Verdict verdict_;
      Reason reason_;
      int status_;
    };
    const Row rows[] = {{Verdict::kNotRun, Reason::kOverloaded, 503},
                        {Verdict::kNotRun, Reason::kUnknownService, 404},
                        {Verdict::kUnknown, Reason::kPeerLost, 504},
                        {Verdict::kExpired, Reason::kKeyTooOld, 410},
                        {Verdict::kCondemned, Reason::kCrashes, 422},
                        {Verdict::kFailed, Reason::kBackendBroken, 502},
                        {Verdict::kFailed, Reason::kOverloaded, 503}};
    for (const Row& row : rows) {
      const Answer answer = EmptyAnswer(row.verdict_, row.reason_);
      CPPUNIT_ASSERT_EQUAL(row.status_, HttpStatusOf(answer));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ContextTests);

}  // namespace
}  // namespace jujubefront
