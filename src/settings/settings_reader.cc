#include "settings/settings_reader.h"

#include "base/duration_text.h"

namespace jujubefront {
namespace {

constexpr std::uint32_t kMaxPort = 65535;

// True for an IPv4 address and port such as 127.0.0.1:8080.
bool IsAddress(const std::string& text) {
  unsigned parts[5] = {};
  char rest = 0;
  const int read =
      std::sscanf(text.c_str(), "%3u.%3u.%3u.%3u:%5u%c", &parts[0], &parts[1],
                  &parts[2], &parts[3], &parts[4], &rest);
  if (read != 5) return false;
  for (int i = 0; i < 4; ++i) {
    if (parts[i] > 255) return false;
  }
  return parts[4] <= kMaxPort;
}

}  // namespace

SettingsVisitor::SettingsVisitor(const toml::table& document,
                                 std::vector<Issue>& issues)
    : document_(&document), issues_(&issues) {}

void SettingsVisitor::Table(std::string_view name) {
  table_name_ = name;
  visited_[table_name_];
  if (document_ == nullptr) {
    description_ += "\n[" + table_name_ + "]\n";
    return;
  }
  const toml::node* node = document_->get(name);
  table_ = node != nullptr ? node->as_table() : nullptr;
  if (node != nullptr && table_ == nullptr) {
    Report({*issues_}, IssueKind::kWrongType, *node, table_name_,
           "expected a table");
  }
}

void SettingsVisitor::Required(std::string_view key, std::string& value) {
  Optional(key, value);
  if (document_ != nullptr && value.empty()) {
    AddIssue(IssueKind::kMissingKey, key, "required");
  }
}

void SettingsVisitor::Optional(std::string_view key, std::string& value) {
  Describe(key, "\"" + value + "\"");
  const toml::node* node = Find(key);
  if (node == nullptr) return;
  if (const auto text = node->value_exact<std::string>()) {
    value = *text;
  } else {
    AddIssue(IssueKind::kWrongType, key, "expected a string");
  }
}

void SettingsVisitor::Address(std::string_view key, std::string& value) {
  Required(key, value);
  CheckAddress(key, value);
}

void SettingsVisitor::OptionalAddress(std::string_view key,
                                      std::string& value) {
  Optional(key, value);
  CheckAddress(key, value);
}

void SettingsVisitor::CheckAddress(std::string_view key,
                                   const std::string& value) {
  if (document_ == nullptr || value.empty() || IsAddress(value)) return;
  AddIssue(IssueKind::kOutOfRange, key,
           "expected IP:port, not \"" + value + "\"");
}

void SettingsVisitor::Number(std::string_view key, std::uint32_t& value,
                             std::uint32_t min, std::uint32_t max) {
  Describe(key, std::to_string(value));
  const toml::node* node = Find(key);
  if (node == nullptr) return;
  const auto number = node->value_exact<std::int64_t>();
  if (!number)
    return AddIssue(IssueKind::kWrongType, key, "expected an integer");
  if (*number < min || *number > max) {
    return AddIssue(
        IssueKind::kOutOfRange, key,
        "allowed: " + std::to_string(min) + " to " + std::to_string(max));
  }
  value = static_cast<std::uint32_t>(*number);
}

void SettingsVisitor::Number(std::string_view key, double& value, double min,
                             double max) {
  Describe(key, std::to_string(value));
  const toml::node* node = Find(key);
  if (node == nullptr) return;
  const auto number = node->value<double>();
  if (!number) return AddIssue(IssueKind::kWrongType, key, "expected a number");
  if (*number < min || *number > max) {
    return AddIssue(
        IssueKind::kOutOfRange, key,
        "allowed: " + std::to_string(min) + " to " + std::to_string(max));
  }
  value = *number;
}

void SettingsVisitor::Time(std::string_view key, Duration& value,
                           Duration min) {
  Describe(key, "\"" + FormatDuration(value) + "\"");
  const toml::node* node = Find(key);
  if (node == nullptr) return;
  const auto text = node->value_exact<std::string>();
  const auto duration = text ? ParseDuration(*text) : std::nullopt;
  if (!duration) {
    return AddIssue(IssueKind::kWrongType, key,
                    "expected a duration such as \"250ms\"");
  }
  if (*duration < min) {
    return AddIssue(IssueKind::kOutOfRange, key,
                    "at least " + FormatDuration(min));
  }
  value = *duration;
}

void SettingsVisitor::Flag(std::string_view key, bool& value) {
  Describe(key, value ? "true" : "false");
  const toml::node* node = Find(key);
  if (node == nullptr) return;
  const auto flag = node->value_exact<bool>();
  if (!flag)
    return AddIssue(IssueKind::kWrongType, key, "expected true or false");
  value = *flag;
}

void SettingsVisitor::RejectUnknown() {
  for (const auto& [name, node] : *document_) {
    const std::string table_name(name.str());
    const auto visited = visited_.find(table_name);
    if (visited == visited_.end()) {
      Report({*issues_}, IssueKind::kUnknownKey, node, table_name,
             "no such table");
      continue;
    }
    const toml::table* table = node.as_table();
    if (table == nullptr) continue;
    for (const auto& [key, value] : *table) {
      if (visited->second.contains(std::string(key.str()))) continue;
      Report({*issues_}, IssueKind::kUnknownKey, value,
             table_name + "." + std::string(key.str()), "no such key");
    }
  }
}

void SettingsVisitor::AddIssue(IssueKind kind, std::string_view key,
                               std::string detail) {
  if (issues_ == nullptr) return;
  const toml::node* node = table_ != nullptr ? table_->get(key) : nullptr;
  if (node == nullptr) node = table_;
  issues_->push_back({.kind_ = kind,
                      .line_ = node != nullptr ? LineOf(*node) : 0,
                      .key_ = KeyPath(key),
                      .detail_ = std::move(detail)});
}

const toml::node* SettingsVisitor::Find(std::string_view key) {
  visited_[table_name_].insert(std::string(key));
  return table_ != nullptr ? table_->get(key) : nullptr;
}

void SettingsVisitor::Describe(std::string_view key, const std::string& value) {
  if (document_ != nullptr) return;
  description_ += std::string(key) + " = " + value + "\n";
}

std::string SettingsVisitor::KeyPath(std::string_view key) const {
  return table_name_ + "." + std::string(key);
}

}  // namespace jujubefront
