#ifndef JUJUBEFRONT_RELAY_MESSAGE_TYPES_H_
#define JUJUBEFRONT_RELAY_MESSAGE_TYPES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "allocation/allocation.h"
#include "base/fingerprint.h"
#include "base/time_types.h"
#include "callgraph/callgraph.h"
#include "http1/http1_types.h"
#include "quota/quota.h"
#include "relay/load_report_types.h"

namespace jujubefront {

// State of a backend server, as known to the node on its host.
enum class BackendState : std::uint8_t {
  kUnknown,  // no heartbeat yet, or none for too long
  kReady,
  kDraining,     // finishes its runs and accepts no new ones
  kGone,         // has deregistered
  kUnreachable,  // refuses connections
};

// What an incarnation of a backend server has stated in its answers, as of the
// latest one.
struct BackendStatement {
  std::int64_t started_at_ms_ = 0;  // of the incarnation; 0: none has answered
  std::optional<double> rate_limit_;  // requests a second from all hosts
  bool leaving_ = false;
};

// Limit on the starts of runs that follows from the rate limit of a backend
// server.
struct StartLimit {
  double per_second_ = 0.0;
  // Time until another start is allowed, behind the runs that wait.
  Duration next_start_in_ = Duration::zero();
  double usable_slots_ = 0.0;  // mean number in use at this rate
};

// In place of a heartbeat's sequence number: no later heartbeat of the
// incarnation revokes what was announced.
inline constexpr std::uint64_t kAnySequence = UINT64_MAX;

// An incarnation of a backend server has announced that it drains, or is gone.
struct BackendLeft {
  std::string instance_;
  std::int64_t started_at_ms_ = 0;
  // Of the heartbeat that announced it; kAnySequence: an answer did.
  std::uint64_t sequence_ = 0;
  bool gone_ = false;  // serves no more, whatever its heartbeats say

  bool operator==(const BackendLeft&) const = default;
};

// What is kept of a backend server that has announced its end. Peers send it
// back to a node that restarts and would otherwise treat a late heartbeat as
// current.
struct Departure {
  BackendLeft left_;
  // The announcement did not name a start: it also covers incarnations of the
  // instance that started before started_at_ms_, the time of the announcement.
  bool covers_earlier_starts_ = false;

