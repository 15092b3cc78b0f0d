#ifndef JUJUBEFRONT_RELAY_INTERNAL_ENTRY_H_
#define JUJUBEFRONT_RELAY_INTERNAL_ENTRY_H_

#include <string_view>

#include "relay/internal/relay_step.h"

// The parts of the entry side: answers and sends of open requests.
namespace jujubefront {

// Verdict on the content of a request from this node.
ContentVerdict EvaluateContentOf(const RelayStep& step,
                                 const OpenRequest& request);

// Answers. Each removes the request, which is invalid afterwards.

// Refuses a request that has not run (503).
void Refuse(RelayStep& step, OpenRequest& request, std::string_view why);
void Fail(RelayStep& step, OpenRequest& request, int status,
          std::string_view why);
// Answers a request that may have run and has no response.
void FailUnknownOutcome(RelayStep& step, OpenRequest& request,
                        std::string_view why);
// Answers a request that no other backend server can take. "Not run" (503) is
// stated only if no backend server can have run the request.
void GiveUp(RelayStep& step, OpenRequest& request, std::string_view why);
// Answers a request and removes it.
void Finish(RelayStep& step, OpenRequest& request, Http1Response response,
            bool made_by_node);
// Answers a request that is not accepted at all.
void AnswerOnArrival(RelayStep& step, const RequestArrived& arrived, int status,
                     Duration retry_after, std::string_view why);
// Retry-After for a request over its workspace's quota.
Duration RetryAfterOverQuota(RelayStep& step, const RequestArrived& arrived,
                             const RouteRule& route);

// Sends.

// Sends the request to the best remaining candidate, or gives up.
// `resent_because` is why it is resent, and empty for the first send.
void SendOrGiveUp(RelayStep& step, OpenRequest& request,
                  std::string_view resent_because);
// Earns retries with the first send of a request: for its service, and for a
// client's request also for all services that its call tree reaches.
void EarnRetriesForFirstSend(RelayStep& step, const OpenRequest& request);
// Notifies the host of the current send that its answer is no longer needed.
void CancelSend(RelayStep& step, const OpenRequest& request);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAY_INTERNAL_ENTRY_H_
