#ifndef JUJUBEFRONT_STANDINS_PLATFORM_SIDECAR_HOSTS_H_
#define JUJUBEFRONT_STANDINS_PLATFORM_SIDECAR_HOSTS_H_

#include <QProcess>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "backend_standin.h"
#include "store_standin.h"

namespace jujubefront {

// A simulated host on loopback: a relay process and a backend server.
struct SidecarHost {
  std::string zone_;
  std::string region_;
  std::string service_;
  std::string ip_;
  // Addresses for the settings of the relay, such as those of proxies; empty:
  // the real address.
  std::string configured_store_;
  std::string configured_backend_;
  std::string configured_link_;
  std::unique_ptr<BackendStandin> backend_;
  std::unique_ptr<QProcess> process_;

  std::string clients() const { return ip_ + ":8304"; }
  std::string ready() const { return ip_ + ":8302"; }
  std::string control() const { return ip_ + ":8306"; }
  std::string app() const { return ip_ + ":8301"; }
  std::string link() const { return ip_ + ":8310"; }
  std::string metrics() const { return ip_ + ":8315"; }
};

// Configures a deployment.
struct SidecarHostsOptions {
  std::string program_;  // path of jujubefront-sidecar
  std::string service_ = "jobs";
  std::size_t hosts_ = 2;
  std::uint32_t slots_ = 16;
  // One in this many successful requests is logged step by step.
  std::uint32_t trace_sample_ = 64;
  std::uint32_t memory_mb_ = 260;
  std::uint32_t max_descriptors_ = 4096;
};

// A store, and hosts that each run a relay process beside a backend server.
// Kills only the processes that it started.
class SidecarHosts {
 public:
  explicit SidecarHosts(SidecarHostsOptions options);
  ~SidecarHosts();

  // Starts everything; false when a relay does not become ready in time.
  bool Start();
  void StartProcess(SidecarHost& host);

  std::string StoreAddress() const;
  // The folder of settings and logs; the destructor removes it.
  const std::string& folder() const { return folder_; }
  StoreStandin& store() { return store_; }
  std::vector<SidecarHost>& hosts() { return hosts_; }

 private:
  std::string SettingsText(const SidecarHost& host) const;

  SidecarHostsOptions options_;
  std::string network_;
  std::string folder_;
  StoreStandin store_;
  std::vector<SidecarHost> hosts_;
};

// Runs the event loop until the condition holds; false after the timeout.
bool WaitUntil(Duration timeout, const std::function<bool()>& condition);

// Sends one request and waits for its response. Status 0: the connection closed
// or the timeout passed without a response.
Http1Response Fetch(const std::string& address, const Http1Request& request,
                    Duration timeout = std::chrono::seconds(5));

// Returns a document in the format of the platform: the idempotent route
// "/read/", the non-idempotent route "/book/" and any extra routes.
std::string SampleDocument(std::uint64_t version, const std::string& service,
                           const std::string& extra_routes = "");

}  // namespace jujubefront

#endif  // JUJUBEFRONT_STANDINS_PLATFORM_SIDECAR_HOSTS_H_
