#include <algorithm>
#include <utility>

#include "relay/internal/relay_step.h"
#include "relay/internal/request_log.h"

namespace jujubefront {
namespace {

// Bounds on the runs that are remembered after their end.
constexpr std::size_t kMaxUnanswered = 512;
constexpr Duration kUnansweredMemory = std::chrono::seconds(10);

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

bool RanOn(const UnansweredRun& run, const OwnBackend& backend) {
  return run.instance_ == backend.instance_ &&
         run.backend_started_at_ms_ == backend.started_at_ms_;
}

}  // namespace

void NoteUnanswered(RelayStep& step, const OpenRun& run) {
  if (run.backend_ended_) return;
  auto& unanswered = step.state_.crash_evidence_.unanswered_;
  unanswered.push_back(Describe(run, step.now_));
  while (unanswered.size() > kMaxUnanswered ||
         step.now_ - unanswered.front().ended_at_ > kUnansweredMemory) {
    unanswered.pop_front();
  }
}

void SuspectEnd(RelayStep& step) {
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

void OnBackendEnded(RelayStep& step, Timestamp since, std::string_view how) {
  RelayState& state = step.state_;
  const OwnBackend& backend = state.backend_;
  // Who said that it leaves may break off what it has not finished.
  if (backend.state_ == BackendState::kDraining ||
      backend.state_ == BackendState::kGone) {
    return;
  }
  std::vector<UnansweredRun> runs;
  for (auto& [run_id, run] : state.runs_) {
    if (!run.started_ || run.backend_ended_) continue;
    UnansweredRun open = Describe(run, step.now_);
    if (!RanOn(open, backend)) continue;
    run.backend_ended_ = true;
    runs.push_back(std::move(open));
  }
  std::sort(runs.begin(), runs.end(),
            [](const UnansweredRun& a, const UnansweredRun& b) {
              return a.trace_id_ < b.trace_id_;
            });
  auto& unanswered = state.crash_evidence_.unanswered_;
  for (const UnansweredRun& run : unanswered) {
    if (run.ended_at_ >= since && RanOn(run, backend)) runs.push_back(run);
  }
  std::erase_if(unanswered,
                [&](const UnansweredRun& run) { return RanOn(run, backend); });
  // What began after the end found a dead connection, and caused nothing.
  const auto broke_at = std::exchange(state.crash_evidence_.broke_at_, {});
  if (broke_at) {
    std::erase_if(runs, [&](const UnansweredRun& run) {
      return run.started_at_ > *broke_at;
    });
  }
  if (runs.empty()) return;
  ++state.counters_.backends_ended_;
  LogBackendEnded(step, how, runs);
  ChargeRuns(step, runs);
}

}  // namespace jujubefront
