#include "relaylog/verify.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace jujubefront {
namespace {

// Collected from the lines about one request.
struct RequestHistory {
  std::int64_t starts_ = 0;
  std::int64_t rejected_ = 0;  // runs that the backend server did not execute
  bool idempotent_ = true;
  std::int64_t max_runs_ = 0;  // 0: unknown
  std::vector<const LogLine*> outcomes_;
  std::set<std::int64_t> run_bytes_;
};

// State of one host after the lines read so far.
struct HostHistory {
  std::uint64_t version_ = 0;
  std::string service_;
  std::string leaving_instance_;  // instance that is draining or gone
};

// Arrival times of requests for a service, and start times of repeated runs.
struct ServiceHistory {
  std::vector<Timestamp> requests_;
  std::vector<Timestamp> repeats_;
};

// Runs of one content, and the backend server incarnations that ended during
// them.
struct ContentHistory {
  std::vector<Timestamp> starts_;
  std::map<std::string, Timestamp> crashes_;  // by backend server incarnation
  bool succeeded_ = false;
};

// Number of the sorted times that lie in (from, to].
double CountBetween(const std::vector<Timestamp>& times, Timestamp from,
                    Timestamp to) {
  const auto first = std::upper_bound(times.begin(), times.end(), from);
  const auto last = std::upper_bound(times.begin(), times.end(), to);
  return static_cast<double>(last - first);
}

class Verifier {
 public:
  explicit Verifier(const VerifyOptions& options) : options_(options) {}

  LogVerification Verify(const RelayLog& log) {
    for (const LogLine& line : log.records_) RecordLine(line);
    for (const auto& [id, request] : requests_) EvaluateRequest(id, request);
    for (auto& [name, content] : contents_) EvaluateContent(name, content);
    if (log_complete_) {
      for (auto& [name, service] : services_) EvaluateRetries(name, service);
    }
    result_.requests_ = requests_.size();
    return std::move(result_);
  }

 private:
  void AddViolation(LogRule rule, const std::string& subject,
                    std::string detail) {
    result_.violations_.push_back({rule, subject, std::move(detail)});
  }

  void RecordLine(const LogLine& line) {
    HostHistory& host = hosts_[line.host_];
    if (line.Number("dropped_before") > 0) log_complete_ = false;
    if (line.event_ == "start") {
      host = {.service_ = line.Text("service")};
      if (line.Number("trace_sample") != 1) log_complete_ = false;
    } else if (line.event_ == "table_changed") {
      RecordTable(line, host);
    } else if (line.event_ == "backend_ended") {
      RecordBackendEnd(line);
    } else if (line.event_ == "backend_changed") {
      RecordBackendState(line, host);
    } else if (!line.request_.empty()) {
      RecordRequest(line, requests_[line.request_], host);
    }
  }

  void RecordTable(const LogLine& line, HostHistory& host) {
    const auto version = static_cast<std::uint64_t>(line.Number("to"));
    if (version < host.version_) {
      AddViolation(
          LogRule::kVersionNeverDecreases, line.host_,
          std::to_string(host.version_) + " to " + std::to_string(version));
    }
    host.version_ = version;
  }

  static void RecordBackendState(const LogLine& line, HostHistory& host) {
    const std::string state = line.Text("to");
    if (state == "draining" || state == "gone") {
      host.leaving_instance_ = line.Text("instance");
    } else if (line.Text("instance") == host.leaving_instance_) {
      // The instance withdrew its notice of leaving, or reported again.
      host.leaving_instance_.clear();
    }
  }

  void RecordBackendEnd(const LogLine& line) {
    const std::string incarnation =
        line.Text("instance") + "/" +
        std::to_string(line.Number("started_at_ms"));
    std::istringstream contents(line.Text("contents"));
    for (std::string content; contents >> content;) {
      contents_[content].crashes_.emplace(incarnation, line.common_time_);
    }
  }

  void RecordContent(const LogLine& line) {
    const std::string content = line.Text("content");
    if (content.empty()) return;
    constexpr std::int64_t kFirstFailure = 500;
    if (line.event_ == "run_started") {
      contents_[content].starts_.push_back(line.common_time_);
    } else if (line.event_ == "run_ended" &&
               line.Number("status") < kFirstFailure) {
      contents_[content].succeeded_ = true;
    }
  }

  void EvaluateContent(const std::string& name, ContentHistory& content) {
    if (content.succeeded_ || content.crashes_.size() < options_.min_crashes_)
      return;
    std::vector<Timestamp> ends;
    for (const auto& [incarnation, at] : content.crashes_) ends.push_back(at);
    std::sort(ends.begin(), ends.end());
    std::sort(content.starts_.begin(), content.starts_.end());
    const double late_starts = CountBetween(
        content.starts_,
        ends[options_.min_crashes_ - 1] + options_.crash_propagation_time_,
        Timestamp::max());
    if (late_starts <= static_cast<double>(options_.max_starts_after_crashes_))
      return;
    AddViolation(LogRule::kCrashingContent, name,
                 std::to_string(static_cast<int>(late_starts)) +
                     " runs after " + std::to_string(ends.size()) + " ends");
  }

