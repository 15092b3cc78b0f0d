#include <iomanip>
#include <iostream>

#include "commandline/program.h"
#include "model/fault_stories.h"
#include "model/load_scenarios.h"

namespace jujubefront {
namespace {

void PrintTableHeader() {
  std::cout << "| deployment | story | policy | before/s | during/s | during "
               "of capacity | important served of demand | after/s | recovery "
               "s | demand over capacity s | wasted work | sends/request | "
               "most tries | crossing KB/s "
               "|\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
}

void PrintRow(const LoadRun& run, const LoadResult& result) {
  constexpr double kBytesPerKilobyte = 1000.0;
  const double served =
      result.important_demand_ > 0.0
          ? result.important_during_ / result.important_demand_
          : 0.0;
  std::cout << std::fixed << std::setprecision(0) << "| "
            << run.deployment_.name_ << " | " << LoadStoryName(run.story_)
            << " | " << run.policy_.name_ << " | " << result.goodput_before_
            << " | " << result.goodput_during_ << std::setprecision(3) << " | "
            << result.goodput_during_ / result.capacity_ << " | " << served
            << std::setprecision(0) << " | " << result.goodput_after_ << " | ";
  if (result.recovery_) {
    std::cout << std::setprecision(2) << InSeconds(*result.recovery_);
  } else {
    std::cout << "never";
  }
  std::cout << std::setprecision(2) << " | " << InSeconds(result.demand_excess_)
            << std::setprecision(3) << " | " << result.wasted_share_ << " | "
            << std::setprecision(2) << result.sends_per_request_ << " | "
            << result.most_tries_ << " | " << std::setprecision(0)
            << result.crossing_bytes_per_second_ / kBytesPerKilobyte << " |\n"
            << std::flush;
}

void PrintBookingCost(const BookingCost& cost) {
  std::cout << std::fixed << std::setprecision(2) << "first send: mean "
            << cost.first_send_ms_ << " ms; located send: mean "
            << cost.unstated_ms_ << " ms\nin a cut zone: first sends finished "
            << cost.cut_first_share_ << ", located sends finished "
            << cost.cut_located_share_ << '\n';
}

// Runs random fault schedules and counts violations. Returns the exit code: 1
// if there was any.
int RunSchedules(std::uint64_t first, std::uint64_t count) {
  constexpr std::size_t kFaultsPerSchedule = 8;
  FaultResult sum;
  std::uint32_t violations = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    FaultStory story{.seed_ = seed};
    story.faults_ = RandomFaults(seed, kFaultsPerSchedule, story.length_);
    const FaultResult result = RunFaultStory(story);
    const std::uint32_t found = result.keys_run_twice_ +
                                result.not_run_but_ran_ +
                                result.finished_but_never_ran_;
    if (found > 0)
      std::cout << "VIOLATIONS " << found << " seed " << seed << '\n';
    violations += found;
    sum.requests_ += result.requests_;
    sum.resends_ += result.resends_;
    sum.finished_ += result.finished_;
    sum.not_run_ += result.not_run_;
    sum.unknown_ += result.unknown_;
    sum.unanswered_ += result.unanswered_;
  }
  std::cout << "schedules " << count << ", keys " << sum.requests_
            << ", resends " << sum.resends_ << ", finished " << sum.finished_
            << ", not run " << sum.not_run_ << ", unknown " << sum.unknown_
            << ", unanswered " << sum.unanswered_ << ", violations "
            << violations << '\n';
  return violations == 0 ? 0 : 1;
}

void AddOptions(cxxopts::Options& options) {
  options.add_options()("seed", "seed of the runs",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "policy", "only this policy", cxxopts::value<std::string>())(
      "deployment", "only this deployment", cxxopts::value<std::string>())(
      "story", "only this story", cxxopts::value<std::string>())(
      "bookings", "only the cost and availability of bookings")(
      "schedules", "only so many random fault schedules, from the seed on",
      cxxopts::value<std::uint64_t>());
}

int Run(const cxxopts::ParseResult& arguments) {
  const auto wanted = [&](const char* option, std::string_view name) {
    return arguments.count(option) == 0 ||
           arguments[option].as<std::string>() == name;
  };
  if (arguments.count("schedules") > 0) {
    return RunSchedules(arguments["seed"].as<std::uint64_t>(),
                        arguments["schedules"].as<std::uint64_t>());
  }
  if (arguments.count("bookings") > 0) {
    PrintBookingCost(MeasureBookingCost(arguments["seed"].as<std::uint64_t>()));
    return 0;
  }
  PrintTableHeader();
  for (const Deployment& deployment :
       {BrolgaDeployment(), FuktlanDeployment()}) {
    for (const LoadStory story :
         {LoadStory::kSurge, LoadStory::kSlowLeaf, LoadStory::kColdRestart}) {
      for (const NamedPolicy& policy : AllPolicies()) {
        if (!wanted("deployment", deployment.name_) ||
            !wanted("story", LoadStoryName(story)) ||
            !wanted("policy", policy.name_)) {
          continue;
        }
        const LoadRun run{.deployment_ = deployment,
                          .policy_ = policy,
                          .story_ = story,
                          .seed_ = arguments["seed"].as<std::uint64_t>()};
        PrintRow(run, RunLoad(run));
      }
    }
  }
  return 0;
}

}  // namespace
}  // namespace jujubefront

int main(int argc, char** argv) {
  return jujubefront::RunProgram(
      {.name_ = "jujubefront-model",
       .description_ =
           "Runs the reducers in virtual time against queue models of backend "
           "servers, network and callers, and prints a table.",
       .add_options_ = jujubefront::AddOptions,
       .run_ = jujubefront::Run},
      argc, argv);
}
