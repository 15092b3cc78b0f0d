#ifndef JUJUBEFRONT_ROUTES_ROUTES_H_
#define JUJUBEFRONT_ROUTES_ROUTES_H_

#include <string_view>

#include "routes/routes_types.h"

namespace jujubefront {

// Builds the index by host. Call after the routes are filled in.
void IndexRoutes(RouteTable& table);

// Finds the route of a request, or nothing. `host` may carry a port; `target`
// is the request target with its query.
const RouteRule* FindRoute(const RouteTable& table, std::string_view host,
                           std::string_view target);

// Service of a split for a draw in [0, 1).
const std::string& PickService(const RouteRule& route, double draw);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_ROUTES_ROUTES_H_
