#include "backend_model.h"

#include <QNetworkProxy>
#include <QNetworkReply>
#include <QTimer>
#include <QUrl>
#include <QUrlQuery>
#include <algorithm>
#include <cstdlib>

namespace jujubefront {
namespace {

constexpr std::size_t kManagers = 8;
constexpr int kBadGateway = 502;
// A request whose path has this prefix exits the process, as a crash would.
constexpr std::string_view kCrashPath = "/crash";
constexpr int kCrashExitCode = 70;

std::string HeaderOf(const Http1Request& request, std::string_view name) {
  const std::string* value = FindHeader(request.headers_, name);
  return value == nullptr ? "" : *value;
}

Timestamp WallNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::system_clock::now());
}

}  // namespace

BackendModel::BackendModel(BackendModelOptions options)
    : options_(std::move(options)),
      random_(options_.seed_),
      journal_(options_.journal_path_),
      server_({}, {.on_request_ =
                       [this](std::uint64_t id, Http1Request request) {
                         OnRequest(id, std::move(request));
                       },
                   .on_client_gone_ =
                       [this](std::uint64_t id) { OnClientGone(id); }}),
      work_(options_.work_) {}

std::uint16_t BackendModel::Listen(const std::string& address) {
  return server_.Listen(address) ? server_.port() : 0;
}

// Sets the mean work time per request: POST /standin/faults?work_us=N.
bool BackendModel::HandleFaultRequest(std::uint64_t id,
                                      const Http1Request& request) {
  const QUrl url(QString::fromStdString(request.target_));
  if (url.path() != "/standin/faults") return false;
  const QUrlQuery query(url);
  if (query.hasQueryItem("work_us")) {
    work_ =
        std::chrono::microseconds(query.queryItemValue("work_us").toLongLong());
  }
  server_.Answer(id, {.status_ = 200, .body_ = "{}"});
  return true;
}

void BackendModel::OnRequest(std::uint64_t id, Http1Request request) {
  if (HandleFaultRequest(id, request)) return;
  journal_.Write(WallNow(), "backend",
                 {{"service", options_.service_},
                  {"key", HeaderOf(request, kKeyHeader)},
                  {"method", request.method_},
                  {"path", request.target_}});
  if (request.target_.starts_with(kCrashPath)) std::_Exit(kCrashExitCode);
  jobs_[id] = {.request_ = std::move(request)};
  waiting_.push_back(id);
  StartNext();
}

void BackendModel::OnClientGone(std::uint64_t id) {
  // A request that waits for a slot is dropped; one that has begun continues.
  const auto found = std::find(waiting_.begin(), waiting_.end(), id);
  if (found == waiting_.end()) return;
  waiting_.erase(found);
  jobs_.erase(id);
}

void BackendModel::StartNext() {
  while (busy_ < options_.slots_ && !waiting_.empty()) {
    const std::uint64_t id = waiting_.front();
    waiting_.pop_front();
    ++busy_;
    Work(id);
  }
}

void BackendModel::Work(std::uint64_t id) {
  if (work_.count() == 0) return CallNextChild(id);
  std::exponential_distribution<double> distribution(1.0);
  const auto time_us =
      static_cast<double>(work_.count()) * distribution(random_);
  const auto time_ms = std::chrono::milliseconds(
      std::max<std::int64_t>(1, std::llround(time_us / 1000.0)));
  QTimer::singleShot(time_ms, Qt::PreciseTimer, this,
                     [this, id] { CallNextChild(id); });
}

QNetworkAccessManager& BackendModel::NextManager() {
  if (managers_.size() < kManagers) {
    managers_.push_back(std::make_unique<QNetworkAccessManager>());
    managers_.back()->setProxy(QNetworkProxy::NoProxy);
    return *managers_.back();
  }
  current_manager_ = (current_manager_ + 1) % managers_.size();
  return *managers_[current_manager_];
}

void BackendModel::CallNextChild(std::uint64_t id) {
  Job& job = jobs_.at(id);
  if (job.next_child_ >= options_.children_.size()) {
    return Finish(id, 200, "");
  }
  const std::string service = options_.children_[job.next_child_++];
  const std::string url =
      "http://" + options_.node_address_ + "/" + service + job.request_.target_;
  QNetworkRequest request(QUrl(QString::fromStdString(url)));
  request.setRawHeader(
      QByteArray::fromStdString(std::string(kRunHeader)),
      QByteArray::fromStdString(HeaderOf(job.request_, kRunHeader)));
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  const QByteArray body = QByteArray::fromStdString(job.request_.body_.str());
  QNetworkReply* reply = NextManager().sendCustomRequest(
      request, QByteArray::fromStdString(job.request_.method_), body);
  connect(reply, &QNetworkReply::finished, this, [this, id, reply] {
    reply->deleteLater();
    const std::string answer = reply->readAll().toStdString();
    if (reply->error() != QNetworkReply::NoError) {
      return Finish(id, kBadGateway, answer);
    }
    std::string& answers = jobs_.at(id).child_answers_;
    if (!answers.empty()) answers += ",";
    answers += answer;
    CallNextChild(id);
  });
}

void BackendModel::Finish(std::uint64_t id, int status,
                          const std::string& detail) {
  const Job& job = jobs_.at(id);
  std::string body = "{\"service\":\"" + options_.service_ + "\",\"path\":\"" +
                     job.request_.target_ + "\",\"key\":\"" +
                     HeaderOf(job.request_, kKeyHeader) + "\"";
  if (!detail.empty()) body += ",\"failed\":" + detail;
  body += ",\"calls\":[" + job.child_answers_ + "]}";
  server_.Answer(id, {.status_ = status,
                      .headers_ = {{"Content-Type", "application/json"}},
                      .body_ = body});
  jobs_.erase(id);
  --busy_;
  StartNext();
}

}  // namespace jujubefront
