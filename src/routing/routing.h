#ifndef JUJUBEFRONT_ROUTING_ROUTING_H_
#define JUJUBEFRONT_ROUTING_ROUTING_H_

#include "base/hashing.h"
#include "routing/routing_types.h"

namespace jujubefront {

// Chooses a target: the better of two random candidates (Mitzenmacher, 2001) by
// outstanding calls and latency, first among those of the local region. Targets
// whose admission level excludes the call are skipped.
Route ChooseTarget(RoutingState& state, const RoutingOptions& options,
                   Timestamp now, const std::vector<Candidate>& candidates,
                   const std::string& class_name, Priority priority,
                   RandomState& random);

// Records that a call was sent to a target.
void RecordSent(RoutingState& state, const std::string& target);

// How a call to a target ended.
enum class SendOutcome : std::uint8_t {
  kAnswered,
  kRefused,
  kFailed,
  kAbandoned,  // given up by this node; no evidence about the target
};

// Records the end of a call to a target, and ejects the target after several
// consecutive failures.
void RecordEnded(RoutingState& state, const RoutingOptions& options,
                 Timestamp now, const std::string& target, SendOutcome outcome,
                 Duration latency);

// Records the admission level that a target reported for a class of calls.
void RecordLevel(RoutingState& state, Timestamp now, const std::string& target,
                 const std::string& class_name, AdmissionLevel level);

// Removes the statistics of a target that has gone.
void ForgetTarget(RoutingState& state, const std::string& target);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_ROUTING_ROUTING_H_
