#include "relaylog/explain.h"

#include <QJsonDocument>
#include <algorithm>
#include <cstdio>

namespace jujubefront {
namespace {

// The id of a call begins with the id of the request for which a backend
// server makes it, followed by this character.
constexpr char kIdSeparator = '.';
// State changes up to this long before a decision are shown with it.
constexpr Duration kStateChangeWindow = std::chrono::seconds(10);
constexpr std::size_t kMaxStateChanges = 6;
// Broken runs of one instance within this time of each other are counted
// together, as several of them suggest a fault of the instance.
constexpr Duration kSameInstanceWindow = std::chrono::seconds(5);

bool IsRequestOrCall(const std::string& id, const std::string& request) {
  if (!id.starts_with(request)) return false;
  return id.size() == request.size() || id[request.size()] == kIdSeparator;
}

// Sorts steps with the same common time, by the order in which the steps of
// one attempt happen.
int StepRank(const std::string& event) {
  static const char* const kOrder[] = {"sent",        "resent",
                                       "run_refused", "run_started",
                                       "run_broken",  "run_ended"};
  for (int i = 0; i < 6; ++i) {
    if (event == kOrder[i]) return i;
  }
  return 6;
}

bool IsOutcome(const LogLine& record) {
  return record.event_ == "answered" || record.event_ == "refused" ||
         record.event_ == "failed" || record.event_ == "cancelled";
}

class Explainer {
 public:
  Explainer(const RelayLog& log, Explanation& explanation)
      : log_(log), explanation_(explanation) {}

  void Explain(const std::string& request) {
    const LogLine* end = FindOutcome(request);
    if (end == nullptr)
      return AddCause("the end of " + request + " is not logged");
    AddCause(request + ": " + end->event_ + " at " + end->host_ +
             " with status " + std::to_string(end->Number("status")) + ", " +
             end->Text("why") + LastPeer(*end) + ResendDenial(*end));
    const std::string why = end->Text("why");
    if (why == "not admitted under load") return ExplainAdmission(*end);
    if (why == "a call of the run failed") return ExplainCalls(request);
    if (ExplainRuns(request)) return;
    if (why == "no backend server" || why == "host does not answer" ||
        why == "connection to the host was lost" ||
        why == "no routing document yet") {
      return AddStateChanges(*end, [](const LogLine& record) {
        return record.event_ == "backend_changed" ||
               record.event_ == "peer_changed" ||
               record.event_ == "table_changed" ||
               record.event_ == "store_lost";
      });
    }
    if (end->Number("status") == 504) ExplainCalls(request);
  }

 private:
  void AddCause(std::string line) {
    explanation_.causes_.push_back(std::move(line));
  }

  // The peer to which the request was sent last: by the name of its host if
  // that host's start is logged, else by its address.
  std::string LastPeer(const LogLine& end) const {
    const std::string peer = end.Text("peer");
    if (peer.empty()) return "";
    for (const LogLine& line : log_.records_) {
      if (line.event_ == "start" && line.Text("address") == peer) {
        return "; sent last to " + line.host_;
      }
    }
    return "; sent last to " + peer;
  }

  static std::string ResendDenial(const LogLine& end) {
    const std::string denied = end.Text("no_resend");
    return denied.empty() ? "" : " (not sent again: " + denied + ")";
  }

  const LogLine* FindOutcome(const std::string& request) const {
    const LogLine* end = nullptr;
    for (const LogLine& step : explanation_.steps_) {
      if (step.request_ == request && IsOutcome(step)) end = &step;
    }
    return end;
  }

  void ExplainAdmission(const LogLine& end) {
    const std::string route = end.Text("route");
    char text[160];
    std::snprintf(text, sizeof(text),
                  "%s admits %.0f%% of route %s, priority %lld, given the "
                  "demand and the capacity of the region",
                  end.host_.c_str(), 100.0 * end.Real("admitted"),
                  route.c_str(),
                  static_cast<long long>(end.Number("priority")));
    AddCause(text);
    AddStateChanges(end, [&](const LogLine& record) {
      return record.event_ == "admission_changed" &&
             record.Text("route") == route;
    });
  }

  // Explains the refused and broken runs of the request; false if there are
  // none.
  bool ExplainRuns(const std::string& request) {
    bool found = false;
    for (const LogLine& step : explanation_.steps_) {
      if (step.request_ != request) continue;
      if (step.event_ == "run_refused") {
        found = true;
        AddCause("  " + step.host_ + " did not run it: " + step.Text("why") +
                 ", " + std::to_string(step.Number("running")) + " of " +
                 std::to_string(step.Number("slots")) + " slots in use, " +
                 std::to_string(step.Number("waiting")) + " waiting");
      } else if (step.event_ == "run_broken") {
        found = true;
        ExplainBrokenRun(step);
      }
    }
    return found;
  }

