#ifndef JUJUBEFRONT_RELAYLOG_VERIFY_H_
#define JUJUBEFRONT_RELAYLOG_VERIFY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "relaylog/log_reader.h"

namespace jujubefront {

// Guarantees whose violation a log can show. A log that lacks lines, because it
// is sampled or rate-limited, can hide a violation but not produce a false one.
// The comment at a rule says what violates it.
enum class LogRule : std::uint8_t {
  kAtMostOnce,             // a request that must not be repeated started twice
  kRefusedWithoutRun,      // refused as not run, although it had been started
  kMaxAttempts,            // started more often than its route allows
  kNoRunAfterDrain,        // started after its backend server drained or left
  kSingleOutcome,          // more than one outcome at the entry
  kAnswerLength,           // answer and run's response differ in length
  kVersionNeverDecreases,  // a process went back to an older document
  kSlotLimit,        // more concurrent runs than the backend server has slots
  kCrashingContent,  // still run after it ended several backend servers
  kRetryBudget,      // more repeated runs of a service than its retry budget
};

// Sentence that describes a violation of the rule.
const char* LogRuleName(LogRule rule);

struct LogViolation {
  LogRule rule_ = LogRule::kAtMostOnce;
  std::string subject_;  // request, host, content or service
  std::string detail_;
};

struct LogVerification {
  std::uint64_t requests_ = 0;  // requests that the log mentions
  std::uint64_t runs_ = 0;      // runs whose start is logged
  std::vector<LogViolation> violations_;
};

// Limits that cannot be read from the log.
struct VerifyOptions {
  // Retry budget of a service over all hosts: the repeated runs in any window
  // may amount to retry_ratio_ times the requests for it plus retry_slack_.
  double retry_ratio_ = 0.2;
  double retry_slack_ = 48.0;
  Duration retry_window_ = std::chrono::seconds(10);
  // A content that never succeeded and during whose runs at least min_crashes_
  // backend servers ended may start at most max_starts_after_crashes_ times
  // once crash_propagation_time_ has passed since the end that reached
  // min_crashes_; until then hosts may not have learned of it.
  std::size_t min_crashes_ = 3;
  std::size_t max_starts_after_crashes_ = 3;
  Duration crash_propagation_time_ = std::chrono::seconds(4);
};

// Checks every rule. The retry budget is checked only in logs that contain
// every request: each host traces all of them, and no line was dropped.
LogVerification VerifyLog(const RelayLog& log,
                          const VerifyOptions& options = {});

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAYLOG_VERIFY_H_
