#ifndef JUJUBEFRONT_SIDECAR_EXPLANATION_JSON_H_
#define JUJUBEFRONT_SIDECAR_EXPLANATION_JSON_H_

#include <string>

#include "relay/explanation.h"

namespace jujubefront {

// Upper bound on the size of a rendered explanation.
inline constexpr std::size_t kMaxExplanationBytes = 512 * 1024;

// Renders an explanation as JSON. Values that are not known are null; names
// that are too long are cut.
std::string RenderExplanation(const PlacementExplanation& explanation);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_SIDECAR_EXPLANATION_JSON_H_
