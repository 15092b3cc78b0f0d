#include "operations/tables.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>

#include "configuration/configuration.h"

namespace jujubefront {
namespace {

std::string TextOf(const QJsonObject& object, const char* key) {
  const QJsonValue value = object.value(QLatin1String(key));
  if (value.isString()) return value.toString().toStdString();
  if (value.isBool()) return value.toBool() ? "yes" : "no";
  return std::to_string(value.toInteger());
}

std::vector<std::string> RowOf(const QJsonObject& object,
                               const std::vector<const char*>& keys) {
  std::vector<std::string> row;
  row.reserve(keys.size());
  for (const char* key : keys) row.push_back(TextOf(object, key));
  return row;
}

std::string MembersTable(const QJsonArray& members) {
  const std::vector<const char*> keys = {"service", "zone",        "name",
                                         "state",   "outstanding", "rpc"};
  std::vector<std::vector<std::string>> rows = {
      {"SERVICE", "ZONE", "TARGET", "STATE", "SENT", "RPC"}};
  for (const auto value : members) {
    rows.push_back(RowOf(value.toObject(), keys));
  }
  std::sort(rows.begin() + 1, rows.end());
  return FormatTable(rows);
}

}  // namespace

std::string FormatTable(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size()) line.append(widths[i] - row[i].size() + 2, ' ');
    }
    text += line + "\n";
  }
  return text;
}

std::string FormatStatus(const std::string& status_json) {
  const QJsonObject status =
      QJsonDocument::fromJson(QByteArray::fromStdString(status_json)).object();
  const QJsonObject admission =
      status.value(QLatin1String("admission")).toObject();
  const QJsonObject configuration =
      status.value(QLatin1String("configuration")).toObject();
  const std::vector<std::vector<std::string>> head = {
      {"NODE", "STATE", "SERVICE", "ZONE", "IN FLIGHT", "WAITING", "LIMIT",
       "LEVEL", "DOCUMENT", "LOG ANSWERS", "MALFORMED"},
      {TextOf(status, "name"), TextOf(status, "state"),
       TextOf(status, "service"), TextOf(status, "zone"),
       TextOf(admission, "in_flight"), TextOf(admission, "waiting"),
       TextOf(admission, "limit"), TextOf(admission, "level"),
       TextOf(configuration, "offset"), TextOf(configuration, "log_available"),
       TextOf(configuration, "malformed_records")}};
  return FormatTable(head) + "\n" +
         MembersTable(status.value(QLatin1String("members")).toArray());
}

std::string FormatHistory(const ConfigurationState& state) {
  std::vector<std::vector<std::string>> rows = {
      {"OFFSET", "SECTION", "AUTHOR", "VERDICT", "RECORD"}};
  for (const PublishResult& result : state.history_) {
    rows.push_back(
        {std::to_string(result.offset_), result.section_, result.author_,
         std::string(PublishVerdictName(result.verdict_)), result.record_id_});
  }
  std::string text = FormatTable(rows);
  if (state.malformed_records_ > 0) {
    text += "malformed records: " + std::to_string(state.malformed_records_) +
            ", the last at offset " + std::to_string(state.last_malformed_) +
            "\n";
  }
  return text;
}

}  // namespace jujubefront
