#include "relay/tests/relay_harness.h"

namespace jujubefront {
namespace {

constexpr const char* kLocalLeaf = "10.0.1.1:7000";
constexpr const char* kRemoteFront = "10.0.2.1:7000";
constexpr const char* kRemoteLeaf = "10.0.2.2:7000";

struct HostSpec {
  const char* address_;
  const char* region_;
  const char* service_;
  std::uint64_t connection_;
};

constexpr HostSpec kHosts[] = {{kLocalLeaf, "r1", "leaf", 1},
                               {kRemoteFront, "r2", "svc", 2},
                               {kRemoteLeaf, "r2", "leaf", 3}};

// A route whose runs call the leaf, and one that asks the leaf directly.
RouteTable Table() {
  RouteTable table;
  table.version_ = 1;
  table.routes_ = {{.name_ = "read",
                    .host_ = "h",
                    .path_prefix_ = "/read/",
                    .idempotent_ = true,
                    .max_attempts_ = 2,
                    .services_ = {{"svc", 1.0}}},
                   {.name_ = "score",
                    .host_ = "h",
                    .path_prefix_ = "/score/",
                    .idempotent_ = true,
                    .max_attempts_ = 2,
                    .services_ = {{"leaf", 1.0}}},
                   {.name_ = "list",
                    .host_ = "h",
                    .path_prefix_ = "/list/",
                    .idempotent_ = true,
                    .max_attempts_ = 2,
                    .services_ = {{"svc", 1.0}}}};
  IndexRoutes(table);
  return table;
}

// A node of region r1 whose backend server runs "svc", and hosts of both
// regions.
class Regions {
 public:
  Regions() {
    harness_.Feed(TableRead{.table_ = Table(), .text_ = "text"});
    harness_.ReceiveHeartbeat();
    for (const HostSpec& host : kHosts) {
      Report(host, BackendState::kReady);
      harness_.Feed(PeerConnected{host.address_});
    }
    RunFor(std::chrono::seconds(2));
  }

  void Report(const HostSpec& host, BackendState state) {
    HostStatus status{.address_ = host.address_,
                      .boot_ = host.connection_,
                      .sequence_ = ++sequence_,
                      .sent_at_ = harness_.now().time_since_epoch(),
                      .zone_ = std::string(host.region_) + "-zone",
                      .region_ = host.region_,
                      .service_ = host.service_,
                      .instance_ = std::string("i-") + host.address_,
                      .backend_started_at_ms_ = incarnation_,
                      .backend_sequence_ = sequence_,
                      .backend_ = state,
                      .slots_ = 40};
    harness_.Feed(
        LinkReceived{.connection_id_ = host.connection_, .message_ = status});
  }

  void RunFor(Duration time) {
    for (Duration left = time; left > Duration::zero();
         left -= std::chrono::milliseconds(100)) {
      for (const HostSpec& host : kHosts) {
        const bool gone = leaf_gone_ && host.address_ == kLocalLeaf;
        Report(host, gone ? BackendState::kGone : BackendState::kReady);
      }
      harness_.RunFor(std::chrono::milliseconds(100));
    }
  }

  // The other region's sum, with the costs of all routes.
  void ReceiveSum() {
    ZoneSum sum{.zone_ = "r2-zone",
                .region_ = "r2",
                .aggregator_ = kRemoteFront,
                .aggregator_boot_ = 2,
                .sequence_ = ++sequence_,
                .hosts_ = 2};
    sum.profiles_ = {{.route_ = "read",
                      .service_ = "svc",
                      .runs_ = 10,
                      .slot_seconds_ = 0.01,
                      .calls_ = {{"score", 4.0}}},
                     {.route_ = "list",
                      .service_ = "svc",
                      .runs_ = 10,
                      .slot_seconds_ = 0.01},
                     {.route_ = "score",
                      .service_ = "leaf",
                      .runs_ = 10,
                      .slot_seconds_ = 0.02}};
    sum.demands_ = {{.route_ = "read", .per_second_ = 10}};
    sum.services_ = {{.service_ = "svc", .slots_ = 40},
                     {.service_ = "leaf", .slots_ = 40}};
    harness_.Feed(LinkReceived{.connection_id_ = 2, .message_ = sum});
  }

