#include "relay/tests/relay_harness.h"

namespace jujubefront {
namespace {

constexpr const char* kFirst = "10.0.0.2:7000";
constexpr const char* kSecond = "10.0.0.3:7000";

RunReply Reply(std::uint64_t send_id, RunOutcome outcome,
               NotRunReason reason = NotRunReason::kNone, int status = 0) {
  RunReply reply{.send_id_ = send_id, .outcome_ = outcome, .reason_ = reason};
  reply.response_.status_ = status;
  return reply;
}

// An entry with two other hosts of the service.
struct Entry {
  explicit Entry(RelayOptions options = RelayBench::DefaultOptions())
      : bench_(std::move(options)) {
    bench_.LearnTable();
    bench_.AddPeer(kFirst, 1);
    bench_.AddPeer(kSecond, 2);
    bench_.TakeOrders();
  }

  std::pair<std::string, RunOrder> Send(const char* target) {
    bench_.Request(1, target);
    auto orders = bench_.TakeOrders();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
    return std::move(orders.front());
  }

  void Answer(const std::string& peer, LinkMessage message) {
    bench_.Feed(LinkReceived{.peer_ = peer, .message_ = std::move(message)});
  }

  RelayBench bench_;
};

class EntryTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryTests);
  CPPUNIT_TEST(AnswersByWhatIsKnown);
  CPPUNIT_TEST(SecondAnswerStopsAtTheAttempts);
  CPPUNIT_TEST(LateReplyToAnEarlierSendCountsForNothing);
  CPPUNIT_TEST(LostConnectionLeavesOpenWhetherItRan);
  CPPUNIT_TEST(TimeIsUp);
  CPPUNIT_TEST(ClientThatLeavesCancelsTheRun);
  CPPUNIT_TEST(FirstRequestAfterAPauseMeetsNoSilentPeer);
  CPPUNIT_TEST(SilentPeerIsPassedOver);
  CPPUNIT_TEST(SilenceIsAvoidedLongBeforeItIsGivenUp);
  CPPUNIT_TEST(FewRequestsGoIntoSilence);
  CPPUNIT_TEST(OwnPauseIsNobodysSilence);
  CPPUNIT_TEST(WhoIsCutOffSendsNothingIntoSilence);
  CPPUNIT_TEST(UnroutedRequests);
  CPPUNIT_TEST(RetriesStayWithinTheAllowance);
  CPPUNIT_TEST_SUITE_END();

