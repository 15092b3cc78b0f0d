#include <QCoreApplication>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

#include "commandline/program.h"
#include "configuration/configuration.h"
#include "membership/membership_types.h"
#include "netio/application.h"
#include "operations/control_client.h"
#include "operations/placement_text.h"
#include "operations/publish.h"
#include "operations/tables.h"
#include "operations/text_diff.h"
#include "relaylog/explain.h"
#include "relaylog/report.h"
#include "relaylog/verify.h"

namespace jujubefront {
namespace {

constexpr int kRefusedExitCode = 1;
constexpr int kUnreachableExitCode = 3;
constexpr int kUnconfirmedExitCode = 4;
constexpr Duration kPageTimeout = std::chrono::seconds(5);
constexpr std::chrono::seconds kRefreshInterval(1);

using Arguments = cxxopts::ParseResult;
using CommandResult = boost::leaf::result<int>;

PublishOptions PublishOptionsFrom(const Arguments& arguments) {
  PublishOptions options{
      .log_ = {.address_ = arguments["log"].as<std::string>(),
               .stream_ = arguments["stream"].as<std::string>()},
      .file_ = arguments["argument"].as<std::string>(),
      .section_ = arguments["section"].as<std::string>(),
      .author_ = arguments["author"].as<std::string>()};
  if (arguments.count("base") > 0) {
    options.base_version_ = arguments["base"].as<LogOffset>();
  }
  return options;
}

LogSessionOptions LogOptionsFrom(const Arguments& arguments) {
  return {.address_ = arguments["log"].as<std::string>(),
          .stream_ = arguments["stream"].as<std::string>()};
}

CommandResult Check(const Arguments& arguments) {
  BOOST_LEAF_AUTO(record, PreparePublish(PublishOptionsFrom(arguments)));
  std::cout << "valid; would replace version " << record.base_version_ << '\n';
  return 0;
}

CommandResult Publish(const Arguments& arguments) {
  BOOST_LEAF_AUTO(result, PublishSection(PublishOptionsFrom(arguments)));
  std::cout << "accepted: section " << result.section_ << ", version "
            << result.offset_ << '\n';
  return 0;
}

CommandResult History(const Arguments& arguments) {
  BOOST_LEAF_AUTO(state, ReadDocument(LogOptionsFrom(arguments)));
  std::cout << FormatHistory(state);
  return 0;
}

CommandResult Diff(const Arguments& arguments) {
  BOOST_LEAF_AUTO(state, ReadDocument(LogOptionsFrom(arguments)));
  const auto path = arguments["argument"].as<std::string>();
  const std::ifstream file(path);
  if (!file) return boost::leaf::new_error(FileUnreadable{path});
  std::ostringstream text;
  text << file.rdbuf();
  const auto section =
      state.sections_.find(arguments["section"].as<std::string>());
  const std::string in_force =
      section == state.sections_.end() ? "" : section->second.text_;
  std::cout << DiffLines(in_force, text.str());
  return 0;
}

CommandResult Forget(const Arguments& arguments) {
  const ForgetRecord record{
      .name_ = arguments["argument"].as<std::string>(),
      .incarnation_ = arguments["incarnation"].as<Incarnation>()};
  if (AppendRecord(LogOptionsFrom(arguments), record) == kNoOffset) {
    return boost::leaf::new_error(
        LogUnreachable{arguments["log"].as<std::string>()});
  }
  std::cout << "recorded that " << record.name_ << " has ended\n";
  return 0;
}

CommandResult ShowPage(const Arguments& arguments, const std::string& path) {
  BOOST_LEAF_AUTO(
      page, FetchPage(arguments["node"].as<std::string>(), path, kPageTimeout));
  std::cout << page;
  return 0;
}

CommandResult Status(const Arguments& arguments) {
  BOOST_LEAF_AUTO(page, FetchPage(arguments["node"].as<std::string>(),
                                  "/status", kPageTimeout));
  std::cout << (arguments.count("json") > 0 ? page : FormatStatus(page));
  return 0;
}

CommandResult Top(const Arguments& arguments) {
  constexpr char kClearScreen[] = "\033[H\033[2J";
  for (;;) {
    BOOST_LEAF_AUTO(page, FetchPage(arguments["node"].as<std::string>(),
                                    "/status", kPageTimeout));
    std::cout << kClearScreen << FormatStatus(page) << std::flush;
    std::this_thread::sleep_for(kRefreshInterval);
  }
}

CommandResult Drain(const Arguments& arguments) {
  BOOST_LEAF_AUTO(page, PostPage(arguments["node"].as<std::string>(), "/drain",
                                 kPageTimeout));
  std::cout << page;
  return 0;
}

CommandResult ExplainFromLogs(const Arguments& arguments) {
  BOOST_LEAF_AUTO(log, ReadRelayLog(arguments["logs"].as<std::string>()));
  const auto subject = arguments["argument"].as<std::string>();
  const Explanation explanation = IsContent(subject)
                                      ? ExplainContent(log, subject)
                                      : ExplainRequest(log, subject);
  std::cout << FormatExplanation(explanation);
  return explanation.found_ ? 0 : kRefusedExitCode;
}

CommandResult Explain(const Arguments& arguments) {
  if (arguments.count("logs") > 0) return ExplainFromLogs(arguments);
  if (arguments.count("node") == 0) {
    std::cerr << "jujubefront-ctl explain: node or logs is required\n";
    return kUsageExitCode;
  }
  return ShowPage(arguments,
                  "/explain?key=" + arguments["argument"].as<std::string>());
}

// A longer key would not fit into a header.
constexpr std::size_t kMaxKeyBytes = 4096;

// Reads the key of a workspace from a file: as an argument it would be in the
// list of processes. Empty: there is no such option.
boost::leaf::result<std::string> ReadKeyFile(const Arguments& arguments) {
  if (arguments.count("key-file") == 0) return std::string();
  const auto path = arguments["key-file"].as<std::string>();
  std::ifstream file(path);
  std::string key;
  if (!(file >> std::setw(kMaxKeyBytes) >> key)) {
    return boost::leaf::new_error(FileUnreadable{path});
  }
  return key;
}

CommandResult PrintPlacement(const Arguments& arguments) {
  BOOST_LEAF_AUTO(key, ReadKeyFile(arguments));
  const auto address = arguments["metrics"].as<std::string>();
  PlacementRequestNames request{.host_ = arguments["host"].as<std::string>(),
                                .path_ = arguments["path"].as<std::string>()};
  if (arguments.count("workspace") > 0) {
    request.workspace_ = arguments["workspace"].as<std::string>();
  }
  BOOST_LEAF_AUTO(
      page, FetchPage(address, PlacementTarget(request), kPageTimeout, key));
  const auto text = FormatPlacement(page);
  // Earlier versions answer every request with their metrics.
  if (!text) return boost::leaf::new_error(ControlUnreachable{address});
  std::cout << (arguments.count("json") > 0 ? page + "\n" : *text);
  return 0;
}

CommandResult Report(const Arguments& arguments) {
  BOOST_LEAF_AUTO(log, ReadRelayLog(arguments["argument"].as<std::string>()));
  std::cout << DrawReport(MakeReport(log));
  return 0;
}

CommandResult Verify(const Arguments& arguments) {
  BOOST_LEAF_AUTO(log, ReadRelayLog(arguments["argument"].as<std::string>()));
  const LogVerification verdict =
      VerifyLog(log, {.retry_ratio_ = arguments["retry-ratio"].as<double>(),
                      .retry_slack_ = arguments["retry-slack"].as<double>()});
  std::cout << verdict.requests_ << " requests, " << verdict.runs_ << " runs, "
            << log.unreadable_ << " unreadable lines, "
            << verdict.violations_.size() << " violations\n";
  for (const LogViolation& violation : verdict.violations_) {
    std::cout << LogRuleName(violation.rule_) << ": " << violation.subject_
              << " (" << violation.detail_ << ")\n";
  }
  return verdict.violations_.empty() ? 0 : kRefusedExitCode;
}

struct Command {
  std::string_view name_;
  CommandResult (*run_)(const Arguments&);
  std::vector<const char*> required_options_;
};

const std::vector<Command>& Commands() {
  static const std::vector<Command> kCommands = {
      {"check", Check, {"log", "section", "author", "argument"}},
      {"publish", Publish, {"log", "section", "author", "argument"}},
      {"history", History, {"log"}},
      {"diff", Diff, {"log", "section", "argument"}},
      {"forget", Forget, {"log", "incarnation", "argument"}},
      {"status", Status, {"node"}},
      {"top", Top, {"node"}},
      {"drain", Drain, {"node"}},
      {"explain", Explain, {"argument"}},
      {"placement", PrintPlacement, {"metrics", "host", "path"}},
      {"report", Report, {"argument"}},
      {"verify", Verify, {"argument"}}};
  return kCommands;
}

void AddOptions(cxxopts::Options& options) {
  options.add_options()("command", "", cxxopts::value<std::string>())(
      "argument", "", cxxopts::value<std::string>())(
      "log", "IP:port of the shared log", cxxopts::value<std::string>())(
      "stream", "stream of the shared log",
      cxxopts::value<std::string>()->default_value("jujubefront"))(
      "node", "IP:port of a node's control address",
      cxxopts::value<std::string>())("section", "section of the document",
                                     cxxopts::value<std::string>())(
      "author", "team that publishes", cxxopts::value<std::string>())(
      "base", "version that the edit is based on", cxxopts::value<LogOffset>())(
      "incarnation", "incarnation of a target", cxxopts::value<Incarnation>())(
      "logs", "file or folder of relays' logs", cxxopts::value<std::string>())(
      "metrics", "IP:port of a sidecar's metrics",
      cxxopts::value<std::string>())("host", "host of a request",
                                     cxxopts::value<std::string>())(
      "path", "path of a request", cxxopts::value<std::string>())(
      "workspace", "workspace of a request, by name",
      cxxopts::value<std::string>())(
      "key-file", "file with the key of a request's workspace",
      cxxopts::value<std::string>())(
      "retry-ratio", "retries of a service per request, over all hosts",
      cxxopts::value<double>()->default_value("0.2"))(
      "retry-slack", "retries of a service beyond that in 10 s",
      cxxopts::value<double>()->default_value("48"))("json", "print JSON");
  options.parse_positional({"command", "argument"});
}

int PrintIssues(const SectionInvalid& invalid) {
  for (const Issue& issue : invalid.issues_) {
    std::cerr << FormatIssue(invalid.file_, issue) << '\n';
  }
  return kRefusedExitCode;
}

int PrintConflict(const PublishConflict& conflict, const Arguments& arguments) {
  std::cerr << "not accepted (" << PublishVerdictName(conflict.result_.verdict_)
            << "): another publish of section " << conflict.result_.section_
            << " came first. In force (-) against yours (+):\n";
  const std::ifstream file(arguments["argument"].as<std::string>());
  std::ostringstream text;
  text << file.rdbuf();
  std::cerr << DiffLines(conflict.text_in_force_, text.str());
  return kRefusedExitCode;
}

int Run(const Command& command, const Arguments& arguments) {
  return boost::leaf::try_handle_all(
      [&] { return command.run_(arguments); },
      [](const SectionInvalid& invalid) { return PrintIssues(invalid); },
      [&](const PublishConflict& conflict) {
        return PrintConflict(conflict, arguments);
      },
      [](const PublishUnconfirmed& error) {
        std::cerr << "no answer from the log, and record " << error.record_id_
                  << " is not in it yet. Check history before trying again\n";
        return kUnconfirmedExitCode;
      },
      [](const LogUnreachable& error) {
        std::cerr << "the shared log at " << error.address_
                  << " does not answer\n";
        return kUnreachableExitCode;
      },
      [](const ControlUnreachable& error) {
        std::cerr << "the node at " << error.address_
                  << " does not answer or refuses\n";
        return kUnreachableExitCode;
      },
      [](const FileUnreadable& error) {
        std::cerr << error.path_ << ": cannot be read\n";
        return kUsageExitCode;
      },
      [](const LogUnreadable& error) {
        std::cerr << error.path_ << ": cannot be read\n";
        return kUsageExitCode;
      },
      [](const DocumentUnknown&) {
        std::cerr << "the log holds no snapshot to start from\n";
        return kUnreachableExitCode;
      },
      [] { return kUsageExitCode; });
}

int RunCommand(const Arguments& arguments) {
  const std::string name = arguments.count("command") > 0
                               ? arguments["command"].as<std::string>()
                               : "";
  for (const Command& command : Commands()) {
    if (command.name_ != name) continue;
    for (const char* option : command.required_options_) {
      if (arguments.count(option) > 0) continue;
      std::cerr << "jujubefront-ctl " << name << ": " << option
                << " is required\n";
      return kUsageExitCode;
    }
    return Run(command, arguments);
  }
  std::cerr << "jujubefront-ctl: no such command: " << name << '\n';
  return kUsageExitCode;
}

constexpr char kDescription[] =
    "Operators' tool.\n\n"
    "  check FILE    check a section against the document in force\n"
    "  publish FILE  publish a section and wait for the verdict\n"
    "  diff FILE     differences between the section in force and a file\n"
    "  history       verdicts on the publishes still in the log\n"
    "  forget NAME   record that a target's process has ended for certain\n"
    "  status        what a node knows (--json for programs)\n"
    "  top           the same, refreshed in place\n"
    "  drain         begin a planned stop of a node\n"
    "  explain ID    what became of a request: at a node (--node), or over "
    "all\n"
    "                hosts of the platform, by their logs (--logs); there\n"
    "                also of a content, by its fingerprint\n"
    "  placement     where a sidecar (--metrics) would send a request (--host, "
    "--path)\n"
    "                now and why; --workspace NAME or --key-file FILE, --json\n"
    "  report LOGS   draws goodput, refusals and load over time as SVG\n"
    "  verify LOGS   checks relays' logs for violated guarantees\n\n"
    "Exit codes: 0 done, 1 refused, 2 usage, 3 unreachable, 4 not confirmed";

}  // namespace
}  // namespace jujubefront

int main(int argc, char** argv) {
  const auto application = jujubefront::MakeApplication(argc, argv);
  return jujubefront::RunProgram({.name_ = "jujubefront-ctl",
                                  .description_ = jujubefront::kDescription,
                                  .positional_help_ = "COMMAND [ARGUMENT]",
                                  .add_options_ = jujubefront::AddOptions,
                                  .run_ = jujubefront::RunCommand},
                                 argc, argv);
}
