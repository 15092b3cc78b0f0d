#ifndef JUJUBEFRONT_CONTEXT_CONTEXT_TYPES_H_
#define JUJUBEFRONT_CONTEXT_CONTEXT_TYPES_H_

#include <cstdint>
#include <memory>
#include <string>

#include "base/request_key.h"
#include "base/time_types.h"

namespace jujubefront {

// Body of a request or an answer, shared and immutable.
using Payload = std::shared_ptr<const std::string>;

// Importance of a call: tier in the high byte, cohort of the client request in
// the low byte. Smaller values are more important and are shed last.
using Priority = std::uint16_t;

// Highest priority value that a target currently admits.
using AdmissionLevel = std::uint16_t;

inline constexpr AdmissionLevel kAdmitAll = 0xffff;

// How a call relates to earlier sends of the same key.
enum class SendKind : std::uint8_t {
  kFirst,   // no earlier send exists
  kResend,  // an earlier send may exist
};

// Context that is forwarded with a call along the whole call chain.
struct CallContext {
  RequestKey key_;
  RequestKey root_key_;
  std::string service_;
  std::string method_;
  std::string path_;
  std::string class_name_;
  std::string customer_;
  std::uint8_t tier_ = 0;
  bool idempotent_ = false;
  SendKind send_kind_ = SendKind::kFirst;
  std::uint32_t credit_ = 0;   // retries that this subtree may still spend
  std::uint32_t depth_ = 0;    // 0 for a request of a client
  std::uint32_t charges_ = 0;  // backend server crashes during earlier runs
  Timestamp deadline_;
};

// Final or intermediate result of a call.
enum class Verdict : std::uint8_t {
  kFinished,   // with the complete answer of the backend server
  kNotRun,     // the call did not run and will not run under this send
  kUnknown,    // the call may have run; this cannot be determined now
  kFailed,     // an idempotent call ran without a usable answer
  kExpired,    // the key is older than the resend window
  kCondemned,  // earlier runs crashed backend servers
};

// Reason for a verdict other than kFinished.
enum class Reason : std::uint8_t {
  kNone,
  kOverloaded,
  kRetryBudget,
  kDeadline,
  kNoTarget,
  kLeaving,
  kJoining,
  kNoConfiguration,
  kUnknownService,
  kUnknownOperation,
  kSealed,
  kTooDeep,
  kTooLarge,
  kBackendUnreachable,
  kBackendBroken,
  kPeerLost,
  kOtherIncarnation,
  kCorruptAnswer,
  kMemoryLost,
  kKeyTooOld,
  kKeyFromFuture,
  kCrashes,
  kCancelled,
};

// Answer to a call, as exchanged between nodes.
struct Answer {
  Verdict verdict_ = Verdict::kNotRun;
  Reason reason_ = Reason::kNone;
  // With kNotRun: the answering target will never run the key.
  bool sealed_ = false;
  int http_status_ = 0;  // of the backend server, for kFinished
  std::string content_type_;
  Payload body_;
  std::uint64_t body_hash_ = 0;
  std::uint32_t credit_left_ = 0;
  std::uint32_t charges_ = 0;
  // Lowest level of the target and of the targets that it calls.
  AdmissionLevel level_ = kAdmitAll;
  Duration retry_after_ = Duration::zero();
  std::string ticket_;  // names the target that a resend must go to
  std::string served_by_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_CONTEXT_CONTEXT_TYPES_H_
