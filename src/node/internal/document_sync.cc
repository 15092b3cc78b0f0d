#include "node/internal/document_sync.h"

#include <utility>

#include "configuration/configuration.h"
#include "configuration/log_record.h"
#include "membership/membership.h"
#include "membership/rumors.h"
#include "node/internal/gossip.h"
#include "node/internal/lifecycle.h"
#include "node/internal/timers.h"

namespace jujubefront {
namespace {

void DocumentChanged(StepContext& step) {
  step.effects_.emplace_back(
      StateChange{.kind_ = ChangeKind::kDocumentChanged,
                  .number_ = step.state_.configuration_.applied_});
  ScheduleEarlyExchange(step);
}

void ApplyAnnouncement(StepContext& step, const AnnouncementRecord& record) {
  // The log does not contain the member's state. Peers report it, and any later
  // state takes precedence over joining.
  ApplyMember(step, {.name_ = record.name_,
                     .incarnation_ = record.incarnation_,
                     .state_ = MemberState::kJoining,
                     .zone_ = record.zone_,
                     .region_ = record.region_,
                     .service_ = record.service_,
                     .rpc_address_ = record.rpc_address_});
}

void ApplyRecord(StepContext& step, LogOffset offset, const LogRecord& record) {
  ConfigurationState& configuration = step.state_.configuration_;
  if (const auto* publish = std::get_if<PublishRecord>(&record)) {
    const auto verdict = ApplyPublish(configuration, offset, *publish);
    if (verdict == PublishVerdict::kAccepted) {
      step.state_.log_.document_changed_ = true;
    }
  } else if (const auto* snapshot = std::get_if<SnapshotRecord>(&record)) {
    step.state_.log_.last_snapshot_ = step.now_;
    if (ApplySnapshot(configuration, offset, *snapshot)) {
      step.state_.log_.document_changed_ = true;
    }
  } else if (const auto* joined = std::get_if<AnnouncementRecord>(&record)) {
    ApplyAnnouncement(step, *joined);
  } else if (const auto* forget = std::get_if<ForgetRecord>(&record)) {
    ForgetMember(step.state_.membership_, step.options_.membership_, step.now_,
                 forget->name_, forget->incarnation_);
    ScheduleEarlyExchange(step);
  }
}

// Detects that the log dropped records that this node has not read. Its
// document stays in force, but it cannot check publishes until it has a new
// baseline from a snapshot or a peer.
void CheckForGap(StepContext& step, const LogRead& read) {
  if (read.oldest_ <= step.state_.log_.next_) return;
  ConfigurationState& configuration = step.state_.configuration_;
  if (configuration.applied_ + 1 >= read.oldest_) return;
  configuration.has_baseline_ = false;
  configuration.first_read_ = read.oldest_;
}

bool IsSnapshotDue(const StepContext& step) {
  const ConfigurationState& configuration = step.state_.configuration_;
  if (!configuration.has_baseline_ || configuration.sections_.empty()) {
    return false;
  }
  const LogOffset since = configuration.applied_ - configuration.last_snapshot_;
  if (since <= 0) return false;
  const Duration age = step.now_ - step.state_.log_.last_snapshot_;
  return since >= step.options_.snapshot_records_ ||
         age >= step.options_.snapshot_interval_;
}

void WriteSnapshotIfDue(StepContext& step) {
  if (!IsSnapshotDue(step)) return;
  Append(step, MakeSnapshot(step.state_.configuration_));
  // Counts as the last snapshot before it is read back from the log; otherwise
  // another would be written meanwhile. If it is never read back, the next one
  // is due a whole interval later.
  step.state_.log_.last_snapshot_ = step.now_;
  step.state_.configuration_.last_snapshot_ =
      step.state_.configuration_.applied_;
}

bool NeedsLog(const StepContext& step) {
  const NodeState& state = step.state_;
  if (!state.configuration_.has_baseline_ || !state.lifecycle_.established_) {
    return true;
  }
  return IsLogReader(state.membership_, step.options_.log_readers_per_zone_);
}

void ReadFrom(StepContext& step) {
  ++step.state_.counters_.log_reads_;
  step.state_.log_.reading_ = true;
  step.effects_.emplace_back(ReadLog{.from_ = step.state_.log_.next_});
}

// Puts the replayed document into force. The intermediate documents of a replay
// never come into force, only the one at the end of the log.
void FinishReplay(StepContext& step) {
  LogReaderState& log = step.state_.log_;
  if (step.state_.configuration_.has_baseline_) log.caught_up_ = true;
  if (!std::exchange(log.document_changed_, false)) return;
  if (log.caught_up_) DocumentChanged(step);
}

}  // namespace

void ApplyPeerDocument(StepContext& step, const SnapshotRecord& document) {
  const bool changed = AdoptPeerDocument(step.state_.configuration_, document);
  if (document.as_of_ != kNoOffset) step.state_.log_.caught_up_ = true;
  if (changed) DocumentChanged(step);
}

std::uint64_t Append(StepContext& step, const LogRecord& record) {
  ++step.state_.counters_.log_appends_;
  const std::uint64_t append_id = NextId(step);
  step.effects_.emplace_back(
      AppendLog{.append_id_ = append_id, .text_ = EncodeLogRecord(record)});
  return append_id;
}

void OnLogPollTime(StepContext& step) {
  ScheduleTimer(step, step.now_ + step.options_.log_poll_interval_,
                TimerKind::kLogPoll);
  AnnounceIfDue(step);
  if (step.state_.log_.reading_ || !NeedsLog(step)) return;
  ReadFrom(step);
}

void OnLogRead(StepContext& step, const LogRead& read) {
  LogReaderState& log = step.state_.log_;
  ConfigurationState& configuration = step.state_.configuration_;
  log.reading_ = false;
  if (!log.available_) {
    log.available_ = true;
    step.effects_.emplace_back(StateChange{.kind_ = ChangeKind::kLogBack});
  }
  BeginReading(configuration, read.oldest_);
  CheckForGap(step, read);
  for (const RawRecord& raw : read.records_) {
    if (raw.offset_ < log.next_) continue;
    const auto record = DecodeLogRecord(raw.text_);
    if (record) {
      ApplyRecord(step, raw.offset_, *record);
    } else {
      CountMalformed(configuration, raw.offset_);
    }
    AdvanceTo(configuration, raw.offset_);
    log.next_ = raw.offset_ + 1;
  }
  log.next_ = std::max(log.next_, read.oldest_);
  log.reached_end_ = log.next_ >= read.next_;
  if (!log.reached_end_ && !read.records_.empty()) return ReadFrom(step);
  FinishReplay(step);
  UpdateEstablishedFromLog(step);
  WriteSnapshotIfDue(step);
}

void OnLogUnavailable(StepContext& step) {
  LogReaderState& log = step.state_.log_;
  ++step.state_.counters_.log_failures_;
  log.reading_ = false;
  if (!log.available_) return;
  log.available_ = false;
  step.effects_.emplace_back(StateChange{.kind_ = ChangeKind::kLogLost});
}

void OnLogAppended(StepContext& step, const LogAppended& appended) {
  RecordAnnouncement(step, appended);
}

}  // namespace jujubefront
