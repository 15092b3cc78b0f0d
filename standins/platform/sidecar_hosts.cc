#include "sidecar_hosts.h"

#include <QCoreApplication>
#include <QDir>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QTcpServer>
#include <QTemporaryDir>
#include <csignal>
#include <fstream>

namespace jujubefront {
namespace {

constexpr int kStorePort = 8309;
constexpr Duration kStartTimeout = std::chrono::seconds(15);
constexpr int kExitTimeoutMs = 10'000;

// Picks a loopback network that no other run is using.
std::string PickNetwork() {
  const auto pid = static_cast<unsigned>(QCoreApplication::applicationPid());
  for (unsigned i = 0; i < 1000; ++i) {
    const unsigned id = (pid * 13 + i) % 20'000;
    std::string network = "127." + std::to_string(100 + id / 250) + "." +
                          std::to_string(id % 250) + ".";
    QTcpServer probe;
    if (probe.listen(QHostAddress(QString::fromStdString(network + "1")),
                     kStorePort)) {
      return network;
    }
  }
  return "127.99.99.";
}

}  // namespace

SidecarHosts::SidecarHosts(SidecarHostsOptions options)
    : options_(std::move(options)), network_(PickNetwork()) {
  QTemporaryDir folder;
  folder.setAutoRemove(false);
  folder_ = folder.path().toStdString();
  for (std::size_t i = 0; i < options_.hosts_; ++i) {
    SidecarHost& host = hosts_.emplace_back();
    host.zone_ = i % 2 == 0 ? "zone-a" : "zone-b";
    host.region_ = "region";
    host.service_ = options_.service_;
    host.ip_ = network_ + std::to_string(10 + i);
    host.backend_ = std::make_unique<BackendStandin>(
        BackendStandinOptions{.instance_ = "i-" + std::to_string(i),
                              .service_ = host.service_,
                              .zone_ = host.zone_,
                              .address_ = host.app(),
                              .control_address_ = host.control(),
                              .slots_ = options_.slots_});
  }
}

SidecarHosts::~SidecarHosts() {
  for (SidecarHost& host : hosts_) {
    if (!host.process_ || host.process_->state() == QProcess::NotRunning) {
      continue;
    }
    host.process_->kill();
    host.process_->waitForFinished(kExitTimeoutMs);
  }
  QDir(QString::fromStdString(folder_)).removeRecursively();
}

std::string SidecarHosts::StoreAddress() const {
  return network_ + "1:" + std::to_string(kStorePort);
}

std::string SidecarHosts::SettingsText(const SidecarHost& host) const {
  return "[node]\nname = \"" + host.ip_ + "\"\nzone = \"" + host.zone_ +
         "\"\nregion = \"" + host.region_ + "\"\nservice = \"" + host.service_ +
         "\"\nip = \"" + host.ip_ +
         "\"\nmemory_mb = " + std::to_string(options_.memory_mb_) +
         "\nmax_descriptors = " + std::to_string(options_.max_descriptors_) +
         "\n[listen]\nclients = \"" + host.clients() + "\"\nready = \"" +
         host.ready() + "\"\nbackend_control = \"" + host.control() +
         "\"\nfirst_link_port = 8310\nlast_link_port = 8315\n"
         "advertised_link = \"" +
         host.configured_link_ + "\"\n[backend]\naddress = \"" +
         (host.configured_backend_.empty() ? host.app()
                                           : host.configured_backend_) +
         "\"\nheartbeat_interval = \"300ms\"\n[store]\naddress = \"" +
         (host.configured_store_.empty() ? StoreAddress()
                                         : host.configured_store_) +
         "\"\n[discovery]\nseeds = \"\"\n[bounds]\nall = "
         "\"grace=3s,budget_ratio=0.2,retry_slack=48\"\n[log]\n"
         "lines_per_second = 100000\ntrace_sample = " +
         std::to_string(options_.trace_sample_) + "\n";
}

void SidecarHosts::StartProcess(SidecarHost& host) {
  const std::string path = folder_ + "/" + host.ip_ + ".toml";
  std::ofstream(path) << SettingsText(host);
  host.process_ = std::make_unique<QProcess>();
  host.process_->setStandardOutputFile(
      QString::fromStdString(folder_ + "/" + host.ip_ + ".log"),
      QIODevice::Append);
  host.process_->setProcessChannelMode(QProcess::ForwardedErrorChannel);
  host.process_->start(QString::fromStdString(options_.program_),
                       {"--settings", QString::fromStdString(path)});
  host.process_->waitForStarted();
}

bool SidecarHosts::Start() {
  if (!store_.Listen(StoreAddress())) return false;
  for (SidecarHost& host : hosts_) {
    if (!host.backend_->Listen()) return false;
    StartProcess(host);
  }
  for (const SidecarHost& host : hosts_) {
    const bool up = WaitUntil(kStartTimeout, [&] {
      return Fetch(host.ready(),
                   {.method_ = "GET", .target_ = "/jujubefront/readyz"})
                     .status_ == 200 &&
             host.backend_->acknowledged() > 1;
    });
    if (!up) return false;
  }
  return true;
}

bool WaitUntil(Duration timeout, const std::function<bool()>& condition) {
  constexpr int kSliceMs = 10;
  QElapsedTimer timer;
  timer.start();
  while (!condition()) {
    if (timer.elapsed() > timeout / std::chrono::milliseconds(1)) return false;
    QCoreApplication::processEvents(QEventLoop::AllEvents, kSliceMs);
    QEventLoop loop;
    QTimer::singleShot(kSliceMs, &loop, &QEventLoop::quit);
    loop.exec();
  }
  return true;
}

Http1Response Fetch(const std::string& address, const Http1Request& request,
                    Duration timeout) {
  Http1Response answer;
  QEventLoop loop;
  Http1Client client(
      {}, {.on_response_ =
               [&](std::uint64_t, Http1Response response) {
                 answer = std::move(response);
                 loop.quit();
               },
           .on_failure_ = [&](std::uint64_t, Http1Failure) { loop.quit(); }});
  client.SetAddress(address);
  Http1Request sent = request;
  if (FindHeader(sent.headers_, "Host") == nullptr) {
    sent.headers_.emplace_back("Host", address);
  }
  QTimer::singleShot(
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout), &loop,
      &QEventLoop::quit);
  client.Send(1, sent);
  loop.exec();
  return answer;
}

std::string SampleDocument(std::uint64_t version, const std::string& service,
                           const std::string& extra_routes) {
  const auto route = [&](const std::string& name, const std::string& kind) {
    return R"({"resource_type":"routes","metadata":{"name":")" + name +
           R"("},"spec":{"host":"test.example","path_prefix":"/)" + name +
           R"(/","kind":")" + kind +
           R"(","timeout":"1500ms","aim":"500ms","priority":1,"service":")" +
           service + R"(","max_attempts":3}},)";
  };
  return R"({"version":)" + std::to_string(version) + R"(,"resources":[)" +
         route("read", "idempotent") + route("book", "non_idempotent") +
         extra_routes + R"({"resource_type":"services","metadata":{"name":")" +
         service +
         R"("},"spec":{"health_path":"/health","max_connections":100}},{"resource_type":"limits",)"
         R"("metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":)"
         R"(1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"}}]})";
}

}  // namespace jujubefront
