#ifndef JUJUBEFRONT_ALLOCATION_ALLOCATION_H_
#define JUJUBEFRONT_ALLOCATION_ALLOCATION_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jujubefront {

// What one run of a route costs, as the hosts of its service measured it.
struct RouteProfile {
  std::string route_;
  std::string service_;
  double runs_ = 0.0;                    // weight of the measurement, in runs
  double slot_seconds_ = 0.0;            // time for which a run holds its slot
  std::map<std::string, double> calls_;  // calls of a run, by called route
};

// Demand of clients for a route.
struct RouteDemand {
  std::string route_;
  std::uint32_t priority_ = 0;  // 0 is the most important
  double per_second_ = 0.0;
  // With the calls of backend servers that the route serves.
  double arrivals_per_second_ = 0.0;
};

// Settings of the allocation.
struct AllocationOptions {
  // Part of the slots of a service that is given out. Calls may wait a little,
  // which evens out arrivals, and not all of what is admitted uses its part.
  double utilisation_ = 1.05;
};

// Slot seconds that one run of a route needs at each service, with everything
// that it calls.
std::map<std::string, double> TreeCost(
    const std::map<std::string, RouteProfile>& profiles,
    const std::string& route);

// Runs that one run of a route leads to at each service, itself included.
std::map<std::string, double> TreeRuns(
    const std::map<std::string, RouteProfile>& profiles,
    const std::string& route);

// How busy a service is, and what follows for what is given out of it.
struct ServicePressure {
  double busy_ = 0.0;        // smoothed runs in progress and waiting, a slot
  double correction_ = 1.0;  // part of the slots that is given out
};

// Takes in a measurement. Where work waits although the measured costs say
// that it fits, less is given out until the waiting ends.
ServicePressure UpdatePressure(const ServicePressure& before, double busy);

// Whether the service is so busy that its slots have to be divided up.
bool IsSaturated(const ServicePressure& pressure);

// Part of the demand of each route that fits, in [0, 1]: every service gives
// its slots to the most important routes first, routes of one priority share
// alike, and a request is admitted only where all its calls fit too. Answers
// fan-out overload: a request whose calls do not fit is work wasted at every
// other service.
std::map<std::string, double> Allocate(
    const std::map<std::string, RouteProfile>& profiles,
    const std::vector<RouteDemand>& demands,
    const std::map<std::string, double>& slots,
    const AllocationOptions& options);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_ALLOCATION_ALLOCATION_H_
