#include "routes/routes.h"

#include <algorithm>
#include <cctype>

namespace jujubefront {
namespace {

// Host name in lower case, without the port.
std::string NormalHost(std::string_view host) {
  const auto colon = host.rfind(':');
  if (colon != std::string_view::npos) host = host.substr(0, colon);
  std::string lower(host);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

}  // namespace

void IndexRoutes(RouteTable& table) {
  table.by_host_.clear();
  for (std::size_t i = 0; i < table.routes_.size(); ++i) {
    table.by_host_[NormalHost(table.routes_[i].host_)].push_back(i);
  }
  for (auto& [host, indexes] : table.by_host_) {
    std::stable_sort(indexes.begin(), indexes.end(),
                     [&](std::size_t a, std::size_t b) {
                       return table.routes_[a].path_prefix_.size() >
                              table.routes_[b].path_prefix_.size();
                     });
  }
}

const RouteRule* FindRoute(const RouteTable& table, std::string_view host,
                           std::string_view target) {
  const auto found = table.by_host_.find(NormalHost(host));
  if (found == table.by_host_.end()) return nullptr;
  const std::string_view path = target.substr(0, target.find('?'));
  for (const std::size_t index : found->second) {
    const RouteRule& route = table.routes_[index];
    if (path.starts_with(route.path_prefix_)) return &route;
  }
  return nullptr;
}

const std::string& PickService(const RouteRule& route, double draw) {
  double total = 0.0;
  for (const auto& part : route.services_) total += part.weight_;
  double left = draw * total;
  for (const auto& part : route.services_) {
    left -= part.weight_;
    if (left < 0.0) return part.service_;
  }
  return route.services_.back().service_;
}

KeyCheckResult CheckKey(const RouteTable& table, const RouteRule& route,
                        const Fingerprint& key) {
  if (table.workspaces_.empty()) return {};
  const auto found = key.known() ? table.workspace_of_key_.find(key)
                                 : table.workspace_of_key_.end();
  if (found != table.workspace_of_key_.end()) {
    return {.check_ = KeyCheck::kAccepted,
            .workspace_ = &table.workspaces_[found->second]};
  }
  return {.check_ =
              route.needs_key_ ? KeyCheck::kRejected : KeyCheck::kNotNeeded};
}

}  // namespace jujubefront
