#ifndef JUJUBEFRONT_NODE_INTERNAL_LIFECYCLE_H_
#define JUJUBEFRONT_NODE_INTERNAL_LIFECYCLE_H_

#include "node/internal/step_context.h"

namespace jujubefront {

// Joining: a target accepts non-idempotent calls only after every other known
// target of its service has acknowledged it.
void OnJoinTime(StepContext& step);
void OnJoinRequest(StepContext& step, std::uint64_t inbound_id,
                   const JoinRequest& request);
void OnJoinReply(StepContext& step, const SendState& send,
                 const JoinReply& reply);

// Announces this node in the log, where nodes that know no peer find it.
void AnnounceIfDue(StepContext& step);
void RecordAnnouncement(StepContext& step, const LogAppended& appended);

// Mark this node as established once it has every member that the log, or a
// peer, has.
void UpdateEstablishedFromLog(StepContext& step);
void MarkEstablishedByPeer(StepContext& step);

// Leaving: the node accepts no new runs, waits for calls in flight up to the
// stop deadline, hands its recorded answers over to another target of its
// service and exits.
void OnDrainRequested(StepContext& step);
void OnDrainTime(StepContext& step);
void OnHandOverRequest(StepContext& step, std::uint64_t inbound_id,
                       const HandOverRequest& request);
void OnHandOverEnded(StepContext& step, const SendState& send, bool accepted);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_NODE_INTERNAL_LIFECYCLE_H_
