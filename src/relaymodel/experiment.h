#ifndef JUJUBEFRONT_RELAYMODEL_EXPERIMENT_H_
#define JUJUBEFRONT_RELAYMODEL_EXPERIMENT_H_

#include "relaymodel/fleet_types.h"

namespace jujubefront {

// Simulates a fleet with its clients and counts the outcomes of their requests.
FleetResult RunFleet(const Fleet& fleet, const FleetPolicy& policy,
                     const FleetRunOptions& options);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAYMODEL_EXPERIMENT_H_
