#include "model/report.h"

#include <algorithm>

namespace jujubefront {
namespace {

constexpr Duration kRecoveryStep = std::chrono::milliseconds(250);
constexpr double kRecoveredShare = 0.99;

bool IsOfClass(const RequestOutcome& outcome, const std::string& class_name) {
  return class_name.empty() || outcome.class_name_ == class_name;
}

bool IsWithin(Timestamp time, Timestamp from, Timestamp to) {
  return time >= from && time < to;
}

}  // namespace

double GoodputBetween(const ModelTotals& totals, Timestamp from, Timestamp to,
                      const std::string& class_name) {
  std::size_t count = 0;
  for (const RequestOutcome& outcome : totals.requests_) {
    if (!outcome.succeeded_ || !IsOfClass(outcome, class_name)) continue;
    if (IsWithin(outcome.ended_, from, to)) ++count;
  }
  return static_cast<double>(count) / InSeconds(to - from);
}

double DemandBetween(const ModelTotals& totals, Timestamp from, Timestamp to,
                     const std::string& class_name) {
  std::size_t count = 0;
  for (const RequestOutcome& outcome : totals.requests_) {
    if (!IsOfClass(outcome, class_name)) continue;
    if (IsWithin(outcome.first_sent_, from, to)) ++count;
  }
  return static_cast<double>(count) / InSeconds(to - from);
}

double FirstSendShare(const ModelTotals& totals, Timestamp from, Timestamp to) {
  std::size_t sent = 0;
  std::size_t succeeded = 0;
  for (const RequestOutcome& outcome : totals.requests_) {
    if (!IsWithin(outcome.first_sent_, from, to)) continue;
    ++sent;
    if (outcome.succeeded_ && outcome.sends_ == 1) ++succeeded;
  }
  if (sent == 0) return 0.0;
  return static_cast<double>(succeeded) / static_cast<double>(sent);
}

std::optional<Duration> RecoveryTime(const ModelTotals& totals, Timestamp from,
                                     Timestamp to, double before) {
  std::optional<Duration> recovered;
  for (Timestamp at = from; at + kRecoveryStep <= to; at += kRecoveryStep) {
    const double share = FirstSendShare(totals, at, at + kRecoveryStep);
    if (share < kRecoveredShare * before) {
      recovered.reset();
    } else if (!recovered) {
      recovered = at - from;
    }
  }
  return recovered;
}

Duration DemandExcessTime(const ModelTotals& totals, Timestamp from,
                          Timestamp to, double capacity) {
  Timestamp excess_until = from;
  auto next =
      std::lower_bound(totals.sends_at_.begin(), totals.sends_at_.end(), from);
  for (Timestamp at = from; at + kRecoveryStep <= to; at += kRecoveryStep) {
    const auto last =
        std::lower_bound(next, totals.sends_at_.end(), at + kRecoveryStep);
    const auto sends = static_cast<double>(last - next);
    if (sends > capacity * InSeconds(kRecoveryStep)) {
      excess_until = at + kRecoveryStep;
    }
    next = last;
  }
  return excess_until - from;
}

double WastedShare(const ModelTotals& totals) {
  double all = 0.0;
  double wasted = 0.0;
  for (const auto& [root, seconds] : totals.work_by_root_) {
    all += seconds;
    if (!totals.succeeded_roots_.contains(root)) wasted += seconds;
  }
  return all > 0.0 ? wasted / all : 0.0;
}

std::uint32_t MostTries(const ModelTotals& totals) {
  std::uint32_t most = 0;
  for (const auto& [root, tries] : totals.tries_by_root_) {
    most = std::max(most, tries);
  }
  return most;
}

std::vector<RequestKey> KeysRunTwice(const ModelTotals& totals,
                                     const std::vector<RequestKey>& keys) {
  std::vector<RequestKey> twice;
  for (const RequestKey& key : keys) {
    const auto found = totals.runs_.find(key);
    if (found != totals.runs_.end() && found->second.size() > 1) {
      twice.push_back(key);
    }
  }
  return twice;
}

}  // namespace jujubefront
