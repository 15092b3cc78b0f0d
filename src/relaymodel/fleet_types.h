#ifndef JUJUBEFRONT_RELAYMODEL_FLEET_TYPES_H_
#define JUJUBEFRONT_RELAYMODEL_FLEET_TYPES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time_types.h"
#include "relay/relay_types.h"

namespace jujubefront {

// Calls of one route that a run makes, one after the other.
struct FleetCall {
  std::string route_;
  int count_ = 1;
};

// A route and the work that a request for it causes.
struct FleetRoute {
  std::string name_;
  std::string service_;
  bool idempotent_ = true;
  std::uint32_t priority_ = 0;        // 0 is the most important
  Duration work_ = Duration::zero();  // of a run, without its calls
  Duration objective_ = Duration::zero();
  Duration deadline_ = Duration::zero();
  double worth_ = 0.0;  // value of an answer within the objective
  double per_second_ =
      0.0;  // requests of all clients at the base rate; 0: only called
  std::vector<FleetCall> calls_;
};

struct FleetHost {
  std::string zone_;
  std::string region_;
  std::string service_;
  std::uint32_t slots_ = 0;
  double slowness_ = 1.0;  // factor on the duration of a run's work
};

// A deployment: hosts, routes and network latencies.
struct Fleet {
  std::string name_;
  std::vector<FleetHost> hosts_;
  std::vector<FleetRoute> routes_;
  Duration zone_latency_ = std::chrono::microseconds(1400);  // one way
  Duration region_latency_ = std::chrono::milliseconds(30);
};

// How requests are handled; policies are compared with each other.
struct FleetPolicy {
  std::string name_;
  bool admits_at_entry_ = true;  // otherwise each host limits only its own load
  bool uses_priorities_ = true;  // otherwise all requests are equal
  // Otherwise what one region does not admit is refused, whatever slots the
  // other has free.
  bool overflows_to_other_regions_ = true;
  // Without relays, a request is sent to a random host of its service and waits
  // there in order of arrival. If max_waiting_ requests wait already, it is
  // answered with 503.
  bool without_relays_ = false;
  std::uint32_t max_waiting_ = 1U << 30;
};

// A period in which demand is multiplied.
struct FleetSurge {
  Duration from_ = Duration::zero();
  Duration to_ = Duration::zero();
  double factor_ = 1.0;
};

// A period in which all backend servers of a service reject a share of the
// requests that arrive.
struct FleetRejection {
  std::string service_;
  Duration from_ = Duration::zero();
  Duration to_ = Duration::zero();
  double share_ = 0.0;
};

// A content that crashes every backend server that starts to run it. Clients
// send it repeatedly, with a new id each time, to random hosts.
struct FleetCrashingContent {
  std::string route_;
  Duration from_ = Duration::zero();
  Duration to_ = Duration::zero();
  Duration every_ = std::chrono::seconds(1);
  // The requests themselves are harmless, but the calls that their runs make
  // have the content.
  bool by_call_ = false;
  // It is sent only through relays of this service's hosts; empty: of all
  // hosts.
  std::string caller_;
};

// A share of the backend servers of a service crash, whatever they run.
struct FleetCrash {
  std::string service_;
  Duration at_ = Duration::zero();
  double share_ = 0.0;
};

// On a share of the hosts, relay and backend server end at the same time. They
// start again a second later without their previous state.
struct FleetRestart {
  Duration at_ = Duration::zero();
  double share_ = 0.0;
  std::string service_;  // only hosts of this service; empty: all
  // The backend servers keep running.
  bool relays_only_ = false;
};

// A period in which a share of the backend servers of a service name a rate
// limit in their answers. The same servers are drawn in every period.
struct FleetRateLimit {
  std::string service_;
  Duration from_ = Duration::zero();
  Duration to_ = Duration::zero();
  double share_ = 1.0;
  double per_second_ = 0.0;  // of each server
};

// A network partition between a zone and all others.
struct FleetPartition {
  std::string zone_;
  Duration from_ = Duration::zero();
  Duration to_ = Duration::zero();
};

// The operator appends a new document to the store.
struct FleetDocument {
  Duration at_ = Duration::zero();
  std::uint64_t version_ = 0;  // the first document has version 1
};

// The store comes back from a copy that lacks its latest records.
struct FleetStoreRestore {
  Duration at_ = Duration::zero();
  std::size_t lost_ = 0;  // documents
  // The operator appends the latest document again, at once.
  bool written_again_ = true;
  // The calls that wait at the store end without an answer. Otherwise they wait
  // on, for an offset of before.
  bool breaks_calls_ = false;
};

// How the nodes that read the store are disturbed.
enum class ReaderFault : std::uint8_t {
  kSilentStore,  // the store does not answer them
  kFrozen,       // their processes stand still
  kCutOff,       // they reach the store, but no other host
  // Open connections to the store fall silent for good; new ones work.
  kSilentConnections,
};

// A period in which all nodes that read the store when it begins are disturbed
// together, and all other hosts but some.
struct FleetReaderFault {
  ReaderFault fault_ = ReaderFault::kSilentStore;
  Duration from_ = Duration::zero();
  Duration to_ = Duration::zero();
  std::size_t spared_ = 1000;  // hosts that are no readers
};

struct FleetRunOptions {
  std::uint64_t seed_ = 1;
  Duration length_ = std::chrono::seconds(20);
  std::vector<FleetSurge> surges_;
  std::vector<FleetRejection> rejections_;
  std::vector<FleetCrashingContent> crashing_contents_;
  std::vector<FleetCrash> crashes_;
  std::vector<FleetRestart> restarts_;
  std::vector<FleetPartition> partitions_;
  std::vector<FleetRateLimit> rate_limits_;
  std::vector<FleetDocument> documents_;  // in order
  std::vector<FleetStoreRestore> store_restores_;
  std::vector<FleetReaderFault> reader_faults_;
  // All requests of a route have the same content; otherwise no two do.
  bool identical_requests_ = true;
  double base_factor_ = 1.0;
  double honours_retry_after_ = 0.5;  // share of clients; the others retry soon
  int retries_ = 1;                   // of a client request
};

// Outcomes of the client requests of one route. A request counts once, with all
// its attempts; its time counts from the first.
struct FleetRouteResult {
  std::uint64_t requested_ = 0;
  std::uint64_t in_time_ = 0;
  std::uint64_t late_ = 0;
  std::uint64_t refused_ = 0;  // last attempt answered with 503
  std::uint64_t failed_ = 0;
};

// Effects of one crashing content.
struct FleetCrashingResult {
  std::uint64_t sent_ = 0;  // by clients
  std::uint64_t runs_ = 0;  // started
  std::uint64_t backend_crashes_ = 0;
  // Runs started later than kCondemnationGrace after the third crash.
  std::uint64_t runs_late_ = 0;
  std::map<int, std::uint64_t> statuses_;  // answers to its clients
};

// Time from the third crash until a crashing content must not run any more.
inline constexpr Duration kCondemnationGrace = std::chrono::seconds(4);

struct FleetResult {
  // Time from the last document until it is in force at all hosts; nullopt: not
  // within the run.
  std::optional<Duration> document_delay_;
  // Longest time for which a host in touch with the store lacked a document.
  Duration max_document_delay_ = Duration::zero();
  std::uint64_t store_calls_ = 0;  // of all relays
  // Largest use of a rate limit, see RateLimitAudit.
  double rate_limit_use_ = 0.0;
  std::map<std::string, FleetRouteResult> routes_;
  std::vector<FleetCrashingResult> crashing_;  // in the order of the options
  // Requests with a harmless content that were refused as suspect.
  std::uint64_t harmless_refused_ = 0;
  // Suspicion notices sent, and the charges and clearances in them.
  std::uint64_t notices_ = 0;
  std::uint64_t charge_writes_ = 0;  // to the store
  std::uint64_t notice_entries_ = 0;
  double worth_share_ =
      0.0;  // worth of answers in time, of all requests' worth
  double refused_late_ = 0.0;  // share of refusals after an eighth of the
                               // objective
  // Repeated arrivals of requests at backend servers, as a share of the first
  // arrivals, for the service where this is largest.
  double repeated_ = 0.0;
  double wasted_work_ = 0.0;  // share of slot time spent on failed requests
  double region_crossings_ = 0.0;        // per run
  std::vector<double> worth_by_second_;  // worth_share_ by second
  // Time from the end of the last surge until the worth share of a second is at
  // least 95% of the mean before the first surge; negative: not within the run.
  double recovery_seconds_ = 0.0;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAYMODEL_FLEET_TYPES_H_
