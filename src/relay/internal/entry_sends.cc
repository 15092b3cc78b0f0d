#include <algorithm>

#include "base/hashing.h"
#include "placement/placement.h"
#include "relay/internal/entry.h"
#include "relay/internal/request_log.h"
#include "retries/retry_allowance.h"

namespace jujubefront {
namespace {

constexpr int kUnauthorized = 401;

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
  if (StatesPace(peer.status_.load_report_)) {
    peer.uncovered_sends_.push_back(
        {.send_id_ = request.send_id_, .sent_at_ = step.now_});
  }
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

// Balances among hosts whose backend servers state their pace. Without any, the
// host with the earliest expected finish is chosen, with one random number.
std::optional<std::size_t> ChooseHost(
    RelayStep& step, const OpenRequest& request,
    const std::vector<PlacementCandidate>& candidates) {
  const PlacementRequest properties{.latency_objective_ = request.objective_,
                                    .is_call_ = request.is_call_};
  RandomState& random = step.state_.random_;
  const auto best = ChooseCandidate(candidates, step.options_.placement_,
                                    properties, NextUnit(random));
  if (!best) return std::nullopt;
  if (!candidates[*best].states_pace_) {
    ++step.state_.counters_.choices_earliest_finish_;
    return best;
  }
  ++step.state_.counters_.choices_balanced_;
  const double first = NextUnit(random);
  const double second = NextUnit(random);
  return ChooseBalanced(candidates, step.options_.placement_,
                        step.options_.balancing_, properties, *best,
                        {.first_ = first, .second_ = second});
}

}  // namespace

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
  const auto chosen = contained
                          ? ChooseSharedCandidate(candidates, request.content_)
                          : ChooseHost(step, request, candidates);
  if (!chosen) {
    return GiveUp(
        step, request,
        resent_because.empty() ? "no backend server" : resent_because);
  }
  SendTo(step, request, step.state_.peers_.at(candidates[*chosen].host_),
         resent_because);
}

namespace {

// Number of runs at each service that one run of the request leads to,
// including itself.
std::map<std::string, double> CountTreeRuns(RelayStep& step,
                                            const OpenRequest& request) {
  std::map<std::string, double> runs =
      TreeRuns(step.state_.profiles_, request.route_);
  runs[request.service_] = std::max(1.0, runs[request.service_]);
  return runs;
}

}  // namespace

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

namespace {

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

// Updates the load report of a peer, and the sends that the load in its reply
// does not cover: those that it had not received when it wrote the reply.
void RecordLoadReportOf(Peer& peer, const RunReply& reply) {
  peer.status_.load_report_ = reply.load_report_;
  if (!StatesPace(reply.load_report_)) return peer.uncovered_sends_.clear();
  const std::uint64_t covered = std::max(reply.last_send_id_, reply.send_id_);
  std::erase_if(peer.uncovered_sends_, [&](const UncoveredSend& send) {
    return send.send_id_ <= covered;
  });
}

// Updates load and slot time of a peer's backend server from a reply.
void RecordReportedLoad(Peer& peer, const RunReply& reply, const OpenSend& send,
                        Timestamp now) {
  peer.status_.running_ = reply.running_;
  peer.status_.waiting_ = reply.waiting_;
  peer.status_.start_limit_ = reply.start_limit_;
  peer.load_reported_at_ = now;
  peer.sent_since_report_ = 0;
  RecordLoadReportOf(peer, reply);
  if (reply.outcome_ != RunOutcome::kAnswered) return;
  Duration& hold = peer.holds_[send.route_];
  hold = hold == Duration::zero() ? reply.hold_ : (hold * 7 + reply.hold_) / 8;
  if (!StatesPace(reply.load_report_)) return;
  const double pace = *reply.load_report_->pace_;
  const auto [known, first] = peer.hold_paces_.try_emplace(send.route_, pace);
  if (!first) known->second = (known->second * 7.0 + pace) / 8.0;
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

constexpr std::size_t kMaxLargeResponses = 1024;

void RecordResponseSize(RelayStep& step, const OpenRequest& request,
                        std::size_t bytes) {
  if (!request.content_.known() || bytes <= kSmallMessageBytes) return;
  LargeResponses& large = step.state_.large_responses_;
  const auto [found, added] = large.bytes_.try_emplace(request.content_, bytes);
  found->second = bytes;
  if (!added) return;
  large.order_.push_back(request.content_);
  if (large.order_.size() <= kMaxLargeResponses) return;
  large.bytes_.erase(large.order_.front());
  large.order_.pop_front();
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
  RecordResponseSize(step, request, reply.response_.body_.size());
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

}  // namespace

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

// The run is not repeated: its next reply would need as much memory. Nor does
// it count as a failure of the host.
void OnRunReplyRefused(RelayStep& step, const RunReplyRefused& refused) {
  const auto found = step.state_.sends_.find(refused.send_id_);
  if (found == step.state_.sends_.end()) return;
  const OpenSend send = found->second;
  step.state_.sends_.erase(found);
  Peer& peer = EnsurePeer(step, send.peer_);
  if (peer.in_flight_ > 0) --peer.in_flight_;
  const auto open = step.state_.requests_.find(send.request_id_);
  if (open == step.state_.requests_.end() ||
      open->second.send_id_ != refused.send_id_) {
    return;
  }
  open->second.send_id_ = 0;
  open->second.may_have_run_ = true;
  RecordResponseSize(step, open->second, refused.bytes_);
  Fail(step, open->second, 502, "no memory for the response");
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
