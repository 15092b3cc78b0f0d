#ifndef JUJUBEFRONT_REQUESTS_LOCATE_H_
#define JUJUBEFRONT_REQUESTS_LOCATE_H_

#include "requests/requests_types.h"

namespace jujubefront {

// Decides the next step of a locate round from the currently known members of
// the service. The round may run the call only at the home target, and only
// after every other target that can hold the key has sealed it. Call it again
// after every answer, since answers may add members.
RoundDecision ContinueRound(LocateRound& round, const RequestOptions& options,
                            const RequestKey& key,
                            const std::vector<Member>& members);

// Rank of a target for a key; the eligible target with the lowest rank is the
// home. The same at every entry node (rendezvous hashing, Thaler and
// Ravishankar, 1998).
std::uint64_t HomeRank(const RequestKey& key, const std::string& target);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_REQUESTS_LOCATE_H_
