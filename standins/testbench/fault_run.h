#ifndef JUJUBEFRONT_STANDINS_TESTBENCH_FAULT_RUN_H_
#define JUJUBEFRONT_STANDINS_TESTBENCH_FAULT_RUN_H_

#include <map>
#include <string>

#include "cluster.h"
#include "history/history.h"

namespace jujubefront {

// Configures a run of real processes under faults drawn from a seed.
struct FaultRunOptions {
  std::uint64_t seed_ = 1;
  std::vector<HostSpec> hosts_;
  Duration length_ = std::chrono::seconds(10);
  Duration fault_interval_ = std::chrono::milliseconds(700);
  Duration send_interval_ = std::chrono::milliseconds(15);
};

struct FaultRunResult {
  bool started_ = false;
  std::map<std::string, int> faults_;  // by kind
  HistoryReport report_;
};

// Starts the processes, sends requests and resends through random entry hosts,
// injects faults, and checks the journals after all faults have ended.
FaultRunResult RunWithFaults(const FaultRunOptions& options);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_STANDINS_TESTBENCH_FAULT_RUN_H_
