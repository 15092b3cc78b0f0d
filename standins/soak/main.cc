#include <QCoreApplication>
#include <iostream>

#include "commandline/program.h"
#include "netio/application.h"
#include "soak_run.h"

namespace jujubefront {
namespace {

template <typename Counts>
void PrintCounts(const char* name, const Counts& counts) {
  std::cout << "  " << name << ':';
  for (const auto& [key, count] : counts) {
    std::cout << ' ' << key << ' ' << count << ';';
  }
  std::cout << '\n';
}

void Print(std::uint64_t seed, const SoakResult& result) {
  std::cout << "seed " << seed << ": runs " << result.runs_ << ", logged "
            << result.logged_runs_ << ", peak memory " << result.peak_memory_mb_
            << " MB, longest stall of the test "
            << result.longest_stall_ / std::chrono::milliseconds(1)
            << " ms, violations " << result.violations_.size() << '\n';
  std::cout << "  endless: requests " << result.endless_requests_
            << "; responses " << result.endless_responses_ << "; unread crowds "
            << result.unread_crowds_ << ";\n"
            << "  rate limits named " << result.named_limits_
            << ", largest use " << result.rate_limit_use_
            << "; leaving stated in answers " << result.stated_leaving_
            << ", left at once " << result.left_at_once_ << " (store away "
            << result.left_with_store_away_ << "), ends of many relays "
            << result.ends_of_many_relays_ << "; restores of the store "
            << result.store_restores_ << ", silences for all hosts but one "
            << result.joint_silences_ << ";\n";
  PrintCounts("faults", result.faults_);
  PrintCounts("answers", result.statuses_);
  for (const SoakViolation& violation : result.violations_) {
    std::cout << "  VIOLATION " << SoakRuleName(violation.rule_) << ": "
              << violation.subject_ << " (" << violation.detail_ << ")\n";
  }
  std::cout << std::flush;
}

std::vector<std::uint64_t> SeedsFrom(const cxxopts::ParseResult& arguments) {
  if (arguments.count("seeds") > 0) {
    return arguments["seeds"].as<std::vector<std::uint64_t>>();
  }
  const auto first = arguments["seed"].as<std::uint64_t>();
  std::vector<std::uint64_t> seeds;
  for (std::uint64_t i = 0; i < arguments["runs"].as<std::uint64_t>(); ++i) {
    seeds.push_back(first + i);
  }
  return seeds;
}

int Run(const cxxopts::ParseResult& arguments) {
  const std::vector<std::uint64_t> seeds = SeedsFrom(arguments);
  std::size_t failed = 0;
  for (const std::uint64_t seed : seeds) {
    SoakOptions options{
        .program_ = arguments["program"].as<std::string>(),
        .plan_ = {.seed_ = seed,
                  .hosts_ = arguments["hosts"].as<std::size_t>(),
                  .length_ = std::chrono::seconds(
                      arguments["seconds"].as<std::uint32_t>()),
                  .interval_ = std::chrono::milliseconds(
                      arguments["interval"].as<std::uint32_t>())},
        .send_interval_ = std::chrono::milliseconds(
            arguments["request-interval"].as<std::uint32_t>())};
    if (arguments.count("spared") > 0) {
      options.spared_relays_ = arguments["spared"].as<std::size_t>();
    }
    options.unread_clients_ = arguments.count("unread") > 0;
    if (arguments.count("keep") > 0) {
      options.keep_folder_ =
          arguments["keep"].as<std::string>() + "/" + std::to_string(seed);
    }
    const SoakResult result = RunSoak(options);
    if (!result.started_) {
      std::cout << "seed " << seed << ": did not start\n";
      return 3;
    }
    Print(seed, result);
    if (!result.violations_.empty()) ++failed;
  }
  std::cout << seeds.size() - failed << " of " << seeds.size()
            << " seeds without violations\n";
  return failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace jujubefront

int main(int argc, char** argv) {
  const auto application = jujubefront::MakeApplication(argc, argv);
  return jujubefront::RunProgram(
      {.name_ = "jujubefront-soak",
       .description_ =
           "Real processes under faults drawn from seeds.\nExit codes: 0 no "
           "violation, 1 violations, 2 usage, 3 the processes did not start.",
       .add_options_ =
           [](cxxopts::Options& options) {
             options.add_options()("program", "path of jujubefront-sidecar",
                                   cxxopts::value<std::string>())(
                 "seeds", "seeds to run, with commas between them",
                 cxxopts::value<std::vector<std::uint64_t>>())(
                 "seed", "first seed",
                 cxxopts::value<std::uint64_t>()->default_value("1"))(
                 "runs", "number of seeds",
                 cxxopts::value<std::uint64_t>()->default_value("1"))(
                 "hosts", "hosts, each with one process",
                 cxxopts::value<std::size_t>()->default_value("8"))(
                 "seconds", "time with faults",
                 cxxopts::value<std::uint32_t>()->default_value("15"))(
                 "interval", "mean time between faults, in ms",
                 cxxopts::value<std::uint32_t>()->default_value("350"))(
                 "request-interval", "time between requests, in ms",
                 cxxopts::value<std::uint32_t>()->default_value("4"))(
                 "spared",
                 "many relays end at once after some leavings; so many live on",
                 cxxopts::value<std::size_t>())(
                 "unread",
                 "clients that read no response come to random hosts")(
                 "keep", "folder for the logs of every run",
                 cxxopts::value<std::string>());
           },
       .run_ =
           [](const cxxopts::ParseResult& arguments) {
             if (arguments.count("program") == 0) {
               std::cerr << "jujubefront-soak: --program is required\n";
               return jujubefront::kUsageExitCode;
             }
             return jujubefront::Run(arguments);
           }},
      argc, argv);
}
