#include "membership/rumors.h"

#include "membership/membership.h"

namespace jujubefront {
namespace {

// A peer is skipped with a probability that grows with its failed contacts, up
// to this number of them.
constexpr std::uint32_t kMaxSkippedFailures = 5;
constexpr int kPickTries = 8;

void AddUpdates(MembershipState& state, std::uint32_t limit,
                std::vector<Member>& selected) {
  for (auto& [name, entry] : state.members_) {
    if (selected.size() >= limit) return;
    if (entry.sends_left_ == 0) continue;
    --entry.sends_left_;
    selected.push_back(entry.member_);
  }
}

void AddResyncBatch(MembershipState& state, std::uint32_t limit,
                    std::vector<Member>& selected) {
  if (state.members_.empty()) return;
  auto next = state.members_.lower_bound(state.resync_cursor_);
  std::size_t visited = 0;
  while (selected.size() < limit && visited < state.members_.size()) {
    if (next == state.members_.end()) next = state.members_.begin();
    selected.push_back(next->second.member_);
    ++next;
    ++visited;
  }
  state.resync_cursor_ = next == state.members_.end() ? "" : next->first;
}

bool InScope(const Member& member, const Member& self, PeerScope scope) {
  if (member.name_ == self.name_) return false;
  if (member.state_ == MemberState::kGone) return false;
  const bool is_local_zone = member.zone_ == self.zone_;
  return is_local_zone == (scope == PeerScope::kLocalZone);
}

bool ShouldSkip(const MemberEntry& entry, RandomState& random) {
  const std::uint32_t failures =
      std::min(entry.failed_contacts_, kMaxSkippedFailures);
  if (failures == 0) return false;
  return NextBelow(random, 1ULL << failures) != 0;
}

}  // namespace

std::vector<Member> SelectUpdates(MembershipState& state,
                                  const MembershipOptions& options,
                                  bool digests_differ) {
  std::vector<Member> selected;
  AddUpdates(state, options.max_members_per_message_, selected);
  if (digests_differ) {
    AddResyncBatch(state, options.max_members_per_message_, selected);
  }
  return selected;
}

std::optional<std::string> PickPeer(const MembershipState& state,
                                    PeerScope scope, RandomState& random) {
  const Member* self = FindMember(state, state.self_);
  if (self == nullptr) return std::nullopt;
  std::vector<const MemberEntry*> candidates;
  for (const auto& [name, entry] : state.members_) {
    if (InScope(entry.member_, *self, scope)) candidates.push_back(&entry);
  }
  if (candidates.empty()) return std::nullopt;
  const MemberEntry* picked = nullptr;
  for (int i = 0; i < kPickTries; ++i) {
    picked = candidates[NextBelow(random, candidates.size())];
    if (!ShouldSkip(*picked, random)) break;
  }
  return picked->member_.name_;
}

void RecordContact(MembershipState& state, const std::string& name,
                   bool answered) {
  const auto found = state.members_.find(name);
  if (found == state.members_.end()) return;
  MemberEntry& entry = found->second;
  entry.failed_contacts_ = answered ? 0 : entry.failed_contacts_ + 1;
}

bool IsLogReader(const MembershipState& state, std::uint32_t readers_per_zone) {
  const Member* self = FindMember(state, state.self_);
  if (self == nullptr) return true;
  const std::uint64_t self_rank = HashBytes(self->name_);
  std::uint32_t readers_before_self = 0;
  for (const auto& [name, entry] : state.members_) {
    if (!InScope(entry.member_, *self, PeerScope::kLocalZone)) continue;
    // A member that does not answer must not count as a reader.
    if (entry.failed_contacts_ > 2) continue;
    if (HashBytes(name) < self_rank) ++readers_before_self;
  }
  return readers_before_self < readers_per_zone;
}

}  // namespace jujubefront
