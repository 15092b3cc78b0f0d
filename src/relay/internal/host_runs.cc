#include <algorithm>
#include <cmath>

#include "http1/http1_codec.h"
#include "relay/internal/relay_step.h"
#include "relay/internal/request_log.h"

namespace jujubefront {
namespace {

// A client's request may wait for a slot for the time left until its latency
// objective, divided by this, but at least kMinWait. A run that is not expected
// to start in time is refused on arrival.
constexpr int kObjectiveDivisor = 4;
constexpr Duration kMinWait = std::chrono::milliseconds(20);
constexpr Duration kSweepInterval = std::chrono::milliseconds(20);
// Weight of the latest run in the mean hold time of its route.
constexpr double kSmoothingWeight = 0.05;
// Mean hold time of a slot that is assumed until a run has been measured.
constexpr Duration kDefaultHold = std::chrono::milliseconds(50);

}  // namespace

Duration MeanHoldTime(const RelayState& state) {
  double runs = 0.0;
  double seconds = 0.0;
  for (const auto& [route, stats] : state.run_stats_) {
    runs += stats.runs_;
    seconds += stats.runs_ * stats.hold_seconds_;
  }
  if (runs <= 0.0) return kDefaultHold;
  return Duration(static_cast<std::int64_t>(seconds / runs * 1e6));
}

namespace {

SlotUse CurrentSlotUse(const RelayStep& step) {
  const RelayState& state = step.state_;
  SlotUse use{.slots_ = state.backend_.slots_,
              .running_ = state.running_,
              .mean_hold_ = MeanHoldTime(state)};
  const NamedRateLimit& limit = state.backend_.rate_limit_;
  if (!limit.per_second_) return use;
  use.starts_per_second_ = limit.pacer_.per_second_;
  use.starts_now_ =
      AvailableStarts(limit.pacer_, step.options_.pacing_, step.now_);
  return use;
}

void Reply(RelayStep& step, const OpenRun& run, RunReply reply) {
  reply.send_id_ = run.order_.send_id_;
  reply.running_ = step.state_.running_;
  reply.waiting_ =
      static_cast<std::uint32_t>(step.state_.waiting_.runs_.size());
  reply.start_limit_ = FindStartLimit(step);
  reply.load_report_ = CurrentLoadReport(step.state_, step.now_);
  const auto last_send = step.state_.last_send_ids_.find(run.connection_id_);
  if (last_send != step.state_.last_send_ids_.end()) {
    reply.last_send_id_ = last_send->second;
  }
  reply.calls_failed_ =
      run.calls_failed_ || (run.started_at_ != Timestamp{} &&
                            step.state_.call_failed_at_ >= run.started_at_);
  if (run.connection_id_ == 0) {
    step.state_.local_replies_.push_back(std::move(reply));
  } else {
    step.effects_.emplace_back(SendBack{.connection_id_ = run.connection_id_,
                                        .message_ = std::move(reply)});
  }
}

// Removes a run and its deadline timer; `run` is a dangling reference
// afterwards.
void EraseRun(RelayStep& step, OpenRun& run) {
  step.state_.timers_.erase(
      {run.deadline_, RelayTimerKind::kRunDeadline, run.run_id_});
  step.state_.run_of_send_.erase({run.connection_id_, run.order_.send_id_});
  step.state_.runs_.erase(run.run_id_);
}

void ReplyNotRun(RelayStep& step, OpenRun& run, NotRunReason reason) {
  ++step.state_.counters_.runs_refused_;
  if (reason == NotRunReason::kSuspect) {
    ++step.state_.counters_.runs_refused_suspect_;
  }
  LogRunRefused(step, run, reason);
  Reply(step, run, {.outcome_ = RunOutcome::kNotRun, .reason_ = reason});
  EraseRun(step, run);
}

void RecordRunDuration(RelayStep& step, const OpenRun& run) {
  RunStats& stats = step.state_.run_stats_[run.order_.route_];
  const double hold = InSeconds(step.now_ - run.started_at_);
  // The first runs are averaged with equal weights, so that the mean doesn't
  // start at zero.
  stats.runs_ = std::min(stats.runs_ + 1.0, 1.0 / kSmoothingWeight);
  const double weight = 1.0 / stats.runs_;
  stats.hold_seconds_ += weight * (hold - stats.hold_seconds_);
  stats.last_at_ = step.now_;
  Duration& recent = step.state_.recent_hold_;
  const Duration held = step.now_ - run.started_at_;
  recent = recent == Duration::zero()
               ? held
               : recent + Duration(static_cast<std::int64_t>(
                              kSmoothingWeight *
                              static_cast<double>((held - recent).count())));
}

void ReleaseSlot(RelayStep& step, OpenRun& run) {
  if (!run.started_) return;
  run.started_ = false;
  RemoveContainedRun(step, run);
  const auto [first, last] =
      step.state_.run_of_deadline_.equal_range(run.deadline_);
  for (auto it = first; it != last; ++it) {
    if (it->second != run.run_id_) continue;
    step.state_.run_of_deadline_.erase(it);
    break;
  }
  const auto by_trace = step.state_.run_of_trace_.find(run.order_.trace_id_);
  if (by_trace != step.state_.run_of_trace_.end() &&
      by_trace->second == run.run_id_) {
    step.state_.run_of_trace_.erase(by_trace);
  }
  if (step.state_.running_ > 0) --step.state_.running_;
}

void BeginRun(RelayStep& step, OpenRun& run) {
  run.started_ = true;
  run.started_at_ = step.now_;
  run.backend_started_at_ms_ = step.state_.backend_.started_at_ms_;
  step.state_.run_of_deadline_.emplace(run.deadline_, run.run_id_);
  step.state_.run_of_trace_[run.order_.trace_id_] = run.run_id_;
  RecordContainedRun(step, run);
  ++step.state_.running_;
  ++step.state_.counters_.runs_;
  RecordLimitedStart(step);
  RecordBackendArrival(step, run);
  step.state_.call_window_.runs_[run.order_.route_] += 1.0;
  LogRunStarted(step, run);
  step.effects_.emplace_back(
      StartRun{.run_id_ = run.run_id_,
               .address_ = step.options_.backend_address_,
               .instance_ = run.order_.instance_,
               .caller_service_ = run.order_.caller_service_,
               .workspace_ = run.order_.workspace_,
               .remaining_ = run.deadline_ - step.now_,
               .request_ = run.order_.request_});
}

bool BackendIsReady(const RelayState& state) {
  return state.backend_.state_ == BackendState::kReady;
}

NotRunReason FindRefusalReason(const RelayStep& step, const RunOrder& order) {
  const RelayState& state = step.state_;
  if (state.backend_.state_ == BackendState::kDraining ||
      state.backend_.state_ == BackendState::kGone) {
    return NotRunReason::kDraining;
  }
  if (!BackendIsReady(state)) return NotRunReason::kUnreachable;
  if (order.instance_ != state.backend_.instance_) {
    return NotRunReason::kOtherInstance;
  }
  if (order.remaining_ <= Duration::zero()) return NotRunReason::kExpired;
  if (IsBlockedBySuspicion(step, order)) return NotRunReason::kSuspect;
  return NotRunReason::kNone;
}

void RecordSendId(RelayStep& step, std::uint64_t connection_id,
                  std::uint64_t send_id) {
  const auto& received = step.state_.backend_.load_report_;
  if (!received || !received->report_.pace_) return;
  std::uint64_t& last = step.state_.last_send_ids_[connection_id];
  last = std::max(last, send_id);
}

// Latest time at which starting the run is still useful. Calls of backend
// servers may wait longer than clients' requests.
Timestamp LatestStart(const RelayStep& step, const RunOrder& order) {
  if (order.is_call_) return step.now_ + order.remaining_ * 3 / 4;
  const Duration wait =
      std::max(kMinWait, order.objective_left_ / kObjectiveDivisor);
  return step.now_ + std::min(wait, order.remaining_ / 2);
}

}  // namespace

std::uint64_t FindParentRun(const RelayStep& step, Timestamp deadline,
                            Duration tolerance) {
  std::uint64_t parent = 0;
  Duration min_distance = tolerance;
  const auto& runs = step.state_.run_of_deadline_;
  for (auto it = runs.lower_bound(deadline - tolerance);
       it != runs.end() && it->first <= deadline + tolerance; ++it) {
    const Duration distance = std::chrono::abs(it->first - deadline);
    if (distance > min_distance) continue;
    min_distance = distance;
    parent = it->second;
  }
  return parent;
}

void OnRunOrder(RelayStep& step, std::uint64_t connection_id, RunOrder& order) {
  const std::uint64_t run_id = NewId(step);
  OpenRun& run = step.state_.runs_[run_id];
  run.run_id_ = run_id;
  run.connection_id_ = connection_id;
  run.order_ = std::move(order);
  run.arrived_ = step.now_;
  run.deadline_ = step.now_ + run.order_.remaining_;
  step.state_.run_of_send_[{connection_id, run.order_.send_id_}] = run_id;
  AdoptRateLimit(step, run.order_);
  RecordSendId(step, connection_id, run.order_.send_id_);
  const NotRunReason reason = FindRefusalReason(step, run.order_);
  if (reason != NotRunReason::kNone) return ReplyNotRun(step, run, reason);
  ScheduleTimer(step, run.deadline_, RelayTimerKind::kRunDeadline, run_id);
  const WaitingRun waiting{
      .run_id_ = run_id,
      .is_call_ = run.order_.is_call_,
      .workspace_priority_ = run.order_.workspace_priority_,
      .priority_ = run.order_.priority_,
      .arrived_ = step.now_,
      .start_by_ = LatestStart(step, run.order_)};
  if (!Enqueue(step.state_.waiting_, CurrentSlotUse(step), step.now_,
               waiting)) {
    ++step.state_.refused_in_window_;
    return ReplyNotRun(step, run, NotRunReason::kOverloaded);
  }
  StartWaiting(step);
  if (!step.state_.waiting_.runs_.empty()) {
    ScheduleTimer(step, step.now_ + kSweepInterval,
                  RelayTimerKind::kWaitingSweep);
  }
}

void OnRunOrderRefused(RelayStep& step, std::uint64_t connection_id,
                       std::uint64_t send_id) {
  OpenRun run{.connection_id_ = connection_id};
  run.order_.send_id_ = send_id;
  ReplyNotRun(step, run, NotRunReason::kOverloaded);
}

void StartWaiting(RelayStep& step) {
  RelayState& state = step.state_;
  while (state.running_ < state.backend_.slots_ && BackendIsReady(state)) {
    if (state.waiting_.runs_.empty() || !IsStartAllowed(step)) return;
    const auto next = TakeNext(state.waiting_);
    OpenRun& run = state.runs_.at(next->run_id_);
    if (run.deadline_ <= step.now_) {
      ReplyNotRun(step, run, NotRunReason::kExpired);
      continue;
    }
    if (run.order_.instance_ != state.backend_.instance_) {
      ReplyNotRun(step, run, NotRunReason::kOtherInstance);
      continue;
    }
    if (IsBlockedBySuspicion(step, run.order_)) {
      ReplyNotRun(step, run, NotRunReason::kSuspect);
      continue;
    }
    BeginRun(step, run);
  }
}

void RefuseWaiting(RelayStep& step, NotRunReason reason) {
  while (const auto next = TakeNext(step.state_.waiting_)) {
    ReplyNotRun(step, step.state_.runs_.at(next->run_id_), reason);
  }
}

void RefuseCondemnedWaiting(RelayStep& step) {
  std::vector<std::uint64_t> condemned;
  for (const auto& [run_id, run] : step.state_.runs_) {
    if (run.started_) continue;
    const ContentVerdict verdict = EvaluateContentForCaller(
        step, run.order_.content_, run.order_.caller_service_);
    if (verdict.standing_ == Standing::kCondemned) condemned.push_back(run_id);
  }
  std::sort(condemned.begin(), condemned.end());
  for (const std::uint64_t run_id : condemned) {
    RemoveWaiting(step.state_.waiting_, run_id);
    ReplyNotRun(step, step.state_.runs_.at(run_id), NotRunReason::kSuspect);
  }
}

void RefuseExpiredWaiting(RelayStep& step) {
  for (const std::uint64_t run_id :
       TakeExpired(step.state_.waiting_, step.now_)) {
    ReplyNotRun(step, step.state_.runs_.at(run_id), NotRunReason::kExpired);
  }
  if (!step.state_.waiting_.runs_.empty()) {
    ScheduleTimer(step, step.now_ + kSweepInterval,
                  RelayTimerKind::kWaitingSweep);
  }
}

void OnRunCancel(RelayStep& step, std::uint64_t connection_id,
                 std::uint64_t send_id) {
  const auto found = step.state_.run_of_send_.find({connection_id, send_id});
  if (found == step.state_.run_of_send_.end()) return;
  OpenRun& run = step.state_.runs_.at(found->second);
  if (!run.started_) {
    RemoveWaiting(step.state_.waiting_, run.run_id_);
    Reply(step, run,
          {.outcome_ = RunOutcome::kNotRun, .reason_ = NotRunReason::kExpired});
    return EraseRun(step, run);
  }
  // A run that is not idempotent is left to finish: aborting it could leave a
  // booking half done.
  if (!run.order_.idempotent_) return;
  step.effects_.emplace_back(AbortRun{.run_id_ = run.run_id_});
  ReleaseSlot(step, run);
  RecordUnansweredRun(step, run);
  Reply(step, run, {.outcome_ = RunOutcome::kTimedOut});
  EraseRun(step, run);
  StartWaiting(step);
}

void OnEntryDisconnected(RelayStep& step, std::uint64_t connection_id) {
  step.state_.last_send_ids_.erase(connection_id);
  std::vector<std::uint64_t> sends;
  auto it = step.state_.run_of_send_.lower_bound({connection_id, 0});
  for (; it != step.state_.run_of_send_.end(); ++it) {
    if (it->first.first != connection_id) break;
    sends.push_back(it->first.second);
  }
  for (const std::uint64_t send_id : sends) {
    OnRunCancel(step, connection_id, send_id);
  }
}

void OnBackendResponded(RelayStep& step, BackendResponded& responded) {
  const auto found = step.state_.runs_.find(responded.run_id_);
  if (found == step.state_.runs_.end()) return;
  OpenRun& run = found->second;
  ReleaseSlot(step, run);
  const Duration hold = step.now_ - run.started_at_;
  // A corrupted response may come from another sender.
  if (!responded.corrupted_) OnBackendNotice(step, run, responded.notice_);
  if (responded.corrupted_) {
    ++step.state_.counters_.runs_broken_;
    LogRunBroken(step, run, "body is not what the backend server made");
    Reply(step, run, {.outcome_ = RunOutcome::kBroken});
  } else if (responded.not_run_) {
    // The run was rejected before it made calls, so it doesn't count as one
    // that could have made them.
    step.state_.call_window_.runs_[run.order_.route_] -= 1.0;
    if (AllowRepeatAfterRejection(step, run)) return BeginRun(step, run);
    ++step.state_.counters_.runs_refused_;
    Reply(step, run,
          {.outcome_ = RunOutcome::kNotRun,
           .reason_ = NotRunReason::kRejected,
           .stated_ = MakeStatement(step, run)});
  } else {
    RecordRunDuration(step, run);
    // A failed run may not have made all its calls, so it is not counted.
    if (responded.response_.status_ < 500) {
      CountRun(step.state_.call_counts_, run.order_.route_, run.calls_);
    }
    if (responded.response_.status_ < 500) ClearContent(step, run);
    LogRunEnded(step, run, responded.response_);
    RemoveConnectionHeaders(responded.response_.headers_);
    Reply(step, run,
          {.outcome_ = RunOutcome::kAnswered,
           .hold_ = hold,
           .stated_ = MakeStatement(step, run),
           .response_ = std::move(responded.response_)});
  }
  EraseRun(step, run);
  StartWaiting(step);
}

void OnBackendExchangeFailed(RelayStep& step,
                             const BackendExchangeFailed& failure) {
  const auto found = step.state_.runs_.find(failure.run_id_);
  if (found == step.state_.runs_.end()) return;
  OpenRun& run = found->second;
  ReleaseSlot(step, run);
  if (failure.failure_ == BackendExchangeFailure::kNotSent ||
      failure.failure_ == BackendExchangeFailure::kRefused) {
    ReplyNotRun(step, run, NotRunReason::kUnreachable);
    if (failure.failure_ == BackendExchangeFailure::kRefused) {
      OnBackendConnectionRefused(step);
    } else {
      OnBackendUnreachable(step);
    }
    return StartWaiting(step);
  }
  ++step.state_.counters_.runs_broken_;
  if (failure.failure_ == BackendExchangeFailure::kNoMemory) {
    LogRunBroken(step, run, "no memory for the response");
    // Not a failure of the backend server, and another run would need as much.
    run.calls_failed_ = true;
    Reply(step, run, {.outcome_ = RunOutcome::kTimedOut});
    EraseRun(step, run);
    return StartWaiting(step);
  }
  RecordUnansweredRun(step, run);
  ProbeBackendAfterBreak(step);
  LogRunBroken(step, run,
               failure.failure_ == BackendExchangeFailure::kBroken
                   ? "connection was lost"
                   : "no response to this request");
  Reply(step, run, {.outcome_ = RunOutcome::kBroken});
  EraseRun(step, run);
  StartWaiting(step);
}

void OnRunDeadline(RelayStep& step, std::uint64_t run_id) {
  const auto found = step.state_.runs_.find(run_id);
  if (found == step.state_.runs_.end()) return;
  OpenRun& run = found->second;
  if (!run.started_) {
    RemoveWaiting(step.state_.waiting_, run_id);
    return ReplyNotRun(step, run, NotRunReason::kExpired);
  }
  // The backend server ends its work at the same deadline, and its answer may
  // still be in transit.
  if (step.now_ < run.deadline_ + step.options_.answer_slack_) {
    ScheduleTimer(step, run.deadline_ + step.options_.answer_slack_,
                  RelayTimerKind::kRunDeadline, run_id);
    return;
  }
  step.effects_.emplace_back(AbortRun{.run_id_ = run_id});
  ReleaseSlot(step, run);
  RecordUnansweredRun(step, run);
  RecordRunDuration(step, run);
  LogRunBroken(step, run, "no response in time");
  Reply(step, run, {.outcome_ = RunOutcome::kTimedOut});
  EraseRun(step, run);
  StartWaiting(step);
}

}  // namespace jujubefront
