#ifndef JUJUBEFRONT_NODE_INTERNAL_TIMERS_H_
#define JUJUBEFRONT_NODE_INTERNAL_TIMERS_H_

#include "node/internal/step_context.h"

namespace jujubefront {

// Schedules a timer. A timer that is no longer needed is not cancelled: its
// handler finds nothing to do. Only call deadlines are cancelled, because there
// are many.
void ScheduleTimer(StepContext& step, Timestamp at, TimerKind kind,
                   std::uint64_t id = 0);

// Cancels a timer that was scheduled with the same time, kind and id.
void CancelTimer(StepContext& step, Timestamp at, TimerKind kind,
                 std::uint64_t id);

// Schedules the sweep of the admission queue unless it is scheduled.
void ScheduleSweep(StepContext& step);

// Runs every timer that is due.
void FireTimers(StepContext& step);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_NODE_INTERNAL_TIMERS_H_
