#include <algorithm>
#include <utility>

#include "base/hashing.h"
#include "relay/internal/relay_step.h"
#include "relay/internal/zone_sums.h"

namespace jujubefront {
namespace {

// The announcements of all nodes after a restore of the store are spread over
// this time, or this long for each node.
constexpr Duration kMinAnnounceSpread = std::chrono::seconds(1);
constexpr Duration kAnnounceSpacing = std::chrono::milliseconds(10);

// Shares of the time within which a document must be in force. A reader's poll
// lasts kPollShare; with two readers a zone has an answer in half of it. From
// an age of kMaxAgeShare on, the other nodes of the zone read themselves, the
// last one kTakeoverShare later. What is left is for that read, a repeat of it,
// and decoding.
constexpr double kPollShare = 0.6;
constexpr double kMaxAgeShare = 0.54;
constexpr double kTakeoverShare = 0.16;
// A poll whose answer is late by this counts as lost once the document may be
// too old. What is left is for a read on a new connection.
constexpr double kPollMarginShare = 0.16;
// A poll and the report of its end.
constexpr double kMaxReaderAgeShare = 0.9;

std::string_view CallName(StoreCall call) {
  switch (call) {
    case StoreCall::kReadTable:
      return "read table";
    case StoreCall::kAwaitTable:
      return "await table";
    case StoreCall::kAnnounce:
      return "announce";
    case StoreCall::kReadNodes:
      return "read nodes";
    case StoreCall::kReadCharges:
      return "read charges";
    case StoreCall::kSaveCharges:
      return "save charges";
    case StoreCall::kReadDepartures:
      return "read departures";
    case StoreCall::kSaveDepartures:
      return "save departures";
  }
  return "call";
}

std::string_view FaultName(StoreFault fault) {
  switch (fault) {
    case StoreFault::kNoAnswer:
      return "no answer";
    case StoreFault::kRefused:
      return "refused";
    case StoreFault::kHistoryLost:
      return "records are no longer kept";
    case StoreFault::kUnreadable:
      return "answer cannot be read";
  }
  return "fault";
}

// Schedules a repeat of a failed call with exponential backoff and jitter.
void ScheduleRetry(RelayStep& step, StoreCall call) {
  Duration& retry_wait = step.state_.store_.retry_waits_[call];
  retry_wait = std::clamp(retry_wait * 2, step.options_.store_retry_interval_,
                          step.options_.max_store_retry_interval_);
  const double unit = NextUnit(step.state_.random_);
  const auto wait = Duration(static_cast<std::int64_t>(
      static_cast<double>(retry_wait.count()) * (0.5 + unit / 2)));
  const Timestamp at = step.now_ + wait;
  if (call == StoreCall::kAwaitTable) step.state_.store_.poll_retry_at_ = at;
  ScheduleTimer(step, at, RelayTimerKind::kStore,
                static_cast<std::uint64_t>(call));
}

Duration ShareOf(Duration whole, double share) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(whole.count()) * share));
}

bool IsZonePeer(const RelayStep& step, const Peer& peer) {
  return peer.address_ != step.options_.address_ && peer.connected_ &&
         !peer.suspected_ && peer.known_ && !peer.status_.leaving_ &&
         peer.status_.zone_ == step.options_.zone_;
}

// Age of what is known of the store's newest document at which this node reads
// it itself. Nodes of a zone begin one after the other, so that the first one
// that gets an answer saves the others the call.
Duration MaxDocumentAge(const RelayStep& step) {
  const std::uint64_t local_hash = HashBytes(step.options_.address_);
  double nodes = 1.0;
  double rank = 0.0;
  for (const auto& [address, peer] : step.state_.peers_) {
    if (!IsZonePeer(step, peer)) continue;
    nodes += 1.0;
    if (HashBytes(address) < local_hash) rank += 1.0;
  }
  return ShareOf(step.options_.document_deadline_,
                 kMaxAgeShare + kTakeoverShare * rank / nodes);
}

struct ReadersBefore {
  std::uint32_t count_ = 0;
  std::uint64_t first_hash_ = UINT64_MAX;
  Timestamp first_as_of_;  // latest answer of the store to the first of them
};