  void RecordRequest(const LogLine& line, RequestHistory& request,
                     const HostHistory& host) {
    RecordContent(line);
    if (line.event_ == "run_started") {
      RecordRunStart(line, request, host);
    } else if (line.event_ == "sent" || line.event_ == "resent") {
      request.max_runs_ = line.Number("most_runs");
    } else if (line.event_ == "run_ended") {
      request.run_bytes_.insert(line.Number("bytes"));
    } else if (line.event_ == "run_refused") {
      if (line.Text("why") == "rejected by the backend server") {
        ++request.rejected_;
      }
    } else if (line.event_ == "answered" || line.event_ == "refused" ||
               line.event_ == "failed" || line.event_ == "cancelled") {
      request.outcomes_.push_back(&line);
      services_[line.Text("service")].requests_.push_back(
          line.common_time_ -
          std::chrono::microseconds(line.Number("elapsed_us")));
    }
  }

  void RecordRunStart(const LogLine& line, RequestHistory& request,
                      const HostHistory& host) {
    ++result_.runs_;
    if (++request.starts_ > 1) {
      services_[host.service_].repeats_.push_back(line.common_time_);
    }
    request.idempotent_ = line.Number("idempotent") != 0;
    if (!host.leaving_instance_.empty() &&
        line.Text("instance") == host.leaving_instance_) {
      AddViolation(LogRule::kNoRunAfterDrain, line.request_,
                   line.host_ + ", " + host.leaving_instance_);
    }
    if (line.fields_.contains(QLatin1String("slots")) &&
        line.Number("running") > line.Number("slots")) {
      AddViolation(LogRule::kSlotLimit, line.host_,
                   std::to_string(line.Number("running")) + " of " +
                       std::to_string(line.Number("slots")));
    }
  }

  void EvaluateRequest(const std::string& id, const RequestHistory& request) {
    const std::int64_t ran = request.starts_ - request.rejected_;
    const std::string runs = std::to_string(ran) + " runs";
    if (!request.idempotent_ && ran > 1) {
      AddViolation(LogRule::kAtMostOnce, id, runs);
    }
    if (request.max_runs_ > 0 && ran > request.max_runs_) {
      AddViolation(LogRule::kMaxAttempts, id,
                   runs + " of " + std::to_string(request.max_runs_));
    }
    if (request.outcomes_.size() > 1) {
      AddViolation(LogRule::kSingleOutcome, id,
                   std::to_string(request.outcomes_.size()) + " ends");
    }
    for (const LogLine* outcome : request.outcomes_)
      EvaluateOutcome(id, request, *outcome, ran);
  }

  void EvaluateOutcome(const std::string& id, const RequestHistory& request,
                       const LogLine& outcome, std::int64_t ran) {
    if (outcome.event_ == "refused" && ran > 0) {
      AddViolation(LogRule::kRefusedWithoutRun, id, outcome.Text("why"));
    }
    // With more than one run it is unknown which run's response was returned.
    const bool comparable = outcome.event_ == "answered" &&
                            request.starts_ == 1 &&
                            request.run_bytes_.size() == 1;
    if (comparable && *request.run_bytes_.begin() != outcome.Number("bytes")) {
      AddViolation(LogRule::kAnswerLength, id,
                   std::to_string(outcome.Number("bytes")) + " of " +
                       std::to_string(*request.run_bytes_.begin()) + " bytes");
    }
  }

  // Demand falls when a fault begins, so the largest number of requests counts
  // of three windows: the one in question, and those that end half a window
  // and a whole window earlier.
  void EvaluateRetries(const std::string& name, ServiceHistory& service) {
    std::sort(service.requests_.begin(), service.requests_.end());
    std::sort(service.repeats_.begin(), service.repeats_.end());
    const Duration window = options_.retry_window_;
    for (const Timestamp to : service.repeats_) {
      double requests = 0.0;
      for (const Duration shift : {Duration::zero(), window / 2, window}) {
        requests = std::max(
            requests,
            CountBetween(service.requests_, to - shift - window, to - shift));
      }
      const double repeats = CountBetween(service.repeats_, to - window, to);
      const double max_repeats =
          options_.retry_ratio_ * requests + options_.retry_slack_;
      if (repeats <= max_repeats) continue;
      return AddViolation(LogRule::kRetryBudget, name,
                          std::to_string(static_cast<int>(repeats)) + " of " +
                              std::to_string(static_cast<int>(max_repeats)));
    }
  }

  VerifyOptions options_;
  bool log_complete_ = true;  // all requests were traced, no line was dropped
  std::map<std::string, RequestHistory> requests_;
  std::map<std::string, HostHistory> hosts_;
  std::map<std::string, ServiceHistory> services_;
  std::map<std::string, ContentHistory> contents_;
  LogVerification result_;
};

}  // namespace

const char* LogRuleName(LogRule rule) {
  switch (rule) {
    case LogRule::kAtMostOnce:
      return "non-idempotent request ran twice";
    case LogRule::kRefusedWithoutRun:
      return "refused as not run, but ran";
    case LogRule::kMaxAttempts:
      return "more runs than attempts";
    case LogRule::kNoRunAfterDrain:
      return "run after its backend server drained";
    case LogRule::kSingleOutcome:
      return "more than one answer";
    case LogRule::kAnswerLength:
      return "answer of another length";
    case LogRule::kVersionNeverDecreases:
      return "configuration went back";
    case LogRule::kSlotLimit:
      return "more runs than slots";
    case LogRule::kCrashingContent:
      return "sent on though backend servers ended by it";
    case LogRule::kRetryBudget:
      return "more repeated runs than the retry budget";
  }
  return "rule";
}

LogVerification VerifyLog(const RelayLog& log, const VerifyOptions& options) {
  return Verifier(options).Verify(log);
}

}  // namespace jujubefront
