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
#include "relaymodel/document_audit.h"
#include "relaymodel/fleet_types.h"

namespace jujubefront {

// Runs the relays of a fleet in virtual time. The network, the backend servers
// and the store are simulated; the same seed gives the same run.
class FleetSimulator {
 public:
  // Receives the answer to a request; status 0: the connection was lost.
  using AnswerHandler = std::function<void(const Http1Response& response)>;

  FleetSimulator(const Fleet& fleet, const FleetPolicy& policy,
                 std::uint64_t seed);

  // Runs the action at this virtual time.
  void At(Timestamp time, std::function<void()> action);
  void RunUntil(Timestamp end);

  // Sends a request to the relay of a host; the handler receives the answer.
  void Send(std::size_t host, const FleetRoute& route, std::string trace_id,
            std::string body, Duration remaining, AnswerHandler handler);

  // A run with this body crashes the backend server that starts it. A run with
  // the body CarrierOf(body) is harmless but makes calls with this body.
  void AddCrashingBody(const std::string& body);
  static std::string CarrierOf(const std::string& body);
  struct CrashingRuns {
    std::vector<Timestamp> run_starts_;
    std::vector<Timestamp> backend_crashes_;
  };
  const std::map<std::string, CrashingRuns>& crashing_bodies() const {
    return crashing_bodies_;
  }

  // Ends a host's backend server; its next incarnation starts a few seconds
  // later. The relay keeps running.
  void CrashBackend(std::size_t host);

  // Ends a host's relay and backend server, until Restart().
  void Kill(std::size_t host);
  // From now on all backend servers of the service reject this share of the
  // requests that arrive.
  void SetRejection(const std::string& service, double share) {
    rejections_[service] = share;
  }
  // Starts a killed host with new processes that know nothing of before.
  void Restart(std::size_t host);
  // Starts only the relay of a killed host anew: its backend server has kept
  // running.
  void RestartRelay(std::size_t host);
  // The backend server of a host sends no more heartbeats, and a call by which
  // it leaves; it goes on serving.
  void Leave(std::size_t host);
  // A heartbeat arrives that it sent before it left.
  void DeliverLateHeartbeat(std::size_t host);
  // What became of the backend servers that have left.
  struct Departures {
    std::vector<Duration> acknowledged_after_;
    std::uint64_t late_runs_ = 0;  // started later than kDrain after that
  };
  static constexpr Duration kDrain = std::chrono::milliseconds(2500);
  const Departures& departures() const { return departures_audit_; }
  // From now on the backend server of a host names this rate limit in its
  // answers; nullopt: none.
  void SetRateLimit(std::size_t host, std::optional<double> per_second);
  // Largest use of a rate limit so far, see FleetResult::rate_limit_use_.
  double rate_limit_use() const { return rate_limit_use_; }
  // Starts or ends a network partition between this zone and all others.
  void SetPartitioned(const std::string& zone, bool partitioned);

  // The operator appends a document of this version to the store.
  void PutDocument(std::uint64_t version);
  void RestoreStore(const FleetStoreRestore& restore);
  // Disturbs all hosts that read the store, and all others but some. Returns
  // the hosts, for EndReaderFault().
  std::vector<std::size_t> BeginReaderFault(const FleetReaderFault& fault);
  void EndReaderFault(ReaderFault fault, const std::vector<std::size_t>& hosts);
  // Records the versions in force; to be called regularly.
  void AuditDocuments();
  const DocumentAudit& document_audit() const { return document_audit_; }
  // Whether all relays have this version or a later one in force.
  bool IsInForce(std::uint64_t version) const;
  std::uint64_t store_calls() const { return store_calls_; }

  Timestamp now() const { return now_; }
  RandomState& random() { return random_; }
  const Fleet& fleet() const { return fleet_; }
  std::uint64_t runs() const { return runs_; }
  // Requests that arrived at the backend servers of a service, and those among
  // them that had arrived at one before.
  struct Arrivals {
    std::uint64_t all_ = 0;
    std::uint64_t repeated_ = 0;
  };
  const std::map<std::string, Arrivals>& arrivals() const { return arrivals_; }
  std::uint64_t region_crossings() const;
  // Requests and calls with a harmless content that a relay refused as suspect.
  std::uint64_t harmless_refused() const { return harmless_refused_; }
  struct NoticeCounts {
    std::uint64_t notices_ = 0;
    std::uint64_t charges_ = 0;  // including clearances
  };
  const NoticeCounts& notices() const { return notices_; }
  std::uint64_t charge_writes() const { return charge_writes_; }

  // Sets a handler that is called at the end of every run with the id of the
  // client's request and the time for which the run held its slot.
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

