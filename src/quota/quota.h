#ifndef JUJUBEFRONT_QUOTA_QUOTA_H_
#define JUJUBEFRONT_QUOTA_QUOTA_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/time_types.h"

namespace jujubefront {

// Limits the requests of a workspace over all nodes. Every node counts what it
// sends; the sums of all nodes reach it within reaction_. While the window's
// sum leaves room for the demand until the next sums, nothing is refused; above
// that, every node admits the same share of its requests, so that the sum stays
// at the limit whichever nodes the requests arrive at. A node's own limit holds
// until the sums show a sudden rise.

struct QuotaOptions {
  Duration window_ = std::chrono::seconds(5);
  // Time over which the rest of a window is given out. Longer than the age of
  // the sums, since what was sent since then is not in them.
  Duration reaction_ = std::chrono::milliseconds(1100);
  // Age of the sums from which a node counts as cut off: it then keeps to its
  // own part of the limit.
  Duration max_sum_age_ = std::chrono::seconds(1);
  // A node's own limit for one second: a number of requests, plus its part of
  // the workspace's limit times a factor. Requests of a workspace are few at
  // most nodes, and come several at a time.
  double local_burst_ = 3.0;
  double local_factor_ = 1.25;
};

// Limit of a workspace. It may use per_second_ times the window, plus burst_,
// in any window.
struct QuotaRule {
  double per_second_ = 0.0;  // 0: no limit
  double burst_ = 0.0;
};

// Use of a quota by one node, a zone or the fleet.
struct QuotaUse {
  double per_second_ = 0.0;        // requests that arrive, smoothed
  double last_per_second_ = 0.0;   // the same in the last slot
  double usual_per_second_ = 0.0;  // the same over some seconds
  double used_ = 0.0;              // requests sent in the last window
};

// Slots into which the window is divided for counting.
inline constexpr std::size_t kQuotaSlots = 20;

// Counts of one workspace at this node.
struct QuotaMeter {
  std::array<std::uint32_t, kQuotaSlots> used_{};  // requests sent, by slot
  std::size_t slot_ = 0;                           // current
  std::uint32_t arrived_ = 0;                      // in the current slot
  double last_per_second_ = 0.0;                   // arrivals in the last slot
  double per_second_ = 0.0;                        // arrivals, smoothed
  // The same over some seconds, which a sudden rise changes little: the mean
  // of all slots until there are enough of them.
  double usual_per_second_ = 0.0;
  std::uint32_t slots_ = 0;  // counted so far
  // This node's part of the fleet's usual demand when the last sums arrived;
  // 0: not known.
  double node_share_ = 0.0;
};

Duration QuotaSlotLength(const QuotaOptions& options);

// Ends the current slot.
void AdvanceSlot(QuotaMeter& meter, const QuotaOptions& options);

// Applies new sums of the fleet to a node's part of the limit.
void UpdateNodeShare(QuotaMeter& meter, const QuotaUse& fleet);

QuotaUse UseOf(const QuotaMeter& meter);

// Whether nothing was counted for so long that the meter can be removed.
bool IsIdle(const QuotaMeter& meter);

// What a node knows of the other nodes.
struct QuotaKnowledge {
  QuotaUse fleet_;           // sums over all nodes, this one included
  double node_share_ = 1.0;  // this node's part of the limit
  bool alone_ = false;       // there are no other nodes
  bool cut_off_ = false;     // the sums are out of date
};

// Share of the requests to admit, by the use of the whole fleet.
double AdmittedQuotaShare(const QuotaRule& rule, const QuotaOptions& options,
                          const QuotaUse& fleet);

// Use by nodes whose reports are out of date, as they are cut off. They keep to
// their part of the limit: `demand_share`, their part of the demand when the
// reports were new.
QuotaUse AssumeCutOff(const QuotaUse& use, const QuotaRule& rule,
                      const QuotaOptions& options, double demand_share);

// Counts the arrival of a request. Returns whether it may be sent, and counts
// it as sent in that case. `draw` is a random number in [0, 1).
bool CountRequest(QuotaMeter& meter, const QuotaRule& rule,
                  const QuotaOptions& options, const QuotaKnowledge& knowledge,
                  double draw);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_QUOTA_QUOTA_H_
