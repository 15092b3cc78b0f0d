#ifndef JUJUBEFRONT_RELAY_INTERNAL_REQUEST_LOG_H_
#define JUJUBEFRONT_RELAY_INTERNAL_REQUEST_LOG_H_

#include <string>
#include <string_view>

#include "relay/internal/relay_step.h"

namespace jujubefront {

// Whether every step of this request is logged, also when all goes well. All
// nodes choose the same requests, together with the calls made for them.
bool IsTraced(const RelayStep& step, std::string_view trace_id);

// End of a request at its entry.
void LogOutcome(RelayStep& step, DecisionKind kind, const OpenRequest& request,
                int status, std::string_view why, std::size_t bytes = 0);

// The request goes to this peer; `resent_because` is empty the first time.
void LogSend(RelayStep& step, const OpenRequest& request, const Peer& peer,
             std::string_view resent_because);

// A run order gets its slot, is refused one, and ends.
void LogRunStarted(RelayStep& step, const OpenRun& run);
void LogRunRefused(RelayStep& step, const OpenRun& run, NotRunReason reason);
// The backend server has rejected a run; it gets it again, or not. `share` is
// the part of the retries that the run may use.
void LogRunRejected(RelayStep& step, const OpenRun& run, bool again,
                    double share);
void LogRunEnded(RelayStep& step, const OpenRun& run,
                 const Http1Response& response);
void LogRunBroken(RelayStep& step, const OpenRun& run, std::string_view why);

// The own backend server has ended without notice while it ran these.
void LogBackendEnded(RelayStep& step, const std::vector<UnansweredRun>& runs);

std::string_view ReasonText(NotRunReason reason);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAY_INTERNAL_REQUEST_LOG_H_
