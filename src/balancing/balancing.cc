#include "balancing/balancing.h"

#include <algorithm>
#include <cmath>

namespace jujubefront {
namespace {

// Penalties that differ by no more than this count as equal.
constexpr Duration kEqualPenaltyTolerance = std::chrono::milliseconds(2);
// Hold time that is assumed where none is known.
constexpr Duration kDefaultHold = std::chrono::milliseconds(50);

// A candidate that may be drawn.
struct Choice {
  std::size_t index_ = 0;
  PlacementCandidate now_;  // with hold time and load as expected now
  double slots_ = 1.0;
  double weight_ = 0.0;
};

double InMicroseconds(Duration duration) {
  return static_cast<double>(duration.count());
}

// Whether a candidate may be chosen in place of `best`. One in another region
// must meet the condition of ChooseCandidate for them.
bool IsEligible(const PlacementCandidate& candidate,
                const PlacementCandidate& best, bool has_local,
                const PlacementOptions& placement) {
  if (!candidate.states_pace_) return false;
  if (candidate.distance_ > best.distance_) return false;
  // A rate limit keeps it from starting a run now.
  if (candidate.start_wait_ > best.start_wait_) return false;
  return candidate.distance_ != Distance::kOtherRegion || !has_local ||
         HasCapacityForRemoteRequests(candidate, placement);
}

std::vector<Choice> FindChoices(
    const std::vector<PlacementCandidate>& candidates,
    const PlacementOptions& placement, const BalancingOptions& options,
    std::size_t best) {
  const bool has_local =
      std::any_of(candidates.begin(), candidates.end(),
                  [](const PlacementCandidate& candidate) {
                    return candidate.distance_ != Distance::kOtherRegion;
                  });
  std::vector<Choice> choices;
  choices.reserve(candidates.size());
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (!IsEligible(candidates[i], candidates[best], has_local, placement)) {
      continue;
    }
    Choice& choice = choices.emplace_back();
    choice.index_ = i;
    choice.now_ = candidates[i];
    choice.slots_ = std::max(1.0, static_cast<double>(candidates[i].slots_));
    const double ratio =
        std::isfinite(candidates[i].pace_ratio_)
            ? std::clamp(candidates[i].pace_ratio_, options.min_pace_ratio_,
                         options.max_pace_ratio_)
            : 1.0;
    const Duration hold = candidates[i].hold_ > Duration::zero()
                              ? candidates[i].hold_
                              : kDefaultHold;
    choice.now_.hold_ = Duration(std::max<std::int64_t>(
        1, static_cast<std::int64_t>(InMicroseconds(hold) * ratio)));
  }
  return choices;
}

// Replaces reported loads by those expected now. After a hold time most of the
// runs that a report counted have ended, and what has arrived since then
// depends on all entries, which have seen the same report. An old load is
// therefore moved towards the mean utilisation. Without that, all entries would
// avoid a host that was full, and it would stay empty until its next report.
void EstimateLoads(std::vector<Choice>& choices) {
  double load = 0.0;
  double slots = 0.0;
  for (const Choice& choice : choices) {
    load += choice.now_.load_;
    slots += choice.slots_;
  }
  const double mean = load / slots;
  for (Choice& choice : choices) {
    const double utilisation = choice.now_.load_ / choice.slots_;
    const double drain =
        InMicroseconds(choice.now_.hold_) * std::max(1.0, utilisation);
    const Duration age = std::max(Duration::zero(), choice.now_.load_age_);
    const double known = std::exp(-InMicroseconds(age) / drain);
    choice.now_.load_ = (mean + (utilisation - mean) * known) * choice.slots_;
  }
}

// The weight is the service rate, less for less headroom. As in ExpectedFinish,
// the risk of failure counts as time: a host at which most runs fail gets few.
void SetWeights(std::vector<Choice>& choices, const BalancingOptions& options,
                const PlacementRequest& request) {
  for (Choice& choice : choices) {
    const double utilisation = choice.now_.load_ / choice.slots_;
    const double headroom =
        std::clamp(options.zero_weight_utilisation_ - utilisation,
                   options.min_headroom_, options.max_headroom_);
    const double cost =
        InMicroseconds(choice.now_.hold_) +
        InMicroseconds(request.latency_objective_) * choice.now_.failure_share_;
    choice.weight_ = choice.slots_ / cost * headroom;
  }
}

// Reduces the weights of slower candidates as far as faster ones can serve all
// arrivals at the fill utilisation. The arrival rate follows from the sum of
// the loads (Little's law), which all entries see alike and which does not
// depend on how they spread requests, so that old reports cause no herding.
void FillFastestFirst(std::vector<Choice>& choices,
                      const BalancingOptions& options) {
  if (options.fill_utilisation_ <= 0.0) return;
  const auto rate = [](const Choice& choice, double slots) {
    return slots / InMicroseconds(choice.now_.hold_);
  };
  double wanted = 0.0;
  for (const Choice& choice : choices) {
    wanted += rate(choice, std::min(choice.now_.load_, choice.slots_));
  }
  std::sort(choices.begin(), choices.end(),
            [](const Choice& a, const Choice& b) {
              return a.now_.hold_ < b.now_.hold_;
            });
  for (auto first = choices.begin(); first != choices.end();) {
    const double limit =
        InMicroseconds(first->now_.hold_) * options.equal_hold_factor_;
    auto last = first;
    double usable = 0.0;
    for (; last != choices.end() && InMicroseconds(last->now_.hold_) <= limit;
         ++last) {
      usable += rate(*last, last->slots_) * options.fill_utilisation_;
    }
    const double used =
        std::clamp(wanted / usable, options.min_fill_share_, 1.0);
    for (; first != last; ++first) first->weight_ *= used;
    wanted = std::max(0.0, wanted - usable);
  }
}

const Choice& Draw(const std::vector<Choice>& choices, double draw) {
  double left = 0.0;
  for (const Choice& choice : choices) left += choice.weight_;
  left *= draw;
  for (const Choice& choice : choices) {
    left -= choice.weight_;
    if (left < 0.0) return choice;
  }
  return choices.back();
}

Duration Penalty(const Choice& choice, const PlacementOptions& placement,
                 const PlacementRequest& request) {
  return ExpectedFinish(choice.now_, placement, request) - choice.now_.hold_;
}

}  // namespace

std::size_t ChooseBalanced(const std::vector<PlacementCandidate>& candidates,
                           const PlacementOptions& placement,
                           const BalancingOptions& options,
                           const PlacementRequest& request, std::size_t best,
                           const BalancingDraws& draws) {
  std::vector<Choice> choices =
      FindChoices(candidates, placement, options, best);
  if (choices.size() < 2) return best;
  EstimateLoads(choices);
  SetWeights(choices, options, request);
  FillFastestFirst(choices, options);
  const Choice& first = Draw(choices, draws.first_);
  const Choice& second = Draw(choices, draws.second_);
  const bool second_is_better =
      Penalty(second, placement, request) + kEqualPenaltyTolerance <
      Penalty(first, placement, request);
  return second_is_better ? second.index_ : first.index_;
}

}  // namespace jujubefront
