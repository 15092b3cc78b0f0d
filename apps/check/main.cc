#include <iostream>

#include "commandline/program.h"
#include "history/history.h"

namespace jujubefront {
namespace {

constexpr int kViolatedExitCode = 1;

void PrintReport(const HistoryReport& report) {
  std::cout << "events " << report.events_ << ", malformed lines "
            << report.malformed_lines_ << ", keys " << report.keys_ << ", runs "
            << report.runs_ << ", sends " << report.sends_ << ", resends "
            << report.resends_ << '\n';
  for (const auto& [verdict, count] : report.verdicts_) {
    std::cout << "answers " << verdict << ": " << count << '\n';
  }
  for (const Violation& violation : report.violations_) {
    std::cout << "VIOLATION " << RuleName(violation.rule_) << ": "
              << violation.subject_ << " (" << violation.detail_ << ")\n";
  }
  std::cout << "violations: " << report.violations_.size() << '\n';
}

void AddOptions(cxxopts::Options& options) {
  options.add_options()("journals", "",
                        cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"journals"});
}

int Run(const cxxopts::ParseResult& arguments) {
  if (arguments.count("journals") == 0) {
    std::cerr << "jujubefront-check: no journal given\n";
    return kUsageExitCode;
  }
  std::vector<HistoryEvent> events;
  std::size_t malformed = 0;
  for (const auto& path :
       arguments["journals"].as<std::vector<std::string>>()) {
    if (ReadJournal(path, events, malformed)) continue;
    std::cerr << path << ": cannot be read\n";
    return kUsageExitCode;
  }
  HistoryReport report = EvaluateHistory(std::move(events), {});
  report.malformed_lines_ = malformed;
  PrintReport(report);
  return report.violations_.empty() ? 0 : kViolatedExitCode;
}

}  // namespace
}  // namespace jujubefront

int main(int argc, char** argv) {
  return jujubefront::RunProgram(
      {.name_ = "jujubefront-check",
       .description_ =
           "Checks journals of callers, nodes and backend servers.\nExit "
           "codes: 0 no violation, 1 violations, 2 usage or unreadable "
           "journal.",
       .positional_help_ = "JOURNAL...",
       .add_options_ = jujubefront::AddOptions,
       .run_ = jujubefront::Run},
      argc, argv);
}
