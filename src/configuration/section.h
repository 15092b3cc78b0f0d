#ifndef JUJUBEFRONT_CONFIGURATION_SECTION_H_
#define JUJUBEFRONT_CONFIGURATION_SECTION_H_

#include <string_view>
#include <vector>

#include "configuration/configuration_types.h"

namespace jujubefront {

// Maximum size of a section text.
inline constexpr std::size_t kMaxSectionBytes = 64 * 1024;

// Result of parsing a section. The section is valid only when there are no
// issues.
struct ParsedSection {
  Section section_;
  std::vector<Issue> issues_;
};

// Parses the TOML text of one section and reports every fault in it.
ParsedSection ParseSection(std::string_view text);

// Returns the operation of a service with this method and the longest matching
// path prefix, or null when none matches.
const Operation* FindOperation(const ServiceEntry& service,
                               std::string_view method, std::string_view path);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_CONFIGURATION_SECTION_H_
