#ifndef JUJUBEFRONT_RETRIES_RETRIES_H_
#define JUJUBEFRONT_RETRIES_RETRIES_H_

#include "retries/retries_types.h"

namespace jujubefront {

// Retry credit that a client request starts with. A resend by the client gets
// none.
std::uint32_t RootCredit(const RetryOptions& options, bool is_resend);

// Moves the share of a run's credit that a child call may spend from the run to
// the child: half, rounded up, so that later or concurrent children get a share
// of the rest.
std::uint32_t TakeCreditForChild(std::uint32_t& credit);

// Adds `budget_ratio_` tokens for a first try, up to `budget_burst_`.
void EarnRetry(RetryBudget& budget, const RetryOptions& options);

// Spends one retry of the call's credit and of the node's budget. Returns false
// and spends nothing when either is exhausted. `tries` counts the sends so far.
bool SpendRetry(RetryBudget& budget, const RetryOptions& options,
                std::uint32_t& credit, std::uint32_t tries);

// Time after which a refused caller should retry: a base that doubles with the
// caller's attempts, with jitter of up to the same length again (`unit` is a
// random number in [0, 1)).
Duration RetryAfter(std::uint32_t attempt, double jitter);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RETRIES_RETRIES_H_
