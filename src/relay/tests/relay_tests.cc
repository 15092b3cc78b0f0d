#include "relay/tests/relay_harness.h"

namespace jujubefront {
namespace {

constexpr const char* kPeer = "10.0.0.2:7000";

class RelayTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayTests);
  CPPUNIT_TEST(DocumentNeverGoesBack);
  CPPUNIT_TEST(StoreFailuresAreRetried);
  CPPUNIT_TEST(PeersWithANewerDocumentAreAsked);
  CPPUNIT_TEST(StatusesOfAnOlderConnectionAreStale);
  CPPUNIT_TEST(StopsOnceIdleAndNotBefore);
  CPPUNIT_TEST(TakesNothingNewNearTheEndOfAStop);
  CPPUNIT_TEST(AnswersBeforeTheEndWhatCannotFinish);
  CPPUNIT_TEST(ShedsTheLeastImportantRootsOfAPressedLeaf);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DocumentNeverGoesBack() {
    RelayBench bench;
    for (const std::uint64_t version : {5, 3, 9, 9, 4}) {
      bench.LearnTable(version);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, bench.state().table_.version_);
    CPPUNIT_ASSERT(bench.state().ready_);
  }

  void StoreFailuresAreRetried() {
    struct Row {
      const char* name_;
      StoreFailed failed_;
      bool reads_again_;  // otherwise it waits on from the same offset
    };
    const Row rows[] = {
        {"read", {.call_ = StoreCall::kReadTable}, true},
        {"wait", {.call_ = StoreCall::kAwaitTable}, false},
        {"history lost",
         {.call_ = StoreCall::kAwaitTable, .fault_ = StoreFault::kHistoryLost},
         true},
    };
    for (const Row& row : rows) {
      RelayBench bench;
      bench.Feed(TableOffset{.next_ = 12});
      bench.Take<ReadTable>();
      bench.Take<AwaitTable>();
      bench.Feed(row.failed_);
      CPPUNIT_ASSERT(bench.Take<ReadTable>().empty());
      bench.Pass(std::chrono::seconds(1));
      const auto awaits = bench.Take<AwaitTable>();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.reads_again_,
                                   !bench.Take<ReadTable>().empty());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, !row.reads_again_,
                                   !awaits.empty());
      if (!awaits.empty()) {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, awaits.front().from_);
      }
    }
  }

  void PeersWithANewerDocumentAreAsked() {
    RelayBench bench;
    bench.LearnTable(3);
    bench.AddPeer(kPeer, 1);
    HostStatus status = bench.state().peers_.at(kPeer).status_;
    status.table_version_ = 8;
    bench.Feed(LinkReceived{.connection_id_ = 1, .message_ = status});
    bench.Take<SendToPeer>();
    bench.Pass(std::chrono::milliseconds(500));
    bool asked = false;
    for (const SendToPeer& sent : bench.Take<SendToPeer>()) {
      asked |= std::holds_alternative<TableQuery>(sent.message_);
    }
    CPPUNIT_ASSERT(asked);
  }

  void StatusesOfAnOlderConnectionAreStale() {
    RelayBench bench;
    bench.AddPeer(kPeer, 2);
    HostStatus old = bench.state().peers_.at(kPeer).status_;
    old.backend_ = BackendState::kGone;
    bench.Feed(LinkReceived{.connection_id_ = 1, .message_ = old});
    CPPUNIT_ASSERT(bench.state().peers_.at(kPeer).status_.backend_ ==
                   BackendState::kReady);
  }

  // Clients still arrive until the platform has moved them away, and what they
  // have sent by then is answered.
  void StopsOnceIdleAndNotBefore() {
    struct Row {
      bool has_request_;
      Duration ends_after_;
    };
    const Duration linger = RelayOptions().stop_linger_;
    constexpr Duration kBefore = std::chrono::milliseconds(300);
    constexpr Duration kRequestTime = std::chrono::milliseconds(900);
    const Row rows[] = {{false, linger},
                        {true, linger - kBefore + kRequestTime}};
    for (const Row& row : rows) {
      RelayBench bench;
      bench.LearnTable();
      bench.AddPeer(kPeer, 1);
      bench.Feed(StopRequested{});
      CPPUNIT_ASSERT(!bench.state().ready_);
      bench.Pass(linger - kBefore);
      if (row.has_request_) bench.Request(1, "/book/1", kRequestTime);
      bench.Pass(row.ends_after_ - linger + kBefore -
                 std::chrono::milliseconds(100));
      CPPUNIT_ASSERT(bench.Take<EndProcess>().empty());
      bench.Pass(std::chrono::milliseconds(300));
      const auto ends = bench.Take<EndProcess>();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, ends.front().cut_off_);
    }
  }

  // Clients may stay where most nodes of their zone stop at once. What could
  // not be answered before the process ends is refused, not taken and cut off.
  void TakesNothingNewNearTheEndOfAStop() {
    struct Row {
      Duration after_;
      bool taken_;
    };
    const Duration linger = RelayOptions().stop_linger_;
    const Row rows[] = {{linger - std::chrono::milliseconds(100), true},
                        {linger + std::chrono::milliseconds(100), false}};
    for (const Row& row : rows) {
      RelayBench bench;
      bench.LearnTable();
      bench.AddPeer(kPeer, 1);
      bench.Feed(StopRequested{});
      bench.Pass(row.after_);
      bench.Request(1, "/read/1");
      CPPUNIT_ASSERT_EQUAL(row.taken_, !bench.TakeOrders().empty());
      CPPUNIT_ASSERT_EQUAL(row.taken_ ? 0 : 503, bench.TakeStatus());
    }
  }

  // A request whose time is longer than the stop's, or a process that was
  // suspended while it stopped: the client gets an answer, not a reset.
  void AnswersBeforeTheEndWhatCannotFinish() {
    struct Row {
      const char* name_;
      const char* target_;
      bool suspended_;
      int status_;
    };
    const Row rows[] = {{"read", "/read/1", false, 502},
                        {"booking", "/book/1", false, 502},
                        {"suspended", "/book/1", true, 504}};
    for (const Row& row : rows) {
      RelayOptions options = RelayBench::DefaultOptions();
      options.stop_linger_ = std::chrono::milliseconds(1500);
      options.stop_limit_ = std::chrono::milliseconds(2000);
      RelayBench bench(options);
      bench.LearnTable();
      bench.AddPeer(kPeer, 1);
      bench.Feed(StopRequested{});
      bench.Pass(options.stop_linger_ - std::chrono::milliseconds(50));
      bench.Request(1, row.target_);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, std::size_t{1},
                                   bench.TakeOrders().size());
      if (row.suspended_) bench.Jump(std::chrono::seconds(3));
      bench.Pass(std::chrono::milliseconds(500));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.status_, bench.TakeStatus());
      // A call of the own backend server that comes now is refused at once.
      bench.Request(2, row.target_);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, 503, bench.TakeStatus());
      bench.Pass(std::chrono::milliseconds(200));
      const auto ends = bench.Take<EndProcess>();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, std::size_t{1}, ends.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, std::uint64_t{0},
                                   ends.front().cut_off_);
    }
  }

  // Load pattern: roots of two priorities lead to one narrow service, which is
  // so busy that work waits. The entry refuses the less important ones before
  // any work is done for them.
  void ShedsTheLeastImportantRootsOfAPressedLeaf() {
    RelayBench bench;
    bench.LearnTable();
    std::uint64_t id = 0;
    int refused_reads = 0;
    int refused_bookings = 0;
    for (int tick = 0; tick < 80; ++tick) {
      HostStatus status{.address_ = kPeer,
                        .boot_ = 1,
                        .sent_at_ = bench.now().time_since_epoch(),
                        .zone_ = "z1",
                        .region_ = "r1",
                        .service_ = "svc",
                        .instance_ = "i",
                        .backend_ = BackendState::kReady,
                        .slots_ = 4,
                        .running_ = 4,
                        .waiting_ = 2};
      for (const char* route : {"read", "book"}) {
        status.profiles_.push_back({.route_ = route,
                                    .service_ = "svc",
                                    .runs_ = 20,
                                    .slot_seconds_ = 0.05});
      }
      bench.Feed(LinkReceived{.connection_id_ = 1, .message_ = status});
      if (tick == 0) bench.Feed(PeerConnected{kPeer});
      // 100 requests a second of 50 ms each against four slots.
      for (int i = 0; i < 5; ++i) {
        const bool booking = i % 2 == 0;
        bench.Request(++id, booking ? "/book/1" : "/read/1");
        const int status_now = bench.TakeStatus();
        if (tick < 40 || status_now != 503) continue;
        ++(booking ? refused_bookings : refused_reads);
      }
      for (const auto& [peer, order] : bench.TakeOrders()) {
        RunReply reply{.send_id_ = order.send_id_,
                       .outcome_ = RunOutcome::kAnswered,
                       .running_ = 4,
                       .waiting_ = 2};
        reply.response_.status_ = 200;
        bench.Feed(LinkReceived{.peer_ = kPeer, .message_ = reply});
      }
      bench.Take<AnswerRequest>();
      bench.Pass(std::chrono::milliseconds(50));
    }
    // A slot too much is asked for: 20 requests a second, for two seconds.
    constexpr int kExcess = 40;
    CPPUNIT_ASSERT(refused_reads > kExcess * 3 / 4);
    CPPUNIT_ASSERT(refused_bookings < refused_reads / 4);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTests);

}  // namespace
}  // namespace jujubefront
