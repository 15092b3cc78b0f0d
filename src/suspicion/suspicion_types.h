#ifndef JUJUBEFRONT_SUSPICION_SUSPICION_TYPES_H_
#define JUJUBEFRONT_SUSPICION_SUSPICION_TYPES_H_

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/fingerprint.h"
#include "base/time_types.h"

namespace jujubefront {

struct SuspicionOptions {
  // Distinct incarnations that ended while they ran a content: from so many on
  // it is contained, and condemned.
  std::uint32_t min_charges_to_contain_ = 2;
  std::uint32_t min_charges_to_condemn_ = 3;
  // Time after which charges that condemn nobody are forgotten.
  Duration charge_ttl_ = std::chrono::minutes(10);
  // Time of a condemnation; doubles with each charge beyond the first that
  // condemns. It is followed by as long a probation, in which the content is
  // contained.
  Duration condemnation_ttl_ = std::chrono::minutes(10);
  std::uint32_t max_doublings_ = 4;
  // Time for which a success keeps a content from being charged.
  Duration success_ttl_ = std::chrono::seconds(10);
  std::size_t max_suspects_ = 2048;
  std::size_t max_successes_ = 2048;
};

// What may be done with a content.
enum class Standing : std::uint8_t {
  kTrusted,
  kContained,  // one run at a time, never repeated, not at the last place
  kCondemned,  // no run
};

// An incarnation of a backend server ended while it ran the content.
struct CrashCharge {
  std::uint64_t incarnation_ = 0;  // hash of its name and start
  std::uint64_t caller_ = 0;       // hash of who asked
  Timestamp at_;
};

// What speaks against one content.
struct Suspect {
  std::vector<CrashCharge> charges_;  // one for an incarnation and caller
  // When the content last succeeded for a caller: what others were charged
  // with says nothing about it.
  std::map<std::uint64_t, Timestamp> cleared_;
};

struct SuspicionState {
  std::map<Fingerprint, Suspect> suspects_;
  std::uint64_t digest_ = 0;  // of the charges that contain or condemn
  // Contents, with their callers, that succeeded lately.
  std::unordered_map<std::uint64_t, Timestamp> successes_;
  std::deque<std::pair<Timestamp, std::uint64_t>> success_order_;
};

struct ContentVerdict {
  Standing standing_ = Standing::kTrusted;
  std::uint32_t charges_ = 0;  // distinct incarnations
  Timestamp until_;            // of a condemnation
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_SUSPICION_SUSPICION_TYPES_H_
