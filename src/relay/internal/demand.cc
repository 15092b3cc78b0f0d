#include <algorithm>

#include "allocation/tree_success.h"
#include "relay/internal/region_sharing.h"
#include "relay/internal/relay_step.h"
#include "relay/internal/time_left.h"
#include "relay/internal/zone_sums.h"

namespace jujubefront {
namespace {

// Weights of the last window in the smoothed demand and returning share.
constexpr double kDemandWeight = 0.75;
constexpr double kReturningWeight = 0.2;
// Run statistics of a route are removed this long after its last run.
constexpr Duration kStatsTtl = std::chrono::seconds(10);
// Demand meters of routes with fewer requests a second are removed.
constexpr double kMinDemand = 0.02;
// Measurements of fewer runs are not used.
constexpr double kMinRuns = 3.0;

// Minimum fleet size assumed for the retry allowance: a node that knows fewer
// hosts may not know all of them yet.
constexpr std::size_t kMinFleet = 8;

// A client request with this much less time left than usual counts as a retry
// after a refusal, of a client that waited for the time in Retry-After. A
// client that resends immediately does not reach it.
constexpr Duration kMinTimeAway = std::chrono::milliseconds(90);

// Tolerance when a call is matched to its parent by deadline. They differ by
// the transfer to and from the backend server and by rounding to milliseconds.
constexpr Duration kDeadlineTolerance = std::chrono::milliseconds(3);

// Adds the counts of a window to the estimate of calls per run, and removes old
// statistics. Only routes that backend servers alone call are counted: arrivals
// on the others also come from clients.
void CloseCallWindow(RelayStep& step) {
  RelayState& state = step.state_;
  std::erase_if(state.call_window_.calls_, [&](const auto& entry) {
    return !state.called_routes_.contains(entry.first);
  });
  if (Decay(state.call_counts_); CallersNameTheirRun(state.call_counts_)) {
    state.calls_of_run_ = CountedMeanCalls(state.call_counts_);
    state.call_fit_ = {};
  } else {
    AddWindow(state.call_fit_, state.call_window_);
    state.calls_of_run_ = FittedMeanCalls(state.call_fit_);
  }
  state.call_window_ = {};
  std::erase_if(state.run_stats_, [&](const auto& entry) {
    return step.now_ - entry.second.last_at_ > kStatsTtl;
  });
  std::erase_if(state.demands_, [](const auto& entry) {
    return entry.second.counted_ == 0 &&
           entry.second.arrivals_per_second_ < kMinDemand;
  });
}

// Exponential smoothing. The weight is high, as noise averages out in the sum
// over all hosts. Rises and falls have the same weight, as noise would bias the
// sum otherwise.
void UpdateSmoothed(double& rate, double measured) {
  rate += kDemandWeight * (measured - rate);
}

// Slots to allocate, of saturated services only: no request is refused because
// of a service that is not saturated, whatever the measured costs are.
std::map<std::string, double> FindSaturatedSlots(RelayStep& step,
                                                 const RegionView& view) {
  std::map<std::string, double> saturated;
  for (const auto& [service, load] : view.services_) {
    if (load.slots_ <= 0.0) continue;
    ServicePressure& pressure = step.state_.pressure_[service];
    pressure = UpdatePressure(pressure, load.runs_ / load.slots_);
    if (IsSaturated(pressure)) {
      saturated[service] = load.slots_ * pressure.correction_;
    }
  }
  return saturated;
}

// Rejected share of the region's backend servers, by service.
std::map<std::string, double> ComputeRejectedShares(const RegionView& view) {
  std::map<std::string, double> shares;
  for (const auto& [service, load] : view.services_) {
    if (load.rejected_slots_ <= 0.0 || load.slots_ <= 0.0) continue;
    shares[service] = load.rejected_slots_ / load.slots_;
  }
  return shares;
}

std::vector<RouteArrivals> ListArrivals(const RegionView& view) {
  std::vector<RouteArrivals> arrivals;
  for (const auto& [key, per_second] : view.arrivals_) {
    arrivals.push_back({.route_ = key.first,
                        .host_service_ = key.second,
                        .per_second_ = per_second});
  }
  return arrivals;
}

// Reduces the admitted shares of routes whose call trees would mostly fail.
void ReduceFailingTrees(RelayStep& step, const RegionView& view) {
  RelayState& state = step.state_;
  state.failing_routes_.clear();
  if (state.rejected_shares_.empty()) return;
  const double ratio =
      state.retry_allowance_.host_ratio_ + state.retry_allowance_.sender_ratio_;
  for (auto& [route, fraction] : state.admitted_) {
    double pass = 1.0;
    for (const auto& [service, runs] : TreeRuns(view.profiles_, route)) {
      const auto rejected = state.rejected_shares_.find(service);
      if (rejected == state.rejected_shares_.end()) continue;
      pass *= TreeCompletionShare(rejected->second, runs, ratio);
    }
    const double worth = ShareWorthAdmitting(pass);
    if (worth >= 1.0) continue;
    fraction *= worth;
    state.failing_routes_.insert(route);
  }
}

// Plans what other regions run of what this region does not admit. A route
// whose latency objective the round trip would use up is left out: its clients
// do better by coming back.
void UpdateOverflow(RelayStep& step, const RegionView& view,
                    const std::vector<RouteDemand>& demands) {
  constexpr int kMinRoundTripsInObjective = 4;
  RelayState& state = step.state_;
  if (!step.options_.overflows_to_other_regions_) return;
  const std::vector<RemoteRegion> regions = BuildRemoteRegions(step);
  // No region has reported free slots, as in general no report was needed.
  if (regions.empty()) {
    state.overflow_.clear();
    return;
  }
  state.overflow_ =
      PlanOverflow(view.profiles_, demands, state.admitted_, regions,
                   state.overflow_, step.options_.overflow_);
  std::map<std::string, std::optional<Duration>> round_trips;
  for (const RemoteRegion& region : regions) {
    round_trips[region.region_] = RoundTripTo(step, region.region_);
  }
  std::map<std::string, Duration> objectives;
  for (const RouteRule& route : state.table_.routes_) {
    objectives[route.name_] = route.latency_objective_;
  }
  std::erase_if(state.overflow_, [&](const auto& entry) {
    const auto round_trip = round_trips[entry.second.region_];
    return !round_trip ||
           objectives[entry.first] < *round_trip * kMinRoundTripsInObjective;
  });
}

double FindOverflowShare(const RelayState& state, const std::string& route) {
  const auto found = state.overflow_.find(route);
  return found == state.overflow_.end() ? 0.0 : found->second.share_;
}

double FindRemoteShare(const RelayState& state, const std::string& route) {
  const auto found = state.region_sharing_.remote_.find(route);
  return found == state.region_sharing_.remote_.end() ? 0.0
                                                      : found->second.share_;
}

// Logs admitted shares that have changed by 0.1 or more.
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
                    {"trees_fail",
                     std::int64_t{step.state_.failing_routes_.contains(route)}},
                    {"overflow", FindOverflowShare(step.state_, route)},
                    {"remote", FindRemoteShare(step.state_, route)},
                    {"demand_per_s", demand == view.demands_.end()
                                         ? 0.0
                                         : demand->second.per_second_}}});
  }
}

}  // namespace

