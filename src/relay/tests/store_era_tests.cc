#include "relay/tests/relay_harness.h"

namespace jujubefront {
namespace {

constexpr const char* kPeer = "10.0.0.2:7000";

// A node that polls the store, in era 1, for documents from offset 12 on.
RelayHarness MakePollingNode() {
  RelayHarness harness;
  harness.Feed(StoreEra{.era_ = 1});
  harness.Feed(TableOffset{.next_ = 12});
  harness.LoadTable(3);
  harness.AddPeer(kPeer, 1);
  harness.Take<ReadTable>();
  harness.Take<AwaitTable>();
  harness.Take<AnnounceNode>();
  return harness;
}

class StoreEraTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreEraTests);
  CPPUNIT_TEST(OffsetsOfAnEarlierEraAreDropped);
  CPPUNIT_TEST(LateReadsOfAnEarlierEraAreRepeated);
  CPPUNIT_TEST(PollAfterAFailureReturnsAtOnce);
  CPPUNIT_TEST(PeersOfAnotherEraEndAPoll);
  CPPUNIT_TEST(NodesListThemselvesAgainAfterARestore);
  CPPUNIT_TEST(OlderDocumentsOfARestoredStoreAreIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A store that comes back from a copy gives out offsets again. The next poll
  // must start at an offset that was read in the present era.
  void OffsetsOfAnEarlierEraAreDropped() {
    struct Row {
      const char* name_;
      std::optional<std::uint64_t> era_;  // of the poll's answer
      bool reads_again_;
    };
    const Row rows[] = {{"same era", 1, false},
                        {"later era", 2, true},
                        {"earlier era", 0, true},
                        {"answer without an era", std::nullopt, false}};
    for (const Row& row : rows) {
      RelayHarness harness = MakePollingNode();
      if (row.era_) harness.Feed(StoreEra{.era_ = *row.era_});
      harness.Feed(TableOffset{.next_ = 13, .polled_ = true});
      harness.RunFor(std::chrono::milliseconds(200));
      const auto polls = harness.Take<AwaitTable>();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.reads_again_, polls.empty());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_,
                                   std::size_t{row.reads_again_ ? 1U : 0U},
                                   harness.Take<ReadTable>().size());
      if (!row.reads_again_) continue;
      harness.Feed(TableOffset{.next_ = 5});
      const auto again = harness.Take<AwaitTable>();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, std::size_t{1}, again.size());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, again.front().from_);
    }
  }

  // A read may be answered before the store is restored, and its answer arrive
  // after those of other calls. Its offset belongs to the earlier era.
  void LateReadsOfAnEarlierEraAreRepeated() {
    RelayHarness harness;
    harness.Take<ReadTable>();
    harness.Feed(StoreEra{.era_ = 2});
    harness.Feed(NodeAnnounced{});
    harness.Feed(StoreEra{.era_ = 1});
    harness.Feed(TableOffset{.next_ = 12});
    CPPUNIT_ASSERT(harness.Take<AwaitTable>().empty());
    for (int reads = 1; !harness.Take<ReadTable>().empty(); ++reads) {
      CPPUNIT_ASSERT(reads <= 2);
      harness.Feed(StoreEra{.era_ = 2});
      harness.Feed(TableOffset{.next_ = 5});
    }
    const auto polls = harness.Take<AwaitTable>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, polls.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, polls.front().from_);
  }

  // A call that fails may be the only sign of a restore. A poll that waits
  // names the era too late.
  void PollAfterAFailureReturnsAtOnce() {
    RelayHarness harness = MakePollingNode();
    harness.Feed(StoreFailed{.call_ = StoreCall::kAwaitTable});
    harness.RunFor(std::chrono::seconds(1));
    const auto polls = harness.Take<AwaitTable>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, polls.size());
    CPPUNIT_ASSERT(polls.front().wait_ == Duration::zero());
    harness.Feed(TableOffset{.next_ = 12, .polled_ = true});
    const auto next = harness.Take<AwaitTable>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.size());
    CPPUNIT_ASSERT(next.front().wait_ > Duration::zero());
  }

  // All nodes may wait at an offset of before, for many seconds. The first one
  // that sees the new era tells the others. A report that is wrong, or repeated
  // with every status, must not cost more than one call.
  void PeersOfAnotherEraEndAPoll() {
    struct Row {
      const char* name_;
      std::uint64_t era_;
      std::size_t polls_;
    };
    const Row rows[] = {
        {"unknown", 0, 0}, {"same era", 1, 0}, {"later era", 2, 1}};
    for (const Row& row : rows) {
      RelayHarness harness = MakePollingNode();
      HostStatus status = harness.state().peers_.at(kPeer).status_;
      status.store_era_ = row.era_;
      for (int i = 0; i < 3; ++i) {
        harness.Feed(LinkReceived{.connection_id_ = 1, .message_ = status});
      }
      const auto polls = harness.Take<AwaitTable>();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.polls_, polls.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.polls_,
                                   harness.Take<AbandonPoll>().size());
      if (polls.empty()) continue;
      CPPUNIT_ASSERT(polls.front().wait_ == Duration::zero());
    }
  }

  // The entry of a node that listed itself in the lost seconds is gone. A node
  // that starts afterwards would never find it.
  void NodesListThemselvesAgainAfterARestore() {
    RelayHarness harness = MakePollingNode();
    for (const std::uint64_t era : {2, 3}) {
      harness.Feed(StoreEra{.era_ = era});
      HostStatus status = harness.state().peers_.at(kPeer).status_;
      status.store_era_ = era;
      harness.Feed(LinkReceived{.connection_id_ = 1, .message_ = status});
      harness.RunFor(std::chrono::milliseconds(1500));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.Take<AnnounceNode>().size());
      harness.Take<ReadNodes>();
      harness.Feed(NodeAnnounced{});
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.Take<ReadNodes>().size());
    }
  }

  // The store may hold an older document than the one in force.
  void OlderDocumentsOfARestoredStoreAreIgnored() {
    RelayHarness harness = MakePollingNode();
    harness.Feed(StoreEra{.era_ = 2});
    harness.LoadTable(2);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, harness.state().table_.version_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreEraTests);

}  // namespace
}  // namespace jujubefront
