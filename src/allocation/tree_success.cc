#include "allocation/tree_success.h"

#include <algorithm>
#include <cmath>

namespace jujubefront {
namespace {

// Rejected shares below this are treated as noise.
constexpr double kLeastRejected = 0.03;
constexpr double kMostRejected = 0.99;
// Below this share of completed call trees, only a part of the requests is
// admitted, and never less than the probe share.
constexpr double kWorthwhilePass = 0.1;
constexpr double kProbeShare = 0.1;

}  // namespace

double TreeCompletionShare(double rejected, double runs, double retry_ratio) {
  if (rejected < kLeastRejected || runs <= 0.0) return 1.0;
  const double reject = std::min(rejected, kMostRejected);
  const double take = 1.0 - reject;
  const double unaided = std::pow(take, runs);
  // `arrivals`: mean first arrivals of a tree that ends at its first rejection.
  // `needed`: mean retries of a tree that gets all the retries it needs.
  const double arrivals = (1.0 - unaided) / reject;
  const double needed = runs * reject / take;
  const double income = retry_ratio * arrivals;
  const double spent = needed - retry_ratio * runs + income;
  const double aided =
      spent <= income ? 1.0 : std::clamp(income / spent, 0.0, 1.0);
  return aided + (1.0 - aided) * unaided;
}

double ShareWorthAdmitting(double pass_share) {
  return std::clamp(pass_share / kWorthwhilePass, kProbeShare, 1.0);
}

AdmissionSplit SplitAdmission(double fraction, double returning_share) {
  if (fraction >= 1.0) return {};
  const double share = std::clamp(returning_share, 0.0, 1.0);
  if (share >= fraction) {
    return {.fresh_ = 0.0,
            .returning_ = share <= 0.0 ? fraction : fraction / share};
  }
  return {.fresh_ = (fraction - share) / (1.0 - share), .returning_ = 1.0};
}

}  // namespace jujubefront
