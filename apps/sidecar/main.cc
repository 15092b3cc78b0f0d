#include <QFileInfo>
#include <QTimer>
#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>

#include "commandline/program.h"
#include "netio/application.h"
#include "platform/endpoints.h"
#include "platform/platform_protocol.h"
#include "platform/sidecar_settings.h"
#include "platform/store_client.h"

namespace jujubefront {
namespace {

constexpr int kAddressExitCode = 4;
// Each endpoint may store this share of what is stored for clients.
constexpr std::size_t kEndpointDivisor = 8;
constexpr const char* kSettingsVariable = "JUJUBEFRONT_CONFIG";
// Interval at which the settings file is checked for changes, for the case that
// no SIGHUP follows a change.
constexpr Duration kSettingsCheckInterval = std::chrono::seconds(2);

// Detects silent connections to peers, the store and the platform, which answer
// promptly when they work.
constexpr SilenceOptions kLinkSilence = {
    .keep_alive_idle_ = std::chrono::seconds(2),
    .keep_alive_interval_ = std::chrono::seconds(1),
    .keep_alive_probes_ = 2,
    .unacknowledged_ = std::chrono::milliseconds(1500)};
// Clients get more time, as they may be slow to read.
constexpr SilenceOptions kClientSilence = {
    .keep_alive_idle_ = std::chrono::seconds(10),
    .keep_alive_interval_ = std::chrono::seconds(3),
    .keep_alive_probes_ = 3,
    .unacknowledged_ = std::chrono::seconds(20)};

void PrintIssues(const platform::SidecarSettingsInvalid& invalid) {
  for (const Issue& issue : invalid.issues_) {
    std::cerr << FormatIssue(invalid.path_, issue) << '\n';
  }
}

std::uint64_t RandomNumber() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

// The relay with its store client, endpoints and settings file.
class SidecarProcess {
 public:
  SidecarProcess(platform::SidecarSettings settings, std::string path)
      : settings_(std::move(settings)),
        path_(std::move(path)),
        changed_at_(QFileInfo(QString::fromStdString(path_)).lastModified()),
        shell_(settings_.shell_, platform::MakePlatformProtocol(),
               [](int code) { QCoreApplication::exit(code); }),
        store_({.address_ = settings_.store_address_,
                .node_address_ = settings_.shell_.relay_.address_,
                .silence_ = kLinkSilence},
               [this](RelayEventBody body) { shell_.Feed(std::move(body)); }),
        endpoints_(
            {.feed_ =
                 [this](RelayEventBody body) { shell_.Feed(std::move(body)); },
             .ready_ = [this] { return shell_.ready(); },
             .metrics_ =
                 [this](const ClientBuffers& endpoints) {
                   return shell_.Metrics(endpoints);
                 },
             .explain_ =
                 [this](const PlacementQuery& query) {
                   return shell_.Explain(query);
                 },
             .on_cut_off_ =
                 [this](std::string_view listener, ClientCutOff reason) {
                   shell_.LogCutOff(listener, reason);
                 },
             .buffer_bytes_ =
                 settings_.shell_.client_buffer_bytes_ / kEndpointDivisor,
             .memory_ = &shell_.memory()},
            kLinkSilence) {
    shell_.SetStore(store_.Interface());
    shell_.SetBackendAnswers([this](const AnswerBackend& answer) {
      endpoints_.AnswerBackendCall(answer);
    });
  }

  std::optional<std::string> Start() {
    if (auto address = endpoints_.Listen(settings_.endpoints_)) return address;
    return shell_.Start();
  }

  void Stop() { shell_.Feed(StopRequested{}); }

  void ReloadIfChanged() {
    const auto changed =
        QFileInfo(QString::fromStdString(path_)).lastModified();
    if (changed != changed_at_) Reload();
  }

