#include "allocation/tree_success.h"

#include <algorithm>
#include <cmath>

namespace jujubefront {
namespace {

// Rejected shares below this are treated as noise.
constexpr double kMinRejectedShare = 0.03;
constexpr double kMaxRejectedShare = 0.99;
// Below this share of completed call trees, only a part of the requests is
// admitted, and never less than the probe share.
constexpr double kWorthwhileCompletionShare = 0.1;
constexpr double kProbeShare = 0.1;

}  // namespace

double TreeCompletionShare(double rejected, double runs, double retry_ratio) {
  if (rejected < kMinRejectedShare || runs <= 0.0) return 1.0;
  const double reject_probability = std::min(rejected, kMaxRejectedShare);
  const double accept_probability = 1.0 - reject_probability;
  const double complete_without_retries = std::pow(accept_probability, runs);
  // `arrivals`: mean first arrivals of a tree that ends at its first rejection.
  // `needed`: mean retries of a tree that gets all the retries it needs.
  const double arrivals = (1.0 - complete_without_retries) / reject_probability;
  const double needed = runs * reject_probability / accept_probability;
  const double earned = retry_ratio * arrivals;
  const double spent = needed - retry_ratio * runs + earned;
  const double complete_with_retries =
      spent <= earned ? 1.0 : std::clamp(earned / spent, 0.0, 1.0);
  return complete_with_retries +
         (1.0 - complete_with_retries) * complete_without_retries;
}

double ShareWorthAdmitting(double completion_share) {
  return std::clamp(completion_share / kWorthwhileCompletionShare, kProbeShare,
                    1.0);
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
