#include "base/hashing.h"
#include "relay/tests/relay_harness.h"

namespace jujubefront {
namespace {

using std::chrono::milliseconds;

// Addresses of peers that go before the harness's node as readers.
std::vector<std::string> EarlierReaders(std::size_t count) {
  const std::uint64_t local =
      HashBytes(RelayHarness::DefaultOptions().address_);
  std::vector<std::string> addresses;
  for (int i = 2; addresses.size() < count; ++i) {
    const std::string address = "10.0.0." + std::to_string(i) + ":7000";
    if (HashBytes(address) < local) addresses.push_back(address);
  }
  return addresses;
}

// A node of a zone with readers that go before it, which has read document 3.
class ReaderHarness : public RelayHarness {
 public:
  explicit ReaderHarness(std::size_t readers)
      : addresses_(EarlierReaders(readers)) {
    Feed(TableOffset{.next_ = 12});
    LoadTable(3);
    for (std::size_t i = 0; i < addresses_.size(); ++i) {
      AddPeer(addresses_[i], i + 1);
    }
    Report(Duration::zero(), 3);
    // The poll that was started before the peers were known.
    Feed(TableOffset{.next_ = 12, .polled_ = true});
    Take<AwaitTable>();
    Take<SendToPeer>();
  }

  // The readers report when the store last answered them.
  void Report(std::optional<Duration> age, std::uint64_t version) {
    for (std::size_t i = 0; i < addresses_.size(); ++i) {
      HostStatus status = this->state().peers_.at(addresses_[i]).status_;
      status.sent_at_ = now().time_since_epoch();
      status.table_version_ = version;
      status.reads_store_ = true;
      status.document_age_ = age;
      Feed(LinkReceived{.connection_id_ = i + 1, .message_ = status});
    }
  }

