#include <algorithm>

#include "base/hashing.h"
#include "relay/internal/relay_step.h"

namespace jujubefront {
namespace {

// Departures that a node remembers. A heartbeat is seconds late at most, and
// few incarnations start at one host in that time.
constexpr std::size_t kMaxDepartures = 8;
// Time after which a departure is acknowledged though the store does not keep
// it: a store that is away must not keep a backend server from leaving.
// Backend servers wait a second for the acknowledgement.
constexpr Duration kMaxKeepWait = std::chrono::milliseconds(500);
// Time after the start of the process from which a heartbeat is believed though
// the departures could not be read.
constexpr Duration kMaxReadWait = std::chrono::milliseconds(1500);
// Time over which the first records of nodes that start together are spread.
constexpr Duration kFirstRecordSpread = std::chrono::seconds(1);

auto FindKnown(std::vector<Departure>& known, const std::string& instance,
               std::int64_t started_at_ms) {
  return std::find_if(known.begin(), known.end(), [&](const Departure& entry) {
    return IsAbout(entry, instance, started_at_ms);
  });
}

// Adds what another announcement of the same incarnation has stated.
void Merge(BackendLeft& known, const BackendLeft& left) {
  known.sequence_ = std::max(known.sequence_, left.sequence_);
  known.gone_ |= left.gone_;
}

void LogDeparture(RelayStep& step, const Departure& departure) {
  const BackendLeft& left = departure.left_;
  step.effects_.emplace_back(Decision{
      .kind_ = DecisionKind::kDepartureRecorded,
      .trace_id_ = {},
      .inputs_ = {
          {"instance", left.instance_},
          {"started_at_ms", left.started_at_ms_},
          {"names_start", std::int64_t{!departure.covers_earlier_starts_}},
          {"sequence", static_cast<std::int64_t>(left.sequence_)},
          {"gone", std::int64_t{left.gone_}},
          {"known_instance", step.state_.backend_.instance_}}});
}

// Drops the oldest departure, but not that of the current incarnation.
void DropOldest(const LocalBackend& backend, std::vector<Departure>& known) {
  const auto oldest =
      std::find_if(known.begin(), known.end(), [&](const auto& entry) {
        return !IsAbout(entry, backend.instance_, backend.started_at_ms_);
      });
  known.erase(oldest == known.end() ? known.begin() : oldest);
}

// Answers the calls that `is_due` selects.
template <typename Predicate>
void AnswerCalls(RelayStep& step, DecisionKind why, Predicate is_due) {
  std::erase_if(step.state_.departures_.unanswered_, [&](const auto& call) {
    if (!is_due(call)) return false;
    step.effects_.emplace_back(AnswerBackend{.call_id_ = call.call_id_});
    step.effects_.emplace_back(Decision{
        .kind_ = why,
        .trace_id_ = {},
        .inputs_ = {{"instance", step.state_.backend_.instance_},
                    {"waited_us", (step.now_ - call.received_at_).count()}}});
    return true;
  });
}

void AnswerKeptDepartures(RelayStep& step) {
  const std::uint64_t kept = step.state_.departures_.kept_version_;
  AnswerCalls(step, DecisionKind::kDepartureKept,
              [&](const auto& call) { return call.version_ <= kept; });
}

void LogRead(RelayStep& step, std::string_view outcome) {
  const DepartureLog& log = step.state_.departures_;
  step.effects_.emplace_back(Decision{
      .kind_ = DecisionKind::kDeparturesRead,
      .trace_id_ = {},
      .inputs_ = {
          {"outcome", std::string(outcome)},
          {"known", static_cast<std::int64_t>(log.known_.size())},
          {"earlier_process", std::int64_t{log.had_earlier_process_}},
          {"held", std::int64_t{log.held_.has_value()}},
          {"after_us", (step.now_ - step.state_.started_at_).count()}}});
}

}  // namespace

bool IsAbout(const Departure& departure, const std::string& instance,
             std::int64_t started_at_ms) {
  const BackendLeft& left = departure.left_;
  if (left.instance_ != instance) return false;
  return left.started_at_ms_ == started_at_ms ||
         (departure.covers_earlier_starts_ &&
          started_at_ms < left.started_at_ms_);
}

bool HasLeft(const Departure& departure, const std::string& instance,
             std::int64_t started_at_ms, std::uint64_t sequence) {
  return IsAbout(departure, instance, started_at_ms) &&
         (departure.left_.gone_ || sequence <= departure.left_.sequence_);
}

const Departure* FindDeparture(const RelayState& state,
                               const std::string& instance,
                               std::int64_t started_at_ms) {
  for (const Departure& entry : state.departures_.known_) {
    if (IsAbout(entry, instance, started_at_ms)) return &entry;
  }
  return nullptr;
}

void RecordDeparture(RelayStep& step, const Departure& departure) {
  DepartureLog& log = step.state_.departures_;
  const BackendLeft& left = departure.left_;
  const auto found = FindKnown(log.known_, left.instance_, left.started_at_ms_);
  if (found != log.known_.end()) {
    // What the store keeps of it covers the heartbeats sent before.
    Merge(found->left_, left);
    return;
  }
  if (log.known_.size() >= kMaxDepartures) {
    DropOldest(step.state_.backend_, log.known_);
  }
  log.known_.push_back(departure);
  ++log.version_;
  ++step.state_.counters_.departures_recorded_;
  LogDeparture(step, departure);
  SaveUnkeptDepartures(step);
}

void RemoveDeparture(RelayStep& step, const std::string& instance,
                     std::int64_t started_at_ms) {
  auto& known = step.state_.departures_.known_;
  const auto found = FindKnown(known, instance, started_at_ms);
  if (found != known.end()) known.erase(found);
}

void AnswerWhenKept(RelayStep& step, std::uint64_t call_id) {
  if (call_id == 0) return;
  DepartureLog& log = step.state_.departures_;
  if (log.kept_version_ >= log.version_) {
    step.effects_.emplace_back(AnswerBackend{.call_id_ = call_id});
    return;
  }
  const Timestamp answer_at = step.now_ + kMaxKeepWait;
  log.unanswered_.push_back({.call_id_ = call_id,
                             .version_ = log.version_,
                             .received_at_ = step.now_,
                             .answer_at_ = answer_at});
  ScheduleTimer(step, answer_at, RelayTimerKind::kDepartureAnswer);
}

void AnswerOverdueDepartures(RelayStep& step) {
  const std::size_t before = step.state_.departures_.unanswered_.size();
  AnswerCalls(step, DecisionKind::kDepartureNotKept,
              [&](const auto& call) { return call.answer_at_ <= step.now_; });
  step.state_.counters_.departures_not_kept_ +=
      before - step.state_.departures_.unanswered_.size();
}

void OnDeparturesRead(RelayStep& step, const DeparturesRead& read) {
  RecordStoreAnswer(step, StoreCall::kReadDepartures);
  DepartureLog& log = step.state_.departures_;
  std::vector<Departure> earlier;
  std::size_t unkept = log.known_.size();
  for (const Departure& departure : read.departures_) {
    const BackendLeft& left = departure.left_;
    const auto found =
        FindKnown(log.known_, left.instance_, left.started_at_ms_);
    if (found == log.known_.end()) {
      earlier.push_back(departure);
      continue;
    }
    Merge(found->left_, left);
    --unkept;
  }
  // Peers have told of departures that the store keeps already.
  if (unkept == 0) {
    log.kept_version_ = log.version_;
    AnswerKeptDepartures(step);
  }
  log.known_.insert(log.known_.begin(), earlier.begin(), earlier.end());
  while (log.known_.size() > kMaxDepartures) {
    DropOldest(step.state_.backend_, log.known_);
  }
  log.read_ = true;
  log.decided_ = true;
  log.recorded_ |= read.recorded_;
  if (!read.recorded_) {
    log.had_earlier_process_ = false;
    // The writes of nodes that start together are spread.
    const Duration wait(static_cast<std::int64_t>(
        HashBytes(step.options_.address_) %
        static_cast<std::uint64_t>(kFirstRecordSpread.count())));
    ScheduleTimer(step, step.now_ + wait,
                  RelayTimerKind::kFirstDepartureRecord);
  }
  LogRead(step, "read");
  RecheckDeparture(step);
  ApplyHeldHeartbeat(step);
  SaveUnkeptDepartures(step);
}

void OnDeparturesNotRead(RelayStep& step) {
  DepartureLog& log = step.state_.departures_;
  if (log.decided_ || step.now_ - step.state_.started_at_ < kMaxReadWait) {
    return;
  }
  // With the store away, peers correct a late heartbeat that makes the backend
  // server ready.
  log.decided_ = true;
  LogRead(step, "not read");
  ApplyHeldHeartbeat(step);
}

void SaveUnkeptDepartures(RelayStep& step) {
  DepartureLog& log = step.state_.departures_;
  // A save replaces the record, which may hold what has not been read yet.
  if (!log.read_ || log.saving_version_) return;
  if (log.kept_version_ >= log.version_ && !log.record_due_) return;
  log.saving_version_ = log.version_;
  ++step.state_.counters_.store_calls_;
  ++step.state_.counters_.departure_writes_;
  step.effects_.emplace_back(SaveDepartures{.departures_ = log.known_});
}

void OnDeparturesSaved(RelayStep& step) {
  RecordStoreAnswer(step, StoreCall::kSaveDepartures);
  DepartureLog& log = step.state_.departures_;
  if (!log.saving_version_) return;
  log.kept_version_ = *log.saving_version_;
  log.recorded_ = true;
  log.record_due_ = false;
  log.saving_version_.reset();
  AnswerKeptDepartures(step);
  SaveUnkeptDepartures(step);
}

void WriteFirstDepartureRecord(RelayStep& step) {
  DepartureLog& log = step.state_.departures_;
  if (log.recorded_) return;
  log.record_due_ = true;
  SaveUnkeptDepartures(step);
}

void OnDeparturesNotSaved(RelayStep& step) {
  step.state_.departures_.saving_version_.reset();
}

void MarkDeparturesUnkept(RelayStep& step) {
  DepartureLog& log = step.state_.departures_;
  if (log.known_.empty()) return;
  // A save in progress may have reached the store before it was restored.
  ++log.version_;
}

}  // namespace jujubefront
