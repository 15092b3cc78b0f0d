#ifndef JUJUBEFRONT_ADMISSION_ADMISSION_H_
#define JUJUBEFRONT_ADMISSION_ADMISSION_H_

#include "admission/admission_types.h"

namespace jujubefront {

// Returns the admission state of a target that has just started.
AdmissionState MakeAdmission(const AdmissionOptions& options, Timestamp now);

// Handles a call that arrives: it starts, waits or is refused. It may displace
// a less important call from the queue.
AdmissionOutcome Offer(AdmissionState& state, const AdmissionOptions& options,
                       Timestamp now, const WaitingCall& call);

// Handles the end of a started call. `own_time` is the time that the backend
// server spent itself; `total_time` includes the calls that it waited for.
AdmissionOutcome Complete(AdmissionState& state,
                          const AdmissionOptions& options, Timestamp now,
                          Duration own_time, Duration total_time, RunEnd end);

// Removes a waiting call. Returns false when the call is not in the queue.
bool Withdraw(AdmissionState& state, std::uint64_t run_id);

// Refuses calls that have waited too long and closes the measurement windows
// that are due. Called periodically.
AdmissionOutcome Sweep(AdmissionState& state, const AdmissionOptions& options,
                       Timestamp now);

// Returns the current limit on calls in flight.
std::uint32_t CurrentLimit(const AdmissionState& state,
                           const AdmissionOptions& options);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_ADMISSION_ADMISSION_H_
