#ifndef JUJUBEFRONT_RELAY_LOAD_REPORT_TYPES_H_
#define JUJUBEFRONT_RELAY_LOAD_REPORT_TYPES_H_

#include <cstdint>
#include <optional>

#include "base/time_types.h"

namespace jujubefront {

// Load that a backend server states about itself in a response.
struct LoadReport {
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint32_t slots_ = 0;
  // Time that work takes there now, relative to the usual time; nullopt: not
  // stated.
  std::optional<double> pace_;
  Duration age_ = Duration::zero();  // since its host's relay received it

  bool operator==(const LoadReport&) const = default;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAY_LOAD_REPORT_TYPES_H_
