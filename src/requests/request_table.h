#ifndef JUJUBEFRONT_REQUESTS_REQUEST_TABLE_H_
#define JUJUBEFRONT_REQUESTS_REQUEST_TABLE_H_

#include "requests/requests_types.h"

namespace jujubefront {

// Decides how to handle a send of a key. On kRun the caller must call
// MarkRunning before it writes anything to the backend server.
SendDecision DecideSend(const RequestTable& table,
                        const RequestOptions& options, Timestamp now,
                        const RequestKey& key, Timestamp serving_since);

// Records that a key waits or runs as this run.
void MarkRunning(RequestTable& table, const RequestOptions& options,
                 const RequestKey& key, std::uint64_t run_id);

// Records the final answer of a key that ran, or may have run.
void MarkFinished(RequestTable& table, const RequestOptions& options,
                  const RequestKey& key, const Answer& answer);

// Records that a key never ran here and never will.
void MarkSealed(RequestTable& table, const RequestOptions& options,
                const RequestKey& key);

// Removes the record of a key that was waiting and certainly did not run.
void MarkNeverRun(RequestTable& table, const RequestKey& key);

// Result of AskAndSeal.
struct AskOutcome {
  const RequestRecord* record_ = nullptr;  // null when the table is full
  bool newly_sealed_ = false;
};

// Answers a question about a key, and seals the key when it never ran here.
AskOutcome AskAndSeal(RequestTable& table, const RequestOptions& options,
                      const RequestKey& key);

// Returns the record of a key, or null.
const RequestRecord* FindRecord(const RequestTable& table,
                                const RequestKey& key);

// Removes the records of keys that every target refuses as too old.
void ExpireRecords(RequestTable& table, Timestamp now);

// Returns the recorded answers, to hand over to a successor when this target
// leaves.
std::vector<std::pair<RequestKey, Answer>> FinishedRecords(
    const RequestTable& table);

// Infers from the age of a key whether a send without an attempt number is the
// first one.
SendKind InferSendKind(const RequestOptions& options, Timestamp now,
                       const RequestKey& key);

// True when the key is older than the resend window.
bool IsTooOld(const RequestOptions& options, Timestamp now,
              const RequestKey& key);

// True when the key was made by a clock that is ahead by more than the allowed
// skew.
bool IsFromFuture(const RequestOptions& options, Timestamp now,
                  const RequestKey& key);

// True when a target that has served since `serving_since` has a record of any
// earlier send of the key to it.
bool MemoryCovers(const RequestOptions& options, Timestamp serving_since,
                  const RequestKey& key);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_REQUESTS_REQUEST_TABLE_H_
