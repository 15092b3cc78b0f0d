#ifndef JUJUBEFRONT_RELAY_INTERNAL_REGION_SHARING_H_
#define JUJUBEFRONT_RELAY_INTERNAL_REGION_SHARING_H_

#include <map>
#include <string>
#include <vector>

#include "relay/internal/zone_sums.h"

namespace jujubefront {

// Replaces the admitted shares of routes whose call trees need a service that a
// region lacks by those of the regions' common plan. `saturated` are the slots
// of the own region's saturated services.
void UpdateRegionSharing(RelayStep& step, const RegionView& view,
                         const std::vector<RouteDemand>& demands,
                         const std::map<std::string, double>& saturated);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAY_INTERNAL_REGION_SHARING_H_
