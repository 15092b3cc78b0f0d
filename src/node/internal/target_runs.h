#ifndef JUJUBEFRONT_NODE_INTERNAL_TARGET_RUNS_H_
#define JUJUBEFRONT_NODE_INTERNAL_TARGET_RUNS_H_

#include "node/internal/step_context.h"

namespace jujubefront {

// The target side of a node, from a peer's request to the reply.

void OnRunRequest(StepContext& step, std::uint64_t inbound_id,
                  const RunRequest& request);
void OnAskRequest(StepContext& step, std::uint64_t inbound_id,
                  const AskRequest& request);
void OnPeerWithdrew(StepContext& step, std::uint64_t inbound_id);
void OnBackendAnswered(StepContext& step, const BackendAnswered& answered);
void OnBackendFailed(StepContext& step, const BackendFailed& failed);
void OnRunDeadline(StepContext& step, std::uint64_t run_id);
void SweepAdmission(StepContext& step);

// Record that a child call of a run has started or finished.
void OnChildStarted(StepContext& step, RunState& parent);
void OnChildFinished(StepContext& step, const CallState& call,
                     const Answer& answer);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_NODE_INTERNAL_TARGET_RUNS_H_
