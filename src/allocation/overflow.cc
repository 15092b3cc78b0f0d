#include "allocation/overflow.h"

#include <algorithm>
#include <limits>

namespace jujubefront {
namespace {

// Weight of a new plan. Reports of other regions are seconds old, so that a
// plan that followed them at once would alternate between too much and none.
constexpr double kPlanWeight = 0.3;
// Smaller shares are dropped.
constexpr double kMinShare = 0.01;

// Free slots of one region that may still be planned, by service.
struct FreeSlots {
  std::string region_;
  std::map<std::string, double> slots_;
};

FreeSlots FindFreeSlots(const RemoteRegion& region,
                        const std::map<std::string, RouteProfile>& profiles,
                        const std::map<std::string, RouteOverflow>& planned,
                        const OverflowOptions& options) {
  FreeSlots free{.region_ = region.region_};
  for (const auto& [service, use] : region.services_) {
    free.slots_[service] =
        use.slots_ * (1.0 - options.reserved_share_) - use.runs_;
  }
  for (const auto& [route, overflow] : planned) {
    if (overflow.region_ != region.region_) continue;
    for (const auto& [service, cost] : TreeCost(profiles, route)) {
      free.slots_[service] += overflow.per_second_ * cost;
    }
  }
  return free;
}

// Call trees per second that fit into the free slots of a region.
double FittingRate(const FreeSlots& free,
                   const std::map<std::string, double>& cost) {
  double rate = std::numeric_limits<double>::infinity();
  for (const auto& [service, slot_seconds] : cost) {
    if (slot_seconds <= 0.0) continue;
    const auto slots = free.slots_.find(service);
    if (slots == free.slots_.end()) return 0.0;
    rate = std::min(rate, std::max(0.0, slots->second) / slot_seconds);
  }
  return rate;
}

}  // namespace

std::map<std::string, RouteOverflow> PlanOverflow(
    const std::map<std::string, RouteProfile>& profiles,
    const std::vector<RouteDemand>& demands,
    const std::map<std::string, double>& admitted,
    const std::vector<RemoteRegion>& regions,
    const std::map<std::string, RouteOverflow>& planned,
    const OverflowOptions& options) {
  std::map<std::string, RouteOverflow> plan;
  std::vector<FreeSlots> free;
  free.reserve(regions.size());
  for (const RemoteRegion& region : regions) {
    free.push_back(FindFreeSlots(region, profiles, planned, options));
  }
  if (free.empty()) return plan;
  std::vector<RouteDemand> by_priority = demands;
  std::stable_sort(by_priority.begin(), by_priority.end(),
                   [](const RouteDemand& a, const RouteDemand& b) {
                     return a.priority_ < b.priority_;
                   });
  for (const RouteDemand& demand : by_priority) {
    const auto fraction = admitted.find(demand.route_);
    if (fraction == admitted.end() || fraction->second >= 1.0) continue;
    const double refused = demand.per_second_ * (1.0 - fraction->second);
    const auto cost = TreeCost(profiles, demand.route_);
    if (refused <= 0.0 || cost.empty()) continue;
    const auto best = std::max_element(
        free.begin(), free.end(), [&](const FreeSlots& a, const FreeSlots& b) {
          return FittingRate(a, cost) < FittingRate(b, cost);
        });
    const double share = std::min(refused, FittingRate(*best, cost)) / refused;
    const auto before = planned.find(demand.route_);
    const double previous =
        before == planned.end() ? 0.0 : before->second.share_;
    const double smoothed = previous + kPlanWeight * (share - previous);
    if (smoothed < kMinShare) continue;
    const double rate = smoothed * refused;
    plan[demand.route_] = {
        .region_ = best->region_, .share_ = smoothed, .per_second_ = rate};
    for (const auto& [service, slot_seconds] : cost) {
      best->slots_[service] -= rate * slot_seconds;
    }
  }
  return plan;
}

}  // namespace jujubefront
