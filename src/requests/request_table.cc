#include "requests/request_table.h"

namespace jujubefront {
namespace {

std::size_t AnswerBytes(const Answer& answer) {
  return answer.body_ ? answer.body_->size() : 0;
}

// A record is kept until after the time from which its host refuses the key.
Timestamp RecordExpiry(const RequestOptions& options, const RequestKey& key) {
  return KeyTime(key) + options.resend_window_ + 2 * options.max_clock_skew_;
}

RequestRecord& RecordFor(RequestTable& table, const RequestOptions& options,
                         const RequestKey& key) {
  const auto [found, added] = table.records_.try_emplace(key);
  if (added) table.expiry_.emplace(RecordExpiry(options, key), key);
  return found->second;
}

bool IsFull(const RequestTable& table, const RequestOptions& options) {
  return table.records_.size() >= options.max_records_ ||
         table.answer_bytes_ >= options.max_answer_bytes_;
}

}  // namespace

SendDecision DecideSend(const RequestTable& table,
                        const RequestOptions& options, Timestamp now,
                        const RequestKey& key, Timestamp serving_since) {
  const RequestRecord* record = FindRecord(table, key);
  if (record != nullptr) {
    switch (record->state_) {
      case RequestState::kRunning:
        return SendDecision::kJoin;
      case RequestState::kFinished:
        return SendDecision::kReplay;
      case RequestState::kSealed:
        return SendDecision::kSealed;
    }
  }
  if (IsTooOld(options, now, key)) return SendDecision::kTooOld;
  if (IsFromFuture(options, now, key)) return SendDecision::kFromFuture;
  if (!MemoryCovers(options, serving_since, key)) {
    return SendDecision::kTooYoung;
  }
  return IsFull(table, options) ? SendDecision::kFull : SendDecision::kRun;
}

void MarkRunning(RequestTable& table, const RequestOptions& options,
                 const RequestKey& key, std::uint64_t run_id) {
  RequestRecord& record = RecordFor(table, options, key);
  record.state_ = RequestState::kRunning;
  record.run_id_ = run_id;
}

void MarkFinished(RequestTable& table, const RequestOptions& options,
                  const RequestKey& key, const Answer& answer) {
  RequestRecord& record = RecordFor(table, options, key);
  table.answer_bytes_ -= AnswerBytes(record.answer_);
  record.state_ = RequestState::kFinished;
  record.answer_ = answer;
  table.answer_bytes_ += AnswerBytes(answer);
}

void MarkSealed(RequestTable& table, const RequestOptions& options,
                const RequestKey& key) {
  if (!options.seals_) return;
  RecordFor(table, options, key).state_ = RequestState::kSealed;
}

void MarkNeverRun(RequestTable& table, const RequestKey& key) {
  // The entry in `expiry_` remains; it finds no record when it is due.
  table.records_.erase(key);
}

AskOutcome AskAndSeal(RequestTable& table, const RequestOptions& options,
                      const RequestKey& key) {
  const RequestRecord* record = FindRecord(table, key);
  if (record != nullptr) return {.record_ = record};
  if (table.records_.size() >= options.max_records_) return {};
  static const RequestRecord kUnsealed{.state_ = RequestState::kSealed};
  if (!options.seals_) return {.record_ = &kUnsealed, .newly_sealed_ = true};
  MarkSealed(table, options, key);
  return {.record_ = FindRecord(table, key), .newly_sealed_ = true};
}

const RequestRecord* FindRecord(const RequestTable& table,
                                const RequestKey& key) {
  const auto found = table.records_.find(key);
  return found == table.records_.end() ? nullptr : &found->second;
}

void ExpireRecords(RequestTable& table, Timestamp now) {
  while (!table.expiry_.empty() && table.expiry_.begin()->first <= now) {
    const RequestKey key = table.expiry_.begin()->second;
    const auto found = table.records_.find(key);
    if (found != table.records_.end()) {
      // The record of a run that has not ended must be kept.
      if (found->second.state_ == RequestState::kRunning) {
        const Timestamp again = now + std::chrono::seconds(1);
        table.expiry_.erase(table.expiry_.begin());
        table.expiry_.emplace(again, key);
        continue;
      }
      table.answer_bytes_ -= AnswerBytes(found->second.answer_);
      table.records_.erase(found);
    }
    table.expiry_.erase(table.expiry_.begin());
  }
}

std::vector<std::pair<RequestKey, Answer>> FinishedRecords(
    const RequestTable& table) {
  std::vector<std::pair<RequestKey, Answer>> finished;
  for (const auto& [key, record] : table.records_) {
    if (record.state_ != RequestState::kFinished) continue;
    finished.emplace_back(key, record.answer_);
  }
  return finished;
}

SendKind InferSendKind(const RequestOptions& options, Timestamp now,
                       const RequestKey& key) {
  const Duration first_send_age =
      options.min_resend_interval_ - 2 * options.max_clock_skew_;
  return now - KeyTime(key) < first_send_age ? SendKind::kFirst
                                             : SendKind::kResend;
}

bool IsTooOld(const RequestOptions& options, Timestamp now,
              const RequestKey& key) {
  return now - KeyTime(key) > options.resend_window_;
}

bool IsFromFuture(const RequestOptions& options, Timestamp now,
                  const RequestKey& key) {
  return KeyTime(key) - now > options.max_clock_skew_;
}

bool MemoryCovers(const RequestOptions& options, Timestamp serving_since,
                  const RequestKey& key) {
  if (serving_since == Timestamp()) return false;
  return KeyTime(key) >= serving_since + 2 * options.max_clock_skew_;
}

}  // namespace jujubefront
