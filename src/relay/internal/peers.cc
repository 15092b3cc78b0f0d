#include <algorithm>
#include <array>

#include "base/hashing.h"
#include "relay/internal/relay_step.h"
#include "relay/internal/zone_sums.h"

namespace jujubefront {
namespace {

constexpr Duration kFirstReconnectWait = std::chrono::milliseconds(100);
// A host without load tells so less often.
constexpr int kIdleStatusFactor = 4;
// Part of the slots from which a host tells other zones more often, and how
// long it goes on, so that they learn of the end.
constexpr double kPressedShare = 0.8;
constexpr Duration kPressedMemory = std::chrono::seconds(1);
// Longest round trip that is believed.
constexpr Duration kMaxRoundTrip = std::chrono::milliseconds(200);
// Hosts of another zone that are told of a new document at once.
constexpr std::size_t kTableReceivers = 2;
// Time in which a node of the zone should have brought a document that a node
// of another has, so that it crosses a link once; twice as long for regions.
constexpr Duration kTableGrace = std::chrono::milliseconds(300);
constexpr Duration kTableAskInterval = std::chrono::milliseconds(700);
constexpr Duration kPeersAskInterval = std::chrono::milliseconds(500);

// Measurements that rest on fewer runs, and routes with fewer requests a
// second, are not told to peers.
constexpr double kLeastProfileRuns = 3.0;
constexpr double kLeastToldDemand = 0.1;

bool IsBusy(const RelayState& state) {
  if (state.running_ > 0 || !state.waiting_.runs_.empty()) return true;
  return std::any_of(
      state.demands_.begin(), state.demands_.end(), [](const auto& entry) {
        return entry.second.arrivals_per_second_ > kLeastToldDemand;
      });
}

void Connect(RelayStep& step, Peer& peer) {
  peer.connecting_ = true;
  peer.connecting_since_ = step.now_;
  step.effects_.emplace_back(ConnectPeer{.peer_ = peer.address_});
}

void ScheduleReconnect(RelayStep& step, Peer& peer) {
  peer.reconnect_wait_ =
      std::clamp(peer.reconnect_wait_ * 2, kFirstReconnectWait,
                 step.options_.max_reconnect_interval_);
  const double unit = NextUnit(step.state_.random_);
  peer.reconnect_at_ =
      step.now_ +
      Duration(static_cast<std::int64_t>(
          static_cast<double>(peer.reconnect_wait_.count()) * (0.5 + unit)));
}

// Demand and calls of a run are planned from sums of zones, so that hosts of
// other zones are told neither; those of other regions hardly ever send here.
HostStatus ForOtherZone(HostStatus status, Distance distance) {
  status.demands_.clear();
  if (distance == Distance::kOtherRegion) status.profiles_.clear();
  for (RouteProfile& profile : status.profiles_) profile.calls_.clear();
  return status;
}

bool IsPressed(const RelayState& state) {
  const auto wanted = static_cast<double>(state.running_) +
                      static_cast<double>(state.waiting_.runs_.size()) +
                      state.refused_slots_;
  return wanted >= kPressedShare * state.backend_.slots_;
}

void SendStatus(RelayStep& step, Peer& peer, const HostStatus& status) {
  peer.status_sent_at_ = step.now_;
  ++step.state_.counters_.statuses_sent_;
  const Distance distance = DistanceTo(step.options_, peer.status_);
  if (peer.known_ && distance != Distance::kSameZone) {
    step.effects_.emplace_back(SendToPeer{
        .peer_ = peer.address_, .message_ = ForOtherZone(status, distance)});
    return;
  }
  step.effects_.emplace_back(
      SendToPeer{.peer_ = peer.address_, .message_ = status});
}

void SetStatus(RelayStep& step, Peer& peer, HostStatus status) {
  auto& hosts = step.state_.hosts_of_service_;
  if (peer.status_.service_ != status.service_) {
    hosts[peer.status_.service_].erase(peer.address_);
  }
  hosts[status.service_][peer.address_] = &peer;
  peer.status_ = std::move(status);
}

// A process that has restarted knows nothing of what its backend server said
// before. A heartbeat that was late may then pass for news: peers remember the
// notice that this incarnation leaves, and tell.
void CheckLeft(RelayStep& step, Peer& peer, std::uint64_t connection_id,
               HostStatus& status) {
  const bool leaves = status.backend_ == BackendState::kDraining ||
                      status.backend_ == BackendState::kGone;
  if (leaves) {
    peer.left_ = {.instance_ = status.instance_,
                  .started_at_ms_ = status.backend_started_at_ms_,
                  .sequence_ = status.backend_sequence_,
                  .gone_ = status.backend_ == BackendState::kGone};
    return;
  }
  if (!peer.left_ || status.backend_ != BackendState::kReady) return;
  if (!HasLeft(*peer.left_, status.instance_, status.backend_started_at_ms_,
               status.backend_sequence_)) {
    return;
  }
  status.backend_ =
      peer.left_->gone_ ? BackendState::kGone : BackendState::kDraining;
  LogPeer(step, peer, "its backend server had left before it restarted");
  step.effects_.emplace_back(
      SendBack{.connection_id_ = connection_id, .message_ = *peer.left_});
}

// Whether this peer should be asked for its newer document by now. A node that
// waits at the store leaves the store some time to bring it.
bool MayAskForTable(const RelayStep& step, const Peer& peer) {
  if (!peer.connected_) return false;
  if (peer.status_.table_version_ <= step.state_.table_.version_) return false;
  const auto distance =
      static_cast<int>(DistanceTo(step.options_, peer.status_));
  const int reading = step.state_.store_.waiting_ ? 1 : 0;
  return step.now_ - peer.version_seen_at_ >=
         kTableGrace * (distance + reading);
}

void AskForTable(RelayStep& step) {
  if (step.now_ - step.state_.table_asked_at_ < kTableAskInterval) return;
  std::vector<const Peer*> newer;
  for (const auto& [address, peer] : step.state_.peers_) {
    if (MayAskForTable(step, peer)) newer.push_back(&peer);
  }
  if (newer.empty()) return;
  step.state_.table_asked_at_ = step.now_;
  const Peer& chosen = *newer[NextBelow(step.state_.random_, newer.size())];
  step.effects_.emplace_back(SendToPeer{
      .peer_ = chosen.address_,
      .message_ = TableQuery{.newer_than_ = step.state_.table_.version_}});
}

// A node that cannot read the store's list of nodes learns them from peers.
void AskForPeers(RelayStep& step) {
  if (step.state_.store_.nodes_listed_) return;
  if (step.now_ - step.state_.peers_asked_at_ < kPeersAskInterval) return;
  std::vector<const Peer*> connected;
  for (const auto& [address, peer] : step.state_.peers_) {
    if (peer.connected_) connected.push_back(&peer);
  }
  if (connected.empty()) return;
  step.state_.peers_asked_at_ = step.now_;
  const auto chosen = NextBelow(step.state_.random_, connected.size());
  step.effects_.emplace_back(SendToPeer{.peer_ = connected[chosen]->address_,
                                        .message_ = PeersQuery{}});
}

// Hosts that status messages go to, by distance.
struct Neighbours {
  std::array<int, 3> count_{};
};

Neighbours CountNeighbours(const RelayStep& step) {
  Neighbours neighbours;
  for (const auto& [address, peer] : step.state_.peers_) {
    const Distance distance = DistanceTo(step.options_, peer.status_);
    ++neighbours.count_.at(static_cast<std::size_t>(distance));
  }
  return neighbours;
}

Duration StatusInterval(const RelayStep& step, const Peer& peer,
                        const Neighbours& neighbours) {
  const RelayOptions& options = step.options_;
  const Distance distance = DistanceTo(options, peer.status_);
  const int hosts = neighbours.count_.at(static_cast<std::size_t>(distance));
  const int idle = IsBusy(step.state_) ? 1 : kIdleStatusFactor;
  switch (distance) {
    case Distance::kSameZone:
      return std::max(options.zone_status_interval_ * idle,
                      options.zone_status_spacing_ * hosts);
    case Distance::kSameRegion: {
      const bool pressed =
          step.now_ - step.state_.saturated_at_ <= kPressedMemory;
      return std::max(pressed ? options.region_status_interval_
                              : options.unsaturated_region_status_interval_,
                      options.region_status_spacing_ * hosts);
    }
    case Distance::kOtherRegion:
      return std::max(options.remote_region_status_interval_,
                      options.remote_region_status_spacing_ * hosts);
  }
  return options.remote_region_status_interval_;
}

std::vector<RouteProfile> OwnProfiles(const RelayState& state) {
  std::vector<RouteProfile> profiles;
  for (const auto& [route, stats] : state.run_stats_) {
    if (stats.runs_ < kLeastProfileRuns) continue;
    const auto calls = state.calls_of_run_.find(route);
    profiles.push_back({.route_ = route,
                        .service_ = state.backend_.service_,
                        .runs_ = stats.runs_,
                        .slot_seconds_ = stats.hold_seconds_,
                        .calls_ = calls == state.calls_of_run_.end()
                                      ? std::map<std::string, double>()
                                      : calls->second});
  }
  return profiles;
}

std::vector<RouteDemand> OwnDemands(const RelayState& state) {
  std::vector<RouteDemand> demands;
  for (const RouteRule& route : state.table_.routes_) {
    const auto found = state.demands_.find(route.name_);
    if (found == state.demands_.end()) continue;
    if (found->second.arrivals_per_second_ < kLeastToldDemand) continue;
    demands.push_back(
        {.route_ = route.name_,
         .priority_ = route.priority_,
         .per_second_ = found->second.per_second_,
         .arrivals_per_second_ = found->second.arrivals_per_second_});
  }
  return demands;
}

}  // namespace

void LogPeer(RelayStep& step, const Peer& peer, std::string_view change) {
  step.effects_.emplace_back(Decision{
      .kind_ = DecisionKind::kPeerChanged,
      .trace_id_ = {},
      .inputs_ = {
          {"peer", peer.address_},
          {"change", std::string(change)},
          {"zone", peer.status_.zone_},
          {"in_flight", std::int64_t{peer.in_flight_}},
          {"silent_us", (step.now_ - peer.last_received_at_).count()}}});
}

Distance DistanceTo(const RelayOptions& options, const HostStatus& status) {
  if (status.zone_ == options.zone_) return Distance::kSameZone;
  if (status.region_ == options.region_) return Distance::kSameRegion;
  return Distance::kOtherRegion;
}

Peer& EnsurePeer(RelayStep& step, const std::string& address) {
  const auto [it, added] = step.state_.peers_.try_emplace(address);
  Peer& peer = it->second;
  if (!added) return peer;
  peer.address_ = address;
  peer.unreachable_since_ = step.now_;
  if (address != step.options_.address_) Connect(step, peer);
  return peer;
}

HostStatus MakeStatus(RelayStep& step) {
  RelayState& state = step.state_;
  HostStatus status{
      .address_ = step.options_.address_,
      .boot_ = step.options_.boot_,
      .sequence_ = ++state.status_sequence_,
      .sent_at_ = step.now_.time_since_epoch(),
      .zone_ = step.options_.zone_,
      .region_ = step.options_.region_,
      .leaving_ = state.stopping_,
      .service_ = state.backend_.service_.empty() ? step.options_.service_
                                                  : state.backend_.service_,
      .instance_ = state.backend_.instance_,
      .backend_started_at_ms_ = state.backend_.started_at_ms_,
      .backend_sequence_ = state.backend_.sequence_,
      .backend_ = state.backend_.state_,
      .slots_ = state.backend_.slots_,
      .running_ = state.running_,
      .waiting_ = static_cast<std::uint32_t>(
          static_cast<double>(state.waiting_.runs_.size()) +
          state.refused_slots_),
      .table_version_ = state.table_.version_,
      .profiles_ = OwnProfiles(state),
      .demands_ = OwnDemands(state),
      .reads_store_ =
          state.store_.available_ &&
          (state.store_.waiting_ || step.now_ < state.store_.paused_until_),
      .rejected_share_ = state.arrivals_.rejected_share_,
      .suspicion_digest_ = state.content_watch_.known_.digest_};
  return status;
}

void BroadcastStatus(RelayStep& step) {
  const HostStatus status = MakeStatus(step);
  for (auto& [address, peer] : step.state_.peers_) {
    if (address == step.options_.address_) {
      SetStatus(step, peer, status);
    } else if (peer.connected_) {
      SendStatus(step, peer, status);
    }
  }
}

void BroadcastTableVersion(RelayStep& step, bool from_peer) {
  const HostStatus status = MakeStatus(step);
  const std::uint64_t version = status.table_version_;
  bool zone_has_it = false;
  std::vector<std::string> older;
  for (const auto& [address, peer] : step.state_.peers_) {
    if (address == step.options_.address_ || !peer.connected_) continue;
    if (peer.status_.zone_ != step.options_.zone_) continue;
    if (peer.status_.table_version_ >= version) {
      zone_has_it = true;
    } else {
      older.push_back(address);
    }
  }
  // Who got it from a peer of the zone has peers that got it, too.
  if (from_peer && zone_has_it) return;
  if (!from_peer) {
    for (const auto& [zone, hosts] : TopRankedHostsByZone(
             step, kTableReceivers, MaxStatusAge(step.options_))) {
      for (const Peer* host : hosts) {
        if (host->status_.table_version_ < version) {
          older.push_back(host->address_);
        }
      }
    }
  }
  for (const std::string& address : older) {
    SendStatus(step, step.state_.peers_.at(address), status);
  }
}

void OnStatus(RelayStep& step, std::uint64_t connection_id,
              HostStatus& status) {
  if (status.address_.empty() || status.address_ == step.options_.address_) {
    return;
  }
  step.state_.inbound_links_[connection_id].peer_ = status.address_;
  Peer& peer = EnsurePeer(step, status.address_);
  // Connections are numbered in the order in which they were accepted: what an
  // older one still brings is of an earlier process or order.
  if (connection_id < peer.status_connection_) return;
  peer.status_connection_ = connection_id;
  const bool restarted = peer.known_ && peer.status_.boot_ != status.boot_;
  const std::uint64_t version = peer.status_.table_version_;
  const bool first = !peer.known_;
  peer.known_ = true;
  peer.status_at_ = step.now_;
  if (first || status.table_version_ != version)
    peer.version_seen_at_ = step.now_;
  if (restarted) peer.holds_.clear();
  CheckLeft(step, peer, connection_id, status);
  SetStatus(step, peer, std::move(status));
  peer.sent_since_report_ = 0;
  if (first || restarted) LogPeer(step, peer, first ? "known" : "restarted");
  // A process that was away may be reached again at once.
  if (!peer.connected_ && !peer.connecting_) Connect(step, peer);
}

void OnPeerConnected(RelayStep& step, const std::string& address) {
  Peer& peer = EnsurePeer(step, address);
  peer.connecting_ = false;
  peer.connected_ = true;
  peer.reconnect_wait_ = Duration::zero();
  peer.round_trip_ =
      std::min(step.now_ - peer.connecting_since_, kMaxRoundTrip);
  RecordPeerActivity(peer, step.now_);
  LogPeer(step, peer, "connected");
  SendStatus(step, peer, MakeStatus(step));
}

void OnPeerDisconnected(RelayStep& step, const std::string& address) {
  const auto found = step.state_.peers_.find(address);
  if (found == step.state_.peers_.end()) return;
  Peer& peer = found->second;
  if (peer.connected_) {
    LogPeer(step, peer, "disconnected");
    peer.unreachable_since_ = step.now_;
  }
  peer.connected_ = false;
  peer.connecting_ = false;
  peer.probed_ = false;
  peer.suspected_ = false;
  ScheduleReconnect(step, peer);
  OnPeerLost(step, peer);
  peer.in_flight_ = 0;
}

void OnTableQuery(RelayStep& step, std::uint64_t connection_id,
                  const TableQuery& query) {
  if (step.state_.table_.version_ <= query.newer_than_) return;
  step.effects_.emplace_back(
      SendBack{.connection_id_ = connection_id,
               .message_ = TableText{.version_ = step.state_.table_.version_,
                                     .text_ = step.state_.table_text_}});
}

void OnPeersQuery(RelayStep& step, std::uint64_t connection_id) {
  PeerAddresses known;
  for (const auto& [address, peer] : step.state_.peers_) {
    if (peer.known_) known.addresses_.push_back(address);
  }
  step.effects_.emplace_back(
      SendBack{.connection_id_ = connection_id, .message_ = std::move(known)});
}

void TickPeers(RelayStep& step) {
  if (IsPressed(step.state_)) step.state_.saturated_at_ = step.now_;
  AskForTable(step);
  AskForPeers(step);
  const Neighbours neighbours = CountNeighbours(step);
  std::vector<std::string> forgotten;
  std::vector<std::string> addresses;
  for (const auto& [address, peer] : step.state_.peers_) {
    if (address != step.options_.address_) addresses.push_back(address);
  }
  std::optional<HostStatus> status;
  for (const std::string& address : addresses) {
    Peer& peer = step.state_.peers_.at(address);
    if (!peer.connected_ && !peer.connecting_) {
      if (step.now_ - peer.unreachable_since_ > step.options_.forget_after_) {
        forgotten.push_back(address);
      } else if (step.now_ >= peer.reconnect_at_) {
        Connect(step, peer);
      }
      continue;
    }
    if (!peer.connected_) continue;
    CheckSilence(step, peer);
    if (!peer.connected_) continue;
    if (step.now_ - peer.status_sent_at_ >=
        StatusInterval(step, peer, neighbours)) {
      if (!status) status = MakeStatus(step);
      SendStatus(step, peer, *status);
    }
  }
  CheckCutOff(step);
  for (const std::string& address : forgotten) {
    Peer& peer = step.state_.peers_.at(address);
    step.state_.hosts_of_service_[peer.status_.service_].erase(address);
    step.state_.peers_.erase(address);
  }
  const auto own = step.state_.peers_.find(step.options_.address_);
  if (own != step.state_.peers_.end()) {
    SetStatus(step, own->second, status ? *status : MakeStatus(step));
  }
}

}  // namespace jujubefront