 private:
  std::vector<std::string> addresses_;
};

class StoreReaderTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreReaderTests);
  CPPUNIT_TEST(NodesReadThemselvesWhenReadersGetNoAnswers);
  CPPUNIT_TEST(PollsOfAZoneEndInEqualIntervals);
  CPPUNIT_TEST(LateAnswersDoNotCountAsNew);
  CPPUNIT_TEST(OverdueNodesReadOnNewConnections);
  CPPUNIT_TEST(RepeatsOfAPollThatIsGivenUpAreCancelled);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A reader that waits at a silent store is connected, and reports that it
  // reads. Who relies on it must notice that it no longer gets answers.
  void NodesReadThemselvesWhenReadersGetNoAnswers() {
    struct Row {
      const char* name_;
      bool answered_;          // the store answers the readers
      bool states_age_;        // an older build does not
      std::uint64_t version_;  // of the readers' document, never handed on
      bool reads_;
      bool at_once_;  // otherwise it becomes a reader that waits
    };
    const Row rows[] = {
        {"readers get answers", true, true, 3, false, false},
        {"readers get no answers", false, true, 3, true, true},
        {"readers state nothing", true, false, 3, true, false},
        {"a document is not handed on", true, true, 4, true, true}};
    constexpr Duration kDeadline = milliseconds(2500);
    constexpr Duration kReportEvery = milliseconds(250);
    for (const Row& row : rows) {
      ReaderHarness harness(2);
      Duration age = Duration::zero();
      for (Duration at = Duration::zero(); at < kDeadline - kReportEvery;
           at += kReportEvery) {
        harness.RunFor(kReportEvery);
        age = row.answered_ ? milliseconds(100) : age + kReportEvery;
        harness.Report(row.states_age_ ? std::optional(age) : std::nullopt,
                       row.version_);
      }
      const auto polls = harness.Take<AwaitTable>();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.reads_, !polls.empty());
      if (polls.empty()) continue;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.at_once_,
                                   polls.front().wait_ == Duration::zero());
      if (!row.at_once_) continue;
      // An answer tells the zone, so that no other node needs to read.
      harness.Take<SendToPeer>();
      harness.Feed(TableOffset{.next_ = 12, .polled_ = true});
      std::size_t told = 0;
      for (const SendToPeer& sent : harness.Take<SendToPeer>()) {
        const auto* status = std::get_if<HostStatus>(&sent.message_);
        if (status == nullptr || !status->document_age_) continue;
        if (*status->document_age_ < kDeadline / 2) ++told;
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, std::size_t{2}, told);
      // A reader without answers for longer than a poll takes is replaced.
      harness.Take<AwaitTable>();
      harness.RunFor(milliseconds(600));
      const auto next = harness.Take<AwaitTable>();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.answered_, next.empty());
      if (next.empty()) continue;
      CPPUNIT_ASSERT_MESSAGE(row.name_, next.front().wait_ > Duration::zero());
    }
  }

  // A document ends the polls of all readers. If the next ones ended together
  // as well, a zone would hear of the store half as often.
  void PollsOfAZoneEndInEqualIntervals() {
    struct Row {
      const char* name_;
      std::size_t earlier_;    // readers that go before this node
      Duration their_answer_;  // age of the latest one
      bool after_document_;
      Duration wait_;
    };
    const Row rows[] = {
        {"first, after a document", 0, {}, true, milliseconds(1500)},
        {"first, after a full poll", 0, {}, false, milliseconds(1500)},
        {"second, after a document", 1, {}, true, milliseconds(750)},
        {"second, spread already", 1, milliseconds(750), false,
         milliseconds(1500)},
        {"second, together with the first", 1, {}, false, milliseconds(750)},
        {"second, shortly before the first", 1, milliseconds(1400), false,
         milliseconds(850)}};
    for (const Row& row : rows) {
      ReaderHarness harness(row.earlier_);
      harness.RunFor(milliseconds(100));
      harness.Feed(TableOffset{.next_ = 12, .polled_ = true});
      harness.SkipTime(row.after_document_ ? milliseconds(500)
                                           : milliseconds(1500));
      harness.Report(row.their_answer_, 3);
      harness.Take<AwaitTable>();
      harness.Feed(TableOffset{.next_ = 13, .polled_ = true});
      const auto polls = harness.Take<AwaitTable>();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, std::size_t{1}, polls.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.wait_.count(),
                                   polls.front().wait_.count());
    }
  }

  // A process that stood still reads an answer long after it was given. Peers
  // would rely on it for documents that came meanwhile.
  void LateAnswersDoNotCountAsNew() {
    ReaderHarness harness(0);
    harness.SkipTime(std::chrono::seconds(9));
    harness.Feed(TableOffset{.next_ = 12, .polled_ = true});
    const auto& as_of = harness.state().store_.document_as_of_;
    CPPUNIT_ASSERT(as_of);
    CPPUNIT_ASSERT(harness.now() - *as_of >= std::chrono::seconds(7));
  }

  // The connection of a poll, and the idle ones beside it, may be silent. A
  // node whose document may be too old must not wait for the poll's time-out.
  void OverdueNodesReadOnNewConnections() {
    struct Row {
      const char* name_;
      std::size_t earlier_;  // readers that go before this node
      bool answered_;        // the store answers them
      bool given_up_;        // a poll of this node
      bool reads_;           // on a new connection
    };
    const Row rows[] = {
        {"only reader, poll hangs", 0, false, true, true},
        {"second reader, poll hangs", 1, false, true, true},
        {"second reader, the first gets answers", 1, true, false, false},
        {"no reader, readers hang", 2, false, false, true}};
    constexpr Duration kReportEvery = milliseconds(250);
    for (const Row& row : rows) {
      ReaderHarness harness(row.earlier_);
      Duration age = Duration::zero();
      for (Duration at = Duration::zero(); at < milliseconds(2250);
           at += kReportEvery) {
        harness.RunFor(kReportEvery);
        age = row.answered_ ? milliseconds(100) : age + kReportEvery;
        harness.Report(age, 3);
      }
      bool reads = false;
      for (const AwaitTable& poll : harness.Take<AwaitTable>()) {
        if (poll.wait_ > Duration::zero()) {
          CPPUNIT_ASSERT_MESSAGE(row.name_, !poll.new_connection_);
        } else {
          reads |= poll.new_connection_;
        }
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.reads_, reads);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.given_up_,
                                   !harness.Take<AbandonPoll>().empty());
    }
  }

  // A poll that has failed waits for its repeat. If another takes its place,
  // both would be in progress, and the answer to one count for the other.
  void RepeatsOfAPollThatIsGivenUpAreCancelled() {
    ReaderHarness harness(1);
    harness.RunFor(milliseconds(100));
    harness.Feed(StoreFailed{.call_ = StoreCall::kAwaitTable});
    harness.Take<AwaitTable>();
    harness.Feed(StoreEra{.era_ = 1});
    HostStatus status = harness.state().peers_.at(EarlierReaders(1)[0]).status_;
    status.sent_at_ = harness.now().time_since_epoch();
    status.store_era_ = 2;
    harness.Feed(LinkReceived{.connection_id_ = 1, .message_ = status});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.Take<AwaitTable>().size());
    harness.RunFor(milliseconds(800));
    CPPUNIT_ASSERT(harness.Take<AwaitTable>().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreReaderTests);

}  // namespace
}  // namespace jujubefront
