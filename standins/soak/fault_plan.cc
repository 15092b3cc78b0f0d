#include "fault_plan.h"

#include "base/hashing.h"

namespace jujubefront {
namespace {

constexpr Duration kMinFaultLength = std::chrono::milliseconds(80);
constexpr Duration kMaxFaultLength = std::chrono::milliseconds(2500);
// One fault in this many always hits the same host as the previous fault.
constexpr std::uint64_t kSameHostOneIn = 3;

Duration DrawBetween(RandomState& random, Duration min, Duration max) {
  const auto range = static_cast<std::uint64_t>((max - min).count());
  return min + Duration(static_cast<std::int64_t>(NextBelow(random, range)));
}

}  // namespace

const char* FaultName(FaultKind kind) {
  switch (kind) {
    case FaultKind::kPause:
      return "pause";
    case FaultKind::kKill:
      return "kill";
    case FaultKind::kStop:
      return "stop";
    case FaultKind::kHangUp:
      return "hang-up";
    case FaultKind::kLinkDelay:
      return "link-delay";
    case FaultKind::kLinkReset:
      return "link-reset";
    case FaultKind::kLinkOneWay:
      return "link-one-way";
    case FaultKind::kLinkSilence:
      return "link-silence";
    case FaultKind::kStoreReset:
      return "store-reset";
    case FaultKind::kStoreSilence:
      return "store-silence";
    case FaultKind::kStoreBusy:
      return "store-busy";
    case FaultKind::kStoreAway:
      return "store-away";
    case FaultKind::kStoreCompact:
      return "store-compact";
    case FaultKind::kBackendDelay:
      return "backend-delay";
    case FaultKind::kBackendReset:
      return "backend-reset";
    case FaultKind::kBackendSilence:
      return "backend-silence";
    case FaultKind::kBackendDrain:
      return "backend-drain";
    case FaultKind::kBackendReplace:
      return "backend-replace";
    case FaultKind::kBackendReject:
      return "backend-reject";
    case FaultKind::kBackendLose:
      return "backend-lose";
    case FaultKind::kBackendSlow:
      return "backend-slow";
    case FaultKind::kDocument:
      return "document";
  }
  return "fault";
}

std::vector<PlannedFault> DrawFaults(const FaultPlanOptions& options) {
  RandomState random{options.seed_};
  std::vector<PlannedFault> faults;
  std::size_t last_host = 0;
  Duration at = DrawBetween(random, Duration::zero(), options.interval_ * 2);
  while (at < options.length_) {
    std::size_t host = last_host;
    if (NextBelow(random, kSameHostOneIn) != 0) {
      host = NextBelow(random, options.hosts_);
    }
    faults.push_back(
        {.at_ = at,
         .kind_ = static_cast<FaultKind>(NextBelow(random, kFaultKinds)),
         .host_ = host,
         .length_ = DrawBetween(random, kMinFaultLength, kMaxFaultLength),
         .variant_ = NextBelow(random, 2) == 0});
    last_host = host;
    at += DrawBetween(random, Duration::zero(), options.interval_ * 2);
  }
  return faults;
}

}  // namespace jujubefront
