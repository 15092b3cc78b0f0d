#ifndef JUJUBEFRONT_ROUTES_ROUTES_H_
#define JUJUBEFRONT_ROUTES_ROUTES_H_

#include <cstdint>
#include <string_view>

#include "routes/routes_types.h"

namespace jujubefront {

// Builds the index by host. Call it after `routes_` is complete.
void IndexRoutes(RouteTable& table);

// Returns the route with the longest matching path prefix of the host, or null
// when no route matches. `host` may include a port; `target` is the request
// target with its query string.
const RouteRule* FindRoute(const RouteTable& table, std::string_view host,
                           std::string_view target);

// Whether a request needs a key, and whose key it has.
enum class KeyCheck : std::uint8_t { kNotNeeded, kAccepted, kRejected };
struct KeyCheckResult {
  KeyCheck check_ = KeyCheck::kNotNeeded;
  const Workspace* workspace_ = nullptr;  // of the key, if it is accepted
};

// Checks the hash of a request's key; unknown: the request has none.
KeyCheckResult CheckKey(const RouteTable& table, const RouteRule& route,
                        const Fingerprint& key);

// Picks a service of a weighted split. `draw` is a random number in [0, 1).
const std::string& PickService(const RouteRule& route, double draw);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_ROUTES_ROUTES_H_
