#ifndef JUJUBEFRONT_DAEMON_CONTROL_PAGES_H_
#define JUJUBEFRONT_DAEMON_CONTROL_PAGES_H_

#include <string>

#include "node/node_types.h"

namespace jujubefront {

// Renders a node's state as JSON for operators.
std::string RenderStatus(const NodeState& state, const NodeOptions& options,
                         Timestamp now);

// Renders what this node knows of the request with this key, as JSON.
std::string RenderRequest(const NodeState& state, const RequestKey& key);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_DAEMON_CONTROL_PAGES_H_
