#include <algorithm>
#include <cmath>

#include "placement/placement.h"
#include "relay/internal/relay_step.h"

namespace jujubefront {
namespace {

// Time in which own experience of failures halves.
constexpr double kFailureHalfLifeSeconds = 1.5;
constexpr double kFailureWeight = 0.25;

double FailureShare(const FailureRate& experience, Timestamp now) {
  const double age = InSeconds(now - experience.updated_at_);
  if (experience.failure_share_ <= 0.0) return 0.0;
  return experience.failure_share_ * std::exp2(-age / kFailureHalfLifeSeconds);
}

Duration HoldAt(const Peer& peer, const std::string& route) {
  const auto own = peer.holds_.find(route);
  if (own != peer.holds_.end()) return own->second;
  for (const RouteProfile& profile : peer.status_.profiles_) {
    if (profile.route_ == route && profile.runs_ > 0) {
      return Duration(static_cast<std::int64_t>(profile.slot_seconds_ * 1e6));
    }
  }
  return Duration::zero();
}

// A backend server that has not run the route yet is taken to be as fast as
// the fastest, so that it gets the requests that tell.
void AssumeUnknownHolds(std::vector<Place>& places) {
  Duration fastest = Duration::max();
  for (const Place& place : places) {
    if (place.hold_ > Duration::zero())
      fastest = std::min(fastest, place.hold_);
  }
  if (fastest == Duration::max()) return;
  for (Place& place : places) {
    if (place.hold_ == Duration::zero()) place.hold_ = fastest;
  }
}

bool TakesRuns(const RelayStep& step, const Peer& peer,
               const OpenRequest& request) {
  const HostStatus& status = peer.status_;
  if (status.leaving_) return false;
  if (status.backend_ != BackendState::kReady) return false;
  const bool own = peer.address_ == step.options_.address_;
  if (!own && (!peer.connected_ || peer.suspected_)) return false;
  return std::find(request.tried_.begin(), request.tried_.end(),
                   peer.address_) == request.tried_.end();
}

}  // namespace

void RecordRunOutcome(RelayStep& step, Peer& peer, bool failed) {
  const double now_share = FailureShare(peer.failure_rate_, step.now_);
  peer.failure_rate_ = {.failure_share_ = now_share * (1.0 - kFailureWeight) +
                                          (failed ? kFailureWeight : 0.0),
                        .updated_at_ = step.now_};
}

namespace {

std::vector<Place> PlacesAmong(RelayStep& step, const OpenRequest& request,
                               bool with_avoided) {
  std::vector<Place> places;
  const auto hosts = step.state_.hosts_of_service_.find(request.service_);
  if (hosts == step.state_.hosts_of_service_.end()) return places;
  for (const auto& [address, host] : hosts->second) {
    const Peer& peer = *host;
    if (peer.avoided_ && !with_avoided) continue;
    if (!TakesRuns(step, peer, request)) continue;
    const HostStatus& status = peer.status_;
    const auto reported =
        static_cast<double>(status.running_ + status.waiting_);
    places.push_back(
        {.host_ = address,
         .distance_ = DistanceTo(step.options_, status),
         .slots_ = status.slots_,
         .load_ = std::max<double>(reported, peer.in_flight_) +
                  peer.sent_since_report_,
         .hold_ = HoldAt(peer, request.route_),
         .failure_share_ = FailureShare(peer.failure_rate_, step.now_)});
  }
  AssumeUnknownHolds(places);
  return places;
}

}  // namespace

// A silent host is passed over only as long as another one is left, or when all
// are silent since this node is cut off: what goes nowhere has not run.
std::vector<Place> FindCandidates(RelayStep& step, const OpenRequest& request) {
  std::vector<Place> places = PlacesAmong(step, request, false);
  if (!places.empty() || step.state_.cut_off_) return places;
  return PlacesAmong(step, request, true);
}

}  // namespace jujubefront
