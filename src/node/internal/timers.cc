#include "node/internal/timers.h"

#include "membership/membership.h"
#include "node/internal/calls.h"
#include "node/internal/document_sync.h"
#include "node/internal/gossip.h"
#include "node/internal/lifecycle.h"
#include "node/internal/target_runs.h"
#include "requests/request_table.h"
#include "suspicion/suspicion.h"

namespace jujubefront {
namespace {

constexpr Duration kSweepInterval = std::chrono::milliseconds(10);
constexpr Duration kHousekeepingInterval = std::chrono::seconds(1);

// Removes expired request records, charges and members.
void RunHousekeeping(StepContext& step) {
  ExpireRecords(step.state_.requests_, step.now_);
  RemoveExpiredCharges(step.state_.suspicion_, step.options_.suspicion_,
                       step.now_);
  ExpireMembers(step.state_.membership_, step.options_.membership_, step.now_);
  ScheduleTimer(step, step.now_ + kHousekeepingInterval,
                TimerKind::kHousekeeping);
}

void Fire(StepContext& step, const Timer& timer) {
  switch (timer.kind_) {
    case TimerKind::kCallDeadline:
      return OnCallDeadline(step, timer.id_);
    case TimerKind::kRunDeadline:
      return OnRunDeadline(step, timer.id_);
    case TimerKind::kAskAgain:
      return OnAskAgain(step, timer.id_);
    case TimerKind::kSweep:
      step.state_.sweep_scheduled_ = false;
      return SweepAdmission(step);
    case TimerKind::kGossip:
      return OnGossipTime(step);
    case TimerKind::kEarlyExchange:
      return OnEarlyExchangeTime(step);
    case TimerKind::kLogPoll:
      return OnLogPollTime(step);
    case TimerKind::kJoin:
      return OnJoinTime(step);
    case TimerKind::kDrain:
      return OnDrainTime(step);
    case TimerKind::kHousekeeping:
      return RunHousekeeping(step);
  }
}

}  // namespace

void ScheduleTimer(StepContext& step, Timestamp at, TimerKind kind,
                   std::uint64_t id) {
  step.state_.timers_.insert({.at_ = at, .kind_ = kind, .id_ = id});
}

void CancelTimer(StepContext& step, Timestamp at, TimerKind kind,
                 std::uint64_t id) {
  step.state_.timers_.erase({.at_ = at, .kind_ = kind, .id_ = id});
}

void ScheduleSweep(StepContext& step) {
  if (step.state_.sweep_scheduled_) return;
  step.state_.sweep_scheduled_ = true;
  ScheduleTimer(step, step.now_ + kSweepInterval, TimerKind::kSweep);
}

void FireTimers(StepContext& step) {
  auto& timers = step.state_.timers_;
  while (!timers.empty() && timers.begin()->at_ <= step.now_) {
    const Timer timer = *timers.begin();
    timers.erase(timers.begin());
    Fire(step, timer);
  }
}

}  // namespace jujubefront
