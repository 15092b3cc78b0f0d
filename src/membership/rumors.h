#ifndef JUJUBEFRONT_MEMBERSHIP_RUMORS_H_
#define JUJUBEFRONT_MEMBERSHIP_RUMORS_H_

#include "base/hashing.h"
#include "membership/membership_types.h"

namespace jujubefront {

// Which members an exchange may go to.
enum class PeerScope : std::uint8_t { kLocalZone, kOtherZones };

// Members to tell a peer: news first, and, when the digests differ, the next
// stretch of the whole list. Bounded by the message size in the options.
std::vector<Member> SelectUpdates(MembershipState& state,
                                  const MembershipOptions& options,
                                  bool digests_differ);

// Picks a peer to exchange with; nothing when there is none in the scope.
// A member that did not answer lately is picked rarely, never excluded.
std::optional<std::string> PickPeer(const MembershipState& state,
                                    PeerScope scope, RandomState& random);

// Remembers whether a peer answered.
void RecordContact(MembershipState& state, const std::string& name,
                   bool answered);

// The members of the node's zone that read the shared log: the few with the
// lowest hash, so that every node names the same ones.
bool IsLogReader(const MembershipState& state, std::uint32_t readers_per_zone);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_MEMBERSHIP_RUMORS_H_
