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
  // Time over which the rest of a window is given out by a node that does not
  // know when the counted requests leave the window. Longer than the age of the
  // sums, since what was sent since then is not in them.
  Duration reaction_ = std::chrono::milliseconds(1100);
  // The same for a node that knows it: the current slot and the next two.
  std::size_t forecast_slots_ = 3;
  // Complete slots after those that the sums contain.
  std::size_t unseen_slots_ = 2;
  // Age of the sums from which a node counts as cut off: it then keeps to its
  // own part of the limit.
  Duration max_sum_age_ = std::chrono::seconds(1);
  // A node's own limit for one second: its part of the workspace's limit times
  // a factor, and this share of its part of the window's room. If all nodes use
  // that before the sums show it, the window is not exceeded.
  double local_room_ = 0.75;
  // Least such limit. Requests of a workspace are few at most nodes, and come
  // several at a time.
  double local_burst_ = 2.0;
  // Added to it, up to one request: this times the square of the free part of
  // the window. With 300 nodes and a window that is half full, one more request
  // a node exceeds the limit in a rise of 7.5 times.
  double local_burst_room_ = 4.4;
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
// Slots that a sum contains: it is made when the current one begins.
inline constexpr std::size_t kQuotaSumSlots = kQuotaSlots - 1;

// Counts of one workspace at this node.
struct QuotaMeter {
  std::array<std::uint32_t, kQuotaSlots> used_{};      // requests sent, by slot
  std::size_t slot_ = 0;                               // current
  std::array<std::uint32_t, kQuotaSlots> arrivals_{};  // ended slots, by slot
  std::uint32_t arrived_ = 0;                          // in the current slot
  double last_per_second_ = 0.0;  // arrivals in the last slot
  double per_second_ = 0.0;       // arrivals, smoothed
  // The same over some seconds, which a sudden rise changes little: the mean
  // of all slots until there are enough of them.
  double usual_per_second_ = 0.0;
  std::array<double, kQuotaSlots> usuals_{};  // at the beginning of slots
  std::uint32_t slots_ = 0;                   // counted so far
  // Rejected requests that were told to return, by slot in which they do.
  std::array<double, kQuotaSlots> promised_{};
  std::uint32_t returned_ = 0;        // of these, arrived in the current slot
  double returned_per_second_ = 0.0;  // the same, smoothed
  // This node's part of the fleet's usual demand when the last sums arrived;
  // 0: not known.
  double node_share_ = 0.0;
};

// Sums of one workspace in the order in which they came, and from that the
// slots in which the counted requests were sent.
struct QuotaSums {
  // Sent, by slot of the receiver. Their sum is always used_: what the first
  // sum contains counts as sent in its slot, as its time is not known.
  std::array<double, kQuotaSumSlots> sent_{};
  std::size_t slot_ = 0;             // current
  std::size_t slots_since_sum_ = 0;  // slots that began since the latest sum
  double used_ = 0.0;                // in the latest sum
};

// What a node derives from the sums of the fleet: when the counted requests
// leave the window, and what has probably been sent since the latest sum. All
// nodes derive it from the same sums, so that they admit the same share.
struct QuotaForecast {
  QuotaSums sums_;
  std::array<double, kQuotaSlots> shares_;  // admitted, by slot
  std::size_t slot_ = 0;                    // current
  // Requests that the fleet may send, by slot from the current one on.
  std::array<double, kQuotaSlots> rooms_{};

  // Before the first sum nothing was limited by a share.
  QuotaForecast() { shares_.fill(1.0); }
};

Duration QuotaSlotLength(const QuotaOptions& options);

// Ends the current slot.
void AdvanceSlot(QuotaMeter& meter, const QuotaOptions& options);

void RecordSum(QuotaSums& sums, const QuotaUse& use);
void AdvanceSums(QuotaSums& sums);

// Begins a slot: sets the share of requests that is admitted in it.
// `reporting_share` is the part of the nodes whose reports the sums contain:
// nodes that are cut off count with a constant use.
void AdvanceForecast(QuotaForecast& forecast, const QuotaRule& rule,
                     const QuotaOptions& options, const QuotaUse& fleet,
                     double reporting_share = 1.0);

// Use by a process that has ended, by the sums that it has reported.
QuotaUse UseAfterEnd(const QuotaSums& reported);

// Applies new sums of the fleet to a node's part of the limit.
void UpdateNodeShare(QuotaMeter& meter, const QuotaOptions& options,
                     const QuotaUse& fleet);

QuotaUse UseOf(const QuotaMeter& meter);

// Whether nothing was counted for so long that the meter can be removed.
bool IsIdle(const QuotaMeter& meter);

// What a node knows of the other nodes.
struct QuotaKnowledge {
  QuotaUse fleet_;  // sums over all nodes, this one included
  const QuotaForecast* forecast_ = nullptr;  // nullptr: no sums yet
  double node_share_ = 1.0;                  // this node's part of the limit
  bool alone_ = false;                       // there are no other nodes
  bool cut_off_ = false;                     // the sums are out of date
  bool fresh_ = false;  // there have been no sums since the start
};

// Share of the requests to admit, by the use of the whole fleet alone.
double AdmittedQuotaShare(const QuotaRule& rule, const QuotaOptions& options,
                          const QuotaUse& fleet);

// Use by nodes whose reports are out of date, as they are cut off. They keep to
// their part of the limit: `demand_share`, their part of the demand when the
// reports were new.
QuotaUse AssumeCutOff(const QuotaUse& use, const QuotaRule& rule,
                      const QuotaOptions& options, double demand_share);

// Counts the arrival of a request. Returns whether it may be sent, and counts
// it as sent in that case. `draw` is a random number in [0, 1). `is_promised`:
// it returns at the time that PromiseReturn has given; such requests go first.
bool CountRequest(QuotaMeter& meter, const QuotaRule& rule,
                  const QuotaOptions& options, const QuotaKnowledge& knowledge,
                  double draw, bool is_promised = false);

// A request that was counted as sent when meter.slots_ was `slots` has not run,
// and does not use up the quota. Returns whether it was counted in the window.
bool ReturnUnused(QuotaMeter& meter, std::uint32_t slots);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_QUOTA_QUOTA_H_
