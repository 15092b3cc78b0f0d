#include <algorithm>

#include "base/hashing.h"
#include "relay/internal/relay_step.h"
#include "relay/internal/zone_sums.h"

namespace jujubefront {
namespace {

// Lifetime of a report of a zone. A zone that is cut off goes on using its part
// of the limits, so its last report counts for as long as a cut may last.
constexpr Duration kZoneReportTtl = std::chrono::minutes(2);
// Minimum fleet size assumed for the part of a node that has no sums yet.
constexpr std::size_t kMinFleet = 8;

std::uint64_t HashWorkspace(const std::string& name) { return HashBytes(name); }

QuotaRule RuleOf(const Workspace& workspace) {
  return {.per_second_ = workspace.requests_per_second_,
          .burst_ = workspace.burst_requests_};
}

bool HasQuotas(const RouteTable& table) {
  return std::any_of(table.workspaces_.begin(), table.workspaces_.end(),
                     [](const Workspace& workspace) {
                       return workspace.requests_per_second_ > 0.0;
                     });
}

void Add(std::map<std::uint64_t, QuotaUse>& total, std::uint64_t workspace,
         const QuotaUse& use) {
  total[workspace].per_second_ += use.per_second_;
  total[workspace].last_per_second_ += use.last_per_second_;
  total[workspace].usual_per_second_ += use.usual_per_second_;
  total[workspace].used_ += use.used_;
}

void Add(std::map<std::uint64_t, QuotaUse>& total, const QuotaReport& report) {
  for (const auto& [workspace, use] : report.uses_) Add(total, workspace, use);
}

std::map<std::uint64_t, QuotaUse> OwnUses(const QuotaState& quota) {
  std::map<std::uint64_t, QuotaUse> uses;
  for (const auto& [workspace, meter] : quota.meters_) {
    uses[workspace] = UseOf(meter);
  }
  return uses;
}

template <typename Reports>
void RemoveExpired(Reports& reports, Timestamp now, Duration ttl) {
  std::erase_if(reports, [&](const auto& entry) {
    return now - entry.second.received_at_ > ttl;
  });
}

void SendReport(RelayStep& step, const std::string& peer,
                const QuotaReport& report) {
  ++step.state_.counters_.quota_reports_sent_;
  step.effects_.emplace_back(SendToPeer{.peer_ = peer, .message_ = report});
}

bool IsOutOfDate(const RelayStep& step, const KnownQuotaReport& known) {
  return step.now_ - known.received_at_ > step.options_.quota_.max_sum_age_;
}

std::map<std::uint64_t, QuotaRule> RulesByHash(const RouteTable& table) {
  std::map<std::uint64_t, QuotaRule> rules;
  for (const Workspace& workspace : table.workspaces_) {
    rules[HashWorkspace(workspace.name_)] = RuleOf(workspace);
  }
  return rules;
}

// Adds a zone's report. A zone whose reports are out of date is cut off.
void AddZone(const RelayStep& step, const KnownQuotaReport& known,
             QuotaReport& fleet) {
  if (!IsOutOfDate(step, known)) return Add(fleet.uses_, known.report_);
  const auto rules = RulesByHash(step.state_.table_);
  for (const auto& [workspace, use] : known.report_.uses_) {
    const auto rule = rules.find(workspace);
    const auto share = known.demand_shares_.find(workspace);
    if (rule == rules.end() || share == known.demand_shares_.end()) continue;
    Add(fleet.uses_, workspace,
        AssumeCutOff(use, rule->second, step.options_.quota_, share->second));
  }
}

void UpdateDemandShares(RelayStep& step, const QuotaReport& fleet) {
  for (auto& [zone, known] : step.state_.quota_.zones_) {
    if (IsOutOfDate(step, known)) continue;
    for (const auto& [workspace, use] : known.report_.uses_) {
      const double total = fleet.uses_.at(workspace).usual_per_second_;
      if (total > 0.0) {
        known.demand_shares_[workspace] = use.usual_per_second_ / total;
      }
    }
  }
}

void SetFleetUse(RelayStep& step, std::map<std::uint64_t, QuotaUse> uses) {
  QuotaState& quota = step.state_.quota_;
  quota.fleet_ = std::move(uses);
  quota.fleet_at_ = step.now_;
  for (auto& [workspace, meter] : quota.meters_) {
    const auto fleet = quota.fleet_.find(workspace);
    if (fleet != quota.fleet_.end()) UpdateNodeShare(meter, fleet->second);
  }
}

// Adds up the reports of the zone's hosts and of the other zones, and sends the
// sums to both.
void AggregateReports(RelayStep& step) {
  QuotaState& quota = step.state_.quota_;
  RemoveExpired(quota.hosts_, step.now_, step.options_.quota_.window_);
  RemoveExpired(quota.zones_, step.now_, kZoneReportTtl);
  QuotaReport zone{.scope_ = QuotaScope::kZone,
                   .zone_ = step.options_.zone_,
                   .sequence_ = ++quota.sequence_,
                   .uses_ = OwnUses(quota)};
  for (const auto& [host, known] : quota.hosts_) Add(zone.uses_, known.report_);
  QuotaReport fleet = zone;
  fleet.scope_ = QuotaScope::kFleet;
  for (const auto& [name, known] : quota.zones_) AddZone(step, known, fleet);
  UpdateDemandShares(step, fleet);
  SetFleetUse(step, fleet.uses_);
  for (const auto& [address, peer] : step.state_.peers_) {
    if (address == step.options_.address_ || !peer.connected_) continue;
    if (peer.status_.zone_ != step.options_.zone_) continue;
    SendReport(step, address, fleet);
  }
  for (const auto& [name, hosts] :
       TopRankedHostsByZone(step, 1, step.options_.forget_after_)) {
    SendReport(step, hosts.front()->address_, zone);
  }
}

// Ends the slots of all meters that are over. Returns whether one ended.
bool AdvanceMeters(RelayStep& step) {
  QuotaState& quota = step.state_.quota_;
  const Duration slot = QuotaSlotLength(step.options_.quota_);
  if (quota.advanced_at_ == Timestamp{}) quota.advanced_at_ = step.now_;
  if (step.now_ - quota.advanced_at_ < slot) return false;
  const std::int64_t ended = (step.now_ - quota.advanced_at_) / slot;
  // Ticks are not multiples of a slot: the rest belongs to the next one.
  quota.advanced_at_ += slot * ended;
  // After a pause of the process only the slots of one window matter.
  const auto slots = std::min<std::int64_t>(ended, kQuotaSlots);
  for (auto& [workspace, meter] : quota.meters_) {
    for (std::int64_t i = 0; i < slots; ++i) {
      AdvanceSlot(meter, step.options_.quota_);
    }
  }
  std::erase_if(quota.meters_,
                [](const auto& entry) { return IsIdle(entry.second); });
  return true;
}

// Use of a workspace's quota by the whole fleet, as far as this node knows.
QuotaUse FleetUse(const QuotaState& quota, std::uint64_t workspace) {
  const auto fleet = quota.fleet_.find(workspace);
  if (fleet != quota.fleet_.end()) return fleet->second;
  const auto own = quota.meters_.find(workspace);
  return own == quota.meters_.end() ? QuotaUse{} : UseOf(own->second);
}

// This node's part of the limit. A node without sums yet, such as one that has
// just started, takes the part of one node in a small fleet.
double NodeShare(const RelayStep& step, const QuotaMeter& meter) {
  if (meter.node_share_ > 0.0) return meter.node_share_;
  return 1.0 /
         static_cast<double>(std::max(kMinFleet, step.state_.peers_.size()));
}

}  // namespace

bool CountWithinQuota(RelayStep& step, const Workspace& workspace) {
  const QuotaRule rule = RuleOf(workspace);
  if (rule.per_second_ <= 0.0) return true;
  QuotaState& quota = step.state_.quota_;
  const std::uint64_t hash = HashWorkspace(workspace.name_);
  QuotaMeter& meter = quota.meters_[hash];
  const bool is_alone = step.state_.peers_.size() <= 1;
  return CountRequest(
      meter, rule, step.options_.quota_,
      {.fleet_ = FleetUse(quota, hash),
       .node_share_ = NodeShare(step, meter),
       .alone_ = is_alone,
       .cut_off_ = !is_alone && step.now_ - quota.fleet_at_ >
                                    step.options_.quota_.max_sum_age_},
      NextUnit(step.state_.random_));
}

void TickQuotas(RelayStep& step) {
  QuotaState& quota = step.state_.quota_;
  if (!HasQuotas(step.state_.table_)) {
    quota = {};
    return;
  }
  if (!AdvanceMeters(step) || step.state_.stopping_) return;
  const Peer* aggregator = FindAggregator(step);
  if (aggregator == nullptr) return AggregateReports(step);
  const std::map<std::uint64_t, QuotaUse> uses = OwnUses(quota);
  // An empty report is sent once, to replace the last one.
  if (uses.empty() && quota.reported_none_) return;
  quota.reported_none_ = uses.empty();
  SendReport(step, aggregator->address_,
             {.scope_ = QuotaScope::kHost,
              .zone_ = step.options_.zone_,
              .sequence_ = ++quota.sequence_,
              .uses_ = uses});
}

void OnQuotaReport(RelayStep& step, std::uint64_t connection_id,
                   QuotaReport& report) {
  QuotaState& quota = step.state_.quota_;
  const auto link = step.state_.inbound_links_.find(connection_id);
  if (link == step.state_.inbound_links_.end()) return;
  const bool is_local = report.zone_ == step.options_.zone_;
  switch (report.scope_) {
    case QuotaScope::kHost:
      if (is_local) {
        // The last report of an earlier process counts until it expires: what
        // that process sent is part of the window.
        const Peer& peer = EnsurePeer(step, link->second.peer_);
        quota.hosts_[{peer.address_, peer.status_.boot_}] = {
            .report_ = std::move(report), .received_at_ = step.now_};
      }
      return;
    case QuotaScope::kZone:
      if (!is_local) {
        KnownQuotaReport& known = quota.zones_[report.zone_];
        known.report_ = std::move(report);
        known.received_at_ = step.now_;
      }
      return;
    case QuotaScope::kFleet:
      if (!is_local) return;
      SetFleetUse(step, std::move(report.uses_));
      return;
  }
}

bool IsKeyWithdrawn(const RelayStep& step, const OpenRequest& request) {
  const RouteTable& table = step.state_.table_;
  return request.key_.known() && !table.workspaces_.empty() &&
         !table.workspace_of_key_.contains(request.key_);
}

}  // namespace jujubefront
