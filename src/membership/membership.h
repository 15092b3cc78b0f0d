#ifndef JUJUBEFRONT_MEMBERSHIP_MEMBERSHIP_H_
#define JUJUBEFRONT_MEMBERSHIP_MEMBERSHIP_H_

#include "membership/membership_types.h"

namespace jujubefront {

// True when `first` describes a later state of the member than `second`.
bool IsNewer(const Member& first, const Member& second);

// Merges a received record of a member. A record that is not newer than the
// known one only updates `memory_lost_before_`.
MergeResult MergeMember(MembershipState& state,
                        const MembershipOptions& options, Timestamp now,
                        const Member& record);

// Replaces this node's own record and schedules it to be sent to peers.
void UpdateSelf(MembershipState& state, const MembershipOptions& options,
                Timestamp now, const Member& self);

// Removes members that ended longer ago than the retention. No key that is
// still accepted can then refer to the memory that was lost with them.
void ExpireMembers(MembershipState& state, const MembershipOptions& options,
                   Timestamp now);

// Marks a member as gone, after an operator stated that this incarnation has
// ended for certain.
void ForgetMember(MembershipState& state, const MembershipOptions& options,
                  Timestamp now, const std::string& name,
                  Incarnation incarnation);

// Returns the record of a member, or null.
const Member* FindMember(const MembershipState& state, const std::string& name);

// Returns the names of all members of a service, in any state.
const std::set<std::string>& MembersOfService(const MembershipState& state,
                                              const std::string& service);

// Returns the records of all members of a service, in any state.
std::vector<Member> ListService(const MembershipState& state,
                                const std::string& service);

// Name of a state in output and logs.
std::string_view MemberStateName(MemberState state);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_MEMBERSHIP_MEMBERSHIP_H_
