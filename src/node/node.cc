#include "node/node.h"

#include "admission/admission.h"
#include "membership/membership.h"
#include "membership/rumors.h"
#include "node/internal/calls.h"
#include "node/internal/document_sync.h"
#include "node/internal/gossip.h"
#include "node/internal/lifecycle.h"
#include "node/internal/step_context.h"
#include "node/internal/target_runs.h"
#include "node/internal/timers.h"

namespace jujubefront {
namespace {

// Dispatches a peer's request to its handler.
struct RequestDispatch {
  StepContext& step_;
  std::uint64_t inbound_id_;

  void operator()(const RunRequest& request) const {
    OnRunRequest(step_, inbound_id_, request);
  }
  void operator()(const AskRequest& request) const {
    OnAskRequest(step_, inbound_id_, request);
  }
  void operator()(const Exchange& request) const {
    OnExchangeRequest(step_, inbound_id_, request);
  }
  void operator()(const JoinRequest& request) const {
    OnJoinRequest(step_, inbound_id_, request);
  }
  void operator()(const HandOverRequest& request) const {
    OnHandOverRequest(step_, inbound_id_, request);
  }
  // A reply type is not valid as a request and is refused.
  void operator()(const RunReply&) const { Refuse(); }
  void operator()(const AskReply&) const { Refuse(); }
  void operator()(const JoinReply&) const { Refuse(); }
  void operator()(const HandOverReply&) const { Refuse(); }
  void operator()(const PeerRefusal&) const { Refuse(); }

  void Refuse() const {
    step_.effects_.emplace_back(
        ReplyPeer{.inbound_id_ = inbound_id_,
                  .message_ = PeerRefusal{.reason_ = Reason::kNone}});
  }
};

CallState* FindCall(StepContext& step, const SendState& send) {
  const auto found = step.state_.calls_.find(send.call_id_);
  return found == step.state_.calls_.end() ? nullptr : &found->second;
}

// Returns the call that awaits the reply to a send, or null if the call has
// ended or has been sent elsewhere; that reply is counted as late.
CallState* CallAwaiting(StepContext& step, const SendState& send,
                        std::uint64_t send_id) {
  CallState* call = FindCall(step, send);
  const bool current = call != nullptr && (send.purpose_ != SendPurpose::kRun ||
                                           call->send_id_ == send_id);
  if (current) return call;
  ++step.state_.counters_.late_answers_;
  return nullptr;
}

void OnCallReply(StepContext& step, const SendState& send,
                 std::uint64_t send_id, const PeerMessage& message) {
  CallState* call = CallAwaiting(step, send, send_id);
  if (call == nullptr) return;
  if (send.purpose_ == SendPurpose::kRun) {
    if (const auto* reply = std::get_if<RunReply>(&message)) {
      return OnRunAnswer(step, *call, send, *reply);
    }
    return OnRunFailed(step, *call, send, PeerFailure::kMalformed);
  }
  if (const auto* reply = std::get_if<AskReply>(&message)) {
    return OnAskReply(step, *call, send, *reply);
  }
  OnAskFailed(step, *call, send);
}

// Removes a pending send and returns it; `found` is false if there is none.
SendState PopSend(StepContext& step, std::uint64_t send_id, bool& found) {
  const auto entry = step.state_.sends_.find(send_id);
  found = entry != step.state_.sends_.end();
  if (!found) return {};
  SendState send = entry->second;
  step.state_.sends_.erase(entry);
  return send;
}

void OnPeerReplied(StepContext& step, const PeerReplied& replied) {
  bool found = false;
  const SendState send = PopSend(step, replied.send_id_, found);
  if (!found) {
    ++step.state_.counters_.late_answers_;
    return;
  }
  switch (send.purpose_) {
    case SendPurpose::kRun:
    case SendPurpose::kAsk:
    case SendPurpose::kRoundAsk:
      return OnCallReply(step, send, replied.send_id_, replied.message_);
    case SendPurpose::kExchange:
      if (const auto* reply = std::get_if<Exchange>(&replied.message_)) {
        OnExchangeReply(step, send, *reply);
      }
      return;
    case SendPurpose::kJoin:
      if (const auto* reply = std::get_if<JoinReply>(&replied.message_)) {
        OnJoinReply(step, send, *reply);
      }
      return;
    case SendPurpose::kHandOver:
      return OnHandOverEnded(
          step, send, std::holds_alternative<HandOverReply>(replied.message_));
  }
}

void OnPeerFailed(StepContext& step, const PeerFailed& failed) {
  bool found = false;
  const SendState send = PopSend(step, failed.send_id_, found);
  if (!found) return;
  RecordContact(step.state_.membership_, send.peer_, false);
  switch (send.purpose_) {
    case SendPurpose::kRun:
      if (CallState* call = CallAwaiting(step, send, failed.send_id_)) {
        OnRunFailed(step, *call, send, failed.failure_);
      }
      return;
    case SendPurpose::kAsk:
    case SendPurpose::kRoundAsk:
      if (CallState* call = CallAwaiting(step, send, failed.send_id_)) {
        OnAskFailed(step, *call, send);
      }
      return;
    case SendPurpose::kHandOver:
      return OnHandOverEnded(step, send, false);
    case SendPurpose::kExchange:
    case SendPurpose::kJoin:
      return;
  }
}

// Dispatches an event to its handler.
struct EventDispatch {
  StepContext& step_;