  // Where the node sends a request; empty: it is refused.
  std::string PlaceOf(const char* target) {
    harness_.Take<SendToPeer>();
    harness_.Take<AnswerRequest>();
    harness_.Take<StartRun>();
    harness_.SendRequest(++request_, target, std::chrono::seconds(4));
    const auto orders = harness_.TakeRunOrders();
    const bool local = !harness_.Take<StartRun>().empty();
    // Frees its slot.
    harness_.Feed(RequestCancelled{request_});
    if (!orders.empty()) return orders.front().first;
    return local ? "local" : "";
  }

  RelayHarness harness_;
  bool leaf_gone_ = false;
  std::int64_t incarnation_ = 1;  // of all backend servers

 private:
  std::uint64_t sequence_ = 0;
  std::uint64_t request_ = 0;
};

class RegionSharingTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegionSharingTests);
  CPPUNIT_TEST(TreesMoveToTheRegionWithTheService);
  CPPUNIT_TEST(TreesAreRefusedWhenTheOtherRegionIsLost);
  CPPUNIT_TEST(StatementsAreExchangedOnlyWhileAServiceIsLacking);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The last backend server of a called service leaves the region. Its entries
  // went on to run the roots here, whose calls crossed one by one.
  void TreesMoveToTheRegionWithTheService() {
    Regions regions;
    CPPUNIT_ASSERT_EQUAL(std::string("local"), regions.PlaceOf("/read/1"));
    regions.leaf_gone_ = true;
    regions.RunFor(std::chrono::milliseconds(500));
    regions.ReceiveSum();
    regions.RunFor(std::chrono::milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(std::string(kRemoteFront), regions.PlaceOf("/read/2"));
    CPPUNIT_ASSERT_EQUAL(std::string(kRemoteLeaf), regions.PlaceOf("/score/3"));
    // Trees that do not need the service stay.
    CPPUNIT_ASSERT_EQUAL(std::string("local"), regions.PlaceOf("/list/4"));
    regions.leaf_gone_ = false;
    ++regions.incarnation_;
    regions.RunFor(std::chrono::milliseconds(1200));
    CPPUNIT_ASSERT_EQUAL(std::string("local"), regions.PlaceOf("/read/5"));
  }

  // Without a backend server in reach, a request that started would fail at its
  // first call.
  void TreesAreRefusedWhenTheOtherRegionIsLost() {
    Regions regions;
    regions.leaf_gone_ = true;
    regions.RunFor(std::chrono::milliseconds(500));
    regions.ReceiveSum();
    regions.RunFor(std::chrono::milliseconds(600));
    regions.harness_.Feed(PeerDisconnected{kRemoteFront});
    CPPUNIT_ASSERT_EQUAL(std::string(), regions.PlaceOf("/read/1"));
    CPPUNIT_ASSERT_EQUAL(std::string("local"), regions.PlaceOf("/list/2"));
  }

  // The link between regions is billed by volume.
  void StatementsAreExchangedOnlyWhileAServiceIsLacking() {
    Regions regions;
    regions.harness_.Take<SendToPeer>();
    regions.RunFor(std::chrono::seconds(3));
    CPPUNIT_ASSERT_EQUAL(0, SumsTo(regions, kRemoteFront, kRemoteLeaf));
    regions.leaf_gone_ = true;
    regions.RunFor(std::chrono::seconds(3));
    CPPUNIT_ASSERT(SumsTo(regions, kRemoteFront, kRemoteLeaf) >= 2);
  }

 private:
  static int SumsTo(Regions& regions, const char* first, const char* second) {
    int sums = 0;
    for (const SendToPeer& sent : regions.harness_.Take<SendToPeer>()) {
      if (!std::holds_alternative<ZoneSum>(sent.message_)) continue;
      if (sent.peer_ == first || sent.peer_ == second) ++sums;
    }
    return sums;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegionSharingTests);

}  // namespace
}  // namespace jujubefront
