#ifndef JUJUBEFRONT_MEMBERSHIP_RUMORS_H_
#define JUJUBEFRONT_MEMBERSHIP_RUMORS_H_

#include "base/hashing.h"
#include "membership/membership_types.h"

namespace jujubefront {

// Members that an exchange may be sent to.
enum class PeerScope : std::uint8_t { kLocalZone, kOtherZones };

// Selects the member records to send to a peer: changed records first and, when
// the digests differ, the next part of the whole list. The message size in the
// options bounds their number.
std::vector<Member> SelectUpdates(MembershipState& state,
                                  const MembershipOptions& options,
                                  bool digests_differ);

// Picks a random peer to exchange records with, or nothing when the scope is
// empty. A member that did not answer recently is picked rarely, but is never
// excluded.
std::optional<std::string> PickPeer(const MembershipState& state,
                                    PeerScope scope, RandomState& random);

// Records whether a peer answered.
void RecordContact(MembershipState& state, const std::string& name,
                   bool answered);

// Whether this node reads the shared log for its zone. The readers are the
// members with the lowest hashes, so that all nodes agree on them.
bool IsLogReader(const MembershipState& state, std::uint32_t readers_per_zone);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_MEMBERSHIP_RUMORS_H_
