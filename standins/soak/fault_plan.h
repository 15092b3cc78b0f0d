#ifndef JUJUBEFRONT_STANDINS_SOAK_FAULT_PLAN_H_
#define JUJUBEFRONT_STANDINS_SOAK_FAULT_PLAN_H_

#include <cstdint>
#include <vector>

#include "base/time_types.h"

namespace jujubefront {

// The order fixes what a seed draws.
enum class FaultKind : std::uint8_t {
  // Signals to the relay process of a host.
  kPause,
  kKill,
  kStop,
  kHangUp,
  // Faults on the connections on which peers send to a host.
  kLinkDelay,
  kLinkReset,
  kLinkOneWay,
  kLinkSilence,
  // Faults on the connections of a host to the store, and in the store itself.
  kStoreReset,
  kStoreSilence,
  kStoreBusy,
  kStoreAway,
  kStoreCompact,
  // Faults on the connections of a host to its backend server, and in the
  // backend server itself.
  kBackendDelay,
  kBackendReset,
  kBackendSilence,
  kBackendDrain,
  kBackendReplace,
  kBackendReject,
  kBackendLose,
  kBackendSlow,
  // A new version of the operators' document.
  kDocument,
};

constexpr std::size_t kFaultKinds =
    static_cast<std::size_t>(FaultKind::kDocument) + 1;

const char* FaultName(FaultKind kind);

// A fault that begins at a given time of a run and lasts for a given time.
struct PlannedFault {
  Duration at_ = Duration::zero();
  FaultKind kind_ = FaultKind::kPause;
  std::size_t host_ = 0;
  Duration length_ = Duration::zero();
  bool variant_ = false;  // the direction, or one of two variants
};

struct FaultPlanOptions {
  std::uint64_t seed_ = 1;
  std::size_t hosts_ = 6;
  Duration length_ = std::chrono::seconds(10);
  // Mean time between the starts of two faults. Most faults last longer, so
  // that they overlap.
  Duration interval_ = std::chrono::milliseconds(350);
};

// Draws the faults of a run from the seed, ordered by start time.
std::vector<PlannedFault> DrawFaults(const FaultPlanOptions& options);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_STANDINS_SOAK_FAULT_PLAN_H_
