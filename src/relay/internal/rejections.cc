#include <algorithm>

#include "relay/internal/relay_step.h"
#include "relay/internal/request_log.h"
#include "retries/retry_allowance.h"

namespace jujubefront {
namespace {

// Weight of the window that has ended in the smoothed share.
constexpr double kWindowWeight = 0.6;
// Repeats of one run, so that a backend server that takes nothing at all does
// not get everything that was earned.
constexpr std::uint32_t kMaxRejections = 8;
// A backend server that rejects this much more than the others of its service
// is left to itself: the entry finds a better place.
constexpr double kFarAboveMean = 2.0;
constexpr double kRejectionNoise = 0.05;

bool RejectsMoreThanOthers(const RelayState& state) {
  const auto mean = state.rejected_shares_.find(state.backend_.service_);
  if (mean == state.rejected_shares_.end()) return false;
  return state.arrivals_.rejected_share_ >
         mean->second * kFarAboveMean + kRejectionNoise;
}

bool IsOfUse(const RelayStep& step, const OpenRun& run) {
  const RelayState& state = step.state_;
  return state.backend_.state_ == BackendState::kReady &&
         run.order_.instance_ == state.backend_.instance_ &&
         run.rejections_ <= kMaxRejections && !RejectsMoreThanOthers(state) &&
         !IsBlockedBySuspicion(step, run.order_) &&
         run.deadline_ - step.now_ > MeanHoldTime(state);
}

}  // namespace

void RecordBackendArrival(RelayStep& step, const OpenRun& run) {
  RelayState& state = step.state_;
  ++state.arrivals_.arrived_;
  if (run.rejections_ > 0 || run.order_.is_repeat_) return;
  const RetryAllowance& allowance = state.host_retry_allowance_;
  EarnRetries(state.host_retries_[state.backend_.service_], allowance,
              step.now_, allowance.host_ratio_);
}

bool AllowRepeatAfterRejection(RelayStep& step, OpenRun& run) {
  RelayState& state = step.state_;
  ++state.arrivals_.rejected_;
  ++run.rejections_;
  const double share = ShareOfRetries({.priority_ = run.order_.priority_,
                                       .is_call_ = run.order_.is_call_,
                                       .tree_rank_ = run.order_.tree_rank_});
  const bool again =
      IsOfUse(step, run) &&
      SpendRetries(state.host_retries_, state.host_retry_allowance_, step.now_,
                   {{state.backend_.service_, 1.0}}, share);
  if (again) ++state.counters_.repeats_at_host_;
  LogRunRejected(step, run, again, share);
  return again;
}

void TickArrivals(RelayStep& step) {
  ArrivalMeter& meter = step.state_.arrivals_;
  // Nothing that arrived says nothing new; the belief fades all the same, so
  // that requests come and tell.
  const double rejected = meter.arrived_ == 0
                              ? 0.0
                              : static_cast<double>(meter.rejected_) /
                                    static_cast<double>(meter.arrived_);
  meter.rejected_share_ +=
      kWindowWeight * (std::min(1.0, rejected) - meter.rejected_share_);
  meter.arrived_ = 0;
  meter.rejected_ = 0;
}

}  // namespace jujubefront
