#ifndef JUJUBEFRONT_STANDINS_SOAK_SOAK_CHECKS_H_
#define JUJUBEFRONT_STANDINS_SOAK_SOAK_CHECKS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time_types.h"

namespace jujubefront {

// One request as its client observed it.
struct ClientObservation {
  std::string id_;
  std::size_t host_ = 0;
  bool idempotent_ = false;
  Timestamp sent_at_;
  Timestamp deadline_;
  std::optional<Timestamp> ended_at_;
  int status_ = 0;              // 0: the connection closed without an answer
  bool answer_matches_ = true;  // the answer has the id and body of the request
  bool retry_after_ = false;
  bool abandoned_ = false;  // aborted by the client
};

// A backend server crashed when it began to run the crashing content.
struct CrashObservation {
  std::string id_;
  Timestamp at_;
};

// A backend server began to run a request.
struct RunObservation {
  std::string id_;
  std::string instance_;
  Timestamp at_;
};

// The relay acknowledged that a backend server drains.
struct DrainObservation {
  std::string instance_;
  Timestamp acknowledged_at_;
};

// A client received, from the relay of a host, an answer in which a backend
// server states that it leaves.
struct LeavingObservation {
  std::size_t host_ = 0;
  std::string instance_;
  Timestamp at_;
};

// An interval in which the process of an entry host could not answer: it was
// paused, killed, starting, or past the end of a planned stop.
struct HostOutage {
  std::size_t host_ = 0;
  Timestamp from_;
  Timestamp to_;
};

// The exit of a relay process.
struct ProcessEnd {
  std::size_t host_ = 0;
  bool asked_to_stop_ = false;  // by SIGTERM
  bool killed_ = false;
  int exit_code_ = 0;
  bool crashed_ = false;
  Duration took_ = Duration::zero();  // since SIGTERM, without pauses
};

// A host reported that this version of the document was in force.
struct VersionObservation {
  std::size_t host_ = 0;
  std::uint64_t process_ = 0;
  Timestamp at_;
  std::uint64_t version_ = 0;
};

struct SoakObservations {
  std::vector<ClientObservation> requests_;
  std::vector<RunObservation> runs_;
  std::vector<DrainObservation> drains_;
  std::vector<LeavingObservation> leavings_;
  std::map<std::string, double> rate_limit_uses_;  // by backend server
  std::vector<CrashObservation> crashes_;          // ordered by time
  std::vector<HostOutage> outages_;
  std::vector<ProcessEnd> ends_;
  std::vector<VersionObservation> versions_;
};

// Limits that the relays guarantee, and tolerances of the checks.
struct SoakBounds {
  std::uint32_t max_attempts_ = 3;
  Duration stop_limit_ = std::chrono::seconds(3);
  // Tolerances for the scheduling of loopback processes: how long after the
  // deadline an answer, and after the acknowledgement of a drain a run, may
  // still arrive.
  Duration answer_slack_ = std::chrono::milliseconds(300);
  Duration drain_slack_ = std::chrono::milliseconds(400);
  // Content is under suspicion after min_crashes_ crashes. From
  // suspicion_delay_ after the last of these, it may cause at most
  // max_late_crashes_ more.
  std::size_t min_crashes_ = 3;
  std::size_t max_late_crashes_ = 3;
  Duration suspicion_delay_ = std::chrono::seconds(4);
};

// The guarantees that a soak run checks.
enum class SoakRule : std::uint8_t {
  kAtMostOnce,
  kNotRunIsTrue,
  kMaxAttempts,
  kAnswerMatchesRequest,
  kAnsweredInTime,
  kRetryAfterPresent,
  kNoRunAfterDrain,
  kNoRunAfterLeaving,
  kRateLimit,
  kCrashingContent,
  kNoFalseSuspicion,
  kPlannedStop,
  kNoCrash,
  kVersionMonotonic,
  kRecovery,
  kMemory,
  kLog,
};

const char* SoakRuleName(SoakRule rule);

struct SoakViolation {
  SoakRule rule_ = SoakRule::kAtMostOnce;
  std::string subject_;
  std::string detail_;
};

// Checks the observations of clients and backend servers against every rule.
std::vector<SoakViolation> CheckSoak(const SoakObservations& observations,
                                     const SoakBounds& bounds);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_STANDINS_SOAK_SOAK_CHECKS_H_