  void operator()(const CallArrived& event) const {
    OnCallArrived(step_, event);
  }
  void operator()(const CallerGone& event) const {
    OnCallerGone(step_, event.call_id_);
  }
  void operator()(const PeerRequested& event) const {
    std::visit(RequestDispatch{step_, event.inbound_id_}, event.message_);
  }
  void operator()(const PeerWithdrew& event) const {
    OnPeerWithdrew(step_, event.inbound_id_);
  }
  void operator()(const PeerReplied& event) const {
    OnPeerReplied(step_, event);
  }
  void operator()(const PeerFailed& event) const { OnPeerFailed(step_, event); }
  void operator()(const BackendAnswered& event) const {
    OnBackendAnswered(step_, event);
  }
  void operator()(const BackendFailed& event) const {
    OnBackendFailed(step_, event);
  }
  void operator()(const LogRead& event) const { OnLogRead(step_, event); }
  void operator()(const LogUnavailable&) const { OnLogUnavailable(step_); }
  void operator()(const LogAppended& event) const {
    OnLogAppended(step_, event);
  }
  void operator()(const TimeReached&) const {}
  void operator()(const DrainRequested&) const { OnDrainRequested(step_); }
};

}  // namespace

NodeState MakeNode(const NodeOptions& options, Timestamp now) {
  NodeState state;
  state.random_.state_ = options.seed_;
  state.admission_ = MakeAdmission(options.admission_, now);
  state.retry_budget_.tokens_ = options.retries_.budget_burst_;
  state.log_.last_snapshot_ = now;
  const Member self{.name_ = options.name_,
                    .incarnation_ = options.incarnation_,
                    .zone_ = options.zone_,
                    .region_ = options.region_,
                    .service_ = options.service_,
                    .rpc_address_ = options.rpc_address_};
  UpdateSelf(state.membership_, options.membership_, now, self);
  std::vector<Effect> none;
  StepContext step{state, options, now, none};
  ScheduleTimer(step, now, TimerKind::kLogPoll);
  ScheduleTimer(step, now + options.join_interval_, TimerKind::kJoin);
  ScheduleTimer(step, now + options.join_interval_, TimerKind::kGossip);
  ScheduleTimer(step, now, TimerKind::kHousekeeping);
  return state;
}

std::vector<Effect> Step(NodeState& state, const NodeOptions& options,
                         const Event& event) {
  std::vector<Effect> effects;
  StepContext step{state, options, event.now_, effects};
  // Due timers run first, so that an event that arrives after a call's deadline
  // cannot answer the call.
  FireTimers(step);
  std::visit(EventDispatch{step}, event.body_);
  return effects;
}

std::optional<Timestamp> NextWake(const NodeState& state) {
  if (state.timers_.empty()) return std::nullopt;
  return state.timers_.begin()->at_;
}

}  // namespace jujubefront
