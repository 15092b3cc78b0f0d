#include "admission/limit.h"

#include <algorithm>
#include <cmath>

namespace jujubefront {
namespace {

// Fewer samples than this say too little; the window is then extended.
constexpr std::uint32_t kMinSamples = 20;
constexpr double kAverageWeight = 0.05;
constexpr double kGrowShare = 0.1;
constexpr double kShrinkFactor = 0.9;
// A backend server counts as uncrowded while no more than this share of the
// limit is in flight.
constexpr double kUncrowdedShare = 0.25;
// Weight of one uncrowded window in the base.
constexpr double kBaseWeight = 0.1;
// Weight of a probe in the base.
constexpr double kProbeWeight = 0.5;
// Under load the base is measured by a probe once in so many windows: the
// limit is lowered to the uncrowded share for one window.
constexpr std::uint32_t kWindowsPerProbe = 150;
// Shrinking to this share must not cost this much of the completions, or the
// backend server had no queue of its own.
constexpr double kProofShrink = 0.7;
constexpr double kProofRate = 0.85;
constexpr double kRateWeight = 0.3;
// While calls of others take more than this share of the time, the places are
// held by waiting rather than by work, and the limit may follow the demand.
constexpr double kWaitingShare = 0.5;
constexpr double kGrowShareWaiting = 0.5;

// True when most of the time of the calls passes in calls of their own.
bool MostlyWaits(const LimitState& state) {
  return state.sample_sum_us_ < state.total_sum_us_ * (1.0 - kWaitingShare);
}

void Grow(LimitState& state) {
  if (!state.reached_) return;
  const double share = MostlyWaits(state) ? kGrowShareWaiting : kGrowShare;
  if (state.starting_) {
    state.limit_ *= 2.0;
  } else {
    state.limit_ += std::max(1.0, state.limit_ * share);
  }
  // One lucky window between shrinks does not end the search for the cause.
  if (state.limit_ >= state.inflated_limit_) state.inflated_rate_ = 0.0;
}

// Shrinks while a smaller limit completes as much. When it does not, the
// backend server is slow rather than crowded, and the base is raised instead.
// Times would not tell: deadlines cut them off.
void Shrink(LimitState& state) {
  state.starting_ = false;
  if (state.inflated_rate_ <= 0.0) {
    state.inflated_rate_ = state.completion_rate_;
    state.inflated_limit_ = state.limit_;
  }
  const bool shrunk = state.limit_ <= state.inflated_limit_ * kProofShrink;
  const bool completes_less =
      state.completion_rate_ < state.inflated_rate_ * kProofRate;
  if (shrunk && completes_less) {
    state.base_time_us_ = state.average_time_us_;
    state.limit_ = state.inflated_limit_;
    state.inflated_rate_ = 0.0;
    return;
  }
  if (shrunk) state.inflated_rate_ = 0.0;  // crowded: a new search begins here
  state.limit_ *= kShrinkFactor;
}

// Half again the standard error of a mean of exponential times, relative to
// the mean: what chance alone adds to a window of so many samples.
double NoiseOf(std::uint32_t samples) {
  return 1.5 / std::sqrt(static_cast<double>(samples));
}

// Learns the own time without crowding: from uncrowded windows, from probes,
// and from windows that are shorter by more than chance. Other windows would
// let the base creep up with the very queue that it is to reveal, or down to
// the luckiest.
void LearnBase(LimitState& state, double window_time_us) {
  if (state.base_time_us_ <= 0.0) state.base_time_us_ = window_time_us;
  const double change = window_time_us - state.base_time_us_;
  const double least = state.base_time_us_ * (1.0 - NoiseOf(state.samples_));
  const bool uncrowded = state.peak_running_ <= state.limit_ * kUncrowdedShare;
  if (state.probe_ == ProbePhase::kMeasuring) {
    state.base_time_us_ += kProbeWeight * change;
  } else if (uncrowded || window_time_us < least) {
    state.base_time_us_ += kBaseWeight * change;
  }
}

void BeginProbe(LimitState& state) {
  state.probe_ = ProbePhase::kDraining;
  state.limit_before_probe_ = state.limit_;
  state.limit_ = std::max(1.0, state.limit_ * kUncrowdedShare);
}

void EndProbe(LimitState& state) {
  state.probe_ = ProbePhase::kNone;
  state.limit_ = state.limit_before_probe_;
  state.windows_since_probe_ = 0;
}

bool IsProbeDue(LimitState& state) {
  if (!state.reached_) return false;
  return ++state.windows_since_probe_ >= kWindowsPerProbe;
}

void StartWindow(LimitState& state, std::uint32_t running) {
  state.samples_ = 0;
  state.completed_ = 0;
  state.sample_sum_us_ = 0.0;
  state.total_sum_us_ = 0.0;
  state.elapsed_ = Duration::zero();
  state.reached_ = false;
  state.peak_running_ = running;
}

void JudgeWindow(LimitState& state, const AdmissionOptions& options,
                 double window_time_us) {
  const double ratio = window_time_us / state.base_time_us_;
  const double noise = NoiseOf(state.samples_);
  if (ratio <= options.grow_tolerance_ + noise / 2.0) {
    Grow(state);
  } else if (ratio >= options.shrink_tolerance_ + noise &&
             !MostlyWaits(state)) {
    Shrink(state);
  } else {
    state.starting_ = false;
  }
}

}  // namespace

void AddTimeSample(LimitState& state, Duration own_time, Duration total_time,
                   bool completed) {
  state.total_sum_us_ += static_cast<double>(total_time.count());
  if (completed) ++state.completed_;
  const auto time_us = static_cast<double>(own_time.count());
  state.sample_sum_us_ += time_us;
  ++state.samples_;
  if (state.average_time_us_ <= 0.0) state.average_time_us_ = time_us;
  state.average_time_us_ += kAverageWeight * (time_us - state.average_time_us_);
}

void RecordRunning(LimitState& state, std::uint32_t running) {
  state.peak_running_ = std::max(state.peak_running_, running);
}

void CloseLimitWindow(LimitState& state, const AdmissionOptions& options,
                      std::uint32_t running, Duration elapsed) {
  state.elapsed_ += elapsed;
  if (state.probe_ == ProbePhase::kDraining) {
    if (running > state.limit_) return;
    // What started in the crowd has ended: from here on times are its own.
    state.probe_ = ProbePhase::kMeasuring;
    return StartWindow(state, running);
  }
  if (state.samples_ < kMinSamples) return;
  const double window_time =
      std::max(1.0, state.sample_sum_us_ / state.samples_);
  LearnBase(state, window_time);
  const double rate = state.completed_ / InSeconds(state.elapsed_);
  state.completion_rate_ += kRateWeight * (rate - state.completion_rate_);
  if (state.probe_ == ProbePhase::kMeasuring) {
    EndProbe(state);
  } else if (IsProbeDue(state)) {
    BeginProbe(state);
  } else {
    JudgeWindow(state, options, window_time);
    state.limit_ =
        std::clamp(state.limit_, static_cast<double>(options.min_limit_),
                   static_cast<double>(options.max_limit_));
  }
  StartWindow(state, running);
}

}  // namespace jujubefront
