#ifndef JUJUBEFRONT_ADMISSION_ADMISSION_TYPES_H_
#define JUJUBEFRONT_ADMISSION_ADMISSION_TYPES_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/time_types.h"
#include "context/context_types.h"

namespace jujubefront {

// Policy by which a target decides which calls its backend server runs.
enum class AdmissionPolicy : std::uint8_t {
  kAdaptive,  // measured limit, queue by priority, level fed back to callers
  kPerHop,    // baseline: measured limit, queue by arrival, no feedback
  kFixed,     // baseline: fixed limit, queue by arrival, no feedback
  kNone,      // baseline: everything goes to the backend server
};

// Settings of admission.
struct AdmissionOptions {
  AdmissionPolicy policy_ = AdmissionPolicy::kAdaptive;
  std::uint32_t initial_limit_ = 8;  // calls in flight after a cold start
  std::uint32_t min_limit_ = 2;
  std::uint32_t max_limit_ = 1024;
  std::uint32_t fixed_limit_ = 64;  // for kFixed
  // Maximum time that a call waits in the queue.
  Duration max_queue_wait_ = std::chrono::milliseconds(100);
  // The target is overloaded when every call that starts in a window has waited
  // longer than this.
  Duration queue_wait_target_ = std::chrono::milliseconds(10);
  Duration window_ = std::chrono::milliseconds(50);
  // Ratio of own time to base time up to which the limit may grow.
  double grow_tolerance_ = 1.2;
  // Ratio of own time to base time from which the limit shrinks.
  double shrink_tolerance_ = 1.5;
};

// A call that waits to be started.
struct WaitingCall {
  std::uint64_t run_id_ = 0;
  Priority priority_ = 0;
  std::uint32_t depth_ = 0;
  Timestamp arrived_;
  Timestamp deadline_;
};

// Order of the queue: tier, then depth (deeper calls first, since more work has
// been spent on their callers), then cohort, then arrival.
struct WaitingOrder {
  bool operator()(const WaitingCall& first, const WaitingCall& second) const;
};

// Phases of a probe, which measures the own time of the backend server without
// queueing.
enum class ProbePhase : std::uint8_t { kNone, kDraining, kMeasuring };

// Limit on calls in flight, derived from the own time of the backend server:
// the duration of a run without the calls that it waits for.
struct LimitState {
  double limit_ = 0.0;
  bool starting_ = true;          // doubling until own times inflate
  double base_time_us_ = 0.0;     // own time without queueing; 0 when unknown
  double inflated_rate_ = 0.0;    // completion rate when shrinking began
  double inflated_limit_ = 0.0;   // limit when shrinking began
  double average_time_us_ = 0.0;  // smoothed own time
  std::uint32_t samples_ = 0;     // of the current window
  double sample_sum_us_ = 0.0;
  double total_sum_us_ = 0.0;    // with the time of child calls
  std::uint32_t completed_ = 0;  // of the samples, before their deadline
  Duration elapsed_ = Duration::zero();  // of the current window
  double completion_rate_ = 0.0;         // smoothed, per second
  bool reached_ = false;                 // the limit was in use in this window
  std::uint32_t peak_running_ = 0;       // in this window
  ProbePhase probe_ = ProbePhase::kNone;
  double limit_before_probe_ = 0.0;
  std::uint32_t windows_since_probe_ = 0;  // while the limit is in use
};

// Highest priority value that is admitted; lowered under overload.
struct LevelState {
  AdmissionLevel level_ = kAdmitAll;
  std::uint32_t raise_step_ = 0;  // last raise, in cohorts; doubles each time
  std::map<Priority, double> arrivals_;  // decayed count per priority
  double completions_ = 0.0;             // decayed count
  std::uint32_t started_ = 0;            // calls started in this window
  Duration min_wait_ = Duration::max();  // of calls started in this window
  bool refused_ = false;  // a waiting call was refused in this window
};

// State of the admission at one target.
struct AdmissionState {
  LimitState limit_;
  LevelState level_;
  std::uint32_t running_ = 0;
  std::set<WaitingCall, WaitingOrder> queue_;
  std::map<std::uint64_t, WaitingCall>
      waiting_;  // the calls in queue_, by run id
  Timestamp window_start_;
};

// How a started call ended.
enum class RunEnd : std::uint8_t {
  kCompleted,
  kTimedOut,  // given up at its deadline
  kFailed,    // not a measurement of the time that work takes
};

// Run ids of the calls that are now to be started or finally refused.
struct AdmissionOutcome {
  std::vector<std::uint64_t> start_;
  std::vector<std::uint64_t> overloaded_;
  std::vector<std::uint64_t> too_late_;  // would miss their deadline
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_ADMISSION_ADMISSION_TYPES_H_