  // Reads the settings file again. The current settings stay in force if it is
  // unreadable or invalid.
  void Reload() {
    changed_at_ = QFileInfo(QString::fromStdString(path_)).lastModified();
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_AUTO(loaded, platform::LoadSidecarSettings(path_));
          RelayOptions relay = loaded.shell_.relay_;
          relay.boot_ = settings_.shell_.relay_.boot_;
          relay.seed_ = settings_.shell_.relay_.seed_;
          // Addresses in use change only at the next start of the process.
          relay.address_ = settings_.shell_.relay_.address_;
          shell_.Reload(relay);
          return {};
        },
        [this](const platform::SidecarSettingsInvalid& invalid) {
          PrintIssues(invalid);
          RejectSettings();
        },
        [this] { RejectSettings(); });
  }

 private:
  void RejectSettings() {
    shell_.Feed(InputUnreadable{.source_ = "settings", .detail_ = path_});
  }

  platform::SidecarSettings settings_;
  std::string path_;
  QDateTime changed_at_;
  RelayShell shell_;
  platform::StoreClient store_;
  platform::Endpoints endpoints_;
};

int RunSidecar(int argc, char** argv, platform::SidecarSettings settings,
               const std::string& path, int signals) {
  const auto application = MakeApplication(argc, argv);
  settings.shell_.relay_.boot_ = RandomNumber();
  settings.shell_.relay_.seed_ = RandomNumber();
  settings.shell_.link_silence_ = kLinkSilence;
  settings.shell_.client_silence_ = kClientSilence;
  SidecarProcess process(std::move(settings), path);
  const SignalListener listener(signals, [&](int signal) {
    if (signal == SIGHUP) {
      process.Reload();
    } else {
      process.Stop();
    }
  });
  QTimer settings_check;
  QObject::connect(&settings_check, &QTimer::timeout,
                   [&] { process.ReloadIfChanged(); });
  settings_check.start(std::chrono::duration_cast<std::chrono::milliseconds>(
      kSettingsCheckInterval));
  if (const auto address = process.Start()) {
    std::cerr << "jujubefront-sidecar: cannot listen on " << *address << '\n';
    return kAddressExitCode;
  }
  return QCoreApplication::exec();
}

int Run(const cxxopts::ParseResult& arguments, int argc, char** argv,
        int signals) {
  std::string path;
  if (arguments.count("settings") > 0) {
    path = arguments["settings"].as<std::string>();
  } else if (const char* named = std::getenv(kSettingsVariable)) {
    path = named;
  } else {
    std::cerr << "jujubefront-sidecar: --settings is required\n";
    return kUsageExitCode;
  }
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        BOOST_LEAF_AUTO(settings, platform::LoadSidecarSettings(path));
        if (arguments.count("check-settings") > 0) return 0;
        if (arguments.count("print-settings") > 0) {
          BOOST_LEAF_AUTO(text, platform::ReadSettingsText(path));
          std::cout << platform::DescribeSidecarSettings(text);
          return 0;
        }
        return RunSidecar(argc, argv, std::move(settings), path, signals);
      },
      [](const platform::SidecarSettingsInvalid& invalid) {
        PrintIssues(invalid);
        return kUsageExitCode;
      },
      [](const platform::SidecarSettingsUnreadable& error) {
        std::cerr << error.path_ << ": cannot be read\n";
        return kUsageExitCode;
      },
      [] { return kUsageExitCode; });
}

}  // namespace
}  // namespace jujubefront

int main(int argc, char** argv) {
  // Before anything else, so that no signal ends the process while it starts.
  const int signals = jujubefront::BlockSignals({SIGTERM, SIGINT, SIGHUP});
  return jujubefront::RunProgram(
      {.name_ = "jujubefront-sidecar",
       .description_ =
           "Overload control on the platform: one process beside every backend "
           "server.\nExit codes: 0 stopped as planned, 2 settings or usage, 3 "
           "stopped with requests cut off,\n4 an address cannot be bound.",
       .add_options_ =
           [](cxxopts::Options& options) {
             options.add_options()(
                 "s,settings",
                 "settings file (TOML); default: the file that "
                 "JUJUBEFRONT_CONFIG names",
                 cxxopts::value<std::string>())("check-settings",
                                                "check the settings and exit")(
                 "print-settings",
                 "print every setting with its value and exit");
           },
       .run_ =
           [&](const cxxopts::ParseResult& arguments) {
             return jujubefront::Run(arguments, argc, argv, signals);
           }},
      argc, argv);
}
