#include "relay/internal/entry.h"

#include <algorithm>

#include "allocation/tree_success.h"
#include "http1/http1_codec.h"
#include "relay/internal/request_log.h"
#include "relay/internal/time_left.h"
#include "routes/routes.h"

namespace jujubefront {
namespace {

// A call beside a stopping process is refused if less time is left than this,
// or than its usual time multiplied by the margin.
constexpr Duration kMinCallTime = std::chrono::milliseconds(150);
constexpr double kCallTimeMargin = 3.0;

// Retry-After while this node has no routing document yet.
constexpr Duration kShortRetryAfter = std::chrono::milliseconds(300);
constexpr int kUnauthorized = 401;
constexpr int kTooManyRequests = 429;

// Removes the header with the client's key, which backend servers must not see.
void RemoveCredentials(const RelayStep& step, const RequestArrived& arrived,
                       HeaderList& headers) {
  if (step.state_.table_.workspaces_.empty()) return;
  std::erase_if(headers, [&](const auto& header) {
    return SameHeaderName(header.first, arrived.credential_header_);
  });
}

OpenRequest MakeRequest(RelayStep& step, RequestArrived& arrived,
                        const RouteRule& route, const Workspace* workspace) {
  const Duration remaining = arrived.remaining_.value_or(route.timeout_);
  OpenRequest request;
  request.request_id_ = arrived.request_id_;
  request.trace_id_ = std::move(arrived.trace_id_);
  request.route_ = route.name_;
  request.idempotent_ = route.idempotent_;
  request.priority_ = route.priority_;
  request.max_attempts_ = std::max(1U, route.max_attempts_);
  request.arrived_ = step.now_;
  request.deadline_ = step.now_ + std::min(remaining, route.timeout_);
  request.client_deadline_ = step.now_ + remaining;
  request.objective_ = route.latency_objective_;
  const Origin origin =
      FindOrigin(step, route, step.now_ + remaining, arrived.parent_trace_id_);
  request.parent_run_ = origin.parent_run_;
  request.is_call_ = origin.is_call_;
  request.service_ = PickService(route, NextUnit(step.state_.random_));
  request.tree_rank_ = NextUnit(step.state_.random_);
  request.content_ = arrived.content_;
  request.request_ = std::move(arrived.request_);
  RemoveConnectionHeaders(request.request_.headers_);
  RemoveCredentials(step, arrived, request.request_.headers_);
  if (workspace != nullptr) {
    request.workspace_ = workspace->name_;
    request.workspace_priority_ = workspace->priority_;
  }
  if (route.needs_key_) request.key_ = arrived.key_;
  request.objective_at_ = step.now_ + route.latency_objective_;
  const bool returning = CountDemand(step, route, remaining, request.is_call_);
  if (request.is_call_) {
    // Otherwise the final answers of a stop would break it off.
    request.deadline_ = std::min(request.deadline_, FinalAnswersAt(step));
    return request;
  }
  request.is_returning_ = returning;
  const Duration usual =
      UsualTimeLeft(step.state_.demands_[route.name_].time_left_);
  request.objective_at_ -= std::max(Duration::zero(), usual - remaining);
  return request;
}

// A stopping node accepts requests until clients have had time to move to other
// nodes, and then only finishes the requests that it has accepted.
bool IsRefusingNewClients(const RelayStep& step) {
  return step.state_.stopping_ &&
         step.now_ - step.state_.stop_at_ >= step.options_.stop_linger_;
}

// Whether a call is likely to end before a planned stop does.
bool CanEndBeforeStop(const RelayStep& step, const OpenRequest& request) {
  if (!step.state_.stopping_) return true;
  const auto profile = step.state_.profiles_.find(request.route_);
  const double usual = profile == step.state_.profiles_.end()
                           ? 0.0
                           : profile->second.slot_seconds_;
  const auto needed =
      Duration(static_cast<std::int64_t>(kCallTimeMargin * usual * 1e6));
  return LatestRunEnd(step) - step.now_ >= std::max(kMinCallTime, needed);
}

// Draws whether a client's request is admitted, by the admitted share of its
// route.
bool IsAdmitted(RelayStep& step, const OpenRequest& request) {
  if (request.is_call_) return true;
  const auto fraction = step.state_.admitted_.find(request.route_);
  if (fraction == step.state_.admitted_.end()) return true;
  const double returning =
      step.state_.demands_[request.route_].returning_share_;
  const AdmissionSplit split = SplitAdmission(fraction->second, returning);
  return NextUnit(step.state_.random_) <
         (request.is_returning_ ? split.returning_ : split.fresh_);
}

// Without it, the backend server would make a response that is lost here. The
// next request with the content is tried: its response may have become smaller.
bool HasMemoryForResponse(RelayStep& step, const OpenRequest& request,
                          std::size_t free_memory) {
  auto& known = step.state_.large_responses_.bytes_;
  const auto found = known.find(request.content_);
  if (found == known.end() || found->second <= free_memory) return true;
  known.erase(found);
  return false;
}

// Draws whether another region runs a request that is not admitted.
bool TakesOverflow(RelayStep& step, OpenRequest& request) {
  const auto found = step.state_.overflow_.find(request.route_);
  if (found == step.state_.overflow_.end()) return false;
  if (NextUnit(step.state_.random_) >= found->second.share_) return false;
  request.overflow_region_ = found->second.region_;
  if (!FindCandidates(step, request).empty()) return true;
  request.overflow_region_.clear();
  return false;
}

// Draws whether another region runs an admitted request. Returns false if that
// region is to run all of them and cannot take this one.
bool ChooseRegion(RelayStep& step, OpenRequest& request) {
  if (request.is_call_) return true;
  const auto& remote = step.state_.region_sharing_.remote_;
  const auto found = remote.find(request.route_);
  if (found == remote.end()) return true;
  if (NextUnit(step.state_.random_) >= found->second.share_) return true;
  request.overflow_region_ = found->second.region_;
  request.is_planned_remote_ = true;
  if (!FindCandidates(step, request).empty()) {
    ++step.state_.counters_.region_shared_;
    return true;
  }
  request.overflow_region_.clear();
  request.is_planned_remote_ = false;
  return found->second.share_ < 1.0;
}

}  // namespace

void OnRequest(RelayStep& step, RequestArrived& arrived) {
  ++step.state_.counters_.requests_;
  RelayState& state = step.state_;
  if (state.table_.version_ == 0) {
    ++state.counters_.unrouted_;
    return AnswerOnArrival(step, arrived, 503, kShortRetryAfter,
                           "no routing document yet");
  }
  const RouteRule* route =
      FindRoute(state.table_, arrived.host_, arrived.request_.target_);
  if (route == nullptr) {
    ++state.counters_.unrouted_;
    return AnswerOnArrival(step, arrived, 404, Duration::zero(), "no route");
  }
  const KeyCheckResult key = CheckKey(state.table_, *route, arrived.key_);
  if (key.check_ == KeyCheck::kRejected) {
    ++state.counters_.key_rejected_;
    return AnswerOnArrival(step, arrived, kUnauthorized, Duration::zero(),
                           arrived.key_.known() ? "unknown key" : "no key");
  }
  if (key.workspace_ != nullptr && !CountWithinQuota(step, *key.workspace_)) {
    ++state.counters_.over_quota_;
    return AnswerOnArrival(step, arrived, kTooManyRequests,
                           RetryAfterOverQuota(step, arrived, *route),
                           "workspace is over its quota");
  }
  const std::uint64_t id = arrived.request_id_;
  OpenRequest& request = step.state_.requests_[id] =
      MakeRequest(step, arrived, *route, key.workspace_);
  ScheduleTimer(step, request.deadline_, RelayTimerKind::kRequestDeadline, id);
  if (request.is_call_) {
    ++step.state_.counters_.calls_;
    // A call inherits the priority of the request that it serves. If that is
    // not known, it gets the highest priority that it may have.
    const auto parent = step.state_.runs_.find(request.parent_run_);
    const bool known = parent != step.state_.runs_.end();
    CountCall(step.state_.call_counts_, arrived.parent_trace_id_.empty());
    if (known) ++parent->second.calls_[request.route_];
    request.priority_ = known ? parent->second.order_.priority_ : 0;
    request.workspace_priority_ =
        known ? parent->second.order_.workspace_priority_ : 0;
    request.is_repeat_ = known && parent->second.order_.is_repeat_;
    if (known) request.tree_rank_ = parent->second.order_.tree_rank_;
  }
  if (state.final_answers_sent_ || state.stopped_ ||
      (request.is_call_ ? !CanEndBeforeStop(step, request)
                        : IsRefusingNewClients(step))) {
    return Refuse(step, request, ReasonText(NotRunReason::kStopping));
  }
  if (!HasMemoryForResponse(step, request, arrived.free_memory_)) {
    ++step.state_.counters_.refused_at_entry_;
    return Refuse(step, request, "no memory for its response");
  }
  if (!IsAdmitted(step, request)) {
    if (!TakesOverflow(step, request)) {
      ++step.state_.counters_.refused_at_entry_;
      return Refuse(step, request, "not admitted under load");
    }
    ++step.state_.counters_.overflowed_;
  } else if (!ChooseRegion(step, request)) {
    ++step.state_.counters_.refused_at_entry_;
    return Refuse(step, request, "no backend server in any region");
  }
  EarnRetriesForFirstSend(step, request);
  SendOrGiveUp(step, request, "");
}

void OnRequestCancelled(RelayStep& step, std::uint64_t request_id) {
  const auto found = step.state_.requests_.find(request_id);
  if (found == step.state_.requests_.end()) return;
  OpenRequest& request = found->second;
  ++step.state_.counters_.cancelled_;
  LogOutcome(step, DecisionKind::kCancelled, request, 0, "client left");
  CancelSend(step, request);
  step.state_.timers_.erase(
      {request.deadline_, RelayTimerKind::kRequestDeadline, request_id});
  step.state_.requests_.erase(found);
}

void OnRequestDeadline(RelayStep& step, std::uint64_t request_id) {
  const auto found = step.state_.requests_.find(request_id);
  if (found == step.state_.requests_.end()) return;
  OpenRequest& request = found->second;
  CancelSend(step, request);
  Fail(step, request, 504, "time is up");
}

void AnswerOpenRequests(RelayStep& step) {
  std::vector<std::uint64_t> open;
  for (const auto& [id, request] : step.state_.requests_) open.push_back(id);
  std::sort(open.begin(), open.end());
  for (const std::uint64_t id : open) {
    OpenRequest& request = step.state_.requests_.at(id);
    // The process exits before it could learn the outcome of the current send.
    CancelSend(step, request);
    FailUnknownOutcome(step, request, ReasonText(NotRunReason::kStopping));
  }
}

}  // namespace jujubefront
