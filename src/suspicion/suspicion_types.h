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
  // Numbers of distinct incarnations that ended while they ran a content, from
  // which the content is contained or condemned.
  std::uint32_t min_charges_to_contain_ = 2;
  std::uint32_t min_charges_to_condemn_ = 3;
  // Lifetime of clearances, and of charges that are too few to condemn.
  Duration charge_ttl_ = std::chrono::minutes(10);
  // Duration of a condemnation. Doubles with each charged incarnation beyond
  // min_charges_to_condemn_, at most max_doublings_ times. The content is then
  // contained for the same time again as a probation.
  Duration condemnation_ttl_ = std::chrono::minutes(10);
  std::uint32_t max_doublings_ = 4;
  // Time for which a success protects a content from being charged: it was
  // probably running beside the content that caused the crash.
  Duration success_ttl_ = std::chrono::seconds(10);
  std::size_t max_suspects_ = 2048;
  std::size_t max_successes_ = 2048;
};

// Restriction on running a content.
enum class Standing : std::uint8_t {
  kTrusted,
  // At most one run per host at a time, no resends, and not where only one host
  // is left for the request.
  kContained,
  kCondemned,  // not run at all
};

// An incarnation of a backend server ended while it ran the content.
struct CrashCharge {
  std::uint64_t incarnation_ = 0;  // hash of instance name and start time
  std::uint64_t caller_ = 0;       // hash of the calling service's name
  Timestamp at_;
};

// Charges and clearances of one content.
struct Suspect {
  std::vector<CrashCharge> charges_;  // unique by incarnation and caller
  // Time of the last success, by caller. Requests of a cleared caller are not
  // restricted by charges that other callers' requests brought about.
  std::map<std::uint64_t, Timestamp> cleared_at_;
};

struct SuspicionState {
  std::map<Fingerprint, Suspect> suspects_;
  // Hash of all charges against contents with enough of them to be contained.
  // Nodes whose digests differ exchange their charges and clearances.
  std::uint64_t digest_ = 0;
  // Time of the last success, by hash of content and caller.
  std::unordered_map<std::uint64_t, Timestamp> successes_;
  // Keys of successes_ with the time at which they were queued, oldest first.
  std::deque<std::pair<Timestamp, std::uint64_t>> success_order_;
};

struct ContentVerdict {
  Standing standing_ = Standing::kTrusted;
  std::uint32_t charges_ = 0;  // distinct incarnations
  Timestamp until_;            // end of the condemnation, if any
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_SUSPICION_SUSPICION_TYPES_H_
