#include "allocation/region_plan.h"

#include <algorithm>

namespace jujubefront {
namespace {

// Smaller shares are dropped.
constexpr double kMinShare = 0.01;
// Every route gets this part of what it would get if all were equally
// important. By priority alone the least important route would get nothing for
// as long as the service is lacking, and its clients would only come back to be
// refused.
constexpr double kFloorShare = 0.35;

using Shares = std::map<std::string, double>;  // by route
using Slots = std::map<std::string, double>;   // by service

// Costs of the call trees that need a service which some region lacks.
using TreeCosts = std::map<std::string, std::map<std::string, double>>;

std::set<std::string> FindLackingServices(
    const RegionStatement& own, const std::vector<RegionStatement>& others) {
  std::set<std::string> lacking = own.lacking_;
  for (const RegionStatement& other : others) {
    lacking.insert(other.lacking_.begin(), other.lacking_.end());
  }
  return lacking;
}

double SlotsOf(const RegionStatement& region, const std::string& service) {
  if (region.lacking_.contains(service)) return 0.0;
  const auto found = region.slots_.find(service);
  return found == region.slots_.end() ? 0.0 : found->second;
}

TreeCosts FindAffectedTrees(const std::map<std::string, RouteProfile>& profiles,
                            const std::vector<RouteDemand>& demands,
                            const std::set<std::string>& lacking) {
  TreeCosts trees;
  for (const RouteDemand& demand : demands) {
    auto cost = TreeCost(profiles, demand.route_);
    const bool affected = std::any_of(
        lacking.begin(), lacking.end(),
        [&](const std::string& service) { return cost.contains(service); });
    if (affected) trees[demand.route_] = std::move(cost);
  }
  return trees;
}

// Demands of all regions, summed by route.
std::vector<RouteDemand> SumDemands(
    const RegionStatement& own, const std::vector<RegionStatement>& others) {
  std::map<std::string, RouteDemand> sums;
  const auto add = [&](const RegionStatement& region) {
    for (const RouteDemand& demand : region.demands_) {
      RouteDemand& sum = sums[demand.route_];
      sum.route_ = demand.route_;
      sum.priority_ = demand.priority_;
      sum.per_second_ += demand.per_second_;
    }
  };
  add(own);
  for (const RegionStatement& other : others) add(other);
  std::vector<RouteDemand> list;
  list.reserve(sums.size());
  for (auto& [route, sum] : sums) list.push_back(std::move(sum));
  return list;
}

double ShareOf(const Shares& shares, const std::string& route) {
  const auto found = shares.find(route);
  return found == shares.end() ? 1.0 : found->second;
}

std::vector<RouteDemand> Scaled(std::vector<RouteDemand> demands,
                                const Shares& shares) {
  for (RouteDemand& demand : demands) {
    demand.per_second_ *= ShareOf(shares, demand.route_);
  }
  return demands;
}

// Shares of the demands that fit into the slots: a floor for each route, and
// the rest by priority.
Shares AllocateWithFloor(const std::map<std::string, RouteProfile>& profiles,
                         const std::vector<RouteDemand>& demands, Slots slots,
                         const AllocationOptions& options) {
  std::vector<RouteDemand> equal = demands;
  for (RouteDemand& demand : equal) demand.priority_ = 0;
  Shares floor = Allocate(profiles, equal, slots, options);
  for (auto& [route, share] : floor) share *= kFloorShare;
  std::vector<RouteDemand> rest = demands;
  for (RouteDemand& demand : rest) {
    const double share = ShareOf(floor, demand.route_);
    for (const auto& [service, cost] : TreeCost(profiles, demand.route_)) {
      const auto left = slots.find(service);
      if (left == slots.end()) continue;
      left->second -= demand.per_second_ * share * cost / options.utilisation_;
    }
    demand.per_second_ *= 1.0 - share;
  }
  for (auto& [service, left] : slots) left = std::max(0.0, left);
  Shares shares = Allocate(profiles, rest, slots, options);
  for (auto& [route, share] : shares) {
    const double least = ShareOf(floor, route);
    share = least + (1.0 - least) * share;
  }
  return shares;
}

// Slots that another region has left besides the part of its own demand that
// the common plan admits.
Slots FindSpareSlots(const std::map<std::string, RouteProfile>& profiles,
                     const RegionStatement& other, const Shares& admitted,
                     const AllocationOptions& options) {
  Slots spare;
  for (const auto& [service, slots] : other.slots_) {
    spare[service] = SlotsOf(other, service) * options.utilisation_;
  }
  for (const std::string& service : other.lacking_) spare[service] = 0.0;
  for (const RouteDemand& demand : Scaled(other.demands_, admitted)) {
    for (const auto& [service, cost] : TreeCost(profiles, demand.route_)) {
      const auto found = spare.find(service);
      if (found == spare.end()) continue;
      found->second = std::max(0.0, found->second - demand.per_second_ * cost);
    }
  }
  return spare;
}

// Part of the demand that fits into the slots, in order of priority.
Shares FitInto(const std::map<std::string, RouteProfile>& profiles,
               const std::vector<RouteDemand>& demands, const Slots& slots) {
  return Allocate(profiles, demands, slots, {.utilisation_ = 1.0});
}

double TotalOf(const std::vector<RouteDemand>& demands, const Shares& shares) {
  double total = 0.0;
  for (const RouteDemand& demand : Scaled(demands, shares)) {
    total += demand.per_second_;
  }
  return total;
}

// What another region takes of the requests that the own region can't run.
struct RemoteFit {
  std::string region_;
  Shares shares_;
};

RemoteFit FindBestRemoteFit(const std::map<std::string, RouteProfile>& profiles,
                            const std::vector<RouteDemand>& remote,
                            const std::vector<RegionStatement>& others,
                            const Shares& admitted,
                            const AllocationOptions& options) {
  RemoteFit best;
  double most = 0.0;
  for (const RegionStatement& other : others) {
    Shares shares = FitInto(profiles, remote,
                            FindSpareSlots(profiles, other, admitted, options));
    const double total = TotalOf(remote, shares);
    if (total <= most) continue;
    most = total;
    best = {.region_ = other.region_, .shares_ = std::move(shares)};
  }
  return best;
}

}  // namespace

// The slots of a service that some region lacks are allocated to the demands of
// all regions together, by priority. What the own region cannot run of its part
// goes to the region that has room for most of it: whole call trees, since each
// call that crosses on its own costs a round trip and may find no slot.
RegionPlan PlanRegions(const std::map<std::string, RouteProfile>& profiles,
                       const RegionStatement& own,
                       const std::map<std::string, double>& own_slots,
                       const std::vector<RegionStatement>& others,
                       const AllocationOptions& options) {
  RegionPlan plan;
  const std::set<std::string> lacking = FindLackingServices(own, others);
  const TreeCosts trees = FindAffectedTrees(profiles, own.demands_, lacking);
  if (trees.empty()) return plan;
  Slots pooled;
  for (const std::string& service : lacking) {
    pooled[service] = SlotsOf(own, service);
    for (const RegionStatement& other : others) {
      pooled[service] += SlotsOf(other, service);
    }
  }
  const Shares admitted =
      AllocateWithFloor(profiles, SumDemands(own, others), pooled, options);
  std::vector<RouteDemand> claims;
  for (const RouteDemand& demand : own.demands_) {
    if (trees.contains(demand.route_)) claims.push_back(demand);
  }
  claims = Scaled(std::move(claims), admitted);
  Slots local_slots = own_slots;
  for (const std::string& service : own.lacking_) local_slots[service] = 0.0;
  const Shares local = Allocate(profiles, claims, local_slots, options);
  std::vector<RouteDemand> remote;
  for (const RouteDemand& claim : claims) {
    const auto& cost = trees.at(claim.route_);
    // What lacks slots for another reason stays to the plan of the own region.
    const bool needs_other = std::any_of(
        own.lacking_.begin(), own.lacking_.end(),
        [&](const std::string& service) { return cost.contains(service); });
    if (!needs_other) continue;
    remote.push_back(claim);
    remote.back().per_second_ *= 1.0 - ShareOf(local, claim.route_);
  }
  const RemoteFit fit =
      FindBestRemoteFit(profiles, remote, others, admitted, options);
  for (const RouteDemand& claim : claims) {
    const double joint = ShareOf(admitted, claim.route_);
    const double here = joint * ShareOf(local, claim.route_);
    const auto found = fit.shares_.find(claim.route_);
    const double there =
        found == fit.shares_.end() ? 0.0 : (joint - here) * found->second;
    plan.admitted_[claim.route_] = here + there;
    if (there < kMinShare) continue;
    plan.remote_[claim.route_] = {.region_ = fit.region_,
                                  .share_ = there / (here + there)};
  }
  return plan;
}

}  // namespace jujubefront
