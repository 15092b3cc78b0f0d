#include "platformlog/log_client.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTimer>
#include <QUrl>

namespace jujubefront {
namespace {

constexpr int kRecordsPerRead = 500;
constexpr int kOk = 200;

std::optional<LogRead> DecodeRead(const std::string& body) {
  const QJsonObject object =
      QJsonDocument::fromJson(QByteArray::fromStdString(body)).object();
  if (!object.value(QLatin1String("next")).isDouble()) return std::nullopt;
  LogRead read{.oldest_ = object.value(QLatin1String("oldest")).toInteger(),
               .next_ = object.value(QLatin1String("next")).toInteger()};
  for (const auto value : object.value(QLatin1String("records")).toArray()) {
    const QJsonObject record = value.toObject();
    read.records_.push_back(
        {.offset_ = record.value(QLatin1String("offset")).toInteger(),
         .text_ =
             record.value(QLatin1String("data")).toString().toStdString()});
  }
  return read;
}

std::optional<LogOffset> DecodeOffset(const std::string& body) {
  const QJsonValue offset =
      QJsonDocument::fromJson(QByteArray::fromStdString(body))
          .object()
          .value(QLatin1String("offset"));
  if (!offset.isDouble()) return std::nullopt;
  return offset.toInteger();
}

std::string PathOf(const std::string& stream) {
  return "/streams/" +
         QUrl::toPercentEncoding(QString::fromStdString(stream)).toStdString() +
         "/records";
}

}  // namespace

LogClient::LogClient(LogClientOptions options)
    : options_(std::move(options)),
      path_(PathOf(options_.stream_)),
      client_({}, {.on_response_ =
                       [this](std::uint64_t id, const Http1Response& response) {
                         if (response.status_ != kOk) {
                           return Finish(id, std::nullopt);
                         }
                         Finish(id, response.body_.str());
                       },
                   .on_failure_ =
                       [this](std::uint64_t id, Http1Failure) {
                         Finish(id, std::nullopt);
                       }}) {
  client_.SetAddress(options_.address_);
}

void LogClient::Send(Http1Request request, BodyHandler handler) {
  const std::uint64_t id = ++last_id_;
  pending_[id] = std::move(handler);
  request.headers_ = {{"Host", options_.address_},
                      {"Content-Type", "application/json"}};
  client_.Send(id, request);
  QTimer::singleShot(
      std::chrono::duration_cast<std::chrono::milliseconds>(options_.timeout_),
      this, [this, id] {
        if (client_.Abort(id)) Finish(id, std::nullopt);
      });
}

void LogClient::Finish(std::uint64_t call_id, std::optional<std::string> body) {
  const auto found = pending_.find(call_id);
  const BodyHandler handler = std::move(found->second);
  pending_.erase(found);
  handler(std::move(body));
}

void LogClient::Read(LogOffset from, ReadHandler handler) {
  Send({.method_ = "GET",
        .target_ = path_ + "?from=" + std::to_string(from) +
                   "&limit=" + std::to_string(kRecordsPerRead)},
       [handler = std::move(handler)](const std::optional<std::string>& body) {
         handler(body ? DecodeRead(*body) : std::nullopt);
       });
}

void LogClient::Append(const std::string& text, AppendHandler handler) {
  Send({.method_ = "POST", .target_ = path_, .body_ = text},
       [handler = std::move(handler)](const std::optional<std::string>& body) {
         handler(body ? DecodeOffset(*body) : std::nullopt);
       });
}

}  // namespace jujubefront
