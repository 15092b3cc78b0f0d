#include "node/internal/lifecycle.h"

#include "membership/membership.h"
#include "membership/rumors.h"
#include "node/internal/document_sync.h"
#include "node/internal/gossip.h"
#include "node/internal/timers.h"
#include "requests/request_table.h"

namespace jujubefront {
namespace {

constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(50);
constexpr Duration kHandOverTimeout = std::chrono::seconds(5);

Member SelfMember(const StepContext& step) {
  return *FindMember(step.state_.membership_, step.options_.name_);
}

void ChangeState(StepContext& step, Member self, MemberState state) {
  self.state_ = state;
  step.state_.lifecycle_.state_ = state;
  UpdateSelf(step.state_.membership_, step.options_.membership_, step.now_,
             self);
  ScheduleEarlyExchange(step);
}

// Other targets of this node's service that are not gone.
std::vector<Member> ServicePeers(const StepContext& step) {
  std::vector<Member> peers =
      ListService(step.state_.membership_, step.options_.service_);
  std::erase_if(peers, [&](const Member& member) {
    return member.name_ == step.options_.name_ ||
           member.state_ == MemberState::kGone;
  });
  return peers;
}

// Whether this incarnation of a member has acknowledged the local node.
bool HasAcknowledged(const LifecycleState& lifecycle, const Member& member) {
  const auto found = lifecycle.acknowledged_.find(member.name_);
  return found != lifecycle.acknowledged_.end() &&
         found->second == member.incarnation_;
}

// Requests with keys made before every other target acknowledged this one may
// have run elsewhere without this target's knowledge. It announces itself as
// serving only when new keys are certainly made later, whatever the permitted
// clock skew between nodes.
void ServeAfterClockSkew(StepContext& step) {
  LifecycleState& lifecycle = step.state_.lifecycle_;
  if (lifecycle.acknowledged_since_ == Timestamp()) {
    lifecycle.acknowledged_since_ = step.now_;
  }
  const Duration acknowledged_for = step.now_ - lifecycle.acknowledged_since_;
  if (acknowledged_for < 2 * step.options_.requests_.max_clock_skew_) return;
  Member self = SelfMember(step);
  self.serving_since_ = lifecycle.acknowledged_since_;
  ChangeState(step, self, MemberState::kServing);
  step.effects_.emplace_back(StateChange{.kind_ = ChangeKind::kServing,
                                         .subject_ = step.options_.name_});
}

void SendToPeer(StepContext& step, const Member& peer, SendPurpose purpose,
                PeerMessage message, Duration timeout) {
  const std::uint64_t send_id = NextId(step);
  step.state_.sends_[send_id] = {.purpose_ = purpose,
                                 .peer_ = peer.name_,
                                 .incarnation_ = peer.incarnation_,
                                 .sent_at_ = step.now_};
  step.effects_.emplace_back(SendPeer{.send_id_ = send_id,
                                      .address_ = peer.rpc_address_,
                                      .message_ = std::move(message),
                                      .timeout_ = timeout});
}

bool HasWork(const NodeState& state) {
  return !state.runs_.empty() || !state.calls_.empty();
}

void ExitNow(StepContext& step, bool table_kept) {
  LifecycleState& lifecycle = step.state_.lifecycle_;
  if (lifecycle.stopped_) return;
  lifecycle.stopped_ = true;
  Member self = SelfMember(step);
  self.table_kept_ = table_kept;
  if (!table_kept) {
    self.memory_lost_before_ = step.now_;
    step.effects_.emplace_back(StateChange{.kind_ = ChangeKind::kTableLost,
                                           .subject_ = step.options_.name_});
  }
  ChangeState(step, self, MemberState::kGone);
  OnEarlyExchangeTime(step);
  if (table_kept) {
    Append(step, ForgetRecord{.name_ = step.options_.name_,
                              .incarnation_ = step.options_.incarnation_});
  }
  const std::uint64_t cut_off =
      step.state_.runs_.size() + step.state_.calls_.size();
  step.effects_.emplace_back(
      StateChange{.kind_ = ChangeKind::kStopped,
                  .subject_ = step.options_.name_,
                  .number_ = static_cast<std::int64_t>(cut_off)});
  step.effects_.emplace_back(ExitProcess{.cut_off_ = cut_off});
}

// Sends the recorded answers to a serving target of the service that has not
// been tried, or exits: with the table kept if it has no answers, with the
// table lost if no target is left to try.
void HandOver(StepContext& step) {
  LifecycleState& lifecycle = step.state_.lifecycle_;
  lifecycle.handing_over_ = true;
  auto records = FinishedRecords(step.state_.requests_);
  if (records.empty()) return ExitNow(step, true);
  for (const Member& peer : ServicePeers(step)) {
    if (peer.state_ != MemberState::kServing) continue;
    if (!lifecycle.handover_targets_tried_.insert(peer.name_).second) continue;
    step.state_.counters_.handed_over_ = records.size();
    return SendToPeer(step, peer, SendPurpose::kHandOver,
                      HandOverRequest{.to_ = {peer.name_, peer.incarnation_},
                                      .from_ = step.options_.name_,
                                      .records_ = std::move(records)},
                      kHandOverTimeout);
  }
  ExitNow(step, false);
}

}  // namespace

void OnJoinTime(StepContext& step) {
  LifecycleState& lifecycle = step.state_.lifecycle_;
  if (lifecycle.state_ != MemberState::kJoining) return;
  ScheduleTimer(step, step.now_ + step.options_.join_interval_,
                TimerKind::kJoin);
  const bool waits = step.options_.membership_.join_waits_for_all_;
  bool all_acknowledged = lifecycle.established_ || !waits;
  for (const Member& member : ServicePeers(step)) {
    if (HasAcknowledged(lifecycle, member)) continue;
    if (waits) all_acknowledged = false;
    SendToPeer(step, member, SendPurpose::kJoin,
               JoinRequest{.member_ = SelfMember(step)},
               step.options_.peer_timeout_);
  }
  if (all_acknowledged) return ServeAfterClockSkew(step);
  lifecycle.acknowledged_since_ = Timestamp();
}

void OnJoinRequest(StepContext& step, std::uint64_t inbound_id,
                   const JoinRequest& request) {
  ApplyMember(step, request.member_);
  JoinReply reply;
  reply.members_ = ServicePeers(step);
  reply.members_.push_back(SelfMember(step));
  step.effects_.emplace_back(
      ReplyPeer{.inbound_id_ = inbound_id, .message_ = std::move(reply)});
}

void OnJoinReply(StepContext& step, const SendState& send,
                 const JoinReply& reply) {
  for (const Member& member : reply.members_) {
    ApplyMember(step, member);
    // The reply contains the incarnation that has acknowledged this node.
    if (member.name_ == send.peer_) {
      step.state_.lifecycle_.acknowledged_[send.peer_] = member.incarnation_;
    }
  }
}

void AnnounceIfDue(StepContext& step) {
  LifecycleState& lifecycle = step.state_.lifecycle_;
  if (lifecycle.announce_append_ != 0 || lifecycle.stopped_) return;
  const bool first = lifecycle.last_announced_ == Timestamp();
  const bool due =
      step.now_ - lifecycle.last_announced_ >= step.options_.announce_interval_;
  if (!first && !due) return;
  const bool reads_log =
      IsLogReader(step.state_.membership_, step.options_.log_readers_per_zone_);
  if (!first && !reads_log) return;
  lifecycle.announce_append_ = Append(
      step, AnnouncementRecord{.name_ = step.options_.name_,
                               .incarnation_ = step.options_.incarnation_,
                               .zone_ = step.options_.zone_,
                               .region_ = step.options_.region_,
                               .service_ = step.options_.service_,
                               .rpc_address_ = step.options_.rpc_address_});
}

void RecordAnnouncement(StepContext& step, const LogAppended& appended) {
  LifecycleState& lifecycle = step.state_.lifecycle_;
  if (appended.append_id_ != lifecycle.announce_append_) return;
  lifecycle.announce_append_ = 0;
  if (!appended.offset_) return;
  lifecycle.last_announced_ = step.now_;
  if (lifecycle.announced_at_ == kNoOffset) {
    lifecycle.announced_at_ = *appended.offset_;
  }
}

void UpdateEstablishedFromLog(StepContext& step) {
  LifecycleState& lifecycle = step.state_.lifecycle_;
  if (lifecycle.announced_at_ == kNoOffset) return;
  // Nodes that announced themselves earlier have been read by now; later ones
  // read this node's announcement.
  if (step.state_.log_.next_ > lifecycle.announced_at_) {
    lifecycle.established_ = true;
  }
}

void MarkEstablishedByPeer(StepContext& step) {
  step.state_.lifecycle_.established_ = true;
}

void OnDrainRequested(StepContext& step) {
  LifecycleState& lifecycle = step.state_.lifecycle_;
  if (lifecycle.state_ >= MemberState::kLeaving) return;
  lifecycle.drain_started_ = step.now_;
  ChangeState(step, SelfMember(step), MemberState::kLeaving);
  step.effects_.emplace_back(StateChange{.kind_ = ChangeKind::kLeaving,
                                         .subject_ = step.options_.name_});
  ScheduleTimer(step, step.now_ + kDrainCheckInterval, TimerKind::kDrain);
}

void OnDrainTime(StepContext& step) {
  LifecycleState& lifecycle = step.state_.lifecycle_;
  if (lifecycle.stopped_ || lifecycle.handing_over_) return;
  const Duration draining = step.now_ - lifecycle.drain_started_;
  const bool quiet = draining >= step.options_.drain_quiet_time_;
  const bool overdue = draining >= step.options_.stop_deadline_;
  if (overdue || (quiet && !HasWork(step.state_))) return HandOver(step);
  ScheduleTimer(step, step.now_ + kDrainCheckInterval, TimerKind::kDrain);
}

void OnHandOverRequest(StepContext& step, std::uint64_t inbound_id,
                       const HandOverRequest& request) {
  const bool own = request.to_.name_ == step.options_.name_ &&
                   request.to_.incarnation_ == step.options_.incarnation_;
  if (!own || step.state_.lifecycle_.state_ != MemberState::kServing) {
    step.effects_.emplace_back(
        ReplyPeer{.inbound_id_ = inbound_id,
                  .message_ = PeerRefusal{.reason_ = Reason::kLeaving}});
    return;
  }
  for (const auto& [key, answer] : request.records_) {
    const RequestRecord* known = FindRecord(step.state_.requests_, key);
    // An answer recorded by the leaving node takes precedence over a key that
    // is only sealed here, which says that it never ran on this node.
    if (known != nullptr && known->state_ != RequestState::kSealed) continue;
    MarkFinished(step.state_.requests_, step.options_.requests_, key, answer);
  }
  step.effects_.emplace_back(ReplyPeer{
      .inbound_id_ = inbound_id,
      .message_ = HandOverReply{.accepted_ = request.records_.size()}});
}

void OnHandOverEnded(StepContext& step, const SendState& /*send*/,
                     bool accepted) {
  if (accepted) return ExitNow(step, true);
  HandOver(step);
}

}  // namespace jujubefront
