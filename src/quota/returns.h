#ifndef JUJUBEFRONT_QUOTA_RETURNS_H_
#define JUJUBEFRONT_QUOTA_RETURNS_H_

#include <optional>

#include "quota/quota.h"

namespace jujubefront {

// When rejected requests of a workspace are told to return, so that they find
// the room that they were promised.

struct ReturnTime {
  Duration wait_ = Duration::zero();
  bool is_promised_ = false;
};

// Whether a request that was first sent this long ago returns at a promised
// time. `longest` is the longest wait that its client honours.
bool IsPromisedReturn(Duration away, Duration longest);

// Time after which a rejected request should return. Only as many are promised
// room in a slot as the forecast has room for at this node; all others are told
// the longest time that clients honour. `away` is the time since the request
// was first sent, `longest` what its client honours now and `first_longest`
// what it honoured then. `draw` is a random number in [0, 1).
ReturnTime PromiseReturn(QuotaMeter& meter, const QuotaOptions& options,
                         const QuotaKnowledge& knowledge, Duration away,
                         Duration longest, Duration first_longest, double draw);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_QUOTA_RETURNS_H_
