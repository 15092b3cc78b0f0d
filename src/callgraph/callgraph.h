#ifndef JUJUBEFRONT_CALLGRAPH_CALLGRAPH_H_
#define JUJUBEFRONT_CALLGRAPH_CALLGRAPH_H_

#include <map>
#include <set>
#include <string>
#include <vector>

namespace jujubefront {

// Counts of one window at one host: runs of its backend server, and requests
// that arrived from the host itself, by route.
struct CallWindow {
  std::map<std::string, double> runs_;
  std::map<std::string, double> calls_;
};

// Decayed sums of a least-squares fit of calls to runs.
struct CallFit {
  // Sum of products of the runs of two routes.
  std::map<std::string, std::map<std::string, double>> squares_;
  // Sum of products of runs and calls: by called route, then by run route.
  std::map<std::string, std::map<std::string, double>> products_;
};

// Takes in a window. Callers do not name the run that a call belongs to, so
// that only the counts tell which routes call which, and how often.
void AddWindow(CallFit& fit, const CallWindow& window);

// Mean calls of one run, by route of the run and called route: regularised
// least squares with the solution kept non-negative (coordinate descent).
std::map<std::string, std::map<std::string, double>> CallsByRoute(
    const CallFit& fit);

// Arrivals of a route at the hosts of one service.
struct RouteArrivals {
  std::string route_;
  std::string host_service_;
  double per_second_ = 0.0;
};

// Routes that only backend servers call. Clients use all hosts alike, so that
// a route that arrives at the hosts of a single service, while clients use the
// hosts of others, is called by that service.
std::set<std::string> FindCalledRoutes(
    const std::vector<RouteArrivals>& arrivals);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_CALLGRAPH_CALLGRAPH_H_
