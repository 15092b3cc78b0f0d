#ifndef JUJUBEFRONT_PLACEMENT_PLACEMENT_H_
#define JUJUBEFRONT_PLACEMENT_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time_types.h"

namespace jujubefront {

// Location of a candidate host relative to the host that chooses.
enum class Distance : std::uint8_t { kSameZone, kSameRegion, kOtherRegion };

// A host whose backend server can take the request, with its last known load.
struct PlacementCandidate {
  std::string host_;
  Distance distance_ = Distance::kSameZone;
  std::uint32_t slots_ = 0;
  double load_ = 0.0;                 // runs that hold or wait for a slot
  Duration hold_ = Duration::zero();  // measured duration of one run
  double failure_share_ = 0.0;        // recently seen by this node, in [0, 1]
  // Time until a rate limit of its backend server allows another start.
  Duration start_wait_ = Duration::zero();
  // Its backend server states the time that its work takes now, see
  // ChooseBalanced.
  bool states_pace_ = false;
  // Time that work takes there now, relative to that when hold_ was measured.
  double pace_ratio_ = 1.0;
  Duration load_age_ = Duration::zero();  // of load_
  bool pace_expired_ = false;  // its report is too old: pace_ratio_ is a guess
};

// Settings of the choice of a host.
struct PlacementOptions {
  // Cost of sending a request to another zone (bytes and round trips),
  // expressed as time: a share of the latency objective, but at least this.
  Duration min_zone_price_ = std::chrono::milliseconds(25);
  double zone_price_share_ = 0.15;
  // Cost of sending a client request to another region.
  Duration region_price_ = std::chrono::milliseconds(2000);
  // Cost of sending a call to another region. Lower than for client requests,
  // since a failed call wastes the work already done by its callers.
  Duration region_call_price_ = std::chrono::milliseconds(200);
  // Share of its slots that a host of a remote region must have free to be a
  // candidate, unless the local region has no candidate at all. Where both
  // regions are full, crossing regions gains nothing.
  double min_remote_free_share_ = 0.3;
  // Share of the slots in use above which a backend server slows down.
  double slowdown_load_share_ = 0.9;
};

// Properties of the request that the choice depends on.
struct PlacementRequest {
  Duration latency_objective_ = std::chrono::seconds(1);
  bool is_call_ = false;  // made by a backend server
};

// Expected time until a request sent to this candidate is answered, plus the
// cost of the path and the risk of failure, both expressed as time.
Duration ExpectedFinish(const PlacementCandidate& candidate,
                        const PlacementOptions& options,
                        const PlacementRequest& request);

// Whether a host of a remote region has enough free slots to be a candidate,
// and may start a run now.
bool HasCapacityForRemoteRequests(const PlacementCandidate& candidate,
                                  const PlacementOptions& options);

// Returns the index of the candidate with the earliest expected finish, or
// nothing when no candidate can be used. `draw`, a random number in [0, 1),
// decides between candidates that are equally good.
std::optional<std::size_t> ChooseCandidate(
    const std::vector<PlacementCandidate>& candidates,
    const PlacementOptions& options, const PlacementRequest& request,
    double draw);

// Expected time until a new run starts at this candidate.
Duration ExpectedStartWait(const PlacementCandidate& candidate);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_PLACEMENT_PLACEMENT_H_
