#include <cppunit/extensions/HelperMacros.h>

#include "relaymodel/experiment.h"
#include "relaymodel/fleets.h"

namespace jujubefront {
namespace {

class LargeRegionTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LargeRegionTests);
  CPPUNIT_TEST(LargeRegionWithoutSlotsUsesThoseOfTheOther);
  CPPUNIT_TEST_SUITE_END();

 public:
  // RegionWithoutSlotsUsesThoseOfTheOther with 97 hosts: the called service of
  // one region has a quarter of its slots, the other region has free ones.
  void LargeRegionWithoutSlotsUsesThoseOfTheOther() {
    Fleet fleet = LargeBrolgaFleet();
    for (FleetHost& host : fleet.hosts_) {
      if (host.region_ == "north" && host.service_ == "jobs") host.slots_ /= 4;
    }
    const FleetResult result = RunFleet(
        fleet, {}, {.length_ = std::chrono::seconds(16), .base_factor_ = 0.6});
    for (const auto& [route, counts] : result.routes_) {
      const double served = static_cast<double>(counts.in_time_) /
                            static_cast<double>(counts.requested_);
      CPPUNIT_ASSERT_MESSAGE(route, served >= 0.95);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LargeRegionTests);

}  // namespace
}  // namespace jujubefront
