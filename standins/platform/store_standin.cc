#include "store_standin.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTimer>
#include <QUrl>
#include <QUrlQuery>
#include <QtEndian>

namespace jujubefront {
namespace {

Http1Response Json(const QJsonObject& object) {
  return {.status_ = 200,
          .headers_ = {{"Content-Type", "application/json"}},
          .body_ = QJsonDocument(object).toJson().toStdString()};
}

std::string BigEndian64(std::uint64_t number) {
  std::string bytes(sizeof(number), '\0');
  qToBigEndian(number, bytes.data());
  return bytes;
}

}  // namespace

StoreStandin::StoreStandin()
    : server_({}, {.on_request_ =
                       [this](std::uint64_t id, const Http1Request& request) {
                         OnRequest(id, request);
                       },
                   .on_client_gone_ =
                       [this](std::uint64_t id) { readers_.erase(id); }}) {}

void StoreStandin::PutDocument(const std::string& text) {
  Append("keyed.op", "config", text);
}

void StoreStandin::Compact() {
  for (auto& [name, topic] : topics_) {
    topic.records_.clear();
    topic.first_ = topic.end_;
  }
}

void StoreStandin::Restore(std::size_t lost, bool again) {
  ++era_;
  std::string document;
  for (auto& [name, topic] : topics_) {
    if (const auto found = topic.newest_.find("config");
        found != topic.newest_.end()) {
      document = found->second.value_;
    }
    // What was dropped by Compact() cannot be restored key by key.
    const std::size_t kept =
        topic.records_.size() - std::min(topic.records_.size(), lost);
    for (std::size_t i = kept; i < topic.records_.size(); ++i) {
      topic.newest_.erase(topic.records_[i].key_);
    }
    topic.end_ -= topic.records_.size() - kept;
    topic.records_.resize(kept);
    for (const Record& record : topic.records_) {
      if (!record.value_.empty()) topic.newest_[record.key_] = record;
    }
  }
  if (again && !document.empty()) PutDocument(document);
}

void StoreStandin::Answer(std::uint64_t id, Http1Response response) {
  response.headers_.emplace_back("Store-Era", std::to_string(era_));
  server_.Answer(id, std::move(response));
}

void StoreStandin::Append(const std::string& name, const std::string& key,
                          const std::string& value) {
  Topic& topic = topics_[name];
  const Record record{topic.end_++, key, value};
  topic.records_.push_back(record);
  if (value.empty()) {
    topic.newest_.erase(key);
  } else {
    topic.newest_[key] = record;
  }
  std::vector<std::uint64_t> answered;
  for (const auto& [id, reader] : readers_) {
    if (reader.topic_ == name) answered.push_back(id);
  }
  for (const std::uint64_t id : answered) {
    Answer(id, Read(name, readers_.at(id).from_));
    readers_.erase(id);
  }
}

Http1Response StoreStandin::Newest(const std::string& name,
                                   const std::string& after) const {
  QJsonObject page;
  QJsonArray items;
  bool has_more = false;
  const auto topic = topics_.find(name);
  if (topic != topics_.end()) {
    for (const auto& [key, record] : topic->second.newest_) {
      if (!after.empty() && key <= after) continue;
      has_more = static_cast<std::size_t>(items.size()) == page_records_;
      if (has_more) break;
      items.append(QJsonObject{
          {"key", QString::fromStdString(key)},
          {"value", QString::fromLatin1(
                        QByteArray::fromStdString(record.value_).toBase64())},
          {"offset", static_cast<qint64>(record.offset_)}});
    }
    page["end"] = static_cast<qint64>(topic->second.end_);
  } else {
    page["end"] = 0;
  }
  page["items"] = items;
  page["has_more"] = has_more;
  return Json(page);
}

Http1Response StoreStandin::Read(const std::string& name,
                                 std::uint64_t from) const {
  Http1Response response{.status_ = 200};
  const auto topic = topics_.find(name);
  if (topic == topics_.end()) {
    response.body_ = BigEndian64(0) + BigEndian64(0);
    return response;
  }
  // Records before the first are gone, and those after the end not there yet
  // or again.
  if (from < topic->second.first_ || from > topic->second.end_) {
    return {.status_ = 410};
  }
  std::string body =
      BigEndian64(topic->second.end_) + BigEndian64(topic->second.first_);
  for (const Record& record : topic->second.records_) {
    if (record.offset_ < from) continue;
    const std::string content =
        std::string(1, static_cast<char>(record.key_.size())) + record.key_ +
        record.value_;
    std::string length(4, '\0');
    qToBigEndian(static_cast<std::uint32_t>(content.size()), length.data());
    body += length + content;
  }
  response.body_ = std::move(body);
  return response;
}

void StoreStandin::OnRequest(std::uint64_t id, const Http1Request& request) {
  ++calls_;
  if (mode_ == StoreMode::kSilent) return;
  if (mode_ == StoreMode::kBusy) {
    return Answer(id, {.status_ = 503});
  }
  const QUrl url(QString::fromStdString(request.target_));
  const QUrlQuery query(url);
  const std::string topic = query.queryItemValue("topic").toStdString();
  if (url.path().endsWith("log-newest")) {
    Answer(id, Newest(topic, query.queryItemValue("after", QUrl::FullyDecoded)
                                 .toStdString()));
    return on_page_(topic);
  }
  if (url.path().endsWith("log-append")) {
    const std::string record = request.body_.str();
    const auto key_size = static_cast<std::uint8_t>(record.at(4));
    Append(topic, record.substr(5, key_size), record.substr(5U + key_size));
    return Answer(id, Json({{"offset", 0}, {"end", 1}}));
  }
  const auto from = query.queryItemValue("from").toULongLong();
  const auto found = topics_.find(topic);
  const std::uint64_t end = found == topics_.end() ? 0 : found->second.end_;
  if (from != end) return Answer(id, Read(topic, from));
  readers_[id] = {topic, from};
  QTimer::singleShot(query.queryItemValue("wait_ms").toInt(), this, [=, this] {
    if (readers_.erase(id) > 0) Answer(id, Read(topic, from));
  });
}

}  // namespace jujubefront
