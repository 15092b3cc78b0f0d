#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

#include "sidecar/decision_log.h"

namespace jujubefront {
namespace {

class DecisionLogTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DecisionLogTests);
  CPPUNIT_TEST(EveryKindOfDecisionCanBeLogged);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The line budgets had a fixed number of kinds. The last kind, unreadable
  // input, ended the process when kinds were added.
  void EveryKindOfDecisionCanBeLogged() {
    DecisionLog log({});
    std::set<std::string> names;
    for (std::size_t kind = 0; kind < kDecisionKinds; ++kind) {
      const Decision decision{.kind_ = static_cast<DecisionKind>(kind)};
      log.Write(Timestamp{}, decision);
      names.insert(DecisionName(decision.kind_));
    }
    CPPUNIT_ASSERT_EQUAL(kDecisionKinds, names.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecisionLogTests);

}  // namespace
}  // namespace jujubefront
