#include "relay/tests/relay_harness.h"

namespace jujubefront {
namespace {

std::string AddressOf(int number) {
  return "10.0." + std::to_string(number / 200 + 1) + "." +
         std::to_string(number % 200 + 1) + ":7000";
}

HostStatus StatusOf(const RelayHarness& harness, int number, const char* zone) {
  return {.address_ = AddressOf(number),
          .boot_ = 1,
          .sent_at_ = harness.now().time_since_epoch(),
          .zone_ = zone,
          .region_ = zone,
          .service_ = "svc",
          .instance_ = "i-" + std::to_string(number),
          .backend_ = BackendState::kReady,
          .slots_ = 4,
          .reads_store_ = true,
          .document_age_ = Duration::zero()};
}

// Adds other hosts, connected in both directions, that all wait for documents
// at the store.
void AddHosts(RelayHarness& harness, int count, const char* zone) {
  for (int i = 0; i < count; ++i) {
    harness.Feed(
        LinkReceived{.connection_id_ = static_cast<std::uint64_t>(i + 1),
                     .message_ = StatusOf(harness, i, zone)});
    harness.Feed(PeerConnected{AddressOf(i)});
  }
}

// Messages sent to peers within the given time.
std::vector<LinkMessage> SentWithin(RelayHarness& harness, Duration time) {
  harness.Take<SendToPeer>();
  harness.RunFor(time);
  std::vector<LinkMessage> messages;
  for (SendToPeer& sent : harness.Take<SendToPeer>()) {
    messages.push_back(std::move(sent.message_));
  }
  return messages;
}

template <typename Message>
std::size_t CountOf(const std::vector<LinkMessage>& messages) {
  std::size_t count = 0;
  for (const LinkMessage& message : messages) {
    if (std::holds_alternative<Message>(message)) ++count;
  }
  return count;
}

class ScaleTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ScaleTests);
  CPPUNIT_TEST(StatusRateIsBoundedForManyHosts);
  CPPUNIT_TEST(FewNodesOfAZoneWaitAtTheStore);
  CPPUNIT_TEST(PeersAreQueriedForNodesOnlyWithoutTheStoresList);
  CPPUNIT_TEST(OnlyOnePeerIsQueriedForANewDocument);
  CPPUNIT_TEST_SUITE_END();

 public:
  // With 300 hosts, statuses sent to each of them as often as in a small
  // deployment would fill the links, above all those between regions. The rate
  // of statuses that a node sends is therefore bounded, whatever the number of
  // hosts.
  void StatusRateIsBoundedForManyHosts() {
    struct Row {
      const char* zone_;
      std::size_t max_per_second_;
    };
    const Row rows[] = {{"z1", 210}, {"r2", 6}};
    for (const Row& row : rows) {
      RelayHarness harness;
      harness.LoadTable();
      AddHosts(harness, 300, row.zone_);
      harness.RunFor(std::chrono::seconds(1));
      const auto sent = SentWithin(harness, std::chrono::seconds(120));
      CPPUNIT_ASSERT(CountOf<HostStatus>(sent) > 0);
      CPPUNIT_ASSERT(CountOf<HostStatus>(sent) <= row.max_per_second_ * 120);
    }
  }

  // If every node of a large zone waited for documents at the store, each new
  // document would cause as many reads at once. A node that sees enough nodes
  // of its zone waiting leaves it to them, and must wait itself as soon as they
  // can no longer read, or its zone would miss new documents.
  void FewNodesOfAZoneWaitAtTheStore() {
    struct Row {
      const char* name_;
      const char* zone_;
      int hosts_;
      bool readers_lost_;
      bool waits_at_store_;
    };
    const Row rows[] = {{"small zone", "z1", 3, false, true},
                        {"large zone", "z1", 60, false, false},
                        {"readers lost", "z1", 60, true, true},
                        {"large other zone", "r2", 60, false, true}};
    for (const Row& row : rows) {
      RelayOptions options = RelayHarness::DefaultOptions();
      options.store_readers_per_zone_ = 4;
      RelayHarness harness(options);
      AddHosts(harness, row.hosts_, row.zone_);
      harness.Take<AwaitTable>();
      harness.Feed(TableOffset{.next_ = 3});
      if (row.readers_lost_) {
        CPPUNIT_ASSERT(harness.Take<AwaitTable>().empty());
        for (int i = 0; i < row.hosts_; ++i) {
          HostStatus status = StatusOf(harness, i, row.zone_);
          status.reads_store_ = false;
          harness.Feed(
              LinkReceived{.connection_id_ = static_cast<std::uint64_t>(i + 1),
                           .message_ = status});
        }
        harness.RunFor(std::chrono::milliseconds(200));
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.waits_at_store_,
                                   !harness.Take<AwaitTable>().empty());
    }
  }

  // Nodes normally find each other through the store's list of nodes. Without
  // the list a node queries peers for the addresses that they know, and
  // connects to the new ones; with it such queries would be useless traffic.
  void PeersAreQueriedForNodesOnlyWithoutTheStoresList() {
    for (const bool has_list : {false, true}) {
      RelayHarness harness;
      AddHosts(harness, 20, "z1");
      if (has_list) harness.Feed(NodesRead{.addresses_ = {"10.9.0.1:7000"}});
      const auto sent = SentWithin(harness, std::chrono::seconds(3));
      CPPUNIT_ASSERT_EQUAL(has_list, CountOf<PeersQuery>(sent) == 0);
      CPPUNIT_ASSERT(CountOf<PeersQuery>(sent) <= 6);
    }
    RelayHarness harness;
    AddHosts(harness, 20, "z1");
    harness.Feed(LinkReceived{.connection_id_ = 1, .message_ = PeersQuery{}});
    const auto replies = harness.Take<SendBack>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replies.size());
    const auto* known = std::get_if<PeerAddresses>(&replies.front().message_);
    CPPUNIT_ASSERT(known != nullptr && known->addresses_.size() == 21);
    harness.Take<ConnectPeer>();
    harness.Feed(LinkReceived{
        .peer_ = AddressOf(0),
        .message_ = PeerAddresses{.addresses_ = {"10.9.0.1:7000"}}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.Take<ConnectPeer>().size());
  }

  // When many peers report a newer document together, it must be requested from
  // one of them only; otherwise each would send the whole document.
  void OnlyOnePeerIsQueriedForANewDocument() {
    RelayHarness harness;
    harness.LoadTable(1);
    AddHosts(harness, 60, "z1");
    for (int i = 0; i < 60; ++i) {
      HostStatus status = StatusOf(harness, i, "z1");
      status.table_version_ = 2;
      harness.Feed(
          LinkReceived{.connection_id_ = static_cast<std::uint64_t>(i + 1),
                       .message_ = status});
    }
    const auto sent = SentWithin(harness, std::chrono::milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountOf<TableQuery>(sent));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScaleTests);

}  // namespace
}  // namespace jujubefront
