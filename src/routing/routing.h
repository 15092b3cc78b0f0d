#ifndef JUJUBEFRONT_ROUTING_ROUTING_H_
#define JUJUBEFRONT_ROUTING_ROUTING_H_

#include "base/hashing.h"
#include "routing/routing_types.h"

namespace jujubefront {

// Chooses a target: the better of two random ones (Mitzenmacher, 2001) by
// calls outstanding and latency, in the own region first. Targets whose level
// shuts the call out are passed over.
Route ChooseTarget(RoutingState& state, const RoutingOptions& options,
                   Timestamp now, const std::vector<Candidate>& candidates,
                   const std::string& class_name, Priority priority,
                   RandomState& random);

// A call was sent to a target.
void RecordSent(RoutingState& state, const std::string& target);

// How a call to a target ended.
enum class SendOutcome : std::uint8_t {
  kAnswered,
  kRefused,
  kFailed,
  kAbandoned,  // given up by this side; says nothing about the target
};

void RecordEnded(RoutingState& state, const RoutingOptions& options,
                 Timestamp now, const std::string& target, SendOutcome outcome,
                 Duration latency);

// A target stated its level for a class of calls.
void RecordLevel(RoutingState& state, Timestamp now, const std::string& target,
                 const std::string& class_name, AdmissionLevel level);

// Forgets a target that has gone.
void ForgetTarget(RoutingState& state, const std::string& target);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_ROUTING_ROUTING_H_
