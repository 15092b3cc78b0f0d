#include "admission/admission.h"

#include <algorithm>
#include <tuple>

#include "admission/level.h"
#include "admission/limit.h"
#include "context/priority.h"

namespace jujubefront {
namespace {

bool HasCapacity(const AdmissionState& state, const AdmissionOptions& options) {
  return state.running_ < CurrentLimit(state, options);
}

bool QueuesByPriority(const AdmissionOptions& options) {
  return options.policy_ == AdmissionPolicy::kAdaptive;
}

void Start(AdmissionState& state, Timestamp now, const WaitingCall& call,
           AdmissionOutcome& outcome) {
  ++state.running_;
  RecordRunning(state.limit_, state.running_);
  RecordStart(state.level_, now - call.arrived_);
  outcome.start_.push_back(call.run_id_);
}

void Enqueue(AdmissionState& state, const AdmissionOptions& options,
             WaitingCall call) {
  // The baseline policies queue by arrival only.
  if (!QueuesByPriority(options)) {
    call.priority_ = 0;
    call.depth_ = 0;
  }
  state.queue_.insert(call);
  state.waiting_.emplace(call.run_id_, call);
}

// Maximum number of waiting calls: as many as can be served within the maximum
// wait.
std::size_t QueueCapacity(const AdmissionState& state,
                          const AdmissionOptions& options) {
  const double time_us = std::max(1.0, state.limit_.average_time_us_);
  const auto wait_us = static_cast<double>(options.max_queue_wait_.count());
  const double limit = CurrentLimit(state, options);
  return static_cast<std::size_t>(std::max(1.0, limit * wait_us / time_us));
}

// True when the call would probably miss its deadline if it started now.
bool IsTooLate(const AdmissionState& state, const AdmissionOptions& options,
               Timestamp now, const WaitingCall& call) {
  if (call.deadline_ <= now) return true;
  if (!QueuesByPriority(options)) return false;
  const double time_us = state.limit_.average_time_us_ / 2.0;
  return call.deadline_ - now < Duration(static_cast<std::int64_t>(time_us));
}

void StartWaiting(AdmissionState& state, const AdmissionOptions& options,
                  Timestamp now, AdmissionOutcome& outcome) {
  while (!state.queue_.empty() && HasCapacity(state, options)) {
    const WaitingCall call = *state.queue_.begin();
    Withdraw(state, call.run_id_);
    if (IsTooLate(state, options, now, call)) {
      outcome.too_late_.push_back(call.run_id_);
    } else {
      Start(state, now, call, outcome);
    }
  }
}

// Refuses the least important calls while more wait than can be served.
void TrimQueue(AdmissionState& state, const AdmissionOptions& options,
               AdmissionOutcome& outcome) {
  const std::size_t capacity = QueueCapacity(state, options);
  while (state.queue_.size() > capacity) {
    const WaitingCall last = *state.queue_.rbegin();
    Withdraw(state, last.run_id_);
    state.level_.refused_ = true;
    outcome.overloaded_.push_back(last.run_id_);
  }
}

void RefuseLongWaits(AdmissionState& state, const AdmissionOptions& options,
                     Timestamp now, AdmissionOutcome& outcome) {
  std::vector<WaitingCall> overdue;
  for (const WaitingCall& call : state.queue_) {
    const bool long_wait = now - call.arrived_ > options.max_queue_wait_;
    if (long_wait || call.deadline_ <= now) overdue.push_back(call);
  }
  for (const WaitingCall& call : overdue) {
    Withdraw(state, call.run_id_);
    state.level_.refused_ = true;
    auto& list =
        call.deadline_ <= now ? outcome.too_late_ : outcome.overloaded_;
    list.push_back(call.run_id_);
  }
}

}  // namespace

bool WaitingOrder::operator()(const WaitingCall& first,
                              const WaitingCall& second) const {
  const auto key = [](const WaitingCall& call) {
    const unsigned tier = call.priority_ / kCohortsPerTier;
    const unsigned cohort = call.priority_ % kCohortsPerTier;
    const std::int64_t shallowness = -static_cast<std::int64_t>(call.depth_);
    return std::tuple(tier, shallowness, cohort, call.arrived_, call.run_id_);
  };
  return key(first) < key(second);
}

AdmissionState MakeAdmission(const AdmissionOptions& options, Timestamp now) {
  AdmissionState state;
  state.limit_.limit_ = options.initial_limit_;
  state.window_start_ = now;
  return state;
}

std::uint32_t CurrentLimit(const AdmissionState& state,
                           const AdmissionOptions& options) {
  switch (options.policy_) {
    case AdmissionPolicy::kNone:
      return ~0U;
    case AdmissionPolicy::kFixed:
      return options.fixed_limit_;
    case AdmissionPolicy::kAdaptive:
    case AdmissionPolicy::kPerHop:
      break;
  }
  return static_cast<std::uint32_t>(std::max(1.0, state.limit_.limit_));
}

AdmissionOutcome Offer(AdmissionState& state, const AdmissionOptions& options,
                       Timestamp now, const WaitingCall& call) {
  AdmissionOutcome outcome;
  RecordArrival(state.level_, call.priority_);
  if (IsTooLate(state, options, now, call)) {
    outcome.too_late_.push_back(call.run_id_);
    return outcome;
  }
  if (HasCapacity(state, options) && state.queue_.empty()) {
    Start(state, now, call, outcome);
    return outcome;
  }
  state.limit_.reached_ = true;
  if (QueuesByPriority(options) &&
      !Admits(state.level_.level_, call.priority_)) {
    outcome.overloaded_.push_back(call.run_id_);
    return outcome;
  }
  Enqueue(state, options, call);
  StartWaiting(state, options, now, outcome);
  TrimQueue(state, options, outcome);
  return outcome;
}

AdmissionOutcome Complete(AdmissionState& state,
                          const AdmissionOptions& options, Timestamp now,
                          Duration own_time, Duration total_time, RunEnd end) {
  AdmissionOutcome outcome;
  if (state.running_ > 0) --state.running_;
  const bool completed = end == RunEnd::kCompleted;
  if (end != RunEnd::kFailed) {
    AddTimeSample(state.limit_, own_time, total_time, completed);
  }
  if (completed) state.level_.completions_ += 1.0;
  StartWaiting(state, options, now, outcome);
  return outcome;
}

bool Withdraw(AdmissionState& state, std::uint64_t run_id) {
  const auto found = state.waiting_.find(run_id);
  if (found == state.waiting_.end()) return false;
  state.queue_.erase(found->second);
  state.waiting_.erase(found);
  return true;
}

AdmissionOutcome Sweep(AdmissionState& state, const AdmissionOptions& options,
                       Timestamp now) {
  AdmissionOutcome outcome;
  RefuseLongWaits(state, options, now, outcome);
  if (now - state.window_start_ >= options.window_) {
    CloseLimitWindow(state.limit_, options, state.running_,
                     now - state.window_start_);
    CloseLevelWindow(state.level_, options);
    state.window_start_ = now;
    StartWaiting(state, options, now, outcome);
    TrimQueue(state, options, outcome);
  }
  return outcome;
}

}  // namespace jujubefront
