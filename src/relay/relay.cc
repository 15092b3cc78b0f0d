#include "relay/relay.h"

#include "relay/internal/relay_step.h"
#include "relay/internal/zone_sums.h"

namespace jujubefront {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);

// Detects from a late tick that this process was paused (without processor time
// or suspended). Timers run before the messages that arrived during the pause
// are read, so that the pause would otherwise count as silence of others.
void DetectPause(RelayStep& step) {
  Timestamp& last = step.state_.last_tick_at_;
  const Duration late = step.now_ - last - kTickInterval;
  if (last != Timestamp{} && late > kTickInterval) {
    ExcludePauseFromSilence(step, late);
    step.state_.resumed_at_ = step.now_;
  }
  last = step.now_;
}

void OnTick(RelayStep& step) {
  DetectPause(step);
  CheckBackendSilence(step);
  TickPeers(step);
  TickStore(step);
  TickDemand(step);
  TickSuspects(step);
  TickQuotas(step);
  TickStop(step);
  ScheduleTimer(step, step.now_ + kTickInterval, RelayTimerKind::kTick);
}

void OnTimer(RelayStep& step, const RelayTimer& timer) {
  switch (timer.kind_) {
    case RelayTimerKind::kRequestDeadline:
      return OnRequestDeadline(step, timer.id_);
    case RelayTimerKind::kRunDeadline:
      return OnRunDeadline(step, timer.id_);
    case RelayTimerKind::kWaitingSweep:
      return RefuseExpiredWaiting(step);
    case RelayTimerKind::kPacedStart:
      return StartWaiting(step);
    case RelayTimerKind::kCrashReport:
      return ReportUnanswered(step);
    case RelayTimerKind::kDepartureAnswer:
      return AnswerOverdueDepartures(step);
    case RelayTimerKind::kFirstDepartureRecord:
      return WriteFirstDepartureRecord(step);
    case RelayTimerKind::kTick:
      return OnTick(step);
    case RelayTimerKind::kStore:
      return RepeatStoreCall(step, static_cast<StoreCall>(timer.id_));
  }
}

void RunTimers(RelayStep& step) {
  auto& timers = step.state_.timers_;
  while (!timers.empty() && timers.begin()->at_ <= step.now_) {
    const RelayTimer timer = *timers.begin();
    timers.erase(timers.begin());
    OnTimer(step, timer);
  }
}

// Time for which a message was delayed in transit, beyond the minimum seen on
// its connection. A host short of processor time reads run orders long after
// they were sent, when part of their time is used up.
Duration MessageAge(RelayStep& step, std::uint64_t connection,
                    Duration sent_at) {
  InboundLink& link = step.state_.inbound_links_[connection];
  const Duration offset = step.now_.time_since_epoch() - sent_at;
  if (!link.min_offset_ || offset < *link.min_offset_) {
    link.min_offset_ = offset;
  }
  return offset - *link.min_offset_;
}

void OnLinkReceived(RelayStep& step, LinkReceived& received) {
  if (!received.peer_.empty()) {
    RecordPeerActivity(EnsurePeer(step, received.peer_), step.now_);
  }
  const std::uint64_t connection = received.connection_id_;
  if (auto* status = std::get_if<HostStatus>(&received.message_)) {
    const Duration transit = MessageAge(step, connection, status->sent_at_);
    OnStatus(step, connection, transit, *status);
  } else if (auto* order = std::get_if<RunOrder>(&received.message_)) {
    const Duration age = MessageAge(step, connection, order->sent_at_);
    order->remaining_ -= age;
    order->objective_left_ -= age;
    OnRunOrder(step, connection, *order);
  } else if (auto* reply = std::get_if<RunReply>(&received.message_)) {
    OnRunReply(step, *reply);
  } else if (auto* cancel = std::get_if<RunCancel>(&received.message_)) {
    OnRunCancel(step, connection, cancel->send_id_);
  } else if (std::holds_alternative<PeerPing>(received.message_)) {
    step.effects_.emplace_back(
        SendBack{.connection_id_ = connection, .message_ = PeerPong{}});
  } else if (auto* query = std::get_if<TableQuery>(&received.message_)) {
    OnTableQuery(step, connection, *query);
  } else if (std::holds_alternative<PeersQuery>(received.message_)) {
    OnPeersQuery(step, connection);
  } else if (auto* sum = std::get_if<ZoneSum>(&received.message_)) {
    OnZoneSum(step, connection, *sum);
  } else if (auto* departure = std::get_if<Departure>(&received.message_)) {
    OnBackendLeft(step, *departure);
  } else if (auto* notice = std::get_if<SuspicionNotice>(&received.message_)) {
    OnSuspicionNotice(step, connection, received.peer_, *notice);
  } else if (auto* report = std::get_if<QuotaReport>(&received.message_)) {
    OnQuotaReport(step, connection, *report);
  } else if (auto* known = std::get_if<PeerAddresses>(&received.message_)) {
    for (const auto& address : known->addresses_) EnsurePeer(step, address);
  }
}

