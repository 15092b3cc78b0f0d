#ifndef JUJUBEFRONT_RELAY_INTERNAL_HOST_CHOICE_H_
#define JUJUBEFRONT_RELAY_INTERNAL_HOST_CHOICE_H_

#include <vector>

#include "placement/placement.h"
#include "relay/internal/relay_step.h"

namespace jujubefront {

// The part of a RelayStep that decisions without a change of state need.
struct RelayView {
  const RelayState& state_;
  const RelayOptions& options_;
  Timestamp now_;
};

// Why a host cannot take a request.
enum class HostExclusion : std::uint8_t {
  kNone,
  kLeaving,
  kBackendNotReady,
  kNotConnected,
  kSuspected,
  kTried,  // the request was sent there before
};

HostExclusion FindExclusion(const RelayView& view, const Peer& peer,
                            const OpenRequest& request);

// Hosts that can take a request, with their load and failure rate.
std::vector<PlacementCandidate> FindCandidates(const RelayView& view,
                                               const OpenRequest& request);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAY_INTERNAL_HOST_CHOICE_H_
