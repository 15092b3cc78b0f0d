#include "daemon/control_pages.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include "admission/admission.h"
#include "configuration/configuration.h"
#include "context/answer.h"
#include "membership/membership.h"
#include "requests/request_table.h"
#include "suspicion/suspicion.h"

namespace jujubefront {
namespace {

QString ToQString(std::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

std::string ToJsonText(const QJsonObject& object) {
  return QJsonDocument(object).toJson(QJsonDocument::Indented).toStdString();
}

QJsonObject DescribeMember(const NodeState& state, const MemberEntry& entry) {
  const Member& member = entry.member_;
  QJsonObject object = {
      {"name", ToQString(member.name_)},
      {"state", ToQString(MemberStateName(member.state_))},
      {"service", ToQString(member.service_)},
      {"zone", ToQString(member.zone_)},
      {"region", ToQString(member.region_)},
      {"rpc", ToQString(member.rpc_address_)},
      {"incarnation", QString::number(member.incarnation_)},
      {"failed_contacts", static_cast<qint64>(entry.failed_contacts_)}};
  const auto stats = state.routing_.targets_.find(member.name_);
  if (stats != state.routing_.targets_.end()) {
    object["outstanding"] = static_cast<qint64>(stats->second.outstanding_);
    object["latency_us"] = stats->second.latency_us_;
  }
  return object;
}

QJsonArray DescribeSections(const ConfigurationState& configuration) {
  QJsonArray sections;
  for (const auto& [name, section] : configuration.sections_) {
    sections.append(
        QJsonObject{{"name", ToQString(name)},
                    {"version", static_cast<qint64>(section.version_)}});
  }
  return sections;
}

QJsonArray DescribePublishes(const ConfigurationState& configuration) {
  QJsonArray publishes;
  for (const PublishResult& result : configuration.history_) {
    QJsonArray issues;
    for (const Issue& issue : result.issues_) {
      issues.append(ToQString(FormatIssue(result.section_, issue)));
    }
    publishes.append(
        QJsonObject{{"offset", static_cast<qint64>(result.offset_)},
                    {"id", ToQString(result.record_id_)},
                    {"section", ToQString(result.section_)},
                    {"author", ToQString(result.author_)},
                    {"verdict", ToQString(PublishVerdictName(result.verdict_))},
                    {"issues", issues}});
  }
  return publishes;
}

QJsonObject DescribeConfiguration(const NodeState& state) {
  const ConfigurationState& configuration = state.configuration_;
  return {
      {"has_document", configuration.has_baseline_},
      {"offset", static_cast<qint64>(configuration.applied_)},
      {"log_available", state.log_.available_},
      {"malformed_records",
       static_cast<qint64>(configuration.malformed_records_)},
      {"last_malformed", static_cast<qint64>(configuration.last_malformed_)},
      {"sections", DescribeSections(configuration)},
      {"publishes", DescribePublishes(configuration)}};
}

QJsonObject DescribeAdmission(const NodeState& state,
                              const NodeOptions& options) {
  const AdmissionState& admission = state.admission_;
  return {{"in_flight", static_cast<qint64>(admission.running_)},
          {"waiting", static_cast<qint64>(admission.queue_.size())},
          {"limit",
           static_cast<qint64>(CurrentLimit(admission, options.admission_))},
          {"level", static_cast<qint64>(admission.level_.level_)},
          {"own_time_us", admission.limit_.average_time_us_}};
}

}  // namespace

std::string RenderStatus(const NodeState& state, const NodeOptions& options,
                         Timestamp now) {
  QJsonArray members;
  for (const auto& [name, entry] : state.membership_.members_) {
    members.append(DescribeMember(state, entry));
  }
  const NodeCounters& counters = state.counters_;
  const QJsonObject status = {
      {"name", ToQString(options.name_)},
      {"service", ToQString(options.service_)},
      {"zone", ToQString(options.zone_)},
      {"region", ToQString(options.region_)},
      {"state", ToQString(MemberStateName(state.lifecycle_.state_))},
      {"at_us", static_cast<qint64>(now.time_since_epoch().count())},
      {"requests", static_cast<qint64>(state.requests_.records_.size())},
      {"calls", static_cast<qint64>(counters.calls_)},
      {"finished", static_cast<qint64>(counters.finished_)},
      {"not_run", static_cast<qint64>(counters.not_run_)},
      {"runs_refused", static_cast<qint64>(counters.runs_refused_)},
      {"admission", DescribeAdmission(state, options)},
      {"configuration", DescribeConfiguration(state)},
      {"members", members}};
  return ToJsonText(status);
}

std::string RenderRequest(const NodeState& state, const RequestKey& key) {
  QJsonObject object = {
      {"key", ToQString(FormatRequestKey(key))},
      {"charges", static_cast<qint64>(
                      ChargesAgainst(state.suspicion_, AsFingerprint(key)))}};
  const RequestRecord* record = FindRecord(state.requests_, key);
  if (record == nullptr) {
    object["state"] = "unknown";
    return ToJsonText(object);
  }
  switch (record->state_) {
    case RequestState::kRunning:
      object["state"] = "running";
      break;
    case RequestState::kFinished:
      object["state"] = "finished";
      object["verdict"] = ToQString(VerdictName(record->answer_.verdict_));
      object["reason"] = ToQString(ReasonName(record->answer_.reason_));
      object["http_status"] = record->answer_.http_status_;
      break;
    case RequestState::kSealed:
      object["state"] = "sealed";
      break;
  }
  return ToJsonText(object);
}

}  // namespace jujubefront
