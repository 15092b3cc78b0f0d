#ifndef JUJUBEFRONT_RELAYMODEL_FLEET_SIMULATOR_H_
#define JUJUBEFRONT_RELAYMODEL_FLEET_SIMULATOR_H_

#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "relay/relay.h"
#include "relaymodel/fleet_types.h"

namespace jujubefront {

// The relays of a fleet in virtual time. Network, backend servers and the
// store are models; a run repeats from its seed.
class RelayWorld {
 public:
  using AnswerHandler = std::function<void(const Http1Response& response)>;

  RelayWorld(const Fleet& fleet, const FleetPolicy& policy, std::uint64_t seed);

  void At(Timestamp time, std::function<void()> action);
  void RunUntil(Timestamp end);

  // Sends a request to the relay of a host; the handler gets its answer.
  void Send(std::size_t host, const FleetRoute& route, std::string trace_id,
            std::string body, Duration remaining, AnswerHandler handler);

  // Runs with this body end the backend server that begins them; so do, when
  // it is `carried`, the calls of the runs with the body CarrierOf(body).
  void AddCrashingBody(const std::string& body);
  static std::string CarrierOf(const std::string& body);
  struct CrashingRuns {
    std::vector<Timestamp> began_;
    std::vector<Timestamp> ended_;  // backend servers
  };
  const std::map<std::string, CrashingRuns>& crashing_bodies() const {
    return crashing_bodies_;
  }

  // Ends a host's backend server; another incarnation follows. The relay
  // stays.
  void CrashBackend(std::size_t host);

  // Ends a host's relay and backend server, and starts both again.
  void Kill(std::size_t host);
  // From now on all backend servers of the service reject this share of what
  // arrives.
  void SetRejection(const std::string& service, double share) {
    rejections_[service] = share;
  }
  void Restart(std::size_t host);
  // From now on nothing passes between this zone and the others, or does again.
  void SetCut(const std::string& zone, bool cut);

  Timestamp now() const { return now_; }
  RandomState& random() { return random_; }
  const Fleet& fleet() const { return fleet_; }
  std::uint64_t runs() const { return runs_; }
  // Arrivals at the backend servers of each service, and those of a request
  // that had arrived at one before.
  struct Arrivals {
    std::uint64_t all_ = 0;
    std::uint64_t repeated_ = 0;
  };
  const std::map<std::string, Arrivals>& arrivals() const { return arrivals_; }
  std::uint64_t region_crossings() const;
  // Requests and calls, other than of a crashing content, that a relay refused
  // as if theirs were one.
  std::uint64_t innocents_refused() const { return innocents_refused_; }
  struct NoticeCounts {
    std::uint64_t notices_ = 0;
    std::uint64_t charges_ = 0;  // with clearances
  };
  const NoticeCounts& notices() const { return notices_; }

  // Called at the end of every run with the id of its client's request and
  // the time for which it held its slot.
  void OnRunEnd(
      std::function<void(const std::string& root, Duration held)> handler) {
    on_run_end_ = std::move(handler);
  }

 private:
  struct Node;
  struct Run;
  struct Connection {
    std::size_t from_ = 0;
    std::size_t to_ = 0;
    bool open_ = false;
  };
  struct EffectRunner;
  struct Event {
    Timestamp time_;
    std::uint64_t number_ = 0;
    std::shared_ptr<std::function<void()>> action_;
    bool operator>(const Event& other) const {
      return std::tie(time_, number_) > std::tie(other.time_, other.number_);
    }
  };

  void Start(std::size_t index);
  void Feed(std::size_t index, RelayEventBody body);
  void Carry(std::size_t index, std::vector<RelayEffect> effects);
  void ArmWake(std::size_t index);
  void SendHeartbeat(std::size_t index);
  Duration Latency(std::size_t from, std::size_t to) const;
  bool IsCut(std::size_t from, std::size_t to) const;
  std::size_t IndexOf(const std::string& address) const;
  // Without relays.
  void Forward(const FleetRoute& route, std::string trace_id,
               Duration remaining, std::size_t from, AnswerHandler handler);
  void Enqueue(std::size_t index, Run run);
  void StartNext(std::size_t index);

  void BeginRun(std::size_t index, StartRun& start);
  // Counts an arrival; true when the backend server rejects it.
  bool Rejects(std::size_t index, const std::string& trace_id);
  void NoteCrashingRun(std::size_t index, const std::string& body);
  void PrepareRun(std::size_t index, Run& run);
  void ContinueRun(std::size_t index, std::uint64_t run_id);
  void EndRun(std::size_t index, std::uint64_t run_id, int status);
  RouteTable MakeTable() const;

  Fleet fleet_;
  FleetPolicy policy_;
  RandomState random_;
  Timestamp now_{std::chrono::seconds(1000)};
  std::uint64_t last_number_ = 0;
  std::uint64_t last_request_ = 0;
  std::uint64_t last_run_ = 0;  // without relays
  std::uint64_t region_crossings_ = 0;
  std::uint64_t runs_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<std::shared_ptr<Node>> nodes_;
  std::map<std::string, std::size_t> by_address_;
  std::unordered_map<std::uint64_t, AnswerHandler> waiting_;  // by request
  std::vector<Connection> connections_;  // by id, never reused
  std::set<std::string> cut_zones_;
  std::map<std::string, double> rejections_;  // share by service
  std::map<std::string, Arrivals> arrivals_;
  std::map<std::string, CrashingRuns> crashing_bodies_;
  std::set<std::string> crashing_prints_;  // their fingerprints, with the route
  std::uint64_t innocents_refused_ = 0;
  NoticeCounts notices_;
  std::set<std::string> arrived_;  // ids of requests
  std::function<void(const std::string&, Duration)> on_run_end_ =
      [](const auto&, Duration) {};
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAYMODEL_FLEET_SIMULATOR_H_
