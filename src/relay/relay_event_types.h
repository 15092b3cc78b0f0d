#ifndef JUJUBEFRONT_RELAY_RELAY_EVENT_TYPES_H_
#define JUJUBEFRONT_RELAY_RELAY_EVENT_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/fingerprint.h"
#include "relay/message_types.h"
#include "routes/routes_types.h"

namespace jujubefront {

// A whole request of a client or of the host's backend server.
struct RequestArrived {
  std::uint64_t request_id_ = 0;
  std::string trace_id_;  // the client's id of this attempt
  // Of the run that would make this call; empty when the id names none.
  std::string parent_trace_id_;
  std::string host_;  // Host header
  std::optional<Duration> remaining_;
  // Of all that a backend server gets of it but the caller: the same in every
  // attempt. Not known: the request is never taken for a repeated one.
  Fingerprint content_;
  Http1Request request_;
};

// The client left before its answer.
struct RequestCancelled {
  std::uint64_t request_id_ = 0;
};

// A message of a peer: on a connection that it opened, where replies go back
// on the same connection, or on the own connection to it.
struct LinkReceived {
  std::uint64_t connection_id_ = 0;  // opened by the peer; 0: the own one
  std::string peer_;                 // of the own connection
  LinkMessage message_;
};

// A connection on which a peer sent to us has ended.
struct LinkEnded {
  std::uint64_t connection_id_ = 0;
};

// The connection on which we send to a peer.
struct PeerConnected {
  std::string peer_;
};
struct PeerDisconnected {
  std::string peer_;
};

// Something that arrived from outside and cannot be decoded.
struct InputUnreadable {
  std::string source_;  // "heartbeat", "routing document of a peer", ...
  std::string detail_;  // who sent it
};

// Response of the own backend server.
struct BackendResponded {
  std::uint64_t run_id_ = 0;
  Http1Response response_;
  // The backend server states that it did not run the request.
  bool not_run_ = false;
  bool corrupted_ = false;  // not the body that the backend server made
};

enum class BackendExchangeFailure : std::uint8_t {
  kNotSent,
  kRefused,  // not sent either: nobody listens at the address
  kBroken,
  kMalformed,
};

struct BackendExchangeFailed {
  std::uint64_t run_id_ = 0;
  BackendExchangeFailure failure_ = BackendExchangeFailure::kBroken;
};

enum class BackendProbe : std::uint8_t {
  kListens,
  kRefused,  // nobody listens at the address
  kUnknown,
};

// Answer to ProbeBackend.
struct BackendProbed {
  BackendProbe probe_ = BackendProbe::kListens;
};

// What the own backend server says of itself.
struct BackendHeartbeat {
  std::string instance_;
  std::string service_;
  std::string address_;
  std::int64_t started_at_ms_ = 0;  // its own clock; orders its incarnations
  std::uint64_t sequence_ = 0;
  std::uint32_t slots_ = 0;
  bool draining_ = false;
};

// The own backend server says that it ends.
struct BackendDeregistered {
  std::string instance_;
};

// The platform's store has the newest routing document.
struct TableRead {
  bool from_peer_ = false;  // not read from the store by this node
  RouteTable table_;
  std::string text_;
};

// The store has no (newer) document; reading goes on from this offset.
struct TableOffset {
  std::uint64_t next_ = 0;
};

// The addresses of nodes that the store lists.
struct NodesRead {
  std::vector<std::string> addresses_;
};

struct NodeAnnounced {};

enum class StoreCall : std::uint8_t {
  kReadTable,
  kAwaitTable,
  kAnnounce,
  kReadNodes
};

// A call to the store failed.
enum class StoreFault : std::uint8_t {
  kNoAnswer,
  kRefused,      // an error status: busy, or over its rate
  kHistoryLost,  // the records asked for are no longer kept
  kUnreadable,
};

struct StoreFailed {
  StoreCall call_ = StoreCall::kReadTable;
  StoreFault fault_ = StoreFault::kNoAnswer;
};

struct RelayTimeReached {};

// The platform asks for a planned stop.
struct StopRequested {};

// The settings file was read again.
struct SettingsReloaded {};

using RelayEventBody =
    std::variant<RequestArrived, RequestCancelled, LinkReceived, LinkEnded,
                 PeerConnected, PeerDisconnected, BackendResponded,
                 BackendExchangeFailed, BackendProbed, BackendHeartbeat,
                 BackendDeregistered, TableRead, TableOffset, NodesRead,
                 NodeAnnounced, StoreFailed, InputUnreadable, RelayTimeReached,
                 StopRequested, SettingsReloaded>;

// Everything that the reducer learns, with the time at which it learns it.
struct RelayEvent {
  // Time since boot, suspended time included, as a time point. The time of
  // day decides nothing.
  Timestamp now_;
  RelayEventBody body_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAY_RELAY_EVENT_TYPES_H_
