#ifndef JUJUBEFRONT_RELAYMODEL_FLEET_TYPES_H_
#define JUJUBEFRONT_RELAYMODEL_FLEET_TYPES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time_types.h"
#include "relay/relay_types.h"

namespace jujubefront {

// Calls that one run makes, one after the other.
struct FleetCall {
  std::string route_;
  int count_ = 1;
};

// A kind of request and the work that it causes.
struct FleetRoute {
  std::string name_;
  std::string service_;
  bool idempotent_ = true;
  std::uint32_t priority_ = 0;        // 0 is the most important
  Duration work_ = Duration::zero();  // own work of a run
  Duration objective_ = Duration::zero();
  Duration deadline_ = Duration::zero();
  double worth_ = 0.0;       // of an answer within the objective
  double per_second_ = 0.0;  // of all clients at the base rate; 0: only called
  std::vector<FleetCall> calls_;
};

struct FleetHost {
  std::string zone_;
  std::string region_;
  std::string service_;
  std::uint32_t slots_ = 0;
  double slowness_ = 1.0;  // factor on the work of a run
};

// A deployment: hosts, routes and distances.
struct Fleet {
  std::string name_;
  std::vector<FleetHost> hosts_;
  std::vector<FleetRoute> routes_;
  Duration zone_latency_ = std::chrono::microseconds(1400);  // one way
  Duration region_latency_ = std::chrono::milliseconds(30);
};

// How requests are handled, for comparison.
struct FleetPolicy {
  std::string name_;
  bool admits_at_root_ = true;    // else every host protects only itself
  bool knows_priorities_ = true;  // else all requests are alike
  // Without relays a request goes to any host of its service and waits there
  // in order of arrival; beyond so many waiting requests it gets 503.
  bool without_relays_ = false;
  std::uint32_t most_waiting_ = 1U << 30;
};

// A time in which demand is multiplied.
struct FleetSurge {
  Duration from_ = Duration::zero();
  Duration to_ = Duration::zero();
  double factor_ = 1.0;
};

// A time in which all backend servers of a service reject a share of whatever
// arrives.
struct FleetRejection {
  std::string service_;
  Duration from_ = Duration::zero();
  Duration to_ = Duration::zero();
  double share_ = 0.0;
};

// A content that ends every backend server that begins to run it. It comes
// again and again, under new ids, at any host.
struct FleetCrashingContent {
  std::string route_;
  Duration from_ = Duration::zero();
  Duration to_ = Duration::zero();
  Duration every_ = std::chrono::seconds(1);
  // It is carried by the calls that a run of the route makes, and ends the
  // backend servers that run these.
  bool by_call_ = false;
  // Only hosts of this service send it; empty: all do.
  std::string caller_;
};

// Part of the backend servers of a service end, whatever they run.
struct FleetCrash {
  std::string service_;
  Duration at_ = Duration::zero();
  double share_ = 0.0;
};

// Part of the hosts lose their relays and backend servers at once. They start
// again a second later, and know nothing of before.
struct FleetRestart {
  Duration at_ = Duration::zero();
  double share_ = 0.0;
};

// A time in which nothing passes between a zone and the others.
struct FleetCut {
  std::string zone_;
  Duration from_ = Duration::zero();
  Duration to_ = Duration::zero();
};

struct FleetRunOptions {
  std::uint64_t seed_ = 1;
  Duration length_ = std::chrono::seconds(20);
  std::vector<FleetSurge> surges_;
  std::vector<FleetRejection> rejections_;
  std::vector<FleetCrashingContent> crashing_contents_;
  std::vector<FleetCrash> crashes_;
  std::vector<FleetRestart> restarts_;
  std::vector<FleetCut> cuts_;
  // All requests of a route are alike; else no two are.
  bool alike_ = true;
  double base_factor_ = 1.0;
  double honours_retry_after_ = 0.5;  // share of clients; others return at once
  int retries_ = 1;                   // of a client
};

// What became of the requests of one route, by their first attempt.
struct FleetRouteResult {
  std::uint64_t asked_ = 0;
  std::uint64_t in_time_ = 0;
  std::uint64_t late_ = 0;
  std::uint64_t refused_ = 0;  // at the last attempt, without having run
  std::uint64_t failed_ = 0;
};

// What one crashing content did.
struct FleetCrashingResult {
  std::uint64_t sent_ = 0;   // by clients
  std::uint64_t runs_ = 0;   // begun
  std::uint64_t ended_ = 0;  // backend servers
  // Runs begun later than kCrashesKnownAfter after the third end.
  std::uint64_t runs_late_ = 0;
  std::map<int, std::uint64_t> statuses_;  // that its clients got
};

// Time after the third end from which on a crashing content must not run.
inline constexpr Duration kCrashesKnownAfter = std::chrono::seconds(4);

struct FleetResult {
  std::map<std::string, FleetRouteResult> routes_;
  std::vector<FleetCrashingResult> crashing_;  // in the order of the options
  // Requests of a content that ends no backend server, refused as if it did.
  std::uint64_t innocents_refused_ = 0;
  // Notices about contents, and the charges and clearances in them.
  std::uint64_t notices_ = 0;
  std::uint64_t charges_told_ = 0;
  double worth_share_ = 0.0;   // of the worth that was asked for
  double refused_late_ = 0.0;  // share of refusals after an eighth of the
                               // objective
  // Arrivals beyond the first of a request, as a share of the first ones, at
  // the service where it is largest.
  double repeated_ = 0.0;
  double wasted_work_ = 0.0;  // share of slot time spent for failed requests
  double region_crossings_ = 0.0;        // share of runs
  std::vector<double> worth_by_second_;  // share of what was asked for
  // Time after the last surge until a second's worth is back at 95% of that
  // before the first one; negative: not within the run.
  double recovery_seconds_ = 0.0;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAYMODEL_FLEET_TYPES_H_
