#include "sidecar/relay_metrics.h"

#include <algorithm>
#include <sstream>

namespace jujubefront {
namespace {

void AppendCounter(std::ostringstream& text, const char* name,
                   std::uint64_t value) {
  text << "jujubefront_relay_" << name << "_total " << value << '\n';
}

void AppendGauge(std::ostringstream& text, const char* name, double value) {
  text << "jujubefront_relay_" << name << ' ' << value << '\n';
}

}  // namespace

void RelayMetrics::Observe(const AnswerRequest& answer) {
  const bool known = routes_.contains(answer.route_);
  const std::string& name =
      known || routes_.size() < kMaxMeasuredRoutes ? answer.route_ : "other";
  Series& series = routes_[name];
  const double seconds = InSeconds(answer.elapsed_);
  const auto bucket =
      std::lower_bound(kBucketBounds.begin(), kBucketBounds.end(), seconds);
  ++series.buckets_.at(
      static_cast<std::size_t>(bucket - kBucketBounds.begin()));
  series.seconds_(seconds);
  ++series.by_status_[answer.response_.status_];
}

std::string RelayMetrics::Render(const RelayState& state) const {
  std::ostringstream text;
  for (const auto& [route, series] : routes_) {
    const std::string label = "{route=\"" + route + "\"";
    for (const auto& [status, count] : series.by_status_) {
      text << "jujubefront_relay_answers_total" << label << ",status=\""
           << status << "\"} " << count << '\n';
    }
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < kBucketBounds.size(); ++i) {
      total += series.buckets_[i];
      text << "jujubefront_relay_latency_seconds_bucket" << label << ",le=\""
           << kBucketBounds[i] << "\"} " << total << '\n';
    }
    total += series.buckets_.back();
    text << "jujubefront_relay_latency_seconds_bucket" << label
         << ",le=\"+Inf\"} " << total << '\n'
         << "jujubefront_relay_latency_seconds_sum" << label << "} "
         << boost::accumulators::sum(series.seconds_) << '\n'
         << "jujubefront_relay_latency_seconds_count" << label << "} " << total
         << '\n';
  }
  const RelayCounters& counters = state.counters_;
  AppendCounter(text, "requests", counters.requests_);
  AppendCounter(text, "calls", counters.calls_);
  AppendCounter(text, "answered", counters.answered_);
  AppendCounter(text, "refused", counters.refused_);
  AppendCounter(text, "refused_at_entry", counters.refused_at_entry_);
  AppendCounter(text, "failed", counters.failed_);
  AppendCounter(text, "timed_out", counters.timed_out_);
  AppendCounter(text, "cancelled", counters.cancelled_);
  AppendCounter(text, "unrouted", counters.unrouted_);
  AppendCounter(text, "sends", counters.sends_);
  AppendCounter(text, "resends", counters.resends_);
  AppendCounter(text, "resends_denied", counters.resends_denied_);
  AppendCounter(text, "repeats_at_host", counters.repeats_at_host_);
  AppendCounter(text, "zone_crossings", counters.zone_crossings_);
  AppendCounter(text, "region_crossings", counters.region_crossings_);
  AppendCounter(text, "runs", counters.runs_);
  AppendCounter(text, "runs_refused", counters.runs_refused_);
  AppendCounter(text, "runs_broken", counters.runs_broken_);
  AppendCounter(text, "backends_ended", counters.backends_ended_);
  AppendCounter(text, "backend_probes", counters.backend_probes_);
  AppendCounter(text, "content_charges", counters.charges_recorded_);
  AppendCounter(text, "content_clearances", counters.clearances_recorded_);
  AppendCounter(text, "refused_suspect", counters.refused_suspect_);
  AppendCounter(text, "runs_refused_suspect", counters.runs_refused_suspect_);
  AppendCounter(text, "suspicion_notices_sent",
                counters.suspicion_notices_sent_);
  AppendCounter(text, "late_replies", counters.late_replies_);
  AppendCounter(text, "store_calls", counters.store_calls_);
  AppendCounter(text, "store_failures", counters.store_failures_);
  AppendCounter(text, "statuses_sent", counters.statuses_sent_);
  AppendCounter(text, "zone_sums_sent", counters.zone_sums_sent_);
  AppendCounter(text, "peers_avoided", counters.peers_avoided_);
  AppendCounter(text, "peers_suspected", counters.peers_suspected_);
  AppendCounter(text, "inputs_unreadable", counters.inputs_unreadable_);
  AppendGauge(text, "running", state.running_);
  AppendGauge(text, "waiting",
              static_cast<double>(state.waiting_.runs_.size()));
  AppendGauge(text, "rejected_share", state.arrivals_.rejected_share_);
  AppendGauge(
      text, "suspect_contents",
      static_cast<double>(state.content_watch_.known_.suspects_.size()));
  AppendGauge(text, "slots", state.backend_.slots_);
  AppendGauge(text, "table_version",
              static_cast<double>(state.table_.version_));
  AppendGauge(text, "ready", state.ready_ ? 1 : 0);
  for (const auto& [route, fraction] : state.admitted_) {
    text << "jujubefront_relay_admitted{route=\"" << route << "\"} " << fraction
         << '\n';
  }
  return text.str();
}

}  // namespace jujubefront