// Readers of the zone that go before this node, by address hash. One that has
// had no answer of the store for longer than a poll takes does not count.
ReadersBefore FindReadersBefore(const RelayStep& step) {
  const Duration max_age =
      ShareOf(step.options_.document_deadline_, kMaxReaderAgeShare);
  const std::uint64_t local_hash = HashBytes(step.options_.address_);
  ReadersBefore before;
  for (const auto& [address, peer] : step.state_.peers_) {
    if (!IsZonePeer(step, peer) || !peer.status_.reads_store_) continue;
    if (!peer.document_as_of_) continue;
    if (step.now_ - *peer.document_as_of_ > max_age) continue;
    const std::uint64_t hash = HashBytes(address);
    if (hash >= local_hash) continue;
    ++before.count_;
    if (hash > before.first_hash_) continue;
    before.first_hash_ = hash;
    before.first_as_of_ = *peer.document_as_of_;
  }
  return before;
}

// Time since an answer of the store showed that this node has the newest
// document; -1: there was none.
std::int64_t AnswerAge(const RelayStep& step) {
  const auto& as_of = step.state_.store_.document_as_of_;
  return as_of ? (step.now_ - *as_of).count() : -1;
}

// Age of the latest such answer that this node knows of, to any node.
std::int64_t KnownAge(const RelayStep& step) {
  return (step.now_ - step.state_.store_.known_as_of_).count();
}

void RecordReaderChange(RelayStep& step, bool is_reader) {
  step.state_.store_.is_reader_ = is_reader;
  step.effects_.emplace_back(
      Decision{.kind_ = DecisionKind::kReaderChanged,
               .trace_id_ = {},
               .inputs_ = {{"reads", std::int64_t{is_reader}},
                           {"answer_age_us", AnswerAge(step)},
                           {"known_age_us", KnownAge(step)}}});
}

// Duration of a poll, such that the polls of a zone's readers end in equal
// intervals. A document ends them all at the same time.
Duration ComputePollWait(const RelayStep& step) {
  const Duration full = ShareOf(step.options_.document_deadline_, kPollShare);
  const ReadersBefore before = FindReadersBefore(step);
  const std::uint32_t readers = step.options_.store_readers_per_zone_;
  if (before.count_ == 0 || before.count_ >= readers) return full;
  const Duration offset = full * before.count_ / readers;
  if (!step.state_.store_.polled_in_full_) return offset;
  Duration wait = offset - (step.now_ - before.first_as_of_);
  while (wait < full / 4) wait += full;
  return wait;
}

// Polls the store for documents after the last offset. After a failure the
// store may have come back from a copy, and the offset be given out again: the
// poll then returns at once, as only an answer shows that.
void StartPoll(RelayStep& step) {
  StoreState& store = step.state_.store_;
  store.waiting_ = true;
  store.poll_wait_ =
      store.poll_at_once_ ? Duration::zero() : ComputePollWait(step);
  store.call_valid_until_ = step.now_ + store.poll_wait_;
  ++step.state_.counters_.store_calls_;
  step.effects_.emplace_back(
      AwaitTable{.from_ = store.next_offset_.value_or(0),
                 .wait_ = store.poll_wait_,
                 .new_connection_ = store.poll_at_once_});
}

void SendRead(RelayStep& step, bool is_repeat) {
  StoreState& store = step.state_.store_;
  store.call_valid_until_ = step.now_;
  ++step.state_.counters_.store_calls_;
  step.effects_.emplace_back(
      ReadTable{.new_connection_ = is_repeat || store.poll_at_once_});
}

// Reads the document, and with it an offset of the store's present era.
void StartRead(RelayStep& step) {
  StoreState& store = step.state_.store_;
  if (store.reading_) return;
  store.reading_ = true;
  SendRead(step, false);
}

// The store has answered a read or a poll for documents.
void RecordDocumentAnswer(RelayStep& step) {
  StoreState& store = step.state_.store_;
  const bool was_overdue =
      step.now_ - store.known_as_of_ >
      ShareOf(step.options_.document_deadline_, kMaxAgeShare);
  store.document_as_of_ = std::min(step.now_, store.call_valid_until_);
  store.known_as_of_ = std::max(store.known_as_of_, *store.document_as_of_);
  // Otherwise the zone's other nodes would soon read as well.
  if (was_overdue) SendStatusToZone(step);
}

