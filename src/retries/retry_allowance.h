#ifndef JUJUBEFRONT_RETRIES_RETRY_ALLOWANCE_H_
#define JUJUBEFRONT_RETRIES_RETRY_ALLOWANCE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/time_types.h"

namespace jujubefront {

// Part of a fleet's bound on repeated arrivals at a service (a share of the
// requests for it, and a number that is free in each window) that one node may
// use. The parts of all nodes add up to the bound without any talk between
// them: each request earns once for the node that sends it, once for the host
// that runs it, and once for the entry of the client's request that led to it.
struct RetryAllowance {
  Duration window_ = std::chrono::seconds(10);
  double sender_ratio_ = 0.0;  // per request that this node sends
  double host_ratio_ = 0.0;    // per request that arrives at the own backend
  double tree_ratio_ = 0.0;    // per call that an admitted request leads to
  double slack_ = 0.0;         // free in each window
};

// Share of a fleet's bound for one of `nodes` nodes. `safety` in (0, 1] is kept
// below the bound.
RetryAllowance NodeRetryAllowance(double fleet_ratio, double fleet_slack,
                                  Duration window, std::size_t nodes,
                                  double safety);

// Retries earned and spent by one node for one service within the window.
struct RetryWindow {
  struct Slice {
    std::int64_t number_ = -1;  // slices since the clock's origin
    double earned_ = 0.0;
    double spent_ = 0.0;
  };
  static constexpr std::size_t kSlices = 20;  // of one window
  // One more than a window holds, as the oldest one counts in part.
  std::array<Slice, kSlices + 1> slices_;
  std::uint64_t denied_ = 0;
};

void EarnRetries(RetryWindow& window, const RetryAllowance& allowance,
                 Timestamp now, double earned);

// Retries that may be in use at once, and those that are.
struct RetryUsage {
  double bound_ = 0.0;
  double spent_ = 0.0;
};
RetryUsage RetryUsageInWindow(const RetryWindow& window,
                              const RetryAllowance& allowance, Timestamp now);

// Spends what a retry costs at each service, with the calls that it will make
// once more, or nothing when some service has too little. `share` in (0, 1] is
// the part of the bound that this request may use; the rest is left to those
// for which a retry does more.
bool SpendRetries(std::map<std::string, RetryWindow>& windows,
                  const RetryAllowance& allowance, Timestamp now,
                  const std::map<std::string, double>& cost, double share);

// A request that asks for a retry.
struct RetryRequest {
  std::uint32_t priority_ = 0;  // of the client's request; 0: most important
  bool is_call_ = false;        // made by a backend server
  // Drawn once for a client's request, in [0, 1), and shared by all calls made
  // for it.
  double tree_rank_ = 0.0;
};

// Part of the bound that a claim may use. A client's own request is saved by
// one retry. A tree of calls needs one for each call that is rejected, so that
// where retries are short those of equal rank get all or none: spread over all
// trees they would complete next to none.
double MaxRetryShare(const RetryRequest& claim);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RETRIES_RETRY_ALLOWANCE_H_
