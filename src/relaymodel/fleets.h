#ifndef JUJUBEFRONT_RELAYMODEL_FLEETS_H_
#define JUJUBEFRONT_RELAYMODEL_FLEETS_H_

#include "relaymodel/fleet_types.h"

namespace jujubefront {

// Gate repairs: warranty checks and deposits lead to reads of one service with
// few slots. Two regions with two zones each; 16 hosts, or 66 if grown.
Fleet BrolgaFleet(bool grown);

// The grown Brolga fleet with 97 hosts in eight zones.
Fleet LargeBrolgaFleet();

// Meter lending: bookings and catalogue reads lead to reads of one service with
// few slots. Two regions; 16 hosts in 4 zones, or 84 in 6 if grown.
Fleet FuktlanFleet(bool grown);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAYMODEL_FLEETS_H_
