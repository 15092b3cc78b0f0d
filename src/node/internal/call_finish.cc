#include "base/hashing.h"
#include "context/answer.h"
#include "node/internal/calls.h"
#include "node/internal/target_runs.h"
#include "node/internal/timers.h"
#include "requests/ticket.h"
#include "retries/retries.h"
#include "routing/routing.h"

namespace jujubefront {
namespace {

void Count(NodeCounters& counters, Verdict verdict) {
  switch (verdict) {
    case Verdict::kFinished:
      ++counters.finished_;
      return;
    case Verdict::kNotRun:
      ++counters.not_run_;
      return;
    case Verdict::kUnknown:
      ++counters.unknown_;
      return;
    case Verdict::kFailed:
    case Verdict::kExpired:
    case Verdict::kCondemned:
      ++counters.failed_;
      return;
  }
}

// Adds a ticket, with which the caller's next attempt asks the only target that
// may have run the call.
void AddTicket(const CallState& call, Answer& answer) {
  if (answer.verdict_ != Verdict::kUnknown || call.target_.empty()) return;
  answer.ticket_ = FormatTicket(
      {.target_ = call.target_, .incarnation_ = call.target_incarnation_});
}

// Returns the verdict for a call refused on arrival. A refusal covers only this
// send: if an earlier send of the key may have run, only a target can say that
// it did not.
Verdict VerdictOnRefusal(const StepContext& step, const CallArrived& arrived,
                         Reason reason) {
  if (reason == Reason::kKeyTooOld) return Verdict::kExpired;
  const bool resend = KindOfSend(step.options_.requests_, step.now_, arrived) ==
                      SendKind::kResend;
  return resend || !arrived.ticket_.empty() ? Verdict::kUnknown
                                            : Verdict::kNotRun;
}

// Cancels the sends of a call that are still pending.
void WithdrawSends(StepContext& step, const CallState& call) {
  std::vector<std::uint64_t> open;
  if (step.state_.sends_.contains(call.send_id_)) {
    open.push_back(call.send_id_);
  }
  if (call.phase_ == CallPhase::kLocating) {
    for (const auto& [send_id, send] : step.state_.sends_) {
      const bool own = send.purpose_ == SendPurpose::kRoundAsk &&
                       send.call_id_ == call.call_id_;
      if (own) open.push_back(send_id);
    }
  }
  for (const std::uint64_t send_id : open) {
    const SendState& send = step.state_.sends_.at(send_id);
    if (send.purpose_ == SendPurpose::kRun) {
      RecordEnded(step.state_.routing_, step.options_.routing_, step.now_,
                  send.peer_, SendOutcome::kAbandoned, Duration());
    }
    step.state_.sends_.erase(send_id);
    step.effects_.emplace_back(WithdrawPeer{.send_id_ = send_id});
  }
}

}  // namespace

void FinishCall(StepContext& step, CallState& call, Answer answer) {
  // Targets keep no record of idempotent calls, so the refusal of one send does
  // not tell whether an earlier send ran.
  const bool earlier_may_have_run =
      call.context_.idempotent_ &&
      call.context_.send_kind_ == SendKind::kResend;
  if (earlier_may_have_run && answer.verdict_ == Verdict::kNotRun) {
    answer.verdict_ = Verdict::kFailed;
  }
  Count(step.state_.counters_, answer.verdict_);
  AddTicket(call, answer);
  if (answer.verdict_ != Verdict::kFinished &&
      answer.retry_after_ == Duration::zero()) {
    answer.retry_after_ =
        RetryAfter(call.attempt_, NextUnit(step.state_.random_));
  }
  WithdrawSends(step, call);
  CancelTimer(step, call.context_.deadline_, TimerKind::kCallDeadline,
              call.call_id_);
  if (call.parent_run_) OnChildFinished(step, call, answer);
  step.effects_.emplace_back(
      AnswerCaller{.call_id_ = call.call_id_,
                   .answer_ = std::move(answer),
                   .key_ = call.context_.key_,
                   .service_ = call.context_.service_,
                   .class_name_ = call.context_.class_name_,
                   .customer_ = call.context_.customer_,
                   .tries_ = call.tries_,
                   .elapsed_ = step.now_ - call.started_at_});
  step.state_.calls_.erase(call.call_id_);
}

void RefuseArrival(StepContext& step, const CallArrived& arrived,
                   Reason reason) {
  const Verdict verdict = VerdictOnRefusal(step, arrived, reason);
  Answer answer = EmptyAnswer(verdict, reason);
  if (verdict == Verdict::kUnknown) answer.ticket_ = arrived.ticket_;
  answer.retry_after_ =
      RetryAfter(arrived.attempt_.value_or(0), NextUnit(step.state_.random_));
  Count(step.state_.counters_, verdict);
  step.effects_.emplace_back(
      AnswerCaller{.call_id_ = arrived.call_id_,
                   .answer_ = std::move(answer),
                   .key_ = arrived.key_.value_or(RequestKey{}),
                   .service_ = arrived.service_,
                   .customer_ = arrived.customer_});
}

}  // namespace jujubefront
