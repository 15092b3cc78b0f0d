#ifndef JUJUBEFRONT_NODE_INTERNAL_STEP_CONTEXT_H_
#define JUJUBEFRONT_NODE_INTERNAL_STEP_CONTEXT_H_

#include <vector>

#include "node/node_types.h"

namespace jujubefront {

// State, settings, time and collected effects of the step in progress.
struct StepContext {
  NodeState& state_;
  const NodeOptions& options_;
  Timestamp now_;
  std::vector<Effect>& effects_;
};

// Returns a new id for a send, a run or an append, unique within this node.
inline std::uint64_t NextId(StepContext& step) {
  return ++step.state_.last_id_;
}

}  // namespace jujubefront

#endif  // JUJUBEFRONT_NODE_INTERNAL_STEP_CONTEXT_H_
