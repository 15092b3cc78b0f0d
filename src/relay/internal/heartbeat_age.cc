#include "relay/internal/relay_step.h"

namespace jujubefront {
namespace {

// Maximum time between the sending and the reading of a heartbeat: one that is
// read later than this after the start of the process was sent after it. The
// platform allows seconds without naming a bound.
constexpr Duration kMaxHeartbeatLateness = std::chrono::seconds(8);

std::string_view FormatHealth(BackendHealth health) {
  switch (health) {
    case BackendHealth::kHealthy:
      return "healthy";
    case BackendHealth::kUnhealthy:
      return "unhealthy";
    case BackendHealth::kUnnamed:
      return "answer names no instance";
    case BackendHealth::kNoAnswer:
      return "no answer";
  }
  return "unknown";
}

bool OutlivedLateHeartbeats(const RelayStep& step) {
  return step.now_ - step.state_.started_at_ >= kMaxHeartbeatLateness;
}

}  // namespace

BackendState StateAfter(const RelayState& state,
                        const BackendHeartbeat& heartbeat) {
  const Departure* departure =
      FindDeparture(state, heartbeat.instance_, heartbeat.started_at_ms_);
  if (departure != nullptr && departure->left_.gone_) {
    return BackendState::kGone;
  }
  const LocalBackend& backend = state.backend_;
  const bool stated_leaving =
      backend.stated_leaving_ && heartbeat.instance_ == backend.instance_ &&
      heartbeat.started_at_ms_ == backend.started_at_ms_;
  const bool drains = heartbeat.draining_ || stated_leaving ||
                      (departure != nullptr &&
                       heartbeat.sequence_ <= departure->left_.sequence_);
  return drains ? BackendState::kDraining : BackendState::kReady;
}

bool IsCurrent(const RelayStep& step, const BackendHeartbeat& heartbeat) {
  const RelayState& state = step.state_;
  return !state.departures_.had_earlier_process_ ||
         state.health_checks_.confirmed_ == heartbeat.instance_ ||
         OutlivedLateHeartbeats(step) ||
         StateAfter(state, heartbeat) != BackendState::kReady;
}

void CheckHealthInDoubt(RelayStep& step) {
  RelayState& state = step.state_;
  const DepartureLog& departures = state.departures_;
  HealthChecks& checks = state.health_checks_;
  if (checks.in_progress_ || !checks.name_instances_) return;
  if (!departures.decided_ || !departures.had_earlier_process_) return;
  if (OutlivedLateHeartbeats(step)) return;
  // Also before the first heartbeat, which then does not have to wait.
  const bool in_doubt = departures.held_ ? !IsCurrent(step, *departures.held_)
                                         : checks.confirmed_.empty();
  if (!in_doubt) return;
  const auto service = state.table_.services_.find(step.options_.service_);
  if (service == state.table_.services_.end() ||
      service->second.health_path_.empty()) {
    return;
  }
  checks.in_progress_ = true;
  ++state.counters_.health_checks_;
  step.effects_.emplace_back(
      CheckBackendHealth{.address_ = step.options_.backend_address_,
                         .path_ = service->second.health_path_});
}

void OnBackendHealthChecked(RelayStep& step,
                            const BackendHealthChecked& checked) {
  HealthChecks& checks = step.state_.health_checks_;
  checks.in_progress_ = false;
  // It would never confirm anything.
  if (checked.health_ == BackendHealth::kUnnamed) {
    checks.name_instances_ = false;
  }
  if (checked.health_ == BackendHealth::kHealthy) {
    checks.confirmed_ = checked.instance_;
  }
  const auto& held = step.state_.departures_.held_;
  step.effects_.emplace_back(Decision{
      .kind_ = DecisionKind::kHealthChecked,
      .trace_id_ = {},
      .inputs_ = {
          {"health", std::string(FormatHealth(checked.health_))},
          {"instance", checked.instance_},
          {"held_instance", held ? held->instance_ : std::string()},
          {"after_us", (step.now_ - step.state_.started_at_).count()}}});
  if (held && IsCurrent(step, *held)) ApplyHeldHeartbeat(step);
  // The heartbeat may have made the instance known.
  if (checked.instance_ == step.state_.backend_.instance_) {
    RecordLoadReport(step, checked.notice_, {});
  } else if (checked.notice_.load_) {
    ++step.state_.counters_.load_reports_ignored_;
  }
}

}  // namespace jujubefront
