#ifndef JUJUBEFRONT_NODE_INTERNAL_CALLS_H_
#define JUJUBEFRONT_NODE_INTERNAL_CALLS_H_

#include "node/internal/step_context.h"

namespace jujubefront {

// The entry side of a node, from the arrival of a call to its answer.

// call_entry.cc
// An attempt number from the caller is trusted. Without one, a call is a first
// send only if its key was made a moment ago, or is made by this node.
SendKind KindOfSend(const RequestOptions& options, Timestamp now,
                    const CallArrived& arrived);
void OnCallArrived(StepContext& step, const CallArrived& arrived);
void OnCallerGone(StepContext& step, std::uint64_t call_id);
void OnCallDeadline(StepContext& step, std::uint64_t call_id);

// call_sending.cc: sends a call to one target at a time and handles the
// outcome.
void SendToAnyTarget(StepContext& step, CallState& call, Answer fallback);
void SendToTarget(StepContext& step, CallState& call, const Member& target);
// Tries another target if that is safe and within the retry budget; otherwise
// ends the call with `answer`.
void TryElsewhere(StepContext& step, CallState& call, const Answer& answer);
void OnRunAnswer(StepContext& step, CallState& call, const SendState& send,
                 const RunReply& reply);
void OnRunRefused(StepContext& step, CallState& call, const SendState& send,
                  Reason reason);
void OnRunFailed(StepContext& step, CallState& call, const SendState& send,
                 PeerFailure failure);

// call_locating.cc: asks targets whether a call with this key has run. The
// bound target is the only one that may have run it; a locate round asks all
// targets.
void AskBoundTarget(StepContext& step, CallState& call);
void StartRound(StepContext& step, CallState& call);
void OnAskAgain(StepContext& step, std::uint64_t call_id);
void OnAskReply(StepContext& step, CallState& call, const SendState& send,
                const AskReply& reply);
void OnAskFailed(StepContext& step, CallState& call, const SendState& send);

// call_finish.cc: answers calls.
void FinishCall(StepContext& step, CallState& call, Answer answer);
// Refuses a call before a CallState is created for it.
void RefuseArrival(StepContext& step, const CallArrived& arrived,
                   Reason reason);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_NODE_INTERNAL_CALLS_H_
