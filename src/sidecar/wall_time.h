#ifndef JUJUBEFRONT_SIDECAR_WALL_TIME_H_
#define JUJUBEFRONT_SIDECAR_WALL_TIME_H_

#include <chrono>

namespace jujubefront {

// Time of day, which all hosts share up to the skew of their clocks.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

inline WallTime WallNow() {
  return std::chrono::time_point_cast<WallTime::duration>(
      std::chrono::system_clock::now());
}

}  // namespace jujubefront

#endif  // JUJUBEFRONT_SIDECAR_WALL_TIME_H_
