#ifndef JUJUBEFRONT_OPERATIONS_TABLES_H_
#define JUJUBEFRONT_OPERATIONS_TABLES_H_

#include <string>
#include <vector>

#include "configuration/configuration_types.h"

namespace jujubefront {

// Formats rows of text in aligned columns.
std::string FormatTable(const std::vector<std::vector<std::string>>& rows);

// Formats a node's status page as tables for a person.
std::string FormatStatus(const std::string& status_json);

// Formats the verdicts on the publishes that are still in the log.
std::string FormatHistory(const ConfigurationState& state);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_OPERATIONS_TABLES_H_
