#include <QElapsedTimer>
#include <QEventLoop>
#include <algorithm>
#include <cstdio>
#include <functional>

#include "cluster.h"
#include "measures.h"

namespace jujubefront {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(60);
constexpr std::size_t kConnectionsPerManager = 6;
constexpr std::size_t kWarmUpCalls = 500;
constexpr std::size_t kCalls = 8000;

// Runs a closed loop of calls with this many in flight. Returns the sorted
// latencies of successful calls in microseconds, without the warm-up calls.
std::vector<double> MeasureCalls(const CallerRequest& request,
                                 std::size_t connections) {
  HttpCaller caller((connections + kConnectionsPerManager - 1) /
                    kConnectionsPerManager);
  QEventLoop loop;
  std::vector<double> times;
  std::size_t sent = 0;
  std::size_t ended = 0;
  std::function<void()> send = [&] {
    if (sent == kWarmUpCalls + kCalls) return;
    const std::size_t call = sent++;
    auto timer = std::make_shared<QElapsedTimer>();
    timer->start();
    caller.Send(request, [&, timer, call](const CallerAnswer& answer) {
      constexpr double kNanosecondsPerMicrosecond = 1000.0;
      if (call >= kWarmUpCalls && answer.status_ == 200) {
        times.push_back(static_cast<double>(timer->nsecsElapsed()) /
                        kNanosecondsPerMicrosecond);
      }
      if (++ended == kWarmUpCalls + kCalls) loop.quit();
      send();
    });
  };
  for (std::size_t i = 0; i < connections; ++i) send();
  loop.exec();
  std::sort(times.begin(), times.end());
  return times;
}

double Quantile(const std::vector<double>& sorted, double quantile) {
  if (sorted.empty()) return 0.0;
  const auto index = static_cast<std::size_t>(
      quantile * static_cast<double>(sorted.size() - 1));
  return sorted[index];
}

void PrintRow(const char* kind, std::size_t connections,
              const std::vector<double>& direct,
              const std::vector<double>& through) {
  std::printf("| %s | %zu | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %zu |\n",
              kind, connections, Quantile(direct, 0.5), Quantile(through, 0.5),
              Quantile(through, 0.5) - Quantile(direct, 0.5),
              Quantile(direct, 0.99), Quantile(through, 0.99),
              Quantile(through, 0.99) - Quantile(direct, 0.99), through.size());
  std::fflush(stdout);
}

}  // namespace

bool MeasureAddedLatency() {
  Cluster cluster;
  if (!cluster.StartLog()) return false;
  for (const char* name : {"one", "two"}) {
    const HostSpec host{.name_ = name,
                        .region_ = "r",
                        .zone_ = "z",
                        .service_ = "dispatch",
                        .slots_ = 1000,
                        .work_ = std::chrono::microseconds(0)};
    if (!cluster.StartHost(host)) return false;
  }
  if (!cluster.PublishSample("brolga")) return false;
  if (!cluster.WaitServing(kTimeout)) return false;
  std::printf(
      "| call | connections | direct p50 us | through p50 us | added p50 us | "
      "direct p99 us | through p99 us | added p99 us | answered of %zu |\n"
      "|---|---|---|---|---|---|---|---|---|\n",
      kCalls);
  for (const std::size_t connections : {1, 16, 200}) {
    const auto direct = MeasureCalls(
        {.address_ = cluster.BackendAddress("one"), .path_ = "/jobs/1"},
        connections);
    const auto through = MeasureCalls(
        {.address_ = cluster.HttpAddress("two"), .path_ = "/dispatch/jobs/1"},
        connections);
    PrintRow("read", connections, direct, through);
  }
  return true;
}

}  // namespace jujubefront
