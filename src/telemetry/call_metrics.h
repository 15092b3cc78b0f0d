#ifndef JUJUBEFRONT_TELEMETRY_CALL_METRICS_H_
#define JUJUBEFRONT_TELEMETRY_CALL_METRICS_H_

#include <memory>
#include <string>

#include "node/node_types.h"

namespace jujubefront {

// Limit on the customers that get their own histograms; further customers are
// counted under "other", so that the number of series stays bounded.
inline constexpr std::size_t kMaxCustomers = 64;

// Latency histograms and answer counts by verdict, per class and customer.
class CallMetrics {
 public:
  CallMetrics();
  ~CallMetrics();
  CallMetrics(const CallMetrics&) = delete;
  CallMetrics& operator=(const CallMetrics&) = delete;

  // Counts an answer to a caller.
  void Observe(const AnswerCaller& answer);

  // Renders these series and the node's counters and gauges in the Prometheus
  // text format.
  std::string Render(const NodeState& state) const;

 private:
  struct Series;
  struct SeriesStore;
  Series& SeriesFor(const AnswerCaller& answer);

  std::unique_ptr<SeriesStore> series_store_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_TELEMETRY_CALL_METRICS_H_
