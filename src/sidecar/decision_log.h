#ifndef JUJUBEFRONT_SIDECAR_DECISION_LOG_H_
#define JUJUBEFRONT_SIDECAR_DECISION_LOG_H_

#include <array>
#include <cstdint>
#include <string>

#include "relay/relay_types.h"

namespace jujubefront {

struct DecisionLogOptions {
  // Limit per second and per kind of decision. Lines above it are dropped and
  // counted in the field dropped_before of the next line of that kind.
  std::uint32_t lines_per_second_ = 40;
};

// Writes decisions as JSON lines to standard output, rate-limited per kind.
// Lines are dropped rather than block the process while the reader of the
// output stalls.
class DecisionLog {
 public:
  explicit DecisionLog(DecisionLogOptions options);

  void Write(Timestamp now, const Decision& decision);
  void WriteStart(const RelayOptions& options);
  // `cut_off`: requests that were still open when the process ended.
  void WriteStop(std::int64_t cut_off);

 private:
  // Rate limit of one kind of decision: the current second, the lines written
  // in it, and the lines dropped since the last one that was written.
  struct LineBudget {
    Timestamp second_;
    std::uint32_t written_ = 0;
    std::uint64_t dropped_ = 0;
  };

  // Counts a line against the limit of its kind; false: it is to be dropped.
  bool ReserveLine(Timestamp now, DecisionKind kind);

  DecisionLogOptions options_;
  std::array<LineBudget, kDecisionKinds> budgets_;  // by kind
};

// Value of the field `event` for a kind of decision.
const char* DecisionName(DecisionKind kind);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_SIDECAR_DECISION_LOG_H_
