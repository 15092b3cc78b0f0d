#ifndef JUJUBEFRONT_TOML_TOML_READER_H_
#define JUJUBEFRONT_TOML_TOML_READER_H_

#include <toml++/toml.h>

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time_types.h"
#include "toml/toml_errors.h"

namespace jujubefront {

// Collects the issues found while a TOML text is read.
struct IssueCollector {
  std::vector<Issue>& issues_;
};

// Parses a text. On a syntax error, adds an issue and returns nullopt.
std::optional<toml::table> ParseToml(const IssueCollector& collector,
                                     std::string_view text);

// Line on which a node begins, 1-based.
int LineOf(const toml::node& node);

// Adds an issue with the line of a node.
void Report(const IssueCollector& collector, IssueKind kind,
            const toml::node& node, std::string key, std::string detail);

// Adds an issue for every key of a table that is not among the known ones.
void RejectUnknownKeys(const IssueCollector& collector,
                       const toml::table& table, const std::string& path,
                       const std::set<std::string_view>& known);

// Reads a required integer between 0 and `limit`.
std::optional<std::int64_t> ReadInteger(const IssueCollector& collector,
                                        const toml::table& table,
                                        const std::string& path,
                                        std::string_view key,
                                        std::int64_t limit);

// Reads a required, positive duration with a unit.
std::optional<Duration> ReadDuration(const IssueCollector& collector,
                                     const toml::table& table,
                                     const std::string& path,
                                     std::string_view key);

// Reads a required value of type T. Adds an issue if it is absent or has
// another type; `expected` names the type in the message.
template <typename T>
std::optional<T> ReadRequired(const IssueCollector& collector,
                              const toml::table& table, const std::string& path,
                              std::string_view key, const char* expected) {
  const toml::node* node = table.get(key);
  if (node == nullptr) {
    Report(collector, IssueKind::kMissingKey, table, path + std::string(key),
           "required");
    return std::nullopt;
  }
  std::optional<T> value = node->value_exact<T>();
  if (!value) {
    Report(collector, IssueKind::kWrongType, *node, path + std::string(key),
           std::string("expected ") + expected);
  }
  return value;
}

// Calls read_entry(name, table) for every sub-table of a top-level table, such
// as [classes.NAME].
template <typename ReadEntry>
void ReadTables(const IssueCollector& collector, const toml::table& root,
                std::string_view key, ReadEntry read_entry) {
  const toml::node* node = root.get(key);
  if (node == nullptr) return;
  const toml::table* table = node->as_table();
  if (table == nullptr) {
    Report(collector, IssueKind::kWrongType, *node, std::string(key),
           "expected a table");
    return;
  }
  for (const auto& [name, value] : *table) {
    if (const toml::table* entry = value.as_table()) {
      read_entry(std::string(name.str()), *entry);
    } else {
      Report(collector, IssueKind::kWrongType, value,
             std::string(key) + "." + std::string(name.str()),
             "expected a table");
    }
  }
}

}  // namespace jujubefront

#endif  // JUJUBEFRONT_TOML_TOML_READER_H_
