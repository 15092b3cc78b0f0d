#include <algorithm>
#include <utility>

#include "relay/internal/relay_step.h"
#include "relay/internal/request_log.h"

namespace jujubefront {
namespace {

// Limits on the unanswered runs that are kept after their end.
constexpr std::size_t kMaxUnanswered = 512;
constexpr Duration kUnansweredTtl = std::chrono::seconds(10);
// Delay in which runs that break after the end of their backend server is known
// are collected into one report.
constexpr Duration kReportDelay = std::chrono::milliseconds(10);

UnansweredRun MakeUnansweredRun(const OpenRun& run, Timestamp now) {
  return {.trace_id_ = run.order_.trace_id_,
          .instance_ = run.order_.instance_,
          .backend_started_at_ms_ = run.backend_started_at_ms_,
          .content_ = run.order_.content_,
          .caller_service_ = run.order_.caller_service_,
          .connection_id_ = run.connection_id_,
          .started_at_ = run.started_at_,
          .ended_at_ = now};
}

bool WasRunBy(const UnansweredRun& run, const std::string& instance,
              std::int64_t started_at_ms) {
  return run.instance_ == instance &&
         run.backend_started_at_ms_ == started_at_ms;
}

void ReportRuns(RelayStep& step, const std::vector<UnansweredRun>& runs) {
  if (runs.empty()) return;
  LogBackendEnded(step, runs);
  ChargeRuns(step, runs);
}

}  // namespace

void RecordUnansweredRun(RelayStep& step, const OpenRun& run) {
  CrashEvidence& evidence = step.state_.crash_evidence_;
  UnansweredRun unanswered_run = MakeUnansweredRun(run, step.now_);
  const EndedBackend& ended = evidence.ended_;
  if (WasRunBy(unanswered_run, ended.instance_, ended.started_at_ms_)) {
    // A run that started later was sent when the incarnation had already ended.
    if (unanswered_run.started_at_ > ended.last_start_) return;
    if (evidence.unreported_.empty()) {
      ScheduleTimer(step, step.now_ + kReportDelay,
                    RelayTimerKind::kCrashReport);
    }
    evidence.unreported_.push_back(std::move(unanswered_run));
    return;
  }
  auto& unanswered = evidence.unanswered_;
  unanswered.push_back(std::move(unanswered_run));
  while (unanswered.size() > kMaxUnanswered ||
         step.now_ - unanswered.front().ended_at_ > kUnansweredTtl) {
    unanswered.pop_front();
  }
}

void ReportUnanswered(RelayStep& step) {
  ReportRuns(step, std::exchange(step.state_.crash_evidence_.unreported_, {}));
}

void ProbeBackendAfterBreak(RelayStep& step) {
  CrashEvidence& evidence = step.state_.crash_evidence_;
  if (!evidence.first_break_at_) evidence.first_break_at_ = step.now_;
  if (step.state_.backend_.state_ != BackendState::kReady) return;
  if (evidence.probing_) {
    evidence.probe_again_ = true;
    return;
  }
  evidence.probing_ = true;
  ++step.state_.counters_.backend_probes_;
  step.effects_.emplace_back(ProbeBackend{});
}

void OnBackendEnded(RelayStep& step, const EndedWindow& window,
                    std::string_view cause) {
  CrashEvidence& evidence = step.state_.crash_evidence_;
  const LocalBackend& backend = step.state_.backend_;
  // A backend server that has announced that it leaves may abort runs that are
  // still in progress, which doesn't count as a crash.
  if (backend.state_ == BackendState::kDraining ||
      backend.state_ == BackendState::kGone) {
    return;
  }
  const Timestamp last_start = std::min(
      window.last_start_, evidence.first_break_at_.value_or(step.now_));
  // Runs that are still open are attributed to this end if they break later
  // (RecordUnansweredRun), but not if they turn out never to have been sent.
  evidence.ended_ = {.instance_ = backend.instance_,
                     .started_at_ms_ = backend.started_at_ms_,
                     .last_start_ = last_start,
                     .how_ = cause};
  evidence.first_break_at_.reset();
  std::vector<UnansweredRun> runs;
  for (UnansweredRun& run : evidence.unanswered_) {
    const bool in_window =
        run.ended_at_ >= window.first_end_ && run.started_at_ <= last_start;
    if (in_window && WasRunBy(run, backend.instance_, backend.started_at_ms_)) {
      runs.push_back(std::move(run));
    }
  }
  evidence.unanswered_.clear();
  if (!runs.empty()) ++step.state_.counters_.backends_ended_;
  ReportRuns(step, runs);
}

}  // namespace jujubefront
