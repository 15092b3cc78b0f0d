#ifndef JUJUBEFRONT_OPERATIONS_PLACEMENT_TEXT_H_
#define JUJUBEFRONT_OPERATIONS_PLACEMENT_TEXT_H_

#include <optional>
#include <string>

namespace jujubefront {

// A request whose placement a sidecar is asked to explain.
struct PlacementRequestNames {
  std::string host_;
  std::string path_;
  std::string workspace_;  // by name; empty: none, or that of the key
};

// Target of the request for an explanation.
std::string PlacementTarget(const PlacementRequestNames& request);

// Formats a sidecar's explanation of a placement for a person. Values that are
// missing are shown as "-". nullopt: it is no explanation.
std::optional<std::string> FormatPlacement(const std::string& explanation_json);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_OPERATIONS_PLACEMENT_TEXT_H_
