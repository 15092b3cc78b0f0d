#ifndef JUJUBEFRONT_STANDINS_SOAK_SOAK_RUN_H_
#define JUJUBEFRONT_STANDINS_SOAK_SOAK_RUN_H_

#include <map>
#include <optional>
#include <string>

#include "fault_plan.h"
#include "soak_checks.h"

namespace jujubefront {

struct SoakOptions {
  std::string program_;  // path of jujubefront-sidecar
  FaultPlanOptions plan_;
  SoakBounds bounds_;
  // Time between two requests, over all clients.
  Duration send_interval_ = std::chrono::milliseconds(4);
  Duration recovery_limit_ = std::chrono::seconds(12);
  std::uint32_t memory_limit_mb_ = 64;
  // Relays that live on when many end at once after a leaving; nullopt: that
  // does not happen.
  std::optional<std::size_t> spared_relays_;
  // Whether clients that read no response come to random hosts.
  bool unread_clients_ = false;
  std::string
      keep_folder_;  // receives a copy of settings and logs; empty: none
};

struct SoakResult {
  bool started_ = false;
  std::map<std::string, int> faults_;  // by kind
  std::map<int, int> statuses_;        // by status
  // Messages that were sent with a part without end.
  int endless_requests_ = 0;
  int endless_responses_ = 0;
  int unread_crowds_ = 0;  // groups of clients that read no response
  int named_limits_ = 0;
  int stated_leaving_ = 0;
  int left_at_once_ = 0;  // without having reported that they drain
  int left_with_store_away_ = 0;
  int ends_of_many_relays_ = 0;
  int store_restores_ = 0;
  int joint_silences_ = 0;       // of the store, for all hosts but one
  double rate_limit_use_ = 0.0;  // largest, see RateLimitAudit
  std::size_t runs_ = 0;
  std::uint64_t logged_runs_ = 0;              // in the logs of the relays
  Duration longest_stall_ = Duration::zero();  // of the event loop of the test
  std::uint32_t peak_memory_mb_ = 0;
  std::vector<SoakViolation> violations_;
};

// Starts real processes, sends requests while faults are injected, waits until
// all hosts have recovered, and checks the observations and the logs.
SoakResult RunSoak(const SoakOptions& options);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_STANDINS_SOAK_SOAK_RUN_H_
