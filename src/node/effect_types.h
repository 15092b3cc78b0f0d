#ifndef JUJUBEFRONT_NODE_EFFECT_TYPES_H_
#define JUJUBEFRONT_NODE_EFFECT_TYPES_H_

#include <string>
#include <variant>

#include "peer/peer_types.h"

namespace jujubefront {

// Final answer to a call over HTTP, with the values that metrics record.
struct AnswerCaller {
  std::uint64_t call_id_ = 0;
  Answer answer_;
  RequestKey key_;
  std::string service_;
  std::string class_name_;
  std::string customer_;
  std::uint32_t tries_ = 0;
  Duration elapsed_ = Duration::zero();
};

// Sends a request to a peer.
struct SendPeer {
  std::uint64_t send_id_ = 0;
  std::string address_;
  PeerMessage message_;
  Duration timeout_ = Duration::zero();
};

// Cancels a pending request to a peer.
struct WithdrawPeer {
  std::uint64_t send_id_ = 0;
};

// Replies to a peer's request.
struct ReplyPeer {
  std::uint64_t inbound_id_ = 0;
  PeerMessage message_;
};

// Sends a call to the local backend server.
struct RunBackend {
  std::uint64_t run_id_ = 0;
  CallContext context_;
  Payload body_;
};

// Cancels a run at the backend server.
struct AbortBackend {
  std::uint64_t run_id_ = 0;
};

// Reads log records, starting at an offset.
struct ReadLog {
  LogOffset from_ = 0;
};

// Appends a record to the log; the result arrives as LogAppended.
struct AppendLog {
  std::uint64_t append_id_ = 0;
  std::string text_;
};

// State changes that are reported to the operator's log.
enum class ChangeKind : std::uint8_t {
  kServing,
  kLeaving,
  kStopped,
  kDocumentChanged,
  kLogLost,
  kLogBack,
  kMemberChanged,
  kRequestCondemned,
  kTableLost,
};

struct StateChange {
  ChangeKind kind_ = ChangeKind::kServing;
  std::string subject_;
  std::int64_t number_ = 0;  // offset, count or state, depending on kind_
};

// Ends the process.
struct ExitProcess {
  std::uint64_t cut_off_ = 0;  // requests in flight that the stop aborted
};

using Effect =
    std::variant<AnswerCaller, SendPeer, WithdrawPeer, ReplyPeer, RunBackend,
                 AbortBackend, ReadLog, AppendLog, StateChange, ExitProcess>;

}  // namespace jujubefront

#endif  // JUJUBEFRONT_NODE_EFFECT_TYPES_H_
