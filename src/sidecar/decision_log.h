#ifndef JUJUBEFRONT_SIDECAR_DECISION_LOG_H_
#define JUJUBEFRONT_SIDECAR_DECISION_LOG_H_

#include <array>
#include <cstdint>
#include <string>

#include "relay/relay_types.h"

namespace jujubefront {

// Settings of the decision log.
struct DecisionLogOptions {
  // Lines a second of each kind of decision; what is over is counted.
  std::uint32_t lines_per_second_ = 40;
};

// Writes decisions as JSON lines to standard output. The volume is bounded and
// a reader that stalls costs lines, not time.
class DecisionLog {
 public:
  explicit DecisionLog(DecisionLogOptions options);

  void Write(Timestamp now, const Decision& decision);
  void WriteStart(const RelayOptions& options);
  void WriteStop(std::int64_t cut_off);

 private:
  struct LineBudget {
    Timestamp second_;
    std::uint32_t written_ = 0;
    std::uint64_t dropped_ = 0;
  };

  bool ReserveLine(Timestamp now, DecisionKind kind);

  DecisionLogOptions options_;
  std::array<LineBudget, 32> budgets_;
};

// Name of a kind of decision in the log.
const char* DecisionName(DecisionKind kind);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_SIDECAR_DECISION_LOG_H_
