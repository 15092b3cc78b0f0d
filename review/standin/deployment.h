#ifndef JUJUBEFRONT_REVIEW_STANDIN_DEPLOYMENT_H_
#define JUJUBEFRONT_REVIEW_STANDIN_DEPLOYMENT_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

#include "http.h"

namespace review {

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// Writes record.txt: what was sent, answered and run, with seconds since the
// start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Write(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_ = Clock::now();
};

// Accepts connections and serves each one in a thread.
class Server {
 public:
  Server() = default;
  virtual ~Server() { Stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  bool Start(const std::string& address);
  // Closes the listener and all connections, and waits for their threads.
  void Stop();

 protected:
  // Serves a connection until it ends.
  virtual void Serve(Stream& stream) = 0;
  bool stopping() const { return stopping_; }

 private:
  struct Client {
    Stream stream_;
    std::thread thread_;
  };

  void Accept();

  int listener_ = -1;
  std::atomic<bool> stopping_ = false;
  std::thread accept_thread_;
  std::mutex clients_mutex_;
  std::list<Client> clients_;
};

// The platform's store: keyed topics with one partition.
class Store : public Server {
 public:
  ~Store() override { Stop(); }
  void Append(const std::string& topic, const std::string& key,
              const std::string& value);

 protected:
  void Serve(Stream& stream) override;

 private:
  struct Entry {
    std::string key_;
    std::string value_;
  };

  std::string Answer(const Message& request);
  std::string Newest(const std::string& topic);
  std::string Read(const std::string& topic, std::uint64_t from, Millis wait);

  std::mutex mutex_;
  std::condition_variable appended_;
  std::map<std::string, std::vector<Entry>> topics_;
};

struct TargetOptions {
  std::string id_;
  std::string service_;
  std::string zone_;
  std::string address_;
  std::string control_;  // of the sidecar on its machine
  int slots_ = 48;
  Millis heartbeat_{1500};
};

// What a target does with a request that it runs.
struct TargetReply {
  std::string body_ = "ok";
  Millis work_{0};
  // Sent in place of an answer, after which the connection is closed.
  std::string garbage_;
};

// A sound application target, unless its handler makes it faulty.
class Target : public Server {
 public:
  using Handler = std::function<TargetReply(const Message& request)>;

  Target(TargetOptions options, Record& record, Handler handler);
  ~Target() override;

  bool Begin();
  // Ends without a word, as at the end of its planned stop.
  void End();

  // Text of a heartbeat with the next sequence number.
  std::string NextHeartbeat(const std::string& state);
  std::string LeaveText();
  // Sends a call to the sidecar; true if it is acknowledged within a second.
  bool Call(const std::string& text) const;
  void StopHeartbeats() { heartbeats_ = false; }

  int acknowledged() const { return acknowledged_; }
  const std::string& id() const { return options_.id_; }
  const TargetOptions& options() const { return options_; }

  // Runs that began, by request id.
  std::map<std::string, int> runs();
  // Time and id of each run that began, in order.
  std::vector<std::pair<Clock::time_point, std::string>> run_times();

 protected:
  void Serve(Stream& stream) override;

 private:
  void Beat();

  TargetOptions options_;
  Record& record_;
  Handler handler_;
  std::int64_t born_ms_ = 0;
  std::atomic<std::uint64_t> sequence_ = 0;
  std::atomic<int> running_ = 0;
  std::atomic<int> acknowledged_ = 0;
  std::atomic<bool> heartbeats_ = true;
  std::atomic<bool> ended_ = false;
  std::thread beat_thread_;
  std::mutex runs_mutex_;
  std::vector<std::pair<Clock::time_point, std::string>> runs_;
};

// How a request of a client ended.
struct Result {
  Message answer_;
  bool sent_ = false;  // the whole request was written
  bool kept_ = false;  // on a connection that had served a request before
  // Sent whole, and the connection ended without a complete answer.
  bool cut_off_ = false;
  bool timed_out_ = false;
  Millis took_{0};
};

// A client on a machine. Keeps its connection open between requests.
class Client {
 public:
  explicit Client(std::string address) : address_(std::move(address)) {}

  // How it reads answers; set before the first request.
  struct Reading {
    int receive_buffer_ = 0;       // SO_RCVBUF in bytes; 0: the system's
    int segment_ = 0;              // TCP_MAXSEG in bytes; 0: the system's
    std::size_t bytes_per_s_ = 0;  // 0: as fast as they come
  };
  void SetReading(const Reading& reading) { reading_ = reading; }

  Result Send(const std::string& method, const std::string& target,
              const std::string& id, Millis deadline,
              const std::string& body = "", const HeaderList& more = {});

 private:
  std::string address_;
  Reading reading_;
  Stream stream_;
  bool kept_ = false;
};

// A machine: a sidecar process and the target beside it.
struct Machine {
  std::string name_;
  std::string zone_;
  std::string service_;
  std::string ip_;
  std::string clients_;
  std::string ready_;
  std::string control_;
  std::string app_;
  pid_t process_ = 0;  // 0: not running
  std::unique_ptr<Target> target_;
};

struct MachineOptions {
  std::string service_;
  std::string zone_;
  Target::Handler handler_;
  int slots_ = 48;
};

struct Route {
  std::string prefix_;
  bool idempotent_ = true;
  std::string service_;
  Millis timeout_{5000};
};

inline constexpr std::uint64_t kMaxBodyBytes = 67108864;

// A store and machines on loopback addresses, with the bounds of the sites
// brolga-mesh and fuktlan-prod.
class Deployment {
 public:
  Deployment(Record& record, std::vector<MachineOptions> machines);
  ~Deployment();

  // Starts everything and waits until every machine is ready and in touch.
  bool Start(const std::vector<Route>& routes,
             std::uint64_t max_body_bytes = kMaxBodyBytes);
  // The operator's next version of the document, acknowledged by the store.
  void PutDocument(const std::vector<Route>& routes,
                   std::uint64_t max_body_bytes = kMaxBodyBytes);

  Store& store() { return store_; }
  Machine& machine(std::size_t index) { return machines_.at(index); }
  std::size_t size() const { return machines_.size(); }

  void StartSidecar(Machine& machine);
  void Signal(const Machine& machine, int signal) const;
  // Waits for the end of a sidecar; its wait status, nullopt after the timeout.
  std::optional<int> WaitForEnd(Machine& machine, Millis timeout) const;
  bool IsReady(const Machine& machine) const;

 private:
  std::string SettingsText(const Machine& machine) const;

  Record& record_;
  std::string folder_;
  std::string store_address_;
  int first_port_ = 0;
  int version_ = 0;
  Store store_;
  std::vector<Machine> machines_;
};

// A document of the operator.
std::string DocumentText(int version, const std::vector<Route>& routes,
                         const std::vector<std::string>& services,
                         std::uint64_t max_body_bytes = kMaxBodyBytes);

// False if the variable TROUBLE is 0.
bool HasTrouble();

inline constexpr const char* kHost = "hulo84.example";

}  // namespace review

#endif  // JUJUBEFRONT_REVIEW_STANDIN_DEPLOYMENT_H_
