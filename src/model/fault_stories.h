#ifndef JUJUBEFRONT_MODEL_FAULT_STORIES_H_
#define JUJUBEFRONT_MODEL_FAULT_STORIES_H_

#include <string>
#include <vector>

#include "model/world.h"

namespace jujubefront {

// Faults that can be injected.
enum class FaultKind : std::uint8_t {
  kKillAndRestart,  // restarted under its name after the duration
  kKill,            // not restarted
  kFreeze,          // SIGSTOP, then SIGCONT after the duration
  kCutZone,
  kLogOutage,
  kLoseReplies,  // half of all replies between nodes
  kDrain,
  kJoin,  // starts another target under a new name
  kBackendCrash,
};

inline constexpr unsigned kFaultKinds = 9;

// An injected fault: its time from the start, kind, node (an index modulo the
// number of nodes) and duration.
struct Fault {
  Duration at_ = Duration::zero();
  FaultKind kind_ = FaultKind::kFreeze;
  std::uint32_t subject_ = 0;
  Duration length_ = Duration::zero();
};

// Which parts of the resend contract a caller uses.
enum class CallerKind : std::uint8_t {
  kWithTicket,  // sends the attempt number and the last ticket
  kStating,     // sends the attempt number, no tickets
  kUnaware,     // sends only the key, and respects the minimum resend interval
};

// Scenario: non-idempotent requests while faults are injected. `seals_` and
// `join_waits_for_all_` can be disabled to show what those rules prevent.
struct FaultStory {
  std::uint64_t seed_ = 1;
  std::vector<Fault> faults_;
  std::uint32_t requests_ = 150;
  Duration length_ = std::chrono::seconds(12);
  bool seals_ = true;
  bool join_waits_for_all_ = true;
};

// Violations of the guarantees (the first three), and counts of outcomes.
struct FaultResult {
  std::uint32_t keys_run_twice_ = 0;
  std::uint32_t not_run_but_ran_ = 0;
  std::uint32_t finished_but_never_ran_ = 0;
  std::uint32_t requests_ = 0;
  std::uint32_t resends_ = 0;
  std::uint32_t finished_ = 0;
  std::uint32_t not_run_ = 0;
  std::uint32_t unknown_ = 0;
  std::uint32_t other_ = 0;
  std::uint32_t unanswered_ = 0;  // no verdict: the last node died or is frozen
  std::uint64_t rounds_ = 0;
};

// Latency of non-idempotent requests (bookings) without faults, and their
// success rate in a zone that is cut off. A located send is a resend whose key
// the node must first look for at other nodes.
struct BookingCost {
  double first_send_ms_ = 0.0;      // mean latency of a first send
  double unstated_ms_ = 0.0;        // mean latency of a located send
  double cut_first_share_ = 0.0;    // of first sends, finished in a cut zone
  double cut_located_share_ = 0.0;  // of located sends, finished in a cut zone
};

// Measures, in virtual time, first sends and located sends through the nodes of
// one zone, before and while the zone is cut off.
BookingCost MeasureBookingCost(std::uint64_t seed);

// Runs a scenario in virtual time.
FaultResult RunFaultStory(const FaultStory& story);

// Generates a random schedule of `count` faults within `length` from a seed.
std::vector<Fault> RandomFaults(std::uint64_t seed, std::size_t count,
                                Duration length);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_MODEL_FAULT_STORIES_H_