void StopPoll(RelayStep& step) {
  StoreState& store = step.state_.store_;
  if (!store.waiting_) return;
  store.waiting_ = false;
  // Otherwise the repeat would run beside the next poll.
  if (store.poll_retry_at_) {
    step.state_.timers_.erase(
        {*store.poll_retry_at_, RelayTimerKind::kStore,
         static_cast<std::uint64_t>(StoreCall::kAwaitTable)});
    store.poll_retry_at_.reset();
  }
  step.effects_.emplace_back(AbandonPoll{});
}

bool IsOverdue(const RelayStep& step) {
  return step.now_ - step.state_.store_.known_as_of_ > MaxDocumentAge(step);
}

// Gives up a poll that has not ended with its wait while the document may be
// too old. The connection may be silent, which would otherwise show only when
// the call times out, too late for a read in its place. Returns true if it gave
// the poll up. The next one must start in a later step: the event of this step
// may be an answer to the poll.
bool GiveUpHangingPoll(RelayStep& step) {
  StoreState& store = step.state_.store_;
  if (!store.waiting_ || store.poll_retry_at_) return false;
  if (store.poll_wait_ == Duration::zero() || !IsOverdue(step)) return false;
  // After a pause of this process the answer may be there, and not yet read.
  const Duration late =
      step.now_ - std::max(store.call_valid_until_, step.state_.resumed_at_);
  if (late <= ShareOf(step.options_.document_deadline_, kPollMarginShare)) {
    return false;
  }
  step.effects_.emplace_back(
      Decision{.kind_ = DecisionKind::kPollGivenUp,
               .trace_id_ = {},
               .inputs_ = {{"wait_us", store.poll_wait_.count()},
                           {"late_us", late.count()},
                           {"answer_age_us", AnswerAge(step)},
                           {"known_age_us", KnownAge(step)}}});
  StopPoll(step);
  return true;
}

// Writes again what a store of this era may have lost: this node's entry and
// the departures of its backend server. The times of all nodes are spread.
void ScheduleWritesAgain(RelayStep& step, std::uint64_t era) {
  StoreState& store = step.state_.store_;
  if (store.announce_era_ == era) return;
  store.announce_era_ = era;
  const auto nodes = static_cast<std::int64_t>(step.state_.peers_.size());
  const Duration spread =
      std::max(kMinAnnounceSpread, kAnnounceSpacing * nodes);
  const Timestamp at =
      step.now_ + ShareOf(spread, NextUnit(step.state_.random_));
  ScheduleTimer(step, at, RelayTimerKind::kStore,
                static_cast<std::uint64_t>(StoreCall::kAnnounce));
  MarkDeparturesUnkept(step);
  ScheduleTimer(step, at, RelayTimerKind::kStore,
                static_cast<std::uint64_t>(StoreCall::kSaveDepartures));
}

// The store came back without its latest records. Offsets of before mean
// nothing, and what this node has written may be gone.
void OnStoreRestored(RelayStep& step, std::uint64_t era) {
  StoreState& store = step.state_.store_;
  const bool was_waiting = store.waiting_;
  store.next_offset_.reset();
  store.reads_again_ = store.reading_;
  StopPoll(step);
  if (was_waiting) StartRead(step);
  ScheduleWritesAgain(step, era);
  if (RanksFirstInZone(step)) SaveAllCharges(step);
}

// Names the connection of a call without an answer, so that a silent one can be
// told from a store that is silent.
void LogUnanswered(RelayStep& step, const StoreFailed& failed) {
  if (!failed.silence_) return;
  step.effects_.emplace_back(Decision{
      .kind_ = DecisionKind::kStoreUnanswered,
      .trace_id_ = {},
      .inputs_ = {
          {"call", std::string(CallName(failed.call_))},
          {"connection_age_us", failed.silence_->connection_age_.count()},
          {"silent_us", failed.silence_->silent_.count()},
          {"closed", std::int64_t{failed.silence_->closed_connections_}},
          {"known_age_us", KnownAge(step)}}});
}

// Delays the next poll during a burst of documents. Each document ends the
// polls of all readers, and every reader then starts a new one.
void RecordNewDocument(RelayStep& step) {
  StoreState& store = step.state_.store_;
  if (step.now_ - store.changed_at_ < step.options_.document_burst_window_) {
    store.paused_until_ = step.now_ + step.options_.document_pause_;
  }
  store.changed_at_ = step.now_;
}

}  // namespace

