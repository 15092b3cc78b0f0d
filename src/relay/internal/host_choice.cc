#include "relay/internal/host_choice.h"

#include <algorithm>
#include <cmath>

namespace jujubefront {
namespace {

// Half-life of the failure rates that this node has measured.
constexpr double kFailureHalfLifeSeconds = 1.5;
// Weight of one run in the failure rate.
constexpr double kFailureWeight = 0.25;

double DecayedFailureShare(const FailureRate& failure_rate, Timestamp now) {
  const double age = InSeconds(now - failure_rate.updated_at_);
  if (failure_rate.failure_share_ <= 0.0) return 0.0;
  return failure_rate.failure_share_ *
         std::exp2(-age / kFailureHalfLifeSeconds);
}

// Slot time of a run at a peer: measured by this node, or else reported by the
// peer; zero if unknown.
Duration HoldTimeAt(const Peer& peer, const std::string& route) {
  const auto measured = peer.holds_.find(route);
  if (measured != peer.holds_.end()) return measured->second;
  for (const RouteProfile& profile : peer.status_.profiles_) {
    if (profile.route_ == route && profile.runs_ > 0) {
      return Duration(static_cast<std::int64_t>(profile.slot_seconds_ * 1e6));
    }
  }
  return Duration::zero();
}

// Time until the peer may start another run, by its last report and what was
// sent to it since.
Duration StartWaitAt(const Peer& peer, Timestamp now) {
  const auto& limit = peer.status_.start_limit_;
  if (!limit || limit->per_second_ <= 0.0) return Duration::zero();
  const auto sent = Duration(static_cast<std::int64_t>(
      peer.sent_since_report_ / limit->per_second_ * 1e6));
  return std::max(Duration::zero(), limit->next_start_in_ + sent -
                                        (now - peer.load_reported_at_));
}

// Reported load of a peer whose backend server states its pace, and the sends
// that it does not cover. That of the own backend server is known.
double LoadAt(const RelayView& view, const Peer& peer) {
  if (peer.address_ == view.options_.address_) {
    return static_cast<double>(view.state_.running_) +
           static_cast<double>(view.state_.waiting_.runs_.size());
  }
  const auto reported =
      static_cast<double>(peer.status_.running_ + peer.status_.waiting_);
  return std::max(reported + static_cast<double>(peer.uncovered_sends_.size()),
                  static_cast<double>(peer.in_flight_));
}

// Work time now relative to that when the hold time was measured. Without a
// report that is fresh enough, the hold time stands, but a backend server that
// has just started is slower.
double PaceRatioAt(const RelayView& view, const Peer& peer,
                   const std::string& route, const LoadReport& report,
                   Duration age) {
  const BalancingOptions& options = view.options_.balancing_;
  if (age > options.report_ttl_) {
    const bool warms_up =
        peer.backend_replaced_at_ &&
        view.now_ - *peer.backend_replaced_at_ < options.warm_up_;
    return warms_up ? options.warm_up_pace_ : 1.0;
  }
  const auto measured = peer.hold_paces_.find(route);
  if (measured == peer.hold_paces_.end()) return 1.0;
  return *report.pace_ / measured->second;
}

// Adds what the backend server states about its load and pace, if it does.
void AddStatedLoad(const RelayView& view, const Peer& peer,
                   const std::string& route, PlacementCandidate& candidate) {
  const bool is_local = peer.address_ == view.options_.address_;
  const std::optional<LoadReport> report =
      is_local ? CurrentLoadReport(view.state_, view.now_)
               : peer.status_.load_report_;
  if (!StatesPace(report)) return;
  const Duration since =
      is_local ? Duration::zero() : view.now_ - peer.load_reported_at_;
  const Duration age = report->age_ + since;
  candidate.states_pace_ = true;
  candidate.load_ = LoadAt(view, peer);
  candidate.load_age_ = since;
  candidate.pace_ratio_ = PaceRatioAt(view, peer, route, *report, age);
  candidate.pace_expired_ = age > view.options_.balancing_.report_ttl_;
}

// Assumes that a backend server that has not run the route yet is as fast as
// the fastest, so that it receives requests and can be measured.
void FillUnknownHoldTimes(std::vector<PlacementCandidate>& candidates) {
  Duration fastest = Duration::max();
  for (const PlacementCandidate& candidate : candidates) {
    if (candidate.hold_ > Duration::zero())
      fastest = std::min(fastest, candidate.hold_);
  }
  if (fastest == Duration::max()) return;
  for (PlacementCandidate& candidate : candidates) {
    if (candidate.hold_ == Duration::zero()) candidate.hold_ = fastest;
  }
}

}  // namespace

HostExclusion FindExclusion(const RelayView& view, const Peer& peer,
                            const OpenRequest& request) {
  const HostStatus& status = peer.status_;
  if (status.leaving_) return HostExclusion::kLeaving;
  if (status.backend_ != BackendState::kReady) {
    return HostExclusion::kBackendNotReady;
  }
  const bool is_local = peer.address_ == view.options_.address_;
  if (!is_local && !peer.connected_) return HostExclusion::kNotConnected;
  if (!is_local && peer.suspected_) return HostExclusion::kSuspected;
  const bool tried = std::find(request.tried_.begin(), request.tried_.end(),
                               peer.address_) != request.tried_.end();
  return tried ? HostExclusion::kTried : HostExclusion::kNone;
}

void RemoveCoveredSends(Peer& peer, Timestamp now, Duration transit) {
  if (!StatesPace(peer.status_.load_report_)) {
    return peer.uncovered_sends_.clear();
  }
  const Timestamp covered_until = now - transit - peer.round_trip_;
  std::erase_if(peer.uncovered_sends_, [&](const UncoveredSend& send) {
    return send.sent_at_ <= covered_until;
  });
}

void RecordRunOutcome(RelayStep& step, Peer& peer, bool failed) {
  const double now_share = DecayedFailureShare(peer.failure_rate_, step.now_);
  peer.failure_rate_ = {.failure_share_ = now_share * (1.0 - kFailureWeight) +
                                          (failed ? kFailureWeight : 0.0),
                        .updated_at_ = step.now_};
}

namespace {

// Candidates for a request; avoided hosts only if `with_avoided`.
std::vector<PlacementCandidate> FindCandidatesAmong(const RelayView& step,
                                                    const OpenRequest& request,
                                                    bool with_avoided) {
  std::vector<PlacementCandidate> candidates;
  const auto hosts = step.state_.hosts_of_service_.find(request.service_);
  if (hosts == step.state_.hosts_of_service_.end()) return candidates;
  for (const auto& [address, host] : hosts->second) {
    const Peer& peer = *host;
    if (peer.avoided_ && !with_avoided) continue;
    if (FindExclusion(step, peer, request) != HostExclusion::kNone) continue;
    const HostStatus& status = peer.status_;
    const bool overflows = !request.overflow_region_.empty();
    if (overflows && status.region_ != request.overflow_region_) continue;
    const auto reported =
        static_cast<double>(status.running_ + status.waiting_);
    candidates.push_back(
        {.host_ = address,
         .distance_ = DistanceTo(step.options_, status),
         .slots_ = status.slots_,
         .load_ = std::max<double>(reported, peer.in_flight_) +
                  peer.sent_since_report_,
         .hold_ = HoldTimeAt(peer, request.route_),
         .failure_share_ = DecayedFailureShare(peer.failure_rate_, step.now_),
         .start_wait_ = StartWaitAt(peer, step.now_)});
    AddStatedLoad(step, peer, request.route_, candidates.back());
    if (overflows && !request.is_planned_remote_ &&
        !HasCapacityForRemoteRequests(candidates.back(),
                                      step.options_.placement_)) {
      candidates.pop_back();
    }
  }
  FillUnknownHoldTimes(candidates);
  return candidates;
}

}  // namespace

// Avoided hosts are skipped while another host is left. They are also skipped
// when this node is cut off: a request that is not sent is known not to have
// run.
std::vector<PlacementCandidate> FindCandidates(const RelayView& step,
                                               const OpenRequest& request) {
  std::vector<PlacementCandidate> candidates =
      FindCandidatesAmong(step, request, false);
  if (!candidates.empty() || step.state_.cut_off_) return candidates;
  return FindCandidatesAmong(step, request, true);
}

std::vector<PlacementCandidate> FindCandidates(RelayStep& step,
                                               const OpenRequest& request) {
  std::vector<PlacementCandidate> candidates = FindCandidates(
      RelayView{
          .state_ = step.state_, .options_ = step.options_, .now_ = step.now_},
      request);
  step.state_.counters_.load_reports_expired_ +=
      static_cast<std::uint64_t>(std::count_if(
          candidates.begin(), candidates.end(),
          [](const auto& candidate) { return candidate.pace_expired_; }));
  return candidates;
}

}  // namespace jujubefront
