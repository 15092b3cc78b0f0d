#include <algorithm>

#include "base/hashing.h"
#include "relay/internal/relay_step.h"
#include "relay/internal/zone_sums.h"

namespace jujubefront {
namespace {

// The announcements of all nodes after a restore of the store are spread over
// this time, or this long for each node.
constexpr Duration kMinAnnounceSpread = std::chrono::seconds(1);
constexpr Duration kAnnounceSpacing = std::chrono::milliseconds(10);

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
  StoreState& store = step.state_.store_;
  store.retry_wait_ =
      std::clamp(store.retry_wait_ * 2, step.options_.store_retry_interval_,
                 step.options_.max_store_retry_interval_);
  const double unit = NextUnit(step.state_.random_);
  const auto wait = Duration(static_cast<std::int64_t>(
      static_cast<double>(store.retry_wait_.count()) * (0.5 + unit / 2)));
  ScheduleTimer(step, step.now_ + wait, RelayTimerKind::kStore,
                static_cast<std::uint64_t>(call));
}

// Duration of a poll. It grows with the number of polling nodes: if an outage
// makes the store lose its waiting polls, the poll of some node still ends
// soon, and peers forward the document from there.
Duration ComputePollWait(const RelayStep& step) {
  const RelayOptions& options = step.options_;
  const auto readers =
      1 + std::count_if(step.state_.peers_.begin(), step.state_.peers_.end(),
                        [](const auto& entry) {
                          return entry.second.status_.reads_store_;
                        });
  return std::clamp(options.poll_stagger_ * readers, options.min_poll_wait_,
                    options.max_poll_wait_);
}

// Whether this node polls for documents itself. Nodes of a zone that see each
// other agree on the readers (lowest address hashes); a node that sees too few
// readers becomes one.
bool IsReader(const RelayStep& step) {
  const std::uint64_t local_hash = HashBytes(step.options_.address_);
  std::uint32_t before = 0;
  for (const auto& [address, peer] : step.state_.peers_) {
    if (address == step.options_.address_ || !peer.connected_) continue;
    if (peer.suspected_ || !peer.known_ || peer.status_.leaving_) continue;
    if (peer.status_.zone_ != step.options_.zone_) continue;
    if (peer.status_.reads_store_ && HashBytes(address) < local_hash) ++before;
  }
  return before < step.options_.store_readers_per_zone_;
}

// Time since this node's latest answer of the store; -1: there was none.
std::int64_t AnswerAge(const RelayStep& step) {
  const auto& answered_at = step.state_.store_.answered_at_;
  return answered_at ? (step.now_ - *answered_at).count() : -1;
}

void RecordReaderChange(RelayStep& step, bool is_reader) {
  step.state_.store_.is_reader_ = is_reader;
  step.effects_.emplace_back(
      Decision{.kind_ = DecisionKind::kReaderChanged,
               .trace_id_ = {},
               .inputs_ = {{"reads", std::int64_t{is_reader}},
                           {"answer_age_us", AnswerAge(step)}}});
}

// Polls the store for documents after the last offset. After a failure the
// store may have come back from a copy, and the offset be given out again: the
// poll then returns at once, as only an answer shows that.
void StartPoll(RelayStep& step) {
  StoreState& store = step.state_.store_;
  store.waiting_ = true;
  ++step.state_.counters_.store_calls_;
  step.effects_.emplace_back(AwaitTable{
      .from_ = store.next_offset_.value_or(0),
      .wait_ = store.poll_at_once_ ? Duration::zero() : ComputePollWait(step)});
}

// Reads the document, and with it an offset of the store's present era.
void StartRead(RelayStep& step) {
  StoreState& store = step.state_.store_;
  if (store.reading_) return;
  store.reading_ = true;
  ++step.state_.counters_.store_calls_;
  step.effects_.emplace_back(ReadTable{});
}

void StopPoll(RelayStep& step) {
  if (!step.state_.store_.waiting_) return;
  step.state_.store_.waiting_ = false;
  step.effects_.emplace_back(AbandonPoll{});
}

// Lists this node again in a store of this era, which may have lost its entry.
// The times of all nodes are spread.
void ScheduleAnnounce(RelayStep& step, std::uint64_t era) {
  StoreState& store = step.state_.store_;
  if (store.announce_era_ == era) return;
  store.announce_era_ = era;
  const auto nodes = static_cast<std::int64_t>(step.state_.peers_.size());
  const Duration spread =
      std::max(kMinAnnounceSpread, kAnnounceSpacing * nodes);
  const double unit = NextUnit(step.state_.random_);
  ScheduleTimer(step,
                step.now_ + Duration(static_cast<std::int64_t>(
                                static_cast<double>(spread.count()) * unit)),
                RelayTimerKind::kStore,
                static_cast<std::uint64_t>(StoreCall::kAnnounce));
}

// The store came back without its latest records. Offsets of before mean
// nothing, and what this node has written may be gone.
void OnStoreRestored(RelayStep& step, std::uint64_t era) {
  StoreState& store = step.state_.store_;
  const bool was_waiting = store.waiting_;
  store.next_offset_.reset();
  StopPoll(step);
  if (was_waiting) StartRead(step);
  ScheduleAnnounce(step, era);
  if (RanksFirstInZone(step)) SaveAllCharges(step);
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

void RecordStoreAnswer(RelayStep& step) {
  StoreState& store = step.state_.store_;
  store.retry_wait_ = Duration::zero();
  store.answered_at_ = step.now_;
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
  step.state_.store_.reading_ = true;
  step.effects_.emplace_back(ReadTable{});
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
  ScheduleAnnounce(step, era);
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
          {"answer_age_us", AnswerAge(step)}}});
  state.table_ = std::move(read.table_);
  state.table_text_ = std::move(read.text_);
  step.effects_.emplace_back(
      ApplyClientLimits{.limits_ = state.table_.limits_});
  UpdateReady(step);
  if (!read.from_peer_) RecordNewDocument(step);
  BroadcastTableVersion(step, read.from_peer_);
}

