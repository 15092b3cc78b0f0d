#include "relaylog/log_reader.h"

#include <QDir>
#include <QFile>
#include <QFileInfo>
#include <QJsonDocument>
#include <algorithm>
#include <boost/leaf/error.hpp>
#include <sstream>

namespace jujubefront {
namespace {

// The words before the JSON object of a line.
struct LinePrefix {
  std::optional<Timestamp> time_;
  std::string host_;
};

LinePrefix ReadPrefix(std::string_view text) {
  LinePrefix prefix;
  std::istringstream words{std::string(text)};
  for (std::string word; words >> word;) {
    bool is_number = false;
    const double seconds = QString::fromStdString(word).toDouble(&is_number);
    if (is_number) {
      prefix.time_ =
          Timestamp(Duration(static_cast<std::int64_t>(seconds * 1e6)));
    } else {
      prefix.host_ = word;
    }
  }
  return prefix;
}

std::optional<LogLine> ReadLine(std::string_view line,
                                const std::string& file_name) {
  const auto brace = line.find('{');
  if (brace == std::string_view::npos) return std::nullopt;
  const std::string_view json = line.substr(brace);
  const QJsonDocument document =
      QJsonDocument::fromJson(QByteArray::fromRawData(
          json.data(), static_cast<qsizetype>(json.size())));
  const QJsonObject fields = document.object();
  if (!fields["event"].isString()) return std::nullopt;
  LinePrefix prefix = ReadPrefix(line.substr(0, brace));
  LogLine record{.host_ = prefix.host_.empty() ? file_name : prefix.host_,
                 .host_time_ = Timestamp(Duration(fields["at_us"].toInteger())),
                 .event_ = fields["event"].toString().toStdString(),
                 .request_ = fields["request"].toString().toStdString(),
                 .fields_ = fields};
  record.common_time_ =
      prefix.time_
          ? *prefix.time_
          : Timestamp(std::chrono::milliseconds(fields["time_ms"].toInteger()));
  return record;
}

}  // namespace

std::string LogLine::Text(const char* name) const {
  return fields_[QLatin1String(name)].toString().toStdString();
}

std::int64_t LogLine::Number(const char* name) const {
  return fields_[QLatin1String(name)].toInteger();
}

double LogLine::Real(const char* name) const {
  return fields_[QLatin1String(name)].toDouble();
}

void AddLogText(std::string_view text, const std::string& file_name,
                RelayLog& log) {
  while (!text.empty()) {
    const auto end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    if (line.empty()) continue;
    if (auto record = ReadLine(line, file_name)) {
      log.records_.push_back(std::move(*record));
    } else {
      ++log.unreadable_;
    }
  }
  std::stable_sort(log.records_.begin(), log.records_.end(),
                   [](const LogLine& a, const LogLine& b) {
                     return a.common_time_ < b.common_time_;
                   });
}

boost::leaf::result<RelayLog> ReadRelayLog(const std::string& path) {
  const QFileInfo info(QString::fromStdString(path));
  QStringList files{info.filePath()};
  if (info.isDir()) {
    files.clear();
    const QDir folder(info.filePath());
    for (const QString& name : folder.entryList(QDir::Files, QDir::Name)) {
      files.append(folder.filePath(name));
    }
  }
  RelayLog log;
  for (const QString& name : files) {
    QFile file(name);
    if (!file.open(QIODevice::ReadOnly)) {
      return boost::leaf::new_error(LogUnreadable{name.toStdString()});
    }
    AddLogText(file.readAll().toStdString(),
               QFileInfo(name).completeBaseName().toStdString(), log);
  }
  return log;
}

}  // namespace jujubefront
