#include "node/internal/gossip.h"

#include "configuration/configuration.h"
#include "membership/membership.h"
#include "membership/rumors.h"
#include "node/internal/document_sync.h"
#include "node/internal/lifecycle.h"
#include "node/internal/timers.h"
#include "routing/routing.h"
#include "suspicion/suspicion.h"

namespace jujubefront {
namespace {

// Changes are collected for this long before an early exchange.
constexpr Duration kEarlyExchangeDelay = std::chrono::milliseconds(20);
constexpr int kPeersPerEarlyExchange = 2;
constexpr std::size_t kMaxCharges = 16;

std::vector<Charge> SelectCharges(const SuspicionState& state) {
  std::vector<Charge> charges;
  for (const auto& [content, suspect] : state.suspects_) {
    if (charges.size() >= kMaxCharges) break;
    charges.push_back({.key_ = {.high_ = content.high_, .low_ = content.low_},
                       .charges_ = ChargesAgainst(state, content)});
  }
  return charges;
}

// Returns the sections that are newer than the peer's applied offset.
SnapshotRecord NewerSections(const ConfigurationState& state,
                             LogOffset applied_there) {
  if (!state.has_baseline_ || applied_there >= state.applied_) return {};
  SnapshotRecord document{.as_of_ = state.applied_};
  for (const auto& [name, section] : state.sections_) {
    if (section.version_ > applied_there) document.sections_.push_back(section);
  }
  return document;
}

Exchange MakeExchange(StepContext& step, bool digests_differ) {
  NodeState& state = step.state_;
  return {.from_ = step.options_.name_,
          .digest_ = state.membership_.digest_,
          .established_ = state.lifecycle_.established_,
          .applied_ = state.configuration_.has_baseline_
                          ? state.configuration_.applied_
                          : kNoOffset,
          .members_ = SelectUpdates(state.membership_,
                                    step.options_.membership_, digests_differ),
          .charges_ = SelectCharges(state.suspicion_)};
}

void SendExchange(StepContext& step, const std::string& peer,
                  Exchange exchange) {
  const Member* member = FindMember(step.state_.membership_, peer);
  if (member == nullptr) return;
  ++step.state_.counters_.exchanges_;
  const std::uint64_t send_id = NextId(step);
  step.state_.sends_[send_id] = {.purpose_ = SendPurpose::kExchange,
                                 .peer_ = peer,
                                 .incarnation_ = member->incarnation_,
                                 .sent_at_ = step.now_};
  step.effects_.emplace_back(SendPeer{.send_id_ = send_id,
                                      .address_ = member->rpc_address_,
                                      .message_ = std::move(exchange),
                                      .timeout_ = step.options_.peer_timeout_});
}

void ExchangeWithPeers(StepContext& step, PeerScope scope, int peers) {
  for (int i = 0; i < peers; ++i) {
    const auto peer =
        PickPeer(step.state_.membership_, scope, step.state_.random_);
    if (!peer) return;
    SendExchange(step, *peer, MakeExchange(step, false));
  }
}

void ApplyExchange(StepContext& step, const Exchange& exchange) {
  for (const Member& member : exchange.members_) ApplyMember(step, member);
  for (const Charge& charge : exchange.charges_) {
    RaiseCharges(step.state_.suspicion_, step.options_.suspicion_, step.now_,
                 AsFingerprint(charge.key_), charge.charges_);
  }
  ApplyPeerDocument(step, exchange.document_);
}

}  // namespace

void ApplyMember(StepContext& step, const Member& update) {
  if (update.name_.empty() || update.rpc_address_.empty()) return;
  MembershipState& state = step.state_.membership_;
  const MergeResult result =
      MergeMember(state, step.options_.membership_, step.now_, update);
  if (result == MergeResult::kUpdated) {
    if (update.state_ == MemberState::kGone) {
      ForgetTarget(step.state_.routing_, update.name_);
    }
    // Peers should learn of a new target before the next regular exchange.
    ScheduleEarlyExchange(step);
  }
  if (result == MergeResult::kAboutSelf) {
    state.members_[state.self_].sends_left_ =
        step.options_.membership_.sends_per_news_;
  }
}

void OnGossipTime(StepContext& step) {
  const MembershipOptions& options = step.options_.membership_;
  ExchangeWithPeers(step, PeerScope::kLocalZone,
                    static_cast<int>(options.zone_peers_per_round_));
  if (NextBelow(step.state_.random_, options.rounds_per_remote_exchange_) ==
      0) {
    ExchangeWithPeers(step, PeerScope::kOtherZones, 1);
  }
  // Randomized, so that nodes started together do not stay synchronized.
  const double factor = 0.5 + NextUnit(step.state_.random_);
  const auto interval =
      std::chrono::duration_cast<Duration>(options.gossip_interval_ * factor);
  ScheduleTimer(step, step.now_ + interval, TimerKind::kGossip);
}

void ScheduleEarlyExchange(StepContext& step) {
  if (step.state_.early_exchange_scheduled_) return;
  step.state_.early_exchange_scheduled_ = true;
  ScheduleTimer(step, step.now_ + kEarlyExchangeDelay,
                TimerKind::kEarlyExchange);
}

void OnEarlyExchangeTime(StepContext& step) {
  step.state_.early_exchange_scheduled_ = false;
  ExchangeWithPeers(step, PeerScope::kLocalZone, kPeersPerEarlyExchange);
  ExchangeWithPeers(step, PeerScope::kOtherZones, 1);
}

void OnExchangeRequest(StepContext& step, std::uint64_t inbound_id,
                       const Exchange& request) {
  ApplyExchange(step, request);
  RecordContact(step.state_.membership_, request.from_, true);
  const bool differ = request.digest_ != step.state_.membership_.digest_;
  Exchange reply = MakeExchange(step, differ);
  reply.document_ = NewerSections(step.state_.configuration_, request.applied_);
  step.effects_.emplace_back(
      ReplyPeer{.inbound_id_ = inbound_id, .message_ = std::move(reply)});
}

void OnExchangeReply(StepContext& step, const SendState& send,
                     const Exchange& reply) {
  RecordContact(step.state_.membership_, send.peer_, true);
  ApplyExchange(step, reply);
  if (reply.established_ && reply.digest_ == step.state_.membership_.digest_) {
    MarkEstablishedByPeer(step);
  }
  SnapshotRecord document =
      NewerSections(step.state_.configuration_, reply.applied_);
  if (document.as_of_ == kNoOffset) return;
  Exchange push = MakeExchange(step, false);
  push.document_ = std::move(document);
  SendExchange(step, send.peer_, std::move(push));
}

}  // namespace jujubefront
