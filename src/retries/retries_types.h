#ifndef JUJUBEFRONT_RETRIES_RETRIES_TYPES_H_
#define JUJUBEFRONT_RETRIES_RETRIES_TYPES_H_

#include <cstdint>

#include "base/time_types.h"

namespace jujubefront {

// How retries are bounded.
enum class RetryPolicy : std::uint8_t {
  kCredit,       // a credit of the client request, moved along the call chain
  kFixedPerHop,  // baseline: a fixed count at every hop
  kNever,
};

// Settings of the retry policy.
struct RetryOptions {
  RetryPolicy policy_ = RetryPolicy::kCredit;
  std::uint32_t root_credit_ = 2;      // retries of one request in total
  std::uint32_t retries_per_hop_ = 2;  // for kFixedPerHop
  double budget_ratio_ = 0.1;          // retries per first try of this node
  double budget_burst_ = 10.0;         // most retries that can accumulate
};

// Retry budget of one node (token bucket filled by first tries).
struct RetryBudget {
  double tokens_ = 10.0;
  std::uint64_t spent_ = 0;
  std::uint64_t denied_ = 0;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RETRIES_RETRIES_TYPES_H_
