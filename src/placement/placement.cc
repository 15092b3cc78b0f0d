#include "placement/placement.h"

#include <algorithm>

namespace jujubefront {
namespace {

// Expected finishing times that differ by no more than this count as equal.
constexpr Duration kEqualFinishTolerance = std::chrono::milliseconds(2);

Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

Duration ExpectedStartWait(const PlacementCandidate& candidate) {
  if (candidate.slots_ == 0) return candidate.hold_;
  const double excess_load =
      candidate.load_ + 1.0 - static_cast<double>(candidate.slots_);
  if (excess_load <= 0.0) return candidate.start_wait_;
  return std::max(candidate.start_wait_,
                  Scaled(candidate.hold_,
                         excess_load / static_cast<double>(candidate.slots_)));
}

Duration ExpectedFinish(const PlacementCandidate& candidate,
                        const PlacementOptions& options,
                        const PlacementRequest& request) {
  Duration finish = candidate.hold_ + ExpectedStartWait(candidate);
  const double slots = std::max(1.0, static_cast<double>(candidate.slots_));
  const double utilisation = candidate.load_ / slots;
  if (utilisation > options.slowdown_load_share_) {
    finish +=
        Scaled(candidate.hold_, utilisation - options.slowdown_load_share_);
  }
  if (candidate.distance_ == Distance::kSameRegion) {
    finish +=
        std::max(options.min_zone_price_,
                 Scaled(request.latency_objective_, options.zone_price_share_));
  }
  if (candidate.distance_ == Distance::kOtherRegion) {
    finish +=
        request.is_call_ ? options.region_call_price_ : options.region_price_;
  }
  return finish + Scaled(request.latency_objective_, candidate.failure_share_);
}

bool HasCapacityForRemoteRequests(const PlacementCandidate& candidate,
                                  const PlacementOptions& options) {
  return candidate.start_wait_ <= Duration::zero() &&
         candidate.load_ <= static_cast<double>(candidate.slots_) *
                                (1.0 - options.min_remote_free_share_);
}

std::optional<std::size_t> ChooseCandidate(
    const std::vector<PlacementCandidate>& candidates,
    const PlacementOptions& options, const PlacementRequest& request,
    double draw) {
  // Without a candidate in the local region, any remote one is accepted.
  const bool has_local =
      std::any_of(candidates.begin(), candidates.end(),
                  [](const PlacementCandidate& candidate) {
                    return candidate.distance_ != Distance::kOtherRegion;
                  });
  std::vector<Duration> finish;
  finish.reserve(candidates.size());
  Duration best = Duration::max();
  for (const PlacementCandidate& candidate : candidates) {
    const bool eligible = !has_local ||
                          candidate.distance_ != Distance::kOtherRegion ||
                          HasCapacityForRemoteRequests(candidate, options);
    finish.push_back(eligible ? ExpectedFinish(candidate, options, request)
                              : Duration::max());
    best = std::min(best, finish.back());
  }
  if (best == Duration::max()) return std::nullopt;
  std::vector<std::size_t> equal;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (finish[i] <= best + kEqualFinishTolerance) equal.push_back(i);
  }
  if (equal.empty()) return std::nullopt;
  const auto pick =
      static_cast<std::size_t>(draw * static_cast<double>(equal.size()));
  return equal[std::min(pick, equal.size() - 1)];
}

}  // namespace jujubefront
