#ifndef JUJUBEFRONT_SETTINGS_SETTINGS_READER_H_
#define JUJUBEFRONT_SETTINGS_SETTINGS_READER_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "toml/toml_reader.h"

namespace jujubefront {

// Enumerators and their names in the settings file.
template <typename Enum>
using EnumNames = std::vector<std::pair<std::string_view, Enum>>;

// Visits every setting once, so that one list of settings serves both to read
// them from a TOML document and to render them as TOML text. A member function
// for a setting reads it into `value`, which otherwise keeps its default, and
// reports an issue if it has the wrong type or is out of range.
class SettingsVisitor {
 public:
  // Reads settings from a document and adds an issue for each error.
  SettingsVisitor(const toml::table& document, std::vector<Issue>& issues);
  // Renders settings as TOML text; see description().
  SettingsVisitor() = default;

  // Settings visited after this call belong to this table.
  void Table(std::string_view name);

  void Required(std::string_view key, std::string& value);
  void Optional(std::string_view key, std::string& value);
  void Address(std::string_view key, std::string& value);
  void OptionalAddress(std::string_view key, std::string& value);
  void Number(std::string_view key, std::uint32_t& value, std::uint32_t min,
              std::uint32_t max);
  void Number(std::string_view key, double& value, double min, double max);
  void Time(std::string_view key, Duration& value, Duration min);
  void Flag(std::string_view key, bool& value);

  template <typename Enum>
  void Choice(std::string_view key, Enum& value, const EnumNames<Enum>& names) {
    std::string text;
    for (const auto& [name, candidate] : names) {
      if (candidate == value) text = name;
    }
    Optional(key, text);
    for (const auto& [name, candidate] : names) {
      if (text != name) continue;
      value = candidate;
      return;
    }
    AddIssue(IssueKind::kOutOfRange, key, "no such choice: " + text);
  }

  // Reports every key that was not visited.
  void RejectUnknown();

  // Adds an issue for a setting of the current table.
  void AddIssue(IssueKind kind, std::string_view key, std::string detail);

  const std::string& description() const { return description_; }

 private:
  const toml::node* Find(std::string_view key);
  void CheckAddress(std::string_view key, const std::string& value);
  void Describe(std::string_view key, const std::string& value);
  std::string KeyPath(std::string_view key) const;

  const toml::table* document_ = nullptr;
  const toml::table* table_ = nullptr;
  std::vector<Issue>* issues_ = nullptr;
  std::string table_name_;
  std::map<std::string, std::set<std::string>> visited_;
  std::string description_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_SETTINGS_SETTINGS_READER_H_
