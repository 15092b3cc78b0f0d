#include "retries/retries.h"

#include <algorithm>

namespace jujubefront {
namespace {

constexpr Duration kBaseRetryAfter = std::chrono::seconds(1);
constexpr std::uint32_t kMaxDoublings = 4;

}  // namespace

std::uint32_t RootCredit(const RetryOptions& options, bool is_resend) {
  if (options.policy_ != RetryPolicy::kCredit || is_resend) return 0;
  return options.root_credit_;
}

std::uint32_t TakeCreditForChild(std::uint32_t& credit) {
  const std::uint32_t child_credit = credit - credit / 2;
  credit -= child_credit;
  return child_credit;
}

void EarnRetry(RetryBudget& budget, const RetryOptions& options) {
  budget.tokens_ =
      std::min(options.budget_burst_, budget.tokens_ + options.budget_ratio_);
}

bool SpendRetry(RetryBudget& budget, const RetryOptions& options,
                std::uint32_t& credit, std::uint32_t tries) {
  if (options.policy_ == RetryPolicy::kNever) return false;
  if (options.policy_ == RetryPolicy::kFixedPerHop) {
    return tries <= options.retries_per_hop_;
  }
  if (credit == 0) return false;
  if (budget.tokens_ < 1.0) {
    ++budget.denied_;
    return false;
  }
  budget.tokens_ -= 1.0;
  ++budget.spent_;
  --credit;
  return true;
}

Duration RetryAfter(std::uint32_t attempt, double jitter) {
  const auto base = kBaseRetryAfter * (1U << std::min(attempt, kMaxDoublings));
  const double jittered = static_cast<double>(base.count()) * (1.0 + jitter);
  return Duration(static_cast<std::int64_t>(jittered));
}

}  // namespace jujubefront
