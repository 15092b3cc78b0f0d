#include "relay/tests/relay_harness.h"

namespace jujubefront {
namespace {

constexpr const char* kPeer = "10.0.0.2:7000";

class RelayTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayTests);
  CPPUNIT_TEST(OlderDocumentsAreIgnored);
  CPPUNIT_TEST(StoreFailuresAreRetried);
  CPPUNIT_TEST(FailingWritesDoNotDelayReads);
  CPPUNIT_TEST(PeersWithANewerDocumentAreQueried);
  CPPUNIT_TEST(StatusesOfAnOlderConnectionAreIgnored);
  CPPUNIT_TEST(StoppingNodeEndsOnlyWhenIdle);
  CPPUNIT_TEST(RequestsNearTheEndOfAStopAreRefused);
  CPPUNIT_TEST(LateRequestsAreNotBrokenOffByAStop);
  CPPUNIT_TEST(RequestsThatOutlastAStopAreAnswered);
  CPPUNIT_TEST(SaturatedServiceShedsLessImportantRequests);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Routing documents arrive from the store and from peers, in any order. An
  // older one must not replace a newer one, or a change of routes would be
  // undone at some nodes.
  void OlderDocumentsAreIgnored() {
    RelayHarness harness;
    for (const std::uint64_t version : {5, 3, 9, 9, 4}) {
      harness.LoadTable(version);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, harness.state().table_.version_);
    CPPUNIT_ASSERT(harness.state().ready_);
  }

