#ifndef JUJUBEFRONT_HISTORY_HISTORY_TYPES_H_
#define JUJUBEFRONT_HISTORY_HISTORY_TYPES_H_

#include <map>
#include <string>
#include <vector>

#include "base/time_types.h"

namespace jujubefront {

// One line of a journal. Fields that an event does not have are empty.
struct HistoryEvent {
  Timestamp at_;
  std::string source_;  // journal that it came from
  std::string event_;   // backend, run, answer, state, send, reply, publish
  std::map<std::string, std::string> fields_;
};

// Rules that a history must satisfy.
enum class Rule : std::uint8_t {
  kRunsAtMostOnce,        // a non-idempotent key runs at most once
  kNotRunIsTrue,          // answered "not run" to the last send: never ran
  kFinishedRan,           // answered "finished": did run
  kOwnWholeAnswer,        // an answer belongs to its own request
  kNoWorkAfterLeaving,    // no run starts at a target that left long ago
  kStopCutsNothing,       // a planned stop ends without calls in flight
  kDocumentNeverReverts,  // a process never applies a lower offset
  kDocumentInForce,       // at all nodes, within the bound after a publish
};

// One violation of a rule.
struct Violation {
  Rule rule_ = Rule::kRunsAtMostOnce;
  std::string subject_;  // key or node
  std::string detail_;
};

// Time limits of the rules.
struct HistoryBounds {
  Duration leaving_ = std::chrono::seconds(3);
  Duration document_ = std::chrono::seconds(10);
};

// Counts of what was read, and the violations found.
struct HistoryReport {
  std::size_t events_ = 0;
  std::size_t malformed_lines_ = 0;
  std::size_t keys_ = 0;
  std::size_t runs_ = 0;
  std::size_t sends_ = 0;
  std::size_t resends_ = 0;
  std::map<std::string, std::size_t> verdicts_;
  std::vector<Violation> violations_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_HISTORY_HISTORY_TYPES_H_
