#ifndef JUJUBEFRONT_RELAYLOG_REPORT_H_
#define JUJUBEFRONT_RELAYLOG_REPORT_H_

#include <map>
#include <string>
#include <vector>

#include "relaylog/log_reader.h"

namespace jujubefront {

// A curve of a chart, with one value per second.
struct ReportSeries {
  std::string name_;
  std::map<std::int64_t, double> values_;  // by second since the first record
};

struct ReportChart {
  std::string title_;
  std::string unit_;
  std::vector<ReportSeries> series_;
};

struct RelayReport {
  std::int64_t seconds_ = 0;
  std::vector<ReportChart> charts_;
};

// Charts goodput by route, refusals and failures by reason, and the load of
// hosts over time. Goodput is an estimate: each logged answer counts for as
// many as the trace sample leaves out. Dropped lines are counted under the
// reason of the line whose dropped_before reports them.
RelayReport MakeReport(const RelayLog& log);

// Renders the charts as one SVG image, one below the other.
std::string DrawReport(const RelayReport& report);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAYLOG_REPORT_H_
