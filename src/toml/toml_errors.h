#ifndef JUJUBEFRONT_TOML_TOML_ERRORS_H_
#define JUJUBEFRONT_TOML_TOML_ERRORS_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace jujubefront {

// Kinds of errors in a TOML text.
enum class IssueKind : std::uint8_t {
  kSyntax,
  kUnknownKey,
  kMissingKey,
  kWrongType,
  kOutOfRange,
  kDuplicate,
  kWrongOwner,
  kUnknownClass,
  kTooLarge,
};

// An error in a TOML text.
struct Issue {
  IssueKind kind_ = IssueKind::kSyntax;
  int line_ = 0;  // 1-based; 0: the whole text
  std::string key_;
  std::string detail_;
};

// Name of a kind of error for messages.
std::string_view IssueKindName(IssueKind kind);

// Formats an issue as one line: file, line, key, kind and detail.
std::string FormatIssue(std::string_view file, const Issue& issue);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_TOML_TOML_ERRORS_H_
