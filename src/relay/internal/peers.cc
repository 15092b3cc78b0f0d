#include <algorithm>
#include <array>

#include "base/hashing.h"
#include "relay/internal/relay_step.h"
#include "relay/internal/zone_sums.h"

namespace jujubefront {
namespace {

constexpr Duration kMinReconnectWait = std::chrono::milliseconds(100);
// A host without load sends its status to its zone less often, by this factor.
constexpr int kIdleIntervalFactor = 4;
// Share of the local backend server's slots in use or in demand from which the
// host counts as saturated and reports more often to the region's other zones,
// and how long it continues afterwards, so that they learn that it has ended.
constexpr double kSaturatedShare = 0.8;
constexpr Duration kSaturationHold = std::chrono::seconds(1);
// Upper bound on the measured round trip of a connection.
constexpr Duration kMaxRoundTrip = std::chrono::milliseconds(200);
// Hosts of each other zone that are notified of a new routing document
// immediately.
constexpr std::size_t kTableReceiversPerZone = 2;
// Time to wait before querying a document from another zone, twice as long for
// another region. A node of the local zone should have fetched it by then, so
// that the document crosses the link between zones only once.
constexpr Duration kTableForwardDelay = std::chrono::milliseconds(300);
constexpr Duration kTableQueryInterval = std::chrono::milliseconds(700);
constexpr Duration kPeersQueryInterval = std::chrono::milliseconds(500);

// Run profiles with fewer runs, and routes with fewer requests per second, are
// left out of statuses.
constexpr double kMinProfileRuns = 3.0;
constexpr double kMinReportedDemand = 0.1;

bool IsBusy(const RelayState& state) {
  if (state.running_ > 0 || !state.waiting_.runs_.empty()) return true;
  return std::any_of(
      state.demands_.begin(), state.demands_.end(), [](const auto& entry) {
        return entry.second.arrivals_per_second_ > kMinReportedDemand;
      });
}

void Connect(RelayStep& step, Peer& peer) {
  peer.connecting_ = true;
  peer.connecting_since_ = step.now_;
  step.effects_.emplace_back(ConnectPeer{.peer_ = peer.address_});
}

void ScheduleReconnect(RelayStep& step, Peer& peer) {
  peer.reconnect_wait_ = std::clamp(peer.reconnect_wait_ * 2, kMinReconnectWait,
                                    step.options_.max_reconnect_interval_);
  const double jitter = NextUnit(step.state_.random_);
  peer.reconnect_at_ =
      step.now_ +
      Duration(static_cast<std::int64_t>(
          static_cast<double>(peer.reconnect_wait_.count()) * (0.5 + jitter)));
}

// Removes what hosts outside the zone don't need. Plans for demand and calls
// use zone sums, so statuses for other zones carry neither. Hosts of other
// regions hardly ever send requests here, so they receive no profiles at all.
HostStatus ReduceForOtherZone(HostStatus status, Distance distance) {
  status.demands_.clear();
  if (distance == Distance::kOtherRegion) status.profiles_.clear();
  for (RouteProfile& profile : status.profiles_) profile.calls_.clear();
  return status;
}

bool IsSaturated(const RelayStep& step) {
  const RelayState& state = step.state_;
  const auto slots_wanted = static_cast<double>(state.running_) +
                            static_cast<double>(state.waiting_.runs_.size()) +
                            state.refused_slots_;
  const auto limit = FindStartLimit(step);
  const double slots = limit ? limit->usable_slots_ : state.backend_.slots_;
  return slots_wanted >= kSaturatedShare * slots;
}

void SendStatus(RelayStep& step, Peer& peer, const HostStatus& status) {
  peer.status_sent_at_ = step.now_;
  ++step.state_.counters_.statuses_sent_;
  const Distance distance = DistanceTo(step.options_, peer.status_);
  if (peer.known_ && distance != Distance::kSameZone) {
    step.effects_.emplace_back(
        SendToPeer{.peer_ = peer.address_,
                   .message_ = ReduceForOtherZone(status, distance)});
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

// Keeps the strongest notice of the latest incarnation: a relay that has
// restarted may know less than the notice that is kept.
void RecordLeaveNotice(Peer& peer, Departure departure) {
  if (peer.left_) {
    const BackendLeft& known = peer.left_->left_;
    BackendLeft& left = departure.left_;
    if (left.started_at_ms_ < known.started_at_ms_) return;
    if (left.started_at_ms_ == known.started_at_ms_ &&
        left.instance_ == known.instance_) {
      left.sequence_ = std::max(left.sequence_, known.sequence_);
      left.gone_ |= known.gone_;
      departure.covers_earlier_starts_ |= peer.left_->covers_earlier_starts_;
    }
  }
  peer.left_ = std::move(departure);
}

// Remembers that a peer's backend server is draining or gone, and corrects
// later statuses of the same incarnation. A sidecar that has restarted doesn't
// know what its backend server announced before, so a late heartbeat can make
// it report the backend server as ready; the notice is then sent back to it.
void ApplyLeaveNotice(RelayStep& step, Peer& peer, std::uint64_t connection_id,
                      HostStatus& status) {
  if (status.departed_) RecordLeaveNotice(peer, *status.departed_);
  const bool is_leaving = status.backend_ == BackendState::kDraining ||
                          status.backend_ == BackendState::kGone;
  if (is_leaving) {
    RecordLeaveNotice(
        peer, {.left_ = {.instance_ = status.instance_,
                         .started_at_ms_ = status.backend_started_at_ms_,
                         .sequence_ = status.backend_sequence_,
                         .gone_ = status.backend_ == BackendState::kGone}});
    return;
  }
  if (!peer.left_ || status.backend_ != BackendState::kReady) return;
  if (!HasLeft(*peer.left_, status.instance_, status.backend_started_at_ms_,
               status.backend_sequence_)) {
    return;
  }
  status.backend_ =
      peer.left_->left_.gone_ ? BackendState::kGone : BackendState::kDraining;
  LogPeer(step, peer, "its backend server had left before it restarted");
  step.effects_.emplace_back(
      SendBack{.connection_id_ = connection_id, .message_ = *peer.left_});
}

// Whether to query this peer for its newer routing document now. A node that
// reads documents from the store itself first gives the store another
// kTableForwardDelay to deliver it.
bool ShouldQueryTable(const RelayStep& step, const Peer& peer) {
  if (!peer.connected_) return false;
  if (peer.status_.table_version_ <= step.state_.table_.version_) return false;
  const auto distance =
      static_cast<int>(DistanceTo(step.options_, peer.status_));
  const int waits_at_store = step.state_.store_.waiting_ ? 1 : 0;
  return step.now_ - peer.version_seen_at_ >=
         kTableForwardDelay * (distance + waits_at_store);
}

void QueryTable(RelayStep& step) {
  if (step.now_ - step.state_.table_queried_at_ < kTableQueryInterval) return;
  std::vector<const Peer*> candidates;
  for (const auto& [address, peer] : step.state_.peers_) {
    if (ShouldQueryTable(step, peer)) candidates.push_back(&peer);
  }
  if (candidates.empty()) return;
  step.state_.table_queried_at_ = step.now_;
  const Peer& chosen =
      *candidates[NextBelow(step.state_.random_, candidates.size())];
  step.effects_.emplace_back(SendToPeer{
      .peer_ = chosen.address_,
      .message_ = TableQuery{.newer_than_ = step.state_.table_.version_}});
}

// Queries a random peer for the addresses of nodes, until the store's list of
// nodes has been read.
void QueryPeers(RelayStep& step) {
  if (step.state_.store_.nodes_listed_) return;
  if (step.now_ - step.state_.peers_queried_at_ < kPeersQueryInterval) return;
  std::vector<const Peer*> connected;
  for (const auto& [address, peer] : step.state_.peers_) {
    if (peer.connected_) connected.push_back(&peer);
  }
  if (connected.empty()) return;
  step.state_.peers_queried_at_ = step.now_;
  const auto chosen = NextBelow(step.state_.random_, connected.size());
  step.effects_.emplace_back(SendToPeer{.peer_ = connected[chosen]->address_,
                                        .message_ = PeersQuery{}});
}

// Numbers of peers that statuses are sent to, indexed by Distance.
struct PeerCounts {
  std::array<int, 3> by_distance_{};
};

PeerCounts CountPeers(const RelayStep& step) {
  PeerCounts peer_counts;
  for (const auto& [address, peer] : step.state_.peers_) {
    const Distance distance = DistanceTo(step.options_, peer.status_);
    ++peer_counts.by_distance_.at(static_cast<std::size_t>(distance));
  }
  return peer_counts;
}

Duration StatusInterval(const RelayStep& step, const Peer& peer,
                        const PeerCounts& peer_counts) {
  const RelayOptions& options = step.options_;
  const Distance distance = DistanceTo(options, peer.status_);
  const int hosts =
      peer_counts.by_distance_.at(static_cast<std::size_t>(distance));
  // The zone relies on what its readers report.
  const bool is_idle = !IsBusy(step.state_) && !step.state_.store_.is_reader_;
  const int idle_factor = is_idle ? kIdleIntervalFactor : 1;
  switch (distance) {
    case Distance::kSameZone:
      return std::max(options.zone_status_interval_ * idle_factor,
                      options.zone_status_spacing_ * hosts);
    case Distance::kSameRegion: {
      const bool saturated =
          step.now_ - step.state_.saturated_at_ <= kSaturationHold;
      return std::max(saturated ? options.region_status_interval_
                                : options.unsaturated_region_status_interval_,
                      options.region_status_spacing_ * hosts);
    }
    case Distance::kOtherRegion:
      return std::max(options.remote_region_status_interval_,
                      options.remote_region_status_spacing_ * hosts);
  }
  return options.remote_region_status_interval_;
}

std::vector<RouteProfile> LocalProfiles(const RelayState& state) {
  std::vector<RouteProfile> profiles;
  for (const auto& [route, stats] : state.run_stats_) {
    if (stats.runs_ < kMinProfileRuns) continue;
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

std::vector<RouteDemand> LocalDemands(const RelayState& state) {
  std::vector<RouteDemand> demands;
  for (const RouteRule& route : state.table_.routes_) {
    const auto found = state.demands_.find(route.name_);
    if (found == state.demands_.end()) continue;
    if (found->second.arrivals_per_second_ < kMinReportedDemand) continue;
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
  HostStatus status{.address_ = step.options_.address_,
                    .boot_ = step.options_.boot_,
                    .sequence_ = ++state.status_sequence_,
                    .sent_at_ = step.now_.time_since_epoch(),
                    .zone_ = step.options_.zone_,
                    .region_ = step.options_.region_,
                    .leaving_ = state.stopping_,
                    .service_ = state.backend_.service_.empty()
                                    ? step.options_.service_
                                    : state.backend_.service_,
                    .instance_ = state.backend_.instance_,
                    .backend_started_at_ms_ = state.backend_.started_at_ms_,
                    .backend_sequence_ = state.backend_.stated_leaving_
                                             ? kAnySequence
                                             : state.backend_.sequence_,
                    .backend_ = state.backend_.state_,
                    .slots_ = state.backend_.slots_,
                    .start_limit_ = FindStartLimit(step),
                    .running_ = state.running_,
                    .waiting_ = static_cast<std::uint32_t>(
                        static_cast<double>(state.waiting_.runs_.size()) +
                        state.refused_slots_),
                    .table_version_ = state.table_.version_,
                    .profiles_ = LocalProfiles(state),
                    .demands_ = LocalDemands(state),
                    .reads_store_ = state.store_.is_reader_,
                    .rejected_share_ = state.arrivals_.rejected_share_,
                    .suspicion_digest_ = state.content_watch_.known_.digest_,
                    .store_era_ = state.store_.era_.value_or(0),
                    .load_report_ = CurrentLoadReport(step.state_, step.now_)};
  if (const auto& as_of = state.store_.document_as_of_) {
    status.document_age_ = step.now_ - *as_of;
  }
  const auto& departures = state.departures_.known_;
  if (state.backend_.instance_.empty() && !departures.empty()) {
    status.departed_ = departures.back();
  }
  return status;
}

void SendStatusToZone(RelayStep& step) {
  const HostStatus status = MakeStatus(step);
  for (auto& [address, peer] : step.state_.peers_) {
    if (!peer.connected_ || !peer.known_) continue;
    if (peer.status_.zone_ != step.options_.zone_) continue;
    if (address != step.options_.address_) SendStatus(step, peer, status);
  }
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
  bool zone_has_table = false;
  std::vector<std::string> receivers;
  for (const auto& [address, peer] : step.state_.peers_) {
    if (address == step.options_.address_ || !peer.connected_) continue;
    if (peer.status_.zone_ != step.options_.zone_) continue;
    if (peer.status_.table_version_ >= version) {
      zone_has_table = true;
    } else {
      receivers.push_back(address);
    }
  }
  // If a peer delivered the document and the zone already has it, the peers of
  // the zone receive it from one another.
  if (from_peer && zone_has_table) return;
  if (!from_peer) {
    for (const auto& [zone, hosts] : TopRankedHostsByZone(
             step, kTableReceiversPerZone, MaxStatusAge(step.options_))) {
      for (const Peer* host : hosts) {
        if (host->status_.table_version_ < version) {
          receivers.push_back(host->address_);
        }
      }
    }
  }
  for (const std::string& address : receivers) {
    SendStatus(step, step.state_.peers_.at(address), status);
  }
}

void OnStatus(RelayStep& step, std::uint64_t connection_id, Duration transit,
              HostStatus& status) {
  if (status.address_.empty() || status.address_ == step.options_.address_) {
    return;
  }
  step.state_.inbound_links_[connection_id].peer_ = status.address_;
  Peer& peer = EnsurePeer(step, status.address_);
  // Connections are numbered in the order in which they were accepted. A status
  // from an older connection is out of date or of an earlier process.
  if (connection_id < peer.status_connection_) return;
  peer.status_connection_ = connection_id;
  const bool restarted = peer.known_ && peer.status_.boot_ != status.boot_;
  const std::uint64_t version = peer.status_.table_version_;
  const bool is_new = !peer.known_;
  peer.known_ = true;
  peer.status_at_ = step.now_;
  if (is_new || status.table_version_ != version)
    peer.version_seen_at_ = step.now_;
  if (restarted) {
    peer.holds_.clear();
    peer.hold_paces_.clear();
    // The new process may not be able to read it from the store.
    if (peer.left_ && status.backend_ == BackendState::kUnknown) {
      step.effects_.emplace_back(
          SendBack{.connection_id_ = connection_id, .message_ = *peer.left_});
    }
  }
  ApplyLeaveNotice(step, peer, connection_id, status);
  OnPeerStoreEra(step, status.store_era_);
  peer.document_as_of_.reset();
  if (status.document_age_) {
    peer.document_as_of_ = step.now_ - transit - *status.document_age_;
  }
  if (!is_new && peer.status_.backend_started_at_ms_ != 0 &&
      status.backend_started_at_ms_ > peer.status_.backend_started_at_ms_) {
    peer.backend_replaced_at_ = step.now_;
  }
  SetStatus(step, peer, std::move(status));
  OnPeerDocumentAge(step, peer);
  peer.sent_since_report_ = 0;
  RemoveCoveredSends(peer, step.now_, transit);
  peer.load_reported_at_ = step.now_;
  if (is_new || restarted) LogPeer(step, peer, is_new ? "known" : "restarted");
  // The peer is running, so reconnect without waiting for reconnect_at_.
  if (!peer.connected_ && !peer.connecting_) Connect(step, peer);
}

void RecordStatement(RelayStep& step, Peer& peer, const std::string& instance,
                     const BackendStatement& stated) {
  if (stated.started_at_ms_ <
      std::max<std::int64_t>(1, peer.stated_.started_at_ms_)) {
    return;
  }
  peer.stated_ = stated;
  if (!stated.leaving_) return;
  const Departure left{.left_ = {.instance_ = instance,
                                 .started_at_ms_ = stated.started_at_ms_,
                                 .sequence_ = kAnySequence}};
  RecordLeaveNotice(peer, left);
  HostStatus& status = peer.status_;
  if (status.backend_ != BackendState::kReady ||
      !HasLeft(left, status.instance_, status.backend_started_at_ms_,
               status.backend_sequence_)) {
    return;
  }
  status.backend_ = BackendState::kDraining;
  LogPeer(step, peer, "its backend server states that it leaves");
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
  // A process that gets its first document from a peer may not have reached the
  // store, which keeps the condemned contents as well.
  if (query.newer_than_ == 0) SendAllCharges(step, connection_id);
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
  if (IsSaturated(step)) step.state_.saturated_at_ = step.now_;
  QueryTable(step);
  QueryPeers(step);
  const PeerCounts peer_counts = CountPeers(step);
  std::vector<std::string> expired;
  std::vector<std::string> addresses;
  for (const auto& [address, peer] : step.state_.peers_) {
    if (address != step.options_.address_) addresses.push_back(address);
  }
  std::optional<HostStatus> status;
  for (const std::string& address : addresses) {
    Peer& peer = step.state_.peers_.at(address);
    if (!peer.connected_ && !peer.connecting_) {
      if (step.now_ - peer.unreachable_since_ > step.options_.forget_after_) {
        expired.push_back(address);
      } else if (step.now_ >= peer.reconnect_at_) {
        Connect(step, peer);
      }
      continue;
    }
    if (!peer.connected_) continue;
    CheckSilence(step, peer);
    if (!peer.connected_) continue;
    if (step.now_ - peer.status_sent_at_ >=
        StatusInterval(step, peer, peer_counts)) {
      if (!status) status = MakeStatus(step);
      SendStatus(step, peer, *status);
    }
  }
  CheckCutOff(step);
  for (const std::string& address : expired) {
    Peer& peer = step.state_.peers_.at(address);
    step.state_.hosts_of_service_[peer.status_.service_].erase(address);
    step.state_.peers_.erase(address);
  }
  const auto local = step.state_.peers_.find(step.options_.address_);
  if (local != step.state_.peers_.end()) {
    SetStatus(step, local->second, status ? *status : MakeStatus(step));
  }
}

}  // namespace jujubefront
