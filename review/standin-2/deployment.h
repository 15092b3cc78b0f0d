#ifndef JUJUBEFRONT_REVIEW_STANDIN_2_DEPLOYMENT_H_
#define JUJUBEFRONT_REVIEW_STANDIN_2_DEPLOYMENT_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http.h"

// A small deployment of jujubefront-sidecar processes on loopback addresses.
namespace review {

// Writes record.txt, a line an event, with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path);
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_ = Clock::now();
};

// The platform's store: keyed topics in memory, long polls that end early when
// a record arrives.
class Store {
 public:
  Store();
  bool Listen(const std::string& address) { return server_.Listen(address); }
  void Put(const std::string& topic, const std::string& key,
           const std::string& value);
  void Stop();

 private:
  struct Topic {
    std::vector<std::string> records_;  // as appended, without their lengths
    std::map<std::string, std::pair<std::string, std::size_t>> newest_;
  };

  void Serve(Stream& stream, const std::atomic<bool>& stop);
  std::string Answer(const Request& request, const std::atomic<bool>& stop);
  std::string Newest(const std::string& topic);
  std::string Read(const Request& request, const std::atomic<bool>& stop);
  void Append(const std::string& topic, const std::string& content);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Topic> topics_;
  bool stopped_ = false;
  Server server_;
};

// A machine of the deployment: a sidecar process and, beside it, the target
// that a test serves at app().
struct Host {
  std::string name_;
  std::string ip_;
  std::string zone_;
  std::string region_;
  std::string service_;
  std::string instance_;
  std::uint32_t slots_ = 48;
  std::int64_t born_ = 0;
  pid_t process_ = -1;
  std::atomic<std::uint64_t> sequence_ = 0;
  std::atomic<bool> beats_ = true;
  std::atomic<bool> draining_ = false;
  std::unique_ptr<Server> target_;

  std::string clients() const { return ip_ + ":8304"; }
  std::string ready() const { return ip_ + ":8302"; }
  std::string control() const { return ip_ + ":8306"; }
  std::string app() const { return ip_ + ":8301"; }
};

struct HostOptions {
  std::string zone_;
  std::string region_;
  std::string service_;
  std::uint32_t slots_ = 48;
};

class Deployment {
 public:
  // `folder` takes settings and logs of the processes.
  Deployment(std::string folder, const std::vector<HostOptions>& hosts,
             Record& record);
  ~Deployment();

  Host& host(std::size_t index) { return *hosts_.at(index); }
  std::size_t size() const { return hosts_.size(); }
  Store& store() { return store_; }
  // The handler serves the connections of the host's target.
  void SetTarget(std::size_t index, Server::Handler handler);
  // Starts everything; false if a sidecar does not become ready, or no request
  // for `probe_path` is served at each host, in time.
  bool Start(const std::string& document, const std::string& probe_path);
  void StartProcess(Host& host);
  // Resident memory of a process in KB; 0: it has ended.
  static std::size_t ResidentKb(const Host& host);
  // Whether the process still runs. Logs how it has ended.
  bool IsRunning(Host& host);
  // Sends a heartbeat as the target would; returns the status of its answer.
  int SendHeartbeat(Host& host, bool draining);

 private:
  void Beat(Host& host);
  bool WaitUntilServing(Host& host, const std::string& probe_path);

  std::string folder_;
  Record& record_;
  std::string network_;
  Store store_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<std::thread> threads_;
  std::atomic<bool> stop_ = false;
};

// The operators' document: for each service NAME the routes /read-NAME/
// (idempotent), /export-NAME/ (download) and /book-NAME/ (non-idempotent) of
// the host test.example.
std::string MakeDocument(std::uint64_t version,
                         const std::vector<std::string>& services,
                         const std::string& timeout);

// Machines of a small deployment: four zones in two regions, and in each of
// them a target of each service.
std::vector<HostOptions> SmallDeployment(
    const std::vector<std::string>& services);

// Value of memory_mb in the settings of each machine.
inline constexpr std::size_t kMemoryMb = 260;

// Answer of a target to a request that it has run.
std::string TargetAnswer(const Request& request, const std::string& body);

// Answers a health check of the host's target, and a request without an id,
// which a target rejects. Returns false for any other request.
bool AnswerUnrun(const Host& host, const Request& request, Stream& stream);

// Headers of an ordinary client request.
HeaderList ClientHeaders(const std::string& id, int deadline_ms);

// Sends one request on a connection of its own.
Response Fetch(const std::string& address, const Request& request,
               std::chrono::milliseconds timeout);

// 1: with the disruption, 0: without it, by the variable TROUBLE.
bool WithTrouble();

// Ends the case, and the processes that it has started, after this time or at a
// signal, with the exit code of a case that could not run.
void LimitRunTime(unsigned seconds);

}  // namespace review

#endif  // JUJUBEFRONT_REVIEW_STANDIN_2_DEPLOYMENT_H_
