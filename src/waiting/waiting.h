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

// A run that waits for a slot of the local backend server.
struct WaitingRun {
  std::uint64_t run_id_ = 0;
  bool is_call_ = false;  // made by a backend server, not by a client
  std::uint32_t workspace_priority_ = 0;  // 0 is the most important
  std::uint32_t priority_ = 0;            // of the route, within a workspace's
  Timestamp arrived_;
  Timestamp start_by_;  // latest useful start

  // Sort key: priorities of the client request, then calls before client
  // requests (work has already been spent on their callers), then arrival.
  auto Rank() const {
    return std::make_tuple(workspace_priority_, priority_, !is_call_, arrived_,
                           run_id_);
  }
  bool operator<(const WaitingRun& other) const {
    return Rank() < other.Rank();
  }
};

// Waiting runs in the order in which they will start.
struct WaitingQueue {
  std::set<WaitingRun> runs_;
  std::unordered_map<std::uint64_t, WaitingRun> by_id_;
};

// Current use of the slots of the local backend server.
struct SlotUse {
  std::uint32_t slots_ = 0;
  std::uint32_t running_ = 0;
  Duration mean_hold_ = Duration::zero();  // time a run holds its slot
  // Starts a second that are allowed, and those allowed at once; nullopt: any.
  std::optional<double> starts_per_second_;
  double starts_now_ = 0.0;
};

// Expected time until the run would start, behind the waiting runs that rank
// before it. Duration::max() when the backend server has no slots.
Duration ExpectedWait(const WaitingQueue& queue, const SlotUse& use,
                      const WaitingRun& run);

// Adds a run. Returns false, and adds nothing, when the run is not expected to
// start by `start_by_`.
bool Enqueue(WaitingQueue& queue, const SlotUse& use, Timestamp now,
             const WaitingRun& run);

// Removes and returns the run that starts next, if any run waits.
std::optional<WaitingRun> TakeNext(WaitingQueue& queue);

// Removes all runs whose latest start has passed and returns their ids.
std::vector<std::uint64_t> TakeExpired(WaitingQueue& queue, Timestamp now);

// Removes a run. Returns false when it is not in the queue.
bool RemoveWaiting(WaitingQueue& queue, std::uint64_t run_id);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_WAITING_WAITING_H_
