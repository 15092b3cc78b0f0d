#include "operations/placement_text.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUrl>
#include <cstdio>

#include "operations/tables.h"

namespace jujubefront {
namespace {

constexpr const char* kMissing = "-";

std::string Encoded(const std::string& text) {
  return QUrl::toPercentEncoding(QString::fromStdString(text)).toStdString();
}

std::string TextOf(const QJsonValue& value) {
  if (value.isBool()) return value.toBool() ? "yes" : "no";
  if (value.isString()) return value.toString().toStdString();
  if (!value.isDouble()) return kMissing;
  char text[32];
  std::snprintf(text, sizeof(text), "%.6g", value.toDouble());
  return text;
}

std::string MillisecondsOf(const QJsonValue& microseconds) {
  if (!microseconds.isDouble()) return kMissing;
  char text[32];
  std::snprintf(text, sizeof(text), "%.1f", microseconds.toDouble() / 1000.0);
  return text;
}

std::string HostsTable(const QJsonArray& hosts) {
  std::vector<std::vector<std::string>> rows = {
      {"HOST", "ZONE", "CHOSEN", "SLOTS", "RUNNING", "WAITING", "IN FLIGHT",
       "SENT SINCE", "LOAD AGE MS", "RUN MS", "START WAIT MS", "FINISH MS",
       "FAILED", "EXCLUDED"}};
  for (const auto value : hosts) {
    const QJsonObject host = value.toObject();
    rows.push_back(
        {TextOf(host["address"]), TextOf(host["zone"]), TextOf(host["chosen"]),
         TextOf(host["slots"]), TextOf(host["running"]),
         TextOf(host["waiting"]), TextOf(host["in_flight"]),
         TextOf(host["sent_since_report"]), MillisecondsOf(host["load_age_us"]),
         MillisecondsOf(host["hold_us"]), MillisecondsOf(host["start_wait_us"]),
         MillisecondsOf(host["expected_finish_us"]),
         TextOf(host["failure_share"]), TextOf(host["excluded"])});
  }
  return FormatTable(rows);
}

std::string ServicesText(const QJsonArray& services) {
  std::string text;
  for (const auto value : services) {
    const QJsonObject service = value.toObject();
    text += "\nservice " + TextOf(service["service"]) + ", weight " +
            TextOf(service["weight"]);
    if (service["region"].isString()) {
      text += ", in region " + TextOf(service["region"]);
    }
    text += ": " + TextOf(service["candidates"]) + " candidates of " +
            TextOf(service["known_hosts"]) + " hosts, " +
            TextOf(service["hosts_left_out"]) + " left out below\n" +
            HostsTable(service["hosts"].toArray());
  }
  return text;
}

std::string RouteText(const QJsonObject& route) {
  if (route.isEmpty()) return "route      -\n";
  return "route      " + TextOf(route["name"]) + ", priority " +
         TextOf(route["priority"]) + ", idempotent " +
         TextOf(route["idempotent"]) + ", attempts " +
         TextOf(route["max_attempts"]) + "\n";
}

std::string QuotaText(const QJsonObject& quota) {
  if (quota.isEmpty()) return "quota      -\n";
  return "quota      " + TextOf(quota["workspace"]) + ": limit " +
         TextOf(quota["limit_per_s"]) + "/s and " + TextOf(quota["burst"]) +
         ", fleet " + TextOf(quota["fleet_per_s"]) + "/s, used " +
         TextOf(quota["fleet_used"]) + " (sums " +
         MillisecondsOf(quota["fleet_age_us"]) + " ms old), admitted share " +
         TextOf(quota["admitted_share"]) + ", cut off " +
         TextOf(quota["cut_off"]) + "\n";
}

std::string AdmissionText(const QJsonObject& admission) {
  std::string text = "admission  share " + TextOf(admission["admitted_share"]) +
                     " (first " + TextOf(admission["fresh_share"]) +
                     ", returning " + TextOf(admission["returning_share"]) +
                     "), demand " + TextOf(admission["demand_per_s"]) + "/s";
  const QJsonObject remote = admission["remote"].toObject();
  if (!remote.isEmpty()) {
    text += ", of which " + TextOf(remote["share"]) + " in region " +
            TextOf(remote["region"]);
  }
  const QJsonObject overflow = admission["overflow"].toObject();
  if (!overflow.isEmpty()) {
    text += ", overflow share " + TextOf(overflow["share"]) + " to " +
            TextOf(overflow["region"]);
  }
  return text + "\n";
}

}  // namespace

std::string PlacementTarget(const PlacementRequestNames& request) {
  std::string target = "/explain?host=" + Encoded(request.host_) +
                       "&path=" + Encoded(request.path_);
  if (!request.workspace_.empty()) {
    target += "&workspace=" + Encoded(request.workspace_);
  }
  return target;
}

std::optional<std::string> FormatPlacement(
    const std::string& explanation_json) {
  const QJsonObject explanation =
      QJsonDocument::fromJson(QByteArray::fromStdString(explanation_json))
          .object();
  if (!explanation.contains("placement")) return std::nullopt;
  const QJsonObject node = explanation["node"].toObject();
  const QJsonObject queue = explanation["queue"].toObject();
  std::string text = "now        " + TextOf(explanation["why"]);
  const int status = explanation["status"].toInt();
  if (status != 0) text += ", status " + std::to_string(status);
  text += "\ndocument   " + TextOf(explanation["document"]) + "\nnode       " +
          "ready " + TextOf(node["ready"]) + ", stopping " +
          TextOf(node["stopping"]) + ", cut off " + TextOf(node["cut_off"]) +
          "\n";
  text += RouteText(explanation["route"].toObject()) +
          QuotaText(explanation["quota"].toObject()) +
          AdmissionText(explanation["admission"].toObject());
  text += "own queue  " + TextOf(queue["waiting"]) + " waiting, " +
          TextOf(queue["running"]) + " running in " + TextOf(queue["slots"]) +
          " slots, mean run " + MillisecondsOf(queue["mean_hold_us"]) + " ms\n";
  return text + ServicesText(explanation["placement"].toArray()) +
         ServicesText(explanation["overflow_placement"].toArray());
}

}  // namespace jujubefront
