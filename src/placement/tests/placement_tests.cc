#include <cppunit/extensions/HelperMacros.h>

#include "placement/placement.h"

namespace jujubefront {
namespace {

constexpr std::chrono::milliseconds kHold{100};

class PlacementTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementTests);
  CPPUNIT_TEST(PicksTheEarliestFinish);
  CPPUNIT_TEST(SpreadsOverEquals);
  CPPUNIT_TEST(FindsNothingWithoutCandidates);
  CPPUNIT_TEST(CrossesToAnotherRegionOnlyWhereThereIsRoom);
  CPPUNIT_TEST(CrossesWhereTheLocalRegionHasNoCandidate);
  CPPUNIT_TEST(CallsCrossSoonerThanRoots);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PicksTheEarliestFinish() {
    struct Row {
      const char* name_;
      PlacementCandidate first_;
      PlacementCandidate second_;
      std::size_t expected_;
    };
    const PlacementCandidate lightly_loaded{
        .slots_ = 10, .load_ = 2, .hold_ = kHold};
    PlacementCandidate near_full = lightly_loaded;
    near_full.load_ = 10;
    PlacementCandidate overloaded = lightly_loaded;
    overloaded.load_ = 60;
    PlacementCandidate slow = lightly_loaded;
    slow.hold_ = 3 * kHold;
    PlacementCandidate slower = lightly_loaded;
    slower.hold_ = 2 * kHold;
    PlacementCandidate failing = lightly_loaded;
    failing.failure_share_ = 0.5;
    PlacementCandidate other_zone = lightly_loaded;
    other_zone.distance_ = Distance::kSameRegion;
    PlacementCandidate other_region = lightly_loaded;
    other_region.distance_ = Distance::kOtherRegion;
    const Row rows[] = {
        {"free before full", near_full, lightly_loaded, 1},
        {"fast before slow", slow, lightly_loaded, 1},
        {"sound before failing", failing, lightly_loaded, 1},
        {"own zone before another", other_zone, lightly_loaded, 1},
        {"another zone before a long wait", overloaded, other_zone, 1},
        {"a slower one before another zone", slower, other_zone, 0},
        {"a long wait before another region", overloaded, other_region, 0},
    };
    for (const Row& row : rows) {
      const auto chosen =
          ChooseCandidate({row.first_, row.second_}, {}, {}, 0.0);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.expected_, *chosen);
    }
  }

  // Guards against herding: hosts that look equally good must share the
  // requests, or all entry nodes send to the first one.
  void SpreadsOverEquals() {
    const PlacementCandidate candidate{.slots_ = 10, .hold_ = kHold};
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         *ChooseCandidate({candidate, candidate}, {}, {}, 0.1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         *ChooseCandidate({candidate, candidate}, {}, {}, 0.9));
  }

  // Guards against requests that cross regions while both regions are
  // overloaded: they would only load the narrow link between the regions.
  void CrossesToAnotherRegionOnlyWhereThereIsRoom() {
    // Runs at the local candidate wait for ten seconds.
    const PlacementCandidate local{.slots_ = 10, .load_ = 1010, .hold_ = kHold};
    struct Row {
      double load_;
      std::size_t expected_;
    };
    const Row rows[] = {{0, 1}, {7, 1}, {8, 0}, {30, 0}};
    for (const Row& row : rows) {
      const PlacementCandidate remote{.distance_ = Distance::kOtherRegion,
                                      .slots_ = 10,
                                      .load_ = row.load_,
                                      .hold_ = kHold};
      CPPUNIT_ASSERT_EQUAL(row.expected_,
                           *ChooseCandidate({local, remote}, {}, {}, 0.0));
    }
  }

  // Guards against failing requests for want of a local candidate. A region has
  // lost its last backend server of a service that every client request calls;
  // the other region is as busy as usual.
  void CrossesWhereTheLocalRegionHasNoCandidate() {
    for (const double load : {0.0, 8.0, 10.0, 30.0}) {
      const PlacementCandidate remote{.distance_ = Distance::kOtherRegion,
                                      .slots_ = 10,
                                      .load_ = load,
                                      .hold_ = kHold};
      for (const bool is_call : {true, false}) {
        CPPUNIT_ASSERT(ChooseCandidate({remote}, {}, {.is_call_ = is_call}, 0.0)
                           .has_value());
      }
    }
  }

  // Guards against calls that wait in an overloaded region. One region has lost
  // half of the backend servers of a small service that every client request
  // calls several times; the other region has free slots.
  void CallsCrossSoonerThanRoots() {
    struct Row {
      bool is_call_;
      double local_load_;
      std::size_t expected_;
    };
    // 300 more runs than slots wait for three seconds, 40 more for 400 ms.
    const Row rows[] = {{true, 10, 0},
                        {true, 50, 1},
                        {false, 10, 0},
                        {false, 50, 0},
                        {false, 310, 1}};
    for (const Row& row : rows) {
      const PlacementCandidate local{
          .slots_ = 10, .load_ = row.local_load_, .hold_ = kHold};
      const PlacementCandidate remote{
          .distance_ = Distance::kOtherRegion, .slots_ = 10, .hold_ = kHold};
      CPPUNIT_ASSERT_EQUAL(row.expected_,
                           *ChooseCandidate({local, remote}, {},
                                            {.is_call_ = row.is_call_}, 0.0));
    }
  }

  void FindsNothingWithoutCandidates() {
    CPPUNIT_ASSERT(!ChooseCandidate({}, {}, {}, 0.5));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTests);

}  // namespace
}  // namespace jujubefront
