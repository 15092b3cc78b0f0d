#include <cppunit/extensions/HelperMacros.h>

#include "allocation/allocation.h"
#include "allocation/overflow.h"
#include "allocation/tree_success.h"

namespace jujubefront {
namespace {

RouteProfile Profile(const char* route, const char* service, double seconds,
                     std::map<std::string, double> calls = {}) {
  return {.route_ = route,
          .service_ = service,
          .runs_ = 10,
          .slot_seconds_ = seconds,
          .calls_ = std::move(calls)};
}

// A leaf service with few slots that every client request calls several times.
std::map<std::string, RouteProfile> FanOut() {
  return {{"check", Profile("check", "front", 0.1, {{"stock", 4}})},
          {"deposit", Profile("deposit", "front", 0.2, {{"stock", 8}})},
          {"status", Profile("status", "leaf", 0.05)},
          {"stock", Profile("stock", "leaf", 0.05)}};
}

class AllocationTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AllocationTests);
  CPPUNIT_TEST(AdmitsByPriorityAgainstTheNarrowestService);
  CPPUNIT_TEST(CountsWholeTrees);
  CPPUNIT_TEST(LeavesOutCycles);
  CPPUNIT_TEST(AllocatesLessWhereRunsWait);
  CPPUNIT_TEST(TreesCompleteAtARejectingLeaf);
  CPPUNIT_TEST(ReturningRequestsGoFirst);
  CPPUNIT_TEST(OverflowTakesFreeSlotsOfTheWholeTree);
  CPPUNIT_TEST(OverflowSettlesAtTheFreeSlots);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against fan-out overload: requests are admitted although the leaf
  // service that all of them call cannot run their calls.
  void AdmitsByPriorityAgainstTheNarrowestService() {
    struct Row {
      double leaf_slots_;
      double status_;
      double deposit_;
      double check_;
    };
    // Needed at the leaf: deposits 4, statuses 1, checks 2 slots.
    const Row rows[] = {
        {100, 1.0, 1.0, 1.0}, {6, 1.0, 1.0, 0.5}, {5, 1.0, 1.0, 0.0},
        {4.5, 0.5, 1.0, 0.0}, {2, 0.0, 0.5, 0.0},
    };
    const std::vector<RouteDemand> demands = {
        {.route_ = "deposit", .priority_ = 0, .per_second_ = 10},
        {.route_ = "status", .priority_ = 1, .per_second_ = 20},
        {.route_ = "check", .priority_ = 2, .per_second_ = 10}};
    for (const Row& row : rows) {
      const auto admitted =
          Allocate(FanOut(), demands, {{"leaf", row.leaf_slots_}},
                   {.utilisation_ = 1.0});
      CPPUNIT_ASSERT_DOUBLES_EQUAL(row.deposit_, admitted.at("deposit"), 1e-9);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(row.status_, admitted.at("status"), 1e-9);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(row.check_, admitted.at("check"), 1e-9);
    }
  }

