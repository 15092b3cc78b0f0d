#include <algorithm>
#include <optional>
#include <set>

#include "base/hashing.h"
#include "relay/internal/relay_step.h"
#include "relay/internal/zone_sums.h"
#include "suspicion/suspicion.h"

namespace jujubefront {
namespace {

// Hosts of each other zone that a notice is sent to; they forward it to the
// other hosts of their zone.
constexpr std::size_t kReceiversPerZone = 3;
// Maximum number of charges and clearances in one message.
constexpr std::size_t kMaxNoticeEntries = 256;
// Time within which a notice has reached every connected node.
constexpr Duration kPropagationTime = std::chrono::milliseconds(500);
constexpr Duration kExpiryInterval = std::chrono::seconds(1);

std::uint64_t HashCaller(const std::string& service) {
  return HashBytes(service);
}

std::uint64_t HashIncarnation(const UnansweredRun& run) {
  return HashBytes(run.instance_,
                   static_cast<std::uint64_t>(run.backend_started_at_ms_));
}

std::string_view FormatStanding(Standing standing) {
  switch (standing) {
    case Standing::kTrusted:
      return "trusted";
    case Standing::kContained:
      return "contained";
    case Standing::kCondemned:
      return "condemned";
  }
  return "trusted";
}

bool IsEmpty(const SuspicionNotice& notice) {
  return notice.charges_.empty() && notice.clearances_.empty();
}

void SendNotice(RelayStep& step, const std::string& peer,
                const SuspicionNotice& notice) {
  ++step.state_.counters_.suspicion_notices_sent_;
  step.effects_.emplace_back(SendToPeer{.peer_ = peer, .message_ = notice});
}

void SendToLocalZone(RelayStep& step, const SuspicionNotice& notice) {
  for (const auto& [address, peer] : step.state_.peers_) {
    if (address == step.options_.address_ || !peer.connected_) continue;
    if (peer.status_.zone_ != step.options_.zone_) continue;
    SendNotice(step, address, notice);
  }
}

// Hosts that receive notices for their zone. Since notices are rare, a host
// needs only a connection; its last status may be as old as forget_after_.
std::map<std::string, std::vector<const Peer*>> SelectReceiversInOtherZones(
    const RelayStep& step) {
  return TopRankedHostsByZone(step, kReceiversPerZone,
                              step.options_.forget_after_);
}

void BroadcastNotice(RelayStep& step, const SuspicionNotice& notice) {
  SendToLocalZone(step, notice);
  for (const auto& [zone, hosts] : SelectReceiversInOtherZones(step)) {
    for (const Peer* host : hosts) SendNotice(step, host->address_, notice);
  }
}

void LogCharge(RelayStep& step, const ContentCharge& charge,
               const std::string& from) {
  const ContentVerdict verdict = EvaluateContent(
      step.state_.content_watch_.known_, step.options_.suspicion_, step.now_,
      charge.content_, charge.caller_);
  // A charge has no effect yet while the content stays trusted.
  if (verdict.standing_ == Standing::kTrusted) return;
  step.effects_.emplace_back(Decision{
      .kind_ = DecisionKind::kContentCharged,
      .trace_id_ = {},
      .inputs_ = {{"content", FormatFingerprint(charge.content_)},
                  {"charges", std::int64_t{verdict.charges_}},
                  {"standing", std::string(FormatStanding(verdict.standing_))},
                  {"age_us", charge.age_.count()},
                  {"from", from}}});
}

// Records a charge that arose here or was received. Returns true if it was
// added.
bool ApplyCharge(RelayStep& step, const ContentCharge& charge,
                 const std::string& from) {
  if (!charge.content_.known()) return false;
  const bool is_new =
      RecordCharge(step.state_.content_watch_.known_, step.options_.suspicion_,
                   step.now_, charge.content_,
                   {.incarnation_ = charge.incarnation_,
                    .caller_ = charge.caller_,
                    .at_ = step.now_ - charge.age_});
  if (!is_new) return false;
  ++step.state_.counters_.charges_recorded_;
  LogCharge(step, charge, from);
  return true;
}

void LogClearance(RelayStep& step, const ContentClearance& clearance,
                  const std::string& from) {
  ++step.state_.counters_.clearances_recorded_;
  step.effects_.emplace_back(
      Decision{.kind_ = DecisionKind::kContentCleared,
               .trace_id_ = {},
               .inputs_ = {{"content", FormatFingerprint(clearance.content_)},
                           {"age_us", clearance.age_.count()},
                           {"from", from}}});
}

// Records a clearance that was received. Returns true if it must be forwarded.
bool ApplyClearance(RelayStep& step, const ContentClearance& clearance,
                    const std::string& from) {
  SuspicionState& known = step.state_.content_watch_.known_;
  // Clearances are kept only for contents with charges or older clearances.
  if (!known.suspects_.contains(clearance.content_)) return false;
  if (!RecordClearance(known, step.options_.suspicion_, step.now_,
                       clearance.content_, clearance.caller_,
                       step.now_ - clearance.age_)) {
    return false;
  }
  LogClearance(step, clearance, from);
  return true;
}

bool HasChargesToCondemn(const RelayStep& step, const Fingerprint& content) {
  return ChargesAgainst(step.state_.content_watch_.known_, content) >=
         step.options_.suspicion_.min_charges_to_condemn_;
}

void MarkUnsaved(RelayStep& step, const Fingerprint& content) {
  step.state_.content_watch_.unsaved_.insert(content);
}

// A condemnation that only the memory of processes held would end with them:
// after a restart of all, or of one that no peer can reach, the content could
// crash as many backend servers again. Saves condemned contents that `charges`
// concern. The node where a charge arose saves it; so does one node of each
// zone that receives it, since the first may end before its write is done, and
// since the last charge may come with the end of a partition.
void MarkCondemnedUnsaved(RelayStep& step,
                          const std::vector<ContentCharge>& charges) {
  for (const ContentCharge& charge : charges) {
    if (HasChargesToCondemn(step, charge.content_)) {
      MarkUnsaved(step, charge.content_);
    }
  }
}

// Charges that the store is to keep: none unless they condemn the content.
std::vector<ContentCharge> ChargesToSave(const RelayStep& step,
                                         const Fingerprint& content) {
  std::vector<ContentCharge> charges;
  if (!HasChargesToCondemn(step, content)) return charges;
  for (const CrashCharge& charge :
       step.state_.content_watch_.known_.suspects_.at(content).charges_) {
    charges.push_back({.content_ = content,
                       .caller_ = charge.caller_,
                       .incarnation_ = charge.incarnation_,
                       .age_ = step.now_ - charge.at_});
  }
  return charges;
}

// All charges and clearances that a peer needs to be brought up to date, in
// messages of bounded size.
std::vector<SuspicionNotice> BuildFullNotices(const RelayStep& step) {
  std::vector<SuspicionNotice> notices(1);
  const auto notice_with_space = [&]() -> SuspicionNotice& {
    const SuspicionNotice& last = notices.back();
    if (last.charges_.size() + last.clearances_.size() >= kMaxNoticeEntries) {
      notices.emplace_back();
    }
    return notices.back();
  };
  for (const auto& [content, suspect] :
       step.state_.content_watch_.known_.suspects_) {
    if (!ShouldResync(step.options_.suspicion_, suspect)) continue;
    for (const CrashCharge& charge : suspect.charges_) {
      notice_with_space().charges_.push_back(
          {.content_ = content,
           .caller_ = charge.caller_,
           .incarnation_ = charge.incarnation_,
           .age_ = step.now_ - charge.at_});
    }
    for (const auto& [caller, at] : suspect.cleared_at_) {
      notice_with_space().clearances_.push_back(
          {.content_ = content, .caller_ = caller, .age_ = step.now_ - at});
    }
  }
  if (IsEmpty(notices.back())) notices.pop_back();
  return notices;
}

// Whether a peer's digest still differs although the last change here has had
// time to reach it and its status was sent after that. A peer is brought up to
// date at most once in suspicion_resync_, and after a newer status.
bool NeedsResync(const RelayStep& step, const Peer& peer) {
  const ContentWatch& watch = step.state_.content_watch_;
  const Duration resync = step.options_.suspicion_resync_;
  return peer.known_ && peer.connected_ &&
         peer.status_.suspicion_digest_ != watch.digest_ &&
         peer.status_at_ > watch.changed_at_ + kPropagationTime &&
         peer.status_at_ > peer.suspicion_synced_at_ &&
         step.now_ - peer.suspicion_synced_at_ >= resync;
}

// Finds a peer that needs to be brought up to date, because it was cut off or
// has restarted: any host of the local zone; and if this host ranks first in
// its zone, the receivers in the other zones as well.
Peer* FindPeerToResync(RelayStep& step) {
  for (auto& [address, peer] : step.state_.peers_) {
    if (address == step.options_.address_) continue;
    if (peer.status_.zone_ != step.options_.zone_) continue;
    if (NeedsResync(step, peer)) return &peer;
  }
  if (!RanksFirstInZone(step)) return nullptr;
  for (const auto& [zone, hosts] : SelectReceiversInOtherZones(step)) {
    for (const Peer* host : hosts) {
      if (NeedsResync(step, *host)) {
        return &step.state_.peers_.at(host->address_);
      }
    }
  }
  return nullptr;
}

}  // namespace

ContentVerdict EvaluateContentForCaller(const RelayStep& step,
                                        const Fingerprint& content,
                                        const std::string& caller_service) {
  const SuspicionState& known = step.state_.content_watch_.known_;
  if (known.suspects_.empty() || !content.known()) return {};
  return EvaluateContent(known, step.options_.suspicion_, step.now_, content,
                         HashCaller(caller_service));
}

void ChargeRuns(RelayStep& step, const std::vector<UnansweredRun>& runs) {
  const SuspicionState& known = step.state_.content_watch_.known_;
  SuspicionNotice notice;
  std::map<std::uint64_t, SuspicionNotice> notices_by_connection;
  for (const UnansweredRun& run : runs) {
    const ContentCharge charge{.content_ = run.content_,
                               .caller_ = HashCaller(run.caller_service_),
                               .incarnation_ = HashIncarnation(run)};
    // A content that has succeeded recently was probably only running beside
    // the one that caused the crash.
    if (SucceededRecently(known, step.options_.suspicion_, step.now_,
                          charge.content_, charge.caller_)) {
      continue;
    }
    if (!ApplyCharge(step, charge, "own backend server")) continue;
    if (notice.charges_.size() < kMaxNoticeEntries) {
      notice.charges_.push_back(charge);
    }
    if (run.connection_id_ != 0) {
      notices_by_connection[run.connection_id_].charges_.push_back(charge);
    }
  }
  if (IsEmpty(notice)) return;
  // The entries of the runs are notified directly, wherever they are: they are
  // about to decide whether to resend the content.
  for (auto& [connection_id, entry_notice] : notices_by_connection) {
    step.effects_.emplace_back(SendBack{.connection_id_ = connection_id,
                                        .message_ = std::move(entry_notice)});
  }
  BroadcastNotice(step, notice);
  MarkCondemnedUnsaved(step, notice.charges_);
  SaveNextCharges(step);
  RefuseCondemnedWaiting(step);
}

void ClearContent(RelayStep& step, const OpenRun& run) {
  if (!run.order_.content_.known()) return;
  const ContentClearance clearance{
      .content_ = run.order_.content_,
      .caller_ = HashCaller(run.order_.caller_service_)};
  const bool was_condemned = HasChargesToCondemn(step, clearance.content_);
  if (!RecordSuccess(step.state_.content_watch_.known_,
                     step.options_.suspicion_, step.now_, clearance.content_,
                     clearance.caller_)) {
    return;
  }
  LogClearance(step, clearance, "own backend server");
  BroadcastNotice(step, {.clearances_ = {clearance}});
  if (!was_condemned) return;
  MarkUnsaved(step, clearance.content_);
  SaveNextCharges(step);
}

bool IsBlockedBySuspicion(const RelayStep& step, const RunOrder& order) {
  const ContentVerdict verdict =
      EvaluateContentForCaller(step, order.content_, order.caller_service_);
  switch (verdict.standing_) {
    case Standing::kTrusted:
      return false;
    case Standing::kContained:
      return step.state_.content_watch_.contained_runs_.contains(
          order.content_);
    case Standing::kCondemned:
      return true;
  }
  return false;
}

void RecordContainedRun(RelayStep& step, const OpenRun& run) {
  const ContentVerdict verdict = EvaluateContentForCaller(
      step, run.order_.content_, run.order_.caller_service_);
  if (verdict.standing_ == Standing::kTrusted) return;
  step.state_.content_watch_.contained_runs_.emplace(run.order_.content_,
                                                     run.run_id_);
}

void RemoveContainedRun(RelayStep& step, const OpenRun& run) {
  auto& runs = step.state_.content_watch_.contained_runs_;
  const auto found = runs.find(run.order_.content_);
  if (found != runs.end() && found->second == run.run_id_) runs.erase(found);
}

void OnSuspicionNotice(RelayStep& step, std::uint64_t connection_id,
                       const std::string& peer, const SuspicionNotice& notice) {
  std::string from = peer;
  const auto link = step.state_.inbound_links_.find(connection_id);
  if (from.empty() && link != step.state_.inbound_links_.end()) {
    from = link->second.peer_;
  }
  SuspicionNotice changes;
  // Clearances are applied last, so that they also remove charges of the same
  // notice that they refute.
  for (const ContentCharge& charge : notice.charges_) {
    if (ApplyCharge(step, charge, from)) changes.charges_.push_back(charge);
  }
  for (const ContentClearance& clearance : notice.clearances_) {
    if (ApplyClearance(step, clearance, from)) {
      changes.clearances_.push_back(clearance);
    }
  }
  if (IsEmpty(changes)) return;
  RefuseCondemnedWaiting(step);
  if (RanksFirstInZone(step)) {
    MarkCondemnedUnsaved(step, changes.charges_);
    SaveNextCharges(step);
  }
  // Forwards what came from another zone on a connection that the peer opened.
  // A notice on this node's own connection to a peer is one that SendBack
  // addressed to the entry of a run; the peer broadcasts it as well.
  if (peer.empty() && !IsFromLocalZone(step, connection_id)) {
    SendToLocalZone(step, changes);
  }
}

void TickSuspects(RelayStep& step) {
  ContentWatch& watch = step.state_.content_watch_;
  if (step.now_ - watch.pruned_at_ >= kExpiryInterval) {
    watch.pruned_at_ = step.now_;
    const std::vector<Fingerprint> released =
        RemoveExpiredCharges(watch.known_, step.options_.suspicion_, step.now_);
    if (!released.empty() && RanksFirstInZone(step)) {
      watch.unsaved_.insert(released.begin(), released.end());
      SaveNextCharges(step);
    }
  }
  if (watch.digest_ != watch.known_.digest_) {
    watch.digest_ = watch.known_.digest_;
    watch.changed_at_ = step.now_;
  }
  if (watch.known_.suspects_.empty()) return;
  const std::vector<SuspicionNotice> notices = BuildFullNotices(step);
  if (notices.empty()) return;
  Peer* peer = FindPeerToResync(step);
  if (peer == nullptr) return;
  peer->suspicion_synced_at_ = step.now_;
  for (const SuspicionNotice& notice : notices) {
    SendNotice(step, peer->address_, notice);
  }
}

void SendAllCharges(RelayStep& step, std::uint64_t connection_id) {
  for (SuspicionNotice& notice : BuildFullNotices(step)) {
    ++step.state_.counters_.suspicion_notices_sent_;
    step.effects_.emplace_back(SendBack{.connection_id_ = connection_id,
                                        .message_ = std::move(notice)});
  }
}

void OnChargesRead(RelayStep& step, const ChargesRead& read) {
  RecordStoreAnswer(step, StoreCall::kReadCharges);
  for (const ContentCharge& charge : read.charges_) {
    ApplyCharge(step, charge, "store");
  }
  RefuseCondemnedWaiting(step);
}

void SaveAllCharges(RelayStep& step) {
  for (const auto& [content, suspect] :
       step.state_.content_watch_.known_.suspects_) {
    if (HasChargesToCondemn(step, content)) MarkUnsaved(step, content);
  }
  SaveNextCharges(step);
}

void OnChargesSaved(RelayStep& step) {
  RecordStoreAnswer(step, StoreCall::kSaveCharges);
  step.state_.content_watch_.saving_.reset();
  SaveNextCharges(step);
}

void OnChargesNotSaved(RelayStep& step) {
  ContentWatch& watch = step.state_.content_watch_;
  if (watch.saving_) watch.unsaved_.insert(*watch.saving_);
  watch.saving_.reset();
}

void SaveNextCharges(RelayStep& step) {
  ContentWatch& watch = step.state_.content_watch_;
  if (watch.saving_ || watch.unsaved_.empty()) return;
  const Fingerprint content = *watch.unsaved_.begin();
  watch.unsaved_.erase(watch.unsaved_.begin());
  watch.saving_ = content;
  ++step.state_.counters_.store_calls_;
  ++step.state_.counters_.charge_writes_;
  step.effects_.emplace_back(SaveCharges{
      .content_ = content, .charges_ = ChargesToSave(step, content)});
}

}  // namespace jujubefront
