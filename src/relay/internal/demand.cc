#include <algorithm>

#include "relay/internal/relay_step.h"

namespace jujubefront {
namespace {

constexpr double kDemandWeight = 0.6;
// Profiles that rest on fewer runs say nothing yet.
constexpr double kLeastRuns = 3.0;
// The longest deadline seen shrinks slowly, so that a change of the clients'
// habits is noticed.
constexpr double kDeadlineDecay = 0.999;

// Adds a measurement of one host to the mean over hosts.
void Merge(RouteProfile& total, const RouteProfile& part) {
  if (part.runs_ <= 0.0) return;
  const double weight = part.runs_ / (total.runs_ + part.runs_);
  total.route_ = part.route_;
  total.service_ = part.service_;
  total.slot_seconds_ += weight * (part.slot_seconds_ - total.slot_seconds_);
  for (auto& [route, mean] : total.calls_) {
    const auto found = part.calls_.find(route);
    const double other = found == part.calls_.end() ? 0.0 : found->second;
    mean += weight * (other - mean);
  }
  for (const auto& [route, mean] : part.calls_) {
    if (!total.calls_.contains(route)) total.calls_[route] = weight * mean;
  }
  total.runs_ += part.runs_;
}

struct RegionView {
  std::map<std::string, RouteProfile> profiles_;
  std::map<std::string, RouteDemand> demands_;
  std::map<std::string, double> slots_;
};

// What the hosts of the own region report. Regions are planned apart, since
// requests hardly ever cross.
RegionView ViewRegion(const RelayStep& step) {
  RegionView view;
  for (const auto& [address, peer] : step.state_.peers_) {
    const HostStatus& status = peer.status_;
    const bool own = address == step.options_.address_;
    if (!own && (!peer.known_ || !peer.connected_)) continue;
    if (status.region_ != step.options_.region_) continue;
    for (const RouteProfile& profile : status.profiles_) {
      Merge(view.profiles_[profile.route_], profile);
    }
    for (const RouteDemand& demand : status.demands_) {
      RouteDemand& total = view.demands_[demand.route_];
      total.route_ = demand.route_;
      total.priority_ = demand.priority_;
      total.per_second_ += demand.per_second_;
    }
    if (status.backend_ == BackendState::kReady && !status.leaving_) {
      view.slots_[status.service_] += status.slots_;
    }
  }
  std::erase_if(view.profiles_, [](const auto& entry) {
    return entry.second.runs_ < kLeastRuns;
  });
  return view;
}

void LogAdmission(RelayStep& step, const std::map<std::string, double>& before,
                  const RegionView& view) {
  for (const auto& [route, fraction] : step.state_.admitted_) {
    const auto old = before.find(route);
    const double was = old == before.end() ? 1.0 : old->second;
    if (std::abs(was - fraction) < 0.1) continue;
    const auto demand = view.demands_.find(route);
    step.effects_.emplace_back(Decision{
        .kind_ = DecisionKind::kAdmissionChanged,
        .trace_id_ = {},
        .inputs_ = {{"route", route},
                    {"admitted", fraction},
                    {"before", was},
                    {"demand_per_s", demand == view.demands_.end()
                                         ? 0.0
                                         : demand->second.per_second_}}});
  }
}

}  // namespace

void CountDemand(RelayStep& step, const RouteRule& route, Duration remaining) {
  DemandMeter& meter = step.state_.demands_[route.name_];
  ++meter.counted_;
  meter.usual_deadline_ = std::max(remaining, meter.usual_deadline_);
}

void TickDemand(RelayStep& step) {
  RelayState& state = step.state_;
  const Duration elapsed = step.now_ - state.demand_window_start_;
  if (elapsed < step.options_.load_window_ / 2) return;
  state.demand_window_start_ = step.now_;
  for (auto& [route, meter] : state.demands_) {
    const double rate = meter.counted_ / InSeconds(elapsed);
    meter.per_second_ += kDemandWeight * (rate - meter.per_second_);
    meter.counted_ = 0;
    meter.usual_deadline_ = Duration(static_cast<std::int64_t>(
        static_cast<double>(meter.usual_deadline_.count()) * kDeadlineDecay));
  }
  const RegionView view = ViewRegion(step);
  std::vector<RouteDemand> demands;
  demands.reserve(view.demands_.size());
  for (const auto& [route, demand] : view.demands_) demands.push_back(demand);
  const auto before = std::move(state.admitted_);
  state.admitted_ = Allocate(view.profiles_, demands, view.slots_,
                             step.options_.allocation_);
  LogAdmission(step, before, view);
}

}  // namespace jujubefront
