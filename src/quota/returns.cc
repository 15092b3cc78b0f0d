#include "quota/returns.h"

#include <algorithm>

namespace jujubefront {
namespace {

// Least wait. Away for less than kMinTimeAway is no return, but jitter of the
// clients' deadlines.
constexpr Duration kMinWait = std::chrono::milliseconds(100);
constexpr Duration kMinTimeAway = std::chrono::milliseconds(90);
// Promised returns lie in the first part of the longest wait, unpromised ones
// at its end, so that the time away tells one from the other. The gap between
// them is for the time in transit.
constexpr double kPromisedPart = 0.75;
constexpr double kRecognisedPart = 0.9;
// Unpromised returns are spread over the rest, so that those who were rejected
// together do not return together.
constexpr double kUnpromisedPart = 0.92;
// Part of the room that is promised. Demand at a node varies by chance, and
// what is not promised is open to new requests.
constexpr double kPromisedRoom = 0.5;

Duration Part(Duration whole, double part) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(whole.count()) * part));
}

// Requests that this node may send in a slot from the current one on.
double NodeRoom(const QuotaMeter& meter, const QuotaOptions& options,
                const QuotaKnowledge& knowledge, std::size_t slot) {
  const double fleet = knowledge.fleet_.per_second_;
  if (fleet <= 0.0) return 0.0;
  const double part = std::min(1.0, meter.per_second_ / fleet);
  const double arriving =
      meter.per_second_ * InSeconds(QuotaSlotLength(options));
  return std::min(arriving, part * knowledge.forecast_->rooms_[slot]);
}

}  // namespace

bool IsPromisedReturn(Duration away, Duration longest) {
  return away >= kMinTimeAway && away < Part(longest, kRecognisedPart);
}

ReturnTime PromiseReturn(QuotaMeter& meter, const QuotaOptions& options,
                         const QuotaKnowledge& knowledge, Duration away,
                         Duration longest, Duration first_longest,
                         double draw) {
  const ReturnTime unpromised{
      .wait_ = std::max(
          kMinWait,
          Part(longest, kUnpromisedPart + (1.0 - kUnpromisedPart) * draw))};
  if (knowledge.forecast_ == nullptr || knowledge.cut_off_) return unpromised;
  const Duration slot = QuotaSlotLength(options);
  const Duration latest =
      std::min(longest, Part(first_longest, kPromisedPart) - away);
  for (std::size_t i = 0; i < kQuotaSlots; ++i) {
    const Duration from =
        std::max(kMinWait, slot * static_cast<std::int64_t>(i));
    const Duration to =
        std::min(latest, slot * static_cast<std::int64_t>(i + 1));
    if (from >= to) {
      if (from >= latest) break;
      continue;
    }
    const double room = kPromisedRoom * NodeRoom(meter, options, knowledge, i) *
                        (InSeconds(to - from) / InSeconds(slot));
    double& promised = meter.promised_[(meter.slot_ + i) % kQuotaSlots];
    if (promised + draw >= room) continue;
    promised += 1.0;
    return {.wait_ = from + Part(to - from, draw), .is_promised_ = true};
  }
  return unpromised;
}

}  // namespace jujubefront
