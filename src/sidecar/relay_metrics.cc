#include "sidecar/relay_metrics.h"

#include <algorithm>
#include <sstream>

#include "buildinfo/build_info.h"

namespace jujubefront {
namespace {

void Counter(std::ostringstream& text, const char* name, std::uint64_t value) {
  text << "jujubefront_relay_" << name << "_total " << value << '\n';
}

void Gauge(std::ostringstream& text, const char* name, double value) {
  text << "jujubefront_relay_" << name << ' ' << value << '\n';
}

// Counts of requests, runs and what became of them.
void RenderCounters(std::ostringstream& text, const RelayCounters& counters) {
  Counter(text, "requests", counters.requests_);
  Counter(text, "calls", counters.calls_);
  Counter(text, "answered", counters.answered_);
  Counter(text, "refused", counters.refused_);
  Counter(text, "refused_at_entry", counters.refused_at_entry_);
  Counter(text, "failed", counters.failed_);
  Counter(text, "timed_out", counters.timed_out_);
  Counter(text, "cancelled", counters.cancelled_);
  Counter(text, "unrouted", counters.unrouted_);
  Counter(text, "key_rejected", counters.key_rejected_);
  Counter(text, "over_quota", counters.over_quota_);
  Counter(text, "quota_reports_sent", counters.quota_reports_sent_);
  Counter(text, "sends", counters.sends_);
  Counter(text, "resends", counters.resends_);
  Counter(text, "resends_denied", counters.resends_denied_);
  Counter(text, "repeats_at_host", counters.repeats_at_host_);
  Counter(text, "zone_crossings", counters.zone_crossings_);
  Counter(text, "region_crossings", counters.region_crossings_);
  Counter(text, "overflowed", counters.overflowed_);
  Counter(text, "region_shared", counters.region_shared_);
  Counter(text, "runs", counters.runs_);
  Counter(text, "runs_refused", counters.runs_refused_);
  Counter(text, "runs_broken", counters.runs_broken_);
  Counter(text, "backends_ended", counters.backends_ended_);
  Counter(text, "backend_probes", counters.backend_probes_);
  Counter(text, "content_charges", counters.charges_recorded_);
  Counter(text, "content_clearances", counters.clearances_recorded_);
  Counter(text, "refused_suspect", counters.refused_suspect_);
  Counter(text, "runs_refused_suspect", counters.runs_refused_suspect_);
  Counter(text, "suspicion_notices_sent", counters.suspicion_notices_sent_);
  Counter(text, "charge_writes", counters.charge_writes_);
  Counter(text, "departures_recorded", counters.departures_recorded_);
  Counter(text, "departure_writes", counters.departure_writes_);
  Counter(text, "departures_not_kept", counters.departures_not_kept_);
  Counter(text, "heartbeats_held", counters.heartbeats_held_);
  Counter(text, "health_checks", counters.health_checks_);
  Counter(text, "late_replies", counters.late_replies_);
  Counter(text, "store_calls", counters.store_calls_);
  Counter(text, "store_failures", counters.store_failures_);
  Counter(text, "statuses_sent", counters.statuses_sent_);
  Counter(text, "zone_sums_sent", counters.zone_sums_sent_);
  Counter(text, "peers_avoided", counters.peers_avoided_);
  Counter(text, "peers_suspected", counters.peers_suspected_);
  Counter(text, "inputs_unreadable", counters.inputs_unreadable_);
  Counter(text, "load_reports_read", counters.load_reports_read_);
  Counter(text, "load_reports_ignored", counters.load_reports_ignored_);
  Counter(text, "load_reports_expired", counters.load_reports_expired_);
  Counter(text, "choices_balanced", counters.choices_balanced_);
  Counter(text, "choices_earliest_finish", counters.choices_earliest_finish_);
}

void RenderGauges(std::ostringstream& text, const RelayState& state) {
  Gauge(text, "running", state.running_);
  Gauge(text, "waiting", static_cast<double>(state.waiting_.runs_.size()));
  Gauge(text, "backend_arrivals_per_second", state.arrivals_.per_second_);
  // Negative: the backend server names none.
  Gauge(text, "backend_rate_limit",
        state.backend_.rate_limit_.per_second_.value_or(-1.0));
  // Negative: the backend server states none.
  const auto& load = state.backend_.load_report_;
  Gauge(text, "backend_pace",
        load && load->report_.pace_ ? *load->report_.pace_ : -1.0);
  Gauge(text, "rejected_share", state.arrivals_.rejected_share_);
  Gauge(text, "suspect_contents",
        static_cast<double>(state.content_watch_.known_.suspects_.size()));
  Gauge(text, "slots", state.backend_.slots_);
  Gauge(text, "table_version", static_cast<double>(state.table_.version_));
  Gauge(text, "ready", state.ready_ ? 1 : 0);
  for (const auto& [route, fraction] : state.admitted_) {
    text << "jujubefront_relay_admitted{route=\"" << route << "\"} " << fraction
         << '\n';
  }
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
  text << "jujubefront_relay_build_info{version=\"" << JUJUBEFRONT_VERSION
       << "\",sources=\"" << SourceDigest() << "\"} 1\n";
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
  RenderCounters(text, state.counters_);
  RenderGauges(text, state);
  return text.str();
}

std::string RenderClientBuffers(const ClientBuffers& buffers) {
  std::ostringstream text;
  Counter(text, "client_reads_paused", buffers.paused_);
  Counter(text, "clients_stalled", buffers.stalled_);
  Counter(text, "clients_closed_for_memory", buffers.closed_for_memory_);
  Counter(text, "clients_closed_for_places", buffers.closed_for_places_);
  Gauge(text, "client_buffer_bytes", static_cast<double>(buffers.used_));
  Gauge(text, "client_buffer_limit_bytes", static_cast<double>(buffers.limit_));
  return text.str();
}

std::string RenderMessageMemory(const MessageMemory& memory) {
  std::ostringstream text;
  Counter(text, "messages_without_memory", memory.refused_);
  Gauge(text, "message_memory_bytes", static_cast<double>(memory.used_));
  Gauge(text, "message_memory_limit_bytes", static_cast<double>(memory.limit_));
  return text.str();
}

}  // namespace jujubefront