  bool operator==(const Departure&) const = default;
};

// Status message that a node sends to its peers about itself and its backend
// server.
struct HostStatus {
  std::string address_;         // listening address for peers
  std::uint64_t boot_ = 0;      // distinguishes processes at one address
  std::uint64_t sequence_ = 0;  // orders the status messages of one process
  Duration sent_at_ = Duration::zero();  // sender's time since its boot
  std::string zone_;
  std::string region_;
  bool leaving_ = false;  // the node is stopping
  std::string service_;
  std::string instance_;                    // of the backend server
  std::int64_t backend_started_at_ms_ = 0;  // orders incarnations
  // Of its latest heartbeat, or kAnySequence.
  std::uint64_t backend_sequence_ = 0;
  BackendState backend_ = BackendState::kUnknown;
  std::uint32_t slots_ = 0;
  std::optional<StartLimit> start_limit_;
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;           // plus recent refusals, in slots
  std::uint64_t table_version_ = 0;     // of the routing document
  std::vector<RouteProfile> profiles_;  // routes run by its backend server
  std::vector<RouteDemand> demands_;    // demand that arrives at this node
  bool reads_store_ = false;            // polls for documents and forwards them
  // Share of the arriving runs that the backend server rejects, smoothed.
  double rejected_share_ = 0.0;
  std::uint64_t suspicion_digest_ = 0;  // equal digests: equal suspicions
  std::uint64_t store_era_ = 0;  // of the store's latest answer; 0: unknown
  // Time since the sender knew, from an answer of the store itself, that it has
  // the newest document; nullopt: it never did.
  std::optional<Duration> document_age_;
  // Latest departure of a backend server of which the sender has had no
  // heartbeat.
  std::optional<Departure> departed_;
  // Latest load report of the backend server's incarnation.
  std::optional<LoadReport> load_report_;
};

inline double UsableSlots(const HostStatus& status) {
  return status.start_limit_ ? status.start_limit_->usable_slots_
                             : status.slots_;
}

// Slots of a service in a zone and their use.
struct ServiceLoad {
  std::string service_;
  double slots_ = 0.0;           // usable ones
  double runs_ = 0.0;            // in progress and waiting
  double rejected_slots_ = 0.0;  // slots times rejected share
};

// Sum of the status messages of a zone's hosts, from which other zones plan
// admission.
struct ZoneSum {
  std::string zone_;
  std::string region_;
  std::string aggregator_;  // address of the aggregating node
  std::uint64_t aggregator_boot_ = 0;
  std::uint64_t sequence_ = 0;  // orders the sums of one aggregator
  std::uint32_t hosts_ = 0;
  std::vector<RouteProfile> profiles_;
  std::vector<RouteDemand> demands_;
  std::vector<RouteArrivals> arrivals_;
  std::vector<ServiceLoad> services_;
};

// A request that the entry sends to the host whose backend server is to run
// it.
struct RunOrder {
  std::uint64_t send_id_ = 0;
  std::string trace_id_;                 // the client's id of this attempt
  Duration sent_at_ = Duration::zero();  // sender's time since its boot
  std::string instance_;  // the only backend server that may run it
  std::string route_;
  std::string caller_service_;
  std::string workspace_;  // of the client's key; empty: none
  Fingerprint content_;
  std::uint32_t workspace_priority_ = 0;  // goes before priority_
  std::uint32_t priority_ = 0;
  bool is_call_ = false;  // made by a backend server
  // In [0, 1), the same for all calls made for one client request. Decides
  // which call trees get retries when retries are scarce, see RetryRequest.
  double tree_rank_ = 0.0;
  bool is_repeat_ = false;  // resent, or a call made by a resent run
  bool idempotent_ = false;
  Duration remaining_ = Duration::zero();
  // Time left of the latency objective; may be negative.
  Duration objective_left_ = Duration::zero();
  // What the entry has received from the backend server's incarnation. A host
  // whose relay has restarted learns it from here.
  BackendStatement known_;
  Http1Request request_;
};

// Outcome of a run order.
enum class RunOutcome : std::uint8_t {
  kAnswered,  // complete response of the backend server
  kNotRun,    // nothing was sent to the backend server, or it rejected it
  kBroken,    // may have run; there is no usable response
  kTimedOut,  // may have run; its deadline has passed
};

// Why a run order was not run.
enum class NotRunReason : std::uint8_t {
  kNone,
  kOverloaded,
  kExpired,
  kOtherInstance,
  kDraining,
  kUnreachable,
  kRejected,  // by the backend server
  kStopping,
  kSuspect,  // backend servers ended while they ran the same content
};

struct RunReply {
  std::uint64_t send_id_ = 0;
  RunOutcome outcome_ = RunOutcome::kNotRun;
  NotRunReason reason_ = NotRunReason::kNone;
  std::uint32_t running_ = 0;  // of the backend server, after this run
  std::uint32_t waiting_ = 0;
  std::optional<StartLimit> start_limit_;
  Duration hold_ = Duration::zero();  // time for which the run held its slot
  // A call made by the run was refused or failed. A resend to another backend
  // server would most likely fail in the same way.
  bool calls_failed_ = false;
  BackendStatement stated_;
  Http1Response response_;
  std::optional<LoadReport> load_report_;  // see HostStatus
  // Highest send id that the host had received from the entry, whose runs are
  // all counted in running_ and waiting_. 0: unknown.
  std::uint64_t last_send_id_ = 0;
};

// The entry no longer needs the answer to a run order.
struct RunCancel {
  std::uint64_t send_id_ = 0;
};

struct PeerPing {
  std::uint64_t number_ = 0;
};

struct PeerPong {
  std::uint64_t number_ = 0;
};

// An incarnation of a backend server ended while it ran a request with this
// content.
struct ContentCharge {
  Fingerprint content_;
  std::uint64_t caller_ = 0;       // hash of the calling service
  std::uint64_t incarnation_ = 0;  // hash of its name and start
  Duration age_ = Duration::zero();
};

// A request with this content has succeeded for a caller.
struct ContentClearance {
  Fingerprint content_;
  std::uint64_t caller_ = 0;
  Duration age_ = Duration::zero();
};

// Charges and clearances of contents that may end backend servers: all that the
// sender knows, or only new entries.
struct SuspicionNotice {
  std::vector<ContentCharge> charges_;
  std::vector<ContentClearance> clearances_;
};

// Whose use of quotas a report contains.
enum class QuotaScope : std::uint8_t {
  kHost,   // sent to the host that aggregates the zone
  kZone,   // sent to the aggregators of other zones
  kFleet,  // sent by the aggregator to the hosts of its zone
};

// Use of the quotas of workspaces.
struct QuotaReport {
  QuotaScope scope_ = QuotaScope::kHost;
  std::string zone_;
  std::uint64_t sequence_ = 0;
  std::map<std::uint64_t, QuotaUse> uses_;  // by hash of the workspace's name
};

// Requests the routing document if it is newer than this version.
struct TableQuery {
  std::uint64_t newer_than_ = 0;
};

// The source text of the routing document.
struct TableText {
  std::uint64_t version_ = 0;
  std::string text_;
};

// Requests the addresses of all nodes that the peer knows.
struct PeersQuery {};

struct PeerAddresses {
  std::vector<std::string> addresses_;
};

using LinkMessage =
    std::variant<HostStatus, RunOrder, RunReply, RunCancel, PeerPing, PeerPong,
                 TableQuery, TableText, PeersQuery, PeerAddresses, ZoneSum,
                 Departure, SuspicionNotice, QuotaReport>;

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAY_MESSAGE_TYPES_H_
