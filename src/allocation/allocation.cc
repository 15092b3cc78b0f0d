#include "allocation/allocation.h"

#include <algorithm>
#include <set>

namespace jujubefront {
namespace {

constexpr double kBusyWeight = 0.5;
// Load in runs per slot: above the first a service counts as saturated; above
// the second the share of its slots that is allocated shrinks, and below the
// third it grows again.
constexpr double kPressedBusy = 0.85;
constexpr double kWaitingBusy = 1.25;
constexpr double kRelaxedBusy = 1.05;
constexpr double kShrink = 0.97;
constexpr double kGrow = 1.04;
constexpr double kLeastCorrection = 0.6;

using ServiceTotals = std::map<std::string, double>;

// Computes the totals of call trees, each route once.
struct TreeWalk {
  const std::map<std::string, RouteProfile>& profiles_;
  bool in_runs_ = false;  // count runs instead of slot seconds
  std::map<std::string, ServiceTotals> done_;
  std::set<std::string> open_;  // on the path from the root

  // Totals of the tree below a route. Calls that lead back to a route on the
  // path are left out: measured call counts may contain a cycle by chance, and
  // a real cycle has no finite cost.
  const ServiceTotals& Of(const std::string& route) {
    static const ServiceTotals kNothing;
    const auto known = done_.find(route);
    if (known != done_.end()) return known->second;
    const auto found = profiles_.find(route);
    if (found == profiles_.end() || !open_.insert(route).second) {
      return kNothing;
    }
    const RouteProfile& profile = found->second;
    ServiceTotals totals;
    totals[profile.service_] += in_runs_ ? 1.0 : profile.slot_seconds_;
    for (const auto& [called, times] : profile.calls_) {
      for (const auto& [service, part] : Of(called)) {
        totals[service] += times * part;
      }
    }
    open_.erase(route);
    return done_[route] = std::move(totals);
  }
};

// Demand for a route and what one request of it costs at each service.
struct Claim {
  const RouteDemand* demand_ = nullptr;
  std::map<std::string, double> cost_;
  double fraction_ = 1.0;  // share of the demand that is granted
};

// Scales the claims of one priority to the slots that are left and subtracts
// what they use.
void Grant(std::vector<Claim>& claims, std::map<std::string, double>& left) {
  std::map<std::string, double> wanted;
  for (const Claim& claim : claims) {
    for (const auto& [service, cost] : claim.cost_) {
      wanted[service] += cost * claim.demand_->per_second_;
    }
  }
  for (Claim& claim : claims) {
    for (const auto& [service, cost] : claim.cost_) {
      const auto room = left.find(service);
      if (room == left.end() || cost <= 0.0 || wanted[service] <= 0.0) continue;
      claim.fraction_ = std::min(claim.fraction_,
                                 std::max(0.0, room->second) / wanted[service]);
    }
  }
  for (const Claim& claim : claims) {
    for (const auto& [service, cost] : claim.cost_) {
      const auto room = left.find(service);
      if (room == left.end()) continue;
      room->second -= cost * claim.demand_->per_second_ * claim.fraction_;
    }
  }
}

}  // namespace

std::map<std::string, double> TreeCost(
    const std::map<std::string, RouteProfile>& profiles,
    const std::string& route) {
  TreeWalk walk{.profiles_ = profiles};
  return walk.Of(route);
}

std::map<std::string, double> TreeRuns(
    const std::map<std::string, RouteProfile>& profiles,
    const std::string& route) {
  TreeWalk walk{.profiles_ = profiles, .in_runs_ = true};
  return walk.Of(route);
}

ServicePressure UpdatePressure(const ServicePressure& before, double busy) {
  ServicePressure after = before;
  after.busy_ += kBusyWeight * (busy - after.busy_);
  if (busy > kWaitingBusy) {
    after.correction_ = std::max(kLeastCorrection, after.correction_ * kShrink);
  } else if (busy < kRelaxedBusy) {
    after.correction_ = std::min(1.0, after.correction_ * kGrow);
  }
  return after;
}

bool IsSaturated(const ServicePressure& pressure) {
  return pressure.busy_ > kPressedBusy || pressure.correction_ < 1.0;
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
  TreeWalk walk{.profiles_ = profiles};
  std::map<std::uint32_t, std::vector<Claim>> by_priority;
  for (const RouteDemand& demand : demands) {
    by_priority[demand.priority_].push_back(
        {.demand_ = &demand, .cost_ = walk.Of(demand.route_)});
  }
  std::map<std::string, double> fractions;
  for (auto& [priority, claims] : by_priority) {
    Grant(claims, left);
    for (const Claim& claim : claims) {
      fractions[claim.demand_->route_] = claim.fraction_;
    }
  }
  return fractions;
}

}  // namespace jujubefront
