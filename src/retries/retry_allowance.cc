#include "retries/retry_allowance.h"

#include <algorithm>

namespace jujubefront {

RetryAllowance ShareAllowance(double fleet_ratio, double fleet_slack,
                              std::size_t nodes, double safety) {
  const double share = fleet_slack * safety /
                       static_cast<double>(std::max<std::size_t>(1, nodes));
  // With less than one whole retry nothing could ever be spent.
  return {.ratio_ = fleet_ratio * safety, .burst_ = std::max(1.0, share)};
}

void EarnRetry(RetryBudget& budget, const RetryAllowance& allowance) {
  budget.tokens_ =
      std::min(allowance.burst_, budget.tokens_ + allowance.ratio_);
}

bool SpendRetries(std::map<std::string, RetryBudget>& budgets,
                  const std::map<std::string, double>& cost, double reserve) {
  for (const auto& [service, count] : cost) {
    RetryBudget& budget = budgets[service];
    // A retry that costs more than can be saved up may still go when the
    // budget is full; the debt is earned back before the next.
    const double needed = std::min(count, 1.0) + reserve;
    if (budget.tokens_ < needed) {
      ++budget.denied_;
      return false;
    }
  }
  for (const auto& [service, count] : cost) {
    budgets[service].tokens_ -= count;
    ++budgets[service].spent_;
  }
  return true;
}

}  // namespace jujubefront
