#include "telemetry/call_metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <map>
#include <set>
#include <sstream>

#include "admission/admission.h"
#include "context/answer.h"

namespace jujubefront {
namespace {

namespace accumulators = boost::accumulators;

using LatencyTotal = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                        accumulators::tag::max>>;
using SampleCount = accumulators::accumulator_set<
    double, accumulators::stats<accumulators::tag::count>>;

// Upper bounds of the histogram buckets, in seconds.
constexpr std::array<double, 14> kBucketBounds = {
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
    0.1,    0.25,  0.5,    1.0,   2.5,  5.0,   10.0};

constexpr char kOtherCustomer[] = "other";

// Escapes a label value as the Prometheus text format requires.
std::string Escape(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\\' || c == '"') escaped.push_back('\\');
    if (c == '\n') {
      escaped += "\\n";
    } else {
      escaped.push_back(c);
    }
  }
  return escaped;
}

struct CounterMetric {
  const char* name_;
  const char* help_;
  std::uint64_t NodeCounters::*value_;
};

const CounterMetric kCounters[] = {
    {"calls", "Calls that arrived over HTTP", &NodeCounters::calls_},
    {"finished", "Calls answered by a backend server",
     &NodeCounters::finished_},
    {"not_run", "Calls answered not run", &NodeCounters::not_run_},
    {"unknown", "Calls answered outcome unknown", &NodeCounters::unknown_},
    {"failed", "Calls answered failed, expired or condemned",
     &NodeCounters::failed_},
    {"refused_at_entry", "Calls refused before any work",
     &NodeCounters::refused_at_entry_},
    {"sends", "Calls sent to targets", &NodeCounters::sends_},
    {"retries", "Sends after the first of a call", &NodeCounters::retries_},
    {"runs_started", "Runs handed to the backend server",
     &NodeCounters::runs_started_},
    {"runs_finished", "Runs that ended", &NodeCounters::runs_finished_},
    {"runs_refused", "Runs refused by this target",
     &NodeCounters::runs_refused_},
    {"runs_late", "Runs refused since they would miss their deadline",
     &NodeCounters::runs_late_},
    {"late_answers", "Answers to calls that were given up",
     &NodeCounters::late_answers_},
    {"replays", "Recorded answers given again", &NodeCounters::replays_},
    {"joins", "Sends that joined a running call", &NodeCounters::joins_},
    {"rounds", "Locate rounds", &NodeCounters::rounds_},
    {"questions", "Questions about keys", &NodeCounters::questions_},
    {"corrupt_answers", "Answers with a wrong length or hash",
     &NodeCounters::corrupt_answers_},
    {"crossings", "Sends to another region", &NodeCounters::crossings_},
    {"exchanges", "Gossip exchanges begun", &NodeCounters::exchanges_},
    {"log_reads", "Reads of the shared log", &NodeCounters::log_reads_},
    {"log_appends", "Appends to the shared log", &NodeCounters::log_appends_},
    {"log_failures", "Reads that the shared log did not answer",
     &NodeCounters::log_failures_},
    {"handed_over", "Recorded answers given to a successor",
     &NodeCounters::handed_over_}};

void WriteGauge(std::ostream& out, const char* name, double value) {
  out << "# TYPE jujubefront_" << name << " gauge\njujubefront_" << name << ' '
      << value << '\n';
}

void WriteCounters(std::ostream& out, const NodeCounters& counters) {
  for (const CounterMetric& counter : kCounters) {
    out << "# HELP jujubefront_" << counter.name_ << "_total " << counter.help_
        << "\n# TYPE jujubefront_" << counter.name_
        << "_total counter\njujubefront_" << counter.name_ << "_total "
        << counters.*counter.value_ << '\n';
  }
}

void WriteGauges(std::ostream& out, const NodeState& state) {
  const AdmissionState& admission = state.admission_;
  WriteGauge(out, "in_flight", admission.running_);
  WriteGauge(out, "waiting", static_cast<double>(admission.queue_.size()));
  WriteGauge(out, "limit", admission.limit_.limit_);
  WriteGauge(out, "admission_level", admission.level_.level_);
  WriteGauge(out, "members",
             static_cast<double>(state.membership_.members_.size()));
  WriteGauge(out, "remembered_requests",
             static_cast<double>(state.requests_.records_.size()));
  WriteGauge(out, "document_offset",
             static_cast<double>(state.configuration_.applied_));
  WriteGauge(out, "malformed_records",
             static_cast<double>(state.configuration_.malformed_records_));
}

}  // namespace

struct CallMetrics::Series {
  std::array<SampleCount, kBucketBounds.size()> buckets_;
  LatencyTotal total_;
  std::map<Verdict, SampleCount> verdicts_;
};

struct CallMetrics::SeriesStore {
  std::set<std::string> customers_;
  std::map<std::pair<std::string, std::string>, Series> series_;
};

CallMetrics::CallMetrics() : series_store_(std::make_unique<SeriesStore>()) {}
CallMetrics::~CallMetrics() = default;

CallMetrics::Series& CallMetrics::SeriesFor(const AnswerCaller& answer) {
  std::string customer = answer.customer_;
  if (!series_store_->customers_.contains(customer)) {
    if (series_store_->customers_.size() < kMaxCustomers) {
      series_store_->customers_.insert(customer);
    } else {
      customer = kOtherCustomer;
    }
  }
  return series_store_->series_[{answer.class_name_, customer}];
}

void CallMetrics::Observe(const AnswerCaller& answer) {
  Series& series = SeriesFor(answer);
  const double seconds = InSeconds(answer.elapsed_);
  for (std::size_t i = 0; i < kBucketBounds.size(); ++i) {
    if (seconds <= kBucketBounds[i]) series.buckets_[i](seconds);
  }
  series.total_(seconds);
  series.verdicts_[answer.answer_.verdict_](seconds);
}

std::string CallMetrics::Render(const NodeState& state) const {
  std::ostringstream out;
  WriteCounters(out, state.counters_);
  WriteGauges(out, state);
  out << "# TYPE jujubefront_call_seconds histogram\n";
  for (const auto& [labels, series] : series_store_->series_) {
    const std::string text = "class=\"" + Escape(labels.first) +
                             "\",customer=\"" + Escape(labels.second) + "\"";
    for (std::size_t i = 0; i < kBucketBounds.size(); ++i) {
      out << "jujubefront_call_seconds_bucket{" << text << ",le=\""
          << kBucketBounds[i] << "\"} "
          << accumulators::count(series.buckets_[i]) << '\n';
    }
    const auto count = accumulators::count(series.total_);
    out << "jujubefront_call_seconds_bucket{" << text << ",le=\"+Inf\"} "
        << count << "\njujubefront_call_seconds_sum{" << text << "} "
        << accumulators::sum(series.total_)
        << "\njujubefront_call_seconds_count{" << text << "} " << count << '\n';
  }
  out << "# TYPE jujubefront_answers_total counter\n";
  for (const auto& [labels, series] : series_store_->series_) {
    for (const auto& [verdict, count] : series.verdicts_) {
      out << "jujubefront_answers_total{class=\"" << Escape(labels.first)
          << "\",customer=\"" << Escape(labels.second) << "\",verdict=\""
          << VerdictName(verdict) << "\"} " << accumulators::count(count)
          << '\n';
    }
  }
  return out.str();
}

}  // namespace jujubefront
