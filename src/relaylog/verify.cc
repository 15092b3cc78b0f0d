#include "relaylog/verify.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace jujubefront {
namespace {

// What the lines about one request say together.
struct RequestView {
  std::int64_t starts_ = 0;
  std::int64_t rejected_ = 0;  // by the backend server, without having run
  bool idempotent_ = true;
  std::int64_t most_runs_ = 0;  // 0: not known
  std::vector<const LogLine*> ends_;
  std::set<std::int64_t> run_bytes_;
};

// What the lines of one host, in its own order, have said so far.
struct HostView {
  std::uint64_t version_ = 0;
  std::string service_;
  std::string stopped_instance_;  // drained or gone
};

// When requests for a service arrived, and when runs of it were repeated.
struct ServiceView {
  std::vector<Timestamp> requests_;
  std::vector<Timestamp> repeats_;
};

// Runs of one content, and the backend servers that ended during them.
struct ContentView {
  std::vector<Timestamp> starts_;
  std::map<std::string, Timestamp> ends_;  // by incarnation
  bool succeeds_ = false;
};

// How many of the sorted times lie in (from, to].
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
    for (const LogLine& line : log.records_) Take(line);
    for (const auto& [id, request] : requests_) Judge(id, request);
    for (auto& [name, content] : contents_) EvaluateContent(name, content);
    if (complete_) {
      for (auto& [name, service] : services_) JudgeRetries(name, service);
    }
    verdict_.requests_ = requests_.size();
    return std::move(verdict_);
  }

 private:
  void Report(LogRule rule, const std::string& subject, std::string detail) {
    verdict_.violations_.push_back({rule, subject, std::move(detail)});
  }

  void Take(const LogLine& line) {
    HostView& host = hosts_[line.host_];
    if (line.Number("dropped_before") > 0) complete_ = false;
    if (line.event_ == "start") {
      host = {.service_ = line.Text("service")};
      if (line.Number("trace_sample") != 1) complete_ = false;
    } else if (line.event_ == "table_changed") {
      TakeTable(line, host);
    } else if (line.event_ == "backend_ended") {
      TakeEnd(line);
    } else if (line.event_ == "backend_changed") {
      TakeBackend(line, host);
    } else if (!line.request_.empty()) {
      TakeRequest(line, requests_[line.request_], host);
    }
  }

  void TakeTable(const LogLine& line, HostView& host) {
    const auto version = static_cast<std::uint64_t>(line.Number("to"));
    if (version < host.version_) {
      Report(LogRule::kVersionNeverBack, line.host_,
             std::to_string(host.version_) + " to " + std::to_string(version));
    }
    host.version_ = version;
  }

  static void TakeBackend(const LogLine& line, HostView& host) {
    const std::string state = line.Text("to");
    if (state == "draining" || state == "gone") {
      host.stopped_instance_ = line.Text("instance");
    } else if (line.Text("instance") == host.stopped_instance_) {
      // It took its notice back, or the same one reported again.
      host.stopped_instance_.clear();
    }
  }

  void TakeEnd(const LogLine& line) {
    const std::string incarnation =
        line.Text("instance") + "/" +
        std::to_string(line.Number("started_at_ms"));
    std::istringstream contents(line.Text("contents"));
    for (std::string content; contents >> content;) {
      contents_[content].ends_.emplace(incarnation, line.common_time_);
    }
  }

  void TakeContent(const LogLine& line) {
    const std::string content = line.Text("content");
    if (content.empty()) return;
    constexpr std::int64_t kFirstFailure = 500;
    if (line.event_ == "run_started") {
      contents_[content].starts_.push_back(line.common_time_);
    } else if (line.event_ == "run_ended" &&
               line.Number("status") < kFirstFailure) {
      contents_[content].succeeds_ = true;
    }
  }

  void EvaluateContent(const std::string& name, ContentView& content) {
    if (content.succeeds_ || content.ends_.size() < options_.crashes_) return;
    std::vector<Timestamp> ends;
    for (const auto& [incarnation, at] : content.ends_) ends.push_back(at);
    std::sort(ends.begin(), ends.end());
    std::sort(content.starts_.begin(), content.starts_.end());
    const double late = CountBetween(
        content.starts_,
        ends[options_.crashes_ - 1] + options_.crashes_known_after_,
        Timestamp::max());
    if (late <= static_cast<double>(options_.starts_after_crashes_)) return;
    Report(LogRule::kCrashingContent, name,
           std::to_string(static_cast<int>(late)) + " runs after " +
               std::to_string(ends.size()) + " ends");
  }

  void TakeRequest(const LogLine& line, RequestView& request,
                   const HostView& host) {
    TakeContent(line);
    if (line.event_ == "run_started") {
      TakeStart(line, request, host);
    } else if (line.event_ == "sent" || line.event_ == "resent") {
      request.most_runs_ = line.Number("most_runs");
    } else if (line.event_ == "run_ended") {
      request.run_bytes_.insert(line.Number("bytes"));
    } else if (line.event_ == "run_refused") {
      if (line.Text("why") == "rejected by the backend server") {
        ++request.rejected_;
      }
    } else if (line.event_ == "answered" || line.event_ == "refused" ||
               line.event_ == "failed" || line.event_ == "cancelled") {
      request.ends_.push_back(&line);
      services_[line.Text("service")].requests_.push_back(
          line.common_time_ -
          std::chrono::microseconds(line.Number("elapsed_us")));
    }
  }

  void TakeStart(const LogLine& line, RequestView& request,
                 const HostView& host) {
    ++verdict_.runs_;
    if (++request.starts_ > 1) {
      services_[host.service_].repeats_.push_back(line.common_time_);
    }
    request.idempotent_ = line.Number("idempotent") != 0;
    if (!host.stopped_instance_.empty() &&
        line.Text("instance") == host.stopped_instance_) {
      Report(LogRule::kDrainHolds, line.request_,
             line.host_ + ", " + host.stopped_instance_);
    }
    if (line.fields_.contains(QLatin1String("slots")) &&
        line.Number("running") > line.Number("slots")) {
      Report(LogRule::kSlots, line.host_,
             std::to_string(line.Number("running")) + " of " +
                 std::to_string(line.Number("slots")));
    }
  }

  void Judge(const std::string& id, const RequestView& request) {
    const std::int64_t ran = request.starts_ - request.rejected_;
    const std::string runs = std::to_string(ran) + " runs";
    if (!request.idempotent_ && ran > 1) {
      Report(LogRule::kAtMostOnce, id, runs);
    }
    if (request.most_runs_ > 0 && ran > request.most_runs_) {
      Report(LogRule::kAttempts, id,
             runs + " of " + std::to_string(request.most_runs_));
    }
    if (request.ends_.size() > 1) {
      Report(LogRule::kOneEnd, id,
             std::to_string(request.ends_.size()) + " ends");
    }
    for (const LogLine* end : request.ends_) JudgeEnd(id, request, *end, ran);
  }

  void JudgeEnd(const std::string& id, const RequestView& request,
                const LogLine& end, std::int64_t ran) {
    if (end.event_ == "refused" && ran > 0) {
      Report(LogRule::kRefusalIsTrue, id, end.Text("why"));
    }
    // With more than one run it is not known whose response this is.
    const bool known = end.event_ == "answered" && request.starts_ == 1 &&
                       request.run_bytes_.size() == 1;
    if (known && *request.run_bytes_.begin() != end.Number("bytes")) {
      Report(LogRule::kWholeAnswer, id,
             std::to_string(end.Number("bytes")) + " of " +
                 std::to_string(*request.run_bytes_.begin()) + " bytes");
    }
  }

  // Demand falls when a fault begins, so that the requests of the window
  // before and of the one half a window earlier count as well.
  void JudgeRetries(const std::string& name, ServiceView& service) {
    std::sort(service.requests_.begin(), service.requests_.end());
    std::sort(service.repeats_.begin(), service.repeats_.end());
    const Duration window = options_.retry_window_;
    for (const Timestamp to : service.repeats_) {
      double requests = 0.0;
      for (const Duration back : {Duration::zero(), window / 2, window}) {
        requests = std::max(
            requests,
            CountBetween(service.requests_, to - back - window, to - back));
      }
      const double repeats = CountBetween(service.repeats_, to - window, to);
      const double most =
          options_.retry_ratio_ * requests + options_.retry_slack_;
      if (repeats <= most) continue;
      return Report(LogRule::kRetryBudget, name,
                    std::to_string(static_cast<int>(repeats)) + " of " +
                        std::to_string(static_cast<int>(most)));
    }
  }

  VerifyOptions options_;
  bool complete_ = true;  // no request lacks its lines
  std::map<std::string, RequestView> requests_;
  std::map<std::string, HostView> hosts_;
  std::map<std::string, ServiceView> services_;
  std::map<std::string, ContentView> contents_;
  LogVerification verdict_;
};

}  // namespace

const char* LogRuleName(LogRule rule) {
  switch (rule) {
    case LogRule::kAtMostOnce:
      return "non-idempotent request ran twice";
    case LogRule::kRefusalIsTrue:
      return "refused as not run, but ran";
    case LogRule::kAttempts:
      return "more runs than attempts";
    case LogRule::kDrainHolds:
      return "run after its backend server drained";
    case LogRule::kOneEnd:
      return "more than one answer";
    case LogRule::kWholeAnswer:
      return "answer of another length";
    case LogRule::kVersionNeverBack:
      return "configuration went back";
    case LogRule::kSlots:
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
