#include <algorithm>

#include "relay/internal/relay_step.h"
#include "relay/internal/request_log.h"
#include "retries/retry_allowance.h"

namespace jujubefront {
namespace {

// Weight of the last window in the smoothed rejected share.
constexpr double kSmoothingWeight = 0.6;
// Maximum number of times that one run is repeated at the local backend server,
// so that a backend server that rejects everything doesn't use up the retry
// allowance.
constexpr std::uint32_t kMaxRepeatsAtHost = 8;
// If the local backend server's rejected share exceeds the service's mean by
// more than this factor and tolerance, rejected runs are not repeated here: the
// entry can find a better host.
constexpr double kMaxRatioToMean = 2.0;
constexpr double kRejectedShareTolerance = 0.05;

bool RejectsMoreThanOthers(const RelayState& state) {
  const auto mean = state.rejected_shares_.find(state.backend_.service_);
  if (mean == state.rejected_shares_.end()) return false;
  return state.arrivals_.rejected_share_ >
         mean->second * kMaxRatioToMean + kRejectedShareTolerance;
}

bool IsRepeatUseful(RelayStep& step, const OpenRun& run) {
  const RelayState& state = step.state_;
  return state.backend_.state_ == BackendState::kReady &&
         run.order_.instance_ == state.backend_.instance_ &&
         run.rejections_ <= kMaxRepeatsAtHost &&
         !RejectsMoreThanOthers(state) &&
         !IsBlockedBySuspicion(step, run.order_) && IsStartAllowed(step) &&
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
  const double share = MaxRetryShare({.priority_ = run.order_.priority_,
                                      .is_call_ = run.order_.is_call_,
                                      .tree_rank_ = run.order_.tree_rank_});
  const bool repeat =
      IsRepeatUseful(step, run) &&
      SpendRetries(state.host_retries_, state.host_retry_allowance_, step.now_,
                   {{state.backend_.service_, 1.0}}, share);
  if (repeat) ++state.counters_.repeats_at_host_;
  LogRunRejected(step, run, repeat, share);
  return repeat;
}

void TickArrivals(RelayStep& step, Duration elapsed) {
  ArrivalMeter& meter = step.state_.arrivals_;
  meter.per_second_ = meter.arrived_ / InSeconds(elapsed);
  // A window without arrivals counts as one without rejections. The share thus
  // decays, so that requests are sent here again and show the actual share.
  const double rejected = meter.arrived_ == 0
                              ? 0.0
                              : static_cast<double>(meter.rejected_) /
                                    static_cast<double>(meter.arrived_);
  meter.rejected_share_ +=
      kSmoothingWeight * (std::min(1.0, rejected) - meter.rejected_share_);
  meter.arrived_ = 0;
  meter.rejected_ = 0;
}

}  // namespace jujubefront
