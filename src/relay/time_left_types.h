#ifndef JUJUBEFRONT_RELAY_TIME_LEFT_TYPES_H_
#define JUJUBEFRONT_RELAY_TIME_LEFT_TYPES_H_

#include <array>
#include <cstddef>

#include "base/time_types.h"

namespace jujubefront {

// Longest time left to the client requests of a route on arrival, slowly
// decaying. Requests with much more time left than nearly all others have are
// left out, so that a client that states a far deadline changes nothing for
// others.
struct TimeLeftMeter {
  // Requests whose time left has the same number of binary digits in
  // milliseconds.
  struct Bucket {
    double requests_ = 0.0;  // decaying
    Duration longest_ = Duration::zero();
  };

  std::array<Bucket, 28> buckets_;  // the last one from 37 hours on
  double requests_ = 0.0;           // of all buckets
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAY_TIME_LEFT_TYPES_H_
