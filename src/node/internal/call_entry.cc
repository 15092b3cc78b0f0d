#include "configuration/section.h"
#include "context/answer.h"
#include "node/internal/calls.h"
#include "node/internal/target_runs.h"
#include "node/internal/timers.h"
#include "requests/request_table.h"
#include "requests/ticket.h"
#include "retries/retries.h"

namespace jujubefront {
namespace {

// Class of the requested operation, or the reason why the call is refused.
struct Classified {
  const CallClass* class_ = nullptr;
  Reason reason_ = Reason::kNone;
};

Classified Classify(const Catalogue& catalogue, const CallArrived& arrived) {
  if (catalogue.services_.empty()) {
    return {.reason_ = Reason::kNoConfiguration};
  }
  const auto service = catalogue.services_.find(arrived.service_);
  if (service == catalogue.services_.end()) {
    return {.reason_ = Reason::kUnknownService};
  }
  const Operation* operation =
      FindOperation(service->second, arrived.method_, arrived.path_);
  if (operation == nullptr) return {.reason_ = Reason::kUnknownOperation};
  const auto found = catalogue.classes_.find(operation->class_name_);
  if (found == catalogue.classes_.end()) {
    return {.reason_ = Reason::kUnknownOperation};
  }
  return {.class_ = &found->second};
}

RequestKey MakeKey(StepContext& step) {
  const std::uint64_t high = NextRandom(step.state_.random_);
  const std::uint64_t low = NextRandom(step.state_.random_);
  return MakeRequestKey(step.now_, high, low);
}

Timestamp DeadlineOf(StepContext& step, const CallArrived& arrived,
                     const CallClass& call_class) {
  Duration remaining = call_class.deadline_;
  if (arrived.remaining_) remaining = std::min(remaining, *arrived.remaining_);
  return step.now_ + remaining;
}

CallContext RootContext(StepContext& step, const CallArrived& arrived,
                        const CallClass& call_class) {
  CallContext context;
  context.key_ = arrived.key_ ? *arrived.key_ : MakeKey(step);
  context.root_key_ = context.key_;
  context.customer_ = arrived.customer_;
  context.class_name_ = call_class.name_;
  context.tier_ = call_class.tier_;
  context.send_kind_ = KindOfSend(step.options_.requests_, step.now_, arrived);
  const bool is_resend = context.send_kind_ == SendKind::kResend;
  context.credit_ = RootCredit(step.options_.retries_, is_resend);
  context.deadline_ = DeadlineOf(step, arrived, call_class);
  return context;
}

// A child call has its root's priority, keeps the root's class for metrics and
// admission levels, and shares its parent's credit and deadline.
CallContext ChildContext(StepContext& step, const CallArrived& arrived,
                         const CallClass& call_class, RunState& parent) {
  CallContext context = parent.context_;
  const std::uint64_t index = parent.child_counts_[arrived.service_]++;
  context.key_ = DeriveChildKey(parent.context_.key_, arrived.service_, index);
  context.credit_ = TakeCreditForChild(parent.context_.credit_);
  context.depth_ = parent.context_.depth_ + 1;
  context.charges_ = 0;
  context.deadline_ = std::min(parent.context_.deadline_,
                               DeadlineOf(step, arrived, call_class));
  return context;
}

// Returns the reason to refuse a new call, or kNone.
Reason CheckArrival(StepContext& step, const CallArrived& arrived) {
  const LifecycleState& lifecycle = step.state_.lifecycle_;
  if (arrived.parent_run_) {
    const auto parent = step.state_.runs_.find(*arrived.parent_run_);
    if (parent == step.state_.runs_.end()) return Reason::kCancelled;
    if (parent->second.context_.depth_ + 1 >= step.options_.max_depth_) {
      return Reason::kTooDeep;
    }
    return Reason::kNone;
  }
  if (lifecycle.handing_over_ || lifecycle.stopped_) return Reason::kLeaving;
  if (!step.state_.log_.caught_up_) return Reason::kNoConfiguration;
  if (!arrived.key_) return Reason::kNone;
  const RequestOptions& requests = step.options_.requests_;
  if (IsTooOld(requests, step.now_, *arrived.key_)) return Reason::kKeyTooOld;
  if (IsFromFuture(requests, step.now_, *arrived.key_)) {
    return Reason::kKeyFromFuture;
  }
  return Reason::kNone;
}

CallState& AddCall(StepContext& step, const CallArrived& arrived,
                   CallContext context) {
  CallState& call = step.state_.calls_[arrived.call_id_];
  call.call_id_ = arrived.call_id_;
  call.context_ = std::move(context);
  call.body_ = arrived.body_;
  call.attempt_ = arrived.attempt_.value_or(0);
  call.parent_run_ = arrived.parent_run_;
  call.started_at_ = step.now_;
  ScheduleTimer(step, call.context_.deadline_, TimerKind::kCallDeadline,
                call.call_id_);
  return call;
}

void BeginCall(StepContext& step, CallState& call, const std::string& ticket) {
  if (call.context_.deadline_ <= step.now_) {
    FinishCall(step, call, EmptyAnswer(Verdict::kNotRun, Reason::kDeadline));
    return;
  }
  const std::optional<Ticket> bound =
      call.context_.idempotent_ ? std::nullopt : ParseTicket(ticket);
  if (bound) {
    call.by_ticket_ = true;
    call.target_ = bound->target_;
    call.target_incarnation_ = bound->incarnation_;
    AskBoundTarget(step, call);
    return;
  }
  if (!call.context_.idempotent_ &&
      call.context_.send_kind_ == SendKind::kResend) {
    StartRound(step, call);
    return;
  }
  EarnRetry(step.state_.retry_budget_, step.options_.retries_);
  SendToAnyTarget(step, call, EmptyAnswer(Verdict::kNotRun, Reason::kNoTarget));
}

}  // namespace

SendKind KindOfSend(const RequestOptions& options, Timestamp now,
                    const CallArrived& arrived) {
  if (!arrived.key_) return SendKind::kFirst;
  if (arrived.attempt_) {
    return *arrived.attempt_ == 0 ? SendKind::kFirst : SendKind::kResend;
  }
  return InferSendKind(options, now, *arrived.key_);
}

void OnCallArrived(StepContext& step, const CallArrived& arrived) {
  ++step.state_.counters_.calls_;
  const Reason refused = CheckArrival(step, arrived);
  if (refused != Reason::kNone) return RefuseArrival(step, arrived, refused);
  const Classified classified =
      Classify(step.state_.configuration_.catalogue_, arrived);
  if (classified.class_ == nullptr) {
    return RefuseArrival(step, arrived, classified.reason_);
  }
  CallContext context;
  if (arrived.parent_run_) {
    RunState& parent = step.state_.runs_.at(*arrived.parent_run_);
    context = ChildContext(step, arrived, *classified.class_, parent);
    OnChildStarted(step, parent);
  } else {
    context = RootContext(step, arrived, *classified.class_);
  }
  context.service_ = arrived.service_;
  context.method_ = arrived.method_;
  context.path_ = arrived.path_;
  context.idempotent_ = classified.class_->idempotent_;
  CallState& call = AddCall(step, arrived, std::move(context));
  BeginCall(step, call, arrived.ticket_);
}

void OnCallerGone(StepContext& step, std::uint64_t call_id) {
  const auto found = step.state_.calls_.find(call_id);
  if (found == step.state_.calls_.end()) return;
  // Only idempotent work is cancelled: the answer of a non-idempotent call must
  // be on record in case its caller sends it again.
  const Verdict verdict =
      found->second.context_.idempotent_ ? Verdict::kFailed : Verdict::kUnknown;
  FinishCall(step, found->second, EmptyAnswer(verdict, Reason::kCancelled));
}

void OnCallDeadline(StepContext& step, std::uint64_t call_id) {
  const auto found = step.state_.calls_.find(call_id);
  if (found == step.state_.calls_.end()) return;
  CallState& call = found->second;
  Verdict verdict = Verdict::kNotRun;
  if (call.sent_ || call.by_ticket_) {
    verdict = call.context_.idempotent_ ? Verdict::kFailed : Verdict::kUnknown;
  }
  // Until a locate round ends it is unknown whether an earlier send ran.
  if (call.phase_ == CallPhase::kLocating) verdict = Verdict::kUnknown;
  FinishCall(step, call, EmptyAnswer(verdict, Reason::kDeadline));
}

}  // namespace jujubefront
