#ifndef JUJUBEFRONT_CALLGRAPH_CALLGRAPH_H_
#define JUJUBEFRONT_CALLGRAPH_CALLGRAPH_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace jujubefront {

// Counts of one window at one host, by route: runs of its backend server, and
// requests that entered at this host. For routes that only backend servers
// call, the latter are the calls of this host's backend server.
struct CallWindow {
  std::map<std::string, double> runs_;
  std::map<std::string, double> calls_;
};

// Exponentially decayed sums of a least-squares fit of calls to runs.
struct CallFit {
  // Sum of products of the runs of two routes.
  std::map<std::string, std::map<std::string, double>> squares_;
  // Sum of products of runs and calls: by called route, then by run route.
  std::map<std::string, std::map<std::string, double>> products_;
};

// Adds a window to the fit. Used where callers do not name the run that a call
// belongs to, so that only the counts show which routes call which, and how
// often.
void AddWindow(CallFit& fit, const CallWindow& window);

// Mean calls per run, by route of the run and by called route: regularised
// least squares with a non-negative solution (coordinate descent).
std::map<std::string, std::map<std::string, double>> FittedMeanCalls(
    const CallFit& fit);

// Exponentially decayed counts of finished runs and of the calls that named
// them.
struct CallCounts {
  struct Route {
    double runs_ = 0.0;
    std::map<std::string, double> calls_;  // by called route
  };
  std::map<std::string, Route> routes_;  // by route of the run
  double calls_ = 0.0;
  double unnamed_calls_ = 0.0;  // calls that named no run
};

// Counts a call of the backend server; `unnamed`: it named no run.
void CountCall(CallCounts& counts, bool unnamed);
// Counts a run that ended successfully, with its calls by called route.
void CountRun(CallCounts& counts, const std::string& route,
              const std::map<std::string, std::uint32_t>& calls);
// Decays the counts at the end of a window.
void Decay(CallCounts& counts);

// Whether callers name the run that a call belongs to. Counting then suffices
// and no fit is needed.
bool CallersNameTheirRun(const CallCounts& counts);
// Mean calls per run from the counts, by route of the run and by called route.
std::map<std::string, std::map<std::string, double>> CountedMeanCalls(
    const CallCounts& counts);

// Arrivals of a route at the hosts of one service.
struct RouteArrivals {
  std::string route_;
  std::string host_service_;
  double per_second_ = 0.0;
};

// Routes that only backend servers call. Clients use all hosts alike: a route
// whose requests arrive only at the hosts of one service, while the hosts of
// other services receive requests too, is called by that service.
std::set<std::string> FindCalledRoutes(
    const std::vector<RouteArrivals>& arrivals);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_CALLGRAPH_CALLGRAPH_H_
