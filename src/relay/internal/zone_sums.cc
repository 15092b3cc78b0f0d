#include "relay/internal/zone_sums.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "base/hashing.h"

namespace jujubefront {
namespace {

// Number of status intervals after which a silent host is left out: in the
// local zone from the sum, in another zone from the hosts that forward sums. In
// the local zone the interval is that of a host without load, which is longer
// by kIdleIntervalFactor.
constexpr int kMaxMissedStatuses = 3;
constexpr int kIdleIntervalFactor = 4;
// Lifetime of a zone sum. When it expires, the zone's demand and its slots drop
// out of the region view together, so that the plan for the other zones stays
// balanced.
constexpr Duration kSumTtl = std::chrono::seconds(4);
// The same for a sum of another region's zone, which is sent more rarely.
constexpr Duration kRemoteSumTtl = std::chrono::seconds(7);
// Hosts of each other zone that receive the sum, one at a time in turn.
constexpr std::size_t kReceiversPerZone = 2;

// Merges a route's measurements of one host or zone into the mean, weighted by
// the numbers of runs.
void Merge(RouteProfile& total, const RouteProfile& added) {
  if (added.runs_ <= 0.0) return;
  const double weight = added.runs_ / (total.runs_ + added.runs_);
  total.route_ = added.route_;
  total.service_ = added.service_;
  total.slot_seconds_ += weight * (added.slot_seconds_ - total.slot_seconds_);
  for (auto& [route, mean] : total.calls_) {
    const auto found = added.calls_.find(route);
    const double other = found == added.calls_.end() ? 0.0 : found->second;
    mean += weight * (other - mean);
  }
  for (const auto& [route, mean] : added.calls_) {
    if (!total.calls_.contains(route)) total.calls_[route] = weight * mean;
  }
  total.runs_ += added.runs_;
}

void Add(RegionView& view, const RouteDemand& demand) {
  RouteDemand& total = view.demands_[demand.route_];
  total.route_ = demand.route_;
  total.priority_ = demand.priority_;
  total.per_second_ += demand.per_second_;
  total.arrivals_per_second_ += demand.arrivals_per_second_;
}

void Add(RegionView& view, const std::string& route, const std::string& service,
         double per_second) {
  view.arrivals_[{route, service}] += per_second;
}

void Add(RegionView& view, const HostStatus& status) {
  ++view.hosts_;
  for (const RouteProfile& profile : status.profiles_) {
    Merge(view.profiles_[profile.route_], profile);
  }
  for (const RouteDemand& demand : status.demands_) {
    Add(view, demand);
    Add(view, demand.route_, status.service_, demand.arrivals_per_second_);
  }
  if (status.backend_ != BackendState::kReady || status.leaving_) return;
  ServiceLoad& load = view.services_[status.service_];
  load.service_ = status.service_;
  const double slots = UsableSlots(status);
  load.slots_ += slots;
  load.runs_ += status.running_ + status.waiting_;
  load.rejected_slots_ += slots * status.rejected_share_;
}

void Add(RegionView& view, const ZoneSum& sum) {
  view.hosts_ += sum.hosts_;
  for (const RouteProfile& profile : sum.profiles_) {
    Merge(view.profiles_[profile.route_], profile);
  }
  for (const RouteDemand& demand : sum.demands_) Add(view, demand);
  for (const RouteArrivals& entry : sum.arrivals_) {
    Add(view, entry.route_, entry.host_service_, entry.per_second_);
  }
  for (const ServiceLoad& load : sum.services_) {
    ServiceLoad& total = view.services_[load.service_];
    total.service_ = load.service_;
    total.slots_ += load.slots_;
    total.runs_ += load.runs_;
    total.rejected_slots_ += load.rejected_slots_;
  }
}

bool IsSelf(const RelayStep& step, const Peer& peer) {
  return peer.address_ == step.options_.address_;
}

// Whether the last status of a host of the local zone counts: not if the host
// is disconnected, suspected, or silent for too long.
bool IsCounted(const RelayStep& step, const Peer& peer) {
  if (IsSelf(step, peer)) return true;
  return peer.known_ && peer.connected_ && !peer.suspected_ &&
         step.now_ - peer.status_at_ <= step.options_.zone_status_interval_ *
                                            kIdleIntervalFactor *
                                            kMaxMissedStatuses;
}

RegionView BuildLocalZoneView(const RelayStep& step) {
  RegionView view;
  for (const auto& [address, peer] : step.state_.peers_) {
    if (!IsSelf(step, peer) && peer.status_.zone_ != step.options_.zone_) {
      continue;
    }
    if (IsCounted(step, peer)) Add(view, peer.status_);
  }
  return view;
}

std::uint64_t ComputeRank(const std::string& zone, const std::string& address) {
  return HashBytes(zone + '/' + address);
}

ZoneSum BuildZoneSum(RelayStep& step, const RegionView& view) {
  ZoneSum sum{.zone_ = step.options_.zone_,
              .region_ = step.options_.region_,
              .aggregator_ = step.options_.address_,
              .aggregator_boot_ = step.options_.boot_,
              .sequence_ = ++step.state_.zone_sum_sequence_,
              .hosts_ = view.hosts_};
  for (const auto& [route, profile] : view.profiles_) {
    sum.profiles_.push_back(profile);
  }
  for (const auto& [route, demand] : view.demands_) {
    sum.demands_.push_back(demand);
  }
  for (const auto& [key, per_second] : view.arrivals_) {
    sum.arrivals_.push_back({.route_ = key.first,
                             .host_service_ = key.second,
                             .per_second_ = per_second});
  }
  for (const auto& [service, load] : view.services_) {
    sum.services_.push_back(load);
  }
  return sum;
}

bool CanReceive(const RelayStep& step, const Peer& peer, Duration status_age) {
  return peer.known_ && peer.connected_ && !peer.suspected_ &&
         !peer.status_.leaving_ && step.now_ - peer.status_at_ <= status_age;
}

// One of the hosts that receive sums for their zone, by turns.
const Peer& SelectReceiver(const std::vector<const Peer*>& hosts,
                           const ZoneSum& sum) {
  const std::size_t index = sum.sequence_ % kReceiversPerZone;
  return *hosts[std::min(index, hosts.size() - 1)];
}

void SendSum(RelayStep& step, const Peer& receiver, const ZoneSum& sum) {
  ++step.state_.counters_.zone_sums_sent_;
  step.effects_.emplace_back(
      SendToPeer{.peer_ = receiver.address_, .message_ = sum});
}

void SendToOtherZones(RelayStep& step, const ZoneSum& sum) {
  for (const auto& [zone, hosts] : TopRankedHostsByZone(
           step, kReceiversPerZone, MaxStatusAge(step.options_))) {
    if (hosts.front()->status_.region_ != step.options_.region_) continue;
    SendSum(step, SelectReceiver(hosts, sum), sum);
  }
}

// Other regions with a service whose slots are all in use, by the last statuses
// of its hosts. These may be some seconds old.
std::set<std::string> FindSaturatedRegions(const RelayStep& step) {
  std::map<std::pair<std::string, std::string>, RemoteService> services;
  for (const auto& [address, peer] : step.state_.peers_) {
    const HostStatus& status = peer.status_;
    if (!peer.known_ || status.region_ == step.options_.region_) continue;
    if (status.backend_ != BackendState::kReady || status.leaving_) continue;
    RemoteService& service = services[{status.region_, status.service_}];
    service.slots_ += UsableSlots(status);
    service.runs_ += status.running_ + status.waiting_;
  }
  std::set<std::string> regions;
  for (const auto& [key, service] : services) {
    if (service.slots_ > 0.0 && service.runs_ >= service.slots_) {
      regions.insert(key.first);
    }
  }
  return regions;
}

// The sum for regions that plan together with this one: with demand and costs,
// and with the slots that this region would allocate itself.
ZoneSum PrepareStatement(const RelayStep& step, ZoneSum sum) {
  sum.arrivals_.clear();
  for (ServiceLoad& load : sum.services_) {
    const auto pressure = step.state_.pressure_.find(load.service_);
    if (pressure == step.state_.pressure_.end()) continue;
    load.slots_ *= pressure->second.correction_;
    load.rejected_slots_ *= pressure->second.correction_;
  }
  return sum;
}

void SendToRegions(RelayStep& step, const std::set<std::string>& regions,
                   const ZoneSum& sum) {
  for (const auto& [zone, hosts] : TopRankedHostsByZone(
           step, kReceiversPerZone, step.options_.forget_after_)) {
    if (!regions.contains(hosts.front()->status_.region_)) continue;
    SendSum(step, SelectReceiver(hosts, sum), sum);
  }
}

// Other regions that plan together with this one, since one of the two lacks a
// service.
std::set<std::string> FindSharingRegions(const RelayStep& step) {
  const bool lacks_here =
      !FindLackingServices(step, step.options_.region_).empty();
  std::set<std::string> regions;
  for (const auto& [address, peer] : step.state_.peers_) {
    const std::string& region = peer.status_.region_;
    if (!peer.known_ || region == step.options_.region_) continue;
    if (regions.contains(region)) continue;
    if (lacks_here || !FindLackingServices(step, region).empty()) {
      regions.insert(region);
    }
  }
  return regions;
}

// Reports the loads of the local zone to regions that lack slots. Links between
// regions are narrow, so nothing is sent while all regions have free slots.
void SendToOtherRegions(RelayStep& step, ZoneSum sum) {
  if (!step.options_.overflows_to_other_regions_) return;
  Timestamp& sent_at = step.state_.remote_zone_sums_sent_at_;
  const std::set<std::string> sharing = FindSharingRegions(step);
  const Duration interval = sharing.empty()
                                ? step.options_.remote_zone_sum_interval_
                                : step.options_.sharing_zone_sum_interval_;
  if (step.now_ - sent_at < interval) return;
  if (!sharing.empty()) {
    sent_at = step.now_;
    return SendToRegions(step, sharing, PrepareStatement(step, std::move(sum)));
  }
  const std::set<std::string> saturated = FindSaturatedRegions(step);
  if (saturated.empty()) return;
  sent_at = step.now_;
  sum.profiles_.clear();
  sum.demands_.clear();
  sum.arrivals_.clear();
  SendToRegions(step, saturated, sum);
}

}  // namespace

Duration MaxStatusAge(const RelayOptions& options) {
  return options.unsaturated_region_status_interval_ * kMaxMissedStatuses;
}

// The zone's aggregator sums up statuses for the other zones: it ranks first
// among the zone's hosts that are counted and not leaving. Nodes that see the
// same hosts select the same aggregator. If two nodes both act as aggregators,
// receivers keep the sum that arrived last; sums are never merged.
const Peer* FindAggregator(const RelayStep& step) {
  const std::string& zone = step.options_.zone_;
  std::uint64_t first_rank = ComputeRank(zone, step.options_.address_);
  const Peer* first = nullptr;
  for (const auto& [address, peer] : step.state_.peers_) {
    if (IsSelf(step, peer) || peer.status_.zone_ != zone) continue;
    if (!IsCounted(step, peer) || peer.status_.leaving_) continue;
    const std::uint64_t rank = ComputeRank(zone, address);
    if (rank >= first_rank) continue;
    first_rank = rank;
    first = &peer;
  }
  return first;
}

bool RanksFirstInZone(const RelayStep& step) {
  return FindAggregator(step) == nullptr;
}

bool IsFromLocalZone(const RelayStep& step, std::uint64_t connection_id) {
  const auto link = step.state_.inbound_links_.find(connection_id);
  if (link == step.state_.inbound_links_.end()) return false;
  const auto peer = step.state_.peers_.find(link->second.peer_);
  return peer != step.state_.peers_.end() &&
         peer->second.status_.zone_ == step.options_.zone_;
}

std::map<std::string, std::vector<const Peer*>> TopRankedHostsByZone(
    const RelayStep& step, std::size_t count, Duration status_age) {
  std::map<std::string, std::vector<const Peer*>> zones;
  for (const auto& [address, peer] : step.state_.peers_) {
    if (IsSelf(step, peer) || !CanReceive(step, peer, status_age)) continue;
    if (peer.status_.zone_ == step.options_.zone_) continue;
    zones[peer.status_.zone_].push_back(&peer);
  }
  for (auto& [name, hosts] : zones) {
    const std::string& zone = name;  // clang 14 captures no bindings
    const std::size_t kept = std::min(count, hosts.size());
    std::partial_sort(hosts.begin(),
                      hosts.begin() + static_cast<std::ptrdiff_t>(kept),
                      hosts.end(), [&](const Peer* a, const Peer* b) {
                        return ComputeRank(zone, a->address_) <
                               ComputeRank(zone, b->address_);
                      });
    hosts.resize(kept);
  }
  return zones;
}

RegionView BuildRegionView(const RelayStep& step) {
  RegionView view = BuildLocalZoneView(step);
  for (const auto& [zone, known] : step.state_.zone_sums_) {
    if (step.now_ - known.received_at_ <= kSumTtl) Add(view, known.sum_);
  }
  return view;
}

std::optional<Duration> RoundTripTo(const RelayStep& step,
                                    const std::string& region) {
  std::optional<Duration> longest;
  for (const auto& [address, peer] : step.state_.peers_) {
    if (!peer.connected_ || peer.status_.region_ != region) continue;
    longest = std::max(longest.value_or(Duration::zero()), peer.round_trip_);
  }
  return longest;
}

std::vector<RemoteRegion> BuildRemoteRegions(const RelayStep& step) {
  std::map<std::string, RemoteRegion> regions;
  for (const auto& [zone, known] : step.state_.remote_zone_sums_) {
    if (step.now_ - known.received_at_ > kRemoteSumTtl) continue;
    RemoteRegion& region = regions[known.sum_.region_];
    region.region_ = known.sum_.region_;
    for (const ServiceLoad& load : known.sum_.services_) {
      RemoteService& service = region.services_[load.service_];
      // Slots of backend servers that reject a share serve that much less.
      service.slots_ += load.slots_ - load.rejected_slots_;
      service.runs_ += load.runs_;
    }
  }
  std::vector<RemoteRegion> list;
  list.reserve(regions.size());
  for (auto& [name, region] : regions) list.push_back(std::move(region));
  return list;
}

std::vector<RegionStatement> BuildRegionStatements(
    const RelayStep& step, std::map<std::string, RouteProfile>& profiles) {
  std::map<std::string, RegionStatement> regions;
  for (const auto& [zone, known] : step.state_.remote_zone_sums_) {
    if (step.now_ - known.received_at_ > kRemoteSumTtl) continue;
    if (known.sum_.demands_.empty() && known.sum_.profiles_.empty()) continue;
    RegionStatement& region = regions[known.sum_.region_];
    region.region_ = known.sum_.region_;
    for (const RouteDemand& demand : known.sum_.demands_) {
      region.demands_.push_back(demand);
    }
    for (const ServiceLoad& load : known.sum_.services_) {
      region.slots_[load.service_] += load.slots_ - load.rejected_slots_;
    }
    for (const RouteProfile& profile : known.sum_.profiles_) {
      Merge(profiles[profile.route_], profile);
    }
  }
  std::vector<RegionStatement> list;
  list.reserve(regions.size());
  for (auto& [name, region] : regions) list.push_back(std::move(region));
  return list;
}

void TickZoneSums(RelayStep& step) {
  std::erase_if(step.state_.zone_sums_, [&](const auto& entry) {
    return step.now_ - entry.second.received_at_ > kSumTtl;
  });
  std::erase_if(step.state_.remote_zone_sums_, [&](const auto& entry) {
    return step.now_ - entry.second.received_at_ > kRemoteSumTtl;
  });
  if (step.state_.stopping_ || !RanksFirstInZone(step)) return;
  const ZoneSum sum = BuildZoneSum(step, BuildLocalZoneView(step));
  SendToOtherZones(step, sum);
  SendToOtherRegions(step, sum);
}

void OnZoneSum(RelayStep& step, std::uint64_t connection_id, ZoneSum& sum) {
  RelayState& state = step.state_;
  if (sum.zone_ == step.options_.zone_) return;
  const bool is_remote = sum.region_ != step.options_.region_;
  KnownZoneSum& known = is_remote ? state.remote_zone_sums_[sum.zone_]
                                  : state.zone_sums_[sum.zone_];
  const bool same_aggregator =
      known.sum_.aggregator_ == sum.aggregator_ &&
      known.sum_.aggregator_boot_ == sum.aggregator_boot_;
  if (same_aggregator && sum.sequence_ <= known.sum_.sequence_) return;
  known = {.sum_ = std::move(sum), .received_at_ = step.now_};
  if (IsFromLocalZone(step, connection_id)) return;
  for (const auto& [address, peer] : state.peers_) {
    if (IsSelf(step, peer) || !peer.connected_) continue;
    if (peer.status_.zone_ != step.options_.zone_) continue;
    ++state.counters_.zone_sums_sent_;
    step.effects_.emplace_back(
        SendToPeer{.peer_ = address, .message_ = known.sum_});
  }
}

}  // namespace jujubefront
