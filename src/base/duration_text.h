#ifndef JUJUBEFRONT_BASE_DURATION_TEXT_H_
#define JUJUBEFRONT_BASE_DURATION_TEXT_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/time_types.h"

namespace jujubefront {

// Parses a duration with a unit, such as "250ms". Units: us, ms, s, min, h.
// Returns nothing when the number or the unit is missing, negative or too
// large.
std::optional<Duration> ParseDuration(std::string_view text);

// Formats a duration in the largest unit that divides it exactly.
std::string FormatDuration(Duration duration);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_BASE_DURATION_TEXT_H_
