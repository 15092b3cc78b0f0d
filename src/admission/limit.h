#ifndef JUJUBEFRONT_ADMISSION_LIMIT_H_
#define JUJUBEFRONT_ADMISSION_LIMIT_H_

#include "admission/admission_types.h"

namespace jujubefront {

// Adds one measurement: the backend server's own time, the total time of the
// call, and whether the call completed before its deadline.
void AddTimeSample(LimitState& state, Duration own_time, Duration total_time,
                   bool completed);

// Records the number of calls in flight after a start.
void RecordRunning(LimitState& state, std::uint32_t running);

// Closes a window of this length: grows, keeps or shrinks the limit. Additive
// increase and multiplicative decrease by the delay gradient, as in TCP Vegas.
void CloseLimitWindow(LimitState& state, const AdmissionOptions& options,
                      std::uint32_t running, Duration elapsed);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_ADMISSION_LIMIT_H_
