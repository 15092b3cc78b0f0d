#ifndef JUJUBEFRONT_PACING_PACING_H_
#define JUJUBEFRONT_PACING_PACING_H_

#include "base/time_types.h"

namespace jujubefront {

struct PacingOptions {
  // Starts that may follow each other at once, as time at the given rate.
  // Smooths random arrivals.
  Duration burst_ = std::chrono::milliseconds(250);
  // A lower rate is raised to this, as only answers show that a limit has
  // ended.
  double min_per_second_ = 0.5;
};

// Token bucket that bounds the rate of starts. It begins without tokens, so
// that several buckets one after the other never exceed the rate together.
struct Pacer {
  double per_second_ = 0.0;
  double tokens_ = 0.0;
  Timestamp updated_at_;
};

// Changes the rate. Tokens are kept up to the burst of the new rate.
void SetRate(Pacer& pacer, const PacingOptions& options, double per_second,
             Timestamp now);

// Starts that are allowed at once; negative or a fraction while the next one
// has to wait.
double AvailableStarts(const Pacer& pacer, const PacingOptions& options,
                       Timestamp now);

// Whether a start is allowed now.
bool CanStart(Pacer& pacer, const PacingOptions& options, Timestamp now);

// Takes the token of a start.
void RecordStart(Pacer& pacer, const PacingOptions& options, Timestamp now);

// Time until the next `starts` starts are allowed; zero if they are now.
Duration TimeUntilStarts(const Pacer& pacer, double starts, Timestamp now);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_PACING_PACING_H_
