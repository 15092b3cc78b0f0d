#include <algorithm>
#include <cstdio>

#include "relay/internal/entry.h"
#include "relay/internal/request_log.h"

namespace jujubefront {
namespace {

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
// Clients honour a Retry-After of up to this fraction (one third) of the time
// they have left.
constexpr int kRetryAfterDivisor = 3;

// Response made by this node itself.
Http1Response MakeNodeResponse(int status, Duration retry_after) {
  Http1Response response{.status_ = status};
  if (retry_after > Duration::zero()) {
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f", InSeconds(retry_after));
    response.headers_.emplace_back("Retry-After", text);
  }
  return response;
}

// Retry-After for a refused client: random within the time in which an answer
// is still useful, so that refused clients do not retry in step. While the
// route's call trees fail, it lies in the last quarter of that time, as such a
// failure takes some seconds to end. For a condemned content it is the time
// until the condemnation ends.
Duration RetryAfterFor(RelayStep& step, const OpenRequest& request) {
  const ContentVerdict verdict = EvaluateContentOf(step, request);
  if (verdict.standing_ == Standing::kCondemned) {
    return verdict.until_ - step.now_;
  }
  const bool failing = step.state_.failing_routes_.contains(request.route_);
  // The route's timeout bounds one attempt; the client may wait for longer.
  const Duration left = request.client_deadline_ - step.now_;
  const Duration objective_left = request.objective_at_ - step.now_;
  const Duration useful_time =
      failing ? objective_left * 3 / 4 : objective_left / 2;
  const Duration max_wait = std::max(
      kMinRetryAfter, std::min(left / kRetryAfterDivisor, useful_time));
  const Duration min_wait =
      failing ? std::max(kMinRetryAfter, max_wait * 3 / 4) : kMinRetryAfter;
  const double unit = NextUnit(step.state_.random_);
  return min_wait +
         Duration(static_cast<std::int64_t>(
             static_cast<double>((max_wait - min_wait).count()) * unit));
}

// Marks the run that made a failed call. If the run is not known, all local
// runs in progress count as having a failed call.
void RecordFailedCall(RelayStep& step, const OpenRequest& request,
                      bool failed) {
  if (!request.is_call_ || !failed) return;
  const auto parent = step.state_.runs_.find(request.parent_run_);
  if (parent != step.state_.runs_.end()) {
    parent->second.calls_failed_ = true;
  } else {
    step.state_.call_failed_at_ = step.now_;
  }
}

}  // namespace

ContentVerdict EvaluateContentOf(const RelayStep& step,
                                 const OpenRequest& request) {
  return EvaluateContentForCaller(step, request.content_,
                                  step.options_.service_);
}

// Late in the time for which clients wait, as the window of the quota is
// longer.
Duration RetryAfterOverQuota(RelayStep& step, const RequestArrived& arrived,
                             const RouteRule& route) {
  const Duration left =
      arrived.remaining_.value_or(route.timeout_) / kRetryAfterDivisor;
  const Duration longest =
      std::max(kMinRetryAfter, std::min(left, step.options_.quota_.window_));
  const double unit = NextUnit(step.state_.random_);
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(longest.count()) * (0.5 + unit / 2)));
}

void Finish(RelayStep& step, OpenRequest& request, Http1Response response,
            bool made_by_node) {
  RecordFailedCall(step, request, response.status_ >= 500);
  step.effects_.emplace_back(
      AnswerRequest{.request_id_ = request.request_id_,
                    .response_ = std::move(response),
                    .trace_id_ = request.trace_id_,
                    .made_by_node_ = made_by_node,
                    .route_ = request.route_,
                    .elapsed_ = step.now_ - request.arrived_});
  step.state_.timers_.erase({request.deadline_,
                             RelayTimerKind::kRequestDeadline,
                             request.request_id_});
  step.state_.requests_.erase(request.request_id_);
}

void Refuse(RelayStep& step, OpenRequest& request, std::string_view why) {
  ++step.state_.counters_.refused_;
  LogOutcome(step, DecisionKind::kRefused, request, 503, why);
  Finish(step, request, MakeNodeResponse(503, RetryAfterFor(step, request)),
         true);
}

void Fail(RelayStep& step, OpenRequest& request, int status,
          std::string_view why) {
  ++(status == 504 ? step.state_.counters_.timed_out_
                   : step.state_.counters_.failed_);
  LogOutcome(step, DecisionKind::kFailed, request, status, why);
  Finish(step, request, MakeNodeResponse(status, Duration::zero()), true);
}

void FailUnknownOutcome(RelayStep& step, OpenRequest& request,
                        std::string_view why) {
  const bool expired = request.deadline_ <= step.now_;
  Fail(step, request, expired ? 504 : 502, expired ? "time is up" : why);
}

void GiveUp(RelayStep& step, OpenRequest& request, std::string_view why) {
  if (request.may_have_run_) return FailUnknownOutcome(step, request, why);
  Refuse(step, request, why);
}

void AnswerOnArrival(RelayStep& step, const RequestArrived& arrived, int status,
                     Duration retry_after, std::string_view why) {
  step.effects_.emplace_back(Decision{
      .kind_ = DecisionKind::kRefused,
      .trace_id_ = arrived.trace_id_,
      .inputs_ = {
          {"host", arrived.host_},
          {"status", std::int64_t{status}},
          {"why", std::string(why)},
          {"table", static_cast<std::int64_t>(step.state_.table_.version_)}}});
  step.effects_.emplace_back(
      AnswerRequest{.request_id_ = arrived.request_id_,
                    .response_ = MakeNodeResponse(status, retry_after),
                    .trace_id_ = arrived.trace_id_,
                    .made_by_node_ = true});
}

}  // namespace jujubefront
