#include "soak_checks.h"

#include <algorithm>

namespace jujubefront {
namespace {

constexpr int kNoAnswer = 0;

std::string Milliseconds(Duration duration) {
  return std::to_string(duration / std::chrono::milliseconds(1)) + " ms";
}

// Whether an entry answers this status only if the request did not run.
bool SaysNotRun(int status) {
  return status == 404 || status == 421 || status == 503;
}

struct Checker {
  const SoakObservations& seen_;
  const SoakBounds& bounds_;
  std::map<std::string, std::size_t> runs_;
  std::vector<SoakViolation> violations_;

  void Report(SoakRule rule, std::string subject, std::string detail) {
    violations_.push_back({rule, std::move(subject), std::move(detail)});
  }

  // Whether an outage of the host overlaps this interval.
  bool OverlapsOutage(std::size_t host, Timestamp from, Timestamp to) const {
    return std::any_of(seen_.outages_.begin(), seen_.outages_.end(),
                       [&](const HostOutage& outage) {
                         return outage.host_ == host && outage.from_ <= to &&
                                outage.to_ >= from;
                       });
  }

  void CheckRequest(const ClientObservation& request) {
    const auto found = runs_.find(request.id_);
    const std::size_t runs = found == runs_.end() ? 0 : found->second;
    const std::string ran = std::to_string(runs) + " runs, status " +
                            std::to_string(request.status_);
    if (!request.idempotent_ && runs > 1) {
      Report(SoakRule::kAtMostOnce, request.id_, ran);
    }
    if (request.idempotent_ && runs > bounds_.max_attempts_) {
      Report(SoakRule::kMaxAttempts, request.id_, ran);
    }
    if (SaysNotRun(request.status_) && runs > 0) {
      Report(SoakRule::kNotRunIsTrue, request.id_, ran);
    }
    if (request.status_ == 503 && !request.retry_after_) {
      Report(SoakRule::kRetryAfterPresent, request.id_, ran);
    }
    if (request.status_ == 200 && (runs == 0 || !request.answer_matches_)) {
      Report(SoakRule::kAnswerMatchesRequest, request.id_, ran);
    }
    CheckTime(request);
  }

  void CheckTime(const ClientObservation& request) {
    if (request.abandoned_) return;
    const Timestamp latest = request.deadline_ + bounds_.answer_slack_;
    if (OverlapsOutage(request.host_, request.sent_at_, latest)) return;
    if (!request.ended_at_) {
      Report(SoakRule::kAnsweredInTime, request.id_, "no answer");
    } else if (*request.ended_at_ > latest) {
      Report(SoakRule::kAnsweredInTime, request.id_,
             Milliseconds(*request.ended_at_ - request.deadline_) + " late");
    } else if (request.status_ == kNoAnswer) {
      Report(SoakRule::kAnsweredInTime, request.id_, "connection ended");
    }
  }

  void CheckDrain(const DrainObservation& drain) {
    for (const RunObservation& run : seen_.runs_) {
      if (run.instance_ != drain.instance_) continue;
      const Duration after = run.at_ - drain.acknowledged_at_;
      if (after <= bounds_.drain_slack_) continue;
      Report(SoakRule::kNoRunAfterDrain, run.id_,
             run.instance_ + ", " + Milliseconds(after) + " after");
    }
  }

  // Binds the host that passed on the answer, unless it was restarted or paused
  // since.
  void CheckLeaving(
      const LeavingObservation& leaving,
      const std::map<std::string, const ClientObservation*>& requests) {
    for (const RunObservation& run : seen_.runs_) {
      if (run.instance_ != leaving.instance_) continue;
      const auto request = requests.find(run.id_);
      if (request == requests.end()) continue;
      const ClientObservation& sent = *request->second;
      if (sent.host_ != leaving.host_) continue;
      const Duration after = sent.sent_at_ - leaving.at_;
      if (after <= bounds_.drain_slack_) continue;
      if (OverlapsOutage(leaving.host_, leaving.at_, run.at_)) continue;
      Report(SoakRule::kNoRunAfterLeaving, run.id_,
             run.instance_ + ", sent " + Milliseconds(after) + " after");
    }
  }

  void CheckRateLimits() {
    for (const auto& [backend, use] : seen_.rate_limit_uses_) {
      if (use <= 1.0) continue;
      Report(SoakRule::kRateLimit, backend,
             std::to_string(use) + " of what it accepts");
    }
  }

