#include <algorithm>

#include "relay/internal/relay_step.h"

namespace jujubefront {
namespace {

// Pings of a silent peer: time between two, and how many must be unanswered
// before it is avoided.
constexpr Duration kPingInterval = std::chrono::milliseconds(50);
constexpr int kPingsBeforeAvoided = 2;
// Time within which two silences count as one event, and between two probes of
// all peers.
constexpr Duration kTogether = std::chrono::milliseconds(500);
constexpr Duration kProbeInterval = std::chrono::seconds(1);
// With fewer peers nothing is concluded about the own connection.
constexpr int kLeastPeersToTell = 2;
// Round trips that silence may last longer.
constexpr int kRoundTrips = 2;

// Pings every peer: where two have fallen silent together, more may have, and
// requests should not be what finds out.
void ProbeAll(RelayStep& step) {
  step.state_.probed_at_ = step.now_;
  for (auto& [address, peer] : step.state_.peers_) {
    if (!peer.connected_ || peer.avoided_ || peer.probed_) continue;
    if (peer.in_flight_ == 0) peer.last_received_at_ = step.now_;
    peer.probed_ = true;
    peer.pinged_at_ = step.now_;
    ++peer.pings_;
    step.effects_.emplace_back(
        SendToPeer{.peer_ = address, .message_ = PeerPing{}});
  }
}

void Avoid(RelayStep& step, Peer& peer) {
  const bool together = step.now_ - step.state_.avoided_at_ <= kTogether;
  step.state_.avoided_at_ = step.now_;
  peer.avoided_ = true;
  ++step.state_.counters_.peers_avoided_;
  LogPeer(step, peer, "avoided");
  if (together && step.now_ - step.state_.probed_at_ >= kProbeInterval) {
    ProbeAll(step);
  }
}

// Peers that are silent, and all that are known.
struct SilentShare {
  int silent_ = 0;
  int all_ = 0;

  bool IsMost() const {
    return all_ >= kLeastPeersToTell && 2 * silent_ > all_;
  }
};

}  // namespace

// Whether this node is the one that is cut off: neither its own zone nor the
// others answer. The platform then moves its clients to hosts that can serve
// them, and what is not sent is known not to have run.
void CheckCutOff(RelayStep& step) {
  SilentShare zone;
  SilentShare fleet;
  for (const auto& [address, peer] : step.state_.peers_) {
    if (address == step.options_.address_ || !peer.known_) continue;
    // A refused connection is an answer.
    const bool silent = peer.avoided_ || peer.suspected_;
    ++fleet.all_;
    if (silent) ++fleet.silent_;
    if (peer.status_.zone_ != step.options_.zone_) continue;
    ++zone.all_;
    if (silent) ++zone.silent_;
  }
  const bool cut_off = zone.IsMost() && fleet.IsMost();
  if (cut_off == step.state_.cut_off_) return;
  step.state_.cut_off_ = cut_off;
  step.effects_.emplace_back(Decision{
      .kind_ = cut_off ? DecisionKind::kPeersLost : DecisionKind::kPeersBack,
      .trace_id_ = {},
      .inputs_ = {{"silent", std::int64_t{fleet.silent_}},
                  {"known", std::int64_t{fleet.all_}},
                  {"silent_in_zone", std::int64_t{zone.silent_}},
                  {"known_in_zone", std::int64_t{zone.all_}}}});
  UpdateReady(step);
}

void CheckSilence(RelayStep& step, Peer& peer) {
  if (peer.in_flight_ == 0 && !peer.avoided_ && !peer.probed_) {
    peer.suspected_ = false;
    return;
  }
  const Duration silent = step.now_ - peer.last_received_at_;
  const Duration on_the_way = peer.round_trip_ * kRoundTrips;
  if (silent < step.options_.ping_after_ + on_the_way) return;
  if (step.now_ - peer.pinged_at_ >= kPingInterval) {
    peer.pinged_at_ = step.now_;
    ++peer.pings_;
    step.effects_.emplace_back(
        SendToPeer{.peer_ = peer.address_, .message_ = PeerPing{}});
  }
  if (!peer.avoided_ && peer.pings_ >= kPingsBeforeAvoided &&
      silent >= step.options_.avoid_after_ + on_the_way) {
    Avoid(step, peer);
  }
  if (silent >= step.options_.reopen_after_) {
    LogPeer(step, peer, "connection opened anew after silence");
    step.effects_.emplace_back(DisconnectPeer{.peer_ = peer.address_});
    OnPeerDisconnected(step, peer.address_);
    return;
  }
  if (silent >= step.options_.suspect_after_ && !peer.suspected_) {
    peer.suspected_ = true;
    ++step.state_.counters_.peers_suspected_;
    LogPeer(step, peer, "suspected");
    OnPeerSuspected(step, peer);
  }
}

void RecordPeerActivity(Peer& peer, Timestamp now) {
  peer.last_received_at_ = now;
  peer.pings_ = 0;
  peer.probed_ = false;
  peer.avoided_ = false;
  peer.suspected_ = false;
}

void ExcludePauseFromSilence(RelayStep& step, Duration pause) {
  RelayState& state = step.state_;
  for (auto& [address, peer] : state.peers_) {
    peer.last_received_at_ += pause;
    peer.status_at_ += pause;
  }
  state.backend_.received_at_ += pause;
}

}  // namespace jujubefront
