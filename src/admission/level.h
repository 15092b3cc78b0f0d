#ifndef JUJUBEFRONT_ADMISSION_LEVEL_H_
#define JUJUBEFRONT_ADMISSION_LEVEL_H_

#include "admission/admission_types.h"

namespace jujubefront {

// A level heard from a target, and when.
struct ReportedLevel {
  AdmissionLevel level_ = kAdmitAll;
  Timestamp received_at_;
};

// Counts an arrival of this priority.
void RecordArrival(LevelState& state, Priority priority);

// Counts a call that started after this wait.
void RecordStart(LevelState& state, Duration wait);

// Closes a window: lowers the level to what the backend server completes, or
// raises it in growing steps. Histogram of priorities after DAGOR (Zhou et
// al., 2018).
void CloseLevelWindow(LevelState& state, const AdmissionOptions& options);

// What an earlier heard level admits by now: old levels are trusted less.
AdmissionLevel LevelNow(const ReportedLevel& note, Timestamp now);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_ADMISSION_LEVEL_H_
