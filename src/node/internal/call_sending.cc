#include "context/answer.h"
#include "context/priority.h"
#include "membership/membership.h"
#include "node/internal/calls.h"
#include "retries/retries.h"
#include "routing/routing.h"

namespace jujubefront {
namespace {

Locality LocalityOf(const NodeOptions& options, const Member& member) {
  if (member.zone_ == options.zone_) return Locality::kLocalZone;
  if (member.region_ == options.region_) return Locality::kLocalRegion;
  return Locality::kOtherRegion;
}

bool AcceptsCall(const Member& member, const CallContext& context) {
  if (member.state_ == MemberState::kServing) return true;
  return member.state_ == MemberState::kJoining && context.idempotent_;
}

std::vector<Candidate> CandidatesFor(StepContext& step, const CallState& call) {
  std::vector<Candidate> candidates;
  const auto& members = step.state_.membership_;
  for (const auto& name : MembersOfService(members, call.context_.service_)) {
    if (call.tried_.contains(name)) continue;
    const Member& member = members.members_.at(name).member_;
    if (!AcceptsCall(member, call.context_)) continue;
    candidates.push_back(
        {.name_ = name, .locality_ = LocalityOf(step.options_, member)});
  }
  return candidates;
}

Answer RefusalFor(RouteFailure failure, const Answer& fallback) {
  if (failure == RouteFailure::kOverloaded) {
    return EmptyAnswer(Verdict::kNotRun, Reason::kOverloaded);
  }
  return fallback;
}

void RecordOutcome(StepContext& step, const SendState& send,
                   SendOutcome outcome) {
  RecordEnded(step.state_.routing_, step.options_.routing_, step.now_,
              send.peer_, outcome, step.now_ - send.sent_at_);
}

SendOutcome OutcomeOf(const Answer& answer) {
  switch (answer.verdict_) {
    case Verdict::kFinished:
    case Verdict::kExpired:
      return SendOutcome::kAnswered;
    case Verdict::kNotRun:
      return answer.reason_ == Reason::kBackendUnreachable
                 ? SendOutcome::kFailed
                 : SendOutcome::kRefused;
    case Verdict::kUnknown:
    case Verdict::kFailed:
      return answer.reason_ == Reason::kBackendBroken ? SendOutcome::kFailed
                                                      : SendOutcome::kAbandoned;
    case Verdict::kCondemned:
      return SendOutcome::kRefused;
  }
  return SendOutcome::kRefused;
}

void OnNotRun(StepContext& step, CallState& call, const Answer& answer) {
  if (answer.reason_ != Reason::kSealed) {
    return TryElsewhere(step, call, answer);
  }
  if (call.context_.send_kind_ == SendKind::kFirst) {
    // Another entry node is locating this key and may have it run at the key's
    // home target.
    call.context_.send_kind_ = SendKind::kResend;
    return StartRound(step, call);
  }
  // The home target was sealed by a round that took another target for the
  // home.
  FinishCall(step, call, EmptyAnswer(Verdict::kUnknown, Reason::kSealed));
}

}  // namespace

void TryElsewhere(StepContext& step, CallState& call, const Answer& answer) {
  // A located call may run only at its home target. It is certain that the call
  // never runs only if the home has sealed its key.
  const bool located = !call.context_.idempotent_ &&
                       call.context_.send_kind_ == SendKind::kResend;
  if (located) {
    const bool open = answer.verdict_ == Verdict::kNotRun && !answer.sealed_;
    return FinishCall(
        step, call,
        open ? EmptyAnswer(Verdict::kUnknown, answer.reason_) : answer);
  }
  if (call.context_.deadline_ <= step.now_) {
    return FinishCall(step, call, answer);
  }
  if (CandidatesFor(step, call).empty()) {
    return FinishCall(step, call, answer);
  }
  if (!SpendRetry(step.state_.retry_budget_, step.options_.retries_,
                  call.context_.credit_, call.tries_)) {
    return FinishCall(step, call, answer);
  }
  ++step.state_.counters_.retries_;
  SendToAnyTarget(step, call, answer);
}

void SendToAnyTarget(StepContext& step, CallState& call, Answer fallback) {
  const Route route =
      ChooseTarget(step.state_.routing_, step.options_.routing_, step.now_,
                   CandidatesFor(step, call), call.context_.class_name_,
                   PriorityOf(call.context_), step.state_.random_);
  if (route.target_.empty()) {
    if (route.failure_ == RouteFailure::kOverloaded && call.tries_ == 0) {
      ++step.state_.counters_.refused_at_entry_;
    }
    Answer answer = RefusalFor(route.failure_, fallback);
    // If an earlier try may have run, its answer takes precedence over this
    // refusal.
    if (fallback.verdict_ != Verdict::kNotRun) answer = std::move(fallback);
    answer.credit_left_ = call.context_.credit_;
    return FinishCall(step, call, std::move(answer));
  }
  SendToTarget(step, call, *FindMember(step.state_.membership_, route.target_));
}

void SendToTarget(StepContext& step, CallState& call, const Member& target) {
  call.phase_ = CallPhase::kRunning;
  call.target_ = target.name_;
  call.target_incarnation_ = target.incarnation_;
  call.tried_.insert(target.name_);
  call.sent_ = true;
  ++call.tries_;
  ++step.state_.counters_.sends_;
  if (LocalityOf(step.options_, target) == Locality::kOtherRegion) {
    ++step.state_.counters_.crossings_;
  }
  call.send_id_ = NextId(step);
  RecordSent(step.state_.routing_, target.name_);
  step.state_.sends_[call.send_id_] = {.purpose_ = SendPurpose::kRun,
                                       .call_id_ = call.call_id_,
                                       .peer_ = target.name_,
                                       .incarnation_ = target.incarnation_,
                                       .sent_at_ = step.now_};
  const Duration remaining = call.context_.deadline_ - step.now_;
  step.effects_.emplace_back(SendPeer{
      .send_id_ = call.send_id_,
      .address_ = target.rpc_address_,
      .message_ = RunRequest{.to_ = {target.name_, target.incarnation_},
                             .context_ = call.context_,
                             .remaining_ = remaining,
                             .body_ = call.body_},
      .timeout_ = remaining + step.options_.peer_timeout_});
  // The credit is transferred to the target; its answer returns the remainder.
  call.context_.credit_ = 0;
}

void OnRunAnswer(StepContext& step, CallState& call, const SendState& send,
                 const RunReply& reply) {
  const Answer& answer = reply.answer_;
  RecordLevel(step.state_.routing_, step.now_, send.peer_,
              call.context_.class_name_, answer.level_);
  if (answer.verdict_ == Verdict::kFinished &&
      !IsWhole(answer, reply.body_length_)) {
    ++step.state_.counters_.corrupt_answers_;
    return OnRunFailed(step, call, send, PeerFailure::kLost);
  }
  RecordOutcome(step, send, OutcomeOf(answer));
  call.context_.credit_ = answer.credit_left_;
  call.context_.charges_ = std::max(call.context_.charges_, answer.charges_);
  switch (answer.verdict_) {
    case Verdict::kNotRun:
      return OnNotRun(step, call, answer);
    case Verdict::kFailed:
      // It ran, so the child calls of a second run may be resends.
      call.context_.send_kind_ = SendKind::kResend;
      return TryElsewhere(step, call, answer);
    case Verdict::kFinished:
    case Verdict::kUnknown:
    case Verdict::kExpired:
    case Verdict::kCondemned:
      return FinishCall(step, call, answer);
  }
}

void OnRunRefused(StepContext& step, CallState& call, const SendState& send,
                  Reason reason) {
  RecordOutcome(step, send, SendOutcome::kFailed);
  TryElsewhere(step, call, EmptyAnswer(Verdict::kNotRun, reason));
}

void OnRunFailed(StepContext& step, CallState& call, const SendState& send,
                 PeerFailure failure) {
  RecordOutcome(step, send, SendOutcome::kFailed);
  if (failure == PeerFailure::kNotSent) {
    call.context_.credit_ = 0;
    return TryElsewhere(step, call,
                        EmptyAnswer(Verdict::kNotRun, Reason::kPeerLost));
  }
  if (call.context_.idempotent_) {
    call.context_.send_kind_ = SendKind::kResend;
    return TryElsewhere(step, call,
                        EmptyAnswer(Verdict::kFailed, Reason::kPeerLost));
  }
  AskBoundTarget(step, call);
}

}  // namespace jujubefront
