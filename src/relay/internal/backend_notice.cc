#include <cmath>

#include "relay/internal/relay_step.h"

namespace jujubefront {
namespace {

// Relative change of a rate limit from which it is logged.
constexpr double kLoggedChange = 0.1;
// Logged in place of a rate limit that is not named.
constexpr double kNoLimit = -1.0;

bool IsLargeChange(const std::optional<double>& from,
                   const std::optional<double>& to) {
  if (from.has_value() != to.has_value()) return true;
  return from && std::abs(*to - *from) > kLoggedChange * *from;
}

void LogRateLimit(RelayStep& step, const NamedRateLimit& before,
                  const NamedRateLimit& after) {
  const RelayState& state = step.state_;
  step.effects_.emplace_back(Decision{
      .kind_ = DecisionKind::kRateLimitChanged,
      .trace_id_ = {},
      .inputs_ = {{"instance", state.backend_.instance_},
                  {"from", before.per_second_.value_or(kNoLimit)},
                  {"to", after.per_second_.value_or(kNoLimit)},
                  {"arrivals_per_s", state.arrivals_.per_second_},
                  {"named_age_us", (step.now_ - before.named_at_).count()},
                  {"running", std::int64_t{state.running_}},
                  {"waiting",
                   static_cast<std::int64_t>(state.waiting_.runs_.size())}}});
}

}  // namespace

void OnBackendNotice(RelayStep& step, const OpenRun& run,
                     const BackendNotice& notice) {
  LocalBackend& backend = step.state_.backend_;
  if (run.order_.instance_ != backend.instance_ ||
      run.backend_started_at_ms_ != backend.started_at_ms_) {
    return;
  }
  if (notice.rate_limit_unreadable_) {
    ++step.state_.counters_.inputs_unreadable_;
    step.effects_.emplace_back(
        Decision{.kind_ = DecisionKind::kInputUnreadable,
                 .trace_id_ = run.order_.trace_id_,
                 .inputs_ = {{"source", "rate limit of the backend server"},
                             {"from", backend.instance_}}});
    return;
  }
  const NamedRateLimit before = backend.rate_limit_;
  backend.rate_limit_.per_second_ = notice.rate_limit_;
  if (notice.rate_limit_) backend.rate_limit_.named_at_ = step.now_;
  if (IsLargeChange(before.per_second_, notice.rate_limit_)) {
    LogRateLimit(step, before, backend.rate_limit_);
  }
}

}  // namespace jujubefront
