#ifndef JUJUBEFRONT_HISTORY_HISTORY_H_
#define JUJUBEFRONT_HISTORY_HISTORY_H_

#include <optional>
#include <string_view>

#include "history/history_types.h"

namespace jujubefront {

// Reads one line of a journal; nothing when it is malformed. The last line of
// a killed process may be cut off.
std::optional<HistoryEvent> ParseHistoryLine(std::string_view line,
                                             const std::string& source);

// Reads a journal file into a history. Returns false when it can't be read.
bool ReadJournal(const std::string& path, std::vector<HistoryEvent>& events,
                 std::size_t& malformed_lines);

// Judges every rule over a whole history, in order of time.
HistoryReport EvaluateHistory(std::vector<HistoryEvent> events,
                              const HistoryBounds& bounds);

// Name of a rule, as printed.
std::string_view RuleName(Rule rule);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_HISTORY_HISTORY_H_
