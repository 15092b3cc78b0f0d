#ifndef JUJUBEFRONT_NODE_EVENT_TYPES_H_
#define JUJUBEFRONT_NODE_EVENT_TYPES_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "peer/peer_types.h"

namespace jujubefront {

// A call received over HTTP from a caller or from the local backend server.
struct CallArrived {
  std::uint64_t call_id_ = 0;
  std::string service_;
  std::string method_;
  std::string path_;
  std::string customer_;
  Payload body_;
  std::optional<RequestKey> key_;
  std::optional<std::uint32_t> attempt_;  // if the caller sent one
  std::optional<Duration> remaining_;
  std::string ticket_;
  // Set when the local backend server makes the call: the run that makes it.
  std::optional<std::uint64_t> parent_run_;
};

// The caller closed its connection.
struct CallerGone {
  std::uint64_t call_id_ = 0;
};

// A request received from a peer.
struct PeerRequested {
  std::uint64_t inbound_id_ = 0;
  PeerMessage message_;
};

// A peer cancelled its request.
struct PeerWithdrew {
  std::uint64_t inbound_id_ = 0;
};

// The reply to a request that this node sent to a peer.
struct PeerReplied {
  std::uint64_t send_id_ = 0;
  PeerMessage message_;
};

// A request that this node sent to a peer ended without a reply.
struct PeerFailed {
  std::uint64_t send_id_ = 0;
  PeerFailure failure_ = PeerFailure::kLost;
};

// The backend server's complete answer to a run.
struct BackendAnswered {
  std::uint64_t run_id_ = 0;
  int http_status_ = 0;
  std::string content_type_;
  Payload body_;
};

// How a run at the backend server failed.
enum class BackendFailure : std::uint8_t {
  kNotSent,  // nothing was written to its connection
  kBroken,   // the connection ended before the answer was complete
  kAborted,  // cancelled by this node
};

// A run at the backend server ended without a complete answer.
struct BackendFailed {
  std::uint64_t run_id_ = 0;
  BackendFailure failure_ = BackendFailure::kBroken;
};

// One log record, not decoded yet.
struct RawRecord {
  LogOffset offset_ = kNoOffset;
  std::string text_;
};

// Consecutive log records, starting at the offset in ReadLog.
struct LogRead {
  LogOffset oldest_ = 0;  // offset of the oldest record still kept
  LogOffset next_ = 0;    // offset that the next record will get
  std::vector<RawRecord> records_;
};

// A read of the log failed.
struct LogUnavailable {};

// The outcome of an AppendLog effect.
struct LogAppended {
  std::uint64_t append_id_ = 0;
  std::optional<LogOffset> offset_;  // empty if the outcome is not known
};

// The time that NextWake returned has been reached.
struct TimeReached {};

// The operator or the host requests a planned stop.
struct DrainRequested {};

using EventBody =
    std::variant<CallArrived, CallerGone, PeerRequested, PeerWithdrew,
                 PeerReplied, PeerFailed, BackendAnswered, BackendFailed,
                 LogRead, LogUnavailable, LogAppended, TimeReached,
                 DrainRequested>;

// An input of the reducer, with the time at which it is processed.
struct Event {
  Timestamp now_;
  EventBody body_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_NODE_EVENT_TYPES_H_
