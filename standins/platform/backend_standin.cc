#include "backend_standin.h"

#include <QDateTime>
#include <QJsonDocument>
#include <QJsonObject>

namespace jujubefront {
namespace {

constexpr const char* kHealthPath = "/health";
// Time after which a leave call without acknowledgement is repeated.
constexpr std::chrono::milliseconds kLeaveRetry(100);

std::chrono::milliseconds ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

}  // namespace

Timestamp SteadyNow() {
  return std::chrono::time_point_cast<Duration>(
      Timestamp::clock::time_point(std::chrono::duration_cast<Duration>(
          std::chrono::steady_clock::now().time_since_epoch())));
}

BackendStandin::BackendStandin(BackendStandinOptions options)
    : options_(std::move(options)),
      control_({},
               {.on_response_ =
                    [this](std::uint64_t id, const Http1Response& response) {
                      if (response.status_ != 200) return RepeatLeave(id);
                      ++acknowledged_;
                      if (id == drain_sequence_ || id == leave_call_) {
                        drain_acknowledged_ = true;
                      }
                    },
                .on_failure_ = [this](std::uint64_t id,
                                      Http1Failure) { RepeatLeave(id); }}),
      started_at_ms_(QDateTime::currentMSecsSinceEpoch()) {
  control_.SetAddress(options_.control_address_);
  QObject::connect(&heartbeat_, &QTimer::timeout, this,
                   [this] { SendHeartbeat(); });
  heartbeat_.start(ToMilliseconds(options_.heartbeat_));
}

bool BackendStandin::Listen() {
  server_ = std::make_unique<Http1Server>(
      Http1ServerOptions{},
      Http1Server::Handlers{
          .on_request_ =
              [this](std::uint64_t id, const Http1Request& request) {
                OnRequest(id, request);
              },
          .on_client_gone_ = [](std::uint64_t) {}});
  return server_->Listen(options_.address_);
}

bool BackendStandin::ReplaceWith(const std::string& instance) {
  server_.reset();
  options_.instance_ = instance;
  started_at_ms_ = std::max<std::int64_t>(started_at_ms_ + 1,
                                          QDateTime::currentMSecsSinceEpoch());
  draining_ = false;
  leaves_ = false;
  drain_sequence_ = 0;
  leave_call_ = 0;
  drain_acknowledged_ = false;
  heartbeat_.start(ToMilliseconds(options_.heartbeat_));
  limit_audit_ = {};
  states_leaving_ = false;
  const bool listening = Listen();
  SendHeartbeat();
  return listening;
}

void BackendStandin::Crash() {
  if (!server_) return;
  server_.reset();
  ++crashes_;
  QTimer::singleShot(ToMilliseconds(down_time_), this, [this] {
    if (server_) return;  // ReplaceWith() was called in the meantime
    ReplaceWith(options_.instance_ + "+");
  });
}

Http1Request BackendStandin::MakeCall(const std::string& call,
                                      const QJsonObject& body) const {
  return {
      .method_ = "POST",
      .target_ = "/jujubefront/rpc?call=" + call + "&of=" + options_.instance_,
      .headers_ = {{"Host", options_.control_address_},
                   {"Content-Type", "application/json"}},
      .body_ =
          QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString()};
}

Http1Request BackendStandin::MakeHeartbeat() {
  const std::string& address = options_.heartbeat_address_.empty()
                                   ? options_.address_
                                   : options_.heartbeat_address_;
  const QJsonObject beat{{"service", QString::fromStdString(options_.service_)},
                         {"address", QString::fromStdString(address)},
                         {"zone", QString::fromStdString(options_.zone_)},
                         {"version", "v1"},
                         {"slots", static_cast<int>(options_.slots_)},
                         {"state", draining_ ? "draining" : "ready"},
                         {"cold_left", "0ms"},
                         {"born", static_cast<qint64>(started_at_ms_)},
                         {"seq", static_cast<qint64>(++sequence_)}};
  if (draining_ && drain_sequence_ == 0) drain_sequence_ = sequence_;
  return MakeCall("instances.heartbeat", beat);
}

Http1Request BackendStandin::MakeLeave() {
  leaves_ = true;
  return MakeCall("instances.leave",
                  {{"born", static_cast<qint64>(started_at_ms_)}});
}

void BackendStandin::SendHeartbeat() {
  if (!server_) return;
  const Http1Request heartbeat = MakeHeartbeat();
  control_.Send(sequence_, heartbeat);
}

void BackendStandin::Leave() {
  heartbeat_.stop();
  leave_call_ = ++sequence_;
  control_.Send(leave_call_, MakeLeave());
}

void BackendStandin::RepeatLeave(std::uint64_t call) {
  if (call == 0 || call != leave_call_) return;
  QTimer::singleShot(kLeaveRetry, this, [this, call] {
    if (call == leave_call_) Leave();
  });
}

void BackendStandin::SendLate(const Http1Request& heartbeat) {
  control_.Send(++sequence_, heartbeat);
}

void BackendStandin::Drain() {
  draining_ = true;
  SendHeartbeat();
}

void BackendStandin::OnRequest(std::uint64_t id, const Http1Request& request) {
  last_headers_ = request.headers_;
  const std::string* trace = FindHeader(request.headers_, "X-Request-Id");
  const std::string trace_id = trace == nullptr ? "" : *trace;
  const std::string* expected =
      FindHeader(request.headers_, "X-Expect-Instance");
  if (counts_(trace_id)) {
    rate_limit_use_ =
        std::max(rate_limit_use_, limit_audit_.CountArrival(SteadyNow()));
  }
  if (request.target_ == kHealthPath) {
    return server_->Answer(id, AnswerHealthCheck());
  }
  int refusal = reject_status_;
  if (expected != nullptr && *expected != options_.instance_) refusal = 421;
  if (refusal != 0) {
    Http1Response answer{
        .status_ = refusal,
        .headers_ = {{"X-Request-Id", trace_id}, {"X-Not-Executed", "1"}}};
    AddStatements(answer.headers_);
    return server_->Answer(id, std::move(answer));
  }
  ++runs_[trace_id];
  on_run_(trace_id);
  if (!crash_target_.empty() && request.target_.starts_with(crash_target_)) {
    // Deferred, as the server must not be destroyed inside its own handler.
    QTimer::singleShot(0, this, [this] { Crash(); });
    return;
  }
  if (lose_answers_) return server_->Drop(id);
  const bool is_large =
      !large_target_.empty() && request.target_.starts_with(large_target_);
  const std::size_t bytes = is_large ? large_body_bytes_ : body_bytes_;
  if (options_.work_ == Duration::zero()) return Answer(id, trace_id, bytes);
  QTimer::singleShot(
      ToMilliseconds(options_.work_), server_.get(),
      [this, id, trace_id, bytes] { Answer(id, trace_id, bytes); });
}

Http1Response BackendStandin::AnswerHealthCheck() {
  ++health_checks_;
  const bool leaves = draining_ || leaves_ || states_leaving_;
  Http1Response answer{.status_ = answer_status_.value_or(leaves ? 503 : 200)};
  if (names_instance_) {
    answer.headers_.emplace_back("X-Instance-Id", options_.instance_);
  }
  AddStatements(answer.headers_);
  return answer;
}

void BackendStandin::Answer(std::uint64_t id, const std::string& trace,
                            std::size_t body_bytes) {
  Http1Response answer{.status_ = answer_status_.value_or(200),
                       .headers_ = {{"X-Request-Id", trace},
                                    {"X-Server-Stamp", options_.instance_},
                                    {"X-Server-Load", "1,0,16"}},
                       .body_ = trace + std::string(body_bytes, 'b')};
  AddStatements(answer.headers_);
  server_->Answer(id, std::move(answer));
}

void BackendStandin::AddStatements(HeaderList& headers) {
  if (const auto limit = limit_audit_.NameInAnswer(SteadyNow())) {
    headers.emplace_back("Server-Limit", std::to_string(*limit));
  }
  if (states_leaving_) headers.emplace_back("Server-Leaving", "1");
}

void BackendStandin::SetRateLimit(std::optional<double> per_second) {
  limit_audit_.SetLimit(SteadyNow(), per_second);
}

}  // namespace jujubefront
