#include <cppunit/extensions/HelperMacros.h>

#include "routing/routing.h"

namespace jujubefront {
namespace {

const Timestamp kNow(std::chrono::seconds(1'790'000'000));

class RoutingTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoutingTests);
  CPPUNIT_TEST(LocalRegionComesFirst);
  CPPUNIT_TEST(LevelsExcludeOrMoveCalls);
  CPPUNIT_TEST(FailuresEjectForAWhile);
  CPPUNIT_TEST(CrossingsAreBounded);
  CPPUNIT_TEST(LoadSpreads);
  CPPUNIT_TEST_SUITE_END();

  RandomState random_{.state_ = 7};

  Route Choose(RoutingState& state, const std::vector<Candidate>& candidates,
               Priority priority = 0, Timestamp now = kNow) {
    return ChooseTarget(state, {}, now, candidates, "status", priority,
                        random_);
  }

 public:
  void LocalRegionComesFirst() {
    RoutingState state;
    const std::vector<Candidate> candidates = {
        {"far", Locality::kOtherRegion}, {"near", Locality::kLocalRegion}};
    for (int i = 0; i < 50; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("near"),
                           Choose(state, candidates).target_);
    }
  }

  void LevelsExcludeOrMoveCalls() {
    struct Row {
      AdmissionLevel local_level_;
      AdmissionLevel remote_level_;
      const char* target_;
      RouteFailure failure_;
    };
    const Row rows[] = {
        {kAdmitAll, kAdmitAll, "near", RouteFailure::kNone},
        {100, kAdmitAll, "far", RouteFailure::kNone},
        {100, 100, "", RouteFailure::kOverloaded},
    };
    for (const Row& row : rows) {
      RoutingState state;
      RecordLevel(state, kNow, "near", "status", row.local_level_);
      RecordLevel(state, kNow, "far", "status", row.remote_level_);
      const Route route = Choose(
          state,
          {{"near", Locality::kLocalZone}, {"far", Locality::kOtherRegion}},
          200);
      CPPUNIT_ASSERT_EQUAL(std::string(row.target_), route.target_);
      CPPUNIT_ASSERT(row.failure_ == route.failure_);
    }
    RoutingState empty;
    CPPUNIT_ASSERT(Choose(empty, {}).failure_ == RouteFailure::kNoTarget);
  }

  // Guards against calls to a failed target, and against never trying it again.
  void FailuresEjectForAWhile() {
    RoutingState state;
    const RoutingOptions options;
    const std::vector<Candidate> candidates = {{"a", Locality::kLocalZone},
                                               {"b", Locality::kLocalZone}};
    for (std::uint32_t i = 0; i < options.failures_to_eject_; ++i) {
      RecordSent(state, "a");
      RecordEnded(state, options, kNow, "a", SendOutcome::kFailed, Duration());
    }
    for (int i = 0; i < 50; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("b"), Choose(state, candidates).target_);
    }
    const Timestamp later = kNow + options.first_ejection_;
    bool back = false;
    for (int i = 0; i < 50; ++i) {
      back = back || Choose(state, candidates, 0, later).target_ == "a";
    }
    CPPUNIT_ASSERT(back);
  }

  // Guards against moving a whole region's load over the link between regions.
  void CrossingsAreBounded() {
    RoutingState state;
    int crossed = 0;
    for (int i = 0; i < 1000; ++i) {
      const auto route = Choose(state, {{"far", Locality::kOtherRegion}});
      if (!route.target_.empty()) ++crossed;
    }
    CPPUNIT_ASSERT_EQUAL(200, crossed);
  }

  void LoadSpreads() {
    RoutingState state;
    const std::vector<Candidate> candidates = {{"a", Locality::kLocalZone},
                                               {"b", Locality::kLocalZone},
                                               {"c", Locality::kLocalRegion}};
    for (int i = 0; i < 300; ++i) {
      RecordSent(state, Choose(state, candidates).target_);
    }
    for (const auto& [name, stats] : state.targets_) {
      CPPUNIT_ASSERT(stats.outstanding_ > 80 && stats.outstanding_ < 120);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTests);

}  // namespace
}  // namespace jujubefront
