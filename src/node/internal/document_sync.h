#ifndef JUJUBEFRONT_NODE_INTERNAL_DOCUMENT_SYNC_H_
#define JUJUBEFRONT_NODE_INTERNAL_DOCUMENT_SYNC_H_

#include "node/internal/step_context.h"

namespace jujubefront {

// Applies the sections of a peer's document that are newer than local ones.
void ApplyPeerDocument(StepContext& step, const SnapshotRecord& document);

void OnLogPollTime(StepContext& step);
void OnLogRead(StepContext& step, const LogRead& read);
void OnLogUnavailable(StepContext& step);
void OnLogAppended(StepContext& step, const LogAppended& appended);

// Appends a record to the log and returns the append's id; the outcome arrives
// as LogAppended.
std::uint64_t Append(StepContext& step, const LogRecord& record);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_NODE_INTERNAL_DOCUMENT_SYNC_H_
