#include "admission/limit.h"

#include <algorithm>
#include <cmath>

namespace jujubefront {
namespace {

// A window with fewer samples is extended.
constexpr std::uint32_t kMinSamples = 20;
constexpr double kAverageWeight = 0.05;
constexpr double kGrowShare = 0.1;
constexpr double kShrinkFactor = 0.9;
// A backend server counts as lightly loaded while at most this share of the
// limit is in flight.
constexpr double kLightLoadShare = 0.25;
// Weight of one lightly loaded window in the base time.
constexpr double kBaseWeight = 0.1;
// Weight of a probe in the base time.
constexpr double kProbeWeight = 0.5;
// Under load the base time is measured by a probe once per this many windows:
// for one window, the limit is lowered to the share of a light load.
constexpr std::uint32_t kWindowsPerProbe = 150;
// When the limit has shrunk to the first share and completions have fallen
// below the second, the backend server had no internal queue.
constexpr double kComparisonLimitShare = 0.7;
constexpr double kComparisonRateShare = 0.85;
constexpr double kRateWeight = 0.3;
// While child calls take more than this share of the total time, calls in
// flight are mostly waiting rather than working, and the limit may follow the
// demand.
constexpr double kWaitingShare = 0.5;
constexpr double kGrowShareWaiting = 0.5;

// True when most of the time of the calls is spent waiting for child calls.
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
  // A single short window between shrinks does not end the comparison.
  if (state.limit_ >= state.inflated_limit_) state.inflated_rate_ = 0.0;
}

// Shrinks while a smaller limit completes as many calls. When it does not, the
// backend server is slow rather than overloaded, and the base time is raised
// instead. Times cannot show the difference, since deadlines cut them off.
void Shrink(LimitState& state) {
  state.starting_ = false;
  if (state.inflated_rate_ <= 0.0) {
    state.inflated_rate_ = state.completion_rate_;
    state.inflated_limit_ = state.limit_;
  }
  const bool shrunk =
      state.limit_ <= state.inflated_limit_ * kComparisonLimitShare;
  const bool completes_less =
      state.completion_rate_ < state.inflated_rate_ * kComparisonRateShare;
  if (shrunk && completes_less) {
    state.base_time_us_ = state.average_time_us_;
    state.limit_ = state.inflated_limit_;
    state.inflated_rate_ = 0.0;
    return;
  }
  if (shrunk) state.inflated_rate_ = 0.0;  // overloaded: start a new comparison
  state.limit_ *= kShrinkFactor;
}

// 1.5 times the relative standard error of the mean of this many exponentially
// distributed times: the deviation of a window that chance alone explains.
double RelativeNoise(std::uint32_t samples) {
  return 1.5 / std::sqrt(static_cast<double>(samples));
}

// Updates the base time, which is the own time without queueing: from lightly
// loaded windows, from probes, and from windows whose times are lower than
// chance explains. With all other windows, the base time would rise with the
// queue that it is meant to reveal, or fall to the lowest random value.
void UpdateBaseTime(LimitState& state, double window_time_us) {
  if (state.base_time_us_ <= 0.0) state.base_time_us_ = window_time_us;
  const double change = window_time_us - state.base_time_us_;
  const double lowest_expected =
      state.base_time_us_ * (1.0 - RelativeNoise(state.samples_));
  const bool lightly_loaded =
      state.peak_running_ <= state.limit_ * kLightLoadShare;
  if (state.probe_ == ProbePhase::kMeasuring) {
    state.base_time_us_ += kProbeWeight * change;
  } else if (lightly_loaded || window_time_us < lowest_expected) {
    state.base_time_us_ += kBaseWeight * change;
  }
}

void BeginProbe(LimitState& state) {
  state.probe_ = ProbePhase::kDraining;
  state.limit_before_probe_ = state.limit_;
  state.limit_ = std::max(1.0, state.limit_ * kLightLoadShare);
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

void EvaluateWindow(LimitState& state, const AdmissionOptions& options,
                    double window_time_us) {
  const double ratio = window_time_us / state.base_time_us_;
  const double noise = RelativeNoise(state.samples_);
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
    // The calls that started under load have ended, so that times from here on
    // are free of queueing.
    state.probe_ = ProbePhase::kMeasuring;
    return StartWindow(state, running);
  }
  if (state.samples_ < kMinSamples) return;
  const double window_time =
      std::max(1.0, state.sample_sum_us_ / state.samples_);
  UpdateBaseTime(state, window_time);
  const double rate = state.completed_ / InSeconds(state.elapsed_);
  state.completion_rate_ += kRateWeight * (rate - state.completion_rate_);
  if (state.probe_ == ProbePhase::kMeasuring) {
    EndProbe(state);
  } else if (IsProbeDue(state)) {
    BeginProbe(state);
  } else {
    EvaluateWindow(state, options, window_time);
    state.limit_ =
        std::clamp(state.limit_, static_cast<double>(options.min_limit_),
                   static_cast<double>(options.max_limit_));
  }
  StartWindow(state, running);
}

}  // namespace jujubefront
