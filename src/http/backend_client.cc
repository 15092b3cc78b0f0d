#include "http/backend_client.h"

#include <QTimer>
#include <algorithm>

namespace jujubefront {
namespace {

constexpr Duration kIdleTimeout = std::chrono::seconds(7);

BackendFailure FailureOf(Http1Failure failure) {
  const bool sent =
      failure != Http1Failure::kNotSent && failure != Http1Failure::kRefused;
  return sent ? BackendFailure::kBroken : BackendFailure::kNotSent;
}

}  // namespace

BackendClient::BackendClient(BackendClientOptions options,
                             AnswerHandler on_answer, FailureHandler on_failure)
    : options_(std::move(options)),
      on_answer_(std::move(on_answer)),
      on_failure_(std::move(on_failure)),
      client_({.idle_timeout_ = kIdleTimeout,
               .max_idle_ = options_.max_connections_},
              {.on_response_ =
                   [this](std::uint64_t id, const Http1Response& response) {
                     OnResponse(id, response);
                   },
               .on_failure_ =
                   [this](std::uint64_t id, Http1Failure failure) {
                     OnFailure(id, failure);
                   }}) {
  client_.SetAddress(options_.address_);
}

void BackendClient::Run(const RunBackend& run, Duration remaining) {
  waiting_.push_back(
      {.run_id_ = run.run_id_,
       .request_ = MakeBackendRequest(run, options_.address_, remaining)});
  SendNext();
}

void BackendClient::SendNext() {
  while (!waiting_.empty() && in_flight_ < options_.max_connections_) {
    const Waiting next = std::move(waiting_.front());
    waiting_.pop_front();
    ++in_flight_;
    client_.Send(next.run_id_, next.request_);
  }
}

void BackendClient::Abort(std::uint64_t run_id) {
  const auto found =
      std::find_if(waiting_.begin(), waiting_.end(),
                   [&](const Waiting& call) { return call.run_id_ == run_id; });
  if (found != waiting_.end()) {
    waiting_.erase(found);
  } else if (client_.Abort(run_id)) {
    --in_flight_;
  } else {
    return;
  }
  // Deferred, since the caller may be in the middle of handling another event.
  QTimer::singleShot(
      0, this, [this, run_id] { Fail(run_id, BackendFailure::kAborted); });
}

void BackendClient::OnResponse(std::uint64_t run_id,
                               const Http1Response& response) {
  --in_flight_;
  BackendAnswered answered{.run_id_ = run_id, .http_status_ = response.status_};
  if (const auto* type = FindHeader(response.headers_, "Content-Type")) {
    answered.content_type_ = *type;
  }
  if (!response.body_.empty()) {
    answered.body_ = std::make_shared<const std::string>(response.body_.str());
  }
  SendNext();
  on_answer_(std::move(answered));
}

void BackendClient::OnFailure(std::uint64_t run_id, Http1Failure failure) {
  --in_flight_;
  Fail(run_id, FailureOf(failure));
}

void BackendClient::Fail(std::uint64_t run_id, BackendFailure failure) {
  SendNext();
  on_failure_({.run_id_ = run_id, .failure_ = failure});
}

}  // namespace jujubefront