  void Start(std::size_t index, bool keeps_backend = false);
  void Feed(std::size_t index, RelayEventBody body);
  // Carries out the effects of one step of the relay.
  void ApplyEffects(std::size_t index, std::vector<RelayEffect> effects);
  void ScheduleWake(std::size_t index);
  void SendHeartbeat(std::size_t index);
  std::string InstanceOf(std::size_t index) const;
  BackendHeartbeat MakeHeartbeat(std::size_t index);
  Duration Latency(std::size_t from, std::size_t to) const;
  bool IsPartitioned(std::size_t from, std::size_t to) const;
  std::size_t IndexOf(const std::string& address) const;
  // Used without relays: sends the request to a random host of its service.
  void SendWithoutRelays(const FleetRoute& route, std::string trace_id,
                         Duration remaining, std::size_t from,
                         AnswerHandler handler);
  // The store does not answer a call of a host, which therefore fails after
  // this time. Returns false if it does answer.
  bool LoseStoreCall(std::size_t index, StoreCall call, Duration wait,
                     bool new_connection = false);
  // Reports a lost call to its host, unless it has given the call up by then.
  void FailStoreCall(std::size_t index, StoreCall call, Duration wait);
  void LoseWaitingPoll(std::size_t index);
  void ReadNewestDocument(std::size_t index, const ReadTable& read);
  void PollDocuments(std::size_t index, const AwaitTable& poll);
  // Answers a poll with the documents from its offset on.
  void AnswerPoll(std::uint64_t poll_id);
  void Enqueue(std::size_t index, Run run);
  void StartNext(std::size_t index);

  void BeginRun(std::size_t index, StartRun& start);
  // Counts an arrival; returns true if the backend server rejects it.
  bool Rejects(std::size_t index, const std::string& trace_id);
  void RecordCrashingRun(std::size_t index, const std::string& body);
  // A run starts, works and calls in turns, and ends.
  void PrepareRun(std::size_t index, Run& run);
  void ContinueRun(std::size_t index, std::uint64_t run_id);
  // Ends a run; with status 0 without a response.
  void EndRun(std::size_t index, std::uint64_t run_id, int status);
  RouteTable MakeTable(std::uint64_t version) const;

  Fleet fleet_;
  FleetPolicy policy_;
  RandomState random_;
  Timestamp now_{std::chrono::seconds(1000)};
  std::uint64_t last_event_number_ = 0;
  std::uint64_t last_request_ = 0;
  std::uint64_t last_run_ = 0;  // id; used without relays
  std::uint64_t region_crossings_ = 0;
  std::uint64_t runs_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<std::shared_ptr<Node>> nodes_;
  std::map<std::string, std::size_t> by_address_;
  std::unordered_map<std::uint64_t, AnswerHandler>
      answer_handlers_;                  // by request id
  std::vector<Connection> connections_;  // by id, never reused
  std::set<std::string> partitioned_zones_;
  std::set<std::size_t> cut_off_hosts_;
  std::map<std::string, double> rejections_;  // share by service
  std::map<std::string, Arrivals> arrivals_;
  std::map<std::string, CrashingRuns> crashing_bodies_;
  std::set<std::string> crashing_fingerprints_;  // of target and body
  std::uint64_t harmless_refused_ = 0;
  NoticeCounts notices_;
  // Versions of the documents in the store, by offset, and the calls that wait
  // for later ones.
  std::vector<std::uint64_t> documents_{1};
  std::uint64_t store_era_ = 1;  // number of its restores, plus one
  struct Poll {
    std::size_t host_ = 0;
    std::uint64_t process_ = 0;
    std::uint64_t from_ = 0;
    Timestamp fails_at_;  // without an answer until then
  };
  std::map<std::uint64_t, Poll> polls_;
  std::uint64_t last_poll_ = 0;
  std::uint64_t store_calls_ = 0;
  DocumentAudit document_audit_;
  // What the store keeps for condemned contents; it outlives all hosts.
  struct SavedCharges {
    Timestamp at_;
    std::vector<ContentCharge> charges_;
  };
  std::map<Fingerprint, SavedCharges> saved_charges_;
  std::uint64_t charge_writes_ = 0;
  Departures departures_audit_;
  // Departures that the store keeps, by host.
  std::map<std::size_t, std::vector<Departure>> saved_departures_;
  std::set<std::string> arrived_trace_ids_;  // trace ids
  double rate_limit_use_ = 0.0;
  std::function<void(const std::string&, Duration)> on_run_end_ =
      [](const auto&, Duration) {};
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAYMODEL_FLEET_SIMULATOR_H_
