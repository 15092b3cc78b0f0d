#include "suspicion/suspicion.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "base/hashing.h"

namespace jujubefront {
namespace {

// Charges kept for one content: enough for the longest condemnation, which
// needs min_charges_to_condemn_ + max_doublings_ incarnations.
constexpr std::size_t kMaxCharges = 16;
// Callers for which the clearance of one content is kept.
constexpr std::size_t kMaxClearances = 16;
// Each node derives the time of a charge or clearance from its age on arrival,
// so the delay of a notice shifts it. Within this margin the order of a charge
// and a clearance is not known, and the clearance wins.
constexpr Duration kNoticeSkew = std::chrono::milliseconds(250);

std::uint64_t HashEntry(const Fingerprint& content, std::uint64_t value,
                        std::uint64_t caller) {
  return MixBits(MixBits(content.high_ ^ MixBits(content.low_)) ^
                 MixBits(value) ^ MixBits(caller + 1));
}

std::uint64_t HashCharge(const Fingerprint& content,
                         const CrashCharge& charge) {
  return HashEntry(content, charge.incarnation_, charge.caller_);
}

std::uint64_t HashSuccess(const Fingerprint& content, std::uint64_t caller) {
  return HashEntry(content, 0, caller);
}

// Number of distinct incarnations that a content is charged with, and time of
// the latest charge.
struct ChargeSummary {
  std::uint32_t incarnations_ = 0;
  // Times before the start of the clock occur: charges may be older than the
  // local host.
  Timestamp last_crash_at_ = Timestamp::min();
};

template <typename Counts>
ChargeSummary SummarizeCharges(const Suspect& suspect, Counts is_counted) {
  ChargeSummary summary;
  std::set<std::uint64_t> incarnations;
  for (const CrashCharge& charge : suspect.charges_) {
    if (!is_counted(charge)) continue;
    incarnations.insert(charge.incarnation_);
    summary.last_crash_at_ = std::max(summary.last_crash_at_, charge.at_);
  }
  summary.incarnations_ = static_cast<std::uint32_t>(incarnations.size());
  return summary;
}

ChargeSummary SummarizeCharges(const Suspect& suspect) {
  return SummarizeCharges(suspect, [](const CrashCharge&) { return true; });
}

Duration CondemnationTtl(const SuspicionOptions& options,
                         const ChargeSummary& summary) {
  const std::uint32_t doublings =
      std::min(summary.incarnations_ - options.min_charges_to_condemn_,
               options.max_doublings_);
  return options.condemnation_ttl_ * (1U << doublings);
}

bool ReachesContainment(const SuspicionOptions& options,
                        const Suspect& suspect) {
  return SummarizeCharges(suspect).incarnations_ >=
         options.min_charges_to_contain_;
}

// The content's contribution to SuspicionState::digest_: 0 while it has too
// few charges to be contained. Contributions are combined by exclusive or, so
// that the digest does not depend on the order of the entries.
std::uint64_t ComputeDigest(const SuspicionOptions& options,
                            const Fingerprint& content,
                            const Suspect& suspect) {
  std::uint64_t digest = 0;
  if (!ReachesContainment(options, suspect)) return digest;
  for (const CrashCharge& charge : suspect.charges_) {
    digest ^= HashCharge(content, charge);
  }
  return digest;
}

// Changes the charges of a content and updates the digest accordingly.
template <typename Change>
void ChangeCharges(SuspicionState& state, const SuspicionOptions& options,
                   const Fingerprint& content, Suspect& suspect,
                   Change change) {
  state.digest_ ^= ComputeDigest(options, content, suspect);
  change(suspect.charges_);
  state.digest_ ^= ComputeDigest(options, content, suspect);
}

template <typename Condition>
void RemoveCharges(SuspicionState& state, const SuspicionOptions& options,
                   const Fingerprint& content, Suspect& suspect,
                   Condition condition) {
  ChangeCharges(state, options, content, suspect,
                [&](auto& charges) { std::erase_if(charges, condition); });
}

// Makes room for another content: removes expired charges and, if that is not
// enough, the content with the fewest charged incarnations, among equals the
// one whose latest charge is oldest.
void EvictIfFull(SuspicionState& state, const SuspicionOptions& options,
                 Timestamp now) {
  if (state.suspects_.size() < options.max_suspects_) return;
  RemoveExpiredCharges(state, options, now);
  if (state.suspects_.size() < options.max_suspects_) return;
  const auto least_charged = std::min_element(
      state.suspects_.begin(), state.suspects_.end(),
      [](const auto& a, const auto& b) {
        const ChargeSummary left = SummarizeCharges(a.second);
        const ChargeSummary right = SummarizeCharges(b.second);
        return std::tie(left.incarnations_, left.last_crash_at_) <
               std::tie(right.incarnations_, right.last_crash_at_);
      });
  RemoveCharges(state, options, least_charged->first, least_charged->second,
                [](const CrashCharge&) { return true; });
  state.suspects_.erase(least_charged);
}

Suspect& EnsureSuspect(SuspicionState& state, const SuspicionOptions& options,
                       Timestamp now, const Fingerprint& content) {
  if (!state.suspects_.contains(content)) EvictIfFull(state, options, now);
  return state.suspects_[content];
}

}  // namespace

bool RecordCharge(SuspicionState& state, const SuspicionOptions& options,
                  Timestamp now, const Fingerprint& content,
                  const CrashCharge& charge) {
  Suspect& suspect = EnsureSuspect(state, options, now, content);
  const auto clearance = suspect.cleared_at_.find(charge.caller_);
  if (clearance != suspect.cleared_at_.end() &&
      charge.at_ <= clearance->second + kNoticeSkew) {
    return false;
  }
  const bool known =
      std::any_of(suspect.charges_.begin(), suspect.charges_.end(),
                  [&](const CrashCharge& c) {
                    return c.incarnation_ == charge.incarnation_ &&
                           c.caller_ == charge.caller_;
                  });
  if (known) return false;
  const bool full = suspect.charges_.size() >= kMaxCharges;
  const auto oldest = std::min_element(
      suspect.charges_.begin(), suspect.charges_.end(),
      [](const CrashCharge& a, const CrashCharge& b) { return a.at_ < b.at_; });
  if (full && oldest->at_ >= charge.at_) return false;
  ChangeCharges(state, options, content, suspect, [&](auto& charges) {
    if (full) charges.erase(oldest);
    charges.push_back(charge);
  });
  return true;
}

void RaiseCharges(SuspicionState& state, const SuspicionOptions& options,
                  Timestamp now, const Fingerprint& content,
                  std::uint32_t charges) {
  const auto max_charges = static_cast<std::uint32_t>(kMaxCharges);
  for (std::uint32_t incarnation = 1;
       incarnation <= std::min(charges, max_charges); ++incarnation) {
    RecordCharge(state, options, now, content,
                 {.incarnation_ = incarnation, .at_ = now});
  }
}

bool RecordClearance(SuspicionState& state, const SuspicionOptions& options,
                     Timestamp now, const Fingerprint& content,
                     std::uint64_t caller, Timestamp at) {
  Suspect& suspect = EnsureSuspect(state, options, now, content);
  const auto [clearance, added] = suspect.cleared_at_.try_emplace(caller, at);
  // A clearance that only extends a known one is reported once per half of its
  // lifetime, so that frequent successes are not broadcast each time.
  const bool is_new = added || at > clearance->second + options.charge_ttl_ / 2;
  clearance->second = std::max(clearance->second, at);
  RemoveCharges(
      state, options, content, suspect, [&](const CrashCharge& charge) {
        return charge.caller_ == caller && charge.at_ <= at + kNoticeSkew;
      });
  if (suspect.cleared_at_.size() > kMaxClearances) {
    const auto oldest = std::min_element(
        suspect.cleared_at_.begin(), suspect.cleared_at_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    suspect.cleared_at_.erase(oldest);
  }
  return is_new;
}

bool RecordSuccess(SuspicionState& state, const SuspicionOptions& options,
                   Timestamp now, const Fingerprint& content,
                   std::uint64_t caller) {
  const std::uint64_t hash = HashSuccess(content, caller);
  auto& order = state.success_order_;
  const auto [known, added] = state.successes_.try_emplace(hash, now);
  known->second = now;
  if (added) order.emplace_back(now, hash);
  while (!order.empty() && (order.size() > options.max_successes_ ||
                            now - order.front().first > options.success_ttl_)) {
    const auto [noted_at, oldest] = order.front();
    order.pop_front();
    const auto success = state.successes_.find(oldest);
    if (success == state.successes_.end()) continue;
    // The content has succeeded again since this entry was queued.
    if (success->second > noted_at && order.size() < options.max_successes_) {
      order.emplace_back(success->second, oldest);
    } else {
      state.successes_.erase(success);
    }
  }
  const auto suspect = state.suspects_.find(content);
  if (suspect == state.suspects_.end()) return false;
  // Too few charges to contain the content have no effect on other nodes, so
  // they are only removed here and no clearance is broadcast.
  if (!ReachesContainment(options, suspect->second)) {
    RemoveCharges(
        state, options, content, suspect->second,
        [&](const CrashCharge& charge) { return charge.caller_ == caller; });
    return false;
  }
  return RecordClearance(state, options, now, content, caller, now);
}

bool SucceededRecently(const SuspicionState& state,
                       const SuspicionOptions& options, Timestamp now,
                       const Fingerprint& content, std::uint64_t caller) {
  const auto found = state.successes_.find(HashSuccess(content, caller));
  return found != state.successes_.end() &&
         now - found->second <= options.success_ttl_;
}

ContentVerdict EvaluateContent(const SuspicionState& state,
                               const SuspicionOptions& options, Timestamp now,
                               const Fingerprint& content,
                               std::uint64_t caller) {
  const auto found = state.suspects_.find(content);
  if (found == state.suspects_.end()) return {};
  const Suspect& suspect = found->second;
  const bool cleared = suspect.cleared_at_.contains(caller);
  const ChargeSummary summary =
      SummarizeCharges(suspect, [&](const CrashCharge& charge) {
        return !cleared || charge.caller_ == caller;
      });
  ContentVerdict verdict{.charges_ = summary.incarnations_};
  if (summary.incarnations_ >= options.min_charges_to_condemn_) {
    const Duration ttl = CondemnationTtl(options, summary);
    verdict.until_ = summary.last_crash_at_ + ttl;
    if (now < verdict.until_) {
      verdict.standing_ = Standing::kCondemned;
    } else if (now < verdict.until_ + ttl) {
      verdict.standing_ = Standing::kContained;
    }
  } else if (summary.incarnations_ >= options.min_charges_to_contain_ &&
             now - summary.last_crash_at_ < options.charge_ttl_) {
    verdict.standing_ = Standing::kContained;
  }
  return verdict;
}

bool ShouldResync(const SuspicionOptions& options, const Suspect& suspect) {
  return suspect.charges_.empty() || ReachesContainment(options, suspect);
}

std::uint32_t ChargesAgainst(const SuspicionState& state,
                             const Fingerprint& content) {
  const auto found = state.suspects_.find(content);
  return found == state.suspects_.end()
             ? 0
             : SummarizeCharges(found->second).incarnations_;
}

std::vector<Fingerprint> RemoveExpiredCharges(SuspicionState& state,
                                              const SuspicionOptions& options,
                                              Timestamp now) {
  std::vector<Fingerprint> released;
  for (auto it = state.suspects_.begin(); it != state.suspects_.end();) {
    Suspect& suspect = it->second;
    const ChargeSummary summary = SummarizeCharges(suspect);
    const bool condemned =
        summary.incarnations_ >= options.min_charges_to_condemn_;
    const Duration ttl =
        condemned ? 2 * CondemnationTtl(options, summary) : options.charge_ttl_;
    RemoveCharges(
        state, options, it->first, suspect, [&](const CrashCharge& charge) {
          return now - (condemned ? summary.last_crash_at_ : charge.at_) >= ttl;
        });
    std::erase_if(suspect.cleared_at_, [&](const auto& clearance) {
      return now - clearance.second >= options.charge_ttl_;
    });
    if (condemned && suspect.charges_.empty()) released.push_back(it->first);
    const bool expired =
        suspect.charges_.empty() && suspect.cleared_at_.empty();
    it = expired ? state.suspects_.erase(it) : std::next(it);
  }
  return released;
}

}  // namespace jujubefront
