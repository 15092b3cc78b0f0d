// Runs real processes under faults drawn from seeds and checks the journals.

#include <QCoreApplication>
#include <iostream>

#include "commandline/program.h"
#include "fault_run.h"
#include "netio/application.h"

namespace jujubefront {
namespace {

void PrintRun(std::uint64_t seed, const FaultRunResult& result) {
  const HistoryReport& report = result.report_;
  std::cout << "seed " << seed << ": keys " << report.keys_ << ", runs "
            << report.runs_ << ", sends " << report.sends_ << ", resends "
            << report.resends_ << ", violations " << report.violations_.size()
            << "\n  faults:";
  for (const auto& [kind, count] : result.faults_) {
    std::cout << ' ' << kind << ' ' << count << ';';
  }
  std::cout << "\n  answers:";
  for (const auto& [verdict, count] : report.verdicts_) {
    std::cout << ' ' << verdict << ' ' << count << ';';
  }
  std::cout << '\n';
  for (const Violation& violation : report.violations_) {
    std::cout << "  VIOLATION " << RuleName(violation.rule_) << ": "
              << violation.subject_ << " (" << violation.detail_ << ")\n";
  }
  std::cout << std::flush;
}

// Two hosts of each service in each of four availability zones: 24 nodes.
std::vector<HostSpec> FaultRunHosts() {
  std::vector<HostSpec> hosts = SmallBrolga();
  for (HostSpec host : SmallBrolga()) {
    host.name_ += "-2";
    hosts.push_back(std::move(host));
  }
  return hosts;
}

int Run(const cxxopts::ParseResult& arguments) {
  const auto first = arguments["seed"].as<std::uint64_t>();
  const auto runs = static_cast<std::uint64_t>(arguments["runs"].as<int>());
  bool clean = true;
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    const FaultRunResult result = RunWithFaults(
        {.seed_ = seed,
         .hosts_ = FaultRunHosts(),
         .length_ = std::chrono::seconds(arguments["seconds"].as<int>())});
    if (!result.started_) {
      std::cout << "seed " << seed << ": did not start\n";
      return 1;
    }
    PrintRun(seed, result);
    clean = clean && result.report_.violations_.empty();
  }
  return clean ? 0 : 1;
}

}  // namespace
}  // namespace jujubefront

int main(int argc, char** argv) {
  const auto application = jujubefront::MakeApplication(argc, argv);
  return jujubefront::RunProgram(
      {.name_ = "jujubefront-prove",
       .description_ = "Real processes under faults; exit code 0 only without "
                       "violations.",
       .add_options_ =
           [](cxxopts::Options& options) {
             options.add_options()(
                 "seed", "first seed",
                 cxxopts::value<std::uint64_t>()->default_value("1"))(
                 "runs", "number of seeds",
                 cxxopts::value<int>()->default_value("3"))(
                 "seconds", "length of a run",
                 cxxopts::value<int>()->default_value("20"));
           },
       .run_ = jujubefront::Run},
      argc, argv);
}
