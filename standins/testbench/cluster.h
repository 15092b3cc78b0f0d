#ifndef JUJUBEFRONT_STANDINS_TESTBENCH_CLUSTER_H_
#define JUJUBEFRONT_STANDINS_TESTBENCH_CLUSTER_H_

#include <QProcess>
#include <QTemporaryDir>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/time_types.h"
#include "http_caller.h"

namespace jujubefront {

// Describes a host with a backend server and a node.
struct HostSpec {
  std::string name_;
  std::string region_;
  std::string zone_;
  std::string service_;
  std::vector<std::string> children_;
  int slots_ = 40;
  std::chrono::microseconds work_ = std::chrono::milliseconds(2);
};

struct ClusterOptions {
  // TOML text that is added to the settings of every node.
  std::string extra_settings_;
  // Whether nodes and backend servers write journals to the folder.
  bool journals_ = false;
};

// Runs a shared log, backend servers and nodes as processes on separate
// loopback addresses. The destructor kills the processes that it started.
class Cluster {
 public:
  explicit Cluster(ClusterOptions options = {});
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // Starts the shared log and waits until it answers; false if it does not.
  bool StartLog();

  // Starts the backend server and the node of a host.
  bool StartHost(const HostSpec& spec);
  bool StartNode(const std::string& name);
  // Starts the node of a host without a backend server.
  bool StartNodeOnly(const HostSpec& spec);
  std::vector<qint64> NodeProcesses() const;

  // Publishes every section of a sample document with jujubefront-ctl.
  bool PublishSample(const std::string& folder);

  // Waits until a check holds for every running node, one after the other;
  // false after the timeout.
  bool WaitForAll(const std::function<bool(const std::string& status)>& check,
                  Duration timeout);
  // Waits until every node lists all hosts as serving.
  bool WaitServing(Duration timeout);

  // Sends a signal to the node or the backend server of a host.
  void SignalNode(const std::string& name, int signal);
  void SignalBackend(const std::string& name, int signal);
  bool IsNodeRunning(const std::string& name) const;
  // Waits until a node exits and returns its exit code; -1 after the timeout or
  // a crash.
  int WaitNodeExit(const std::string& name, Duration timeout);

  std::string HttpAddress(const std::string& name) const;
  std::string ControlAddress(const std::string& name) const;
  std::string BackendAddress(const std::string& name) const;
  std::string LogAddress() const;
  std::string Folder() const;
  // Keeps settings, outputs and journals after the destructor.
  void KeepFolder() { folder_.setAutoRemove(false); }
  std::vector<std::string> HostNames() const;
  // Runs jujubefront-ctl; returns its exit code and its output.
  std::pair<int, std::string> RunCtl(const std::vector<std::string>& arguments);
  // Returns the status page of a node, or empty text if it does not answer.
  std::string Status(const std::string& name);

 private:
  struct Host {
    HostSpec spec_;
    std::string ip_;
    std::unique_ptr<QProcess> backend_;
    std::unique_ptr<QProcess> node_;
  };

  std::unique_ptr<QProcess> Launch(const std::string& program,
                                   const std::vector<std::string>& arguments,
                                   const std::string& output);
  std::string WriteSettings(const Host& host) const;
  std::string NextIp();

  ClusterOptions options_;
  QTemporaryDir folder_;
  std::string programs_;
  std::string network_;
  int last_host_ = 0;
  std::string log_ip_;
  std::unique_ptr<QProcess> log_;
  std::map<std::string, Host> hosts_;
  HttpCaller caller_;
};

// The sample system Brolga at small size: two regions of two availability
// zones, a chain of repair jobs, warranty records and dispatch in each zone.
std::vector<HostSpec> SmallBrolga();

}  // namespace jujubefront

#endif  // JUJUBEFRONT_STANDINS_TESTBENCH_CLUSTER_H_
