#ifndef JUJUBEFRONT_RELAYLOG_VERIFY_H_
#define JUJUBEFRONT_RELAYLOG_VERIFY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "relaylog/log_reader.h"

namespace jujubefront {

// Promises whose breach a log can show. A log that lacks lines, because it is
// sampled or bounded, can hide a breach but not feign one.
enum class LogRule : std::uint8_t {
  kAtMostOnce,        // a request that must not be repeated started twice
  kRefusalIsTrue,     // refused as not run, and yet it had been started
  kAttempts,          // started more often than its route allows
  kDrainHolds,        // started after its backend server drained or left
  kOneEnd,            // more than one end at the entry
  kWholeAnswer,       // the client got another length than the run's response
  kVersionNeverBack,  // an older document came into force in one process
  kSlots,             // more runs at once than the backend server has slots
  kCrashingContent,   // run again and again though backend servers end by it
  kRetryBudget,       // more repeated runs of a service than the fleet may send
};

const char* LogRuleName(LogRule rule);

struct LogViolation {
  LogRule rule_ = LogRule::kAtMostOnce;
  std::string subject_;  // request or host
  std::string detail_;
};

struct LogVerification {
  std::uint64_t requests_ = 0;  // that any line names
  std::uint64_t runs_ = 0;      // whose start is logged
  std::vector<LogViolation> violations_;
};

// Bounds that no line of a log tells.
struct VerifyOptions {
  // Repeated runs of a service in any window, over all hosts: this share of
  // the requests for it, and this many more.
  double retry_ratio_ = 0.2;
  double retry_slack_ = 48.0;
  Duration retry_window_ = std::chrono::seconds(10);
  // A content under which so many backend servers have ended, and that nowhere
  // succeeds, may start so often later than this after the last of them.
  std::size_t crashes_ = 3;
  std::size_t starts_after_crashes_ = 3;
  Duration crashes_known_after_ = std::chrono::seconds(4);
};

// The retry budget is judged only in logs that hold every request: each host
// traces all of them, and no line was dropped.
LogVerification VerifyLog(const RelayLog& log,
                          const VerifyOptions& options = {});

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAYLOG_VERIFY_H_
