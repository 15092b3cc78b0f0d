#include "toml/toml_reader.h"

#include "base/duration_text.h"

namespace jujubefront {

std::string_view IssueKindName(IssueKind kind) {
  switch (kind) {
    case IssueKind::kSyntax:
      return "syntax error";
    case IssueKind::kUnknownKey:
      return "unknown key";
    case IssueKind::kMissingKey:
      return "missing key";
    case IssueKind::kWrongType:
      return "wrong type";
    case IssueKind::kOutOfRange:
      return "out of range";
    case IssueKind::kDuplicate:
      return "duplicate";
    case IssueKind::kWrongOwner:
      return "wrong owner";
    case IssueKind::kUnknownClass:
      return "unknown class";
    case IssueKind::kTooLarge:
      return "too large";
  }
  return "invalid";
}

std::string FormatIssue(std::string_view file, const Issue& issue) {
  std::string line(file);
  if (issue.line_ > 0) line += ":" + std::to_string(issue.line_);
  line += ": ";
  if (!issue.key_.empty()) line += issue.key_ + ": ";
  line += IssueKindName(issue.kind_);
  if (!issue.detail_.empty()) line += ": " + issue.detail_;
  return line;
}

std::optional<toml::table> ParseToml(const IssueCollector& collector,
                                     std::string_view text) {
  try {
    return toml::parse(text);
  } catch (const toml::parse_error& error) {
    collector.issues_.push_back(
        {.kind_ = IssueKind::kSyntax,
         .line_ = static_cast<int>(error.source().begin.line),
         .detail_ = std::string(error.description())});
    return std::nullopt;
  }
}

int LineOf(const toml::node& node) {
  return static_cast<int>(node.source().begin.line);
}

void Report(const IssueCollector& collector, IssueKind kind,
            const toml::node& node, std::string key, std::string detail) {
  collector.issues_.push_back({.kind_ = kind,
                               .line_ = LineOf(node),
                               .key_ = std::move(key),
                               .detail_ = std::move(detail)});
}

void RejectUnknownKeys(const IssueCollector& collector,
                       const toml::table& table, const std::string& path,
                       const std::set<std::string_view>& known) {
  for (const auto& [key, value] : table) {
    if (known.contains(key.str())) continue;
    Report(collector, IssueKind::kUnknownKey, value,
           path + std::string(key.str()), "no such key");
  }
}

std::optional<std::int64_t> ReadInteger(const IssueCollector& collector,
                                        const toml::table& table,
                                        const std::string& path,
                                        std::string_view key,
                                        std::int64_t limit) {
  const auto value =
      ReadRequired<std::int64_t>(collector, table, path, key, "an integer");
  if (!value) return std::nullopt;
  if (*value >= 0 && *value <= limit) return value;
  Report(collector, IssueKind::kOutOfRange, *table.get(key),
         path + std::string(key), "allowed: 0 to " + std::to_string(limit));
  return std::nullopt;
}

std::optional<Duration> ReadDuration(const IssueCollector& collector,
                                     const toml::table& table,
                                     const std::string& path,
                                     std::string_view key) {
  const auto text = ReadRequired<std::string>(collector, table, path, key,
                                              "a duration such as \"250ms\"");
  if (!text) return std::nullopt;
  const auto duration = ParseDuration(*text);
  if (duration && duration->count() > 0) return duration;
  Report(collector, IssueKind::kOutOfRange, *table.get(key),
         path + std::string(key), "expected a duration such as \"250ms\"");
  return std::nullopt;
}

}  // namespace jujubefront
