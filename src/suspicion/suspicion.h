#ifndef JUJUBEFRONT_SUSPICION_SUSPICION_H_
#define JUJUBEFRONT_SUSPICION_SUSPICION_H_

#include "suspicion/suspicion_types.h"

namespace jujubefront {

// Detects requests whose content crashes the backend servers that run them
// ("queries of death"). A content is charged with each incarnation of a backend
// server that ended while it ran the content, and cleared for a caller once a
// run for that caller succeeds. The state is a set of charges and clearances
// with their times, so that nodes reach the same state in whatever order
// suspicion notices arrive, and however often.

// Adds a charge. Returns false if it is known already, is refuted by a
// clearance for the same caller, or is older than all kept charges of a content
// that has the maximum number.
bool RecordCharge(SuspicionState& state, const SuspicionOptions& options,
                  Timestamp now, const Fingerprint& content,
                  const CrashCharge& charge);

// Adds charges until the content has at least `charges`. For senders that
// report only the number of charges: incarnations 1, 2, ... stand in for the
// unknown ones, so that a repeated report adds nothing.
void RaiseCharges(SuspicionState& state, const SuspicionOptions& options,
                  Timestamp now, const Fingerprint& content,
                  std::uint32_t charges);

// Records that a run of the content for this caller has succeeded at the local
// backend server. Returns true if the clearance must be broadcast, because
// other nodes may contain or condemn the content.
bool RecordSuccess(SuspicionState& state, const SuspicionOptions& options,
                   Timestamp now, const Fingerprint& content,
                   std::uint64_t caller);

// Clears the content for a caller: removes the caller's charges up to `at`.
// Returns true if the caller had no clearance before, or one that is older by
// more than half of charge_ttl_.
bool RecordClearance(SuspicionState& state, const SuspicionOptions& options,
                     Timestamp now, const Fingerprint& content,
                     std::uint64_t caller, Timestamp at);

// Whether a run of the content for this caller has succeeded at the local
// backend server within success_ttl_.
bool SucceededRecently(const SuspicionState& state,
                       const SuspicionOptions& options, Timestamp now,
                       const Fingerprint& content, std::uint64_t caller);

// Standing of a content for requests of this caller. If the content is cleared
// for the caller, only charges with the same caller count.
ContentVerdict EvaluateContent(const SuspicionState& state,
                               const SuspicionOptions& options, Timestamp now,
                               const Fingerprint& content,
                               std::uint64_t caller);

// Number of distinct incarnations that a content is charged with.
std::uint32_t ChargesAgainst(const SuspicionState& state,
                             const Fingerprint& content);

// Whether to include the content when a peer's state is brought up to date: it
// has enough charges to be contained, or it has none because it was cleared.
// Fewer charges are only broadcast once, when they are recorded.
bool ShouldResync(const SuspicionOptions& options, const Suspect& suspect);

// Removes charges and clearances that no longer affect any verdict. Returns the
// contents that had been condemned and have no charges any more.
std::vector<Fingerprint> RemoveExpiredCharges(SuspicionState& state,
                                              const SuspicionOptions& options,
                                              Timestamp now);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_SUSPICION_SUSPICION_H_
