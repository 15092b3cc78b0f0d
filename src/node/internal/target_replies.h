#ifndef JUJUBEFRONT_NODE_INTERNAL_TARGET_REPLIES_H_
#define JUJUBEFRONT_NODE_INTERNAL_TARGET_REPLIES_H_

#include <string>

#include "node/internal/step_context.h"

namespace jujubefront {

// Replies that a target sends to an entry node.

// Replies to a RunRequest; adds the admission level, the remaining credit and
// the name of this node.
void ReplyRun(StepContext& step, std::uint64_t inbound_id,
              const CallContext& context, Answer answer);

// Replies to an AskRequest; adds the known members of the service.
void ReplyAsk(StepContext& step, std::uint64_t inbound_id, AskVerdict verdict,
              const Answer& answer, const std::string& service);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_NODE_INTERNAL_TARGET_REPLIES_H_