  void CountsWholeTrees() {
    const auto cost = TreeCost(FanOut(), "deposit");
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.2, cost.at("front"), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.4, cost.at("leaf"), 1e-9);
    const auto runs = TreeRuns(FanOut(), "deposit");
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, runs.at("front"), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(8.0, runs.at("leaf"), 1e-9);
  }

  // Guards against walking a cycle. Measured call counts can contain one by
  // chance: with two routes that seemed to call each other, a walk to a fixed
  // depth used all processor time.
  void LeavesOutCycles() {
    std::map<std::string, RouteProfile> profiles;
    for (const char* route : {"a", "b", "c"}) {
      profiles[route] =
          Profile(route, route, 0.1, {{"a", 2}, {"b", 2}, {"c", 2}});
    }
    const auto cost = TreeCost(profiles, "a");
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, cost.at("a"), 1e-9);
    CPPUNIT_ASSERT(cost.at("b") < 10.0);
  }

  void AllocatesLessWhereRunsWait() {
    ServicePressure pressure;
    CPPUNIT_ASSERT(!IsSaturated(pressure));
    // 1.5 runs per slot for ten seconds.
    for (int i = 0; i < 20; ++i) pressure = UpdatePressure(pressure, 1.5);
    CPPUNIT_ASSERT(IsSaturated(pressure));
    CPPUNIT_ASSERT(pressure.correction_ < 0.7);
    for (int i = 0; i < 20; ++i) pressure = UpdatePressure(pressure, 0.3);
    CPPUNIT_ASSERT(!IsSaturated(pressure));
  }

  // Guards against admitting requests whose call trees cannot complete: a leaf
  // service rejects a share of its arrivals, and each tree calls it several
  // times.
  void TreesCompleteAtARejectingLeaf() {
    struct Row {
      double rejected_;
      double runs_;
      double ratio_;
      double min_;
      double max_;
    };
    const Row rows[] = {
        {0.0, 8, 0.15, 1.0, 1.0},    {0.02, 8, 0.15, 1.0, 1.0},
        {0.1, 8, 0.15, 0.99, 1.0},  // the retries cover all
        {0.3, 1, 0.0, 0.7, 0.7},     {0.3, 4, 0.0, 0.24, 0.24},
        {0.3, 4, 0.15, 0.4, 0.6},    {0.3, 8, 0.15, 0.15, 0.3},
        {0.55, 4, 0.15, 0.05, 0.15}, {0.55, 8, 0.15, 0.0, 0.1},
        {1.0, 4, 0.15, 0.0, 0.01},
    };
    for (const Row& row : rows) {
      const double completion_share =
          TreeCompletionShare(row.rejected_, row.runs_, row.ratio_);
      CPPUNIT_ASSERT(completion_share >= row.min_ - 0.001);
      CPPUNIT_ASSERT(completion_share <= row.max_ + 0.001);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, ShareWorthAdmitting(0.5), 1e-9);
    CPPUNIT_ASSERT(ShareWorthAdmitting(0.04) < 0.5);
    // A few are always admitted, to detect when the rejections end.
    CPPUNIT_ASSERT(ShareWorthAdmitting(0.0) > 0.0);
  }

  // Guards against refusing a returning request in favour of new ones: clients
  // that were refused send again at the time given, among new requests. The
  // admitted fraction over both kinds must stay the same.
  void ReturningRequestsGoFirst() {
    struct Row {
      double fraction_;
      double returning_;  // share of arrivals
      double admitted_fresh_;
      double admitted_returning_;
    };
    const Row rows[] = {{1.0, 0.3, 1.0, 1.0},      {0.5, 0.0, 0.5, 1.0},
                        {0.5, 0.25, 1.0 / 3, 1.0}, {0.5, 0.5, 0.0, 1.0},
                        {0.2, 0.4, 0.0, 0.5},      {0.0, 0.5, 0.0, 0.0}};
    for (const Row& row : rows) {
      const AdmissionSplit split =
          SplitAdmission(row.fraction_, row.returning_);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(row.admitted_fresh_, split.fresh_, 1e-9);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(row.admitted_returning_, split.returning_,
                                   1e-9);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(row.fraction_,
                                   split.fresh_ * (1.0 - row.returning_) +
                                       split.returning_ * row.returning_,
                                   1e-9);
    }
  }

  // Guards against requests that another region admits to one service and
  // cannot complete at the next, and against less important requests that take
  // its free slots first. Needed at the leaf for a request: deposit 0.4 s,
  // check 0.2 s; at the front 0.2 s and 0.1 s.
  void OverflowTakesFreeSlotsOfTheWholeTree() {
    struct Row {
      const char* name_;
      std::vector<RemoteRegion> regions_;
      double deposit_;
      double check_;
      const char* region_;
    };
    const Row rows[] = {
        {"no other region", {}, 0.0, 0.0, ""},
        {"slots for all",
         {{"south", {{"front", {100, 0}}, {"leaf", {100, 0}}}}},
         1.0,
         1.0,
         "south"},
        {"leaf is full",
         {{"south", {{"front", {100, 0}}, {"leaf", {100, 70}}}}},
         0.0,
         0.0,
         ""},
        {"leaf is not known", {{"south", {{"front", {100, 0}}}}}, 0.0, 0.0, ""},
        {"slots for the more important route",
         {{"south", {{"front", {100, 0}}, {"leaf", {10, 5}}}}},
         1.0,
         0.0,
         "south"},
        {"the region with more free slots",
         {{"south", {{"front", {100, 0}}, {"leaf", {100, 69}}}},
          {"west", {{"front", {100, 0}}, {"leaf", {100, 0}}}}},
         1.0,
         1.0,
         "west"},
    };
    const std::vector<RouteDemand> demands = {
        {.route_ = "check", .priority_ = 2, .per_second_ = 10},
        {.route_ = "deposit", .priority_ = 0, .per_second_ = 10}};
    for (const Row& row : rows) {
      std::map<std::string, RouteOverflow> plan;
      // Repeated, as a plan follows its inputs gradually. The other regions
      // report the planned runs as well.
      for (int i = 0; i < 30; ++i) {
        std::vector<RemoteRegion> regions = row.regions_;
        for (const auto& [route, overflow] : plan) {
          for (RemoteRegion& region : regions) {
            if (region.region_ != overflow.region_) continue;
            for (const auto& [service, cost] : TreeCost(FanOut(), route)) {
              region.services_[service].runs_ += cost * overflow.per_second_;
            }
          }
        }
        plan =
            PlanOverflow(FanOut(), demands, {{"deposit", 0.5}, {"check", 0.0}},
                         regions, plan, {.reserved_share_ = 0.3});
      }
      CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(row.name_, row.deposit_,
                                           plan["deposit"].share_, 0.02);
      CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(row.name_, row.check_,
                                           plan["check"].share_, 0.02);
      if (row.deposit_ > 0.0) {
        CPPUNIT_ASSERT_EQUAL(std::string(row.region_), plan["deposit"].region_);
      }
    }
  }

  // The other region's report is four plans old and contains what overflows
  // already. Guards against a plan that alternates between everything and
  // nothing, and against one that uses reserved slots.
  void OverflowSettlesAtTheFreeSlots() {
    constexpr double kOwnRuns = 20.0;
    constexpr std::size_t kReportAge = 4;
    const std::vector<RouteDemand> demands = {
        {.route_ = "check", .per_second_ = 400}};
    std::map<std::string, RouteOverflow> plan;
    std::vector<double> overflowing(kReportAge, 0.0);  // runs at the leaf
    for (int i = 0; i < 80; ++i) {
      const double reported = overflowing[overflowing.size() - kReportAge];
      plan = PlanOverflow(
          FanOut(), demands, {{"check", 0.0}},
          {{"south",
            {{"front", {1000, 0}}, {"leaf", {100, kOwnRuns + reported}}}}},
          plan, {.reserved_share_ = 0.3});
      overflowing.push_back(plan["check"].per_second_ * 0.2);
      CPPUNIT_ASSERT(overflowing.back() <= 80.0);
    }
    for (std::size_t i = overflowing.size() - 20; i < overflowing.size(); ++i) {
      CPPUNIT_ASSERT_DOUBLES_EQUAL(50.0, overflowing[i], 5.0);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AllocationTests);

}  // namespace
}  // namespace jujubefront
