#include "cluster.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QHostAddress>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTcpServer>
#include <QThread>
#include <csignal>
#include <fstream>

namespace jujubefront {
namespace {

constexpr int kHttpPort = 8080;
constexpr int kRpcPort = 8081;
constexpr int kControlPort = 8082;
constexpr int kBackendPort = 9000;
constexpr int kLogPort = 7000;
constexpr int kStartTimeoutMs = 20'000;
constexpr int kStopTimeoutMs = 5'000;
constexpr unsigned long kPollMs = 20;

// Picks a loopback network of 250 addresses that no other run is using.
std::string PickNetwork() {
  const auto pid = static_cast<unsigned>(QCoreApplication::applicationPid());
  for (unsigned i = 0; i < 60'000; ++i) {
    const unsigned id = (pid * 7 + i) % 62'500;
    std::string network =
        "127." + std::to_string(1 + id / 250) + "." + std::to_string(id % 250);
    QTcpServer probe;
    const QHostAddress address(QString::fromStdString(network + ".1"));
    if (probe.listen(address, kLogPort)) return network;
  }
  return "";
}

QStringList ToQt(const std::vector<std::string>& arguments) {
  QStringList list;
  for (const std::string& argument : arguments) {
    list.append(QString::fromStdString(argument));
  }
  return list;
}

void KillProcess(QProcess* process) {
  if (process == nullptr || process->state() == QProcess::NotRunning) return;
  // Continues a process that SIGSTOP has paused.
  ::kill(static_cast<pid_t>(process->processId()), SIGCONT);
  process->kill();
  process->waitForFinished(kStopTimeoutMs);
}

bool ListsAllAsServing(const std::string& status, std::size_t hosts) {
  const QJsonObject object =
      QJsonDocument::fromJson(QByteArray::fromStdString(status)).object();
  const QJsonArray members = object.value(QLatin1String("members")).toArray();
  if (static_cast<std::size_t>(members.size()) < hosts) return false;
  for (const auto member : members) {
    const QString state =
        member.toObject().value(QLatin1String("state")).toString();
    if (state != QLatin1String("serving")) return false;
  }
  return true;
}

}  // namespace

Cluster::Cluster(ClusterOptions options)
    : options_(std::move(options)),
      programs_(qEnvironmentVariable("JUJUBEFRONT_PROGRAMS").toStdString()),
      network_(PickNetwork()) {}

Cluster::~Cluster() {
  for (auto& [name, host] : hosts_) {
    KillProcess(host.node_.get());
    KillProcess(host.backend_.get());
  }
  KillProcess(log_.get());
}

std::unique_ptr<QProcess> Cluster::Launch(
    const std::string& program, const std::vector<std::string>& arguments,
    const std::string& output) {
  auto process = std::make_unique<QProcess>();
  const QString file = folder_.filePath(QString::fromStdString(output));
  process->setStandardOutputFile(file, QIODevice::Append);
  process->setStandardErrorFile(file, QIODevice::Append);
  process->start(QString::fromStdString(programs_ + "/" + program),
                 ToQt(arguments));
  if (!process->waitForStarted(kStartTimeoutMs)) return nullptr;
  return process;
}

std::string Cluster::NextIp() {
  return network_ + "." + std::to_string(++last_host_);
}

std::string Cluster::LogAddress() const {
  return log_ip_ + ":" + std::to_string(kLogPort);
}

bool Cluster::StartLog() {
  log_ip_ = NextIp();
  log_ = Launch("standins/log/standin-log", {"--listen", LogAddress()}, "log");
  if (log_ == nullptr) return false;
  QElapsedTimer timer;
  timer.start();
  while (timer.elapsed() < kStartTimeoutMs) {
    const auto answer =
        caller_.Call({.address_ = LogAddress(), .path_ = "/standin/faults"});
    if (answer.status_ == 200) return true;
    QThread::msleep(kPollMs);
  }
  return false;
}

std::string Cluster::WriteSettings(const Host& host) const {
  std::string path =
      folder_.filePath(QString::fromStdString(host.spec_.name_ + ".toml"))
          .toStdString();
  std::ofstream file(path);
  file << "[node]\nname = \"" << host.spec_.name_ << "\"\nzone = \""
       << host.spec_.zone_ << "\"\nregion = \"" << host.spec_.region_
       << "\"\nservice = \"" << host.spec_.service_ << "\"\n[listen]\nhttp = \""
       << host.ip_ << ":" << kHttpPort << "\"\nrpc = \"" << host.ip_ << ":"
       << kRpcPort << "\"\ncontrol = \"" << host.ip_ << ":" << kControlPort
       << "\"\n[backend]\naddress = \"" << host.ip_ << ":" << kBackendPort
       << "\"\n[shared_log]\naddress = \"" << LogAddress() << "\"\n";
  if (options_.journals_) {
    file << "[output]\njournal = \"" << Folder() << "/" << host.spec_.name_
         << ".node.journal\"\n";
  }
  file << options_.extra_settings_;
  return path;
}

bool Cluster::StartHost(const HostSpec& spec) {
  Host& host = hosts_[spec.name_];
  host.spec_ = spec;
  host.ip_ = NextIp();
  std::vector<std::string> arguments = {
      "--listen",  host.ip_ + ":" + std::to_string(kBackendPort),
      "--node",    host.ip_ + ":" + std::to_string(kHttpPort),
      "--service", spec.service_,
      "--slots",   std::to_string(spec.slots_),
      "--work-us", std::to_string(spec.work_.count()),
      "--seed",    std::to_string(last_host_)};
  for (const std::string& child : spec.children_) {
    arguments.insert(arguments.end(), {"--child", child});
  }
  if (options_.journals_) {
    arguments.insert(
        arguments.end(),
        {"--journal", Folder() + "/" + spec.name_ + ".backend.journal"});
  }
  host.backend_ = Launch("standins/backend/standin-backend", arguments,
                         spec.name_ + ".backend.out");
  return host.backend_ != nullptr && StartNode(spec.name_);
}

bool Cluster::StartNodeOnly(const HostSpec& spec) {
  Host& host = hosts_[spec.name_];
  host.spec_ = spec;
  host.ip_ = NextIp();
  return StartNode(spec.name_);
}

std::vector<qint64> Cluster::NodeProcesses() const {
  std::vector<qint64> processes;
  processes.reserve(hosts_.size());
  for (const auto& [name, host] : hosts_) {
    processes.push_back(host.node_->processId());
  }
  return processes;
}

bool Cluster::StartNode(const std::string& name) {
  Host& host = hosts_.at(name);
  host.node_ = Launch("apps/node/jujubefront-node",
                      {"--settings", WriteSettings(host)}, name + ".node.out");
  return host.node_ != nullptr;
}

bool Cluster::PublishSample(const std::string& folder) {
  for (const char* section : {"development", "desk", "field", "finance"}) {
    const std::string path =
        std::string(SAMPLES_FOLDER) + "/" + folder + "/" + section + ".toml";
    if (!std::ifstream(path)) continue;
    const auto [code, output] =
        RunCtl({"publish", path, "--log", LogAddress(), "--section", section,
                "--author", section});
    if (code != 0) return false;
  }
  return true;
}

std::pair<int, std::string> Cluster::RunCtl(
    const std::vector<std::string>& arguments) {
  QProcess process;
  process.setProcessChannelMode(QProcess::MergedChannels);
  process.start(QString::fromStdString(programs_ + "/apps/ctl/jujubefront-ctl"),
                ToQt(arguments));
  if (!process.waitForFinished(2 * kStartTimeoutMs)) {
    KillProcess(&process);
    return {-1, "no end"};
  }
  return {process.exitCode(), process.readAll().toStdString()};
}

std::string Cluster::Status(const std::string& name) {
  const auto answer = caller_.Call({.address_ = ControlAddress(name),
                                    .path_ = "/status",
                                    .timeout_ = std::chrono::seconds(2)});
  return answer.status_ == 200 ? answer.body_ : "";
}

bool Cluster::WaitForAll(
    const std::function<bool(const std::string& status)>& check,
    Duration timeout) {
  QElapsedTimer timer;
  timer.start();
  for (const auto& [name, host] : hosts_) {
    if (host.node_ == nullptr || host.node_->state() == QProcess::NotRunning) {
      continue;
    }
    while (!check(Status(name))) {
      if (Duration(timer.nsecsElapsed() / 1000) > timeout) return false;
      QThread::msleep(kPollMs);
    }
  }
  return true;
}

bool Cluster::WaitServing(Duration timeout) {
  const std::size_t hosts = hosts_.size();
  return WaitForAll(
      [hosts](const std::string& status) {
        return ListsAllAsServing(status, hosts);
      },
      timeout);
}

void Cluster::SignalNode(const std::string& name, int signal) {
  if (!IsNodeRunning(name)) return;
  ::kill(static_cast<pid_t>(hosts_.at(name).node_->processId()), signal);
}

void Cluster::SignalBackend(const std::string& name, int signal) {
  ::kill(static_cast<pid_t>(hosts_.at(name).backend_->processId()), signal);
}

bool Cluster::IsNodeRunning(const std::string& name) const {
  return hosts_.at(name).node_->state() != QProcess::NotRunning;
}

int Cluster::WaitNodeExit(const std::string& name, Duration timeout) {
  QProcess& node = *hosts_.at(name).node_;
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
  const bool ended = node.state() == QProcess::NotRunning ||
                     node.waitForFinished(static_cast<int>(ms.count()));
  if (!ended || node.exitStatus() != QProcess::NormalExit) return -1;
  return node.exitCode();
}

std::string Cluster::HttpAddress(const std::string& name) const {
  return hosts_.at(name).ip_ + ":" + std::to_string(kHttpPort);
}

std::string Cluster::ControlAddress(const std::string& name) const {
  return hosts_.at(name).ip_ + ":" + std::to_string(kControlPort);
}

std::string Cluster::BackendAddress(const std::string& name) const {
  return hosts_.at(name).ip_ + ":" + std::to_string(kBackendPort);
}

std::string Cluster::Folder() const { return folder_.path().toStdString(); }

std::vector<std::string> Cluster::HostNames() const {
  std::vector<std::string> names;
  for (const auto& [name, host] : hosts_) names.push_back(name);
  return names;
}

std::vector<HostSpec> SmallBrolga() {
  struct Zone {
    const char* region_;
    const char* name_;
  };
  const Zone zones[] = {{"brisbane", "bne-a"},
                        {"brisbane", "bne-b"},
                        {"townsville", "tsv-a"},
                        {"townsville", "tsv-b"}};
  std::vector<HostSpec> hosts;
  for (const Zone& zone : zones) {
    const auto add = [&](const std::string& service, int slots,
                         std::vector<std::string> children) {
      hosts.push_back({.name_ = std::string(zone.name_) + "-" + service,
                       .region_ = zone.region_,
                       .zone_ = zone.name_,
                       .service_ = service,
                       .children_ = std::move(children),
                       .slots_ = slots});
    };
    add("repair-jobs", 10, {"warranty-records"});
    add("warranty-records", 40, {"dispatch"});
    add("dispatch", 40, {});
  }
  return hosts;
}

}  // namespace jujubefront