  void ExplainBrokenRun(const LogLine& broken) {
    const std::string instance = broken.Text("instance");
    const auto same = std::count_if(
        log_.records_.begin(), log_.records_.end(), [&](const LogLine& record) {
          return record.event_ == "run_broken" &&
                 record.Text("instance") == instance &&
                 std::chrono::abs(record.common_time_ - broken.common_time_) <
                     kSameInstanceWindow;
        });
    AddCause("  run at " + broken.host_ + ", instance " + instance + ": " +
             broken.Text("why") + " after " +
             std::to_string(broken.Number("ran_us") / 1000) + " ms; " +
             std::to_string(same) + " broken runs of this instance within 5 s");
    AddStateChanges(broken, [](const LogLine& record) {
      return record.event_ == "backend_changed";
    });
  }

  // Explains the earliest failed or refused call made for the request.
  void ExplainCalls(const std::string& request) {
    const LogLine* first = nullptr;
    for (const LogLine& step : explanation_.steps_) {
      const bool call = step.request_.size() > request.size() &&
                        IsRequestOrCall(step.request_, request);
      const bool bad = step.event_ == "failed" || step.event_ == "refused";
      if (!call || !bad || first != nullptr) continue;
      first = &step;
    }
    if (first == nullptr) {
      return AddCause("  no failed call is logged under this id");
    }
    // The earliest is the deepest: a call that failed because of a call it made
    // ended after that one.
    Explain(first->request_);
  }

  // Adds the last matching lines that the same host wrote before a decision.
  template <typename Matches>
  void AddStateChanges(const LogLine& decision, Matches matches) {
    std::vector<LogLine> found;
    for (const LogLine& record : log_.records_) {
      if (record.host_ != decision.host_ || !matches(record)) continue;
      const Duration before = decision.host_time_ - record.host_time_;
      if (before < Duration::zero() || before > kStateChangeWindow) continue;
      found.push_back(record);
    }
    if (found.size() > kMaxStateChanges) {
      found.erase(found.begin(),
                  found.end() - static_cast<std::ptrdiff_t>(kMaxStateChanges));
    }
    std::move(found.begin(), found.end(),
              std::back_inserter(explanation_.state_changes_));
  }

  const RelayLog& log_;
  Explanation& explanation_;
};

std::string FormatRecord(const LogLine& record, Timestamp start) {
  QJsonObject rest = record.fields_;
  for (const char* shown : {"event", "request", "at_us", "time_ms"}) {
    rest.remove(QLatin1String(shown));
  }
  char head[64];
  std::snprintf(
      head, sizeof(head), "%10.3f ms  ",
      static_cast<double>((record.common_time_ - start).count()) / 1e3);
  return head + record.host_ + "  " + record.event_ +
         (record.request_.empty() ? "" : "  " + record.request_) + "  " +
         QJsonDocument(rest).toJson(QJsonDocument::Compact).toStdString() +
         "\n";
}

}  // namespace

Explanation ExplainRequest(const RelayLog& log, const std::string& request) {
  Explanation explanation;
  for (const LogLine& record : log.records_) {
    if (IsRequestOrCall(record.request_, request))
      explanation.steps_.push_back(record);
  }
  explanation.found_ = !explanation.steps_.empty();
  std::stable_sort(explanation.steps_.begin(), explanation.steps_.end(),
                   [](const LogLine& a, const LogLine& b) {
                     if (a.common_time_ != b.common_time_) {
                       return a.common_time_ < b.common_time_;
                     }
                     return StepRank(a.event_) < StepRank(b.event_);
                   });
  if (explanation.found_) Explainer(log, explanation).Explain(request);
  return explanation;
}

std::string FormatExplanation(const Explanation& explanation) {
  if (!explanation.found_) return "no line mentions this request\n";
  const Timestamp start = explanation.steps_.front().common_time_;
  std::string text = "steps\n";
  for (const LogLine& step : explanation.steps_) {
    text += FormatRecord(step, start);
  }
  text += "\ncause\n";
  for (const std::string& cause : explanation.causes_) {
    text += "  " + cause + "\n";
  }
  if (explanation.state_changes_.empty()) return text;
  text += "\nstate changes before it\n";
  for (const LogLine& change : explanation.state_changes_) {
    text += FormatRecord(change, start);
  }
  return text;
}

}  // namespace jujubefront
