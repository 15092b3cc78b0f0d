#include <algorithm>
#include <cstdio>

#include "allocation/tree_success.h"
#include "base/hashing.h"
#include "http1/http1_codec.h"
#include "placement/placement.h"
#include "relay/internal/relay_step.h"
#include "relay/internal/request_log.h"
#include "retries/retry_allowance.h"
#include "routes/routes.h"

namespace jujubefront {
namespace {

// A call beside a stopping process is refused if less time is left than this,
// or than its usual time multiplied by the margin.
constexpr Duration kMinCallTime = std::chrono::milliseconds(150);
constexpr double kCallTimeMargin = 3.0;

// Retry-After while this node has no routing document yet.
constexpr Duration kShortRetryAfter = std::chrono::milliseconds(300);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr int kUnauthorized = 401;
constexpr int kTooManyRequests = 429;
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

ContentVerdict EvaluateContentOf(const RelayStep& step,
                                 const OpenRequest& request) {
  return EvaluateContentForCaller(step, request.content_,
                                  step.options_.service_);
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

// Retry-After for a request over its workspace's quota: late in the time for
// which clients wait, as the window of the quota is longer.
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

// Answers a request and removes it; `request` is invalid afterwards.
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

// Answers a request that may have run and has no response.
void FailUnknownOutcome(RelayStep& step, OpenRequest& request,
                        std::string_view why) {
  const bool expired = request.deadline_ <= step.now_;
  Fail(step, request, expired ? 504 : 502, expired ? "time is up" : why);
}

// Answers a request that no other backend server can take. "Not run" (503) is
// stated only if no backend server can have run the request.
void GiveUp(RelayStep& step, OpenRequest& request, std::string_view why) {
  if (request.may_have_run_) return FailUnknownOutcome(step, request, why);
  Refuse(step, request, why);
}

// Answers a request that is not accepted at all.
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

// What this node knows from answers of the peer's present incarnation.
BackendStatement KnownStatement(const Peer& peer) {
  const bool current =
      peer.stated_.started_at_ms_ == peer.status_.backend_started_at_ms_;
  return current ? peer.stated_ : BackendStatement{};
}

RunOrder MakeOrder(RelayStep& step, const OpenRequest& request,
                   const Peer& peer) {
  return {
      .send_id_ = request.send_id_,
      .trace_id_ = request.trace_id_,
      .sent_at_ = step.now_.time_since_epoch(),
      .instance_ = peer.status_.instance_,
      .route_ = request.route_,
      .caller_service_ = step.options_.service_,
      .workspace_ = request.workspace_,
      .content_ = request.content_,
      .workspace_priority_ = request.workspace_priority_,
      .priority_ = request.priority_,
      .is_call_ = request.is_call_,
      .tree_rank_ = request.tree_rank_,
      .is_repeat_ = request.is_repeat_,
      .idempotent_ = request.idempotent_,
      // A run that outlasted a stop would be broken off; the backend server
      // ends it in time instead, with a response of its own.
      .remaining_ = std::min(request.deadline_, LatestRunEnd(step)) - step.now_,
      .objective_left_ = request.objective_at_ - step.now_,
      .known_ = KnownStatement(peer),
      .request_ = request.request_};
}

void CountCrossing(RelayStep& step, const Peer& peer) {
  switch (DistanceTo(step.options_, peer.status_)) {
    case Distance::kSameZone:
      break;
    case Distance::kSameRegion:
      ++step.state_.counters_.zone_crossings_;
      break;
    case Distance::kOtherRegion:
      ++step.state_.counters_.region_crossings_;
      break;
  }
}

void SendTo(RelayStep& step, OpenRequest& request, Peer& peer,
            std::string_view resent_because) {
  request.send_id_ = NewId(step);
  if (request.sends_ > 0) request.is_repeat_ = true;
  ++request.sends_;
  ++request.total_sends_;
  request.tried_.push_back(peer.address_);
  step.state_.sends_[request.send_id_] = {.request_id_ = request.request_id_,
                                          .peer_ = peer.address_,
                                          .instance_ = peer.status_.instance_,
                                          .route_ = request.route_,
                                          .sent_at_ = step.now_};
  // The peer's silence counts from the first request that awaits a reply.
  if (peer.in_flight_ == 0) peer.last_received_at_ = step.now_;
  ++peer.in_flight_;
  ++peer.sent_since_report_;
  ++step.state_.counters_.sends_;
  CountCrossing(step, peer);
  LogSend(step, request, peer, resent_because);
  RunOrder order = MakeOrder(step, request, peer);
  if (peer.address_ == step.options_.address_) {
    OnRunOrder(step, 0, order);
  } else {
    step.effects_.emplace_back(
        SendToPeer{.peer_ = peer.address_, .message_ = std::move(order)});
  }
}

void RefuseSuspect(RelayStep& step, OpenRequest& request) {
  ++step.state_.counters_.refused_suspect_;
  GiveUp(step, request, ReasonText(NotRunReason::kSuspect));
}

// Chooses the host for a contained content by rendezvous hashing: all entries
// choose the same one, which can then allow one run at a time.
std::optional<std::size_t> ChooseSharedCandidate(
    const std::vector<PlacementCandidate>& candidates,
    const Fingerprint& content) {
  const auto rank = [&](const PlacementCandidate& candidate) {
    return HashBytes(candidate.host_, content.low_);
  };
  const auto first = std::max_element(
      candidates.begin(), candidates.end(),
      [&](const PlacementCandidate& a, const PlacementCandidate& b) {
        return rank(a) < rank(b);
      });
  if (first == candidates.end()) return std::nullopt;
  return static_cast<std::size_t>(first - candidates.begin());
}

// Sends the request to the best remaining candidate, or gives up.
// `resent_because` is why it is resent, and empty for the first send.
void SendOrGiveUp(RelayStep& step, OpenRequest& request,
                  std::string_view resent_because) {
  if (request.deadline_ <= step.now_) {
    if (request.may_have_run_) return Fail(step, request, 504, "time is up");
    return Refuse(step, request, "time is up");
  }
  if (IsKeyWithdrawn(step, request)) {
    ++step.state_.counters_.key_rejected_;
    return Fail(step, request, request.may_have_run_ ? 502 : kUnauthorized,
                "key was withdrawn");
  }
  const ContentVerdict verdict = EvaluateContentOf(step, request);
  if (verdict.standing_ == Standing::kCondemned) {
    return RefuseSuspect(step, request);
  }
  const std::vector<PlacementCandidate> candidates =
      FindCandidates(step, request);
  const bool contained = verdict.standing_ == Standing::kContained;
  // A contained content must not run on the last backend server left.
  if (contained && candidates.size() < 2) return RefuseSuspect(step, request);
  const auto chosen =
      contained ? ChooseSharedCandidate(candidates, request.content_)
                : ChooseCandidate(candidates, step.options_.placement_,
                                  {.latency_objective_ = request.objective_,
                                   .is_call_ = request.is_call_},
                                  NextUnit(step.state_.random_));
  if (!chosen) {
    return GiveUp(
        step, request,
        resent_because.empty() ? "no backend server" : resent_because);
  }
  SendTo(step, request, step.state_.peers_.at(candidates[*chosen].host_),
         resent_because);
}

// Number of runs at each service that one run of the request leads to,
// including itself.
std::map<std::string, double> CountTreeRuns(RelayStep& step,
                                            const OpenRequest& request) {
  std::map<std::string, double> runs =
      TreeRuns(step.state_.profiles_, request.route_);
  runs[request.service_] = std::max(1.0, runs[request.service_]);
  return runs;
}

// Earns retries with the first send of a request: for its service, and for a
// client's request also for all services that its call tree reaches.
void EarnRetriesForFirstSend(RelayStep& step, const OpenRequest& request) {
  RelayState& state = step.state_;
  const RetryAllowance& allowance = state.retry_allowance_;
  if (request.is_repeat_) return;
  EarnRetries(state.retries_[request.service_], allowance, step.now_,
              allowance.sender_ratio_);
  if (request.is_call_) return;
  for (const auto& [service, runs] : CountTreeRuns(step, request)) {
    EarnRetries(state.retries_[service], allowance, step.now_,
                allowance.tree_ratio_ * runs);
  }
}

// Whether the request may be sent to another backend server, which depends on
// its attempts, on whether it is idempotent, and on the retry allowance of the
// services. Spends the allowance if so, else sets no_resend_.
bool AllowResend(RelayStep& step, OpenRequest& request) {
  if (request.sends_ == 0) return true;
  if (request.may_have_run_ && !request.idempotent_) {
    request.no_resend_ = "may have run and must not run twice";
    return false;
  }
  if (request.sends_ >= request.max_attempts_) {
    request.no_resend_ = "attempts of the route are used up";
    return false;
  }
  if (EvaluateContentOf(step, request).standing_ != Standing::kTrusted) {
    request.no_resend_ = ReasonText(NotRunReason::kSuspect);
    return false;
  }
  const bool granted =
      SpendRetries(step.state_.retries_, step.state_.retry_allowance_,
                   step.now_, CountTreeRuns(step, request),
                   MaxRetryShare({.priority_ = request.priority_,
                                  .is_call_ = request.is_call_,
                                  .tree_rank_ = request.tree_rank_}));
  ++(granted ? step.state_.counters_.resends_
             : step.state_.counters_.resends_denied_);
  if (!granted) request.no_resend_ = "retries of the service are used up";
  return granted;
}

// Resends the request after `cause` if that is allowed, or gives up.
void ResendOrGiveUp(RelayStep& step, OpenRequest& request,
                    std::string_view cause) {
  if (!AllowResend(step, request)) return GiveUp(step, request, cause);
  SendOrGiveUp(step, request, cause);
}

// Updates load and slot time of a peer's backend server from a reply.
void RecordReportedLoad(Peer& peer, const RunReply& reply, const OpenSend& send,
                        Timestamp now) {
  peer.status_.running_ = reply.running_;
  peer.status_.waiting_ = reply.waiting_;
  peer.status_.start_limit_ = reply.start_limit_;
  peer.load_reported_at_ = now;
  peer.sent_since_report_ = 0;
  if (reply.outcome_ != RunOutcome::kAnswered) return;
  Duration& hold = peer.holds_[send.route_];
  hold = hold == Duration::zero() ? reply.hold_ : (hold * 7 + reply.hold_) / 8;
}

// Whether a reply counts as a failure of the backend server. It does not if the
// cause was a call that the run made.
bool IsFailure(const RunReply& reply) {
  switch (reply.outcome_) {
    case RunOutcome::kAnswered:
      return reply.response_.status_ >= 500 && !reply.calls_failed_;
    case RunOutcome::kNotRun:
      return reply.reason_ == NotRunReason::kRejected ||
             reply.reason_ == NotRunReason::kUnreachable;
    case RunOutcome::kBroken:
      return true;
    case RunOutcome::kTimedOut:
      return !reply.calls_failed_;
  }
  return false;
}

void OnNotRun(RelayStep& step, OpenRequest& request, NotRunReason reason) {
  if (reason == NotRunReason::kSuspect) return RefuseSuspect(step, request);
  // Of the sends that were not run, only those that the backend server rejected
  // have reached it and count against the attempts.
  if (reason != NotRunReason::kRejected && request.sends_ > 0) {
    --request.sends_;
  }
  ResendOrGiveUp(step, request, ReasonText(reason));
}

void OnAnswered(RelayStep& step, OpenRequest& request, RunReply& reply) {
  request.may_have_run_ = true;
  const bool retry = reply.response_.status_ >= 500 && request.idempotent_ &&
                     !reply.calls_failed_ && AllowResend(step, request);
  if (retry && !FindCandidates(step, request).empty() &&
      request.deadline_ > step.now_) {
    return SendOrGiveUp(step, request, "backend server failed");
  }
  ++step.state_.counters_.answered_;
  if (reply.response_.status_ >= 500) {
    LogOutcome(step, DecisionKind::kFailed, request, reply.response_.status_,
               reply.calls_failed_ ? "a call of the run failed"
                                   : "answer of the backend server");
  } else {
    LogOutcome(step, DecisionKind::kAnswered, request, reply.response_.status_,
               "answer of the backend server", reply.response_.body_.size());
  }
  Finish(step, request, std::move(reply.response_), false);
}

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
  const Duration usual = step.state_.demands_[route.name_].usual_time_left_;
  request.objective_at_ -= std::max(Duration::zero(), usual - remaining);
  return request;
}

// Notifies the host of the current send that its answer is no longer needed.
void CancelSend(RelayStep& step, const OpenRequest& request) {
  const auto send = step.state_.sends_.find(request.send_id_);
  if (send == step.state_.sends_.end()) return;
  if (send->second.peer_ == step.options_.address_) {
    OnRunCancel(step, 0, request.send_id_);
    return;
  }
  step.effects_.emplace_back(
      SendToPeer{.peer_ = send->second.peer_,
                 .message_ = RunCancel{.send_id_ = request.send_id_}});
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
  if (!IsAdmitted(step, request)) {
    if (!TakesOverflow(step, request)) {
      ++step.state_.counters_.refused_at_entry_;
      return Refuse(step, request, "not admitted under load");
    }
    ++step.state_.counters_.overflowed_;
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

void OnRunReply(RelayStep& step, RunReply& reply) {
  const auto found = step.state_.sends_.find(reply.send_id_);
  if (found == step.state_.sends_.end()) {
    ++step.state_.counters_.late_replies_;
    return;
  }
  const OpenSend send = found->second;
  step.state_.sends_.erase(found);
  Peer& peer = EnsurePeer(step, send.peer_);
  if (peer.in_flight_ > 0) --peer.in_flight_;
  RecordReportedLoad(peer, reply, send, step.now_);
  RecordStatement(step, peer, send.instance_, reply.stated_);
  RecordRunOutcome(step, peer, IsFailure(reply));
  const auto open = step.state_.requests_.find(send.request_id_);
  // Only the reply to the current send counts; earlier sends were abandoned.
  if (open == step.state_.requests_.end() ||
      open->second.send_id_ != reply.send_id_) {
    ++step.state_.counters_.late_replies_;
    return;
  }
  OpenRequest& request = open->second;
  request.send_id_ = 0;
  switch (reply.outcome_) {
    case RunOutcome::kAnswered:
      return OnAnswered(step, request, reply);
    case RunOutcome::kNotRun:
      return OnNotRun(step, request, reply.reason_);
    case RunOutcome::kBroken:
      request.may_have_run_ = true;
      return ResendOrGiveUp(step, request, "answer was lost or spoilt");
    case RunOutcome::kTimedOut:
      request.may_have_run_ = true;
      return Fail(step, request, 504, "backend server ran out of time");
  }
}

void OnPeerSuspected(RelayStep& step, Peer& peer) {
  std::vector<std::uint64_t> silent;
  for (const auto& [send_id, send] : step.state_.sends_) {
    if (send.peer_ == peer.address_) silent.push_back(send_id);
  }
  std::sort(silent.begin(), silent.end());
  for (const std::uint64_t send_id : silent) {
    const auto open =
        step.state_.requests_.find(step.state_.sends_.at(send_id).request_id_);
    if (open == step.state_.requests_.end()) continue;
    OpenRequest& request = open->second;
    if (!request.idempotent_ || request.send_id_ != send_id) continue;
    if (FindCandidates(step, request).empty()) continue;
    step.effects_.emplace_back(SendToPeer{
        .peer_ = peer.address_, .message_ = RunCancel{.send_id_ = send_id}});
    request.send_id_ = 0;
    request.may_have_run_ = true;
    ResendOrGiveUp(step, request, "host does not answer");
  }
}

void OnPeerLost(RelayStep& step, Peer& peer) {
  std::vector<std::uint64_t> lost;
  for (const auto& [send_id, send] : step.state_.sends_) {
    if (send.peer_ == peer.address_) lost.push_back(send_id);
  }
  std::sort(lost.begin(), lost.end());
  for (const std::uint64_t send_id : lost) {
    const auto found = step.state_.sends_.find(send_id);
    if (found == step.state_.sends_.end()) continue;
    const std::uint64_t request_id = found->second.request_id_;
    step.state_.sends_.erase(found);
    if (peer.in_flight_ > 0) --peer.in_flight_;
    const auto open = step.state_.requests_.find(request_id);
    if (open == step.state_.requests_.end()) continue;
    if (open->second.send_id_ != send_id) continue;
    open->second.send_id_ = 0;
    // The run order may have reached the peer, which may still start it.
    open->second.may_have_run_ = true;
    ResendOrGiveUp(step, open->second, "connection to the host was lost");
  }
}

}  // namespace jujubefront
