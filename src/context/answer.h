#ifndef JUJUBEFRONT_CONTEXT_ANSWER_H_
#define JUJUBEFRONT_CONTEXT_ANSWER_H_

#include <string_view>

#include "context/context_types.h"

namespace jujubefront {

// Name of a verdict in headers, logs and metrics.
std::string_view VerdictName(Verdict verdict);

// Name of a reason in headers, logs and metrics.
std::string_view ReasonName(Reason reason);

// HTTP status that the caller receives for an answer.
int HttpStatusOf(const Answer& answer);

// True when the body has the length and the hash that the sender stated.
bool IsWhole(const Answer& answer, std::uint64_t stated_length);

// Makes an answer that states that the call did not run.
Answer NotRunAnswer(Reason reason, Duration retry_after);

// Makes an answer without a body, for any other verdict.
Answer EmptyAnswer(Verdict verdict, Reason reason);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_CONTEXT_ANSWER_H_
