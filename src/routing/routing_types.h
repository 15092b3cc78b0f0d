#ifndef JUJUBEFRONT_ROUTING_ROUTING_TYPES_H_
#define JUJUBEFRONT_ROUTING_ROUTING_TYPES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "admission/level.h"
#include "base/time_types.h"

namespace jujubefront {

// Where a target is, seen from the node that chooses.
enum class Locality : std::uint8_t { kLocalZone, kLocalRegion, kOtherRegion };

// Settings of routing.
struct RoutingOptions {
  // Added to a target's expected time, as the price of the way there.
  Duration zone_price_ = std::chrono::milliseconds(3);
  // Calls a second that may cross to another region.
  double crossings_per_second_ = 200.0;
  std::uint32_t failures_to_eject_ = 3;
  Duration first_ejection_ = std::chrono::seconds(1);
  Duration max_ejection_ = std::chrono::seconds(30);
  bool use_levels_ = true;  // refuse early by levels heard from targets
};

// A node's own experience of one target.
struct TargetStats {
  std::uint32_t outstanding_ = 0;
  double latency_us_ = 0.0;  // smoothed; 0 when unknown
  std::uint32_t failures_in_row_ = 0;
  std::uint32_t ejections_ = 0;
  Timestamp ejected_until_;
  std::map<std::string, ReportedLevel> levels_;  // per class of call
};

// A node's experience of all targets, by name.
struct RoutingState {
  std::map<std::string, TargetStats> targets_;
  double crossing_tokens_ = 0.0;
  Timestamp crossing_filled_at_;
};

// A target that may take the call.
struct Candidate {
  std::string name_;
  Locality locality_ = Locality::kLocalZone;
};

// Why no target was chosen.
enum class RouteFailure : std::uint8_t { kNone, kNoTarget, kOverloaded };

// A choice among candidates.
struct Route {
  std::string target_;  // empty when none was chosen
  RouteFailure failure_ = RouteFailure::kNone;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_ROUTING_ROUTING_TYPES_H_
