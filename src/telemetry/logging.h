#ifndef JUJUBEFRONT_TELEMETRY_LOGGING_H_
#define JUJUBEFRONT_TELEMETRY_LOGGING_H_

#include <string>
#include <string_view>

#include "node/effect_types.h"
#include "settings/settings_types.h"

namespace jujubefront {

// Directs log lines to standard error.
void ConfigureLogging(LogFormat format);

// Name of a kind of change in the journal.
std::string_view ChangeName(ChangeKind kind);

// Logs a change of the node's state.
void LogChange(const std::string& node, const StateChange& change);

// Logs a failure that ends the process.
void LogFatal(const std::string& text);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_TELEMETRY_LOGGING_H_
