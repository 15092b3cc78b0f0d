#ifndef JUJUBEFRONT_ALLOCATION_OVERFLOW_H_
#define JUJUBEFRONT_ALLOCATION_OVERFLOW_H_

#include <map>
#include <string>
#include <vector>

#include "allocation/allocation.h"

namespace jujubefront {

// Slots of a service in another region, and their use.
struct RemoteService {
  double slots_ = 0.0;
  double runs_ = 0.0;  // in progress and waiting
};

// Services of another region.
struct RemoteRegion {
  std::string region_;
  std::map<std::string, RemoteService> services_;
};

struct OverflowOptions {
  // Share of its slots that a service of the other region keeps free for the
  // demand of that region, which may rise before the next report arrives.
  double reserved_share_ = 0.3;
};

// What part of a route's refused requests another region runs instead.
struct RouteOverflow {
  std::string region_;
  double share_ = 0.0;       // of the requests that are not admitted
  double per_second_ = 0.0;  // the same as a rate
};

// Distributes the free slots of other regions over the requests that this
// region does not admit, the most important routes first. The whole call tree
// of a request runs in the other region, so that every service in the tree
// needs free slots there. `planned` is the previous result: its runs are part
// of what the other region reports as used.
std::map<std::string, RouteOverflow> PlanOverflow(
    const std::map<std::string, RouteProfile>& profiles,
    const std::vector<RouteDemand>& demands,
    const std::map<std::string, double>& admitted,
    const std::vector<RemoteRegion>& regions,
    const std::map<std::string, RouteOverflow>& planned,
    const OverflowOptions& options);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_ALLOCATION_OVERFLOW_H_
