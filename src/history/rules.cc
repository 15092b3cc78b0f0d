#include <algorithm>
#include <set>

#include "history/history.h"

namespace jujubefront {
namespace {

using Events = std::vector<HistoryEvent>;

std::string FieldOf(const HistoryEvent& event, const std::string& name) {
  const auto found = event.fields_.find(name);
  return found == event.fields_.end() ? "" : found->second;
}

// Events of one key.
struct KeyHistory {
  bool idempotent_ = false;
  std::vector<const HistoryEvent*> runs_;     // at backend servers
  std::vector<const HistoryEvent*> replies_;  // received by its caller
  std::string last_attempt_;                  // sent by its caller
};

using Keys = std::map<std::string, KeyHistory>;

Keys CollectKeys(const Events& events, HistoryReport& report) {
  Keys keys;
  for (const HistoryEvent& event : events) {
    const std::string key = FieldOf(event, "key");
    if (key.empty()) continue;
    if (event.event_ == "backend") {
      keys[key].runs_.push_back(&event);
      ++report.runs_;
    } else if (event.event_ == "run") {
      keys[key].idempotent_ = FieldOf(event, "idempotent") == "1";
    } else if (event.event_ == "send") {
      keys[key].last_attempt_ = FieldOf(event, "attempt");
      ++report.sends_;
      if (FieldOf(event, "attempt") != "0") ++report.resends_;
    } else if (event.event_ == "reply") {
      keys[key].replies_.push_back(&event);
      ++report.verdicts_[FieldOf(event, "verdict")];
    }
  }
  report.keys_ = keys.size();
  return keys;
}

void EvaluateReply(const std::string& key, const KeyHistory& history,
                   const HistoryEvent& reply, HistoryReport& report) {
  const std::string verdict = FieldOf(reply, "verdict");
  const bool ran = !history.runs_.empty();
  const bool latest = FieldOf(reply, "attempt") == history.last_attempt_;
  if (verdict == "not-run" && latest && ran) {
    report.violations_.push_back({Rule::kNotRunIsTrue, key, reply.source_});
  }
  if (verdict != "finished") return;
  if (!ran) {
    report.violations_.push_back({Rule::kFinishedRan, key, reply.source_});
  }
  if (FieldOf(reply, "own") == "0") {
    report.violations_.push_back({Rule::kOwnWholeAnswer, key, reply.source_});
  }
}

void EvaluateKeys(const Keys& keys, HistoryReport& report) {
  for (const auto& [key, history] : keys) {
    if (!history.idempotent_ && history.runs_.size() > 1) {
      report.violations_.push_back(
          {Rule::kRunsAtMostOnce, key,
           std::to_string(history.runs_.size()) + " runs"});
    }
    for (const HistoryEvent* reply : history.replies_) {
      EvaluateReply(key, history, *reply, report);
    }
  }
}

// Tracks the state of each node over time. The journals of one node may contain
// several processes.
void EvaluateNodes(const Events& events, const HistoryBounds& bounds,
                   HistoryReport& report) {
  std::map<std::string, Timestamp> leaving_since;
  std::map<std::string, std::int64_t> document;
  for (const HistoryEvent& event : events) {
    const std::string node = FieldOf(event, "node");
    if (event.event_ == "run" && leaving_since.contains(node) &&
        event.at_ > leaving_since[node] + bounds.leaving_) {
      report.violations_.push_back(
          {Rule::kNoWorkAfterLeaving, node, FieldOf(event, "key")});
    }
    if (event.event_ != "state") continue;
    const std::string change = FieldOf(event, "change");
    const std::string number = FieldOf(event, "number");
    if (change == "serving") {
      leaving_since.erase(node);
    } else if (change == "leaving") {
      leaving_since[node] = event.at_;
    } else if (change == "stopped") {
      if (number != "0") {
        report.violations_.push_back({Rule::kStopCutsNothing, node, number});
      }
      leaving_since.erase(node);
      document.erase(node);
    } else if (change == "document") {
      const std::int64_t offset = std::stoll(number);
      const auto before = document.find(node);
      if (before != document.end() && offset < before->second) {
        report.violations_.push_back(
            {Rule::kDocumentNeverReverts, node, number});
      }
      document[node] = offset;
    }
  }
}

// True when the node reports this document, or a newer one, by the given time.
// Nodes that were down for a part of the time are not exempt.
bool IsInForce(const Events& events, const std::string& node,
               std::int64_t offset, Timestamp by) {
  return std::any_of(events.begin(), events.end(),
                     [&](const HistoryEvent& event) {
                       return event.event_ == "state" && event.at_ <= by &&
                              FieldOf(event, "node") == node &&
                              FieldOf(event, "change") == "document" &&
                              std::stoll(FieldOf(event, "number")) >= offset;
                     });
}

void EvaluatePublishes(const Events& events, const HistoryBounds& bounds,
                       HistoryReport& report) {
  std::set<std::string> nodes;
  for (const HistoryEvent& event : events) {
    if (event.event_ == "watch") nodes.insert(FieldOf(event, "node"));
  }
  for (const HistoryEvent& event : events) {
    if (event.event_ != "publish") continue;
    const std::int64_t offset = std::stoll(FieldOf(event, "offset"));
    for (const std::string& node : nodes) {
      if (IsInForce(events, node, offset, event.at_ + bounds.document_)) {
        continue;
      }
      report.violations_.push_back(
          {Rule::kDocumentInForce, node, std::to_string(offset)});
    }
  }
}

}  // namespace

std::string_view RuleName(Rule rule) {
  switch (rule) {
    case Rule::kRunsAtMostOnce:
      return "runs-at-most-once";
    case Rule::kNotRunIsTrue:
      return "not-run-is-true";
    case Rule::kFinishedRan:
      return "finished-ran";
    case Rule::kOwnWholeAnswer:
      return "own-whole-answer";
    case Rule::kNoWorkAfterLeaving:
      return "no-work-after-leaving";
    case Rule::kStopCutsNothing:
      return "stop-cuts-nothing";
    case Rule::kDocumentNeverReverts:
      return "document-never-reverts";
    case Rule::kDocumentInForce:
      return "document-in-force";
  }
  return "invalid";
}

HistoryReport EvaluateHistory(Events events, const HistoryBounds& bounds) {
  std::stable_sort(events.begin(), events.end(),
                   [](const HistoryEvent& a, const HistoryEvent& b) {
                     return a.at_ < b.at_;
                   });
  HistoryReport report{.events_ = events.size()};
  EvaluateKeys(CollectKeys(events, report), report);
  EvaluateNodes(events, bounds, report);
  EvaluatePublishes(events, bounds, report);
  return report;
}

}  // namespace jujubefront
