#include <algorithm>

#include "relay/internal/relay_step.h"

namespace jujubefront {
namespace {

// Time between two pings of a silent peer, and number of unanswered pings after
// which the peer may be avoided.
constexpr Duration kPingInterval = std::chrono::milliseconds(50);
constexpr int kPingsBeforeAvoided = 2;
// If two peers fall silent within kCorrelationWindow, they may have one cause,
// and all peers are pinged, at most once in kPingAllInterval.
constexpr Duration kCorrelationWindow = std::chrono::milliseconds(500);
constexpr Duration kPingAllInterval = std::chrono::seconds(1);
// With fewer known peers, their silence doesn't show that this node is cut off.
constexpr int kMinPeersToDetectCutOff = 2;
// Number of round trips that are added to the limits on silence.
constexpr int kRoundTripMargin = 2;

// Pings every peer. If two have fallen silent at about the same time, others
// may have too; the pings detect it before a request has to.
void PingAllPeers(RelayStep& step) {
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

void StartAvoiding(RelayStep& step, Peer& peer) {
  const bool correlated =
      step.now_ - step.state_.avoided_at_ <= kCorrelationWindow;
  step.state_.avoided_at_ = step.now_;
  peer.avoided_ = true;
  ++step.state_.counters_.peers_avoided_;
  LogPeer(step, peer, "avoided");
  if (correlated && step.now_ - step.state_.probed_at_ >= kPingAllInterval) {
    PingAllPeers(step);
  }
}

// Number of silent peers among the known ones.
struct SilentCount {
  int silent_ = 0;
  int all_ = 0;

  bool IsMajority() const {
    return all_ >= kMinPeersToDetectCutOff && 2 * silent_ > all_;
  }
};

}  // namespace

// Detects whether this node itself is cut off: most peers of its own zone and
// most peers overall are silent. It then reports that it is not ready, so that
// the platform moves its clients to hosts that can serve them, and sends
// nothing to silent hosts (FindCandidates): a request that was not sent is
// known not to have run.
void CheckCutOff(RelayStep& step) {
  SilentCount zone;
  SilentCount fleet;
  for (const auto& [address, peer] : step.state_.peers_) {
    if (address == step.options_.address_ || !peer.known_) continue;
    // A peer that is only disconnected doesn't count as silent: a refused
    // connection is an answer.
    const bool silent = peer.avoided_ || peer.suspected_;
    ++fleet.all_;
    if (silent) ++fleet.silent_;
    if (peer.status_.zone_ != step.options_.zone_) continue;
    ++zone.all_;
    if (silent) ++zone.silent_;
  }
  const bool cut_off = zone.IsMajority() && fleet.IsMajority();
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
  const Duration round_trips = peer.round_trip_ * kRoundTripMargin;
  if (silent < step.options_.ping_after_ + round_trips) return;
  if (step.now_ - peer.pinged_at_ >= kPingInterval) {
    peer.pinged_at_ = step.now_;
    ++peer.pings_;
    step.effects_.emplace_back(
        SendToPeer{.peer_ = peer.address_, .message_ = PeerPing{}});
  }
  if (!peer.avoided_ && peer.pings_ >= kPingsBeforeAvoided &&
      silent >= step.options_.avoid_after_ + round_trips) {
    StartAvoiding(step, peer);
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
