#ifndef JUJUBEFRONT_RETRIES_RETRY_ALLOWANCE_H_
#define JUJUBEFRONT_RETRIES_RETRY_ALLOWANCE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/time_types.h"

namespace jujubefront {

// One node's share of the fleet-wide bound on repeated arrivals at a service.
// The bound is a ratio of the requests for the service, plus a fixed number per
// window (the slack). The shares of all nodes add up to the bound without any
// communication: each request earns once for the node that sends it, once for
// the host that runs it, and once for the entry node of the client request that
// caused it.
struct RetryAllowance {
  Duration window_ = std::chrono::seconds(10);
  double sender_ratio_ = 0.0;  // per request that this node sends
  double host_ratio_ = 0.0;    // per request that arrives at the local backend
  double tree_ratio_ = 0.0;    // per call that an admitted request causes
  double slack_ = 0.0;         // per window, without requests
};

// Returns the share of one of `nodes` nodes in the fleet-wide bound. `safety`
// in (0, 1] scales the bound down as a margin.
RetryAllowance NodeRetryAllowance(double fleet_ratio, double fleet_slack,
                                  Duration window, std::size_t nodes,
                                  double safety);

// Retries earned and spent by one node for one service within the window.
struct RetryWindow {
  struct Slice {
    std::int64_t number_ = -1;  // index of the slice since the clock's epoch
    double earned_ = 0.0;
    double spent_ = 0.0;
  };
  static constexpr std::size_t kSlices = 20;  // of one window
  // One more than fits into a window: the window covers the oldest partly.
  std::array<Slice, kSlices + 1> slices_;
  std::uint64_t denied_ = 0;
};

// Adds earned retries to the current slice of the window.
void EarnRetries(RetryWindow& window, const RetryAllowance& allowance,
                 Timestamp now, double earned);

// Retries that may be spent within the window, and those that were.
struct RetryUsage {
  double bound_ = 0.0;
  double spent_ = 0.0;
};
RetryUsage RetryUsageInWindow(const RetryWindow& window,
                              const RetryAllowance& allowance, Timestamp now);

// Spends the cost of a retry at each service, including the calls that it
// repeats, or spends nothing and returns false when the allowance of any
// service does not suffice. `share` in (0, 1] is the share of the bound that
// this request may use; the rest is reserved for requests that gain more by a
// retry.
bool SpendRetries(std::map<std::string, RetryWindow>& windows,
                  const RetryAllowance& allowance, Timestamp now,
                  const std::map<std::string, double>& cost, double share);

// A request that asks for a retry.
struct RetryRequest {
  std::uint32_t priority_ = 0;  // of the client's request; 0: most important
  bool is_call_ = false;        // made by a backend server
  // Random number in [0, 1), drawn once per client request and shared by all
  // calls made for it.
  double tree_rank_ = 0.0;
};

// Share of the bound that a request may use. One retry saves a client request,
// but a tree of calls needs one for each rejected call. Where retries are
// scarce, the tree rank therefore gives a tree all of its retries or none:
// spread over all trees, they would complete hardly any.
double MaxRetryShare(const RetryRequest& request);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RETRIES_RETRY_ALLOWANCE_H_
