#include "history/history.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <fstream>

namespace jujubefront {
namespace {

std::string TextOf(const QJsonValue& value) {
  if (value.isString()) return value.toString().toStdString();
  return std::to_string(value.toInteger());
}

}  // namespace

std::optional<HistoryEvent> ParseHistoryLine(std::string_view line,
                                             const std::string& source) {
  const QByteArray bytes(line.data(), static_cast<qsizetype>(line.size()));
  const QJsonDocument document = QJsonDocument::fromJson(bytes);
  if (!document.isObject()) return std::nullopt;
  const QJsonObject object = document.object();
  const QJsonValue at = object.value(QLatin1String("at_us"));
  const QJsonValue event = object.value(QLatin1String("event"));
  if (!at.isDouble() || !event.isString()) return std::nullopt;
  HistoryEvent result{.at_ = Timestamp(Duration(at.toInteger())),
                      .source_ = source,
                      .event_ = event.toString().toStdString()};
  for (auto field = object.begin(); field != object.end(); ++field) {
    result.fields_[field.key().toStdString()] = TextOf(field.value());
  }
  return result;
}

bool ReadJournal(const std::string& path, std::vector<HistoryEvent>& events,
                 std::size_t& malformed_lines) {
  std::ifstream file(path);
  if (!file) return false;
  std::string line;
  while (std::getline(file, line)) {
    auto event = ParseHistoryLine(line, path);
    if (event) {
      events.push_back(std::move(*event));
    } else {
      ++malformed_lines;
    }
  }
  return true;
}

}  // namespace jujubefront
