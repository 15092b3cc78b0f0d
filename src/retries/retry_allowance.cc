#include "retries/retry_allowance.h"

#include <algorithm>

namespace jujubefront {
namespace {

// Shares of the fleet-wide ratio. Hosts get the largest: all requests that a
// backend server rejects are known to its host, which can give the retry to the
// one that needs it most, whatever the number of entry nodes.
constexpr double kHostShare = 0.5;
constexpr double kSenderShare = 0.35;
constexpr double kTreeShare = 0.15;

// Share of the bound that client requests and calls may use, its reduction per
// priority step, and its reduction from the first to the last tree rank.
constexpr double kRequestShare = 1.0;
constexpr double kCallShare = 0.8;
constexpr double kSharePerPriority = 0.1;
constexpr double kSharePerRank = 0.4;
constexpr double kMinCallShare = 0.1;

Duration SliceLength(const RetryAllowance& allowance) {
  return std::max(Duration(1), allowance.window_ / static_cast<std::int64_t>(
                                                       RetryWindow::kSlices));
}

std::int64_t SliceNumber(const RetryAllowance& allowance, Timestamp time) {
  return time.time_since_epoch() / SliceLength(allowance);
}

RetryWindow::Slice& SliceAt(RetryWindow& window,
                            const RetryAllowance& allowance, Timestamp now) {
  const std::int64_t number = SliceNumber(allowance, now);
  auto& slice = window.slices_.at(static_cast<std::size_t>(number) %
                                  window.slices_.size());
  if (slice.number_ != number) slice = {.number_ = number};
  return slice;
}

}  // namespace

RetryAllowance NodeRetryAllowance(double fleet_ratio, double fleet_slack,
                                  Duration window, std::size_t nodes,
                                  double safety) {
  const double ratio = fleet_ratio * safety;
  const auto count = static_cast<double>(std::max<std::size_t>(1, nodes));
  return {.window_ = window,
          .sender_ratio_ = ratio * kSenderShare,
          .host_ratio_ = ratio * kHostShare,
          .tree_ratio_ = ratio * kTreeShare,
          .slack_ = fleet_slack * safety / count};
}

void EarnRetries(RetryWindow& window, const RetryAllowance& allowance,
                 Timestamp now, double earned) {
  SliceAt(window, allowance, now).earned_ += earned;
}

RetryUsage RetryUsageInWindow(const RetryWindow& window,
                              const RetryAllowance& allowance, Timestamp now) {
  RetryUsage usage{.bound_ = allowance.slack_};
  const std::int64_t number = SliceNumber(allowance, now);
  constexpr auto kSlicesPerWindow =
      static_cast<std::int64_t>(RetryWindow::kSlices);
  for (const RetryWindow::Slice& slice : window.slices_) {
    const std::int64_t age = number - slice.number_;
    // Of the slice that the window covers partly, only what was spent counts.
    if (age >= 0 && age <= kSlicesPerWindow) usage.spent_ += slice.spent_;
    if (age >= 0 && age < kSlicesPerWindow) usage.bound_ += slice.earned_;
  }
  return usage;
}

bool SpendRetries(std::map<std::string, RetryWindow>& windows,
                  const RetryAllowance& allowance, Timestamp now,
                  const std::map<std::string, double>& cost, double share) {
  for (const auto& [service, count] : cost) {
    RetryWindow& window = windows[service];
    const RetryUsage usage = RetryUsageInWindow(window, allowance, now);
    if (usage.spent_ + count > usage.bound_ * share) {
      ++window.denied_;
      return false;
    }
  }
  for (const auto& [service, count] : cost) {
    SliceAt(windows[service], allowance, now).spent_ += count;
  }
  return true;
}

double MaxRetryShare(const RetryRequest& request) {
  if (!request.is_call_) return kRequestShare;
  const double share = kCallShare - kSharePerPriority * request.priority_ -
                       kSharePerRank * request.tree_rank_;
  return std::max(kMinCallShare, share);
}

}  // namespace jujubefront
