#include "waiting/waiting.h"

#include <algorithm>

namespace jujubefront {

Duration ExpectedWait(const WaitingQueue& queue, const SlotUse& use,
                      const WaitingRun& run) {
  if (use.slots_ == 0) return Duration::max();
  const auto ahead = static_cast<std::int64_t>(
      std::distance(queue.runs_.begin(), queue.runs_.lower_bound(run)));
  const auto free = static_cast<std::int64_t>(use.slots_) -
                    static_cast<std::int64_t>(use.running_);
  Duration wait = Duration::zero();
  if (ahead >= free) {
    // Slots become free at a rate of slots / mean hold time.
    wait = use.mean_hold_ * (ahead - free + 1) /
           static_cast<std::int64_t>(use.slots_);
  }
  if (!use.starts_per_second_) return wait;
  const double starts = static_cast<double>(ahead + 1) - use.starts_now_;
  return std::max(wait, Duration(static_cast<std::int64_t>(
                            starts / *use.starts_per_second_ * 1e6)));
}

bool Enqueue(WaitingQueue& queue, const SlotUse& use, Timestamp now,
             const WaitingRun& run) {
  const Duration wait = ExpectedWait(queue, use, run);
  if (wait == Duration::max() || now + wait > run.start_by_) return false;
  queue.runs_.insert(run);
  queue.by_id_[run.run_id_] = run;
  return true;
}

std::optional<WaitingRun> TakeNext(WaitingQueue& queue) {
  if (queue.runs_.empty()) return std::nullopt;
  const WaitingRun next = *queue.runs_.begin();
  queue.runs_.erase(queue.runs_.begin());
  queue.by_id_.erase(next.run_id_);
  return next;
}

std::vector<std::uint64_t> TakeExpired(WaitingQueue& queue, Timestamp now) {
  std::vector<std::uint64_t> expired;
  for (const auto& run : queue.runs_) {
    if (run.start_by_ < now) expired.push_back(run.run_id_);
  }
  for (const std::uint64_t run_id : expired) RemoveWaiting(queue, run_id);
  return expired;
}

bool RemoveWaiting(WaitingQueue& queue, std::uint64_t run_id) {
  const auto found = queue.by_id_.find(run_id);
  if (found == queue.by_id_.end()) return false;
  queue.runs_.erase(found->second);
  queue.by_id_.erase(found);
  return true;
}

}  // namespace jujubefront
