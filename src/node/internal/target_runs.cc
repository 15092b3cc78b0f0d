#include "node/internal/target_runs.h"

#include <algorithm>

#include "admission/admission.h"
#include "context/answer.h"
#include "context/priority.h"
#include "membership/membership.h"
#include "node/internal/target_replies.h"
#include "node/internal/timers.h"
#include "requests/request_table.h"
#include "suspicion/suspicion.h"

namespace jujubefront {
namespace {

bool IsAddressee(const StepContext& step, const Addressee& to) {
  return to.name_ == step.options_.name_ &&
         to.incarnation_ == step.options_.incarnation_;
}

void ReplyWaiter(StepContext& step, const RunWaiter& waiter,
                 const CallContext& context, const Answer& answer) {
  step.state_.run_of_inbound_.erase(waiter.inbound_id_);
  if (!waiter.is_question_) {
    return ReplyRun(step, waiter.inbound_id_, context, answer);
  }
  const bool never = answer.verdict_ == Verdict::kNotRun;
  ReplyAsk(step, waiter.inbound_id_,
           never ? AskVerdict::kNever : AskVerdict::kFinished,
           never ? Answer{} : answer, context.service_);
}

// Ends a run that may have done work; if it is not idempotent, its answer is
// recorded for resends.
void FinishRun(StepContext& step, RunState& run, Answer answer) {
  ++step.state_.counters_.runs_finished_;
  answer.served_by_ = step.options_.name_;
  if (!run.context_.idempotent_) {
    MarkFinished(step.state_.requests_, step.options_.requests_,
                 run.context_.key_, answer);
  }
  const std::vector<RunWaiter> waiters = run.waiters_;
  const CallContext context = run.context_;
  step.state_.runs_.erase(run.run_id_);
  for (const RunWaiter& waiter : waiters) {
    ReplyWaiter(step, waiter, context, answer);
  }
}

// Ends a run that certainly did no work.
void RefuseRun(StepContext& step, RunState& run, Reason reason) {
  ++step.state_.counters_.runs_refused_;
  Answer answer = EmptyAnswer(Verdict::kNotRun, reason);
  const CallContext context = run.context_;
  const std::vector<RunWaiter> waiters = run.waiters_;
  if (!context.idempotent_) {
    MarkNeverRun(step.state_.requests_, context.key_);
    // Entry nodes that located the key or joined the run receive a final reply
    // that it never ran, so the key must be sealed. Only an entry node for
    // which this is a first send may try another target.
    const bool shared = waiters.size() > 1 ||
                        (!waiters.empty() && waiters.front().is_question_);
    if (shared || context.send_kind_ == SendKind::kResend) {
      MarkSealed(step.state_.requests_, step.options_.requests_, context.key_);
      answer.sealed_ = true;
    }
  }
  step.state_.runs_.erase(run.run_id_);
  for (const RunWaiter& waiter : waiters) {
    ReplyWaiter(step, waiter, context, answer);
  }
}

void StartRun(StepContext& step, RunState& run) {
  ++step.state_.counters_.runs_started_;
  run.started_ = true;
  run.started_at_ = step.now_;
  if (run.context_.charges_ > 0) ++step.state_.suspects_running_;
  Timestamp limit = run.context_.deadline_;
  if (!run.context_.idempotent_) limit += step.options_.answer_grace_;
  ScheduleTimer(step, limit, TimerKind::kRunDeadline, run.run_id_);
  step.effects_.emplace_back(RunBackend{
      .run_id_ = run.run_id_, .context_ = run.context_, .body_ = run.body_});
}

void RefuseById(StepContext& step, std::uint64_t run_id, Reason reason) {
  const auto found = step.state_.runs_.find(run_id);
  if (found != step.state_.runs_.end()) RefuseRun(step, found->second, reason);
}

void Apply(StepContext& step, const AdmissionOutcome& outcome) {
  for (const std::uint64_t run_id : outcome.start_) {
    const auto found = step.state_.runs_.find(run_id);
    if (found != step.state_.runs_.end()) StartRun(step, found->second);
  }
  for (const std::uint64_t run_id : outcome.overloaded_) {
    RefuseById(step, run_id, Reason::kOverloaded);
  }
  for (const std::uint64_t run_id : outcome.too_late_) {
    ++step.state_.counters_.runs_late_;
    RefuseById(step, run_id, Reason::kDeadline);
  }
}

// Refuses a call for which this target has not created a run. A located call is
// sealed: its entry node can try no other target and reports that it never ran.
void RefuseArrivingCall(StepContext& step, std::uint64_t inbound_id,
                        const CallContext& context, Reason reason) {
  ++step.state_.counters_.runs_refused_;
  Answer answer = EmptyAnswer(Verdict::kNotRun, reason);
  if (!context.idempotent_ && context.send_kind_ == SendKind::kResend) {
    MarkSealed(step.state_.requests_, step.options_.requests_, context.key_);
    answer.sealed_ = true;
  }
  ReplyRun(step, inbound_id, context, std::move(answer));
}

// Ends the run's admission and starts the next queued calls.
void ReleaseSlot(StepContext& step, const RunState& run, RunEnd end) {
  if (run.context_.charges_ > 0 && step.state_.suspects_running_ > 0) {
    --step.state_.suspects_running_;
  }
  const Duration total_time = step.now_ - run.started_at_;
  const Duration own_time = std::max(total_time - run.child_time_, Duration(1));
  ScheduleSweep(step);
  Apply(step, Complete(step.state_.admission_, step.options_.admission_,
                       step.now_, own_time, total_time, end));
}

// Returns the reason to refuse a call before it is offered to admission, or
// kNone.
Reason CheckCall(StepContext& step, const CallContext& context,
                 std::uint32_t charges) {
  const MemberState state = step.state_.lifecycle_.state_;
  if (state >= MemberState::kLeaving) return Reason::kLeaving;
  if (state == MemberState::kJoining && !context.idempotent_) {
    return Reason::kJoining;
  }
  // Suspects run one at a time, so that a second crash identifies the request
  // that caused it.
  if (charges > 0 && step.state_.suspects_running_ > 0) {
    return Reason::kOverloaded;
  }
  const bool feeds_back =
      step.options_.admission_.policy_ == AdmissionPolicy::kAdaptive;
  const auto found = step.state_.downstream_.find(context.class_name_);
  if (!feeds_back || found == step.state_.downstream_.end()) {
    return Reason::kNone;
  }
  for (const auto& [service, report] : found->second) {
    if (!Admits(LevelNow(report, step.now_), PriorityOf(context))) {
      return Reason::kOverloaded;
    }
  }
  return Reason::kNone;
}

void BeginRun(StepContext& step, std::uint64_t inbound_id,
              const RunRequest& request, std::uint32_t charges) {
  const std::uint64_t run_id = NextId(step);
  RunState& run = step.state_.runs_[run_id];
  run.run_id_ = run_id;
  run.context_ = request.context_;
  run.context_.charges_ = charges;
  run.context_.deadline_ = step.now_ + request.remaining_;
  run.body_ = request.body_;
  run.arrived_at_ = step.now_;
  run.waiters_.push_back({.inbound_id_ = inbound_id});
  step.state_.run_of_inbound_[inbound_id] = run_id;
  if (!run.context_.idempotent_) {
    MarkRunning(step.state_.requests_, step.options_.requests_,
                run.context_.key_, run_id);
  }
  const WaitingCall call{.run_id_ = run_id,
                         .priority_ = PriorityOf(run.context_),
                         .depth_ = run.context_.depth_,
                         .arrived_ = step.now_,
                         .deadline_ = run.context_.deadline_};
  ScheduleSweep(step);
  Apply(step, Offer(step.state_.admission_, step.options_.admission_, step.now_,
                    call));
}

void JoinRun(StepContext& step, std::uint64_t inbound_id,
             const RequestRecord& record, bool is_question) {
  ++step.state_.counters_.joins_;
  RunState& run = step.state_.runs_.at(record.run_id_);
  run.waiters_.push_back(
      {.inbound_id_ = inbound_id, .is_question_ = is_question});
  step.state_.run_of_inbound_[inbound_id] = run.run_id_;
}

Answer AnswerFor(SendDecision decision) {
  switch (decision) {
    case SendDecision::kSealed:
      return EmptyAnswer(Verdict::kNotRun, Reason::kSealed);
    case SendDecision::kTooOld:
      return EmptyAnswer(Verdict::kExpired, Reason::kKeyTooOld);
    case SendDecision::kFromFuture:
      return EmptyAnswer(Verdict::kNotRun, Reason::kKeyFromFuture);
    case SendDecision::kTooYoung: {
      Answer answer = EmptyAnswer(Verdict::kNotRun, Reason::kJoining);
      answer.sealed_ = true;  // this target remains too young for the key
      return answer;
    }
    case SendDecision::kFull:
    case SendDecision::kRun:
    case SendDecision::kJoin:
    case SendDecision::kReplay:
      break;
  }
  return EmptyAnswer(Verdict::kNotRun, Reason::kOverloaded);
}

// Handles a send whose key this target knows or must not run, by replying or
// joining the existing run. Returns false if the call is to be run.
bool ReplyFromTable(StepContext& step, std::uint64_t inbound_id,
                    const RunRequest& request) {
  const CallContext& context = request.context_;
  const Member* self = FindMember(step.state_.membership_, step.options_.name_);
  const SendDecision decision =
      DecideSend(step.state_.requests_, step.options_.requests_, step.now_,
                 context.key_, self->serving_since_);
  if (decision == SendDecision::kRun) return false;
  const RequestRecord* record = FindRecord(step.state_.requests_, context.key_);
  if (decision == SendDecision::kJoin) {
    JoinRun(step, inbound_id, *record, false);
  } else if (decision == SendDecision::kReplay) {
    ++step.state_.counters_.replays_;
    ReplyRun(step, inbound_id, context, record->answer_);
  } else {
    ReplyRun(step, inbound_id, context, AnswerFor(decision));
  }
  return true;
}

// Charges the call if its run failed because the backend server's connection
// broke, and returns its charges.
std::uint32_t ChargeFor(StepContext& step, const RunState& run,
                        BackendFailure failure) {
  if (failure != BackendFailure::kBroken) return run.context_.charges_;
  const std::uint32_t charges = run.context_.charges_ + 1;
  const SuspicionOptions& options = step.options_.suspicion_;
  RaiseCharges(step.state_.suspicion_, options, step.now_,
               AsFingerprint(run.context_.key_), charges);
  if (charges == options.min_charges_to_condemn_) {
    step.effects_.emplace_back(
        StateChange{.kind_ = ChangeKind::kRequestCondemned,
                    .subject_ = FormatRequestKey(run.context_.key_),
                    .number_ = charges});
  }
  return charges;
}

}  // namespace

void OnRunRequest(StepContext& step, std::uint64_t inbound_id,
                  const RunRequest& request) {
  const CallContext& context = request.context_;
  if (!IsAddressee(step, request.to_)) {
    return ReplyRun(step, inbound_id, context,
                    EmptyAnswer(Verdict::kNotRun, Reason::kOtherIncarnation));
  }
  // Keys in the request table are answered even while this target is leaving.
  const bool known = !context.idempotent_ &&
                     FindRecord(step.state_.requests_, context.key_) != nullptr;
  const std::uint32_t charges = std::max(
      context.charges_,
      ChargesAgainst(step.state_.suspicion_, AsFingerprint(context.key_)));
  if (!known && charges >= step.options_.suspicion_.min_charges_to_condemn_) {
    Answer answer = EmptyAnswer(Verdict::kCondemned, Reason::kCrashes);
    answer.charges_ = charges;
    return ReplyRun(step, inbound_id, context, answer);
  }
  if (!known) {
    const Reason refused = CheckCall(step, context, charges);
    if (refused != Reason::kNone) {
      return RefuseArrivingCall(step, inbound_id, context, refused);
    }
  }
  if (!context.idempotent_ && ReplyFromTable(step, inbound_id, request)) return;
  BeginRun(step, inbound_id, request, charges);
}

void OnAskRequest(StepContext& step, std::uint64_t inbound_id,
                  const AskRequest& request) {
  const auto reply = [&](AskVerdict verdict, const Answer& answer) {
    ReplyAsk(step, inbound_id, verdict, answer, request.service_);
  };
  if (!IsAddressee(step, request.to_)) {
    return reply(AskVerdict::kOtherIncarnation, {});
  }
  RequestTable& table = step.state_.requests_;
  const RequestOptions& options = step.options_.requests_;
  AskOutcome outcome{.record_ = FindRecord(table, request.key_)};
  if (outcome.record_ == nullptr) {
    if (IsTooOld(options, step.now_, request.key_)) {
      return reply(AskVerdict::kTooOld, {});
    }
    if (request.as_home_) return reply(AskVerdict::kNever, {});
    outcome = AskAndSeal(table, options, request.key_);
  }
  if (outcome.record_ == nullptr) {
    // The table is full: this target cannot seal the key, so it cannot promise
    // that the call will never run here.
    return reply(AskVerdict::kFinished,
                 EmptyAnswer(Verdict::kUnknown, Reason::kOverloaded));
  }
  switch (outcome.record_->state_) {
    case RequestState::kRunning:
      return JoinRun(step, inbound_id, *outcome.record_, true);
    case RequestState::kFinished:
      ++step.state_.counters_.replays_;
      return reply(AskVerdict::kFinished, outcome.record_->answer_);
    case RequestState::kSealed:
      return reply(
          outcome.newly_sealed_ ? AskVerdict::kNever : AskVerdict::kSealed, {});
  }
}

void OnPeerWithdrew(StepContext& step, std::uint64_t inbound_id) {
  const auto inbound = step.state_.run_of_inbound_.find(inbound_id);
  if (inbound == step.state_.run_of_inbound_.end()) return;
  const auto found = step.state_.runs_.find(inbound->second);
  step.state_.run_of_inbound_.erase(inbound);
  if (found == step.state_.runs_.end()) return;
  RunState& run = found->second;
  std::erase_if(run.waiters_, [&](const RunWaiter& waiter) {
    return waiter.inbound_id_ == inbound_id;
  });
  if (!run.waiters_.empty()) return;
  if (!run.started_) {
    Withdraw(step.state_.admission_, run.run_id_);
    return RefuseRun(step, run, Reason::kCancelled);
  }
  if (run.context_.idempotent_) {
    step.effects_.emplace_back(AbortBackend{.run_id_ = run.run_id_});
  }
}

void OnBackendAnswered(StepContext& step, const BackendAnswered& answered) {
  const auto found = step.state_.runs_.find(answered.run_id_);
  if (found == step.state_.runs_.end()) {
    ++step.state_.counters_.late_answers_;
    return;
  }
  const std::uint64_t run_id = answered.run_id_;
  ReleaseSlot(step, found->second, RunEnd::kCompleted);
  Answer answer;
  answer.verdict_ = Verdict::kFinished;
  answer.http_status_ = answered.http_status_;
  answer.content_type_ = answered.content_type_;
  answer.body_ = answered.body_;
  if (answer.body_) answer.body_hash_ = HashBytes(*answer.body_);
  FinishRun(step, step.state_.runs_.at(run_id), std::move(answer));
}

void OnBackendFailed(StepContext& step, const BackendFailed& failed) {
  const auto found = step.state_.runs_.find(failed.run_id_);
  if (found == step.state_.runs_.end()) return;
  const std::uint64_t run_id = failed.run_id_;
  const std::uint32_t charges = ChargeFor(step, found->second, failed.failure_);
  ReleaseSlot(step, found->second, RunEnd::kFailed);
  RunState& run = step.state_.runs_.at(run_id);
  if (failed.failure_ == BackendFailure::kNotSent) {
    return RefuseRun(step, run, Reason::kBackendUnreachable);
  }
  const bool broken = failed.failure_ == BackendFailure::kBroken;
  Answer answer = EmptyAnswer(
      run.context_.idempotent_ ? Verdict::kFailed : Verdict::kUnknown,
      broken ? Reason::kBackendBroken : Reason::kCancelled);
  answer.charges_ = charges;
  FinishRun(step, run, std::move(answer));
}

void OnRunDeadline(StepContext& step, std::uint64_t run_id) {
  const auto found = step.state_.runs_.find(run_id);
  if (found == step.state_.runs_.end()) return;
  step.effects_.emplace_back(AbortBackend{.run_id_ = run_id});
  // A run that timed out counts as a sample too; otherwise the slowest calls
  // would never influence the concurrency limit.
  ReleaseSlot(step, found->second, RunEnd::kTimedOut);
  RunState& run = step.state_.runs_.at(run_id);
  const Verdict verdict =
      run.context_.idempotent_ ? Verdict::kFailed : Verdict::kUnknown;
  FinishRun(step, run, EmptyAnswer(verdict, Reason::kDeadline));
}

void SweepAdmission(StepContext& step) {
  Apply(step,
        Sweep(step.state_.admission_, step.options_.admission_, step.now_));
  const AdmissionState& admission = step.state_.admission_;
  // An idle target keeps its measurements and needs no sweep.
  const bool idle = admission.running_ == 0 && admission.queue_.empty() &&
                    admission.level_.level_ == kAdmitAll;
  if (!idle) ScheduleSweep(step);
}

void OnChildStarted(StepContext& step, RunState& parent) {
  if (parent.children_++ == 0) parent.child_since_ = step.now_;
}

void OnChildFinished(StepContext& step, const CallState& call,
                     const Answer& answer) {
  const auto found = step.state_.runs_.find(*call.parent_run_);
  if (found == step.state_.runs_.end()) return;
  RunState& parent = found->second;
  parent.context_.credit_ += answer.credit_left_;
  if (parent.children_ > 0 && --parent.children_ == 0) {
    parent.child_time_ += step.now_ - parent.child_since_;
  }
  step.state_.downstream_[call.context_.class_name_][call.context_.service_] = {
      .level_ = answer.level_, .received_at_ = step.now_};
}

}  // namespace jujubefront
