#include "pacing/pacing.h"

#include <algorithm>
#include <cmath>

namespace jujubefront {
namespace {

double MaxTokens(const Pacer& pacer, const PacingOptions& options) {
  return std::max(1.0, pacer.per_second_ * InSeconds(options.burst_));
}

double TokensAt(const Pacer& pacer, Timestamp now) {
  return pacer.tokens_ + pacer.per_second_ * InSeconds(now - pacer.updated_at_);
}

}  // namespace

double AvailableStarts(const Pacer& pacer, const PacingOptions& options,
                       Timestamp now) {
  return std::min(MaxTokens(pacer, options), TokensAt(pacer, now));
}

namespace {

void Refill(Pacer& pacer, const PacingOptions& options, Timestamp now) {
  pacer.tokens_ = AvailableStarts(pacer, options, now);
  pacer.updated_at_ = now;
}

}  // namespace

void SetRate(Pacer& pacer, const PacingOptions& options, double per_second,
             Timestamp now) {
  Refill(pacer, options, now);
  pacer.per_second_ = std::max(per_second, options.min_per_second_);
  pacer.tokens_ = std::min(pacer.tokens_, MaxTokens(pacer, options));
}

bool CanStart(Pacer& pacer, const PacingOptions& options, Timestamp now) {
  Refill(pacer, options, now);
  return TimeUntilStarts(pacer, 1.0, now) <= Duration::zero();
}

void RecordStart(Pacer& pacer, const PacingOptions& options, Timestamp now) {
  Refill(pacer, options, now);
  pacer.tokens_ -= 1.0;
}

Duration TimeUntilStarts(const Pacer& pacer, double starts, Timestamp now) {
  const double missing = starts - TokensAt(pacer, now);
  if (missing <= 0.0) return Duration::zero();
  // Rounded up, so that the tokens are there when the time is over.
  return Duration(
      static_cast<std::int64_t>(std::ceil(missing / pacer.per_second_ * 1e6)));
}

}  // namespace jujubefront
