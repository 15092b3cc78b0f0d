#include "allocation/allocation.h"

#include <algorithm>
#include <set>

namespace jujubefront {
namespace {

constexpr double kLoadSmoothing = 0.5;
// Load in runs per slot: above the first a service counts as saturated; above
// the second the share of its slots that is allocated shrinks, and below the
// third it grows again.
constexpr double kSaturatedLoad = 0.85;
constexpr double kShrinkLoad = 1.25;
constexpr double kGrowLoad = 1.05;
constexpr double kShrinkFactor = 0.97;
constexpr double kGrowFactor = 1.04;
constexpr double kMinCorrection = 0.6;

using ServiceTotals = std::map<std::string, double>;

// Computes the totals of call trees, each route once.
struct TreeTotals {
  const std::map<std::string, RouteProfile>& profiles_;
  bool in_runs_ = false;  // count runs instead of slot seconds
  std::map<std::string, ServiceTotals> totals_by_route_;
  std::set<std::string> path_;  // routes from the root to here

  // Totals of the tree below a route. Calls that lead back to a route on the
  // path are left out: measured call counts may contain a cycle by chance, and
  // a real cycle has no finite cost.
  const ServiceTotals& TotalsOf(const std::string& route) {
    static const ServiceTotals kNothing;
    const auto known = totals_by_route_.find(route);
    if (known != totals_by_route_.end()) return known->second;
    const auto found = profiles_.find(route);
    if (found == profiles_.end() || !path_.insert(route).second) {
      return kNothing;
    }
    const RouteProfile& profile = found->second;
    ServiceTotals totals;
    totals[profile.service_] += in_runs_ ? 1.0 : profile.slot_seconds_;
    for (const auto& [called, times] : profile.calls_) {
      for (const auto& [service, amount] : TotalsOf(called)) {
        totals[service] += times * amount;
      }
    }
    path_.erase(route);
    return totals_by_route_[route] = std::move(totals);
  }
};

// Demand for a route and what one request of it costs at each service.
struct DemandClaim {
  const RouteDemand* demand_ = nullptr;
  std::map<std::string, double> cost_;
  double fraction_ = 1.0;  // share of the demand that is granted
};

// Scales the claims of one priority to the slots that are left and subtracts
// what they use.
void GrantClaims(std::vector<DemandClaim>& claims,
                 std::map<std::string, double>& left) {
  std::map<std::string, double> wanted;
  for (const DemandClaim& claim : claims) {
    for (const auto& [service, cost] : claim.cost_) {
      wanted[service] += cost * claim.demand_->per_second_;
    }
  }
  for (DemandClaim& claim : claims) {
    for (const auto& [service, cost] : claim.cost_) {
      const auto remaining = left.find(service);
      if (remaining == left.end() || cost <= 0.0 || wanted[service] <= 0.0)
        continue;
      claim.fraction_ = std::min(
          claim.fraction_, std::max(0.0, remaining->second) / wanted[service]);
    }
  }
  for (const DemandClaim& claim : claims) {
    for (const auto& [service, cost] : claim.cost_) {
      const auto remaining = left.find(service);
      if (remaining == left.end()) continue;
      remaining->second -= cost * claim.demand_->per_second_ * claim.fraction_;
    }
  }
}

}  // namespace

std::map<std::string, double> TreeCost(
    const std::map<std::string, RouteProfile>& profiles,
    const std::string& route) {
  TreeTotals trees{.profiles_ = profiles};
  return trees.TotalsOf(route);
}

std::map<std::string, double> TreeRuns(
    const std::map<std::string, RouteProfile>& profiles,
    const std::string& route) {
  TreeTotals trees{.profiles_ = profiles, .in_runs_ = true};
  return trees.TotalsOf(route);
}

ServicePressure UpdatePressure(const ServicePressure& before, double load) {
  ServicePressure after = before;
  after.load_per_slot_ += kLoadSmoothing * (load - after.load_per_slot_);
  if (load > kShrinkLoad) {
    after.correction_ =
        std::max(kMinCorrection, after.correction_ * kShrinkFactor);
  } else if (load < kGrowLoad) {
    after.correction_ = std::min(1.0, after.correction_ * kGrowFactor);
  }
  return after;
}

bool IsSaturated(const ServicePressure& pressure) {
  return pressure.load_per_slot_ > kSaturatedLoad || pressure.correction_ < 1.0;
}

std::map<std::string, double> Allocate(
    const std::map<std::string, RouteProfile>& profiles,
    const std::vector<RouteDemand>& demands,
    const std::map<std::string, double>& slots,
    const AllocationOptions& options) {
  std::map<std::string, double> left;
  for (const auto& [service, count] : slots) {
    left[service] = count * options.utilisation_;
  }
  TreeTotals trees{.profiles_ = profiles};
  std::map<std::uint32_t, std::vector<DemandClaim>> by_priority;
  for (const RouteDemand& demand : demands) {
    by_priority[demand.priority_].push_back(
        {.demand_ = &demand, .cost_ = trees.TotalsOf(demand.route_)});
  }
  std::map<std::string, double> fractions;
  for (auto& [priority, claims] : by_priority) {
    GrantClaims(claims, left);
    for (const DemandClaim& claim : claims) {
      fractions[claim.demand_->route_] = claim.fraction_;
    }
  }
  return fractions;
}

}  // namespace jujubefront
