#include <cppunit/extensions/HelperMacros.h>

#include "relaymodel/experiment.h"
#include "relaymodel/fleets.h"

namespace jujubefront {
namespace {

using std::chrono::seconds;

class CrashWaveTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashWaveTests);
  CPPUNIT_TEST(CrashWavesCondemnNoContent);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Load pattern: backend servers crash in waves for reasons other than
  // content. Every run in progress is charged, and with identical requests the
  // same content each time. No request may be refused as suspect for that,
  // whether the requests of a route are identical or all different.
  void CrashWavesCondemnNoContent() {
    for (const bool alike : {true, false}) {
      for (const double factor : {0.5, 1.5}) {
        std::vector<FleetCrash> crashes;
        for (int wave = 0; wave < 3; ++wave) {
          for (const char* service : {"warranty", "payments", "jobs"}) {
            crashes.push_back({.service_ = service,
                               .at_ = seconds(2 + 4 * wave),
                               .share_ = 0.34});
          }
        }
        const FleetResult result = RunFleet(BrolgaFleet(true), {},
                                            {.length_ = seconds(14),
                                             .crashes_ = crashes,
                                             .identical_requests_ = alike,
                                             .base_factor_ = factor});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, result.harmless_refused_);
        CPPUNIT_ASSERT(result.worth_share_ > 0.5);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashWaveTests);

}  // namespace
}  // namespace jujubefront
