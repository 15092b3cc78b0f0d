#ifndef JUJUBEFRONT_MEMBERSHIP_MEMBERSHIP_TYPES_H_
#define JUJUBEFRONT_MEMBERSHIP_MEMBERSHIP_TYPES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time_types.h"

namespace jujubefront {

// Start of a process in microseconds since the epoch. A later process under
// the same name has a larger one.
using Incarnation = std::uint64_t;

// Lifecycle states of a target, in the order in which it passes through them.
enum class MemberState : std::uint8_t {
  kJoining,  // takes idempotent calls only
  kServing,
  kLeaving,  // takes no new calls
  kGone,
};

// Record of one target and its node, as nodes exchange it.
struct Member {
  std::string name_;
  Incarnation incarnation_ = 0;
  MemberState state_ = MemberState::kJoining;
  // With kGone: the request table was handed over, or was empty.
  bool table_kept_ = false;
  // Time since which the target accepts non-idempotent calls; the epoch while
  // it does not.
  Timestamp serving_since_;
  // Start of this incarnation if an earlier one ended without handing over its
  // request table, otherwise the epoch. Requests with older keys may have run
  // at the earlier incarnation.
  Timestamp memory_lost_before_;
  std::string zone_;
  std::string region_;
  std::string service_;
  std::string rpc_address_;
};

// A member as one node knows it.
struct MemberEntry {
  Member member_;
  Timestamp changed_at_;          // when this node received the newest state
  std::uint32_t sends_left_ = 0;  // times that the record is still to be sent
  std::uint32_t failed_contacts_ = 0;
};

// Settings of the membership protocol.
struct MembershipOptions {
  Duration gossip_interval_ = std::chrono::seconds(1);
  std::uint32_t zone_peers_per_round_ = 1;
  std::uint32_t rounds_per_remote_exchange_ = 4;
  std::uint32_t max_members_per_message_ = 24;
  std::uint32_t sends_per_news_ = 8;  // sends of each changed record
  // How long a member that ended stays listed; longer than the resend window.
  Duration gone_retention_ = std::chrono::minutes(5);
  // A target serves only when it is established and all other members have its
  // record. Disabled only in tests that show what this rule prevents.
  bool join_waits_for_all_ = true;
};

// All members that a node knows, itself included.
struct MembershipState {
  std::string self_;
  std::map<std::string, MemberEntry> members_;
  std::map<std::string, std::set<std::string>> by_service_;
  std::uint64_t digest_ = 0;   // of every member's name and state
  std::string resync_cursor_;  // next member to send when digests differ
  std::uint64_t updates_ = 0;  // number of stored records
};

// Result of merging a received record.
enum class MergeResult : std::uint8_t {
  kOld,        // not newer than the known record
  kUpdated,    // stored
  kAboutSelf,  // a peer holds an older or different view of this process
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_MEMBERSHIP_MEMBERSHIP_TYPES_H_
