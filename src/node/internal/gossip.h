#ifndef JUJUBEFRONT_NODE_INTERNAL_GOSSIP_H_
#define JUJUBEFRONT_NODE_INTERNAL_GOSSIP_H_

#include "node/internal/step_context.h"

namespace jujubefront {

// Merges an update about a member and schedules an early exchange if it changed
// anything.
void ApplyMember(StepContext& step, const Member& update);

// Run the periodic exchange, and the early one that follows a change.
void OnGossipTime(StepContext& step);
void OnEarlyExchangeTime(StepContext& step);

// Schedules an early exchange to forward changes, unless one is scheduled.
void ScheduleEarlyExchange(StepContext& step);

// Handle an exchange that a peer started, and the reply to one of this node's.
void OnExchangeRequest(StepContext& step, std::uint64_t inbound_id,
                       const Exchange& request);
void OnExchangeReply(StepContext& step, const SendState& send,
                     const Exchange& reply);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_NODE_INTERNAL_GOSSIP_H_
