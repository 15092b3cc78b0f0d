#include <cppunit/extensions/HelperMacros.h>

#include "allocation/region_plan.h"

namespace jujubefront {
namespace {

constexpr double kTolerance = 0.01;

RouteProfile Profile(const char* route, const char* service, double seconds,
                     std::map<std::string, double> calls = {}) {
  return {.route_ = route,
          .service_ = service,
          .runs_ = 10,
          .slot_seconds_ = seconds,
          .calls_ = std::move(calls)};
}

// Two routes whose trees call a leaf, one that asks the leaf directly, and one
// that does not need it.
std::map<std::string, RouteProfile> Costs() {
  return {{"catalogue", Profile("catalogue", "front", 0.1, {{"score", 8}})},
          {"redeem", Profile("redeem", "front", 0.1, {{"score", 4}})},
          {"balance", Profile("balance", "leaf", 0.04)},
          {"statement", Profile("statement", "archive", 0.25)},
          {"score", Profile("score", "leaf", 0.025)}};
}

// Needed at the leaf: balance 4, catalogue 40, redeem 10 slots.
std::vector<RouteDemand> Demands() {
  return {{.route_ = "balance", .priority_ = 0, .per_second_ = 100},
          {.route_ = "catalogue", .priority_ = 1, .per_second_ = 200},
          {.route_ = "statement", .priority_ = 1, .per_second_ = 50},
          {.route_ = "redeem", .priority_ = 2, .per_second_ = 100}};
}

RegionStatement Region(const char* name, double leaf, double front = 500) {
  RegionStatement region{.region_ = name,
                         .demands_ = Demands(),
                         .slots_ = {{"front", front}, {"archive", 500}}};
  if (leaf > 0.0) {
    region.slots_["leaf"] = leaf;
  } else {
    region.lacking_ = {"leaf"};
  }
  return region;
}

double ValueOr(const std::map<std::string, double>& map, const char* key,
               double fallback) {
  const auto found = map.find(key);
  return found == map.end() ? fallback : found->second;
}

double RemoteOf(const RegionPlan& plan, const char* route) {
  const auto found = plan.remote_.find(route);
  return found == plan.remote_.end() ? 0.0 : found->second.share_;
}

class RegionPlanTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegionPlanTests);
  CPPUNIT_TEST(RegionsShareTheSlotsOfALackingService);
  CPPUNIT_TEST(BothRegionsPlanTheSame);
  CPPUNIT_TEST(WithoutTheOtherRegionNothingIsAdmitted);
  CPPUNIT_TEST(OtherServicesOfTheLendingRegionLimitToo);
  CPPUNIT_TEST(NoRouteIsStarved);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A region that has lost a called service went on admitting roots, whose
  // calls crossed one by one and failed at the other region's full servers.
  void RegionsShareTheSlotsOfALackingService() {
    struct Row {
      const char* name_;
      double leaf_slots_;  // in the other region; 108 are needed
      double balance_;
      double catalogue_;
      double redeem_;
    };
    const Row rows[] = {
        {"room for all", 120, 1.0, 1.0, 1.0},
        {"little room for the least important", 94, 1.0, 1.0, 0.3},
        {"part of the middle", 47, 1.0, 0.45, 0.152},
        {"part of all", 4, 0.344, 0.013, 0.013},
    };
    for (const Row& row : rows) {
      const RegionStatement own = Region("south", 0);
      const RegionPlan plan =
          PlanRegions(Costs(), own, {}, {Region("north", row.leaf_slots_)},
                      {.utilisation_ = 1.0});
      CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(
          row.name_, row.balance_, ValueOr(plan.admitted_, "balance", 1),
          kTolerance);
      CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(
          row.name_, row.catalogue_, ValueOr(plan.admitted_, "catalogue", 1),
          kTolerance);
      CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(row.name_, row.redeem_,
                                           ValueOr(plan.admitted_, "redeem", 1),
                                           kTolerance);
      // All that is admitted runs in the other region, from the root.
      CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, RemoteOf(plan, "balance"), kTolerance);
      CPPUNIT_ASSERT(!plan.admitted_.contains("statement"));
      CPPUNIT_ASSERT_EQUAL(0.0, RemoteOf(plan, "statement"));
    }
  }

  // Otherwise the region with the servers would fill them with its own
  // unimportant requests, while important ones of the other are rejected.
  void BothRegionsPlanTheSame() {
    for (const double leaf_slots : {120.0, 88.0, 48.0, 4.0}) {
      const RegionStatement south = Region("south", 0);
      const RegionStatement north = Region("north", leaf_slots);
      const AllocationOptions options{.utilisation_ = 1.0};
      const RegionPlan borrows =
          PlanRegions(Costs(), south, {}, {north}, options);
      const RegionPlan lends =
          PlanRegions(Costs(), north, {}, {south}, options);
      double used = 0.0;
      for (const RouteDemand& demand : Demands()) {
        const char* route = demand.route_.c_str();
        CPPUNIT_ASSERT_DOUBLES_EQUAL(ValueOr(lends.admitted_, route, 1),
                                     ValueOr(borrows.admitted_, route, 1),
                                     kTolerance);
        CPPUNIT_ASSERT_EQUAL(0.0, RemoteOf(lends, route));
        const auto cost = TreeCost(Costs(), route);
        const auto leaf = cost.find("leaf");
        if (leaf == cost.end()) continue;
        used += 2 * leaf->second * demand.per_second_ *
                ValueOr(lends.admitted_, route, 1);
      }
      CPPUNIT_ASSERT(used <= leaf_slots * (1.0 + kTolerance));
    }
  }

  // The link between the regions is cut, or no statement has arrived yet: trees
  // that cannot complete are rejected, others are not affected.
  void WithoutTheOtherRegionNothingIsAdmitted() {
    const RegionPlan plan =
        PlanRegions(Costs(), Region("south", 0), {}, {}, {.utilisation_ = 1.0});
    for (const char* route : {"balance", "catalogue", "redeem"}) {
      CPPUNIT_ASSERT_EQUAL(0.0, ValueOr(plan.admitted_, route, 1));
      CPPUNIT_ASSERT_EQUAL(0.0, RemoteOf(plan, route));
    }
    CPPUNIT_ASSERT(!plan.admitted_.contains("statement"));
  }

  // Whole trees run in the other region, so that it needs room at every service
  // in them. Its own demand uses 30 of its front slots; the trees need 30 more.
  void OtherServicesOfTheLendingRegionLimitToo() {
    const RegionPlan plan =
        PlanRegions(Costs(), Region("south", 0), {}, {Region("north", 120, 45)},
                    {.utilisation_ = 1.0});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.75, plan.admitted_.at("catalogue"),
                                 kTolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, plan.admitted_.at("redeem"), kTolerance);
  }

  // By priority alone, the least important route would not be served at all. It
  // must be served at least a quarter as often as all are.
  void NoRouteIsStarved() {
    for (const double leaf_slots : {88.0, 60.0, 48.0, 20.0}) {
      const RegionPlan plan =
          PlanRegions(Costs(), Region("south", 0), {},
                      {Region("north", leaf_slots)}, {.utilisation_ = 1.0});
      double served = 0.0;
      double asked = 0.0;
      for (const RouteDemand& demand : Demands()) {
        asked += demand.per_second_;
        served += demand.per_second_ *
                  ValueOr(plan.admitted_, demand.route_.c_str(), 1);
      }
      for (const char* route : {"balance", "catalogue", "redeem"}) {
        CPPUNIT_ASSERT_MESSAGE(
            std::string(route) + " at " + std::to_string(leaf_slots),
            plan.admitted_.at(route) >= 0.25 * plan.admitted_.at("catalogue"));
      }
      CPPUNIT_ASSERT(served > 0.0 && served <= asked);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegionPlanTests);

}  // namespace
}  // namespace jujubefront
