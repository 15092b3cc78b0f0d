#ifndef JUJUBEFRONT_WAITING_WAITING_H_
#define JUJUBEFRONT_WAITING_WAITING_H_

#include <cstdint>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "base/time_types.h"

namespace jujubefront {

// A run that waits for a slot of the backend server.
struct WaitingRun {
  std::uint64_t run_id_ = 0;
  bool is_call_ = false;        // made by a run at another backend server
  std::uint32_t priority_ = 0;  // 0 is the most important
  Timestamp arrived_;
  Timestamp start_by_;  // a start after this time is of no use

  // Importance of the root request first; among equals calls, since work has
  // been spent on their callers.
  auto Rank() const {
    return std::make_tuple(priority_, !is_call_, arrived_, run_id_);
  }
  bool operator<(const WaitingRun& other) const {
    return Rank() < other.Rank();
  }
};

// Runs that wait, in the order in which they start.
struct WaitingQueue {
  std::set<WaitingRun> runs_;
  std::unordered_map<std::uint64_t, WaitingRun> by_id_;
};

// What the backend server does at present.
struct SlotUse {
  std::uint32_t slots_ = 0;
  std::uint32_t running_ = 0;
  Duration mean_hold_ = Duration::zero();  // time a run holds its slot
};

// Time until a run would start, with everything that goes before it.
Duration ExpectedWait(const WaitingQueue& queue, const SlotUse& use,
                      const WaitingRun& run);

// Adds a run, or returns false when it is not expected to start in time.
bool Enqueue(WaitingQueue& queue, const SlotUse& use, Timestamp now,
             const WaitingRun& run);

// Takes the run that starts next.
std::optional<WaitingRun> TakeNext(WaitingQueue& queue);

// Takes all runs whose time to start has passed.
std::vector<std::uint64_t> TakeExpired(WaitingQueue& queue, Timestamp now);

// Removes a run; returns false when it does not wait.
bool RemoveWaiting(WaitingQueue& queue, std::uint64_t run_id);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_WAITING_WAITING_H_
