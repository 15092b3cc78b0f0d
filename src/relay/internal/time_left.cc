#include "relay/internal/time_left.h"

#include <algorithm>
#include <bit>

namespace jujubefront {
namespace {

// Requests that have more time left than all but this share are left out.
constexpr double kLeftOutShare = 0.1;
// Decay per window of the longest time left, so that it follows clients that
// start to use shorter deadlines, and of the number of requests.
constexpr double kDeadlineDecay = 0.999;
constexpr double kRequestDecay = 0.99;

}  // namespace

void RecordTimeLeft(TimeLeftMeter& meter, Duration left) {
  const auto milliseconds = static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, left / std::chrono::milliseconds(1)));
  const auto digits = static_cast<std::size_t>(std::bit_width(milliseconds));
  auto& bucket = meter.buckets_.at(std::min(digits, meter.buckets_.size() - 1));
  bucket.longest_ = std::max(bucket.longest_, left);
  bucket.requests_ += 1.0;
  meter.requests_ += 1.0;
}

Duration UsualTimeLeft(const TimeLeftMeter& meter) {
  double longer = 0.0;
  for (std::size_t i = meter.buckets_.size(); i-- > 0;) {
    longer += meter.buckets_.at(i).requests_;
    if (longer > kLeftOutShare * meter.requests_) {
      return meter.buckets_.at(i).longest_;
    }
  }
  return Duration::zero();
}

void DecayTimeLeft(TimeLeftMeter& meter) {
  meter.requests_ = 0.0;
  for (auto& bucket : meter.buckets_) {
    bucket.requests_ *= kRequestDecay;
    meter.requests_ += bucket.requests_;
    bucket.longest_ = Duration(static_cast<std::int64_t>(
        static_cast<double>(bucket.longest_.count()) * kDeadlineDecay));
  }
}

}  // namespace jujubefront
