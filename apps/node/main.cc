#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <iostream>

#include "commandline/program.h"
#include "daemon/node_shell.h"
#include "netio/application.h"
#include "settings/settings.h"
#include "telemetry/logging.h"

namespace jujubefront {
namespace {

constexpr int kAddressExitCode = 4;
constexpr int kSecondSignalExitCode = 5;

int PrintIssues(const SettingsInvalid& invalid) {
  for (const Issue& issue : invalid.issues_) {
    std::cerr << FormatIssue(invalid.path_, issue) << '\n';
  }
  return kUsageExitCode;
}

int RunNode(int argc, char** argv, NodeSettings settings, int signals) {
  const auto application = MakeApplication(argc, argv);
  ConfigureLogging(settings.log_format_);
  NodeShell shell(std::move(settings),
                  [](int code) { QCoreApplication::exit(code); });
  bool stopping = false;
  const SignalListener listener(signals, [&](int) {
    // A second signal ends the process without waiting.
    if (stopping) return QCoreApplication::exit(kSecondSignalExitCode);
    stopping = true;
    shell.Drain();
  });
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        auto started = shell.Start();
        if (!started) return started.error();
        return QCoreApplication::exec();
      },
      [](const AddressUnavailable& error) {
        LogFatal(error.setting_ + ": cannot listen on " + error.address_);
        return kAddressExitCode;
      },
      [] {
        LogFatal("unexpected error");
        return kAddressExitCode;
      });
}

void AddOptions(cxxopts::Options& options) {
  options.add_options()("s,settings", "settings file (TOML)",
                        cxxopts::value<std::string>())(
      "check-settings", "check the settings and exit")(
      "print-settings", "print every setting with its value and exit");
}

int Run(const cxxopts::ParseResult& arguments, int argc, char** argv,
        int signals) {
  if (arguments.count("settings") == 0) {
    std::cerr << "jujubefront-node: --settings is required\n";
    return kUsageExitCode;
  }
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        BOOST_LEAF_AUTO(settings,
                        LoadSettings(arguments["settings"].as<std::string>()));
        if (arguments.count("print-settings") > 0) {
          std::cout << DescribeSettings(settings);
          return 0;
        }
        if (arguments.count("check-settings") > 0) return 0;
        return RunNode(argc, argv, std::move(settings), signals);
      },
      [](const SettingsInvalid& invalid) { return PrintIssues(invalid); },
      [](const SettingsUnreadable& error) {
        std::cerr << error.path_ << ": cannot be read\n";
        return kUsageExitCode;
      },
      [] { return kUsageExitCode; });
}

}  // namespace
}  // namespace jujubefront

int main(int argc, char** argv) {
  const int signals = jujubefront::BlockSignals({SIGTERM, SIGINT});
  return jujubefront::RunProgram(
      {.name_ = "jujubefront-node",
       .description_ =
           "Overload control for the services of a call graph: one process on "
           "the host of every backend server.\nExit codes: 0 stopped as "
           "planned, 2 settings or usage, 3 stopped with requests cut off,\n4 "
           "an address cannot be bound, 5 second stop signal.",
       .add_options_ = jujubefront::AddOptions,
       .run_ =
           [&](const cxxopts::ParseResult& arguments) {
             return jujubefront::Run(arguments, argc, argv, signals);
           }},
      argc, argv);
}
