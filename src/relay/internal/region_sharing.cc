#include "relay/internal/region_sharing.h"

#include <algorithm>
#include <set>
#include <utility>

#include "allocation/region_plan.h"

namespace jujubefront {
namespace {

// Cost of a called route that nobody has measured yet. Any positive cost makes
// the trees count that need a missing service.
constexpr double kUnmeasuredSlotSeconds = 0.02;
// Demand for a route that has had no requests, per second.
constexpr double kUnmeasuredDemand = 0.01;
// Remembered costs of routes that are not measured any more are removed after
// this time, unless a region lacks a service.
constexpr Duration kProfileTtl = std::chrono::seconds(60);
// A region counts as lacking a service from this time on. A short silence of
// all its hosts, or the start of a process, is no reason to move call trees.
constexpr Duration kLackingAfter = std::chrono::milliseconds(400);
// A request is not sent to another region if the round trip takes more than
// this part of its latency objective.
constexpr int kMinRoundTripsInObjective = 2;

bool CanRun(const RelayStep& step, const Peer& peer) {
  const HostStatus& status = peer.status_;
  if (status.backend_ != BackendState::kReady || status.leaving_) return false;
  if (peer.address_ == step.options_.address_) return true;
  return peer.known_ && peer.connected_ && !peer.suspected_;
}

// Regions whose hosts can run requests for a service.
std::set<std::string> FindServingRegions(const RelayStep& step,
                                         const std::string& service) {
  std::set<std::string> regions;
  const auto hosts = step.state_.hosts_of_service_.find(service);
  if (hosts == step.state_.hosts_of_service_.end()) return regions;
  for (const auto& [address, host] : hosts->second) {
    if (CanRun(step, *host)) regions.insert(host->status_.region_);
  }
  return regions;
}

std::set<std::string> FindRoutedServices(const RelayState& state) {
  std::set<std::string> services;
  for (const RouteRule& route : state.table_.routes_) {
    for (const WeightedService& target : route.services_) {
      services.insert(target.service_);
    }
  }
  return services;
}

std::set<std::string> FindKnownRegions(const RelayStep& step) {
  std::set<std::string> regions = {step.options_.region_};
  for (const auto& [address, peer] : step.state_.peers_) {
    if (peer.known_ && peer.connected_) regions.insert(peer.status_.region_);
  }
  return regions;
}

bool SomeRegionLacksServices(const RelayState& state) {
  return std::any_of(state.region_sharing_.lacking_.begin(),
                     state.region_sharing_.lacking_.end(),
                     [](const auto& entry) { return !entry.second.empty(); });
}

// Remembers the costs measured in this region while it has all services.
void RememberProfiles(RelayStep& step,
                      const std::map<std::string, RouteProfile>& measured) {
  auto& remembered = step.state_.region_sharing_.profiles_;
  if (SomeRegionLacksServices(step.state_)) return;
  for (const auto& [route, profile] : measured) {
    remembered[route] = {.profile_ = profile, .measured_at_ = step.now_};
  }
  std::erase_if(remembered, [&](const auto& entry) {
    return step.now_ - entry.second.measured_at_ > kProfileTtl;
  });
}

// Costs of all routes: those of regions that have the service come first, since
// only they run whole call trees.
std::map<std::string, RouteProfile> CombineProfiles(
    const RelayStep& step, const std::map<std::string, RouteProfile>& measured,
    std::map<std::string, RouteProfile> remote, bool lacks_here) {
  std::map<std::string, RouteProfile> profiles;
  if (!lacks_here) profiles = measured;
  profiles.merge(remote);
  for (const auto& [route, remembered] :
       step.state_.region_sharing_.profiles_) {
    profiles.emplace(route, remembered.profile_);
  }
  for (const auto& [route, profile] : measured) {
    profiles.emplace(route, profile);
  }
  return profiles;
}

// Adds routes that nobody has measured, so that they and their callers count as
// needing the service.
void AddUnmeasuredRoutes(const RelayState& state,
                         std::map<std::string, RouteProfile>& profiles) {
  for (const RouteRule& route : state.table_.routes_) {
    if (profiles.contains(route.name_) || route.services_.empty()) continue;
    profiles[route.name_] = {.route_ = route.name_,
                             .service_ = route.services_.front().service_,
                             .slot_seconds_ = kUnmeasuredSlotSeconds};
  }
}

// Adds routes without measured demand, so that their first requests follow the
// plan too.
void AddUnmeasuredDemands(const RelayState& state,
                          std::vector<RouteDemand>& demands) {
  std::set<std::string> measured;
  for (const RouteDemand& demand : demands) measured.insert(demand.route_);
  for (const RouteRule& route : state.table_.routes_) {
    if (measured.contains(route.name_)) continue;
    demands.push_back({.route_ = route.name_,
                       .priority_ = route.priority_,
                       .per_second_ = kUnmeasuredDemand});
  }
}

// Routes that backend servers call are no demand of their own.
void RemoveCalledRoutes(const std::map<std::string, RouteProfile>& profiles,
                        std::vector<RouteDemand>& demands) {
  std::erase_if(demands, [&](const RouteDemand& demand) {
    return std::any_of(profiles.begin(), profiles.end(),
                       [&](const auto& entry) {
                         return entry.second.calls_.contains(demand.route_);
                       });
  });
}

RegionStatement MakeOwnStatement(const RelayStep& step, const RegionView& view,
                                 const std::vector<RouteDemand>& demands) {
  RegionStatement own{
      .region_ = step.options_.region_,
      .demands_ = demands,
      .lacking_ = FindLackingServices(step, step.options_.region_)};
  for (const auto& [service, load] : view.services_) {
    const auto pressure = step.state_.pressure_.find(service);
    const double correction = pressure == step.state_.pressure_.end()
                                  ? 1.0
                                  : pressure->second.correction_;
    own.slots_[service] = (load.slots_ - load.rejected_slots_) * correction;
  }
  return own;
}

// Stands for a region whose sums have not arrived yet: its slots by the
// statuses of its hosts, and a demand like that of the own region. Nothing
// would be admitted until the first sums otherwise.
RegionStatement EstimateStatement(const RelayStep& step,
                                  const std::string& region,
                                  const std::vector<RouteDemand>& demands) {
  RegionStatement estimate{.region_ = region, .demands_ = demands};
  for (const auto& [address, peer] : step.state_.peers_) {
    if (peer.status_.region_ != region || !CanRun(step, peer)) continue;
    estimate.slots_[peer.status_.service_] += UsableSlots(peer.status_);
  }
  return estimate;
}

// Adds an estimate for each other region without a statement.
void AddEstimates(const RelayStep& step,
                  const std::vector<RouteDemand>& demands,
                  std::vector<RegionStatement>& others) {
  for (const std::string& region : FindKnownRegions(step)) {
    const bool known = region == step.options_.region_ ||
                       std::any_of(others.begin(), others.end(),
                                   [&](const RegionStatement& other) {
                                     return other.region_ == region;
                                   });
    if (!known) others.push_back(EstimateStatement(step, region, demands));
  }
}

// Other regions that can be reached within the latency objective of a route.
// What is not sent there is not admitted.
void RemoveDistantRegions(const RelayStep& step, RegionPlan& plan) {
  for (const RouteRule& route : step.state_.table_.routes_) {
    const auto found = plan.remote_.find(route.name_);
    if (found == plan.remote_.end()) continue;
    const auto round_trip = RoundTripTo(step, found->second.region_);
    if (round_trip &&
        *round_trip * kMinRoundTripsInObjective <= route.latency_objective_) {
      continue;
    }
    plan.admitted_[route.name_] *= 1.0 - found->second.share_;
    plan.remote_.erase(found);
  }
}

}  // namespace

std::set<std::string> FindLackingServices(const RelayStep& step,
                                          const std::string& region) {
  std::set<std::string> services;
  const auto found = step.state_.region_sharing_.lacking_.find(region);
  if (found == step.state_.region_sharing_.lacking_.end()) return services;
  for (const auto& [service, since] : found->second) {
    if (step.now_ - since >= kLackingAfter) services.insert(service);
  }
  return services;
}

void TickLackingServices(RelayStep& step) {
  auto& lacking = step.state_.region_sharing_.lacking_;
  const auto before = std::exchange(lacking, {});
  if (!step.options_.overflows_to_other_regions_) return;
  const std::set<std::string> regions = FindKnownRegions(step);
  if (regions.size() < 2) return;
  for (const std::string& service : FindRoutedServices(step.state_)) {
    const std::set<std::string> serving = FindServingRegions(step, service);
    if (serving.empty() || serving.size() == regions.size()) continue;
    for (const std::string& region : regions) {
      if (serving.contains(region)) continue;
      Timestamp since = step.now_;
      const auto known = before.find(region);
      if (known != before.end() && known->second.contains(service)) {
        since = known->second.at(service);
      }
      lacking[region][service] = since;
    }
  }
}

void UpdateRegionSharing(RelayStep& step, const RegionView& view,
                         const std::vector<RouteDemand>& demands,
                         const std::map<std::string, double>& saturated) {
  RelayState& state = step.state_;
  RememberProfiles(step, view.profiles_);
  state.region_sharing_.remote_.clear();
  if (!SomeRegionLacksServices(state)) return;
  std::map<std::string, RouteProfile> remote;
  std::vector<RegionStatement> others = BuildRegionStatements(step, remote);
  RegionStatement own = MakeOwnStatement(step, view, demands);
  AddEstimates(step, own.demands_, others);
  for (RegionStatement& other : others) {
    other.lacking_ = FindLackingServices(step, other.region_);
  }
  // A region that no host can be reached in takes nothing and gets nothing.
  std::erase_if(others, [&](const RegionStatement& other) {
    return !RoundTripTo(step, other.region_);
  });
  std::map<std::string, RouteProfile> profiles = CombineProfiles(
      step, view.profiles_, std::move(remote), !own.lacking_.empty());
  AddUnmeasuredRoutes(state, profiles);
  AddUnmeasuredDemands(state, own.demands_);
  RemoveCalledRoutes(profiles, own.demands_);
  for (RegionStatement& other : others) {
    RemoveCalledRoutes(profiles, other.demands_);
  }
  RegionPlan plan =
      PlanRegions(profiles, own, saturated, others, step.options_.allocation_);
  RemoveDistantRegions(step, plan);
  for (const auto& [route, share] : plan.admitted_) {
    const auto alone = state.admitted_.find(route);
    const bool lends =
        plan.remote_.find(route) == plan.remote_.end() && own.lacking_.empty();
    state.admitted_[route] = lends && alone != state.admitted_.end()
                                 ? std::min(alone->second, share)
                                 : share;
    state.overflow_.erase(route);
  }
  state.region_sharing_.remote_ = std::move(plan.remote_);
}

}  // namespace jujubefront
