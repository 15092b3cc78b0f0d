#include <algorithm>
#include <set>

#include "allocation/tree_success.h"
#include "balancing/balancing.h"
#include "relay/explanation.h"
#include "relay/internal/host_choice.h"
#include "routes/routes.h"

namespace jujubefront {
namespace {

// Draws by which the hosts between which a random number decides are found.
constexpr std::size_t kMaxDraws = 64;
// Values tried of each of the two random numbers that balancing draws.
constexpr std::size_t kBalancingDraws = 24;

std::string_view DistanceName(Distance distance) {
  switch (distance) {
    case Distance::kSameZone:
      return "same zone";
    case Distance::kSameRegion:
      return "same region";
    case Distance::kOtherRegion:
      return "other region";
  }
  return "unknown";
}

std::string_view ExclusionText(HostExclusion exclusion) {
  switch (exclusion) {
    case HostExclusion::kNone:
      return "";
    case HostExclusion::kLeaving:
      return "the node is stopping";
    case HostExclusion::kBackendNotReady:
      return "its backend server is not ready";
    case HostExclusion::kNotConnected:
      return "no connection";
    case HostExclusion::kSuspected:
      return "does not answer";
    case HostExclusion::kTried:
      return "tried before";
  }
  return "unknown";
}

// Age of something at `at`; nullopt: it never happened.
std::optional<Duration> AgeOf(Timestamp at, Timestamp now) {
  if (at == Timestamp{}) return std::nullopt;
  return std::max(Duration::zero(), now - at);
}

HostExplanation DescribeHost(const RelayView& view, const Peer& peer) {
  const HostStatus& status = peer.status_;
  return {.address_ = peer.address_,
          .zone_ = status.zone_,
          .region_ = status.region_,
          .instance_ = status.instance_,
          .distance_ = DistanceName(DistanceTo(view.options_, status)),
          .backend_ = FormatState(status.backend_),
          .avoided_ = peer.avoided_,
          .slots_ = status.slots_,
          .running_ = status.running_,
          .waiting_ = status.waiting_,
          .in_flight_ = peer.in_flight_,
          .sent_since_report_ = peer.sent_since_report_,
          .load_age_ = AgeOf(peer.load_reported_at_, view.now_),
          .status_age_ = AgeOf(peer.status_at_, view.now_)};
}

// Why a host that is no candidate is none.
std::string_view ReasonFor(const RelayView& view, const Peer& peer,
                           const OpenRequest& request) {
  const HostExclusion exclusion = FindExclusion(view, peer, request);
  if (exclusion != HostExclusion::kNone) return ExclusionText(exclusion);
  if (!request.overflow_region_.empty()) {
    return peer.status_.region_ == request.overflow_region_
               ? "too few free slots for another region"
               : "not in the region of the overflow";
  }
  if (peer.avoided_) {
    return view.state_.cut_off_ ? "silent, and this node is cut off"
                                : "silent, and others are left";
  }
  return "unknown";
}

double MidOf(std::size_t index, std::size_t count) {
  return (static_cast<double>(index) + 0.5) / static_cast<double>(count);
}

// Adds the candidates that balancing may choose in place of `best`.
void AddBalancedChoices(const std::vector<PlacementCandidate>& candidates,
                        const RelayOptions& options,
                        const PlacementRequest& request, std::size_t best,
                        std::set<std::size_t>& choices) {
  for (std::size_t i = 0; i < kBalancingDraws; ++i) {
    for (std::size_t j = 0; j < kBalancingDraws; ++j) {
      choices.insert(ChooseBalanced(candidates, options.placement_,
                                    options.balancing_, request, best,
                                    {.first_ = MidOf(i, kBalancingDraws),
                                     .second_ = MidOf(j, kBalancingDraws)}));
    }
  }
}

// Indexes of the candidates that may be chosen.
std::set<std::size_t> FindChoices(
    const std::vector<PlacementCandidate>& candidates,
    const RelayOptions& options, const PlacementRequest& request) {
  std::set<std::size_t> choices;
  const std::size_t draws = std::min(candidates.size(), kMaxDraws);
  for (std::size_t i = 0; i < draws; ++i) {
    const auto chosen = ChooseCandidate(candidates, options.placement_, request,
                                        MidOf(i, draws));
    if (!chosen) break;
    const bool is_new = choices.insert(*chosen).second;
    if (is_new && candidates[*chosen].states_pace_) {
      AddBalancedChoices(candidates, options, request, *chosen, choices);
    }
  }
  return choices;
}

// Hosts that would be chosen come first, then other candidates by expected
// finish, then the others.
bool ComesBefore(const HostExplanation& a, const HostExplanation& b) {
  const auto rank = [](const HostExplanation& host) {
    return std::make_tuple(!host.chosen_, !host.candidate_.has_value(),
                           !host.excluded_.empty(), host.finish_);
  };
  if (rank(a) != rank(b)) return rank(a) < rank(b);
  return a.address_ < b.address_;
}

ServiceExplanation ExplainService(const RelayView& view,
                                  const OpenRequest& request,
                                  const WeightedService& part) {
  ServiceExplanation service{.service_ = part.service_,
                             .weight_ = part.weight_,
                             .overflow_region_ = request.overflow_region_};
  const auto hosts = view.state_.hosts_of_service_.find(part.service_);
  if (hosts == view.state_.hosts_of_service_.end()) return service;
  const PlacementOptions& options = view.options_.placement_;
  const PlacementRequest properties{.latency_objective_ = request.objective_,
                                    .is_call_ = request.is_call_};
  const std::vector<PlacementCandidate> candidates =
      FindCandidates(view, request);
  const std::set<std::size_t> choices =
      FindChoices(candidates, view.options_, properties);
  // As in ChooseCandidate.
  const bool has_local =
      std::any_of(candidates.begin(), candidates.end(), [](const auto& each) {
        return each.distance_ != Distance::kOtherRegion;
      });
  service.known_ = hosts->second.size();
  service.candidates_ = candidates.size();
  for (const auto& [address, peer] : hosts->second) {
    HostExplanation host = DescribeHost(view, *peer);
    const auto found =
        std::find_if(candidates.begin(), candidates.end(),
                     [&address = address](const PlacementCandidate& each) {
                       return each.host_ == address;
                     });
    if (found == candidates.end()) {
      host.excluded_ = ReasonFor(view, *peer, request);
    } else {
      const auto index = static_cast<std::size_t>(found - candidates.begin());
      host.candidate_ = *found;
      host.start_wait_ = ExpectedStartWait(*found);
      host.finish_ = ExpectedFinish(*found, options, properties);
      host.chosen_ = choices.contains(index);
      if (has_local && found->distance_ == Distance::kOtherRegion &&
          !HasCapacityForRemoteRequests(*found, options)) {
        host.excluded_ = "too few free slots for another region";
      }
    }
    service.hosts_.push_back(std::move(host));
  }
  std::sort(service.hosts_.begin(), service.hosts_.end(), ComesBefore);
  if (service.hosts_.size() > kMaxExplainedHosts) {
    service.hosts_.resize(kMaxExplainedHosts);
  }
  return service;
}

std::vector<ServiceExplanation> ExplainServices(const RelayView& view,
                                                const RouteRule& route,
                                                OpenRequest& request) {
  std::vector<ServiceExplanation> services;
  for (const WeightedService& part : route.services_) {
    if (services.size() == kMaxExplainedServices) break;
    request.service_ = part.service_;
    services.push_back(ExplainService(view, request, part));
  }
  return services;
}

AdmissionExplanation ExplainAdmission(const RelayState& state,
                                      const RouteRule& route, bool is_call) {
  AdmissionExplanation admission;
  const auto demand = state.demands_.find(route.name_);
  double returning = 0.0;
  if (demand != state.demands_.end()) {
    admission.demand_per_second_ = demand->second.per_second_;
    returning = demand->second.returning_share_;
  }
  const auto admitted = state.admitted_.find(route.name_);
  if (is_call || admitted == state.admitted_.end()) return admission;
  const AdmissionSplit split = SplitAdmission(admitted->second, returning);
  admission.admitted_share_ = admitted->second;
  admission.fresh_share_ = split.fresh_;
  admission.returning_share_ = split.returning_;
  const auto overflow = state.overflow_.find(route.name_);
  if (overflow != state.overflow_.end()) {
    admission.overflow_ = overflow->second;
  }
  const auto remote = state.region_sharing_.remote_.find(route.name_);
  if (remote != state.region_sharing_.remote_.end()) {
    admission.remote_ = remote->second;
  }
  return admission;
}

QuotaExplanation ExplainQuota(const RelayView& view,
                              const Workspace& workspace) {
  const QuotaState& state = view.state_.quota_;
  const QuotaOptions& options = view.options_.quota_;
  QuotaExplanation quota{
      .workspace_ = workspace.name_,
      .priority_ = workspace.priority_,
      .rule_ = {.per_second_ = workspace.requests_per_second_,
                .burst_ = workspace.burst_requests_},
      .fleet_age_ = AgeOf(state.fleet_at_, view.now_)};
  const std::uint64_t hash = HashBytes(workspace.name_);
  const auto meter = state.meters_.find(hash);
  if (meter != state.meters_.end()) {
    quota.counted_ = true;
    quota.node_ = UseOf(meter->second);
    quota.node_share_ = meter->second.node_share_;
  }
  const auto fleet = state.fleet_.find(hash);
  quota.fleet_ = fleet == state.fleet_.end() ? quota.node_ : fleet->second;
  quota.cut_off_ =
      view.state_.peers_.size() > 1 &&
      (!quota.fleet_age_ || *quota.fleet_age_ > options.max_sum_age_);
  // Old sums do not decide: the node then keeps to its own part of the limit.
  if (quota.rule_.per_second_ > 0.0 && !quota.cut_off_) {
    quota.admitted_share_ =
        AdmittedQuotaShare(quota.rule_, options, quota.fleet_);
  }
  return quota;
}

// Sets the answer that this node would give for the key or workspace, if it
// would give one, and the state of the quota.
void ExplainWorkspace(const RelayView& view, const PlacementQuery& query,
                      PlacementExplanation& explanation) {
  const RouteTable& table = view.state_.table_;
  const Workspace* workspace = nullptr;
  if (!query.workspace_.empty()) {
    const auto found = std::find_if(
        table.workspaces_.begin(), table.workspaces_.end(),
        [&](const Workspace& each) { return each.name_ == query.workspace_; });
    if (found == table.workspaces_.end()) {
      explanation.why_ = "no such workspace in the document";
      return;
    }
    workspace = &*found;
  } else {
    const KeyCheckResult key = CheckKey(table, *explanation.route_, query.key_);
    workspace = key.workspace_;
    if (key.check_ == KeyCheck::kRejected) {
      explanation.status_ = 401;
      explanation.why_ = query.key_.known() ? "unknown key" : "no key";
    }
  }
  if (workspace == nullptr) return;
  explanation.quota_ = ExplainQuota(view, *workspace);
  if (explanation.quota_->admitted_share_ > 0.0) return;
  explanation.status_ = 429;
  explanation.why_ = "workspace is over its quota";
}

// The answer that this node would give in place of a host, if it would.
void ExplainRefusal(const RelayView& view, PlacementExplanation& explanation) {
  if (!explanation.why_.empty()) return;
  const RelayState& state = view.state_;
  const bool refuses = state.stopping_ && !explanation.is_call_ &&
                       view.now_ - state.stop_at_ >= view.options_.stop_linger_;
  const auto has_candidate = [](const std::vector<ServiceExplanation>& all) {
    return std::any_of(all.begin(), all.end(), [](const auto& service) {
      return service.candidates_ > 0;
    });
  };
  const AdmissionExplanation& admission = explanation.admission_;
  const bool overflows = admission.overflow_ &&
                         admission.overflow_->share_ > 0.0 &&
                         has_candidate(explanation.overflow_placement_);
  const bool shares =
      admission.remote_ && has_candidate(explanation.overflow_placement_);
  if (refuses || state.final_answers_sent_ || state.stopped_) {
    explanation.status_ = 503;
    explanation.why_ = "the node is stopping";
  } else if (admission.admitted_share_ <= 0.0 && !overflows) {
    explanation.status_ = 503;
    explanation.why_ = "not admitted under load";
  } else if (!has_candidate(explanation.placement_) && !overflows && !shares) {
    explanation.status_ = 503;
    explanation.why_ = "no backend server";
  } else if (admission.admitted_share_ < 1.0) {
    explanation.why_ = "admitted in part";
  } else if (explanation.quota_ && explanation.quota_->admitted_share_ < 1.0) {
    explanation.why_ = "within the quota in part";
  } else {
    explanation.why_ = "sent";
  }
}

}  // namespace

PlacementExplanation ExplainPlacement(const RelayState& state,
                                      const RelayOptions& options,
                                      Timestamp now,
                                      const PlacementQuery& query) {
  const RelayView view{.state_ = state, .options_ = options, .now_ = now};
  PlacementExplanation explanation{
      .table_version_ = state.table_.version_,
      .ready_ = state.ready_,
      .stopping_ = state.stopping_,
      .cut_off_ = state.cut_off_,
      .queue_ = {.slots_ = state.backend_.slots_,
                 .running_ = state.running_,
                 .waiting_ = state.waiting_.runs_.size(),
                 .mean_hold_ = MeanHoldTime(state)}};
  if (state.table_.version_ == 0) {
    explanation.status_ = 503;
    explanation.why_ = "no routing document yet";
    return explanation;
  }
  explanation.route_ = FindRoute(state.table_, query.host_, query.path_);
  if (explanation.route_ == nullptr) {
    explanation.status_ = 404;
    explanation.why_ = "no route";
    return explanation;
  }
  const RouteRule& route = *explanation.route_;
  explanation.is_call_ = state.called_routes_.contains(route.name_);
  ExplainWorkspace(view, query, explanation);
  explanation.admission_ = ExplainAdmission(state, route, explanation.is_call_);
  OpenRequest request;
  request.route_ = route.name_;
  request.is_call_ = explanation.is_call_;
  request.objective_ = route.latency_objective_;
  explanation.services_ = route.services_.size();
  explanation.placement_ = ExplainServices(view, route, request);
  const AdmissionExplanation& admission = explanation.admission_;
  if (admission.overflow_ || admission.remote_) {
    request.overflow_region_ = admission.remote_ ? admission.remote_->region_
                                                 : admission.overflow_->region_;
    request.is_planned_remote_ = admission.remote_.has_value();
    explanation.overflow_placement_ = ExplainServices(view, route, request);
  }
  ExplainRefusal(view, explanation);
  return explanation;
}

}  // namespace jujubefront
