#ifndef JUJUBEFRONT_RETRIES_RETRY_ALLOWANCE_H_
#define JUJUBEFRONT_RETRIES_RETRY_ALLOWANCE_H_

#include <map>
#include <string>

#include "retries/retries_types.h"

namespace jujubefront {

// Bound on the retries that one node sends to a service. The shares of all
// nodes add up to the fleet's bound without any talk between them.
struct RetryAllowance {
  double ratio_ = 0.1;  // retries per first send
  double burst_ = 2.0;  // retries saved up at most
};

// Share of a fleet's bound (ratio, and a number of retries that are free in a
// window) for one of `nodes` nodes. `safety` in (0, 1] is kept below the bound.
RetryAllowance ShareAllowance(double fleet_ratio, double fleet_slack,
                              std::size_t nodes, double safety);

// Counts a first send, which earns a part of a retry.
void EarnRetry(RetryBudget& budget, const RetryAllowance& allowance);

// Spends what a retry costs at each service, with the calls that it will make
// once more, or nothing when some service has too little. `reserve` is left
// untouched, for more important requests.
bool SpendRetries(std::map<std::string, RetryBudget>& budgets,
                  const std::map<std::string, double>& cost, double reserve);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RETRIES_RETRY_ALLOWANCE_H_
