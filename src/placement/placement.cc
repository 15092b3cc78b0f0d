#include "placement/placement.h"

#include <algorithm>

namespace jujubefront {
namespace {

// Finishing times this close are taken for equal.
constexpr Duration kSameFinish = std::chrono::milliseconds(2);

Duration Scaled(Duration duration, double factor) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

Duration ExpectedWaitAt(const Place& place) {
  if (place.slots_ == 0) return place.hold_;
  const double over = place.load_ + 1.0 - static_cast<double>(place.slots_);
  if (over <= 0.0) return Duration::zero();
  return Scaled(place.hold_, over / static_cast<double>(place.slots_));
}

Duration ExpectedFinish(const Place& place, const PlacementOptions& options,
                        const PlacementNeed& need) {
  Duration finish = place.hold_ + ExpectedWaitAt(place);
  const double slots = std::max(1.0, static_cast<double>(place.slots_));
  const double use = place.load_ / slots;
  if (use > options.crowded_share_) {
    finish += Scaled(place.hold_, use - options.crowded_share_);
  }
  if (place.distance_ == Distance::kSameRegion) finish += options.zone_price_;
  if (place.distance_ == Distance::kOtherRegion) {
    finish += options.region_price_;
  }
  return finish + Scaled(need.latency_objective_, place.failure_share_);
}

std::optional<std::size_t> ChoosePlace(const std::vector<Place>& places,
                                       const PlacementOptions& options,
                                       const PlacementNeed& need, double draw) {
  std::vector<Duration> finish;
  finish.reserve(places.size());
  Duration best = Duration::max();
  for (const Place& place : places) {
    finish.push_back(ExpectedFinish(place, options, need));
    best = std::min(best, finish.back());
  }
  std::vector<std::size_t> equal;
  for (std::size_t i = 0; i < places.size(); ++i) {
    if (finish[i] <= best + kSameFinish) equal.push_back(i);
  }
  if (equal.empty()) return std::nullopt;
  const auto pick = static_cast<std::size_t>(
      draw * static_cast<double>(equal.size()));
  return equal[std::min(pick, equal.size() - 1)];
}

}  // namespace jujubefront
