#ifndef JUJUBEFRONT_RELAY_RELAY_EVENT_TYPES_H_
#define JUJUBEFRONT_RELAY_RELAY_EVENT_TYPES_H_

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/fingerprint.h"
#include "relay/load_report_types.h"
#include "relay/message_types.h"
#include "routes/routes_types.h"

namespace jujubefront {

// A complete request of a client or of the local backend server.
struct RequestArrived {
  std::uint64_t request_id_ = 0;
  std::string trace_id_;  // the client's id of this attempt
  // Trace id of the run that made this call, taken from trace_id_; empty if
  // trace_id_ contains none.
  std::string parent_trace_id_;
  std::string host_;                   // Host header
  std::optional<Duration> remaining_;  // time until the client's deadline
  // Fingerprint of the parts of the request that every attempt repeats and the
  // backend server receives, without the caller. If it is not known, the
  // request is not matched with others.
  Fingerprint content_;
  Fingerprint key_;  // hash of the client's key; unknown: it sent none
  std::string credential_header_;  // name of the header with the key
  // Bytes that a response may occupy now.
  std::size_t free_memory_ = std::numeric_limits<std::size_t>::max();
  Http1Request request_;
};

// The client closed its connection before it received an answer.
struct RequestCancelled {
  std::uint64_t request_id_ = 0;
};

// A message from a peer, either on a connection that the peer opened, on which
// replies are sent back, or on the connection that this node opened to it.
struct LinkReceived {
  std::uint64_t connection_id_ = 0;  // opened by the peer; 0: by this node
  std::string peer_;                 // set if this node opened the connection
  LinkMessage message_;
};

// There is no memory for a run order that a peer has begun to send.
struct RunOrderRefused {
  std::uint64_t connection_id_ = 0;  // opened by the peer
  std::uint64_t send_id_ = 0;
};

// There is no memory for the reply to a run order, which a peer has begun to
// send.
struct RunReplyRefused {
  std::uint64_t send_id_ = 0;  // of the order
  std::size_t bytes_ = 0;      // of the reply; 0: unknown
};

// A connection that a peer opened has ended.
struct InboundLinkClosed {
  std::uint64_t connection_id_ = 0;
};

// The connection that this node opens to a peer has been established.
struct PeerConnected {
  std::string peer_;
};

// That connection was lost or could not be established.
struct PeerDisconnected {
  std::string peer_;
};

// Input from outside that cannot be decoded.
struct InputUnreadable {
  std::string source_;  // "heartbeat", "routing document of a peer", ...
  std::string detail_;  // the sender
};

// What a response states about the backend server that sent it.
struct BackendNotice {
  // Requests a second that it accepts from all hosts together.
  std::optional<double> rate_limit_;
  // It names a rate limit that cannot be read.
  bool rate_limit_unreadable_ = false;
  bool leaving_ = false;  // accepts no new requests and is about to end
  std::optional<LoadReport> load_;
  bool load_unreadable_ = false;  // it states a load that cannot be read
};

// Response of the local backend server to a run.
struct BackendResponded {
  std::uint64_t run_id_ = 0;
  Http1Response response_;
  // The backend server states that it did not run the request.
  bool not_run_ = false;
  bool corrupted_ = false;  // the body differs from what it sent
  BackendNotice notice_;
};

// Why a run got no response from the local backend server.
enum class BackendExchangeFailure : std::uint8_t {
  kNotSent,    // no byte of the request was sent
  kRefused,    // not sent: nothing listens at the address
  kBroken,     // the connection was lost
  kMalformed,  // no valid response to this request
  kNoMemory,   // for the response
};

// The HTTP exchange of a run with the local backend server failed.
struct BackendExchangeFailed {
  std::uint64_t run_id_ = 0;
  BackendExchangeFailure failure_ = BackendExchangeFailure::kBroken;
};

// Result of connecting to the local backend server.
enum class BackendProbeResult : std::uint8_t {
  kListens,
  kRefused,  // nothing listens at the address
  kUnknown,  // neither could be established
};

// Result of the effect ProbeBackend.
struct BackendProbed {
  BackendProbeResult probe_ = BackendProbeResult::kListens;
};

// Answer of the local backend server to a health check.
enum class BackendHealth : std::uint8_t {
  kHealthy,    // it accepts requests, and does not leave
  kUnhealthy,  // it fails, leaves or has no free slot
  kUnnamed,    // the answer does not name the instance
  kNoAnswer,
};

// Result of the effect CheckBackendHealth.
struct BackendHealthChecked {
  BackendHealth health_ = BackendHealth::kNoAnswer;
  std::string instance_;  // that has answered
  BackendNotice notice_;
};

// Heartbeat of the local backend server.
struct BackendHeartbeat {
  std::uint64_t call_id_ = 0;  // of the effect AnswerBackend; 0: none is due
  std::string instance_;
  std::string service_;
  std::string address_;
  std::int64_t started_at_ms_ = 0;  // on its clock; orders incarnations
  std::uint64_t sequence_ = 0;
  std::uint32_t slots_ = 0;
  bool draining_ = false;
};

// The local backend server has deregistered and is about to exit.
struct BackendDeregistered {
  std::uint64_t call_id_ = 0;  // of the effect AnswerBackend; 0: none is due
  std::string instance_;
  // As in its heartbeats; nullopt: the call does not name it.
  std::optional<std::int64_t> started_at_ms_;
  std::int64_t received_at_ms_ = 0;  // Unix time
};

// A routing document was received from the store or from a peer.
struct TableRead {
  bool from_peer_ = false;  // false: this node read it from the store
  std::string peer_;        // that sent it
  RouteTable table_;
  std::string text_;
};

// The store holds no newer document before this offset, at which the next poll
// starts.
struct TableOffset {
  std::uint64_t next_ = 0;
  bool polled_ = false;  // answer to AwaitTable
};

// An answer of the store names its era, which rises each time the store comes
// back from a copy that lacks its latest records. Precedes the event of the
// answer itself.
struct StoreEra {
  std::uint64_t era_ = 0;
};

// Addresses of the nodes listed in the store.
struct NodesRead {
  std::vector<std::string> addresses_;
};

// This node is now listed in the store.
struct NodeAnnounced {};

// Charges of condemned contents that the store keeps.
struct ChargesRead {
  std::vector<ContentCharge> charges_;
};

// The effect SaveCharges has been carried out.
struct ChargesSaved {};

// Departures of the local backend server that the store keeps, oldest first.
struct DeparturesRead {
  std::vector<Departure> departures_;
  bool recorded_ = false;  // the store keeps a record of this node
};

// The effect SaveDepartures has been carried out.
struct DeparturesSaved {};

// Kinds of calls to the store.
enum class StoreCall : std::uint8_t {
  kReadTable,
  kAwaitTable,
  kAnnounce,
  kReadNodes,
  kReadCharges,
  kSaveCharges,
  kReadDepartures,
  kSaveDepartures,
};

// Why a call to the store failed.
enum class StoreFault : std::uint8_t {
  kNoAnswer,
  kRefused,      // error status: overloaded or rate limited
  kHistoryLost,  // the requested records are no longer kept
  kUnreadable,   // the answer cannot be decoded
};

// What is known of the connection of a call without an answer.
struct StoreSilence {
  Duration connection_age_ = Duration::zero();
  Duration silent_ = Duration::zero();    // since its last received byte
  std::uint32_t closed_connections_ = 0;  // idle ones, closed for this call
};

// A call to the store failed.
struct StoreFailed {
  StoreCall call_ = StoreCall::kReadTable;
  StoreFault fault_ = StoreFault::kNoAnswer;
  std::optional<StoreSilence> silence_;  // of a call that timed out
};

// The time returned by NextRelayWake has come.
struct RelayTimeReached {};

// The platform requests a planned stop.
struct StopRequested {};

// The settings file has been reloaded.
struct SettingsReloaded {};

using RelayEventBody = std::variant<
    RequestArrived, RequestCancelled, LinkReceived, RunOrderRefused,
    RunReplyRefused, InboundLinkClosed, PeerConnected, PeerDisconnected,
    BackendResponded, BackendExchangeFailed, BackendProbed,
    BackendHealthChecked, BackendHeartbeat, BackendDeregistered, StoreEra,
    TableRead, TableOffset, NodesRead, NodeAnnounced, ChargesRead, ChargesSaved,
    DeparturesRead, DeparturesSaved, StoreFailed, InputUnreadable,
    RelayTimeReached, StopRequested, SettingsReloaded>;

// An input of the reducer and the time at which it was received.
struct RelayEvent {
  // Time since boot, including suspended time, as a time point. Decisions never
  // depend on the time of day.
  Timestamp now_;
  RelayEventBody body_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAY_RELAY_EVENT_TYPES_H_
