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
  explicit Entry(RelayOptions options = RelayHarness::DefaultOptions())
      : harness_(std::move(options)) {
    harness_.LoadTable();
    harness_.AddPeer(kFirst, 1);
    harness_.AddPeer(kSecond, 2);
    harness_.TakeRunOrders();
  }

  std::pair<std::string, RunOrder> Send(const char* target) {
    harness_.SendRequest(1, target);
    auto orders = harness_.TakeRunOrders();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
    return std::move(orders.front());
  }

  void Answer(const std::string& peer, LinkMessage message) {
    harness_.Feed(LinkReceived{.peer_ = peer, .message_ = std::move(message)});
  }

  RelayHarness harness_;
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
      const auto again = entry.harness_.TakeRunOrders();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.sent_again_, !again.empty());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.status_,
                                   entry.harness_.TakeAnswerStatus());
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
      const auto again = entry.harness_.TakeRunOrders();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.size());
      reply = row.second_;
      reply.send_id_ = again.front().second.send_id_;
      entry.Answer(again.front().first, reply);
      CPPUNIT_ASSERT(entry.harness_.TakeRunOrders().empty());
      const auto answers = entry.harness_.Take<AnswerRequest>();
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
      RelayOptions options = RelayHarness::DefaultOptions();
      options.ping_after_ = std::chrono::milliseconds(100);
      options.suspect_after_ = std::chrono::milliseconds(300);
      Entry entry(options);
      const auto [peer, order] = entry.Send("/read/1");
      entry.harness_.RunFor(std::chrono::milliseconds(500));
      // The silent host is passed over, and the request goes to the other.
      auto orders = entry.harness_.TakeRunOrders();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, std::size_t{1}, orders.size());
      RunReply late = row.late_;
      late.send_id_ = order.send_id_;
      entry.Answer(peer, late);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, 0,
                                   entry.harness_.TakeAnswerStatus());
      CPPUNIT_ASSERT_MESSAGE(row.name_, entry.harness_.TakeRunOrders().empty());
      RunReply good =
          Reply(orders.front().second.send_id_, RunOutcome::kAnswered, {}, 201);
      entry.Answer(orders.front().first, good);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, 201,
                                   entry.harness_.TakeAnswerStatus());
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
      entry.harness_.Feed(PeerDisconnected{peer});
      CPPUNIT_ASSERT_EQUAL(row.sent_again_,
                           !entry.harness_.TakeRunOrders().empty());
      CPPUNIT_ASSERT_EQUAL(row.status_, entry.harness_.TakeAnswerStatus());
    }
  }

  void TimeIsUp() {
    for (const char* target : {"/read/1", "/book/1"}) {
      Entry entry;
      entry.Send(target);
      // The answer is due at the client's deadline, before the route's.
      entry.harness_.SkipTime(std::chrono::milliseconds(890));
      entry.harness_.Feed(RelayTimeReached{});
      CPPUNIT_ASSERT_EQUAL(0, entry.harness_.TakeAnswerStatus());
      entry.harness_.SkipTime(std::chrono::milliseconds(10));
      entry.harness_.Feed(RelayTimeReached{});
      CPPUNIT_ASSERT_EQUAL(504, entry.harness_.TakeAnswerStatus());
    }
  }

  void ClientThatLeavesCancelsTheRun() {
    Entry entry;
    const auto [peer, order] = entry.Send("/read/1");
    entry.harness_.Feed(RequestCancelled{1});
    const auto sent = entry.harness_.Take<SendToPeer>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
    const auto* cancel = std::get_if<RunCancel>(&sent.front().message_);
    CPPUNIT_ASSERT(cancel != nullptr && cancel->send_id_ == order.send_id_);
    CPPUNIT_ASSERT_EQUAL(0, entry.harness_.TakeAnswerStatus());
  }

  // An idle peer sends nothing on our connection; that is no silence.
  void FirstRequestAfterAPauseMeetsNoSilentPeer() {
    Entry entry;
    entry.harness_.RunFor(std::chrono::seconds(20));
    entry.harness_.TakeRunOrders();
    entry.Send("/book/1");
    entry.harness_.RunFor(std::chrono::milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(0, entry.harness_.TakeAnswerStatus());
  }

  void SilentPeerIsPassedOver() {
    Entry entry;
    const auto [silent, order] = entry.Send("/book/1");
    entry.harness_.RunFor(std::chrono::milliseconds(950));
    entry.harness_.Take<AnswerRequest>();
    entry.harness_.TakeRunOrders();
    CPPUNIT_ASSERT(entry.harness_.state().peers_.at(silent).suspected_);
    for (std::uint64_t id = 10; id < 20; ++id) {
      entry.harness_.SendRequest(id, "/book/1");
    }
    for (const auto& [peer, sent] : entry.harness_.TakeRunOrders()) {
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
      RelayHarness& harness = entry.harness_;
      harness.SendRequest(1, "/book/1", milliseconds(999));
      const std::string silent = harness.TakeRunOrders().at(0).first;
      const std::string other = silent == kFirst ? kSecond : kFirst;
      if (!row.other_host_) harness.Feed(PeerDisconnected{other});
      harness.TakeRunOrders();
      const Timestamp end = harness.now() + row.silent_;
      while (harness.now() < end) {
        harness.RunFor(milliseconds(10));
        for (const SendToPeer& sent : harness.Take<SendToPeer>()) {
          if (!std::holds_alternative<PeerPing>(sent.message_)) continue;
          if (row.answers_pings_) entry.Answer(sent.peer_, PeerPong{});
        }
      }
      const Peer& peer = harness.state().peers_.at(silent);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.avoided_, peer.avoided_);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.suspected_, peer.suspected_);
      // The booking still waits for its answer.
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, 0, harness.TakeAnswerStatus());
      harness.SendRequest(2, "/book/1");
      const auto orders = harness.TakeRunOrders();
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
    RelayHarness& harness = entry.harness_;
    int into_silence = 0;
    for (std::uint64_t id = 1; id <= 80; ++id) {
      harness.SendRequest(id, "/read/1");
      for (const auto& [peer, order] : harness.TakeRunOrders()) {
        if (peer == kFirst) {
          ++into_silence;
          continue;
        }
        RunReply reply = Reply(order.send_id_, RunOutcome::kAnswered,
                               NotRunReason::kNone, 200);
        entry.Answer(peer, reply);
      }
      harness.RunFor(std::chrono::milliseconds(30));
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
      RelayHarness& harness = entry.harness_;
      harness.RunFor(std::chrono::milliseconds(200));
      harness.SendRequest(1, target, std::chrono::milliseconds(999));
      const auto orders = harness.TakeRunOrders();
      harness.SkipTime(std::chrono::milliseconds(950));
      harness.Feed(RelayTimeReached{});
      CPPUNIT_ASSERT(harness.TakeRunOrders().empty());
      CPPUNIT_ASSERT_EQUAL(0, harness.TakeAnswerStatus());
      entry.Answer(orders.at(0).first,
                   Reply(orders.at(0).second.send_id_, RunOutcome::kAnswered,
                         NotRunReason::kNone, 200));
      CPPUNIT_ASSERT_EQUAL(200, harness.TakeAnswerStatus());
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
      RelayHarness harness;
      harness.LoadTable();
      const auto address = [](int host) {
        return "10.0.0." + std::to_string(host + 10) + ":7000";
      };
      std::uint64_t connection = 0;
      for (int host = 0; host < 8; ++host) {
        harness.AddPeer(address(host), ++connection);
      }
      harness.Take<SetReady>();
      int into_silence = 0;
      for (std::uint64_t id = 1; id <= 100; ++id) {
        if (id <= 80) harness.SendRequest(id, "/book/1");
        for (SendToPeer& sent : harness.Take<SendToPeer>()) {
          int host = 0;
          while (address(host) != sent.peer_) ++host;
          const auto* order = std::get_if<RunOrder>(&sent.message_);
          if (host < row.silent_) {
            if (order != nullptr) ++into_silence;
          } else if (order != nullptr) {
            harness.Feed(LinkReceived{
                .peer_ = sent.peer_,
                .message_ = Reply(order->send_id_, RunOutcome::kAnswered,
                                  NotRunReason::kNone, 200)});
          } else if (std::holds_alternative<PeerPing>(sent.message_)) {
            harness.Feed(
                LinkReceived{.peer_ = sent.peer_, .message_ = PeerPong{}});
          }
        }
        harness.RunFor(milliseconds(10));
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.ready_,
                                   harness.state().ready_);
      // Within the first half second, or of the share that is silent.
      CPPUNIT_ASSERT_MESSAGE(row.name_,
                             into_silence <= 55 * row.silent_ / 8 + 5);
      harness.Take<AnswerRequest>();
      harness.SendRequest(200, "/book/1");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.refused_ ? 503 : 0,
                                   harness.TakeAnswerStatus());
      if (row.ready_) continue;
      for (int host = 0; host < 8; ++host) {
        harness.Feed(
            LinkReceived{.peer_ = address(host), .message_ = PeerPong{}});
      }
      harness.RunFor(milliseconds(100));
      CPPUNIT_ASSERT_MESSAGE(row.name_, harness.state().ready_);
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
      RelayHarness harness;
      if (row.has_table_) harness.LoadTable();
      harness.SendRequest(1, row.target_);
      CPPUNIT_ASSERT_EQUAL(row.status_, harness.TakeAnswerStatus());
    }
  }

  // Every backend server rejects everything that it gets.
  void RetriesStayWithinTheAllowance() {
    Entry entry;
    constexpr int kRequests = 400;
    int again = 0;
    for (std::uint64_t id = 1; id <= kRequests; ++id) {
      entry.harness_.SendRequest(id, "/read/1");
      auto orders = entry.harness_.TakeRunOrders();
      while (!orders.empty()) {
        entry.Answer(orders.front().first,
                     Reply(orders.front().second.send_id_, RunOutcome::kNotRun,
                           NotRunReason::kRejected));
        orders = entry.harness_.TakeRunOrders();
        again += static_cast<int>(orders.size());
      }
      entry.harness_.RunFor(std::chrono::milliseconds(10));
    }
    // The bound of the fleet is 0.2 of the requests and 48 more.
    CPPUNIT_ASSERT(again > 0);
    CPPUNIT_ASSERT(again <= kRequests * 0.2 + 48);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryTests);

}  // namespace
}  // namespace jujubefront
