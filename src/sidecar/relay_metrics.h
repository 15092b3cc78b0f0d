#ifndef JUJUBEFRONT_SIDECAR_RELAY_METRICS_H_
#define JUJUBEFRONT_SIDECAR_RELAY_METRICS_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "http1/http1_types.h"
#include "relay/relay_types.h"

namespace jujubefront {

// Limit on the routes that get their own series; further routes are counted
// under "other", so that the number of series stays bounded.
inline constexpr std::size_t kMaxMeasuredRoutes = 64;

// Answer counts by status and latency histograms, by route.
class RelayMetrics {
 public:
  void Observe(const AnswerRequest& answer);

  // Renders these series and the relay's counters and gauges in the Prometheus
  // text format.
  std::string Render(const RelayState& state) const;

 private:
  // Upper bounds of the latency buckets, in seconds.
  static constexpr std::array<double, 12> kBucketBounds = {
      0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 3.0, 6.0};

  using Seconds = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<boost::accumulators::tag::count,
                                         boost::accumulators::tag::sum,
                                         boost::accumulators::tag::max>>;

  struct Series {
    std::array<std::uint64_t, kBucketBounds.size() + 1> buckets_{};
    Seconds seconds_;
    std::map<int, std::uint64_t> by_status_;
  };

  std::map<std::string, Series> routes_;
};

// Renders the account of what is stored for clients.
std::string RenderClientBuffers(const ClientBuffers& buffers);

std::string RenderMessageMemory(const MessageMemory& memory);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_SIDECAR_RELAY_METRICS_H_
