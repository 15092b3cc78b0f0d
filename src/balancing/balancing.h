#ifndef JUJUBEFRONT_BALANCING_BALANCING_H_
#define JUJUBEFRONT_BALANCING_BALANCING_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "placement/placement.h"

namespace jujubefront {

// Settings of the balancing among hosts whose backend servers state their pace.
struct BalancingOptions {
  // Utilisation at which a candidate's weight is reduced to the minimum.
  double zero_weight_utilisation_ = 1.25;
  // Bounds of the weight relative to the service rate. A candidate is neither
  // starved nor preferred beyond them, whatever is reported about it.
  double min_headroom_ = 0.1;
  double max_headroom_ = 1.25;
  // Bounds of the correction of a measured hold time by the stated pace.
  double min_pace_ratio_ = 0.5;
  double max_pace_ratio_ = 4.0;
  // Utilisation up to which faster candidates are used before slower ones;
  // zero: all are used in proportion to what they can do. Candidates whose hold
  // times differ by no more than this factor count as equally fast, and slower
  // ones keep a share of their weight, so that their hold times stay measured.
  double fill_utilisation_ = 0.0;
  double equal_hold_factor_ = 1.3;
  double min_fill_share_ = 0.02;
  // Age from which a load report is not used. Backend servers' loads change
  // many times a second, and busy hosts report to their zone every 250 ms.
  Duration report_ttl_ = std::chrono::milliseconds(500);
  // A backend server that has just started is slower by this factor.
  Duration warm_up_ = std::chrono::seconds(3);
  double warm_up_pace_ = 2.0;
};

// Two random numbers in [0, 1).
struct BalancingDraws {
  double first_ = 0.0;
  double second_ = 0.0;
};

// Returns the index of a candidate that states its pace and is no farther away
// than `best`, the choice of ChooseCandidate, which must state its pace as
// well. Candidates are drawn in proportion to the rate at which they can serve
// more requests now; of two drawn, the second is returned if the first one's
// penalties (wait, slowdown, path, failures) are higher.
std::size_t ChooseBalanced(const std::vector<PlacementCandidate>& candidates,
                           const PlacementOptions& placement,
                           const BalancingOptions& options,
                           const PlacementRequest& request, std::size_t best,
                           const BalancingDraws& draws);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_BALANCING_BALANCING_H_
