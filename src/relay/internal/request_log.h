#ifndef JUJUBEFRONT_RELAY_INTERNAL_REQUEST_LOG_H_
#define JUJUBEFRONT_RELAY_INTERNAL_REQUEST_LOG_H_

#include <string>
#include <string_view>

#include "relay/internal/relay_step.h"

namespace jujubefront {

// Whether every step of this request is logged even if it succeeds. All nodes
// sample the same requests, and with each the calls made for it.
bool IsTraced(const RelayStep& step, std::string_view trace_id);

// Logs the outcome of a request at its entry.
void LogOutcome(RelayStep& step, DecisionKind kind, const OpenRequest& request,
                int status, std::string_view why, std::size_t bytes = 0);

// Logs that a request is sent to a peer; `resent_because` is empty for the
// first send.
void LogSend(RelayStep& step, const OpenRequest& request, const Peer& peer,
             std::string_view resent_because);

// Log that a run starts, is refused, and ends.
void LogRunStarted(RelayStep& step, const OpenRun& run);
void LogRunRefused(RelayStep& step, const OpenRun& run, NotRunReason reason);
// Logs that the backend server has rejected a run. `again` is whether the run
// is repeated there, and `share` the fraction of the retry bound that it may
// use.
void LogRunRejected(RelayStep& step, const OpenRun& run, bool again,
                    double share);
void LogRunEnded(RelayStep& step, const OpenRun& run,
                 const Http1Response& response);
void LogRunBroken(RelayStep& step, const OpenRun& run, std::string_view why);

// Logs that the local backend server ended without deregistering during these
// runs, of which there is at least one.
void LogBackendEnded(RelayStep& step, const std::vector<UnansweredRun>& runs);

// Text of the reason in the log.
std::string_view ReasonText(NotRunReason reason);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAY_INTERNAL_REQUEST_LOG_H_
