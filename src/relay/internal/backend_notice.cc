#include <algorithm>
#include <cmath>

#include "relay/internal/relay_step.h"

namespace jujubefront {
namespace {

// Relative change of a rate limit from which it is logged.
constexpr double kLoggedChange = 0.1;
// Logged in place of a rate limit that is not named.
constexpr double kNoLimit = -1.0;
// Mean hold time that is assumed until a run has ended.
constexpr Duration kDefaultHold = std::chrono::milliseconds(50);
// Minimum time between two broadcasts of a limit that begins or ends. A backend
// server may name one in every second answer.
constexpr Duration kMinBroadcastInterval = std::chrono::milliseconds(250);

bool IsLargeChange(const std::optional<double>& from,
                   const std::optional<double>& to) {
  if (from.has_value() != to.has_value()) return true;
  return from && std::abs(*to - *from) > kLoggedChange * *from;
}

void LogRateLimit(RelayStep& step, std::string_view source) {
  const RelayState& state = step.state_;
  const NamedRateLimit& limit = state.backend_.rate_limit_;
  step.effects_.emplace_back(Decision{
      .kind_ = DecisionKind::kRateLimitChanged,
      .trace_id_ = {},
      .inputs_ = {{"instance", state.backend_.instance_},
                  {"from", limit.logged_.value_or(kNoLimit)},
                  {"to", limit.per_second_.value_or(kNoLimit)},
                  {"source", std::string(source)},
                  {"arrivals_per_s", state.arrivals_.per_second_},
                  {"named_age_us", (step.now_ - limit.named_at_).count()},
                  {"running", std::int64_t{state.running_}},
                  {"waiting",
                   static_cast<std::int64_t>(state.waiting_.runs_.size())}}});
}

void ChangeRateLimit(RelayStep& step, const std::optional<double>& per_second,
                     std::string_view source) {
  NamedRateLimit& limit = step.state_.backend_.rate_limit_;
  const bool begins_or_ends =
      limit.per_second_.has_value() != per_second.has_value();
  if (per_second && begins_or_ends) limit.pacer_ = {.updated_at_ = step.now_};
  if (per_second) {
    SetRate(limit.pacer_, step.options_.pacing_, *per_second, step.now_);
  }
  limit.per_second_ = per_second;
  if (IsLargeChange(limit.logged_, per_second)) {
    LogRateLimit(step, source);
    limit.logged_ = per_second;
  }
  if (begins_or_ends &&
      step.now_ - limit.broadcast_at_ >= kMinBroadcastInterval) {
    limit.broadcast_at_ = step.now_;
    BroadcastStatus(step);
  }
}

bool IsCurrent(const LocalBackend& backend, const OpenRun& run) {
  return run.order_.instance_ == backend.instance_ &&
         run.backend_started_at_ms_ == backend.started_at_ms_;
}

// Answers may cross. One with a higher limit, or without any, counts only if
// its run started after the known limit was last named.
void OnNamedRateLimit(RelayStep& step, const OpenRun& run,
                      const std::optional<double>& named) {
  NamedRateLimit& limit = step.state_.backend_.rate_limit_;
  limit.answered_ = true;
  const bool lowers =
      named && (!limit.per_second_ || *named <= *limit.per_second_);
  if (!lowers && run.started_at_ < limit.named_at_) return;
  if (named) limit.named_at_ = step.now_;
  ChangeRateLimit(step, named, "answer");
}

}  // namespace

void RecordLoadReport(RelayStep& step, const BackendNotice& notice,
                      const std::string& trace_id) {
  LocalBackend& backend = step.state_.backend_;
  if (notice.load_unreadable_) {
    ++step.state_.counters_.load_reports_ignored_;
    ++step.state_.counters_.inputs_unreadable_;
    step.effects_.emplace_back(
        Decision{.kind_ = DecisionKind::kInputUnreadable,
                 .trace_id_ = trace_id,
                 .inputs_ = {{"source", "load of the backend server"},
                             {"from", backend.instance_}}});
  }
  if (!notice.load_) return;
  ++step.state_.counters_.load_reports_read_;
  backend.load_report_ = {.report_ = *notice.load_, .received_at_ = step.now_};
}

// Nobody uses a report without a pace, which would only cost bytes on each
// link.
std::optional<LoadReport> CurrentLoadReport(const RelayState& state,
                                            Timestamp now) {
  const auto& received = state.backend_.load_report_;
  if (!received || !received->report_.pace_) return std::nullopt;
  LoadReport report = received->report_;
  report.age_ = now - received->received_at_;
  return report;
}

bool StatesPace(const std::optional<LoadReport>& report) {
  return report && report->pace_;
}

void OnBackendNotice(RelayStep& step, const OpenRun& run,
                     const BackendNotice& notice) {
  const LocalBackend& backend = step.state_.backend_;
  if (!IsCurrent(backend, run)) {
    if (notice.load_) ++step.state_.counters_.load_reports_ignored_;
    return;
  }
  RecordLoadReport(step, notice, run.order_.trace_id_);
  if (notice.rate_limit_unreadable_) {
    ++step.state_.counters_.inputs_unreadable_;
    step.effects_.emplace_back(
        Decision{.kind_ = DecisionKind::kInputUnreadable,
                 .trace_id_ = run.order_.trace_id_,
                 .inputs_ = {{"source", "rate limit of the backend server"},
                             {"from", backend.instance_}}});
  } else {
    OnNamedRateLimit(step, run, notice.rate_limit_);
  }
  if (notice.leaving_) OnBackendStatedLeaving(step);
}

void AdoptRateLimit(RelayStep& step, const RunOrder& order) {
  const LocalBackend& backend = step.state_.backend_;
  const NamedRateLimit& limit = backend.rate_limit_;
  const BackendStatement& known = order.known_;
  if (!known.rate_limit_ || limit.answered_) return;
  if (order.instance_ != backend.instance_ ||
      known.started_at_ms_ != backend.started_at_ms_) {
    return;
  }
  if (limit.per_second_ && *limit.per_second_ <= *known.rate_limit_) return;
  step.state_.backend_.rate_limit_.named_at_ = step.now_;
  ChangeRateLimit(step, known.rate_limit_, "entry");
}

BackendStatement MakeStatement(const RelayStep& step, const OpenRun& run) {
  const LocalBackend& backend = step.state_.backend_;
  if (!IsCurrent(backend, run)) return {};
  return {.started_at_ms_ = backend.started_at_ms_,
          .rate_limit_ = backend.rate_limit_.per_second_,
          .leaving_ = backend.stated_leaving_};
}

bool IsStartAllowed(RelayStep& step) {
  NamedRateLimit& limit = step.state_.backend_.rate_limit_;
  if (!limit.per_second_) return true;
  if (CanStart(limit.pacer_, step.options_.pacing_, step.now_)) return true;
  ScheduleTimer(step, step.now_ + TimeUntilStarts(limit.pacer_, 1.0, step.now_),
                RelayTimerKind::kPacedStart);
  return false;
}

void RecordLimitedStart(RelayStep& step) {
  NamedRateLimit& limit = step.state_.backend_.rate_limit_;
  if (!limit.per_second_) return;
  RecordStart(limit.pacer_, step.options_.pacing_, step.now_);
}

std::optional<StartLimit> FindStartLimit(const RelayStep& step) {
  const RelayState& state = step.state_;
  const NamedRateLimit& limit = state.backend_.rate_limit_;
  if (!limit.per_second_) return std::nullopt;
  const Duration hold =
      state.recent_hold_ > Duration::zero() ? state.recent_hold_ : kDefaultHold;
  const auto behind = static_cast<double>(state.waiting_.runs_.size());
  return StartLimit{
      .per_second_ = limit.pacer_.per_second_,
      .next_start_in_ = TimeUntilStarts(limit.pacer_, behind + 1.0, step.now_),
      .usable_slots_ = std::min<double>(
          state.backend_.slots_, limit.pacer_.per_second_ * InSeconds(hold))};
}

}  // namespace jujubefront
