#ifndef JUJUBEFRONT_RELAYMODEL_RATE_LIMIT_AUDIT_H_
#define JUJUBEFRONT_RELAYMODEL_RATE_LIMIT_AUDIT_H_

#include <deque>
#include <optional>
#include <vector>

#include "base/time_types.h"

namespace jujubefront {

// What a backend server may get in kRateLimitWindow while it names a rate
// limit, from kRateLimitGrace after it first named it: kRateLimitTolerance
// times the limit, and kRateLimitSlack requests.
inline constexpr Duration kRateLimitGrace = std::chrono::seconds(4);
inline constexpr Duration kRateLimitWindow = std::chrono::seconds(4);
inline constexpr double kRateLimitTolerance = 1.5;
inline constexpr double kRateLimitSlack = 5.0;

// Counts the requests that an incarnation of a backend server gets, against the
// rate limits that it names.
class RateLimitAudit {
 public:
  // From now on its answers name this limit; nullopt: none.
  void SetLimit(Timestamp now, std::optional<double> per_second);

  // It answers a request. Returns the limit that the answer names.
  std::optional<double> NameInAnswer(Timestamp now);

  // Counts a request. Returns those in the window that ends now as a share of
  // what is allowed; 0 while any number is.
  double CountArrival(Timestamp now);

 private:
  struct Period {
    Timestamp from_;
    std::optional<double> per_second_;
  };

  // Requests allowed in the window that ends now; nullopt: any number.
  std::optional<double> Allowed(Timestamp now) const;

  std::optional<Timestamp> named_at_;  // in the first answer with a limit
  std::vector<Period> periods_;        // in order; the last one lasts
  std::deque<Timestamp> arrivals_;     // of the last window
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAYMODEL_RATE_LIMIT_AUDIT_H_
