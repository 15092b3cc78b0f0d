#include "telemetry/journal.h"

namespace jujubefront {
namespace {

std::string Quote(std::string_view text) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string quoted = "\"";
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      quoted.push_back('\\');
      quoted.push_back(c);
    } else if (byte < 0x20) {
      quoted += "\\u00";
      quoted.push_back(kDigits[byte >> 4]);
      quoted.push_back(kDigits[byte & 0xf]);
    } else {
      quoted.push_back(c);
    }
  }
  return quoted + "\"";
}

std::string ToJson(const JournalValue& value) {
  if (const auto* text = std::get_if<std::string>(&value)) return Quote(*text);
  return std::to_string(std::get<std::int64_t>(value));
}

}  // namespace

Journal::Journal(const std::string& path) {
  if (!path.empty()) file_.open(path, std::ios::app);
}

void Journal::Write(Timestamp now, std::string_view event,
                    std::initializer_list<JournalField> fields) {
  if (!file_.is_open()) return;
  std::string line =
      "{\"at_us\":" + std::to_string(now.time_since_epoch().count()) +
      ",\"event\":" + Quote(event);
  for (const auto& [key, value] : fields) {
    line += "," + Quote(key) + ":" + ToJson(value);
  }
  file_ << line << "}\n" << std::flush;
}

}  // namespace jujubefront
