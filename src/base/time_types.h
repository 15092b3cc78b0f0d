#ifndef JUJUBEFRONT_BASE_TIME_TYPES_H_
#define JUJUBEFRONT_BASE_TIME_TYPES_H_

#include <chrono>

namespace jujubefront {

// Duration type of the whole product, in microseconds.
using Duration = std::chrono::microseconds;

// Wall clock time. Reducers use only the times contained in events.
using Timestamp = std::chrono::sys_time<Duration>;

// Seconds as a floating point number, for rates.
inline double InSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace jujubefront

#endif  // JUJUBEFRONT_BASE_TIME_TYPES_H_
