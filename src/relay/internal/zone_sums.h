#ifndef JUJUBEFRONT_RELAY_INTERNAL_ZONE_SUMS_H_
#define JUJUBEFRONT_RELAY_INTERNAL_ZONE_SUMS_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "relay/internal/relay_step.h"

namespace jujubefront {

// What a region's hosts report, added up by service and route. Hosts of the own
// zone are heard one by one; another zone's come as one sum, made by the host
// that ranks first there.
struct RegionView {
  std::uint32_t hosts_ = 0;
  std::map<std::string, RouteProfile> profiles_;
  std::map<std::string, RouteDemand> demands_;
  // Arrivals a second, by route and service of the hosts where they arrive.
  std::map<std::pair<std::string, std::string>, double> arrivals_;
  std::map<std::string, ServiceLoad> services_;
};

RegionView BuildRegionView(const RelayStep& step);

// Sends the own zone's sum to the region's other zones, if that is this node's
// part, and forgets sums that are too old.
void TickZoneSums(RelayStep& step);

// Takes another zone's sum, and passes it on in the own zone if it came from
// outside.
void OnZoneSum(RelayStep& step, std::uint64_t connection_id, ZoneSum& sum);

// Whether this node ranks first of its zone, and speaks for it to others.
bool RanksFirstInZone(const RelayStep& step);

// Whether a message came from within the own zone, which has it then.
bool IsFromLocalZone(const RelayStep& step, std::uint64_t connection_id);

// Age of a status from which a host of the region counts as silent.
Duration MaxStatusAge(const RelayOptions& options);

// The hosts of every other zone that rank first of those that can be reached
// and whose status is no older than this. Hosts of other regions report seldom.
std::map<std::string, std::vector<const Peer*>> TopRankedHostsByZone(
    const RelayStep& step, std::size_t count, Duration status_age);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAY_INTERNAL_ZONE_SUMS_H_
