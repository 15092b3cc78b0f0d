#include "base/duration_text.h"

#include <array>
#include <charconv>
#include <cmath>

namespace jujubefront {
namespace {

struct Unit {
  std::string_view name_;
  std::int64_t microseconds_;
};

constexpr std::array<Unit, 5> kUnits = {{{"h", 3'600'000'000},
                                         {"min", 60'000'000},
                                         {"s", 1'000'000},
                                         {"ms", 1'000},
                                         {"us", 1}}};

// Maximum duration: 30 days, which cannot overflow when added to a time.
constexpr std::int64_t kMaxMicroseconds = 30LL * 24 * 3'600'000'000;

}  // namespace

std::optional<Duration> ParseDuration(std::string_view text) {
  const char* const text_end = text.data() + text.size();
  double number = 0.0;
  const auto [end, error] =
      std::from_chars(text.data(), text_end, number, std::chars_format::fixed);
  if (error != std::errc() || !(number >= 0.0)) return std::nullopt;
  const std::string_view suffix(end, static_cast<std::size_t>(text_end - end));
  for (const Unit& unit : kUnits) {
    if (suffix != unit.name_) continue;
    const double microseconds =
        number * static_cast<double>(unit.microseconds_);
    if (microseconds > static_cast<double>(kMaxMicroseconds)) {
      return std::nullopt;
    }
    return Duration(std::llround(microseconds));
  }
  return std::nullopt;
}

std::string FormatDuration(Duration duration) {
  for (const Unit& unit : kUnits) {
    if (duration.count() % unit.microseconds_ == 0 && duration.count() != 0) {
      return std::to_string(duration.count() / unit.microseconds_) +
             std::string(unit.name_);
    }
  }
  return "0s";
}

}  // namespace jujubefront
