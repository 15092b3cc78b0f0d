#ifndef JUJUBEFRONT_MODEL_DEPLOYMENTS_H_
#define JUJUBEFRONT_MODEL_DEPLOYMENTS_H_

#include <string>
#include <vector>

#include "model/world.h"

namespace jujubefront {

// A set of services on hosts, and the requests that callers send to them.
struct Deployment {
  std::string name_;
  std::vector<HostModel> hosts_;
  std::vector<CallerCall> calls_;
  std::string document_;    // configuration: one section of TOML
  std::string bottleneck_;  // service with the least capacity
  double capacity_ = 0.0;   // requests per second that the bottleneck serves
};

// Gate repairs: deposits calls dispatch, which calls repair-jobs.
Deployment BrolgaDeployment();

// Meter loans: loan-booking calls meter-catalogue, which calls
// moisture-readings.
Deployment FuktlanDeployment();

// A chain of `depth` services with equal backend servers. Each calls the next;
// the last one counts as the bottleneck.
Deployment ChainDeployment(std::size_t depth);

// Appends the configuration to the log and starts every host.
void StartDeployment(World& world, const Deployment& deployment);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_MODEL_DEPLOYMENTS_H_
