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
  double runs_ = 0.0;          // number of runs measured
  double slot_seconds_ = 0.0;  // time for which one run holds its slot
  std::map<std::string, double> calls_;  // mean calls per run, by called route
};

// Demand for a route.
struct RouteDemand {
  std::string route_;
  std::uint32_t priority_ = 0;  // 0 is the most important
  double per_second_ = 0.0;     // requests of clients
  // Requests of clients and calls of backend servers together.
  double arrivals_per_second_ = 0.0;
};

// Settings of the allocation.
struct AllocationOptions {
  // Share of the slots of a service that is allocated. It may exceed 1 since
  // calls may wait briefly, which smooths arrivals, and since not all admitted
  // requests use what is allocated for them.
  double utilisation_ = 1.05;
};

// Slot seconds that one run of a route uses at each service, including its
// direct and indirect calls.
std::map<std::string, double> TreeCost(
    const std::map<std::string, RouteProfile>& profiles,
    const std::string& route);

// Number of runs at each service that one run of a route causes, itself
// included.
std::map<std::string, double> TreeRuns(
    const std::map<std::string, RouteProfile>& profiles,
    const std::string& route);

// Load of a service and the resulting reduction of its allocated slots.
struct ServicePressure {
  double load_per_slot_ = 0.0;  // smoothed running and waiting runs per slot
  double correction_ = 1.0;     // share of the slots that is allocated
};

// Applies a measurement of running and waiting runs per slot. While runs wait
// although the measured costs say that they fit, the allocated share shrinks.
ServicePressure UpdatePressure(const ServicePressure& before, double load);

// Whether the service is so loaded that its slots have to be allocated.
bool IsSaturated(const ServicePressure& pressure);

// Fraction of each route's demand that fits, in [0, 1]. Every service allocates
// its slots to the most important routes first, routes of equal priority get
// equal fractions, and a request is admitted only where all its calls fit too.
// This prevents fan-out overload: a request whose calls do not fit wastes work
// at every other service.
std::map<std::string, double> Allocate(
    const std::map<std::string, RouteProfile>& profiles,
    const std::vector<RouteDemand>& demands,
    const std::map<std::string, double>& slots,
    const AllocationOptions& options);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_ALLOCATION_ALLOCATION_H_
