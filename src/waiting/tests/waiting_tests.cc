#include <cppunit/extensions/HelperMacros.h>

#include "waiting/waiting.h"

namespace jujubefront {
namespace {

constexpr Timestamp kNow{std::chrono::seconds(100)};

WaitingRun Run(std::uint64_t id, bool is_call, std::uint32_t priority,
               int start_by_ms = 1000) {
  return {.run_id_ = id,
          .is_call_ = is_call,
          .priority_ = priority,
          .arrived_ = kNow + Duration(id),
          .start_by_ = kNow + std::chrono::milliseconds(start_by_ms)};
}

class WaitingTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WaitingTests);
  CPPUNIT_TEST(StartsByPriorityThenCallsThenArrival);
  CPPUNIT_TEST(PriorityOfTheWorkspaceGoesFirst);
  CPPUNIT_TEST(TakesOnlyWhatStartsInTime);
  CPPUNIT_TEST(ExpiresWhatHasWaitedTooLong);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against client requests that start before calls of equal priority:
  // the work already spent on the callers would be wasted.
  void StartsByPriorityThenCallsThenArrival() {
    const SlotUse use{.slots_ = 8};
    WaitingQueue queue;
    for (const WaitingRun& run :
         {Run(1, false, 2), Run(2, false, 0), Run(3, true, 2), Run(4, false, 0),
          Run(5, true, 0)}) {
      CPPUNIT_ASSERT(Enqueue(queue, use, kNow, run));
    }
    for (const std::uint64_t expected : {5, 2, 4, 3, 1}) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{expected}, TakeNext(queue)->run_id_);
    }
    CPPUNIT_ASSERT(!TakeNext(queue));
  }

  void PriorityOfTheWorkspaceGoesFirst() {
    WaitingQueue queue;
    WaitingRun less_important = Run(1, true, 0);
    less_important.workspace_priority_ = 1;
    CPPUNIT_ASSERT(Enqueue(queue, {.slots_ = 8}, kNow, less_important));
    CPPUNIT_ASSERT(Enqueue(queue, {.slots_ = 8}, kNow, Run(2, false, 2)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, TakeNext(queue)->run_id_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, TakeNext(queue)->run_id_);
  }

  // Guards against queueing runs that cannot start in time: a burst arrives at
  // a backend server whose slots are all in use.
  void TakesOnlyWhatStartsInTime() {
    struct Row {
      std::uint32_t slots_;
      std::uint32_t running_;
      int start_by_ms_;
      bool expected_;
    };
    const Row rows[] = {
        {2, 1, 0, true},    // a slot is free
        {2, 2, 40, false},  // 50 ms until the next slot
        {2, 2, 60, true},
        {10, 10, 11, true},   // ten slots become free ten times as fast
        {0, 0, 1000, false},  // a backend server without slots
    };
    for (const Row& row : rows) {
      WaitingQueue queue;
      const SlotUse use{.slots_ = row.slots_,
                        .running_ = row.running_,
                        .mean_hold_ = std::chrono::milliseconds(100)};
      CPPUNIT_ASSERT_EQUAL(
          row.expected_,
          Enqueue(queue, use, kNow, Run(1, false, 0, row.start_by_ms_)));
    }
  }

  void ExpiresWhatHasWaitedTooLong() {
    WaitingQueue queue;
    const SlotUse use{.slots_ = 8};
    CPPUNIT_ASSERT(Enqueue(queue, use, kNow, Run(1, false, 0, 10)));
    CPPUNIT_ASSERT(Enqueue(queue, use, kNow, Run(2, false, 0, 30)));
    const auto expired =
        TakeExpired(queue, kNow + std::chrono::milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, expired.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, expired.front());
    CPPUNIT_ASSERT(!RemoveWaiting(queue, 1));
    CPPUNIT_ASSERT(RemoveWaiting(queue, 2));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitingTests);

}  // namespace
}  // namespace jujubefront
