#include "relay/internal/request_log.h"

#include "base/hashing.h"

namespace jujubefront {
namespace {

// The id of a call starts with the id of the request that the backend server
// works on, followed by this character.
constexpr char kIdSeparator = '.';

// Maximum number of contents in one log entry.
constexpr std::size_t kMaxLoggedContents = 64;

std::int64_t Microseconds(Duration duration) { return duration.count(); }

void AddContent(Decision& decision, const Fingerprint& content) {
  if (!content.known()) return;
  decision.inputs_.emplace_back("content", FormatFingerprint(content));
}

}  // namespace

bool IsTraced(const RelayStep& step, std::string_view trace_id) {
  if (step.options_.trace_sample_ == 0) return false;
  const std::string_view root = trace_id.substr(0, trace_id.find(kIdSeparator));
  return HashBytes(root) % step.options_.trace_sample_ == 0;
}

void LogOutcome(RelayStep& step, DecisionKind kind, const OpenRequest& request,
                int status, std::string_view why, std::size_t bytes) {
  if (kind == DecisionKind::kAnswered && !IsTraced(step, request.trace_id_)) {
    return;
  }
  Decision decision{
      .kind_ = kind,
      .trace_id_ = request.trace_id_,
      .inputs_ = {
          {"route", request.route_},
          {"service", request.service_},
          {"priority", std::int64_t{request.priority_}},
          {"status", std::int64_t{status}},
          {"why", std::string(why)},
          {"bytes", static_cast<std::int64_t>(bytes)},
          {"sends", std::int64_t{request.total_sends_}},
          {"elapsed_us", Microseconds(step.now_ - request.arrived_)},
          {"left_us", Microseconds(request.deadline_ - step.now_)},
          {"table", static_cast<std::int64_t>(step.state_.table_.version_)}}};
  AddContent(decision, request.content_);
  const auto admitted = step.state_.admitted_.find(request.route_);
  if (admitted != step.state_.admitted_.end()) {
    decision.inputs_.emplace_back("admitted", admitted->second);
  }
  if (!request.tried_.empty()) {
    decision.inputs_.emplace_back("peer", request.tried_.back());
  }
  if (!request.no_resend_.empty()) {
    decision.inputs_.emplace_back("no_resend", std::string(request.no_resend_));
  }
  step.effects_.emplace_back(std::move(decision));
}

void LogSend(RelayStep& step, const OpenRequest& request, const Peer& peer,
             std::string_view resent_because) {
  const bool again = !resent_because.empty();
  if (!again && !IsTraced(step, request.trace_id_)) return;
  Decision decision{
      .kind_ = again ? DecisionKind::kResent : DecisionKind::kSent,
      .trace_id_ = request.trace_id_,
      .inputs_ = {{"route", request.route_},
                  {"peer", peer.address_},
                  {"instance", peer.status_.instance_},
                  {"sends", std::int64_t{request.total_sends_}},
                  {"idempotent", std::int64_t{request.idempotent_}},
                  {"most_runs", std::int64_t{request.max_attempts_}},
                  {"running", std::int64_t{peer.status_.running_}},
                  {"waiting", std::int64_t{peer.status_.waiting_}},
                  {"status_age_us", Microseconds(step.now_ - peer.status_at_)},
                  {"left_us", Microseconds(request.deadline_ - step.now_)}}};
  AddContent(decision, request.content_);
  if (again) decision.inputs_.emplace_back("why", std::string(resent_because));
  step.effects_.emplace_back(std::move(decision));
}

void LogRunStarted(RelayStep& step, const OpenRun& run) {
  if (!IsTraced(step, run.order_.trace_id_)) return;
  Decision decision{
      .kind_ = DecisionKind::kRunStarted,
      .trace_id_ = run.order_.trace_id_,
      .inputs_ = {{"route", run.order_.route_},
                  {"instance", run.order_.instance_},
                  {"idempotent", std::int64_t{run.order_.idempotent_}},
                  {"waited_us", Microseconds(step.now_ - run.arrived_)},
                  {"running", std::int64_t{step.state_.running_}},
                  {"slots", std::int64_t{step.state_.backend_.slots_}}}};
  AddContent(decision, run.order_.content_);
  step.effects_.emplace_back(std::move(decision));
}

void LogRunRefused(RelayStep& step, const OpenRun& run, NotRunReason reason) {
  step.effects_.emplace_back(Decision{
      .kind_ = DecisionKind::kRunRefused,
      .trace_id_ = run.order_.trace_id_,
      .inputs_ = {
          {"route", run.order_.route_},
          {"instance", run.order_.instance_},
          {"why", std::string(ReasonText(reason))},
          {"waited_us", Microseconds(step.now_ - run.arrived_)},
          {"running", std::int64_t{step.state_.running_}},
          {"waiting",
           static_cast<std::int64_t>(step.state_.waiting_.runs_.size())},
          {"slots", std::int64_t{step.state_.backend_.slots_}},
          {"heartbeat_age_us",
           Microseconds(step.now_ - step.state_.backend_.received_at_)}}});
}

void LogRunRejected(RelayStep& step, const OpenRun& run, bool again,
                    double share) {
  const RelayState& state = step.state_;
  const auto window = state.host_retries_.find(state.backend_.service_);
  const RetryUsage use =
      window == state.host_retries_.end()
          ? RetryUsage{}
          : RetryUsageInWindow(window->second, state.host_retry_allowance_,
                               step.now_);
  step.effects_.emplace_back(Decision{
      .kind_ = DecisionKind::kRunRefused,
      .trace_id_ = run.order_.trace_id_,
      .inputs_ = {{"route", run.order_.route_},
                  {"instance", run.order_.instance_},
                  {"why", std::string(ReasonText(NotRunReason::kRejected))},
                  {"again", std::int64_t{again}},
                  {"rejections", std::int64_t{run.rejections_}},
                  {"rejected_share", state.arrivals_.rejected_share_},
                  {"retries_spent", use.spent_},
                  {"retries_bound", use.bound_},
                  {"retries_share", share},
                  {"running", std::int64_t{state.running_}},
                  {"slots", std::int64_t{state.backend_.slots_}},
                  {"heartbeat_age_us",
                   Microseconds(step.now_ - state.backend_.received_at_)}}});
}

void LogRunEnded(RelayStep& step, const OpenRun& run,
                 const Http1Response& response) {
  if (!IsTraced(step, run.order_.trace_id_)) return;
  Decision decision{
      .kind_ = DecisionKind::kRunEnded,
      .trace_id_ = run.order_.trace_id_,
      .inputs_ = {{"route", run.order_.route_},
                  {"instance", run.order_.instance_},
                  {"status", std::int64_t{response.status_}},
                  {"bytes", static_cast<std::int64_t>(response.body_.size())},
                  {"ran_us", Microseconds(step.now_ - run.started_at_)}}};
  AddContent(decision, run.order_.content_);
  step.effects_.emplace_back(std::move(decision));
}

void LogRunBroken(RelayStep& step, const OpenRun& run, std::string_view why) {
  Decision decision{
      .kind_ = DecisionKind::kRunBroken,
      .trace_id_ = run.order_.trace_id_,
      .inputs_ = {{"route", run.order_.route_},
                  {"caller", run.order_.caller_service_},
                  {"instance", run.order_.instance_},
                  {"started_at_ms", run.backend_started_at_ms_},
                  {"why", std::string(why)},
                  {"others", std::int64_t{step.state_.running_}},
                  {"ran_us", Microseconds(step.now_ - run.started_at_)}}};
  AddContent(decision, run.order_.content_);
  step.effects_.emplace_back(std::move(decision));
}

void LogBackendEnded(RelayStep& step, const std::vector<UnansweredRun>& runs) {
  std::string contents;
  for (const UnansweredRun& run : runs) {
    if (!run.content_.known()) continue;
    if (contents.size() / (kFingerprintDigits + 1) == kMaxLoggedContents) break;
    contents += (contents.empty() ? "" : " ") + FormatFingerprint(run.content_);
  }
  const EndedBackend& ended = step.state_.crash_evidence_.ended_;
  const LocalBackend& backend = step.state_.backend_;
  step.effects_.emplace_back(Decision{
      .kind_ = DecisionKind::kBackendEnded,
      .trace_id_ = {},
      .inputs_ = {{"instance", runs.front().instance_},
                  {"started_at_ms", runs.front().backend_started_at_ms_},
                  {"service", backend.service_},
                  {"how", std::string(ended.how_)},
                  {"runs", static_cast<std::int64_t>(runs.size())},
                  {"contents", contents},
                  {"heartbeat_age_us",
                   Microseconds(step.now_ - backend.received_at_)}}});
}

std::string_view ReasonText(NotRunReason reason) {
  switch (reason) {
    case NotRunReason::kNone:
      return "not run";
    case NotRunReason::kOverloaded:
      return "no slot in time";
    case NotRunReason::kExpired:
      return "waited too long for a slot";
    case NotRunReason::kOtherInstance:
      return "backend server was replaced";
    case NotRunReason::kDraining:
      return "backend server is draining";
    case NotRunReason::kUnreachable:
      return "backend server is unreachable";
    case NotRunReason::kRejected:
      return "rejected by the backend server";
    case NotRunReason::kStopping:
      return "node is stopping";
    case NotRunReason::kSuspect:
      return "backend servers ended while they ran this content";
  }
  return "not run";
}

}  // namespace jujubefront
