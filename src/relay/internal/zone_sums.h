#ifndef JUJUBEFRONT_RELAY_INTERNAL_ZONE_SUMS_H_
#define JUJUBEFRONT_RELAY_INTERNAL_ZONE_SUMS_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "relay/internal/relay_step.h"

namespace jujubefront {

// Load and demand of a region, summed over its hosts by service and route. It
// is built from the statuses of the hosts of the local zone and one sum for
// each other zone, which that zone's aggregator sends: the host that ranks
// first there.
struct RegionView {
  std::uint32_t hosts_ = 0;
  std::map<std::string, RouteProfile> profiles_;
  std::map<std::string, RouteDemand> demands_;
  // Arrivals a second, by route and service of the hosts where they arrive.
  std::map<std::pair<std::string, std::string>, double> arrivals_;
  std::map<std::string, ServiceLoad> services_;
};

RegionView BuildRegionView(const RelayStep& step);

// Longest round trip to a connected host of a region; nullopt if none is known.
std::optional<Duration> RoundTripTo(const RelayStep& step,
                                    const std::string& region);

// Loads of the services of each other region, from the sums of its zones.
std::vector<RemoteRegion> BuildRemoteRegions(const RelayStep& step);

// Demand, costs and slots of each other region whose sums carry them, which is
// while one of the regions lacks a service. `profiles` receives their costs.
std::vector<RegionStatement> BuildRegionStatements(
    const RelayStep& step, std::map<std::string, RouteProfile>& profiles);

// Removes expired sums of other zones. If this node is the aggregator of its
// zone, sends the local zone's sum to the region's other zones.
void TickZoneSums(RelayStep& step);

// Stores another zone's sum and, if it came from outside the local zone,
// forwards it to the hosts of the local zone. Ignores sums of other regions and
// those that are not newer than the aggregator's last one.
void OnZoneSum(RelayStep& step, std::uint64_t connection_id, ZoneSum& sum);

// The host that ranks first in the local zone; null if this node does.
const Peer* FindAggregator(const RelayStep& step);

// Whether this node ranks first in its zone, and so sends zone sums and
// suspicion resyncs to other zones. Ranks are hashes of zone and address.
bool RanksFirstInZone(const RelayStep& step);

// Whether the peer that opened this connection is in the local zone. It sends
// its messages to the whole zone, so they need not be forwarded there.
bool IsFromLocalZone(const RelayStep& step, std::uint64_t connection_id);

// Maximum age of the last status of a host in another zone of the region; with
// an older one the host counts as silent.
Duration MaxStatusAge(const RelayOptions& options);

// For each other zone, the `count` hosts that rank first among those that are
// connected, neither suspected nor leaving, and whose status is at most
// `status_age` old. Hosts of other regions send statuses less often, so the
// MaxStatusAge of the region excludes most of them.
std::map<std::string, std::vector<const Peer*>> TopRankedHostsByZone(
    const RelayStep& step, std::size_t count, Duration status_age);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAY_INTERNAL_ZONE_SUMS_H_
