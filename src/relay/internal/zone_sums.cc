#include "relay/internal/zone_sums.h"

#include <algorithm>
#include <tuple>

#include "base/hashing.h"

namespace jujubefront {
namespace {

// Status intervals of a host without load after which it counts no more, and
// of one in another zone after which it is not chosen to pass sums on.
constexpr int kMissedStatuses = 3;
constexpr int kIdleFactor = 4;
// Sums of zones that were not heard of for longer are left out: its demand
// and its slots go together, so that the rest is planned for by itself.
constexpr Duration kSumLife = std::chrono::seconds(4);
// Hosts of a zone that get the sum of another zone by turns.
constexpr std::size_t kReceivers = 2;

// Adds a measurement of one host to the mean over hosts.
void Merge(RouteProfile& total, const RouteProfile& part) {
  if (part.runs_ <= 0.0) return;
  const double weight = part.runs_ / (total.runs_ + part.runs_);
  total.route_ = part.route_;
  total.service_ = part.service_;
  total.slot_seconds_ += weight * (part.slot_seconds_ - total.slot_seconds_);
  for (auto& [route, mean] : total.calls_) {
    const auto found = part.calls_.find(route);
    const double other = found == part.calls_.end() ? 0.0 : found->second;
    mean += weight * (other - mean);
  }
  for (const auto& [route, mean] : part.calls_) {
    if (!total.calls_.contains(route)) total.calls_[route] = weight * mean;
  }
  total.runs_ += part.runs_;
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
  load.slots_ += status.slots_;
  load.runs_ += status.running_ + status.waiting_;
  load.rejected_slots_ += status.slots_ * status.rejected_share_;
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

bool IsOwn(const RelayStep& step, const Peer& peer) {
  return peer.address_ == step.options_.address_;
}

// Hosts whose reports count: a dead one must not.
bool Reports(const RelayStep& step, const Peer& peer) {
  if (IsOwn(step, peer)) return true;
  return peer.known_ && peer.connected_ && !peer.suspected_ &&
         step.now_ - peer.status_at_ <= step.options_.zone_status_interval_ *
                                            kIdleFactor * kMissedStatuses;
}

RegionView ViewOwnZone(const RelayStep& step) {
  RegionView view;
  for (const auto& [address, peer] : step.state_.peers_) {
    if (!IsOwn(step, peer) && peer.status_.zone_ != step.options_.zone_) {
      continue;
    }
    if (Reports(step, peer)) Add(view, peer.status_);
  }
  return view;
}

std::uint64_t RankIn(const std::string& zone, const std::string& address) {
  return HashBytes(zone + '/' + address);
}

// Whether this node adds up its zone for the others. All nodes of a zone work
// out the same one as far as they see the same hosts; of two that both think
// so, receivers take the newest sum whole.
bool IsMaker(const RelayStep& step) {
  const std::string& zone = step.options_.zone_;
  const std::uint64_t own = RankIn(zone, step.options_.address_);
  return std::none_of(step.state_.peers_.begin(), step.state_.peers_.end(),
                      [&](const auto& entry) {
                        const Peer& peer = entry.second;
                        return !IsOwn(step, peer) &&
                               peer.status_.zone_ == zone &&
                               Reports(step, peer) && !peer.status_.leaving_ &&
                               RankIn(zone, peer.address_) < own;
                      });
}

ZoneSum MakeSum(RelayStep& step, const RegionView& view) {
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

bool Receives(const RelayStep& step, const Peer& peer, Duration status_age) {
  return peer.known_ && peer.connected_ && !peer.suspected_ &&
         !peer.status_.leaving_ && step.now_ - peer.status_at_ <= status_age;
}

void SendToOtherZones(RelayStep& step, const ZoneSum& sum) {
  const std::size_t turn = sum.sequence_ % kReceivers;
  for (const auto& [zone, hosts] :
       TopRankedHostsByZone(step, kReceivers, MaxStatusAge(step.options_))) {
    const Peer& first = *hosts.front();
    if (first.status_.region_ != step.options_.region_) continue;
    const Peer& receiver = *hosts[std::min(turn, hosts.size() - 1)];
    ++step.state_.counters_.zone_sums_sent_;
    step.effects_.emplace_back(
        SendToPeer{.peer_ = receiver.address_, .message_ = sum});
  }
}

}  // namespace

Duration MaxStatusAge(const RelayOptions& options) {
  return options.unsaturated_region_status_interval_ * kMissedStatuses;
}

bool RanksFirstInZone(const RelayStep& step) { return IsMaker(step); }

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
    if (IsOwn(step, peer) || !Receives(step, peer, status_age)) continue;
    if (peer.status_.zone_ == step.options_.zone_) continue;
    zones[peer.status_.zone_].push_back(&peer);
  }
  for (auto& [name, hosts] : zones) {
    const std::string& zone = name;  // clang 14 captures no bindings
    const std::size_t kept = std::min(count, hosts.size());
    std::partial_sort(
        hosts.begin(), hosts.begin() + static_cast<std::ptrdiff_t>(kept),
        hosts.end(), [&](const Peer* a, const Peer* b) {
          return RankIn(zone, a->address_) < RankIn(zone, b->address_);
        });
    hosts.resize(kept);
  }
  return zones;
}

RegionView BuildRegionView(const RelayStep& step) {
  RegionView view = ViewOwnZone(step);
  for (const auto& [zone, known] : step.state_.zone_sums_) {
    if (step.now_ - known.received_at_ <= kSumLife) Add(view, known.sum_);
  }
  return view;
}

void TickZoneSums(RelayStep& step) {
  std::erase_if(step.state_.zone_sums_, [&](const auto& entry) {
    return step.now_ - entry.second.received_at_ > kSumLife;
  });
  if (step.state_.stopping_ || !IsMaker(step)) return;
  SendToOtherZones(step, MakeSum(step, ViewOwnZone(step)));
}

void OnZoneSum(RelayStep& step, std::uint64_t connection_id, ZoneSum& sum) {
  RelayState& state = step.state_;
  if (sum.zone_ == step.options_.zone_) return;
  if (sum.region_ != step.options_.region_) return;
  KnownZoneSum& known = state.zone_sums_[sum.zone_];
  const bool same_maker = known.sum_.aggregator_ == sum.aggregator_ &&
                          known.sum_.aggregator_boot_ == sum.aggregator_boot_;
  if (same_maker && sum.sequence_ <= known.sum_.sequence_) return;
  known = {.sum_ = std::move(sum), .received_at_ = step.now_};
  if (IsFromLocalZone(step, connection_id)) return;
  for (const auto& [address, peer] : state.peers_) {
    if (IsOwn(step, peer) || !peer.connected_) continue;
    if (peer.status_.zone_ != step.options_.zone_) continue;
    ++state.counters_.zone_sums_sent_;
    step.effects_.emplace_back(
        SendToPeer{.peer_ = address, .message_ = known.sum_});
  }
}

}  // namespace jujubefront