struct Dispatch {
  RelayStep& step_;

  void operator()(RequestArrived& e) const { OnRequest(step_, e); }
  void operator()(RequestCancelled& e) const {
    OnRequestCancelled(step_, e.request_id_);
  }
  void operator()(LinkReceived& e) const { OnLinkReceived(step_, e); }
  void operator()(RunOrderRefused& e) const {
    OnRunOrderRefused(step_, e.connection_id_, e.send_id_);
  }
  void operator()(RunReplyRefused& e) const { OnRunReplyRefused(step_, e); }
  void operator()(InboundLinkClosed& e) const {
    step_.state_.inbound_links_.erase(e.connection_id_);
    OnEntryDisconnected(step_, e.connection_id_);
  }
  void operator()(PeerConnected& e) const { OnPeerConnected(step_, e.peer_); }
  void operator()(PeerDisconnected& e) const {
    OnPeerDisconnected(step_, e.peer_);
  }
  void operator()(BackendResponded& e) const { OnBackendResponded(step_, e); }
  void operator()(BackendProbed& e) const { OnBackendProbed(step_, e); }
  void operator()(BackendHealthChecked& e) const {
    OnBackendHealthChecked(step_, e);
  }
  void operator()(BackendExchangeFailed& e) const {
    OnBackendExchangeFailed(step_, e);
  }
  void operator()(BackendHeartbeat& e) const { OnBackendHeartbeat(step_, e); }
  void operator()(BackendDeregistered& e) const {
    OnBackendDeregistered(step_, e);
  }
  void operator()(StoreEra& e) const { OnStoreEra(step_, e.era_); }
  void operator()(TableRead& e) const { OnTableRead(step_, e); }
  void operator()(TableOffset& e) const { OnTableOffset(step_, e); }
  void operator()(NodesRead& e) const { OnNodesRead(step_, e); }
  void operator()(NodeAnnounced&) const { OnNodeAnnounced(step_); }
  void operator()(ChargesRead& e) const { OnChargesRead(step_, e); }
  void operator()(ChargesSaved&) const { OnChargesSaved(step_); }
  void operator()(DeparturesRead& e) const { OnDeparturesRead(step_, e); }
  void operator()(DeparturesSaved&) const { OnDeparturesSaved(step_); }
  void operator()(StoreFailed& e) const { OnStoreFailed(step_, e); }
  void operator()(InputUnreadable& e) const {
    ++step_.state_.counters_.inputs_unreadable_;
    step_.effects_.emplace_back(
        Decision{.kind_ = DecisionKind::kInputUnreadable,
                 .trace_id_ = {},
                 .inputs_ = {{"source", e.source_}, {"from", e.detail_}}});
  }
  void operator()(RelayTimeReached&) const {}
  void operator()(StopRequested&) const { OnStopRequested(step_); }
  void operator()(SettingsReloaded&) const {
    step_.effects_.emplace_back(Decision{.kind_ = DecisionKind::kReloaded});
  }
};

}  // namespace

RelayState MakeRelay(const RelayOptions& options, Timestamp now,
                     std::vector<RelayEffect>& effects) {
  RelayState state;
  state.random_.state_ = options.seed_;
  state.started_at_ = now;
  state.demand_window_start_ = now;
  RelayStep step{state, options, now, effects};
  EnsurePeer(step, options.address_).known_ = true;
  for (const std::string& seed : options.seeds_) EnsurePeer(step, seed);
  UpdateRetryAllowance(step);
  StartStore(step);
  ScheduleTimer(step, now + kTickInterval, RelayTimerKind::kTick);
  return state;
}

std::vector<RelayEffect> StepRelay(RelayState& state,
                                   const RelayOptions& options,
                                   RelayEvent event) {
  std::vector<RelayEffect> effects;
  RelayStep step{state, options, event.now_, effects};
  // Timers come before the event: after a suspension, requests and runs whose
  // deadline has passed must end before anything else starts.
  RunTimers(step);
  std::visit(Dispatch{step}, event.body_);
  while (!state.local_replies_.empty()) {
    RunReply reply = std::move(state.local_replies_.front());
    state.local_replies_.pop_front();
    OnRunReply(step, reply);
  }
  return effects;
}

std::optional<Timestamp> NextRelayWake(const RelayState& state) {
  if (state.timers_.empty()) return std::nullopt;
  return state.timers_.begin()->at_;
}

}  // namespace jujubefront
