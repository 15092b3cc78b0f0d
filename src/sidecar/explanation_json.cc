#include "sidecar/explanation_json.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace jujubefront {
namespace {

// Names come from documents and from messages of peers, which do not limit
// their length.
constexpr std::size_t kMaxNameBytes = 64;

QJsonValue Text(std::string_view text) {
  text = text.substr(0, kMaxNameBytes);
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

QJsonValue Microseconds(Duration duration) {
  return static_cast<qint64>(duration.count());
}

QJsonValue Microseconds(const std::optional<Duration>& duration) {
  return duration ? Microseconds(*duration) : QJsonValue();
}

QJsonValue Count(std::size_t count) { return static_cast<qint64>(count); }

QJsonObject RenderHost(const HostExplanation& host) {
  QJsonObject object{
      {"address", Text(host.address_)},
      {"zone", Text(host.zone_)},
      {"region", Text(host.region_)},
      {"instance", Text(host.instance_)},
      {"distance", Text(host.distance_)},
      {"backend", Text(host.backend_)},
      {"chosen", host.chosen_},
      {"excluded",
       host.excluded_.empty() ? QJsonValue() : Text(host.excluded_)},
      {"avoided", host.avoided_},
      {"slots", Count(host.slots_)},
      {"running", Count(host.running_)},
      {"waiting", Count(host.waiting_)},
      {"in_flight", Count(host.in_flight_)},
      {"sent_since_report", Count(host.sent_since_report_)},
      {"load_age_us", Microseconds(host.load_age_)},
      {"status_age_us", Microseconds(host.status_age_)}};
  if (!host.candidate_) return object;
  object["load"] = host.candidate_->load_;
  object["hold_us"] = Microseconds(host.candidate_->hold_);
  object["failure_share"] = host.candidate_->failure_share_;
  object["rate_limit_wait_us"] = Microseconds(host.candidate_->start_wait_);
  object["start_wait_us"] = Microseconds(host.start_wait_);
  object["expected_finish_us"] = Microseconds(host.finish_);
  return object;
}

QJsonArray RenderServices(const std::vector<ServiceExplanation>& services) {
  QJsonArray array;
  for (const ServiceExplanation& service : services) {
    QJsonArray hosts;
    for (const HostExplanation& host : service.hosts_) {
      hosts.append(RenderHost(host));
    }
    array.append(QJsonObject{
        {"service", Text(service.service_)},
        {"weight", service.weight_},
        {"region", service.overflow_region_.empty()
                       ? QJsonValue()
                       : Text(service.overflow_region_)},
        {"known_hosts", Count(service.known_)},
        {"candidates", Count(service.candidates_)},
        {"hosts_left_out", Count(service.known_ - service.hosts_.size())},
        {"hosts", hosts}});
  }
  return array;
}

QJsonValue RenderRoute(const RouteRule* route, bool is_call) {
  if (route == nullptr) return {};
  return QJsonObject{
      {"name", Text(route->name_)},
      {"path_prefix", Text(route->path_prefix_)},
      {"priority", Count(route->priority_)},
      {"idempotent", route->idempotent_},
      {"max_attempts", Count(route->max_attempts_)},
      {"timeout_us", Microseconds(route->timeout_)},
      {"latency_objective_us", Microseconds(route->latency_objective_)},
      {"called_by_backend_servers_only", is_call}};
}

QJsonValue RenderQuota(const std::optional<QuotaExplanation>& quota) {
  if (!quota) return {};
  return QJsonObject{
      {"workspace", Text(quota->workspace_)},
      {"priority", Count(quota->priority_)},
      {"limit_per_s", quota->rule_.per_second_},
      {"burst", quota->rule_.burst_},
      {"fleet_per_s", quota->fleet_.per_second_},
      {"fleet_used", quota->fleet_.used_},
      {"fleet_age_us", Microseconds(quota->fleet_age_)},
      {"node_per_s", quota->node_.per_second_},
      {"node_used", quota->node_.used_},
      {"node_share", quota->node_share_ > 0.0 ? QJsonValue(quota->node_share_)
                                              : QJsonValue()},
      {"admitted_share", quota->admitted_share_},
      {"cut_off", quota->cut_off_}};
}

QJsonObject RenderAdmission(const AdmissionExplanation& admission) {
  QJsonObject object{{"admitted_share", admission.admitted_share_},
                     {"fresh_share", admission.fresh_share_},
                     {"returning_share", admission.returning_share_},
                     {"demand_per_s", admission.demand_per_second_},
                     {"overflow", QJsonValue()},
                     {"remote", QJsonValue()}};
  if (admission.remote_) {
    object["remote"] = QJsonObject{{"region", Text(admission.remote_->region_)},
                                   {"share", admission.remote_->share_}};
  }
  if (admission.overflow_) {
    object["overflow"] =
        QJsonObject{{"region", Text(admission.overflow_->region_)},
                    {"share", admission.overflow_->share_},
                    {"per_s", admission.overflow_->per_second_}};
  }
  return object;
}

}  // namespace

std::string RenderExplanation(const PlacementExplanation& explanation) {
  const QueueExplanation& queue = explanation.queue_;
  const QJsonObject object{
      {"status", explanation.status_},
      {"why", Text(explanation.why_)},
      {"document", static_cast<qint64>(explanation.table_version_)},
      {"node", QJsonObject{{"ready", explanation.ready_},
                           {"stopping", explanation.stopping_},
                           {"cut_off", explanation.cut_off_}}},
      {"route", RenderRoute(explanation.route_, explanation.is_call_)},
      {"quota", RenderQuota(explanation.quota_)},
      {"admission", RenderAdmission(explanation.admission_)},
      {"queue", QJsonObject{{"slots", Count(queue.slots_)},
                            {"running", Count(queue.running_)},
                            {"waiting", Count(queue.waiting_)},
                            {"mean_hold_us", Microseconds(queue.mean_hold_)}}},
      {"services_left_out",
       Count(explanation.services_ - explanation.placement_.size())},
      {"placement", RenderServices(explanation.placement_)},
      {"overflow_placement", RenderServices(explanation.overflow_placement_)}};
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

}  // namespace jujubefront
