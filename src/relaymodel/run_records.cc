#include "relaymodel/run_records.h"

#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>

namespace jujubefront {

std::string DescribeLoad(const FleetRunOptions& options) {
  const auto seconds = [](Duration time) {
    return QString::number(static_cast<double>(time.count()) / 1e6);
  };
  QString text = QStringLiteral("seed %1, %2 s, base %3, honour %4, retries %5")
                     .arg(options.seed_)
                     .arg(seconds(options.length_))
                     .arg(options.base_factor_)
                     .arg(options.honours_retry_after_)
                     .arg(options.retries_);
  for (const FleetSurge& surge : options.surges_) {
    text += QStringLiteral(", %1 from %2 to %3 s")
                .arg(surge.factor_)
                .arg(seconds(surge.from_), seconds(surge.to_));
  }
  for (const FleetRejection& rejection : options.rejections_) {
    text += QStringLiteral(", %1 rejects %2 from %3 to %4 s")
                .arg(QString::fromStdString(rejection.service_))
                .arg(rejection.share_)
                .arg(seconds(rejection.from_), seconds(rejection.to_));
  }
  return text.toStdString();
}

boost::leaf::result<void> SaveRecords(const std::string& path,
                                      const std::string& load,
                                      const std::vector<RunRecord>& records) {
  QJsonArray runs;
  for (const RunRecord& record : records) {
    runs.append(QJsonObject{{"fleet", QString::fromStdString(record.fleet_)},
                            {"policy", QString::fromStdString(record.policy_)},
                            {"worth_share", record.worth_share_},
                            {"wasted_work", record.wasted_work_},
                            {"refused_late", record.refused_late_}});
  }
  const QJsonObject object{{"load", QString::fromStdString(load)},
                           {"runs", runs}};
  QFile file(QString::fromStdString(path));
  const QByteArray text = QJsonDocument(object).toJson();
  if (!file.open(QIODevice::WriteOnly) || file.write(text) != text.size()) {
    return boost::leaf::new_error(RecordsFileError{path});
  }
  return {};
}

boost::leaf::result<std::vector<RunRecord>> LoadRecords(
    const std::string& path, const std::string& load) {
  QFile file(QString::fromStdString(path));
  if (!file.open(QIODevice::ReadOnly)) {
    return boost::leaf::new_error(RecordsFileError{path});
  }
  const QJsonObject object = QJsonDocument::fromJson(file.readAll()).object();
  if (!object["load"].isString() || !object["runs"].isArray()) {
    return boost::leaf::new_error(RecordsFileError{path});
  }
  const std::string saved = object["load"].toString().toStdString();
  if (saved != load) {
    return boost::leaf::new_error(RecordsLoadMismatch{path, saved});
  }
  std::vector<RunRecord> records;
  for (const auto value : object["runs"].toArray()) {
    const QJsonObject run = value.toObject();
    records.push_back({.fleet_ = run["fleet"].toString().toStdString(),
                       .policy_ = run["policy"].toString().toStdString(),
                       .worth_share_ = run["worth_share"].toDouble(),
                       .wasted_work_ = run["wasted_work"].toDouble(),
                       .refused_late_ = run["refused_late"].toDouble()});
  }
  return records;
}

const RunRecord* FindRecord(const std::vector<RunRecord>& records,
                            const std::string& fleet,
                            const std::string& policy) {
  const auto found = std::find_if(
      records.begin(), records.end(), [&](const RunRecord& record) {
        return record.fleet_ == fleet && record.policy_ == policy;
      });
  return found == records.end() ? nullptr : &*found;
}

}  // namespace jujubefront
