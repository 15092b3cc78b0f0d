#include <algorithm>
#include <utility>

#include "relay/internal/relay_step.h"
#include "relay/internal/request_log.h"

namespace jujubefront {
namespace {

// Bounds on the runs that are remembered after their end.
constexpr std::size_t kMaxUnanswered = 512;
constexpr Duration kUnansweredMemory = std::chrono::seconds(10);
// Runs that break together are reported together.
constexpr Duration kReportDelay = std::chrono::milliseconds(10);

UnansweredRun Describe(const OpenRun& run, Timestamp now) {
  return {.trace_id_ = run.order_.trace_id_,
          .instance_ = run.order_.instance_,
          .backend_started_at_ms_ = run.backend_started_at_ms_,
          .content_ = run.order_.content_,
          .caller_service_ = run.order_.caller_service_,
          .connection_id_ = run.connection_id_,
          .started_at_ = run.started_at_,
          .ended_at_ = now};
}

bool RanOn(const UnansweredRun& run, const std::string& instance,
           std::int64_t started_at_ms) {
  return run.instance_ == instance &&
         run.backend_started_at_ms_ == started_at_ms;
}

void Report(RelayStep& step, const std::vector<UnansweredRun>& runs) {
  if (runs.empty()) return;
  LogBackendEnded(step, runs);
  ChargeRuns(step, runs);
}

}  // namespace

void RecordUnansweredRun(RelayStep& step, const OpenRun& run) {
  CrashEvidence& evidence = step.state_.crash_evidence_;
  UnansweredRun noted = Describe(run, step.now_);
  const EndedBackend& ended = evidence.ended_;
  if (RanOn(noted, ended.instance_, ended.started_at_ms_)) {
    if (noted.started_at_ > ended.last_start_) return;
    if (evidence.unreported_.empty()) {
      ScheduleTimer(step, step.now_ + kReportDelay,
                    RelayTimerKind::kCrashReport);
    }
    evidence.unreported_.push_back(std::move(noted));
    return;
  }
  auto& unanswered = evidence.unanswered_;
  unanswered.push_back(std::move(noted));
  while (unanswered.size() > kMaxUnanswered ||
         step.now_ - unanswered.front().ended_at_ > kUnansweredMemory) {
    unanswered.pop_front();
  }
}

void ReportUnanswered(RelayStep& step) {
  Report(step, std::exchange(step.state_.crash_evidence_.unreported_, {}));
}

void ProbeBackendAfterBreak(RelayStep& step) {
  CrashEvidence& evidence = step.state_.crash_evidence_;
  if (!evidence.broke_at_) evidence.broke_at_ = step.now_;
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
                    std::string_view how) {
  CrashEvidence& evidence = step.state_.crash_evidence_;
  const LocalBackend& backend = step.state_.backend_;
  // Who said that it leaves may break off what it has not finished.
  if (backend.state_ == BackendState::kDraining ||
      backend.state_ == BackendState::kGone) {
    return;
  }
  const Timestamp last_start =
      std::min(window.last_start_, evidence.broke_at_.value_or(step.now_));
  // Runs that are still open have ended with it if they break, and not if they
  // turn out never to have been sent.
  evidence.ended_ = {.instance_ = backend.instance_,
                     .started_at_ms_ = backend.started_at_ms_,
                     .last_start_ = last_start,
                     .how_ = how};
  evidence.broke_at_.reset();
  std::vector<UnansweredRun> runs;
  for (UnansweredRun& run : evidence.unanswered_) {
    const bool within =
        run.ended_at_ >= window.first_end_ && run.started_at_ <= last_start;
    if (within && RanOn(run, backend.instance_, backend.started_at_ms_)) {
      runs.push_back(std::move(run));
    }
  }
  evidence.unanswered_.clear();
  if (!runs.empty()) ++step.state_.counters_.backends_ended_;
  Report(step, runs);
}

}  // namespace jujubefront
