#include "model/load_scenarios.h"

#include "model/callers.h"

namespace jujubefront {
namespace {

constexpr Duration kWarmUp = std::chrono::seconds(3);
constexpr Duration kBefore = std::chrono::seconds(8);
constexpr Duration kDisturbance = std::chrono::seconds(10);
constexpr Duration kAfter = std::chrono::seconds(15);
// Transient that is excluded from averages.
constexpr Duration kSettle = std::chrono::seconds(3);
constexpr double kSlowdown = 10.0;

// Time boundaries of the phases of one run.
struct Times {
  Timestamp load_from_;
  Timestamp disturbance_from_;
  Timestamp disturbance_to_;
  Timestamp end_;
};

Times TimesOf(const World& world) {
  Times times;
  times.load_from_ = world.now() + kWarmUp;
  times.disturbance_from_ = times.load_from_ + kBefore;
  times.disturbance_to_ = times.disturbance_from_ + kDisturbance;
  times.end_ = times.disturbance_to_ + kAfter;
  return times;
}

Deployment WithPolicy(Deployment deployment, const NamedPolicy& policy) {
  for (HostModel& host : deployment.hosts_) {
    host.node_.admission_.policy_ = policy.admission_;
    // The slot count of each target: the value that a careful operator would
    // set.
    host.node_.admission_.fixed_limit_ = host.backend_.slots_;
    host.node_.retries_.policy_ = policy.retries_;
    host.node_.routing_.use_levels_ =
        policy.admission_ == AdmissionPolicy::kAdaptive;
  }
  return deployment;
}

std::vector<RateStep> RatesOf(const LoadRun& run, const Times& times) {
  const double base = run.deployment_.capacity_ * run.base_load_;
  std::vector<RateStep> rates = {{times.load_from_, base}};
  if (run.story_ == LoadStory::kSurge) {
    const double surge = run.deployment_.capacity_ * run.surge_load_;
    rates.push_back({times.disturbance_from_, surge});
    rates.push_back({times.disturbance_to_, base});
  }
  return rates;
}

void ScheduleDisturbance(World& world, const LoadRun& run, const Times& times) {
  const std::string service = run.deployment_.bottleneck_;
  if (run.story_ == LoadStory::kSlowLeaf) {
    world.At(times.disturbance_from_,
             [&world, service] { world.SlowService(service, kSlowdown); });
    world.At(times.disturbance_to_,
             [&world, service] { world.SlowService(service, 1.0); });
  }
  if (run.story_ == LoadStory::kColdRestart) {
    world.At(times.disturbance_from_, [&world, service] {
      for (const std::string& name : world.NodeNames()) {
        if (world.host(name).node_.service_ != service) continue;
        const HostModel host = world.host(name);
        world.KillNode(name);
        world.StartHost(host);
      }
    });
  }
}

double SendsPerRequest(const ModelTotals& totals) {
  double sends = 0.0;
  for (const RequestOutcome& outcome : totals.requests_) {
    sends += outcome.sends_;
  }
  return sends /
         static_cast<double>(std::max<std::size_t>(1, totals.requests_.size()));
}

LoadResult Summarise(const World& world, const ModelTotals& totals,
                     const LoadRun& run, const Times& times) {
  const auto goodput = [&](Timestamp from, Timestamp to,
                           const std::string& class_name) {
    return GoodputBetween(totals, from, to, class_name);
  };
  LoadResult result{.capacity_ = run.deployment_.capacity_};
  const Timestamp steady = times.load_from_ + kSettle;
  const Timestamp disturbed = times.disturbance_from_ + kSettle;
  result.goodput_before_ = goodput(steady, times.disturbance_from_, "");
  result.goodput_during_ = goodput(disturbed, times.disturbance_to_, "");
  result.important_during_ =
      goodput(disturbed, times.disturbance_to_, "important");
  result.important_demand_ =
      DemandBetween(totals, disturbed, times.disturbance_to_, "important");
  result.goodput_after_ = goodput(times.end_ - kSettle, times.end_, "");
  const double share = FirstSendShare(totals, steady, times.disturbance_from_);
  // The last seconds are excluded below, because not all of their requests have
  // ended.
  const Timestamp from = run.story_ == LoadStory::kColdRestart
                             ? times.disturbance_from_
                             : times.disturbance_to_;
  result.recovery_ = RecoveryTime(totals, from, times.end_ - kSettle, share);
  result.demand_excess_ = DemandExcessTime(totals, from, times.end_ - kSettle,
                                           run.deployment_.capacity_);
  result.wasted_share_ = WastedShare(totals);
  result.sends_per_request_ = SendsPerRequest(totals);
  result.most_tries_ = MostTries(totals);
  result.crossing_bytes_per_second_ =
      totals.crossing_bytes_ / InSeconds(world.now() - times.load_from_);
  result.events_ = totals.events_;
  for (Timestamp at = times.load_from_; at < times.end_;
       at += std::chrono::seconds(1)) {
    result.goodput_by_second_.push_back(
        goodput(at, at + std::chrono::seconds(1), ""));
  }
  return result;
}

}  // namespace

std::vector<NamedPolicy> AllPolicies() {
  return {{"jujubefront", AdmissionPolicy::kAdaptive, RetryPolicy::kCredit},
          {"per-hop", AdmissionPolicy::kPerHop, RetryPolicy::kCredit},
          {"fixed", AdmissionPolicy::kFixed, RetryPolicy::kFixedPerHop},
          {"none", AdmissionPolicy::kNone, RetryPolicy::kFixedPerHop}};
}

LoadResult RunLoad(const LoadRun& run) {
  World world({.seed_ = run.seed_, .log_region_ = "store"});
  const Times times = TimesOf(world);
  StartDeployment(world, WithPolicy(run.deployment_, run.policy_));
  Callers callers(world, {.calls_ = run.deployment_.calls_},
                  RatesOf(run, times), times.end_);
  callers.Start();
  ScheduleDisturbance(world, run, times);
  world.RunUntil(times.end_);
  return Summarise(world, world.totals(), run, times);
}

std::string_view LoadStoryName(LoadStory story) {
  switch (story) {
    case LoadStory::kSurge:
      return "surge";
    case LoadStory::kSlowLeaf:
      return "slow-leaf";
    case LoadStory::kColdRestart:
      return "cold-restart";
  }
  return "invalid";
}

}  // namespace jujubefront
