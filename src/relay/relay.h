#ifndef JUJUBEFRONT_RELAY_RELAY_H_
#define JUJUBEFRONT_RELAY_RELAY_H_

#include <optional>
#include <vector>

#include "relay/relay_types.h"

namespace jujubefront {

// State of a relay that has just started, and its first effects.
RelayState MakeRelay(const RelayOptions& options, Timestamp now,
                     std::vector<RelayEffect>& effects);

// Handles one event. Decides everything; touches no clock and no I/O.
std::vector<RelayEffect> StepRelay(RelayState& state,
                                   const RelayOptions& options,
                                   RelayEvent event);

// When the reducer wants the next RelayTimeReached.
std::optional<Timestamp> NextRelayWake(const RelayState& state);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAY_RELAY_H_
