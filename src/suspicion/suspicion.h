#ifndef JUJUBEFRONT_SUSPICION_SUSPICION_H_
#define JUJUBEFRONT_SUSPICION_SUSPICION_H_

#include "suspicion/suspicion_types.h"

namespace jujubefront {

// Recognises contents that end the backend servers that run them ("queries of
// death"). The state is a set of charges and clearances, so that the order in
// which notices arrive, and their repetition, makes no difference.

// Adds a charge. True when it was not known, and no later success refutes it.
bool RecordCharge(SuspicionState& state, const SuspicionOptions& options,
                  Timestamp now, const Fingerprint& content,
                  const CrashCharge& charge);

// Raises the charges against a content to at least this many, where only
// their number is known.
void RaiseCharges(SuspicionState& state, const SuspicionOptions& options,
                  Timestamp now, const Fingerprint& content,
                  std::uint32_t charges);

// A run of the content has succeeded here. True when others should know, as
// it was contained or condemned.
bool RecordSuccess(SuspicionState& state, const SuspicionOptions& options,
                   Timestamp now, const Fingerprint& content,
                   std::uint64_t caller);

// Takes back the charges of a caller up to this time. True when that was news.
bool RecordClearance(SuspicionState& state, const SuspicionOptions& options,
                     Timestamp now, const Fingerprint& content,
                     std::uint64_t caller, Timestamp at);

// Whether a run of the content has succeeded here a short time ago.
bool SucceededRecently(const SuspicionState& state,
                       const SuspicionOptions& options, Timestamp now,
                       const Fingerprint& content, std::uint64_t caller);

ContentVerdict EvaluateContent(const SuspicionState& state,
                               const SuspicionOptions& options, Timestamp now,
                               const Fingerprint& content,
                               std::uint64_t caller);

// Distinct incarnations that a content is charged with.
std::uint32_t ChargesAgainst(const SuspicionState& state,
                             const Fingerprint& content);

// Whether others should know of it for good: it is contained or condemned, or
// was, and is cleared. A single charge is told when it arises, and no more.
bool ShouldResync(const SuspicionOptions& options, const Suspect& suspect);

// Forgets what has no effect any more.
void RemoveExpiredCharges(SuspicionState& state,
                          const SuspicionOptions& options, Timestamp now);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_SUSPICION_SUSPICION_H_
