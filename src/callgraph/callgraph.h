#ifndef JUJUBEFRONT_CALLGRAPH_CALLGRAPH_H_
#define JUJUBEFRONT_CALLGRAPH_CALLGRAPH_H_

#include <cstdint>
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
std::map<std::string, std::map<std::string, double>> FittedMeanCalls(
    const CallFit& fit);

// Decayed counts of finished runs and of the calls that named them.
struct CallCounts {
  struct Route {
    double runs_ = 0.0;
    std::map<std::string, double> calls_;  // by called route
  };
  std::map<std::string, Route> routes_;  // by route of the run
  double calls_ = 0.0;
  double unnamed_calls_ = 0.0;  // that named no run
};

void CountCall(CallCounts& counts, bool unnamed);
// A run has ended well, having made these calls.
void CountRun(CallCounts& counts, const std::string& route,
              const std::map<std::string, std::uint32_t>& calls);
// A window has passed.
void Decay(CallCounts& counts);

// Whether callers name the run that a call belongs to, so that counting does
// and nothing has to be fitted.
bool CallersNameTheirRun(const CallCounts& counts);
std::map<std::string, std::map<std::string, double>> CountedMeanCalls(
    const CallCounts& counts);

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
