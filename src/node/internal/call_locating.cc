#include "context/answer.h"
#include "membership/membership.h"
#include "node/internal/calls.h"
#include "node/internal/gossip.h"
#include "node/internal/timers.h"
#include "requests/locate.h"

namespace jujubefront {
namespace {

void SendQuestion(StepContext& step, const CallState& call,
                  const Member& target, SendPurpose purpose, bool as_home) {
  ++step.state_.counters_.questions_;
  const std::uint64_t send_id = NextId(step);
  step.state_.sends_[send_id] = {.purpose_ = purpose,
                                 .call_id_ = call.call_id_,
                                 .peer_ = target.name_,
                                 .incarnation_ = target.incarnation_,
                                 .as_home_ = as_home,
                                 .sent_at_ = step.now_};
  // The target answers a question about a running call when the call ends, so
  // the timeout covers the remaining time.
  const Duration remaining = call.context_.deadline_ - step.now_;
  step.effects_.emplace_back(SendPeer{
      .send_id_ = send_id,
      .address_ = target.rpc_address_,
      .message_ = AskRequest{.to_ = {target.name_, target.incarnation_},
                             .key_ = call.context_.key_,
                             .service_ = call.context_.service_,
                             .as_home_ = as_home},
      .timeout_ = remaining + step.options_.peer_timeout_});
}

void ContinueLocating(StepContext& step, CallState& call) {
  const RoundDecision decision = ContinueRound(
      call.round_, step.options_.requests_, call.context_.key_,
      ListService(step.state_.membership_, call.context_.service_));
  switch (decision.step_) {
    case RoundStep::kWait:
      return;
    case RoundStep::kUnknown:
      return FinishCall(step, call,
                        EmptyAnswer(Verdict::kUnknown, decision.reason_));
    case RoundStep::kRunAtHome: {
      const Member* home =
          FindMember(step.state_.membership_, call.round_.home_);
      return SendToTarget(step, call, *home);
    }
    case RoundStep::kAsk:
      break;
  }
  for (const std::string& name : decision.targets_) {
    const Member* target = FindMember(step.state_.membership_, name);
    SendQuestion(step, call, *target, SendPurpose::kRoundAsk,
                 name == call.round_.home_);
  }
}

void FinishWithRecord(StepContext& step, CallState& call,
                      const AskReply& reply) {
  const Answer& answer = reply.answer_;
  if (answer.verdict_ == Verdict::kFinished &&
      !IsWhole(answer, reply.body_length_)) {
    ++step.state_.counters_.corrupt_answers_;
    return FinishCall(step, call,
                      EmptyAnswer(Verdict::kUnknown, Reason::kCorruptAnswer));
  }
  FinishCall(step, call, answer);
}

// Handles the reply of the only target that may have run the call: it never ran
// it and has now sealed the key.
void OnBoundTargetNeverRan(StepContext& step, CallState& call) {
  const Answer answer = EmptyAnswer(Verdict::kNotRun, Reason::kSealed);
  const bool first = call.context_.send_kind_ == SendKind::kFirst;
  if (call.by_ticket_ || !first) return FinishCall(step, call, answer);
  // No other entry node has this key, so another target may run the call.
  TryElsewhere(step, call, EmptyAnswer(Verdict::kNotRun, Reason::kPeerLost));
}

void OnRoundReply(StepContext& step, CallState& call, const SendState& send,
                  const AskReply& reply) {
  for (const Member& member : reply.members_) ApplyMember(step, member);
  switch (reply.verdict_) {
    case AskVerdict::kFinished:
      return FinishWithRecord(step, call, reply);
    case AskVerdict::kTooOld:
      return FinishCall(step, call,
                        EmptyAnswer(Verdict::kExpired, Reason::kKeyTooOld));
    case AskVerdict::kOtherIncarnation:
      return FinishCall(step, call,
                        EmptyAnswer(Verdict::kUnknown, Reason::kMemoryLost));
    case AskVerdict::kNever:
    case AskVerdict::kSealed:
      break;
  }
  Question& question = call.round_.asked_[send.peer_];
  // A reply to a question that has since been asked again, with another
  // as_home_, is ignored.
  if (question.as_home_ == send.as_home_) question.state_ = AskState::kNever;
  ContinueLocating(step, call);
}

}  // namespace

void AskBoundTarget(StepContext& step, CallState& call) {
  call.phase_ = CallPhase::kAsking;
  const Member* target = FindMember(step.state_.membership_, call.target_);
  if (target == nullptr || target->incarnation_ != call.target_incarnation_) {
    const Reason reason =
        target == nullptr ? Reason::kPeerLost : Reason::kMemoryLost;
    return FinishCall(step, call, EmptyAnswer(Verdict::kUnknown, reason));
  }
  // The target handed its request table over; a locate round finds the target
  // that has it now.
  if (target->state_ == MemberState::kGone) return StartRound(step, call);
  SendQuestion(step, call, *target, SendPurpose::kAsk, false);
}

void StartRound(StepContext& step, CallState& call) {
  ++step.state_.counters_.rounds_;
  call.phase_ = CallPhase::kLocating;
  call.context_.send_kind_ = SendKind::kResend;
  call.context_.credit_ = 0;
  call.round_ = {};
  ContinueLocating(step, call);
}

void OnAskAgain(StepContext& step, std::uint64_t call_id) {
  const auto found = step.state_.calls_.find(call_id);
  if (found == step.state_.calls_.end()) return;
  if (found->second.phase_ != CallPhase::kAsking) return;
  AskBoundTarget(step, found->second);
}

void OnAskReply(StepContext& step, CallState& call, const SendState& send,
                const AskReply& reply) {
  if (send.purpose_ == SendPurpose::kRoundAsk) {
    // Late replies do not affect a call that has left its locate round.
    if (call.phase_ != CallPhase::kLocating) return;
    return OnRoundReply(step, call, send, reply);
  }
  if (call.phase_ != CallPhase::kAsking) return;
  switch (reply.verdict_) {
    case AskVerdict::kFinished:
      return FinishWithRecord(step, call, reply);
    case AskVerdict::kNever:
      return OnBoundTargetNeverRan(step, call);
    case AskVerdict::kSealed:
      // A round sealed it, so the call may have run at that round's home.
      return StartRound(step, call);
    case AskVerdict::kTooOld:
      return FinishCall(step, call,
                        EmptyAnswer(Verdict::kExpired, Reason::kKeyTooOld));
    case AskVerdict::kOtherIncarnation:
      return FinishCall(step, call,
                        EmptyAnswer(Verdict::kUnknown, Reason::kMemoryLost));
  }
}

void OnAskFailed(StepContext& step, CallState& call, const SendState& send) {
  if (send.purpose_ == SendPurpose::kRoundAsk) {
    if (call.phase_ != CallPhase::kLocating) return;
    // The unreachable target may have run the call.
    return FinishCall(step, call,
                      EmptyAnswer(Verdict::kUnknown, Reason::kPeerLost));
  }
  ScheduleTimer(step, step.now_ + step.options_.ask_interval_,
                TimerKind::kAskAgain, call.call_id_);
}

}  // namespace jujubefront
