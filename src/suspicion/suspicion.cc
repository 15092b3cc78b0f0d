#include "suspicion/suspicion.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "base/hashing.h"

namespace jujubefront {
namespace {

// Charges that are kept of one content; more of them change nothing.
constexpr std::size_t kMaxCharges = 16;
// Callers that are kept of one content.
constexpr std::size_t kMaxCleared = 16;
// A charge and a clearance that are closer together than the delays of their
// notices may be in either order.
constexpr Duration kNoticeSkew = std::chrono::milliseconds(250);

std::uint64_t HashOf(const Fingerprint& content, std::uint64_t value,
                     std::uint64_t caller) {
  return MixBits(MixBits(content.high_ ^ MixBits(content.low_)) ^
                 MixBits(value) ^ MixBits(caller + 1));
}

std::uint64_t HashOf(const Fingerprint& content, const CrashCharge& charge) {
  return HashOf(content, charge.incarnation_, charge.caller_);
}

std::uint64_t HashOfSuccess(const Fingerprint& content, std::uint64_t caller) {
  return HashOf(content, 0, caller);
}

// Distinct incarnations, and when the last of them ended.
struct Weight {
  std::uint32_t incarnations_ = 0;
  Timestamp newest_;
};

template <typename Counts>
Weight WeightOf(const Suspect& suspect, Counts counts) {
  Weight weight;
  std::set<std::uint64_t> incarnations;
  for (const CrashCharge& charge : suspect.charges_) {
    if (!counts(charge)) continue;
    incarnations.insert(charge.incarnation_);
    weight.newest_ = std::max(weight.newest_, charge.at_);
  }
  weight.incarnations_ = static_cast<std::uint32_t>(incarnations.size());
  return weight;
}

Weight WeightOf(const Suspect& suspect) {
  return WeightOf(suspect, [](const CrashCharge&) { return true; });
}

Duration CondemnedFor(const SuspicionOptions& options, const Weight& weight) {
  const std::uint32_t doublings =
      std::min(weight.incarnations_ - options.min_charges_to_condemn_,
               options.max_doublings_);
  return options.condemnation_ttl_ * (1U << doublings);
}

bool Matters(const SuspicionOptions& options, const Suspect& suspect) {
  return WeightOf(suspect).incarnations_ >= options.min_charges_to_contain_;
}

// What a content adds to the digest.
std::uint64_t DigestOf(const SuspicionOptions& options,
                       const Fingerprint& content, const Suspect& suspect) {
  std::uint64_t digest = 0;
  if (!Matters(options, suspect)) return digest;
  for (const CrashCharge& charge : suspect.charges_) {
    digest ^= HashOf(content, charge);
  }
  return digest;
}

// Changes the charges of a content and keeps the digest right.
template <typename Change>
void ChangeCharges(SuspicionState& state, const SuspicionOptions& options,
                   const Fingerprint& content, Suspect& suspect,
                   Change change) {
  state.digest_ ^= DigestOf(options, content, suspect);
  change(suspect.charges_);
  state.digest_ ^= DigestOf(options, content, suspect);
}

template <typename Condition>
void RemoveCharges(SuspicionState& state, const SuspicionOptions& options,
                   const Fingerprint& content, Suspect& suspect,
                   Condition condition) {
  ChangeCharges(state, options, content, suspect,
                [&](auto& charges) { std::erase_if(charges, condition); });
}

// Makes room by giving up the content that weighs least.
void MakeRoom(SuspicionState& state, const SuspicionOptions& options,
              Timestamp now) {
  if (state.suspects_.size() < options.max_suspects_) return;
  RemoveExpiredCharges(state, options, now);
  if (state.suspects_.size() < options.max_suspects_) return;
  const auto lightest =
      std::min_element(state.suspects_.begin(), state.suspects_.end(),
                       [](const auto& a, const auto& b) {
                         const Weight left = WeightOf(a.second);
                         const Weight right = WeightOf(b.second);
                         return std::tie(left.incarnations_, left.newest_) <
                                std::tie(right.incarnations_, right.newest_);
                       });
  RemoveCharges(state, options, lightest->first, lightest->second,
                [](const CrashCharge&) { return true; });
  state.suspects_.erase(lightest);
}

Suspect& EnsureSuspect(SuspicionState& state, const SuspicionOptions& options,
                       Timestamp now, const Fingerprint& content) {
  if (!state.suspects_.contains(content)) MakeRoom(state, options, now);
  return state.suspects_[content];
}

}  // namespace

bool RecordCharge(SuspicionState& state, const SuspicionOptions& options,
                  Timestamp now, const Fingerprint& content,
                  const CrashCharge& charge) {
  Suspect& suspect = EnsureSuspect(state, options, now, content);
  const auto cleared = suspect.cleared_.find(charge.caller_);
  if (cleared != suspect.cleared_.end() &&
      charge.at_ <= cleared->second + kNoticeSkew) {
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
  const auto most = static_cast<std::uint32_t>(kMaxCharges);
  for (std::uint32_t number = 1; number <= std::min(charges, most); ++number) {
    RecordCharge(state, options, now, content,
                 {.incarnation_ = number, .at_ = now});
  }
}

bool RecordClearance(SuspicionState& state, const SuspicionOptions& options,
                     Timestamp now, const Fingerprint& content,
                     std::uint64_t caller, Timestamp at) {
  Suspect& suspect = EnsureSuspect(state, options, now, content);
  const auto [cleared, added] = suspect.cleared_.try_emplace(caller, at);
  const bool news = added || at > cleared->second + options.charge_ttl_ / 2;
  cleared->second = std::max(cleared->second, at);
  RemoveCharges(
      state, options, content, suspect, [&](const CrashCharge& charge) {
        return charge.caller_ == caller && charge.at_ <= at + kNoticeSkew;
      });
  if (suspect.cleared_.size() > kMaxCleared) {
    const auto oldest = std::min_element(
        suspect.cleared_.begin(), suspect.cleared_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    suspect.cleared_.erase(oldest);
  }
  return news;
}

bool RecordSuccess(SuspicionState& state, const SuspicionOptions& options,
                   Timestamp now, const Fingerprint& content,
                   std::uint64_t caller) {
  const std::uint64_t hash = HashOfSuccess(content, caller);
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
    // It has succeeded again since.
    if (success->second > noted_at && order.size() < options.max_successes_) {
      order.emplace_back(success->second, oldest);
    } else {
      state.successes_.erase(success);
    }
  }
  const auto suspect = state.suspects_.find(content);
  if (suspect == state.suspects_.end()) return false;
  // A charge or two less elsewhere makes no difference as long as they do not
  // contain the content.
  if (!Matters(options, suspect->second)) {
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
  const auto found = state.successes_.find(HashOfSuccess(content, caller));
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
  const bool cleared = suspect.cleared_.contains(caller);
  const Weight weight = WeightOf(suspect, [&](const CrashCharge& charge) {
    return !cleared || charge.caller_ == caller;
  });
  ContentVerdict verdict{.charges_ = weight.incarnations_};
  if (weight.incarnations_ >= options.min_charges_to_condemn_) {
    const Duration term = CondemnedFor(options, weight);
    verdict.until_ = weight.newest_ + term;
    if (now < verdict.until_) {
      verdict.standing_ = Standing::kCondemned;
    } else if (now < verdict.until_ + term) {
      verdict.standing_ = Standing::kContained;
    }
  } else if (weight.incarnations_ >= options.min_charges_to_contain_ &&
             now - weight.newest_ < options.charge_ttl_) {
    verdict.standing_ = Standing::kContained;
  }
  return verdict;
}

bool ShouldResync(const SuspicionOptions& options, const Suspect& suspect) {
  return suspect.charges_.empty() || Matters(options, suspect);
}

std::uint32_t ChargesAgainst(const SuspicionState& state,
                             const Fingerprint& content) {
  const auto found = state.suspects_.find(content);
  return found == state.suspects_.end() ? 0
                                        : WeightOf(found->second).incarnations_;
}

void RemoveExpiredCharges(SuspicionState& state,
                          const SuspicionOptions& options, Timestamp now) {
  for (auto it = state.suspects_.begin(); it != state.suspects_.end();) {
    Suspect& suspect = it->second;
    const Weight weight = WeightOf(suspect);
    const bool condemned =
        weight.incarnations_ >= options.min_charges_to_condemn_;
    const Duration memory =
        condemned ? 2 * CondemnedFor(options, weight) : options.charge_ttl_;
    RemoveCharges(
        state, options, it->first, suspect, [&](const CrashCharge& charge) {
          return now - (condemned ? weight.newest_ : charge.at_) >= memory;
        });
    std::erase_if(suspect.cleared_, [&](const auto& cleared) {
      return now - cleared.second >= options.charge_ttl_;
    });
    const bool forgotten = suspect.charges_.empty() && suspect.cleared_.empty();
    it = forgotten ? state.suspects_.erase(it) : std::next(it);
  }
}

}  // namespace jujubefront
