#include <unistd.h>

#include <QElapsedTimer>
#include <QThread>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>

#include "cluster.h"
#include "measures.h"

namespace jujubefront {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(120);
constexpr unsigned long kMeasuredSeconds = 15;
constexpr std::size_t kZones = 11;
constexpr std::size_t kTargetsPerService = 7;

// Resource usage of a process as the kernel counts it.
struct ProcessCost {
  double cpu_seconds_ = 0.0;
  double memory_bytes_ = 0.0;
  double written_bytes_ = 0.0;
};

ProcessCost ReadCost(qint64 pid) {
  ProcessCost cost;
  const std::string folder = "/proc/" + std::to_string(pid) + "/";
  std::ifstream stat(folder + "stat");
  std::string text;
  std::getline(stat, text);
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string field;
  // User and system time are fields 14 and 15, resident pages field 24.
  for (int number = 3; fields >> field; ++number) {
    if (number == 14 || number == 15) {
      cost.cpu_seconds_ +=
          std::stod(field) / static_cast<double>(sysconf(_SC_CLK_TCK));
    }
    if (number == 24) {
      cost.memory_bytes_ =
          std::stod(field) * static_cast<double>(sysconf(_SC_PAGESIZE));
    }
  }
  std::ifstream io(folder + "io");
  std::string key;
  double value = 0.0;
  while (io >> key >> value) {
    if (key == "wchar:") cost.written_bytes_ = value;
  }
  return cost;
}

ProcessCost MeanCost(const Cluster& cluster) {
  ProcessCost sum;
  const auto pids = cluster.NodeProcesses();
  for (const qint64 pid : pids) {
    const ProcessCost cost = ReadCost(pid);
    sum.cpu_seconds_ += cost.cpu_seconds_;
    sum.memory_bytes_ += cost.memory_bytes_;
    sum.written_bytes_ += cost.written_bytes_;
  }
  const auto count = static_cast<double>(pids.size());
  return {.cpu_seconds_ = sum.cpu_seconds_ / count,
          .memory_bytes_ = sum.memory_bytes_ / count,
          .written_bytes_ = sum.written_bytes_ / count};
}

// Returns the seconds from the end of a publish until every node has it in
// force, or -1 on failure. Polling all nodes takes a share of that time.
double MeasurePropagation(Cluster& cluster) {
  if (!cluster.PublishSample("brolga")) return -1.0;
  QElapsedTimer timer;
  timer.start();
  const bool all = cluster.WaitForAll(
      [](const std::string& status) {
        // The sample publishes this section last.
        return status.find("\"finance\"") != std::string::npos;
      },
      kTimeout);
  constexpr double kMillisecondsPerSecond = 1000.0;
  const double seconds =
      static_cast<double>(timer.elapsed()) / kMillisecondsPerSecond;
  return all ? seconds : -1.0;
}

bool MeasureCluster(std::size_t nodes) {
  constexpr double kBytesPerMegabyte = 1e6;
  constexpr double kPercent = 100.0;
  Cluster cluster;
  if (!cluster.StartLog()) return false;
  for (std::size_t i = 0; i < nodes; ++i) {
    const std::size_t zone = i % kZones;
    const HostSpec host{
        .name_ = "n" + std::to_string(i),
        .region_ = "r" + std::to_string(zone % 3),
        .zone_ = "z" + std::to_string(zone),
        .service_ = "s" + std::to_string(i / kTargetsPerService)};
    if (!cluster.StartNodeOnly(host)) return false;
  }
  if (!cluster.WaitServing(kTimeout)) {
    std::printf("| %zu | did not settle in %.0f s |\n", nodes,
                InSeconds(kTimeout));
    return true;
  }
  QThread::sleep(5);
  const ProcessCost before = MeanCost(cluster);
  QThread::sleep(kMeasuredSeconds);
  const ProcessCost after = MeanCost(cluster);
  const auto seconds = static_cast<double>(kMeasuredSeconds);
  const double propagation = MeasurePropagation(cluster);
  std::printf("| %zu | %.3f | %.1f | %.0f | %.2f |\n", nodes,
              kPercent * (after.cpu_seconds_ - before.cpu_seconds_) / seconds,
              after.memory_bytes_ / kBytesPerMegabyte,
              (after.written_bytes_ - before.written_bytes_) / seconds,
              propagation);
  std::fflush(stdout);
  return true;
}

}  // namespace

bool MeasureIdleCost(std::size_t max_nodes) {
  std::printf(
      "| nodes | processor %% of a core per node | memory MB per node | "
      "written B/s per node | publish in force everywhere after s "
      "|\n|---|---|---|---|---|\n");
  for (const std::size_t nodes : {8, 32, 128, 240}) {
    if (nodes > max_nodes) break;
    if (!MeasureCluster(nodes)) return false;
  }
  return true;
}

}  // namespace jujubefront
