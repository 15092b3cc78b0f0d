#include <algorithm>
#include <optional>
#include <set>

#include "base/hashing.h"
#include "relay/internal/relay_step.h"
#include "relay/internal/zone_sums.h"
#include "suspicion/suspicion.h"

namespace jujubefront {
namespace {

// Hosts of another zone that are told, and pass it on there.
constexpr std::size_t kReceivers = 3;
// Charges and clearances in one message.
constexpr std::size_t kMaxInNotice = 256;
// Time in which a notice has reached everyone who can be reached.
constexpr Duration kSettleTime = std::chrono::milliseconds(500);
constexpr Duration kForgetInterval = std::chrono::seconds(1);

std::uint64_t CallerOf(const std::string& service) {
  return HashBytes(service);
}

std::uint64_t IncarnationOf(const UnansweredRun& run) {
  return HashBytes(run.instance_,
                   static_cast<std::uint64_t>(run.backend_started_at_ms_));
}

std::string_view StandingName(Standing standing) {
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

void TellOwnZone(RelayStep& step, const SuspicionNotice& notice) {
  for (const auto& [address, peer] : step.state_.peers_) {
    if (address == step.options_.address_ || !peer.connected_) continue;
    if (peer.status_.zone_ != step.options_.zone_) continue;
    SendNotice(step, address, notice);
  }
}

// A connection is enough to be told: what it is told is rare.
std::map<std::string, std::vector<const Peer*>> ReceiversOfOtherZones(
    const RelayStep& step) {
  return FirstHostsOfZones(step, kReceivers, step.options_.forget_after_);
}

void TellAll(RelayStep& step, const SuspicionNotice& notice) {
  TellOwnZone(step, notice);
  for (const auto& [zone, hosts] : ReceiversOfOtherZones(step)) {
    for (const Peer* host : hosts) SendNotice(step, host->address_, notice);
  }
}

void LogCharge(RelayStep& step, const ContentCharge& charge,
               const std::string& from) {
  const ContentVerdict verdict = EvaluateContent(
      step.state_.content_watch_.known_, step.options_.suspicion_, step.now_,
      charge.content_, charge.caller_);
  // One charge changes nothing yet.
  if (verdict.standing_ == Standing::kTrusted) return;
  step.effects_.emplace_back(Decision{
      .kind_ = DecisionKind::kContentCharged,
      .trace_id_ = {},
      .inputs_ = {{"content", FormatFingerprint(charge.content_)},
                  {"charges", std::int64_t{verdict.charges_}},
                  {"standing", std::string(StandingName(verdict.standing_))},
                  {"age_us", charge.age_.count()},
                  {"from", from}}});
}

// Takes a charge over. True when it was news.
bool TakeCharge(RelayStep& step, const ContentCharge& charge,
                const std::string& from) {
  if (!charge.content_.known()) return false;
  const bool news =
      RecordCharge(step.state_.content_watch_.known_, step.options_.suspicion_,
                   step.now_, charge.content_,
                   {.incarnation_ = charge.incarnation_,
                    .caller_ = charge.caller_,
                    .at_ = step.now_ - charge.age_});
  if (!news) return false;
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

bool TakeClearance(RelayStep& step, const ContentClearance& clearance,
                   const std::string& from) {
  SuspicionState& known = step.state_.content_watch_.known_;
  // What is not suspected needs no clearance.
  if (!known.suspects_.contains(clearance.content_)) return false;
  if (!RecordClearance(known, step.options_.suspicion_, step.now_,
                       clearance.content_, clearance.caller_,
                       step.now_ - clearance.age_)) {
    return false;
  }
  LogClearance(step, clearance, from);
  return true;
}

// All that is known, in messages of bounded size.
std::vector<SuspicionNotice> DescribeAll(const RelayStep& step) {
  std::vector<SuspicionNotice> notices(1);
  const auto room = [&]() -> SuspicionNotice& {
    const SuspicionNotice& last = notices.back();
    if (last.charges_.size() + last.clearances_.size() >= kMaxInNotice) {
      notices.emplace_back();
    }
    return notices.back();
  };
  for (const auto& [content, suspect] :
       step.state_.content_watch_.known_.suspects_) {
    if (!ShouldResync(step.options_.suspicion_, suspect)) continue;
    for (const CrashCharge& charge : suspect.charges_) {
      room().charges_.push_back({.content_ = content,
                                 .caller_ = charge.caller_,
                                 .incarnation_ = charge.incarnation_,
                                 .age_ = step.now_ - charge.at_});
    }
    for (const auto& [caller, at] : suspect.cleared_at_) {
      room().clearances_.push_back(
          {.content_ = content, .caller_ = caller, .age_ = step.now_ - at});
    }
  }
  if (IsEmpty(notices.back())) notices.pop_back();
  return notices;
}

// Whether a peer still knows something else though both have had the time to
// hear of the last change.
bool KnowsSomethingElse(const RelayStep& step, const Peer& peer) {
  const ContentWatch& watch = step.state_.content_watch_;
  const Duration resync = step.options_.suspicion_resync_;
  return peer.known_ && peer.connected_ &&
         peer.status_.suspicion_digest_ != watch.digest_ &&
         peer.status_at_ > watch.changed_at_ + kSettleTime &&
         peer.status_at_ > peer.suspicion_synced_at_ &&
         step.now_ - peer.suspicion_synced_at_ >= resync;
}

// A peer that was cut off or has restarted learns what is in force: from the
// hosts of its zone and, where it ranks first there, from the host that ranks
// first in this one.
Peer* FindPeerToTell(RelayStep& step) {
  for (auto& [address, peer] : step.state_.peers_) {
    if (address == step.options_.address_) continue;
    if (peer.status_.zone_ != step.options_.zone_) continue;
    if (KnowsSomethingElse(step, peer)) return &peer;
  }
  if (!RanksFirstInZone(step)) return nullptr;
  for (const auto& [zone, hosts] : ReceiversOfOtherZones(step)) {
    for (const Peer* host : hosts) {
      if (KnowsSomethingElse(step, *host)) {
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
                         CallerOf(caller_service));
}

void ChargeRuns(RelayStep& step, const std::vector<UnansweredRun>& runs) {
  const SuspicionState& known = step.state_.content_watch_.known_;
  SuspicionNotice notice;
  std::map<std::uint64_t, SuspicionNotice> by_entry;
  for (const UnansweredRun& run : runs) {
    const ContentCharge charge{.content_ = run.content_,
                               .caller_ = CallerOf(run.caller_service_),
                               .incarnation_ = IncarnationOf(run)};
    // What has just succeeded here is a neighbour of the cause.
    if (SucceededRecently(known, step.options_.suspicion_, step.now_,
                          charge.content_, charge.caller_)) {
      continue;
    }
    if (!TakeCharge(step, charge, "own backend server")) continue;
    if (notice.charges_.size() < kMaxInNotice) {
      notice.charges_.push_back(charge);
    }
    if (run.connection_id_ != 0) {
      by_entry[run.connection_id_].charges_.push_back(charge);
    }
  }
  if (IsEmpty(notice)) return;
  // Who waits for an answer decides next whether to send the content on.
  for (auto& [connection_id, part] : by_entry) {
    step.effects_.emplace_back(
        SendBack{.connection_id_ = connection_id, .message_ = std::move(part)});
  }
  TellAll(step, notice);
  RefuseCondemnedWaiting(step);
}

void ClearContent(RelayStep& step, const OpenRun& run) {
  if (!run.order_.content_.known()) return;
  const ContentClearance clearance{
      .content_ = run.order_.content_,
      .caller_ = CallerOf(run.order_.caller_service_)};
  if (!RecordSuccess(step.state_.content_watch_.known_,
                     step.options_.suspicion_, step.now_, clearance.content_,
                     clearance.caller_)) {
    return;
  }
  LogClearance(step, clearance, "own backend server");
  TellAll(step, {.clearances_ = {clearance}});
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
  SuspicionNotice news;
  // Clearances last: a late one refutes charges that came with it.
  for (const ContentCharge& charge : notice.charges_) {
    if (TakeCharge(step, charge, from)) news.charges_.push_back(charge);
  }
  for (const ContentClearance& clearance : notice.clearances_) {
    if (TakeClearance(step, clearance, from)) {
      news.clearances_.push_back(clearance);
    }
  }
  if (IsEmpty(news)) return;
  RefuseCondemnedWaiting(step);
  // What comes back on the own connection is told to the zone by its host.
  if (peer.empty() && !CameFromOwnZone(step, connection_id)) {
    TellOwnZone(step, news);
  }
}

void TickSuspects(RelayStep& step) {
  ContentWatch& watch = step.state_.content_watch_;
  if (step.now_ - watch.pruned_at_ >= kForgetInterval) {
    watch.pruned_at_ = step.now_;
    RemoveExpiredCharges(watch.known_, step.options_.suspicion_, step.now_);
  }
  if (watch.digest_ != watch.known_.digest_) {
    watch.digest_ = watch.known_.digest_;
    watch.changed_at_ = step.now_;
  }
  if (watch.known_.suspects_.empty()) return;
  const std::vector<SuspicionNotice> notices = DescribeAll(step);
  if (notices.empty()) return;
  Peer* peer = FindPeerToTell(step);
  if (peer == nullptr) return;
  peer->suspicion_synced_at_ = step.now_;
  for (const SuspicionNotice& notice : notices) {
    SendNotice(step, peer->address_, notice);
  }
}

}  // namespace jujubefront
