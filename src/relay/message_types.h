#ifndef JUJUBEFRONT_RELAY_MESSAGE_TYPES_H_
#define JUJUBEFRONT_RELAY_MESSAGE_TYPES_H_

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "allocation/allocation.h"
#include "base/fingerprint.h"
#include "base/time_types.h"
#include "callgraph/callgraph.h"
#include "http1/http1_types.h"

namespace jujubefront {

// State of a host's backend server, as its own node knows it.
enum class BackendState : std::uint8_t {
  kUnknown,  // not heard of yet, or silent
  kReady,
  kDraining,  // finishes what it has, takes nothing new
  kGone,
  kUnreachable,  // refuses connections
};

// What a node tells its peers about itself and its backend server.
struct HostStatus {
  std::string address_;                  // of the peer link
  std::uint64_t boot_ = 0;               // tells processes at one address apart
  std::uint64_t sequence_ = 0;           // order of the statuses of one process
  Duration sent_at_ = Duration::zero();  // sender's time since its boot
  std::string zone_;
  std::string region_;
  bool leaving_ = false;  // the node stops
  std::string service_;
  std::string instance_;                    // of the backend server
  std::int64_t backend_started_at_ms_ = 0;  // orders incarnations
  std::uint64_t backend_sequence_ = 0;      // of its newest heartbeat
  BackendState backend_ = BackendState::kUnknown;
  std::uint32_t slots_ = 0;
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;        // with what was refused lately, in slots
  std::uint64_t table_version_ = 0;  // of the routing document
  std::vector<RouteProfile> profiles_;  // of the routes run here
  std::vector<RouteDemand> demands_;    // that arrive on this host
  bool reads_store_ = false;  // waits for documents and passes them on
  // Part of what arrives that the backend server rejects, smoothed.
  double rejected_share_ = 0.0;
  std::uint64_t suspicion_digest_ = 0;  // equal where the same is known
};

// Slots of a service in a zone and what is done with them.
struct ServiceLoad {
  std::string service_;
  double slots_ = 0.0;
  double runs_ = 0.0;            // in progress and waiting
  double rejected_slots_ = 0.0;  // slots times the share that is rejected
};

// What the hosts of a zone report, added up, for planning in other zones.
struct ZoneSum {
  std::string zone_;
  std::string region_;
  std::string aggregator_;  // address of the node that added up
  std::uint64_t aggregator_boot_ = 0;
  std::uint64_t sequence_ = 0;  // order of the sums of one maker
  std::uint32_t hosts_ = 0;
  std::vector<RouteProfile> profiles_;
  std::vector<RouteDemand> demands_;
  std::vector<RouteArrivals> arrivals_;
  std::vector<ServiceLoad> services_;
};

// A request on its way from the entry to the host that shall run it.
struct RunOrder {
  std::uint64_t send_id_ = 0;
  std::string trace_id_;                 // the client's id of the attempt
  Duration sent_at_ = Duration::zero();  // sender's time since its boot
  std::string instance_;                 // only this backend server may run it
  std::string route_;
  std::string caller_service_;
  Fingerprint content_;
  std::uint32_t priority_ = 0;
  bool is_call_ = false;  // made by a backend server
  // Same for all calls of one client's request, in [0, 1).
  double tree_rank_ = 0.0;
  bool is_repeat_ = false;  // sent again, or called by a run that is
  bool idempotent_ = false;
  Duration remaining_ = Duration::zero();
  // Time left in which an answer is of full use; may be negative.
  Duration objective_left_ = Duration::zero();
  Http1Request request_;
};

// What became of a run order.
enum class RunOutcome : std::uint8_t {
  kAnswered,  // the backend server's whole response
  kNotRun,    // no byte went to the backend server, or it said so itself
  kBroken,    // it may have run; there is no usable response
  kTimedOut,  // it may have run; its time is up
};

// Why a run order was not run.
enum class NotRunReason : std::uint8_t {
  kNone,
  kOverloaded,
  kExpired,
  kOtherInstance,
  kDraining,
  kUnreachable,
  kRejected,  // by the backend server itself
  kStopping,
  kSuspect,  // backend servers ended while they ran its content
};

struct RunReply {
  std::uint64_t send_id_ = 0;
  RunOutcome outcome_ = RunOutcome::kNotRun;
  NotRunReason reason_ = NotRunReason::kNone;
  std::uint32_t running_ = 0;  // of the backend server, after this run
  std::uint32_t waiting_ = 0;
  Duration hold_ = Duration::zero();  // time the run held its slot
  // A call that the run made was refused or failed; another backend server
  // would meet the same.
  bool calls_failed_ = false;
  Http1Response response_;
};

// The entry no longer needs an answer.
struct RunCancel {
  std::uint64_t send_id_ = 0;
};

struct PeerPing {
  std::uint64_t number_ = 0;
};

struct PeerPong {
  std::uint64_t number_ = 0;
};

// An incarnation of a backend server that has said that it leaves, and when.
struct BackendLeft {
  std::string instance_;
  std::int64_t started_at_ms_ = 0;
  std::uint64_t sequence_ = 0;  // of the heartbeat that said so
  bool gone_ = false;           // it serves no more, whatever it said before
};

// An incarnation of a backend server ended while it ran a content.
struct ContentCharge {
  Fingerprint content_;
  std::uint64_t caller_ = 0;       // hash of the service that asked
  std::uint64_t incarnation_ = 0;  // hash of its name and start
  Duration age_ = Duration::zero();
};

// A content has succeeded for a caller.
struct ContentClearance {
  Fingerprint content_;
  std::uint64_t caller_ = 0;
  Duration age_ = Duration::zero();
};

// What a node knows about contents that may end backend servers, or what has
// just become known.
struct SuspicionNotice {
  std::vector<ContentCharge> charges_;
  std::vector<ContentClearance> clearances_;
};

// Asks for the routing document, if it is newer than this version.
struct TableQuery {
  std::uint64_t newer_than_ = 0;
};

// The routing document as the operators wrote it.
struct TableText {
  std::uint64_t version_ = 0;
  std::string text_;
};

// Asks for the addresses of the nodes that a peer knows.
struct PeersQuery {};

struct PeerAddresses {
  std::vector<std::string> addresses_;
};

using LinkMessage =
    std::variant<HostStatus, RunOrder, RunReply, RunCancel, PeerPing, PeerPong,
                 TableQuery, TableText, PeersQuery, PeerAddresses, ZoneSum,
                 BackendLeft, SuspicionNotice>;

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAY_MESSAGE_TYPES_H_
