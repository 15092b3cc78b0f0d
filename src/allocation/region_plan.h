#ifndef JUJUBEFRONT_ALLOCATION_REGION_PLAN_H_
#define JUJUBEFRONT_ALLOCATION_REGION_PLAN_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "allocation/allocation.h"

namespace jujubefront {

// Admission for the case that a region has no backend server of a service that
// its call trees need. The regions share the slots of that service: all compute
// the same plan from the same statements, without an agreement.

// Demand, costs and slots of one region.
struct RegionStatement {
  std::string region_;
  std::vector<RouteDemand> demands_;     // of clients
  std::map<std::string, double> slots_;  // usable ones, by service
  // Services of which the region has no usable backend server and another
  // region has one.
  std::set<std::string> lacking_;
};

// Part of the admitted requests of a route that another region runs.
struct RemoteShare {
  std::string region_;
  double share_ = 0.0;
};

struct RegionPlan {
  // Admitted share of the own region's demand, of the routes whose call trees
  // need a service that a region lacks.
  std::map<std::string, double> admitted_;
  std::map<std::string, RemoteShare> remote_;
};

// Plans the requests of the own region. `profiles` are the costs of all routes,
// wherever they were measured; `own_slots` limit what runs in the own region
// besides the services that it lacks, empty: nothing does.
RegionPlan PlanRegions(const std::map<std::string, RouteProfile>& profiles,
                       const RegionStatement& own,
                       const std::map<std::string, double>& own_slots,
                       const std::vector<RegionStatement>& others,
                       const AllocationOptions& options);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_ALLOCATION_REGION_PLAN_H_