 public:
  // What the first host says of an order, and what follows from it.
  void AnswersByWhatIsKnown() {
    struct Row {
      const char* name_;
      const char* target_;
      RunReply reply_;
      bool sent_again_;
      int status_;  // given to the client at once; 0: none yet
    };
    const Row rows[] = {
        {"answered", "/read/1", Reply(0, RunOutcome::kAnswered, {}, 200), false,
         200},
        {"booking answered", "/book/1",
         Reply(0, RunOutcome::kAnswered, {}, 200), false, 200},
        {"no slot", "/read/1",
         Reply(0, RunOutcome::kNotRun, NotRunReason::kOverloaded), true, 0},
        {"booking, no slot", "/book/1",
         Reply(0, RunOutcome::kNotRun, NotRunReason::kOverloaded), true, 0},
        {"booking rejected unrun", "/book/1",
         Reply(0, RunOutcome::kNotRun, NotRunReason::kRejected), true, 0},
        {"answer lost", "/read/1", Reply(0, RunOutcome::kBroken), true, 0},
        {"booking, answer lost", "/book/1", Reply(0, RunOutcome::kBroken),
         false, 502},
        {"failed by itself", "/read/1",
         Reply(0, RunOutcome::kAnswered, {}, 500), true, 0},
        {"booking failed by itself", "/book/1",
         Reply(0, RunOutcome::kAnswered, {}, 500), false, 500},
        {"timed out", "/read/1", Reply(0, RunOutcome::kTimedOut), false, 504},
        {"booking timed out", "/book/1", Reply(0, RunOutcome::kTimedOut), false,
         504},
    };
    for (const Row& row : rows) {
      Entry entry;
      const auto [peer, order] = entry.Send(row.target_);
      RunReply reply = row.reply_;
      reply.send_id_ = order.send_id_;
      entry.Answer(peer, reply);
      const auto again = entry.bench_.TakeOrders();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.sent_again_, !again.empty());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.status_,
                                   entry.bench_.TakeStatus());
      if (row.sent_again_) CPPUNIT_ASSERT(again.front().first != peer);
    }
  }

  // The route allows two backend servers. A client that may be told "not run"
  // is told when to come back; a run that may have happened is never denied.
  void SecondAnswerStopsAtTheAttempts() {
    struct Row {
      RunReply first_;
      RunReply second_;
      int status_;
      bool retry_after_;
    };
    const RunReply rejected =
        Reply(0, RunOutcome::kNotRun, NotRunReason::kRejected);
    const RunReply lost = Reply(0, RunOutcome::kBroken);
    const Row rows[] = {
        {rejected, rejected, 503, true},
        {rejected, lost, 502, false},
        {lost, rejected, 502, false},
        {lost, lost, 502, false},
    };
    for (const Row& row : rows) {
      Entry entry;
      auto [peer, order] = entry.Send("/read/1");
      RunReply reply = row.first_;
      reply.send_id_ = order.send_id_;
      entry.Answer(peer, reply);
      const auto again = entry.bench_.TakeOrders();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.size());
      reply = row.second_;
      reply.send_id_ = again.front().second.send_id_;
      entry.Answer(again.front().first, reply);
      CPPUNIT_ASSERT(entry.bench_.TakeOrders().empty());
      const auto answers = entry.bench_.Take<AnswerRequest>();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
      CPPUNIT_ASSERT_EQUAL(row.status_, answers.front().response_.status_);
      const auto& headers = answers.front().response_.headers_;
      CPPUNIT_ASSERT_EQUAL(row.retry_after_,
                           FindHeader(headers, "Retry-After") != nullptr);
    }
  }

  // After a retry went out, whatever still comes for the first send decides
  // nothing: neither a "not run" nor an answer.
  void LateReplyToAnEarlierSendCountsForNothing() {
    struct Row {
      const char* name_;
      RunReply late_;
    };
    const Row rows[] = {
        {"late not run",
         Reply(0, RunOutcome::kNotRun, NotRunReason::kOverloaded)},
        {"late answer", Reply(0, RunOutcome::kAnswered, {}, 200)},
        {"late loss", Reply(0, RunOutcome::kBroken)},
    };
    for (const Row& row : rows) {
      RelayOptions options = RelayBench::DefaultOptions();
      options.ping_after_ = std::chrono::milliseconds(100);
      options.suspect_after_ = std::chrono::milliseconds(300);
      Entry entry(options);
      const auto [peer, order] = entry.Send("/read/1");
      entry.bench_.Pass(std::chrono::milliseconds(500));
      // The silent host is passed over, and the request goes to the other.
      auto orders = entry.bench_.TakeOrders();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, std::size_t{1}, orders.size());
      RunReply late = row.late_;
      late.send_id_ = order.send_id_;
      entry.Answer(peer, late);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, 0, entry.bench_.TakeStatus());
      CPPUNIT_ASSERT_MESSAGE(row.name_, entry.bench_.TakeOrders().empty());
      RunReply good =
          Reply(orders.front().second.send_id_, RunOutcome::kAnswered, {}, 201);
      entry.Answer(orders.front().first, good);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, 201, entry.bench_.TakeStatus());
    }
  }

  void LostConnectionLeavesOpenWhetherItRan() {
    struct Row {
      const char* target_;
      bool sent_again_;
      int status_;
    };
    const Row rows[] = {{"/read/1", true, 0}, {"/book/1", false, 502}};
    for (const Row& row : rows) {
      Entry entry;
      const auto [peer, order] = entry.Send(row.target_);
      entry.bench_.Feed(PeerDisconnected{peer});
      CPPUNIT_ASSERT_EQUAL(row.sent_again_, !entry.bench_.TakeOrders().empty());
      CPPUNIT_ASSERT_EQUAL(row.status_, entry.bench_.TakeStatus());
    }
  }

  void TimeIsUp() {
    for (const char* target : {"/read/1", "/book/1"}) {
      Entry entry;
      entry.Send(target);
      // The answer is due at the client's deadline, before the route's.
      entry.bench_.Jump(std::chrono::milliseconds(890));
      entry.bench_.Feed(RelayTimeReached{});
      CPPUNIT_ASSERT_EQUAL(0, entry.bench_.TakeStatus());
      entry.bench_.Jump(std::chrono::milliseconds(10));
      entry.bench_.Feed(RelayTimeReached{});
      CPPUNIT_ASSERT_EQUAL(504, entry.bench_.TakeStatus());
    }
  }

  void ClientThatLeavesCancelsTheRun() {
    Entry entry;
    const auto [peer, order] = entry.Send("/read/1");
    entry.bench_.Feed(RequestCancelled{1});
    const auto sent = entry.bench_.Take<SendToPeer>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
    const auto* cancel = std::get_if<RunCancel>(&sent.front().message_);
    CPPUNIT_ASSERT(cancel != nullptr && cancel->send_id_ == order.send_id_);
    CPPUNIT_ASSERT_EQUAL(0, entry.bench_.TakeStatus());
  }

  // An idle peer sends nothing on our connection; that is no silence.
  void FirstRequestAfterAPauseMeetsNoSilentPeer() {
    Entry entry;
    entry.bench_.Pass(std::chrono::seconds(20));
    entry.bench_.TakeOrders();
    entry.Send("/book/1");
    entry.bench_.Pass(std::chrono::milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(0, entry.bench_.TakeStatus());
  }

  void SilentPeerIsPassedOver() {
    Entry entry;
    const auto [silent, order] = entry.Send("/book/1");
    entry.bench_.Pass(std::chrono::milliseconds(950));
    entry.bench_.Take<AnswerRequest>();
    entry.bench_.TakeOrders();
    CPPUNIT_ASSERT(entry.bench_.state().peers_.at(silent).suspected_);
    for (std::uint64_t id = 10; id < 20; ++id) {
      entry.bench_.Request(id, "/book/1");
    }
    for (const auto& [peer, sent] : entry.bench_.TakeOrders()) {
      CPPUNIT_ASSERT(peer != silent);
    }
  }

  // Two beliefs: a silent host gets nothing new soon, what waits for it is
  // given up late, and never the last host of a service.
  void SilenceIsAvoidedLongBeforeItIsGivenUp() {
    struct Row {
      const char* name_;
      Duration silent_;
      bool answers_pings_;  // a slow run, or a pause shorter than a ping
      bool other_host_;
      bool avoided_;
      bool suspected_;
    };
    using std::chrono::milliseconds;
    const Row rows[] = {
        {"pause of a busy host", milliseconds(200), false, true, false, false},
        {"silent", milliseconds(400), false, true, true, false},
        {"long silent", milliseconds(950), false, true, true, true},
        {"slow run", milliseconds(950), true, true, false, false},
        {"last host of the service", milliseconds(400), false, false, true,
         false},
    };
    for (const Row& row : rows) {
      Entry entry;
      RelayBench& bench = entry.bench_;
      bench.Request(1, "/book/1", milliseconds(999));
      const std::string silent = bench.TakeOrders().at(0).first;
      const std::string other = silent == kFirst ? kSecond : kFirst;
      if (!row.other_host_) bench.Feed(PeerDisconnected{other});
      bench.TakeOrders();
      const Timestamp end = bench.now() + row.silent_;
      while (bench.now() < end) {
        bench.Pass(milliseconds(10));
        for (const SendToPeer& sent : bench.Take<SendToPeer>()) {
          if (!std::holds_alternative<PeerPing>(sent.message_)) continue;
          if (row.answers_pings_) entry.Answer(sent.peer_, PeerPong{});
        }
      }
      const Peer& peer = bench.state().peers_.at(silent);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.avoided_, peer.avoided_);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.suspected_, peer.suspected_);
      // The booking still waits for its answer.
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, 0, bench.TakeStatus());
      bench.Request(2, "/book/1");
      const auto orders = bench.TakeOrders();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, std::size_t{1}, orders.size());
      if (row.avoided_) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            row.name_, row.other_host_ ? other : silent, orders.front().first);
      }
      // Its first word ends it.
      entry.Answer(silent, PeerPong{});
      CPPUNIT_ASSERT_MESSAGE(row.name_, !peer.avoided_ && !peer.suspected_);
    }
  }

  // Load pattern: one of two hosts is cut off without a word, at forty requests
  // a second. Requests go there until it is avoided, and not again while it
  // stays silent.
  void FewRequestsGoIntoSilence() {
    Entry entry;
    RelayBench& bench = entry.bench_;
    int into_silence = 0;
    for (std::uint64_t id = 1; id <= 80; ++id) {
      bench.Request(id, "/read/1");
      for (const auto& [peer, order] : bench.TakeOrders()) {
        if (peer == kFirst) {
          ++into_silence;
          continue;
        }
        RunReply reply = Reply(order.send_id_, RunOutcome::kAnswered,
                               NotRunReason::kNone, 200);
        entry.Answer(peer, reply);
      }
      bench.Pass(std::chrono::milliseconds(30));
    }
    CPPUNIT_ASSERT(into_silence > 0);
    // Those of a third of a second, both hosts alike.
    CPPUNIT_ASSERT(into_silence <= 8);
  }

  // This process stood still: answers that arrived meanwhile are read after
  // its timers, and nobody has been silent.
  void OwnPauseIsNobodysSilence() {
    for (const char* target : {"/read/1", "/book/1"}) {
      Entry entry;
      RelayBench& bench = entry.bench_;
      bench.Pass(std::chrono::milliseconds(200));
      bench.Request(1, target, std::chrono::milliseconds(999));
      const auto orders = bench.TakeOrders();
      bench.Jump(std::chrono::milliseconds(950));
      bench.Feed(RelayTimeReached{});
      CPPUNIT_ASSERT(bench.TakeOrders().empty());
      CPPUNIT_ASSERT_EQUAL(0, bench.TakeStatus());
      entry.Answer(orders.at(0).first,
                   Reply(orders.at(0).second.send_id_, RunOutcome::kAnswered,
                         NotRunReason::kNone, 200));
      CPPUNIT_ASSERT_EQUAL(200, bench.TakeStatus());
    }
  }

  // Load pattern: hosts of the zone are cut off together, or this one is. Two
  // silences have all others probed. A node that hears nobody refuses at once
  // what it has not sent, and is not ready until somebody answers.
  void WhoIsCutOffSendsNothingIntoSilence() {
    struct Row {
      const char* name_;
      int silent_;  // of eight hosts
      bool ready_;
      bool refused_;
    };
    const Row rows[] = {{"one silent", 1, true, false},
                        {"three silent", 3, true, false},
                        {"all silent", 8, false, true}};
    using std::chrono::milliseconds;
    for (const Row& row : rows) {
      RelayBench bench;
      bench.LearnTable();
      const auto address = [](int host) {
        return "10.0.0." + std::to_string(host + 10) + ":7000";
      };
      std::uint64_t connection = 0;
      for (int host = 0; host < 8; ++host) {
        bench.AddPeer(address(host), ++connection);
      }
      bench.Take<SetReady>();
      int into_silence = 0;
      for (std::uint64_t id = 1; id <= 100; ++id) {
        if (id <= 80) bench.Request(id, "/book/1");
        for (SendToPeer& sent : bench.Take<SendToPeer>()) {
          int host = 0;
          while (address(host) != sent.peer_) ++host;
          const auto* order = std::get_if<RunOrder>(&sent.message_);
          if (host < row.silent_) {
            if (order != nullptr) ++into_silence;
          } else if (order != nullptr) {
            bench.Feed(LinkReceived{
                .peer_ = sent.peer_,
                .message_ = Reply(order->send_id_, RunOutcome::kAnswered,
                                  NotRunReason::kNone, 200)});
          } else if (std::holds_alternative<PeerPing>(sent.message_)) {
            bench.Feed(
                LinkReceived{.peer_ = sent.peer_, .message_ = PeerPong{}});
          }
        }
        bench.Pass(milliseconds(10));
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.ready_, bench.state().ready_);
      // Within the first half second, or of the share that is silent.
      CPPUNIT_ASSERT_MESSAGE(row.name_,
                             into_silence <= 55 * row.silent_ / 8 + 5);
      bench.Take<AnswerRequest>();
      bench.Request(200, "/book/1");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.refused_ ? 503 : 0,
                                   bench.TakeStatus());
      if (row.ready_) continue;
      for (int host = 0; host < 8; ++host) {
        bench.Feed(
            LinkReceived{.peer_ = address(host), .message_ = PeerPong{}});
      }
      bench.Pass(milliseconds(100));
      CPPUNIT_ASSERT_MESSAGE(row.name_, bench.state().ready_);
    }
  }

  void UnroutedRequests() {
    struct Row {
      bool has_table_;
      const char* target_;
      int status_;
    };
    const Row rows[] = {{false, "/read/1", 503}, {true, "/none/1", 404}};
    for (const Row& row : rows) {
      RelayBench bench;
      if (row.has_table_) bench.LearnTable();
      bench.Request(1, row.target_);
      CPPUNIT_ASSERT_EQUAL(row.status_, bench.TakeStatus());
    }
  }

  // Every backend server rejects everything that it gets.
  void RetriesStayWithinTheAllowance() {
    Entry entry;
    constexpr int kRequests = 400;
    int again = 0;
    for (std::uint64_t id = 1; id <= kRequests; ++id) {
      entry.bench_.Request(id, "/read/1");
      auto orders = entry.bench_.TakeOrders();
      while (!orders.empty()) {
        entry.Answer(orders.front().first,
                     Reply(orders.front().second.send_id_, RunOutcome::kNotRun,
                           NotRunReason::kRejected));
        orders = entry.bench_.TakeOrders();
        again += static_cast<int>(orders.size());
      }
      entry.bench_.Pass(std::chrono::milliseconds(10));
    }
    // The bound of the fleet is 0.2 of the requests and 48 more.
    CPPUNIT_ASSERT(again > 0);
    CPPUNIT_ASSERT(again <= kRequests * 0.2 + 48);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryTests);

}  // namespace
}  // namespace jujubefront
