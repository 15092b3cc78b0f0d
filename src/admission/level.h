#ifndef JUJUBEFRONT_ADMISSION_LEVEL_H_
#define JUJUBEFRONT_ADMISSION_LEVEL_H_

#include "admission/admission_types.h"

namespace jujubefront {

// An admission level that a target reported, and when it was received.
struct ReportedLevel {
  AdmissionLevel level_ = kAdmitAll;
  Timestamp received_at_;
};

// Counts an arrival of this priority.
void RecordArrival(LevelState& state, Priority priority);

// Counts a call that started after this wait.
void RecordStart(LevelState& state, Duration wait);

// Closes a window: under overload, lowers the level so that the admitted
// arrivals match the completions; otherwise raises it in growing steps. Uses a
// histogram of priorities as in DAGOR (Zhou et al., 2018).
void CloseLevelWindow(LevelState& state, const AdmissionOptions& options);

// Returns the level to assume now for a reported level. It rises with the age
// of the report, since old reports are less reliable.
AdmissionLevel LevelNow(const ReportedLevel& note, Timestamp now);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_ADMISSION_LEVEL_H_
