#ifndef JUJUBEFRONT_RELAY_RELAY_H_
#define JUJUBEFRONT_RELAY_RELAY_H_

#include <optional>
#include <vector>

#include "relay/relay_types.h"

namespace jujubefront {

// Returns the initial state and appends the first effects to `effects`.
RelayState MakeRelay(const RelayOptions& options, Timestamp now,
                     std::vector<RelayEffect>& effects);

// Handles one event and returns its effects. Contains all decisions of the
// relay, and neither reads a clock nor does I/O.
std::vector<RelayEffect> StepRelay(RelayState& state,
                                   const RelayOptions& options,
                                   RelayEvent event);

// Time at which the next RelayTimeReached is due, if any timer is set.
std::optional<Timestamp> NextRelayWake(const RelayState& state);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAY_RELAY_H_
