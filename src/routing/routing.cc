#include "routing/routing.h"

#include <algorithm>

#include "context/priority.h"

namespace jujubefront {
namespace {

constexpr double kLatencyWeight = 0.1;
constexpr double kUnknownLatencyUs = 5'000.0;
constexpr double kCrossingBurstSeconds = 1.0;  // limit on accumulated crossings

// Candidates that can be chosen, and whether an admission level excluded any.
struct Selection {
  std::vector<const Candidate*> usable_;
  bool excluded_by_level_ = false;
};

bool IsEjected(const TargetStats& stats, Timestamp now) {
  return stats.ejected_until_ > now;
}

bool LevelAdmits(const TargetStats& stats, Timestamp now,
                 const std::string& class_name, Priority priority) {
  const auto found = stats.levels_.find(class_name);
  if (found == stats.levels_.end()) return true;
  return Admits(LevelNow(found->second, now), priority);
}

double ScoreOf(const TargetStats& stats, const RoutingOptions& options,
               Locality locality) {
  const double latency =
      stats.latency_us_ > 0.0 ? stats.latency_us_ : kUnknownLatencyUs;
  const double path_cost =
      locality == Locality::kLocalZone
          ? 0.0
          : static_cast<double>(options.zone_price_.count());
  return (stats.outstanding_ + 1.0) * latency + path_cost;
}

Selection Select(RoutingState& state, const RoutingOptions& options,
                 Timestamp now, const std::vector<Candidate>& candidates,
                 bool other_regions, bool ejected_too,
                 const std::string& class_name, Priority priority) {
  Selection selection;
  for (const Candidate& candidate : candidates) {
    const bool is_other_region = candidate.locality_ == Locality::kOtherRegion;
    if (is_other_region != other_regions) continue;
    const TargetStats& stats = state.targets_[candidate.name_];
    if (!ejected_too && IsEjected(stats, now)) continue;
    if (options.use_levels_ && !LevelAdmits(stats, now, class_name, priority)) {
      selection.excluded_by_level_ = true;
      continue;
    }
    selection.usable_.push_back(&candidate);
  }
  return selection;
}

const Candidate* BetterOfTwo(RoutingState& state, const RoutingOptions& options,
                             const std::vector<const Candidate*>& usable,
                             RandomState& random) {
  const Candidate* first = usable[NextBelow(random, usable.size())];
  const Candidate* second = usable[NextBelow(random, usable.size())];
  const double first_score =
      ScoreOf(state.targets_[first->name_], options, first->locality_);
  const double second_score =
      ScoreOf(state.targets_[second->name_], options, second->locality_);
  return second_score < first_score ? second : first;
}

bool SpendCrossing(RoutingState& state, const RoutingOptions& options,
                   Timestamp now) {
  const double elapsed = InSeconds(now - state.crossing_filled_at_);
  const double burst = options.crossings_per_second_ * kCrossingBurstSeconds;
  state.crossing_tokens_ = std::min(
      burst, state.crossing_tokens_ + elapsed * options.crossings_per_second_);
  state.crossing_filled_at_ = now;
  if (state.crossing_tokens_ < 1.0) return false;
  state.crossing_tokens_ -= 1.0;
  return true;
}

void Eject(TargetStats& stats, const RoutingOptions& options, Timestamp now) {
  constexpr std::uint32_t kMaxDoublings = 16;
  const auto doublings = std::min(stats.ejections_, kMaxDoublings);
  const Duration length = std::min(options.max_ejection_,
                                   options.first_ejection_ * (1 << doublings));
  stats.ejected_until_ = now + length;
  ++stats.ejections_;
  stats.consecutive_failures_ = 0;
}

}  // namespace

Route ChooseTarget(RoutingState& state, const RoutingOptions& options,
                   Timestamp now, const std::vector<Candidate>& candidates,
                   const std::string& class_name, Priority priority,
                   RandomState& random) {
  bool overloaded = false;
  // Ejected targets are tried last: when all are ejected, the failures are more
  // likely due to the network path than to each of the targets.
  for (const bool ejected_too : {false, true}) {
    for (const bool other_regions : {false, true}) {
      const Selection selection =
          Select(state, options, now, candidates, other_regions, ejected_too,
                 class_name, priority);
      overloaded = overloaded || selection.excluded_by_level_;
      if (selection.usable_.empty()) continue;
      if (other_regions && !SpendCrossing(state, options, now)) {
        overloaded = true;
        continue;
      }
      return {
          .target_ =
              BetterOfTwo(state, options, selection.usable_, random)->name_};
    }
    if (overloaded) break;
  }
  return {.failure_ =
              overloaded ? RouteFailure::kOverloaded : RouteFailure::kNoTarget};
}

void RecordSent(RoutingState& state, const std::string& target) {
  ++state.targets_[target].outstanding_;
}

void RecordEnded(RoutingState& state, const RoutingOptions& options,
                 Timestamp now, const std::string& target, SendOutcome outcome,
                 Duration latency) {
  const auto found = state.targets_.find(target);
  if (found == state.targets_.end()) return;
  TargetStats& stats = found->second;
  if (stats.outstanding_ > 0) --stats.outstanding_;
  if (outcome == SendOutcome::kAnswered) {
    const auto sample = static_cast<double>(latency.count());
    if (stats.latency_us_ <= 0.0) stats.latency_us_ = sample;
    stats.latency_us_ += kLatencyWeight * (sample - stats.latency_us_);
    stats.consecutive_failures_ = 0;
    stats.ejections_ = 0;
  }
  if (outcome == SendOutcome::kFailed &&
      ++stats.consecutive_failures_ >= options.failures_to_eject_) {
    Eject(stats, options, now);
  }
}

void RecordLevel(RoutingState& state, Timestamp now, const std::string& target,
                 const std::string& class_name, AdmissionLevel level) {
  state.targets_[target].levels_[class_name] = {.level_ = level,
                                                .received_at_ = now};
}

void ForgetTarget(RoutingState& state, const std::string& target) {
  state.targets_.erase(target);
}

}  // namespace jujubefront
