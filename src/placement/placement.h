#ifndef JUJUBEFRONT_PLACEMENT_PLACEMENT_H_
#define JUJUBEFRONT_PLACEMENT_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time_types.h"

namespace jujubefront {

// Where a host is, seen from the host that chooses.
enum class Distance : std::uint8_t { kSameZone, kSameRegion, kOtherRegion };

// A backend server that can take a request, as it is known at present.
struct PlacementCandidate {
  std::string host_;
  Distance distance_ = Distance::kSameZone;
  std::uint32_t slots_ = 0;
  double load_ = 0.0;                 // runs that hold or wait for a slot
  Duration hold_ = Duration::zero();  // time of one run, by measurement
  double failure_share_ = 0.0;        // recent own experience, in [0, 1]
};

// Settings of placing.
struct PlacementOptions {
  // What a crossing costs in bytes and round trips, as time: for another zone
  // a part of the latency objective, but at least the given time.
  Duration least_zone_price_ = std::chrono::milliseconds(25);
  double zone_price_share_ = 0.15;
  Duration region_price_ = std::chrono::milliseconds(2000);
  // The same for calls, whose failure would waste their callers' work.
  Duration region_call_price_ = std::chrono::milliseconds(200);
  // Part of the slots that must be free in another region, unless the own one
  // has no place at all: where both regions are full, a crossing gains nothing.
  double far_free_share_ = 0.3;
  // Part of the slots above which a backend server slows down.
  double crowded_share_ = 0.9;
};

// What the request needs.
struct PlacementNeed {
  Duration latency_objective_ = std::chrono::seconds(1);
  bool is_call_ = false;  // made by a backend server
};

// Time until a request placed here is expected to be answered, with the price
// of the way and the risk of failure, in time.
Duration ExpectedFinish(const PlacementCandidate& place,
                        const PlacementOptions& options,
                        const PlacementNeed& need);

// Whether a host of another region has enough free slots to take requests.
bool HasRoomForCrossing(const PlacementCandidate& place,
                        const PlacementOptions& options);

// Index of the place with the least expected finish, or nothing when there is
// none. `draw` in [0, 1) decides between equals.
std::optional<std::size_t> ChooseCandidate(
    const std::vector<PlacementCandidate>& places,
    const PlacementOptions& options, const PlacementNeed& need, double draw);

// Time in which an answer of a run placed here can be expected.
Duration ExpectedWaitAt(const PlacementCandidate& place);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_PLACEMENT_PLACEMENT_H_