  void CheckCrashes() {
    const auto& crashes = seen_.crashes_;
    if (crashes.size() < bounds_.min_crashes_) return;
    const Timestamp known =
        crashes[bounds_.min_crashes_ - 1].at_ + bounds_.suspicion_delay_;
    const auto late = static_cast<std::size_t>(std::count_if(
        crashes.begin(), crashes.end(),
        [&](const CrashObservation& crash) { return crash.at_ > known; }));
    if (late <= bounds_.max_late_crashes_) return;
    Report(SoakRule::kCrashingContent, crashes.back().id_,
           std::to_string(late) + " ends of " + std::to_string(crashes.size()) +
               " came late");
  }

  void CheckEnd(const ProcessEnd& end) {
    const std::string host = "host " + std::to_string(end.host_);
    if (end.killed_) return;
    if (end.crashed_ || !end.asked_to_stop_) {
      return Report(SoakRule::kNoCrash, host,
                    (end.crashed_ ? "signal " : "exit code ") +
                        std::to_string(end.exit_code_));
    }
    if (end.exit_code_ != 0 || end.took_ > bounds_.stop_limit_) {
      Report(SoakRule::kPlannedStop, host,
             "exit code " + std::to_string(end.exit_code_) + " after " +
                 Milliseconds(end.took_));
    }
  }

  void CheckVersions() {
    std::map<std::uint64_t, std::uint64_t> newest;  // by process
    for (const VersionObservation& seen : seen_.versions_) {
      std::uint64_t& version = newest[seen.process_];
      if (seen.version_ < version) {
        Report(
            SoakRule::kVersionMonotonic, "host " + std::to_string(seen.host_),
            std::to_string(version) + " to " + std::to_string(seen.version_));
      }
      version = std::max(version, seen.version_);
    }
  }
};

}  // namespace

const char* SoakRuleName(SoakRule rule) {
  switch (rule) {
    case SoakRule::kAtMostOnce:
      return "non-idempotent request ran twice";
    case SoakRule::kNotRunIsTrue:
      return "ran, though the answer says not run";
    case SoakRule::kMaxAttempts:
      return "more runs than attempts";
    case SoakRule::kAnswerMatchesRequest:
      return "answer of another request, or of none";
    case SoakRule::kAnsweredInTime:
      return "no answer by the deadline";
    case SoakRule::kRetryAfterPresent:
      return "refused without Retry-After";
    case SoakRule::kNoRunAfterDrain:
      return "run after the drain was acknowledged";
    case SoakRule::kNoRunAfterLeaving:
      return "run after an answer stated that the backend server leaves";
    case SoakRule::kRateLimit:
      return "more requests than the backend server accepts";
    case SoakRule::kCrashingContent:
      return "sent on though backend servers ended by it";
    case SoakRule::kNoFalseSuspicion:
      return "refused for ends of backend servers that it did not cause";
    case SoakRule::kPlannedStop:
      return "planned stop too long or cut off";
    case SoakRule::kNoCrash:
      return "process ended by itself";
    case SoakRule::kVersionMonotonic:
      return "configuration went back";
    case SoakRule::kRecovery:
      return "hosts do not serve after the faults";
    case SoakRule::kMemory:
      return "too much memory";
    case SoakRule::kLog:
      return "by the relays' own logs";
  }
  return "rule";
}

std::vector<SoakViolation> CheckSoak(const SoakObservations& observations,
                                     const SoakBounds& bounds) {
  Checker checker{.seen_ = observations, .bounds_ = bounds};
  for (const RunObservation& run : observations.runs_) ++checker.runs_[run.id_];
  for (const auto& request : observations.requests_) {
    checker.CheckRequest(request);
  }
  for (const auto& drain : observations.drains_) checker.CheckDrain(drain);
  for (const auto& end : observations.ends_) checker.CheckEnd(end);
  std::map<std::string, const ClientObservation*> requests;
  for (const auto& request : observations.requests_) {
    requests[request.id_] = &request;
  }
  for (const auto& leaving : observations.leavings_) {
    checker.CheckLeaving(leaving, requests);
  }
  checker.CheckRateLimits();
  checker.CheckCrashes();
  checker.CheckVersions();
  return std::move(checker.violations_);
}

}  // namespace jujubefront
