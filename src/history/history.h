#ifndef JUJUBEFRONT_HISTORY_HISTORY_H_
#define JUJUBEFRONT_HISTORY_HISTORY_H_

#include <optional>
#include <string_view>

#include "history/history_types.h"

namespace jujubefront {

// Parses one line of a journal. Returns nothing when it is malformed; the last
// line of a process that was killed may be truncated.
std::optional<HistoryEvent> ParseHistoryLine(std::string_view line,
                                             const std::string& source);

// Appends the events of a journal file to `events`. Returns false when the file
// cannot be opened.
bool ReadJournal(const std::string& path, std::vector<HistoryEvent>& events,
                 std::size_t& malformed_lines);

// Evaluates every rule on a whole history, in order of time.
HistoryReport EvaluateHistory(std::vector<HistoryEvent> events,
                              const HistoryBounds& bounds);

// Name of a rule in output.
std::string_view RuleName(Rule rule);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_HISTORY_HISTORY_H_
