#ifndef JUJUBEFRONT_RELAY_EXPLANATION_H_
#define JUJUBEFRONT_RELAY_EXPLANATION_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "relay/relay_types.h"

namespace jujubefront {

// A request whose placement is to be explained.
struct PlacementQuery {
  std::string host_;
  std::string path_;
  std::string workspace_;  // by name; empty: that of the key
  Fingerprint key_;        // unknown: none
};

// A host of a service, with what this node knows of it.
struct HostExplanation {
  std::string address_;
  std::string zone_;
  std::string region_;
  std::string instance_;
  std::string_view distance_;
  std::string_view backend_;   // state of its backend server
  std::string_view excluded_;  // reason; empty: it is a candidate
  bool chosen_ = false;        // may be the next one that gets a request
  bool avoided_ = false;
  std::uint32_t slots_ = 0;
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint32_t in_flight_ = 0;          // from this node
  std::uint32_t sent_since_report_ = 0;  // from this node
  std::optional<Duration> load_age_;     // nullopt: no load was reported
  std::optional<Duration> status_age_;   // nullopt: no status was received
  // Of candidates only, as the choice uses them.
  std::optional<PlacementCandidate> candidate_;
  Duration start_wait_ = Duration::zero();
  Duration finish_ = Duration::zero();
};

// Hosts of one service of the route, those first that would be chosen.
struct ServiceExplanation {
  std::string service_;
  double weight_ = 1.0;
  std::string overflow_region_;  // hosts of this region only; empty: of any
  std::size_t known_ = 0;
  std::size_t candidates_ = 0;
  std::vector<HostExplanation> hosts_;  // not more than kMaxExplainedHosts
};

struct AdmissionExplanation {
  double admitted_share_ = 1.0;
  double fresh_share_ = 1.0;      // of first requests
  double returning_share_ = 1.0;  // of requests that return after a refusal
  double demand_per_second_ = 0.0;
  std::optional<RouteOverflow> overflow_;  // of what is not admitted
  std::optional<RemoteShare> remote_;      // of what is admitted
};

struct QuotaExplanation {
  std::string workspace_;
  std::uint32_t priority_ = 0;
  QuotaRule rule_;
  QuotaUse fleet_;         // as far as this node knows
  QuotaUse node_;          // of this node
  bool counted_ = false;   // this node has counted requests of the workspace
  double node_share_ = 0;  // this node's part of the demand; 0: not known
  double admitted_share_ = 1.0;
  std::optional<Duration> fleet_age_;  // nullopt: no sums were received
  bool cut_off_ = false;  // the sums are out of date: own part of the limit
};

// Queue of the local backend server.
struct QueueExplanation {
  std::uint32_t slots_ = 0;
  std::uint32_t running_ = 0;
  std::size_t waiting_ = 0;
  Duration mean_hold_ = Duration::zero();
};

// Where a request would be sent now.
struct PlacementExplanation {
  // Status with which this node would answer itself; 0: it is sent, or depends
  // on the shares of admission and quota.
  int status_ = 0;
  std::string_view why_;
  std::uint64_t table_version_ = 0;
  bool ready_ = false;
  bool stopping_ = false;
  bool cut_off_ = false;
  const RouteRule* route_ = nullptr;  // in the state; nullptr: none
  bool is_call_ = false;  // the route is called by backend servers only
  std::optional<QuotaExplanation> quota_;
  AdmissionExplanation admission_;
  QueueExplanation queue_;
  std::size_t services_ = 0;  // of the route
  std::vector<ServiceExplanation> placement_;
  std::vector<ServiceExplanation> overflow_placement_;
};

// Bounds of an explanation.
inline constexpr std::size_t kMaxExplainedServices = 4;
inline constexpr std::size_t kMaxExplainedHosts = 24;

// Explains where a client's request would be sent and why. Changes nothing.
// The contents of requests, which may be suspect, are not taken into account.
PlacementExplanation ExplainPlacement(const RelayState& state,
                                      const RelayOptions& options,
                                      Timestamp now,
                                      const PlacementQuery& query);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAY_EXPLANATION_H_
