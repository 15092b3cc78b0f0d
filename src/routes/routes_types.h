#ifndef JUJUBEFRONT_ROUTES_ROUTES_TYPES_H_
#define JUJUBEFRONT_ROUTES_ROUTES_TYPES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/fingerprint.h"
#include "base/time_types.h"

namespace jujubefront {

// One service of a weighted split.
struct WeightedService {
  std::string service_;
  double weight_ = 1.0;
};

// Rule for the requests of one host and path prefix.
struct RouteRule {
  std::string name_;
  std::string host_;
  std::string path_prefix_;  // begins and ends with a slash
  bool idempotent_ = false;
  Duration timeout_ = std::chrono::seconds(5);
  Duration latency_objective_ = std::chrono::seconds(1);
  std::uint32_t priority_ = 0;      // 0 is the most important
  std::uint32_t max_attempts_ = 1;  // backend servers tried per request
  std::vector<WeightedService> services_;
  bool needs_key_ = true;  // of a workspace, if the document has workspaces
};

// A customer whose clients identify themselves with keys.
struct Workspace {
  std::string name_;
  std::uint32_t priority_ = 0;  // 0 is the most important; before a route's
  // Quota of client requests over all nodes; 0: no limit.
  double requests_per_second_ = 0.0;
  double burst_requests_ = 0.0;  // in addition, at once
};

// Settings of one service in the routing document.
struct ServiceRule {
  std::uint32_t max_connections_ = 100;  // across all callers
  std::string health_path_;              // empty: none is known
};

// Limits on client requests and connections.
struct ClientLimits {
  std::uint32_t max_header_bytes_ = 16 * 1024;
  std::uint32_t max_body_bytes_ = 64 * 1024 * 1024;
  Duration header_timeout_ = std::chrono::seconds(3);
  Duration idle_timeout_ = std::chrono::seconds(15);
};

// One version of the operators' routing document.
struct RouteTable {
  std::uint64_t version_ = 0;  // 0: no document is known
  std::vector<RouteRule> routes_;
  std::map<std::string, ServiceRule> services_;
  ClientLimits limits_;
  std::vector<Workspace> workspaces_;
  // Indexes into `workspaces_` by the hash of a key. The keys themselves are
  // not stored, and a lookup takes the same time however many characters of a
  // wrong key are right.
  std::unordered_map<Fingerprint, std::size_t, FingerprintHash>
      workspace_of_key_;
  // Indexes into `routes_` by normalised host, longest prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> by_host_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_ROUTES_ROUTES_TYPES_H_