void OnTableOffset(RelayStep& step, const TableOffset& offset) {
  RecordStoreAnswer(step);
  StoreState& store = step.state_.store_;
  // The poll was given up when its own answer showed a new era.
  if (offset.polled_ && !store.waiting_) return;
  if (!offset.polled_) store.reading_ = false;
  store.next_offset_ = offset.next_;
  store.waiting_ = false;
  store.poll_at_once_ = false;
  TickStore(step);
}

void TickStore(RelayStep& step) {
  StoreState& store = step.state_.store_;
  if (store.waiting_ || store.reading_) return;
  const bool is_reader = IsReader(step);
  if (is_reader != store.is_reader_) RecordReaderChange(step, is_reader);
  if (!is_reader || step.now_ < store.paused_until_) return;
  store.next_offset_ ? StartPoll(step) : StartRead(step);
}

void OnNodeAnnounced(RelayStep& step) {
  RecordStoreAnswer(step);
  ++step.state_.counters_.store_calls_;
  // Reads the list after this node's entry was written, so that of any two
  // nodes at least one sees the other.
  step.effects_.emplace_back(ReadNodes{});
}

void OnNodesRead(RelayStep& step, const NodesRead& read) {
  RecordStoreAnswer(step);
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
  const bool polled = failed.call_ == StoreCall::kAwaitTable;
  const bool reread = polled && failed.fault_ == StoreFault::kHistoryLost;
  // The poll was given up when its own answer showed a new era.
  if (polled && !store.waiting_) return;
  if (polled) store.poll_at_once_ = true;
  if (reread) {
    store.waiting_ = false;
    store.reading_ = true;
  }
  if (failed.call_ == StoreCall::kSaveCharges) OnChargesNotSaved(step);
  ScheduleRetry(step, reread ? StoreCall::kReadTable : failed.call_);
}

void RepeatStoreCall(RelayStep& step, StoreCall call) {
  if (call == StoreCall::kAwaitTable) {
    // Otherwise the poll has been given up.
    if (step.state_.store_.waiting_) StartPoll(step);
    return;
  }
  if (call == StoreCall::kSaveCharges) return SaveNextCharges(step);
  ++step.state_.counters_.store_calls_;
  if (call == StoreCall::kReadTable) step.effects_.emplace_back(ReadTable{});
  if (call == StoreCall::kAnnounce) step.effects_.emplace_back(AnnounceNode{});
  if (call == StoreCall::kReadNodes) step.effects_.emplace_back(ReadNodes{});
  if (call == StoreCall::kReadCharges) {
    step.effects_.emplace_back(ReadCharges{});
  }
}

}  // namespace jujubefront
