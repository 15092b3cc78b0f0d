#ifndef JUJUBEFRONT_MODEL_LOAD_SCENARIOS_H_
#define JUJUBEFRONT_MODEL_LOAD_SCENARIOS_H_

#include <optional>
#include <string>
#include <vector>

#include "model/deployments.h"
#include "model/report.h"

namespace jujubefront {

// A named combination of admission and retry policies.
struct NamedPolicy {
  std::string name_;
  AdmissionPolicy admission_ = AdmissionPolicy::kAdaptive;
  RetryPolicy retries_ = RetryPolicy::kCredit;
};

// Returns the product's policies first, then the baselines for comparison.
std::vector<NamedPolicy> AllPolicies();

// Disturbance during a run.
enum class LoadStory : std::uint8_t {
  kSurge,        // demand rises to `surge_load_` times the capacity
  kSlowLeaf,     // the bottleneck is ten times slower, then recovers
  kColdRestart,  // all targets of the bottleneck restart simultaneously
};

struct LoadRun {
  Deployment deployment_;
  NamedPolicy policy_;
  LoadStory story_ = LoadStory::kSurge;
  std::uint64_t seed_ = 1;
  double base_load_ = 0.7;  // as a multiple of the capacity
  double surge_load_ = 2.0;
};

// Results of one run; goodput and demand are in requests per second.
struct LoadResult {
  double capacity_ = 0.0;
  double goodput_before_ = 0.0;  // before the disturbance
  double goodput_during_ = 0.0;  // during the disturbance
  double important_during_ = 0.0;
  double important_demand_ = 0.0;
  double goodput_after_ = 0.0;  // in the last three seconds
  std::optional<Duration> recovery_;
  // Lower bound of the recovery time, see DemandExcessTime.
  Duration demand_excess_ = Duration::zero();
  double wasted_share_ = 0.0;
  double sends_per_request_ = 0.0;
  std::uint32_t most_tries_ = 0;
  double crossing_bytes_per_second_ = 0.0;
  std::uint64_t events_ = 0;
  std::vector<double> goodput_by_second_;
};

// Runs a load scenario in virtual time.
LoadResult RunLoad(const LoadRun& run);

// Returns the name of a scenario as printed.
std::string_view LoadStoryName(LoadStory story);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_MODEL_LOAD_SCENARIOS_H_