void RecordStoreAnswer(RelayStep& step, StoreCall call) {
  StoreState& store = step.state_.store_;
  store.retry_waits_.erase(call);
  if (store.available_) return;
  store.available_ = true;
  step.effects_.emplace_back(Decision{
      .kind_ = DecisionKind::kStoreBack,
      .trace_id_ = {},
      .inputs_ = {{"away_us", (step.now_ - store.failed_since_).count()}}});
}

void StartStore(RelayStep& step) {
  step.state_.counters_.store_calls_ += 3;
  // Before the document: without one the node runs nothing, so that in general
  // it knows the condemned contents when it runs its first request.
  step.effects_.emplace_back(ReadCharges{});
  step.effects_.emplace_back(ReadDepartures{});
  StartRead(step);
  step.effects_.emplace_back(AnnounceNode{});
}

void OnStoreEra(RelayStep& step, std::uint64_t era) {
  StoreState& store = step.state_.store_;
  if (store.era_ == era) return;
  const std::optional<std::uint64_t> before = store.era_;
  store.era_ = era;
  if (!before) {
    store.announce_era_ = era;
    return;
  }
  const auto offset = store.next_offset_
                          ? static_cast<std::int64_t>(*store.next_offset_)
                          : std::int64_t{-1};
  step.effects_.emplace_back(Decision{
      .kind_ = DecisionKind::kStoreRestored,
      .trace_id_ = {},
      .inputs_ = {
          {"from", static_cast<std::int64_t>(*before)},
          {"to", static_cast<std::int64_t>(era)},
          {"offset", offset},
          {"waiting", std::int64_t{store.waiting_}},
          {"table", static_cast<std::int64_t>(step.state_.table_.version_)}}});
  OnStoreRestored(step, era);
  // Peers that have not seen the new era may wait at an offset of before.
  if (era > store.heard_era_) BroadcastStatus(step);
}

void OnPeerStoreEra(RelayStep& step, std::uint64_t era) {
  StoreState& store = step.state_.store_;
  if (era <= store.heard_era_) return;
  store.heard_era_ = era;
  if (!store.era_ || era <= *store.era_) return;
  ScheduleWritesAgain(step, era);
  if (!store.waiting_ || !store.next_offset_) return;
  StopPoll(step);
  store.poll_at_once_ = true;
  StartPoll(step);
}

void OnTableRead(RelayStep& step, TableRead& read) {
  RelayState& state = step.state_;
  // A process never goes back to an older document.
  if (read.table_.version_ <= state.table_.version_) return;
  step.effects_.emplace_back(Decision{
      .kind_ = DecisionKind::kTableChanged,
      .trace_id_ = {},
      .inputs_ = {
          {"from", static_cast<std::int64_t>(state.table_.version_)},
          {"to", static_cast<std::int64_t>(read.table_.version_)},
          {"routes", static_cast<std::int64_t>(read.table_.routes_.size())},
          {"source", std::string(read.from_peer_ ? "peer" : "store")},
          {"peer", read.peer_},
          {"known_age_us", KnownAge(step)},
          {"answer_age_us", AnswerAge(step)}}});
  state.table_ = std::move(read.table_);
  state.table_text_ = std::move(read.text_);
  step.effects_.emplace_back(
      ApplyClientLimits{.limits_ = state.table_.limits_});
  UpdateReady(step);
  // The document names the path of health checks.
  CheckHealthInDoubt(step);
  if (!read.from_peer_) RecordNewDocument(step);
  BroadcastTableVersion(step, read.from_peer_);
}

void OnTableOffset(RelayStep& step, const TableOffset& offset) {
  RecordStoreAnswer(
      step, offset.polled_ ? StoreCall::kAwaitTable : StoreCall::kReadTable);
  StoreState& store = step.state_.store_;
  // The poll was given up when its own answer showed a new era.
  if (offset.polled_ && !store.waiting_) return;
  if (!offset.polled_) store.reading_ = false;
  if (std::exchange(store.reads_again_, false)) return StartRead(step);
  store.next_offset_ = offset.next_;
  store.waiting_ = false;
  store.poll_at_once_ = false;
  store.polled_in_full_ = offset.polled_ &&
                          store.poll_wait_ > Duration::zero() &&
                          step.now_ >= store.call_valid_until_;
  RecordDocumentAnswer(step);
  TickStore(step);
}