bool CountDemand(RelayStep& step, const RouteRule& route, Duration remaining,
                 bool is_call) {
  DemandMeter& meter = step.state_.demands_[route.name_];
  ++meter.counted_;
  step.state_.call_window_.calls_[route.name_] += 1.0;
  if (is_call) {
    ++meter.calls_;
    return false;
  }
  RecordTimeLeft(meter.time_left_, remaining);
  const bool returning =
      UsualTimeLeft(meter.time_left_) - remaining >= kMinTimeAway;
  if (returning) ++meter.returning_;
  return returning;
}

Origin FindOrigin(RelayStep& step, const RouteRule& route, Timestamp deadline,
                  const std::string& parent_trace_id) {
  const auto named = step.state_.run_of_trace_.find(parent_trace_id);
  if (!parent_trace_id.empty() && named != step.state_.run_of_trace_.end()) {
    return {.is_call_ = true, .parent_run_ = named->second};
  }
  const std::uint64_t parent =
      FindParentRun(step, deadline, kDeadlineTolerance);
  return {.is_call_ =
              parent != 0 || step.state_.called_routes_.contains(route.name_),
          .parent_run_ = parent};
}

void UpdateRetryAllowance(RelayStep& step) {
  const RelayOptions& options = step.options_;
  step.state_.retry_allowance_ = NodeRetryAllowance(
      options.retry_ratio_, options.retry_slack_, options.retry_window_,
      std::max(kMinFleet, step.state_.peers_.size()), options.retry_safety_);
  // The retries that are free in each window are left to the sends of entries.
  step.state_.host_retry_allowance_ = step.state_.retry_allowance_;
  step.state_.host_retry_allowance_.slack_ = 0.0;
}

void TickDemand(RelayStep& step) {
  RelayState& state = step.state_;
  const Duration elapsed = step.now_ - state.demand_window_start_;
  if (elapsed < step.options_.load_window_ / 2) return;
  state.demand_window_start_ = step.now_;
  for (auto& [route, meter] : state.demands_) {
    const std::uint32_t roots = meter.counted_ - meter.calls_;
    UpdateSmoothed(meter.per_second_, roots / InSeconds(elapsed));
    UpdateSmoothed(meter.arrivals_per_second_,
                   meter.counted_ / InSeconds(elapsed));
    if (roots > 0) {
      const double returning =
          static_cast<double>(meter.returning_) / static_cast<double>(roots);
      meter.returning_share_ +=
          kReturningWeight * (returning - meter.returning_share_);
    }
    meter.counted_ = 0;
    meter.calls_ = 0;
    meter.returning_ = 0;
    DecayTimeLeft(meter.time_left_);
  }
  CloseCallWindow(step);
  TickArrivals(step, elapsed);
  state.refused_slots_ = state.refused_in_window_ *
                         InSeconds(MeanHoldTime(state)) / InSeconds(elapsed);
  state.refused_in_window_ = 0;
  UpdateRetryAllowance(step);
  TickLackingServices(step);
  TickZoneSums(step);
  RegionView view = BuildRegionView(step);
  // Too few runs are no reliable measurement.
  std::erase_if(view.profiles_, [](const auto& entry) {
    return entry.second.runs_ < kMinRuns;
  });
  const std::map<std::string, double> slots = FindSaturatedSlots(step, view);
  state.called_routes_ = FindCalledRoutes(ListArrivals(view));
  std::vector<RouteDemand> demands;
  demands.reserve(view.demands_.size());
  for (const auto& [route, demand] : view.demands_) {
    if (!state.called_routes_.contains(route)) demands.push_back(demand);
  }
  const auto before = std::move(state.admitted_);
  state.admitted_ =
      Allocate(view.profiles_, demands, slots, step.options_.allocation_);
  state.rejected_shares_ = ComputeRejectedShares(view);
  ReduceFailingTrees(step, view);
  UpdateOverflow(step, view, demands);
  UpdateRegionSharing(step, view, demands, slots);
  LogAdmission(step, before, view);
  state.profiles_ = std::move(view.profiles_);
}

}  // namespace jujubefront
