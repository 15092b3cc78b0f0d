#include "membership/membership.h"

#include <algorithm>

#include "base/hashing.h"

namespace jujubefront {
namespace {

std::uint64_t DigestOf(const Member& member) {
  const auto state = static_cast<std::uint64_t>(member.state_);
  return MixBits(HashBytes(member.name_) ^
                 MixBits(member.incarnation_ * 8 + state));
}

void StoreRecord(MembershipState& state, const MembershipOptions& options,
                 Timestamp now, const Member& record) {
  MemberEntry& entry = state.members_[record.name_];
  if (!entry.member_.name_.empty()) {
    state.digest_ ^= DigestOf(entry.member_);
    state.by_service_[entry.member_.service_].erase(record.name_);
  }
  entry.member_ = record;
  entry.changed_at_ = now;
  entry.sends_left_ = options.sends_per_news_;
  entry.failed_contacts_ = 0;
  state.digest_ ^= DigestOf(record);
  state.by_service_[record.service_].insert(record.name_);
  ++state.updates_;
}

void Remove(MembershipState& state, const std::string& name) {
  const auto found = state.members_.find(name);
  if (found == state.members_.end()) return;
  state.digest_ ^= DigestOf(found->second.member_);
  state.by_service_[found->second.member_.service_].erase(name);
  state.members_.erase(found);
}

// Start time of an incarnation.
Timestamp StartOf(Incarnation incarnation) {
  return Timestamp(Duration(static_cast<std::int64_t>(incarnation)));
}

// Time before which the record of non-idempotent calls was lost, from two
// records of one member in any order: the earlier process may have ended
// without handing over its request table.
Timestamp LostBefore(const Member& first, const Member& second) {
  Timestamp lost =
      std::max(first.memory_lost_before_, second.memory_lost_before_);
  if (first.incarnation_ == second.incarnation_) return lost;
  const bool first_is_older = first.incarnation_ < second.incarnation_;
  const Member& older = first_is_older ? first : second;
  const Member& newer = first_is_older ? second : first;
  const bool kept = older.state_ == MemberState::kGone && older.table_kept_;
  // A target that never served cannot have run a non-idempotent call.
  const bool had_table = older.serving_since_ != Timestamp();
  if (!kept && had_table) lost = std::max(lost, StartOf(newer.incarnation_));
  return lost;
}

}  // namespace

bool IsNewer(const Member& first, const Member& second) {
  if (first.incarnation_ != second.incarnation_) {
    return first.incarnation_ > second.incarnation_;
  }
  return first.state_ > second.state_;
}

MergeResult MergeMember(MembershipState& state,
                        const MembershipOptions& options, Timestamp now,
                        const Member& record) {
  const auto found = state.members_.find(record.name_);
  if (found == state.members_.end()) {
    if (record.name_ == state.self_) return MergeResult::kOld;
    StoreRecord(state, options, now, record);
    return MergeResult::kUpdated;
  }
  Member& known = found->second.member_;
  // A process learns from its peers which records its predecessor has lost.
  const Timestamp lost = LostBefore(known, record);
  if (record.name_ == state.self_) {
    known.memory_lost_before_ = lost;
    return IsNewer(known, record) ? MergeResult::kAboutSelf : MergeResult::kOld;
  }
  if (IsNewer(record, known)) {
    Member merged = record;
    merged.memory_lost_before_ = lost;
    StoreRecord(state, options, now, merged);
    return MergeResult::kUpdated;
  }
  known.memory_lost_before_ = lost;
  return MergeResult::kOld;
}

void UpdateSelf(MembershipState& state, const MembershipOptions& options,
                Timestamp now, const Member& self) {
  state.self_ = self.name_;
  StoreRecord(state, options, now, self);
}

void ExpireMembers(MembershipState& state, const MembershipOptions& options,
                   Timestamp now) {
  std::vector<std::string> expired;
  for (const auto& [name, entry] : state.members_) {
    if (entry.member_.state_ != MemberState::kGone) continue;
    if (now - entry.changed_at_ > options.gone_retention_) {
      expired.push_back(name);
    }
  }
  for (const std::string& name : expired) Remove(state, name);
}

void ForgetMember(MembershipState& state, const MembershipOptions& options,
                  Timestamp now, const std::string& name,
                  Incarnation incarnation) {
  const Member* known = FindMember(state, name);
  if (known == nullptr || known->incarnation_ != incarnation) return;
  if (known->state_ == MemberState::kGone || name == state.self_) return;
  Member gone = *known;
  gone.state_ = MemberState::kGone;
  gone.table_kept_ = false;
  gone.memory_lost_before_ = now;
  StoreRecord(state, options, now, gone);
}

const Member* FindMember(const MembershipState& state,
                         const std::string& name) {
  const auto found = state.members_.find(name);
  return found == state.members_.end() ? nullptr : &found->second.member_;
}

const std::set<std::string>& MembersOfService(const MembershipState& state,
                                              const std::string& service) {
  static const std::set<std::string> kNone;
  const auto found = state.by_service_.find(service);
  return found == state.by_service_.end() ? kNone : found->second;
}

std::vector<Member> ListService(const MembershipState& state,
                                const std::string& service) {
  std::vector<Member> members;
  for (const std::string& name : MembersOfService(state, service)) {
    members.push_back(state.members_.at(name).member_);
  }
  return members;
}

std::string_view MemberStateName(MemberState state) {
  switch (state) {
    case MemberState::kJoining:
      return "joining";
    case MemberState::kServing:
      return "serving";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kGone:
      return "gone";
  }
  return "invalid";
}

}  // namespace jujubefront
