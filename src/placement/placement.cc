#include "placement/placement.h"

#include <algorithm>

namespace jujubefront {
namespace {

// Expected finishing times that differ by no more than this count as equal.
constexpr Duration kSameFinish = std::chrono::milliseconds(2);

Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

Duration ExpectedWaitAt(const PlacementCandidate& place) {
  if (place.slots_ == 0) return place.hold_;
  const double over = place.load_ + 1.0 - static_cast<double>(place.slots_);
  if (over <= 0.0) return Duration::zero();
  return Scaled(place.hold_, over / static_cast<double>(place.slots_));
}

Duration ExpectedFinish(const PlacementCandidate& place,
                        const PlacementOptions& options,
                        const PlacementNeed& need) {
  Duration finish = place.hold_ + ExpectedWaitAt(place);
  const double slots = std::max(1.0, static_cast<double>(place.slots_));
  const double use = place.load_ / slots;
  if (use > options.crowded_share_) {
    finish += Scaled(place.hold_, use - options.crowded_share_);
  }
  if (place.distance_ == Distance::kSameRegion) {
    finish +=
        std::max(options.least_zone_price_,
                 Scaled(need.latency_objective_, options.zone_price_share_));
  }
  if (place.distance_ == Distance::kOtherRegion) {
    finish +=
        need.is_call_ ? options.region_call_price_ : options.region_price_;
  }
  return finish + Scaled(need.latency_objective_, place.failure_share_);
}

bool HasRoomForCrossing(const PlacementCandidate& place,
                        const PlacementOptions& options) {
  return place.load_ <=
         static_cast<double>(place.slots_) * (1.0 - options.far_free_share_);
}

std::optional<std::size_t> ChooseCandidate(
    const std::vector<PlacementCandidate>& places,
    const PlacementOptions& options, const PlacementNeed& need, double draw) {
  // Without a candidate in the local region, any remote one is accepted.
  const bool has_near = std::any_of(
      places.begin(), places.end(), [](const PlacementCandidate& place) {
        return place.distance_ != Distance::kOtherRegion;
      });
  std::vector<Duration> finish;
  finish.reserve(places.size());
  Duration best = Duration::max();
  for (const PlacementCandidate& place : places) {
    const bool open = !has_near || place.distance_ != Distance::kOtherRegion ||
                      HasRoomForCrossing(place, options);
    finish.push_back(open ? ExpectedFinish(place, options, need)
                          : Duration::max());
    best = std::min(best, finish.back());
  }
  if (best == Duration::max()) return std::nullopt;
  std::vector<std::size_t> equal;
  for (std::size_t i = 0; i < places.size(); ++i) {
    if (finish[i] <= best + kSameFinish) equal.push_back(i);
  }
  if (equal.empty()) return std::nullopt;
  const auto pick =
      static_cast<std::size_t>(draw * static_cast<double>(equal.size()));
  return equal[std::min(pick, equal.size() - 1)];
}

}  // namespace jujubefront
