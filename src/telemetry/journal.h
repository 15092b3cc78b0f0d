#ifndef JUJUBEFRONT_TELEMETRY_JOURNAL_H_
#define JUJUBEFRONT_TELEMETRY_JOURNAL_H_

#include <cstdint>
#include <fstream>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "base/time_types.h"

namespace jujubefront {

using JournalValue = std::variant<std::string, std::int64_t>;
using JournalField = std::pair<std::string_view, JournalValue>;

// Journal of requests for the history checker: one JSON object per line. Each
// line is flushed immediately, so that a killed process leaves a readable file.
class Journal {
 public:
  // With an empty path nothing is written.
  explicit Journal(const std::string& path);

  void Write(Timestamp now, std::string_view event,
             std::initializer_list<JournalField> fields);

  bool is_open() const { return file_.is_open(); }

 private:
  std::ofstream file_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_TELEMETRY_JOURNAL_H_
