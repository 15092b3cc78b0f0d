#ifndef JUJUBEFRONT_NODE_NODE_H_
#define JUJUBEFRONT_NODE_NODE_H_

#include <optional>
#include <vector>

#include "node/node_types.h"

namespace jujubefront {

// Returns the initial state of a node that starts at `now`.
NodeState MakeNode(const NodeOptions& options, Timestamp now);

// The reducer, which makes every decision of a node: applies an event to the
// state and returns the effects to carry out. It reads no clock, does no I/O
// and draws random numbers only from the generator in the state.
std::vector<Effect> Step(NodeState& state, const NodeOptions& options,
                         const Event& event);

// Returns when the next TimeReached event is due, or nothing if no timer is
// scheduled.
std::optional<Timestamp> NextWake(const NodeState& state);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_NODE_NODE_H_