  // A failed store call is retried after a pause. A wait for changes continues
  // from its offset; only if the store has lost that part of its history, or
  // what follows cannot be read, is the document read again. Without the retry
  // the node would keep an outdated document for good.
  void StoreFailuresAreRetried() {
    struct Row {
      const char* name_;
      StoreFailed failed_;
      bool reads_again_;  // otherwise it waits again from the same offset
    };
    const Row rows[] = {
        {"read failed", {.call_ = StoreCall::kReadTable}, true},
        {"wait failed", {.call_ = StoreCall::kAwaitTable}, false},
        {"wait failed, history lost",
         {.call_ = StoreCall::kAwaitTable, .fault_ = StoreFault::kHistoryLost},
         true},
        {"wait returned what cannot be read",
         {.call_ = StoreCall::kAwaitTable, .fault_ = StoreFault::kUnreadable},
         true},
    };
    for (const Row& row : rows) {
      RelayHarness harness;
      harness.Feed(TableOffset{.next_ = 12});
      harness.Take<ReadTable>();
      harness.Take<AwaitTable>();
      harness.Feed(row.failed_);
      CPPUNIT_ASSERT(harness.Take<ReadTable>().empty());
      harness.RunFor(std::chrono::seconds(1));
      const auto awaits = harness.Take<AwaitTable>();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.reads_again_,
                                   !harness.Take<ReadTable>().empty());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, !row.reads_again_,
                                   !awaits.empty());
      if (!awaits.empty()) {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, awaits.front().from_);
      }
    }
  }

  // A store that takes no writes still answers reads. Failing writes must not
  // delay the retry of a failed read.
  void FailingWritesDoNotDelayReads() {
    RelayHarness harness;
    for (int i = 0; i < 6; ++i) {
      harness.Feed(StoreFailed{.call_ = StoreCall::kAnnounce,
                               .fault_ = StoreFault::kRefused});
      harness.RunFor(std::chrono::seconds(2));
    }
    harness.Take<ReadTable>();
    harness.Feed(StoreFailed{.call_ = StoreCall::kReadTable});
    harness.RunFor(RelayHarness::DefaultOptions().store_retry_interval_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.Take<ReadTable>().size());
  }

  // A node that can't read the store receives new documents from peers. When a
  // peer's status names a newer version, the node must query the peer for it.
  void PeersWithANewerDocumentAreQueried() {
    RelayHarness harness;
    harness.LoadTable(3);
    harness.AddPeer(kPeer, 1);
    HostStatus status = harness.state().peers_.at(kPeer).status_;
    status.table_version_ = 8;
    harness.Feed(LinkReceived{.connection_id_ = 1, .message_ = status});
    harness.Take<SendToPeer>();
    harness.RunFor(std::chrono::milliseconds(500));
    bool asked = false;
    for (const SendToPeer& sent : harness.Take<SendToPeer>()) {
      asked |= std::holds_alternative<TableQuery>(sent.message_);
    }
    CPPUNIT_ASSERT(asked);
  }

  // A status that arrives late, on an older connection than the last status,
  // describes an earlier state of the peer and must not overwrite the newer
  // one.
  void StatusesOfAnOlderConnectionAreIgnored() {
    RelayHarness harness;
    harness.AddPeer(kPeer, 2);
    HostStatus old = harness.state().peers_.at(kPeer).status_;
    old.backend_ = BackendState::kGone;
    harness.Feed(LinkReceived{.connection_id_ = 1, .message_ = old});
    CPPUNIT_ASSERT(harness.state().peers_.at(kPeer).status_.backend_ ==
                   BackendState::kReady);
  }

  // When a node is to stop, clients still send requests until the platform has
  // redirected them. Ending the process earlier, or before open requests are
  // answered, would reset their connections.
  void StoppingNodeEndsOnlyWhenIdle() {
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
      RelayHarness harness;
      harness.LoadTable();
      harness.AddPeer(kPeer, 1);
      harness.Feed(StopRequested{});
      CPPUNIT_ASSERT(!harness.state().ready_);
      harness.RunFor(linger - kBefore);
      if (row.has_request_) harness.SendRequest(1, "/book/1", kRequestTime);
      harness.RunFor(row.ends_after_ - linger + kBefore -
                     std::chrono::milliseconds(100));
      CPPUNIT_ASSERT(harness.Take<EndProcess>().empty());
      harness.RunFor(std::chrono::milliseconds(300));
      const auto ends = harness.Take<EndProcess>();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, ends.front().cut_off_);
    }
  }

  // If most nodes of a zone stop together, clients may stay on a stopping node.
  // A request that could not be answered before the process ends is refused, so
  // that the client can retry elsewhere instead of losing its connection.
  void RequestsNearTheEndOfAStopAreRefused() {
    struct Row {
      Duration stopping_for_;
      bool accepted_;
    };
    const Duration linger = RelayOptions().stop_linger_;
    const Row rows[] = {{linger - std::chrono::milliseconds(100), true},
                        {linger + std::chrono::milliseconds(100), false}};
    for (const Row& row : rows) {
      RelayHarness harness;
      harness.LoadTable();
      harness.AddPeer(kPeer, 1);
      harness.Feed(StopRequested{});
      harness.RunFor(row.stopping_for_);
      harness.SendRequest(1, "/read/1");
      CPPUNIT_ASSERT_EQUAL(row.accepted_, !harness.TakeRunOrders().empty());
      CPPUNIT_ASSERT_EQUAL(row.accepted_ ? 0 : 503, harness.TakeAnswerStatus());
    }
  }

  // At the end of a stop, open requests get an answer of the node's own, though
  // a backend server may be at work on them. That must not happen to requests
  // that arrive late in the stop: clients can go to another node, and a call
  // has to end in time by itself.
  void LateRequestsAreNotBrokenOffByAStop() {
    struct Row {
      const char* name_;
      Duration stopping_for_;
      bool is_call_;
      Duration remaining_;
      bool passed_on_;
      int last_status_;  // if no backend server answers
    };
    using std::chrono::milliseconds;
    RelayOptions options = RelayHarness::DefaultOptions();
    const Duration final_answers = options.stop_limit_ - milliseconds(300);
    const Row rows[] = {
        {"early request that outlasts the stop", milliseconds(2000), false,
         milliseconds(4000), true, 502},
        {"early request", milliseconds(2000), false, milliseconds(900), true,
         504},
        {"request when clients have moved", milliseconds(2900), false,
         milliseconds(900), false, 503},
        {"late call that ends in time", milliseconds(3500), true,
         milliseconds(900), true, 504},
        {"late call that outlasts the stop", milliseconds(3500), true,
         milliseconds(4000), true, 504},
        {"call just before the end", final_answers - milliseconds(250), true,
         milliseconds(900), false, 503},
        {"call after the final answers", final_answers + milliseconds(100),
         true, milliseconds(900), false, 503}};
    for (const Row& row : rows) {
      RelayHarness harness(options);
      RouteTable table = RelayHarness::Table(1);
      for (RouteRule& route : table.routes_) {
        route.timeout_ = std::chrono::seconds(10);
      }
      harness.Feed(TableRead{.table_ = table, .text_ = "text"});
      harness.AddPeer(kPeer, 1);
      // Keeps the process from ending as soon as it is idle.
      harness.SendRequest(2, "/book/1", std::chrono::seconds(9));
      harness.Feed(StopRequested{});
      RunBesideAPeer(harness, row.stopping_for_);
      harness.TakeRunOrders();
      harness.Take<AnswerRequest>();
      if (row.is_call_) harness.state().called_routes_.insert("book");
      harness.Feed(
          RequestArrived{.request_id_ = 1,
                         .trace_id_ = "t",
                         .host_ = "h",
                         .remaining_ = row.remaining_,
                         .request_ = {.method_ = "GET", .target_ = "/book/1"}});
      const auto orders = harness.TakeRunOrders();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.passed_on_, !orders.empty());
      const Duration left = final_answers - row.stopping_for_;
      if (row.passed_on_ && row.is_call_) {
        // The backend server ends its work before the node would.
        CPPUNIT_ASSERT_MESSAGE(row.name_,
                               orders.front().second.remaining_ < left);
      }
      int status = 0;
      for (int i = 0; i < 1000 && status == 0; ++i) {
        for (const AnswerRequest& answer : harness.Take<AnswerRequest>()) {
          if (answer.request_id_ == 1) status = answer.response_.status_;
        }
        if (status == 0) RunBesideAPeer(harness, milliseconds(50));
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.last_status_, status);
    }
  }

  // Advances the clock while a peer sends statuses and other messages.
  static void RunBesideAPeer(RelayHarness& harness, Duration time) {
    constexpr Duration kStep = std::chrono::milliseconds(50);
    for (Duration left = time; left > Duration::zero(); left -= kStep) {
      harness.RunFor(kStep);
      harness.AddPeer(kPeer, 1);
      harness.Feed(LinkReceived{.peer_ = kPeer, .message_ = PeerPong{}});
    }
  }

  // A process may be suspended while it stops. The client must be answered
  // before the process ends, not have its connection reset.
  void RequestsThatOutlastAStopAreAnswered() {
    struct Row {
      const char* name_;
      const char* target_;
      bool suspended_;
      int status_;
    };
    const Row rows[] = {{"read", "/read/1", false, 502},
                        {"booking", "/book/1", false, 502},
                        {"booking, process suspended", "/book/1", true, 504}};
    for (const Row& row : rows) {
      RelayOptions options = RelayHarness::DefaultOptions();
      options.stop_linger_ = std::chrono::milliseconds(1500);
      options.stop_limit_ = std::chrono::milliseconds(2000);
      RelayHarness harness(options);
      harness.LoadTable();
      harness.AddPeer(kPeer, 1);
      harness.Feed(StopRequested{});
      harness.RunFor(options.stop_linger_ - std::chrono::milliseconds(50));
      harness.SendRequest(1, row.target_);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, std::size_t{1},
                                   harness.TakeRunOrders().size());
      if (row.suspended_) harness.SkipTime(std::chrono::seconds(3));
      harness.RunFor(std::chrono::milliseconds(500));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.status_,
                                   harness.TakeAnswerStatus());
      // A call that the local backend server makes now is refused immediately.
      harness.SendRequest(2, row.target_);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, 503, harness.TakeAnswerStatus());
      harness.RunFor(std::chrono::milliseconds(200));
      const auto ends = harness.Take<EndProcess>();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, std::size_t{1}, ends.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, std::uint64_t{0},
                                   ends.front().cut_off_);
    }
  }

  // Load pattern: client requests of two priorities lead to one service, which
  // is so saturated that runs wait. The entry must refuse those of the less
  // important route before any work is done for them. Without that, both routes
  // would lose requests after slots had been spent on them.
  void SaturatedServiceShedsLessImportantRequests() {
    RelayHarness harness;
    harness.LoadTable();
    std::uint64_t id = 0;
    int refused_reads = 0;
    int refused_bookings = 0;
    for (int tick = 0; tick < 80; ++tick) {
      HostStatus status{.address_ = kPeer,
                        .boot_ = 1,
                        .sent_at_ = harness.now().time_since_epoch(),
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
      harness.Feed(LinkReceived{.connection_id_ = 1, .message_ = status});
      if (tick == 0) harness.Feed(PeerConnected{kPeer});
      // 100 requests a second of 50 ms each against four slots.
      for (int i = 0; i < 5; ++i) {
        const bool booking = i % 2 == 0;
        harness.SendRequest(++id, booking ? "/book/1" : "/read/1");
        const int status_now = harness.TakeAnswerStatus();
        if (tick < 40 || status_now != 503) continue;
        ++(booking ? refused_bookings : refused_reads);
      }
      for (const auto& [peer, order] : harness.TakeRunOrders()) {
        RunReply reply{.send_id_ = order.send_id_,
                       .outcome_ = RunOutcome::kAnswered,
                       .running_ = 4,
                       .waiting_ = 2};
        reply.response_.status_ = 200;
        harness.Feed(LinkReceived{.peer_ = kPeer, .message_ = reply});
      }
      harness.Take<AnswerRequest>();
      harness.RunFor(std::chrono::milliseconds(50));
    }
    // The demand exceeds the slots by one: 20 requests a second, for 2 s.
    constexpr int kExcessRequests = 40;
    CPPUNIT_ASSERT(refused_reads > kExcessRequests * 3 / 4);
    CPPUNIT_ASSERT(refused_bookings < refused_reads / 4);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTests);

}  // namespace
}  // namespace jujubefront