void OnPeerDocumentAge(RelayStep& step, const Peer& peer) {
  if (!peer.document_as_of_) return;
  if (peer.status_.table_version_ > step.state_.table_.version_) return;
  Timestamp& known = step.state_.store_.known_as_of_;
  known = std::max(known, *peer.document_as_of_);
}

void TickStore(RelayStep& step) {
  StoreState& store = step.state_.store_;
  if (GiveUpHangingPoll(step)) return;
  if (store.waiting_ || store.reading_) return;
  // Nodes of a zone that see each other agree on the readers; one that sees too
  // few becomes a reader.
  const bool is_reader =
      FindReadersBefore(step).count_ < step.options_.store_readers_per_zone_;
  if (is_reader != store.is_reader_) RecordReaderChange(step, is_reader);
  // A reader may get documents, and be unable to hand them on.
  const bool is_overdue = IsOverdue(step);
  if (!is_reader && !is_overdue) return;
  if (step.now_ < store.paused_until_) return;
  store.poll_at_once_ |= is_overdue;
  store.next_offset_ ? StartPoll(step) : StartRead(step);
}

void OnNodeAnnounced(RelayStep& step) {
  RecordStoreAnswer(step, StoreCall::kAnnounce);
  ++step.state_.counters_.store_calls_;
  // Reads the list after this node's entry was written, so that of any two
  // nodes at least one sees the other.
  step.effects_.emplace_back(ReadNodes{});
}

void OnNodesRead(RelayStep& step, const NodesRead& read) {
  RecordStoreAnswer(step, StoreCall::kReadNodes);
  step.state_.store_.nodes_listed_ = true;
  for (const std::string& address : read.addresses_) EnsurePeer(step, address);
}

void OnStoreFailed(RelayStep& step, const StoreFailed& failed) {
  StoreState& store = step.state_.store_;
  ++step.state_.counters_.store_failures_;
  if (store.available_) {
    store.available_ = false;
    store.failed_since_ = step.now_;
    step.effects_.emplace_back(
        Decision{.kind_ = DecisionKind::kStoreLost,
                 .trace_id_ = {},
                 .inputs_ = {{"call", std::string(CallName(failed.call_))},
                             {"why", std::string(FaultName(failed.fault_))},
                             {"answer_age_us", AnswerAge(step)}}});
  }
  LogUnanswered(step, failed);
  const bool polled = failed.call_ == StoreCall::kAwaitTable;
  // An answer that cannot be read would be the same at the next poll.
  const bool reread = polled && (failed.fault_ == StoreFault::kHistoryLost ||
                                 failed.fault_ == StoreFault::kUnreadable);
  // The poll was given up when its own answer showed a new era.
  if (polled && !store.waiting_) return;
  if (polled) store.poll_at_once_ = true;
  if (reread) {
    store.waiting_ = false;
    store.reading_ = true;
  }
  if (failed.call_ == StoreCall::kSaveCharges) OnChargesNotSaved(step);
  if (failed.call_ == StoreCall::kSaveDepartures) OnDeparturesNotSaved(step);
  if (failed.call_ == StoreCall::kReadDepartures) OnDeparturesNotRead(step);
  ScheduleRetry(step, reread ? StoreCall::kReadTable : failed.call_);
}

void RepeatStoreCall(RelayStep& step, StoreCall call) {
  if (call == StoreCall::kAwaitTable) {
    // Otherwise the poll has been given up.
    step.state_.store_.poll_retry_at_.reset();
    if (step.state_.store_.waiting_) StartPoll(step);
    return;
  }
  if (call == StoreCall::kSaveCharges) return SaveNextCharges(step);
  if (call == StoreCall::kSaveDepartures) return SaveUnkeptDepartures(step);
  if (call == StoreCall::kReadTable) return SendRead(step, true);
  ++step.state_.counters_.store_calls_;
  if (call == StoreCall::kAnnounce) step.effects_.emplace_back(AnnounceNode{});
  if (call == StoreCall::kReadNodes) step.effects_.emplace_back(ReadNodes{});
  if (call == StoreCall::kReadCharges) {
    step.effects_.emplace_back(ReadCharges{});
  }
  if (call == StoreCall::kReadDepartures) {
    step.effects_.emplace_back(ReadDepartures{});
  }
}

}  // namespace jujubefront
