#ifndef JUJUBEFRONT_REQUESTS_REQUESTS_TYPES_H_
#define JUJUBEFRONT_REQUESTS_REQUESTS_TYPES_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "context/context_types.h"
#include "membership/membership_types.h"

namespace jujubefront {

// Settings of the request table.
struct RequestOptions {
  // Age from which a key is refused permanently.
  Duration resend_window_ = std::chrono::minutes(2);
  // Maximum difference assumed between the clocks of two hosts.
  Duration max_clock_skew_ = std::chrono::milliseconds(200);
  // Minimum time before a caller may resend without an attempt number.
  Duration min_resend_interval_ = std::chrono::seconds(1);
  std::size_t max_records_ = 100'000;
  std::size_t max_answer_bytes_ = 24 * 1024 * 1024;  // of recorded answers
  bool seals_ = true;  // disabled only in tests that show what seals prevent
};

// State of a key at a target. A key without a record is unknown there.
enum class RequestState : std::uint8_t {
  kRunning,   // waiting for a slot or running
  kFinished,  // the answer is recorded
  kSealed,    // never ran here and never will
};

// One non-idempotent request at its target.
struct RequestRecord {
  RequestState state_ = RequestState::kRunning;
  std::uint64_t run_id_ = 0;  // while running
  Answer answer_;             // when finished
};

// Records of the non-idempotent requests at a target.
struct RequestTable {
  std::unordered_map<RequestKey, RequestRecord, RequestKeyHash> records_;
  std::multimap<Timestamp, RequestKey> expiry_;
  std::size_t answer_bytes_ = 0;
};

// How a target has to handle a send of a key.
enum class SendDecision : std::uint8_t {
  kRun,
  kJoin,        // the same key is running
  kReplay,      // the answer is recorded
  kSealed,      // never ran here and never will
  kTooOld,      // beyond the resend window
  kFromFuture,  // the caller's clock is ahead by more than the skew
  kTooYoung,    // the target began to serve after the key was made
  kFull,        // no space for another record
};

// Answer of one target to a question about a key.
enum class AskVerdict : std::uint8_t {
  kNever,             // never ran here; sealed now
  kSealed,            // never ran here; an earlier question sealed it
  kFinished,          // with the recorded answer
  kOtherIncarnation,  // the process asked for no longer runs here
  kTooOld,
};

// State of the question to one target in a locate round.
enum class AskState : std::uint8_t { kPending, kNever };

// A question to one target. The home is asked without sealing the key there.
struct Question {
  AskState state_ = AskState::kPending;
  bool as_home_ = false;
};

// A round of questions to every target that can hold a key.
struct LocateRound {
  std::string home_;  // target that runs the call if it never ran
  std::map<std::string, Question> asked_;
  bool begun_ = false;
  // Members that had ended when the round began. Their successors received
  // their records before they were asked.
  std::set<std::string> ended_before_;
};

// Next step of a locate round.
enum class RoundStep : std::uint8_t {
  kAsk,  // ask `targets_`
  kWait,
  kRunAtHome,
  kUnknown,  // a target cannot be asked or has lost its records
};

struct RoundDecision {
  RoundStep step_ = RoundStep::kWait;
  std::vector<std::string> targets_;
  Reason reason_ = Reason::kNone;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_REQUESTS_REQUESTS_TYPES_H_
