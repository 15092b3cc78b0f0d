#include <tuple>
#include <utility>

#include "relay/internal/relay_step.h"

namespace jujubefront {
namespace {

// Added to the time in which heartbeats may be missed.
constexpr Duration kSilenceMargin = std::chrono::milliseconds(1000);
// A refused connection shows that the backend server ended at some time within
// this window: runs that broke in it were in progress then.
constexpr Duration kRefusalWindow = std::chrono::seconds(2);
// Maximum time between the sending and the reading of a heartbeat. Runs that
// broke up to this long before a heartbeat was read may have been in progress
// when its sender ended.
constexpr Duration kMaxHeartbeatDelay = std::chrono::seconds(1);

// Changes the state and broadcasts it. Entries are notified before the backend
// server's message is acknowledged, since both leave in the same step.
void ChangeState(RelayStep& step, BackendState state, std::string_view why) {
  LocalBackend& backend = step.state_.backend_;
  const BackendState before = backend.state_;
  backend.state_ = state;
  step.effects_.emplace_back(Decision{
      .kind_ = DecisionKind::kBackendChanged,
      .trace_id_ = {},
      .inputs_ = {{"instance", backend.instance_},
                  {"service", backend.service_},
                  {"from", std::string(FormatState(before))},
                  {"to", std::string(FormatState(state))},
                  {"why", std::string(why)},
                  {"sequence", static_cast<std::int64_t>(backend.sequence_)},
                  {"started_at_ms", backend.started_at_ms_},
                  {"slots", std::int64_t{backend.slots_}}}});
  BroadcastStatus(step);
}

// Whether the heartbeat is older than the known state: sent by an earlier
// incarnation, not newer than the last heartbeat, or sent before the backend
// server said that it leaves.
bool IsOutdated(const LocalBackend& backend,
                const BackendHeartbeat& heartbeat) {
  if (heartbeat.started_at_ms_ != backend.started_at_ms_) {
    return heartbeat.started_at_ms_ < backend.started_at_ms_;
  }
  if (heartbeat.instance_ != backend.instance_) return false;
  return backend.state_ == BackendState::kGone ||
         heartbeat.sequence_ <= backend.sequence_;
}

void ApplyHeartbeat(RelayStep& step, const BackendHeartbeat& heartbeat) {
  LocalBackend& backend = step.state_.backend_;
  if (IsOutdated(backend, heartbeat)) return;
  const bool replaced = heartbeat.instance_ != backend.instance_ ||
                        heartbeat.started_at_ms_ != backend.started_at_ms_;
  if (replaced) {
    // The previous incarnation ended between its last heartbeat and the time at
    // which its next one was due.
    OnBackendEnded(step,
                   {.first_end_ = backend.received_at_ - kMaxHeartbeatDelay,
                    .last_start_ = backend.received_at_ + kMaxHeartbeatDelay +
                                   step.options_.heartbeat_interval_},
                   "new incarnation");
    step.state_.run_stats_.clear();
    backend.rate_limit_ = {};
    backend.load_report_.reset();
    step.state_.last_send_ids_.clear();
    const Departure* departure = FindDeparture(step.state_, heartbeat.instance_,
                                               heartbeat.started_at_ms_);
    backend.stated_leaving_ =
        departure != nullptr && departure->left_.sequence_ == kAnySequence;
    step.state_.recent_hold_ = Duration::zero();
    backend.state_ = BackendState::kUnknown;
  }
  const bool resized = heartbeat.slots_ != backend.slots_;
  backend.instance_ = heartbeat.instance_;
  backend.service_ = heartbeat.service_;
  backend.started_at_ms_ = heartbeat.started_at_ms_;
  backend.sequence_ = heartbeat.sequence_;
  backend.slots_ = heartbeat.slots_;
  backend.received_at_ = step.now_;
  step.state_.crash_evidence_.first_break_at_.reset();
  if (!replaced) step.state_.crash_evidence_.ended_ = {};
  const BackendState state = StateAfter(step.state_, heartbeat);
  if (state == BackendState::kReady) {
    RemoveDeparture(step, heartbeat.instance_, heartbeat.started_at_ms_);
  }
  if (state != backend.state_ || replaced || resized) {
    ChangeState(step, state, replaced ? "new instance" : "heartbeat");
  }
  if (state == BackendState::kReady) return StartWaiting(step);
  RefuseWaiting(step, NotRunReason::kDraining);
}

void AnswerCall(RelayStep& step, std::uint64_t call_id, bool accepted) {
  if (call_id == 0) return;
  step.effects_.emplace_back(
      AnswerBackend{.call_id_ = call_id, .accepted_ = accepted});
}

// Whether the first heartbeat was sent before the second.
bool IsEarlier(const BackendHeartbeat& first, const BackendHeartbeat& second) {
  return std::tie(first.started_at_ms_, first.sequence_) <
         std::tie(second.started_at_ms_, second.sequence_);
}

}  // namespace

std::string_view FormatState(BackendState state) {
  switch (state) {
    case BackendState::kUnknown:
      return "unknown";
    case BackendState::kReady:
      return "ready";
    case BackendState::kDraining:
      return "draining";
    case BackendState::kGone:
      return "gone";
    case BackendState::kUnreachable:
      return "unreachable";
  }
  return "unknown";
}

void OnBackendHeartbeat(RelayStep& step, const BackendHeartbeat& heartbeat) {
  if (heartbeat.address_ != step.options_.backend_address_) {
    ++step.state_.counters_.inputs_unreadable_;
    step.effects_.emplace_back(
        Decision{.kind_ = DecisionKind::kInputUnreadable,
                 .trace_id_ = {},
                 .inputs_ = {{"source", "heartbeat of another address"},
                             {"from", heartbeat.address_}}});
    return AnswerCall(step, heartbeat.call_id_, false);
  }
  if (heartbeat.draining_) {
    RecordDeparture(step, {.left_ = {.instance_ = heartbeat.instance_,
                                     .started_at_ms_ = heartbeat.started_at_ms_,
                                     .sequence_ = heartbeat.sequence_}});
    ApplyHeartbeat(step, heartbeat);
    return AnswerWhenKept(step, heartbeat.call_id_);
  }
  AnswerCall(step, heartbeat.call_id_, true);
  DepartureLog& departures = step.state_.departures_;
  if (departures.decided_ && IsCurrent(step, heartbeat)) {
    departures.held_.reset();
    return ApplyHeartbeat(step, heartbeat);
  }
  if (!departures.held_ || IsEarlier(*departures.held_, heartbeat)) {
    departures.held_ = heartbeat;
  }
  ++step.state_.counters_.heartbeats_held_;
  step.effects_.emplace_back(Decision{
      .kind_ = DecisionKind::kHeartbeatHeld,
      .trace_id_ = {},
      .inputs_ = {
          {"instance", heartbeat.instance_},
          {"started_at_ms", heartbeat.started_at_ms_},
          {"sequence", static_cast<std::int64_t>(heartbeat.sequence_)},
          {"departures_decided", std::int64_t{departures.decided_}},
          {"after_us", (step.now_ - step.state_.started_at_).count()}}});
  CheckHealthInDoubt(step);
}

void ApplyHeldHeartbeat(RelayStep& step) {
  std::optional<BackendHeartbeat>& held = step.state_.departures_.held_;
  if (!held || !IsCurrent(step, *held)) return CheckHealthInDoubt(step);
  ApplyHeartbeat(step, *std::exchange(held, std::nullopt));
}

void RecheckDeparture(RelayStep& step) {
  const LocalBackend& backend = step.state_.backend_;
  const Departure* departure =
      FindDeparture(step.state_, backend.instance_, backend.started_at_ms_);
  if (departure == nullptr) return;
  OnBackendLeft(step, Departure(*departure));
}

void OnBackendDeregistered(RelayStep& step,
                           const BackendDeregistered& deregistered) {
  const LocalBackend& backend = step.state_.backend_;
  const bool is_known = deregistered.instance_ == backend.instance_;
  // A call that names no start is taken for one of the known incarnation.
  auto started_at_ms = deregistered.started_at_ms_;
  if (!started_at_ms && is_known) started_at_ms = backend.started_at_ms_;
  RecordDeparture(step, {.left_ = {.instance_ = deregistered.instance_,
                                   .started_at_ms_ = started_at_ms.value_or(
                                       deregistered.received_at_ms_),
                                   .gone_ = true},
                         .covers_earlier_starts_ = !started_at_ms});
  if (is_known && started_at_ms == backend.started_at_ms_ &&
      backend.state_ != BackendState::kGone) {
    ChangeState(step, BackendState::kGone, "it said that it leaves");
    RefuseWaiting(step, NotRunReason::kDraining);
  } else if (backend.instance_.empty()) {
    // Peers keep it for later processes of this node.
    BroadcastStatus(step);
  }
  AnswerWhenKept(step, deregistered.call_id_);
}

void OnBackendLeft(RelayStep& step, const Departure& departure) {
  const LocalBackend& backend = step.state_.backend_;
  RecordDeparture(step, departure);
  if (backend.state_ != BackendState::kReady) return;
  if (!HasLeft(departure, backend.instance_, backend.started_at_ms_,
               backend.sequence_)) {
    return;
  }
  const BackendLeft& left = departure.left_;
  step.state_.backend_.stated_leaving_ |= left.sequence_ == kAnySequence;
  ChangeState(step, left.gone_ ? BackendState::kGone : BackendState::kDraining,
              "a peer knows that it left");
  RefuseWaiting(step, NotRunReason::kDraining);
}

void OnBackendStatedLeaving(RelayStep& step) {
  LocalBackend& backend = step.state_.backend_;
  if (backend.stated_leaving_) return;
  backend.stated_leaving_ = true;
  RecordDeparture(step, {.left_ = {.instance_ = backend.instance_,
                                   .started_at_ms_ = backend.started_at_ms_,
                                   .sequence_ = kAnySequence}});
  if (backend.state_ == BackendState::kGone) return;
  ChangeState(step, BackendState::kDraining,
              "its answer states that it leaves");
  RefuseWaiting(step, NotRunReason::kDraining);
}

void OnBackendUnreachable(RelayStep& step) {
  if (step.state_.backend_.state_ != BackendState::kReady) return;
  ChangeState(step, BackendState::kUnreachable, "connection refused");
  RefuseWaiting(step, NotRunReason::kUnreachable);
}

void OnBackendConnectionRefused(RelayStep& step) {
  if (step.state_.backend_.state_ != BackendState::kReady) return;
  OnBackendEnded(
      step,
      {.first_end_ = step.now_ - kRefusalWindow, .last_start_ = step.now_},
      "connection refused");
  OnBackendUnreachable(step);
}

void OnBackendProbed(RelayStep& step, const BackendProbed& probed) {
  CrashEvidence& evidence = step.state_.crash_evidence_;
  evidence.probing_ = false;
  if (probed.probe_ == BackendProbeResult::kRefused) {
    evidence.probe_again_ = false;
    return OnBackendConnectionRefused(step);
  }
  if (probed.probe_ == BackendProbeResult::kListens)
    evidence.first_break_at_.reset();
  if (!evidence.probe_again_) return;
  evidence.probe_again_ = false;
  ProbeBackendAfterBreak(step);
}

void CheckBackendSilence(RelayStep& step) {
  LocalBackend& backend = step.state_.backend_;
  if (backend.state_ == BackendState::kUnknown ||
      backend.state_ == BackendState::kGone) {
    return;
  }
  const Duration limit =
      step.options_.heartbeat_interval_ * step.options_.heartbeats_missed_ +
      kSilenceMargin;
  if (step.now_ - backend.received_at_ <= limit) return;
  ChangeState(step, BackendState::kUnknown, "no heartbeat");
  RefuseWaiting(step, NotRunReason::kUnreachable);
}

}  // namespace jujubefront
