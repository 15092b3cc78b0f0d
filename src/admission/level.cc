#include "admission/level.h"

#include <algorithm>
#include <cmath>

#include "context/priority.h"

namespace jujubefront {
namespace {

// Arrivals and completions decay by the same factor per window, so that they
// cover about five windows, or more where too few calls complete for a reliable
// ratio.
constexpr double kFastDecay = 0.8;
constexpr double kSlowDecay = 0.97;
constexpr double kMinReliableCompletions = 50.0;
constexpr double kMinArrivals = 0.01;
// Admits somewhat more than completes, so that the queue is never empty and the
// least important calls in it are refused at this target.
constexpr double kAdmitShare = 1.1;
constexpr std::uint32_t kFirstRaise = 8;
constexpr std::uint32_t kMaxRaise = 1024;
// A reported level is assumed to rise by one tier in this time.
constexpr Duration kTierRecovery = std::chrono::milliseconds(500);

bool IsOverloaded(const LevelState& state, const AdmissionOptions& options) {
  if (state.refused_) return true;
  if (state.started_ == 0) return false;
  return state.min_wait_ > options.queue_wait_target_;
}

// Returns the highest priority value up to which the arrivals do not exceed the
// completions.
AdmissionLevel FittingLevel(const LevelState& state) {
  const double capacity = state.completions_ * kAdmitShare;
  double sum = 0.0;
  Priority last = 0;
  for (const auto& [priority, count] : state.arrivals_) {
    sum += count;
    if (sum > capacity) return last;
    last = priority;
  }
  return state.level_;
}

void Lower(LevelState& state) {
  state.raise_step_ = kFirstRaise;
  state.level_ = std::min(state.level_, FittingLevel(state));
}

void Raise(LevelState& state) {
  if (state.level_ == kAdmitAll || state.arrivals_.empty()) {
    state.level_ = kAdmitAll;
    return;
  }
  state.raise_step_ = std::clamp(state.raise_step_ * 2, kFirstRaise, kMaxRaise);
  const unsigned raised = state.level_ + state.raise_step_;
  state.level_ =
      static_cast<AdmissionLevel>(std::min<unsigned>(raised, kAdmitAll));
}

void DecayCounts(LevelState& state) {
  const double decay =
      state.completions_ > kMinReliableCompletions ? kFastDecay : kSlowDecay;
  state.completions_ *= decay;
  for (auto& [priority, count] : state.arrivals_) count *= decay;
  std::erase_if(state.arrivals_,
                [](const auto& entry) { return entry.second < kMinArrivals; });
}

}  // namespace

void RecordArrival(LevelState& state, Priority priority) {
  state.arrivals_[priority] += 1.0;
}

void RecordStart(LevelState& state, Duration wait) {
  ++state.started_;
  state.min_wait_ = std::min(state.min_wait_, wait);
}

void CloseLevelWindow(LevelState& state, const AdmissionOptions& options) {
  if (IsOverloaded(state, options)) {
    Lower(state);
  } else {
    Raise(state);
  }
  DecayCounts(state);
  state.started_ = 0;
  state.min_wait_ = Duration::max();
  state.refused_ = false;
}

AdmissionLevel LevelNow(const ReportedLevel& note, Timestamp now) {
  if (note.level_ == kAdmitAll) return kAdmitAll;
  const double tiers =
      InSeconds(now - note.received_at_) / InSeconds(kTierRecovery);
  const double level = note.level_ + tiers * kCohortsPerTier;
  return static_cast<AdmissionLevel>(
      std::min<double>(std::max(level, 0.0), kAdmitAll));
}

}  // namespace jujubefront
