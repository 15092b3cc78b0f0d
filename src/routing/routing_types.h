#ifndef JUJUBEFRONT_ROUTING_ROUTING_TYPES_H_
#define JUJUBEFRONT_ROUTING_ROUTING_TYPES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "admission/level.h"
#include "base/time_types.h"

namespace jujubefront {

// Location of a target relative to the node that chooses.
enum class Locality : std::uint8_t { kLocalZone, kLocalRegion, kOtherRegion };

// Settings of the choice of a target.
struct RoutingOptions {
  // Cost of the path to another zone or region, added to the expected time of a
  // target.
  Duration zone_price_ = std::chrono::milliseconds(3);
  // Calls per second that may be sent to another region.
  double crossings_per_second_ = 200.0;
  std::uint32_t failures_to_eject_ = 3;
  Duration first_ejection_ = std::chrono::seconds(1);
  Duration max_ejection_ = std::chrono::seconds(30);
  bool use_levels_ = true;  // refuse early by the levels that targets report
};

// Statistics of a node's calls to one target.
struct TargetStats {
  std::uint32_t outstanding_ = 0;
  double latency_us_ = 0.0;  // smoothed; 0 when unknown
  std::uint32_t consecutive_failures_ = 0;
  std::uint32_t ejections_ = 0;
  Timestamp ejected_until_;
  std::map<std::string, ReportedLevel> levels_;  // per class of call
};

// Statistics of all targets, by name, and the token bucket for calls to other
// regions.
struct RoutingState {
  std::map<std::string, TargetStats> targets_;
  double crossing_tokens_ = 0.0;
  Timestamp crossing_filled_at_;
};

// A target that can take the call.
struct Candidate {
  std::string name_;
  Locality locality_ = Locality::kLocalZone;
};

// Why no target was chosen.
enum class RouteFailure : std::uint8_t { kNone, kNoTarget, kOverloaded };

// Result of the choice of a target.
struct Route {
  std::string target_;  // empty when none was chosen
  RouteFailure failure_ = RouteFailure::kNone;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_ROUTING_ROUTING_TYPES_H_
