#include "requests/locate.h"

#include "base/hashing.h"
#include "requests/request_table.h"

namespace jujubefront {
namespace {

// Records which members had ended when the round began.
void RecordEndedMembers(LocateRound& round,
                        const std::vector<Member>& members) {
  if (round.begun_) return;
  round.begun_ = true;
  for (const Member& member : members) {
    if (member.state_ == MemberState::kGone) {
      round.ended_before_.insert(member.name_);
    }
  }
}

// True when a target ended during the round before it was asked. It may have
// handed the answer of the key over to a successor that had already answered
// "never".
bool EndedBeforeAsked(const LocateRound& round, const Member& member) {
  return member.state_ == MemberState::kGone &&
         member.serving_since_ != Timestamp() &&
         !round.ended_before_.contains(member.name_) &&
         !round.asked_.contains(member.name_);
}

// True unless the target has ended: a target that ended before the round has
// handed its records over to its successor, which is a member itself.
bool NeedsAsking(const Member& member) {
  return member.state_ != MemberState::kGone;
}

// True while an answer is missing. Every target that was asked has to answer,
// even if it ends in the meantime.
bool HasPending(const LocateRound& round) {
  for (const auto& [name, question] : round.asked_) {
    if (question.state_ == AskState::kPending) return true;
  }
  return false;
}

// True when a send of the key may have run at the member without a record of it
// remaining.
bool MayHaveRunWithoutRecord(const RequestOptions& options,
                             const Member& member, const RequestKey& key) {
  if (member.memory_lost_before_ == Timestamp()) {
    const bool had_table = member.serving_since_ != Timestamp();
    return member.state_ == MemberState::kGone && !member.table_kept_ &&
           had_table;
  }
  return KeyTime(key) <
         member.memory_lost_before_ + 2 * options.max_clock_skew_;
}

// Returns the target with the lowest rank among the serving targets whose
// records cover the key.
std::string ChooseHome(const RequestOptions& options, const RequestKey& key,
                       const std::vector<Member>& members) {
  std::string home;
  std::uint64_t best = 0;
  for (const Member& member : members) {
    if (member.state_ != MemberState::kServing) continue;
    if (!MemoryCovers(options, member.serving_since_, key)) continue;
    const std::uint64_t rank = HomeRank(key, member.name_);
    if (home.empty() || rank < best) {
      home = member.name_;
      best = rank;
    }
  }
  return home;
}

}  // namespace

RoundDecision ContinueRound(LocateRound& round, const RequestOptions& options,
                            const RequestKey& key,
                            const std::vector<Member>& members) {
  RecordEndedMembers(round, members);
  for (const Member& member : members) {
    if (MayHaveRunWithoutRecord(options, member, key) ||
        EndedBeforeAsked(round, member)) {
      return {.step_ = RoundStep::kUnknown, .reason_ = Reason::kMemoryLost};
    }
  }
  const std::string home = ChooseHome(options, key, members);
  // Without a target that was serving when the key was made, it is unknown
  // which targets served at that time.
  if (home.empty()) {
    return {.step_ = RoundStep::kUnknown, .reason_ = Reason::kMemoryLost};
  }
  round.home_ = home;
  RoundDecision decision;
  for (const Member& member : members) {
    if (!NeedsAsking(member)) continue;
    const bool is_home = member.name_ == home;
    const auto [asked, added] = round.asked_.try_emplace(member.name_);
    Question& question = asked->second;
    // A former home was asked without sealing and has to be asked again.
    const bool unsealed = !added && question.as_home_ && !is_home;
    if (added || unsealed) {
      question = {.state_ = AskState::kPending, .as_home_ = is_home};
      decision.targets_.push_back(member.name_);
    }
  }
  if (!decision.targets_.empty()) {
    decision.step_ = RoundStep::kAsk;
  } else if (!HasPending(round)) {
    decision.step_ = RoundStep::kRunAtHome;
  }
  return decision;
}

std::uint64_t HomeRank(const RequestKey& key, const std::string& target) {
  return HashBytes(target, key.high_ ^ MixBits(key.low_));
}

}  // namespace jujubefront
