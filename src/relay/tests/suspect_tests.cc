#include <functional>

#include "relay/tests/relay_harness.h"
#include "suspicion/suspicion.h"

namespace jujubefront {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kFirst = "10.0.0.2:7000";
constexpr const char* kSecond = "10.0.0.3:7000";
constexpr std::uint64_t kFirstConnection = 1;
constexpr std::uint64_t kSecondConnection = 2;
constexpr Fingerprint kContent{.high_ = 1, .low_ = 2};

// A notice that so many incarnations ended while they ran the content.
SuspicionNotice Ends(std::uint64_t count, Duration age = {}) {
  SuspicionNotice notice;
  for (std::uint64_t i = 1; i <= count; ++i) {
    notice.charges_.push_back(
        {.content_ = kContent, .caller_ = 5, .incarnation_ = i, .age_ = age});
  }
  return notice;
}

// A node with two other hosts of its service, in its zone.
struct Fleet {
  Fleet() {
    harness_.LoadTable();
    harness_.AddPeer(kFirst, kFirstConnection);
    harness_.AddPeer(kSecond, kSecondConnection);
    Clear();
  }

  void Clear() {
    harness_.TakeRunOrders();
    harness_.Take<SendBack>();
    harness_.Take<Decision>();
  }

  // A notice of the first host.
  void Hear(const SuspicionNotice& notice) {
    harness_.Feed(
        LinkReceived{.connection_id_ = kFirstConnection, .message_ = notice});
  }

  void Request(std::uint64_t id, const char* target) {
    harness_.Feed(
        RequestArrived{.request_id_ = id,
                       .trace_id_ = "t" + std::to_string(id),
                       .host_ = "h",
                       .remaining_ = milliseconds(900),
                       .content_ = kContent,
                       .request_ = {.method_ = "GET", .target_ = target}});
  }

  // An order for the own backend server.
  void Order(std::uint64_t send_id, const Fingerprint& content = kContent) {
    harness_.Feed(LinkReceived{
        .connection_id_ = kSecondConnection,
        .message_ = RunOrder{.send_id_ = send_id,
                             .trace_id_ = "o" + std::to_string(send_id),
                             .sent_at_ = harness_.now().time_since_epoch(),
                             .instance_ = "i-1",
                             .route_ = "read",
                             .caller_service_ = "other",
                             .content_ = content,
                             .idempotent_ = true,
                             .remaining_ = seconds(1),
                             .objective_left_ = seconds(1)}});
  }

  void Reply(const std::string& peer, const RunOrder& order, RunOutcome outcome,
             NotRunReason reason = NotRunReason::kNone) {
    harness_.Feed(LinkReceived{.peer_ = peer,
                               .message_ = RunReply{.send_id_ = order.send_id_,
                                                    .outcome_ = outcome,
                                                    .reason_ = reason}});
  }

  // Reasons of the orders that were not run, since the last call.
  std::vector<NotRunReason> TakeRefusals() {
    std::vector<NotRunReason> reasons;
    for (SendBack& back : harness_.Take<SendBack>()) {
      const auto* reply = std::get_if<RunReply>(&back.message_);
      if (reply == nullptr) continue;
      if (reply->outcome_ == RunOutcome::kNotRun) {
        reasons.push_back(reply->reason_);
      }
    }
    return reasons;
  }

  // Who was told about contents since the last call.
  std::vector<std::pair<std::string, SuspicionNotice>> TakeNotices() {
    std::vector<std::pair<std::string, SuspicionNotice>> notices;
    for (SendToPeer& sent : harness_.Take<SendToPeer>()) {
      if (auto* notice = std::get_if<SuspicionNotice>(&sent.message_)) {
        notices.emplace_back(sent.peer_, std::move(*notice));
      }
    }
    return notices;
  }

  // A status of the first host.
  void HearStatus(const char* zone, std::uint64_t digest) {
    harness_.Feed(LinkReceived{
        .connection_id_ = kFirstConnection,
        .message_ = HostStatus{.address_ = kFirst,
                               .boot_ = kFirstConnection,
                               .sent_at_ = harness_.now().time_since_epoch(),
                               .zone_ = zone,
                               .region_ = "r1",
                               .service_ = "svc",
                               .instance_ = "i-first",
                               .backend_ = BackendState::kReady,
                               .slots_ = 4,
                               .suspicion_digest_ = digest}});
  }

  RelayHarness harness_;
};

class SuspectTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SuspectTests);
  CPPUNIT_TEST(EntryDecidesByTheChargesKnown);
  CPPUNIT_TEST(NoticeDecidesWhatHappensToAnOpenRequest);
  CPPUNIT_TEST(ContainedContentsGoToOneSharedPlace);
  CPPUNIT_TEST(LastPlaceIsKeptFromContainedContents);
  CPPUNIT_TEST(HostRunsOneOfAContainedContentAtATime);
  CPPUNIT_TEST(CondemnedContentsAreRefusedBeforeTheyStart);
  CPPUNIT_TEST(EndOfTheOwnBackendServerIsToldToAll);
  CPPUNIT_TEST(WhatSucceededHereIsANeighbourOfTheCause);
  CPPUNIT_TEST(SuccessIsToldWhereItTakesChargesBack);
  CPPUNIT_TEST(NewsIsPassedOnOnce);
  CPPUNIT_TEST(HostsThatKnowNothingAreTold);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EntryDecidesByTheChargesKnown() {
    struct Row {
      const char* name_;
      std::uint64_t ends_;
      Duration age_;
      bool sent_;
    };
    const Row rows[] = {{"none", 0, {}, true},
                        {"two", 2, {}, true},
                        {"three", 3, {}, false},
                        {"three, nine minutes ago", 3, seconds(540), false},
                        {"three, long ago", 3, seconds(3600), true}};
    for (const Row& row : rows) {
      for (const char* target : {"/read/1", "/book/1"}) {
        Fleet fleet;
        fleet.Hear(Ends(row.ends_, row.age_));
        fleet.Clear();
        fleet.Request(1, target);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.sent_,
                                     !fleet.harness_.TakeRunOrders().empty());
        const auto answers = fleet.harness_.Take<AnswerRequest>();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.sent_, answers.empty());
        if (row.sent_) continue;
        // Not run, and not worth coming back for before the term is over.
        const Http1Response& response = answers.front().response_;
        CPPUNIT_ASSERT_EQUAL(503, response.status_);
        const std::string* again = FindHeader(response.headers_, "Retry-After");
        CPPUNIT_ASSERT(again != nullptr);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(600.0 - InSeconds(row.age_),
                                     std::stod(*again), 1.0);
      }
    }
  }

  // What becomes known while a request is on its way.
  void NoticeDecidesWhatHappensToAnOpenRequest() {
    struct Row {
      const char* name_;
      std::uint64_t ends_;
      RunOutcome outcome_;
      NotRunReason reason_;
      bool sent_again_;
      int status_;
    };
    const Row rows[] = {
        {"one end, answer lost", 1, RunOutcome::kBroken, NotRunReason::kNone,
         true, 0},
        {"two ends, answer lost", 2, RunOutcome::kBroken, NotRunReason::kNone,
         false, 502},
        {"three ends, answer lost", 3, RunOutcome::kBroken, NotRunReason::kNone,
         false, 502},
        {"three ends, not run", 3, RunOutcome::kNotRun,
         NotRunReason::kOverloaded, false, 503},
        {"kept back by the host", 0, RunOutcome::kNotRun,
         NotRunReason::kSuspect, false, 503},
    };
    for (const Row& row : rows) {
      Fleet fleet;
      fleet.Request(1, "/read/1");
      const auto orders = fleet.harness_.TakeRunOrders();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
      fleet.Hear(Ends(row.ends_));
      const auto& [peer, order] = orders.front();
      fleet.Reply(peer, order, row.outcome_, row.reason_);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.sent_again_,
                                   !fleet.harness_.TakeRunOrders().empty());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.status_,
                                   fleet.harness_.TakeAnswerStatus());
    }
  }

  void ContainedContentsGoToOneSharedPlace() {
    std::set<std::string> places;
    for (int i = 0; i < 8; ++i) {
      Fleet fleet;
      fleet.Hear(Ends(2));
      fleet.Clear();
      for (std::uint64_t id = 1; id <= 4; ++id) fleet.Request(id, "/read/1");
      for (const auto& [peer, order] : fleet.harness_.TakeRunOrders()) {
        places.insert(peer);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, places.size());
  }

  void LastPlaceIsKeptFromContainedContents() {
    Fleet fleet;
    fleet.Hear(Ends(2));
    fleet.harness_.Feed(PeerDisconnected{kSecond});
    fleet.Clear();
    fleet.Request(1, "/read/1");
    CPPUNIT_ASSERT(fleet.harness_.TakeRunOrders().empty());
    CPPUNIT_ASSERT_EQUAL(503, fleet.harness_.TakeAnswerStatus());
    fleet.harness_.SendRequest(2, "/read/1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.harness_.TakeRunOrders().size());
  }

  void HostRunsOneOfAContainedContentAtATime() {
    Fleet fleet;
    fleet.harness_.ReceiveHeartbeat();
    fleet.Hear(Ends(2));
    fleet.Clear();
    fleet.Order(1);
    fleet.Order(2);
    fleet.Order(3, {.high_ = 9});
    const auto runs = fleet.harness_.Take<StartRun>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, runs.size());
    CPPUNIT_ASSERT(fleet.TakeRefusals() ==
                   std::vector<NotRunReason>{NotRunReason::kSuspect});
    // Its failure is no success: the content stays contained.
    fleet.harness_.Feed(BackendResponded{.run_id_ = runs.front().run_id_,
                                         .response_ = {.status_ = 500}});
    fleet.Order(4);
    fleet.Order(5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         fleet.harness_.Take<StartRun>().size());
  }

  void CondemnedContentsAreRefusedBeforeTheyStart() {
    Fleet fleet;
    fleet.harness_.ReceiveHeartbeat();
    fleet.Order(1, {.high_ = 8});
    fleet.Order(2, {.high_ = 9});
    fleet.Order(3);  // waits for a slot
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         fleet.harness_.Take<StartRun>().size());
    CPPUNIT_ASSERT(fleet.TakeRefusals().empty());
    fleet.Hear(Ends(3));
    CPPUNIT_ASSERT(fleet.TakeRefusals() ==
                   std::vector<NotRunReason>{NotRunReason::kSuspect});
    fleet.Order(4);
    CPPUNIT_ASSERT(fleet.TakeRefusals() ==
                   std::vector<NotRunReason>{NotRunReason::kSuspect});
    CPPUNIT_ASSERT(fleet.harness_.Take<StartRun>().empty());
  }

  // The zone, and first of all the entry that waits for the answer.
  void EndOfTheOwnBackendServerIsToldToAll() {
    Fleet fleet;
    fleet.harness_.ReceiveHeartbeat();
    fleet.Order(1);
    const auto runs = fleet.harness_.Take<StartRun>();
    fleet.TakeNotices();
    fleet.Clear();
    fleet.harness_.Feed(BackendExchangeFailed{.run_id_ = runs.front().run_id_});
    CPPUNIT_ASSERT(fleet.TakeNotices().empty());
    fleet.harness_.Feed(BackendProbed{.probe_ = BackendProbe::kRefused});
    std::size_t to_entry = 0;
    for (const SendBack& back : fleet.harness_.Take<SendBack>()) {
      if (!std::holds_alternative<SuspicionNotice>(back.message_)) continue;
      CPPUNIT_ASSERT_EQUAL(kSecondConnection, back.connection_id_);
      ++to_entry;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, to_entry);
    const auto notices = fleet.TakeNotices();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, notices.size());
    for (const auto& [peer, notice] : notices) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, notice.charges_.size());
      CPPUNIT_ASSERT(notice.charges_.front().content_ == kContent);
    }
    // The new incarnation is no second end of the old one.
    fleet.harness_.ReceiveHeartbeat("i-2", 2);
    CPPUNIT_ASSERT(fleet.TakeNotices().empty());
  }

  // Many harmless requests are alike; all that run on a backend server are
  // charged with its end.
  void WhatSucceededHereIsANeighbourOfTheCause() {
    Fleet fleet;
    fleet.harness_.ReceiveHeartbeat();
    constexpr Fingerprint kHarmless{.high_ = 9};
    fleet.Order(1, kHarmless);
    const auto runs = fleet.harness_.Take<StartRun>();
    fleet.harness_.Feed(BackendResponded{.run_id_ = runs.front().run_id_,
                                         .response_ = {.status_ = 200}});
    fleet.Order(2, kHarmless);
    fleet.Order(3);
    fleet.TakeNotices();
    for (const StartRun& run : fleet.harness_.Take<StartRun>()) {
      fleet.harness_.Feed(BackendExchangeFailed{.run_id_ = run.run_id_});
    }
    fleet.harness_.Feed(BackendProbed{.probe_ = BackendProbe::kRefused});
    const auto notices = fleet.TakeNotices();
    CPPUNIT_ASSERT(!notices.empty());
    for (const auto& [peer, notice] : notices) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, notice.charges_.size());
      CPPUNIT_ASSERT(notice.charges_.front().content_ == kContent);
    }
    CPPUNIT_ASSERT_EQUAL(
        0U, ChargesAgainst(fleet.harness_.state().content_watch_.known_,
                           kHarmless));
  }

  void SuccessIsToldWhereItTakesChargesBack() {
    for (const std::uint64_t ends : {0, 1, 2}) {
      Fleet fleet;
      fleet.harness_.ReceiveHeartbeat();
      fleet.Hear(Ends(ends));
      fleet.Order(1);
      fleet.TakeNotices();
      const auto runs = fleet.harness_.Take<StartRun>();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs.size());
      fleet.harness_.Feed(BackendResponded{.run_id_ = runs.front().run_id_,
                                           .response_ = {.status_ = 200}});
      const auto notices = fleet.TakeNotices();
      CPPUNIT_ASSERT_EQUAL(ends >= 2, !notices.empty());
      for (const auto& [peer, notice] : notices) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, notice.clearances_.size());
      }
    }
  }

  void NewsIsPassedOnOnce() {
    struct Row {
      const char* zone_;  // of the host that tells
      bool passed_on_;
    };
    for (const Row& row : {Row{"z1", false}, Row{"z2", true}}) {
      Fleet fleet;
      fleet.HearStatus(row.zone_, 0);
      fleet.TakeNotices();
      fleet.Hear(Ends(2));
      const auto first = fleet.TakeNotices();
      CPPUNIT_ASSERT_EQUAL(row.passed_on_, !first.empty());
      for (const auto& [peer, notice] : first) {
        CPPUNIT_ASSERT_EQUAL(std::string(kSecond), peer);
      }
      fleet.Hear(Ends(2));
      CPPUNIT_ASSERT(fleet.TakeNotices().empty());
    }
  }

  // A host that has started, or was cut off, says with its status that it
  // knows something else.
  void HostsThatKnowNothingAreTold() {
    struct Row {
      const char* name_;
      std::uint64_t ends_;
      bool knows_;
      bool told_;
    };
    for (const Row& row :
         {Row{"nothing in force", 0, false, false},
          Row{"one end", 1, false, false}, Row{"two ends", 2, false, true},
          Row{"three ends", 3, false, true}, Row{"it knows", 3, true, false}}) {
      Fleet fleet;
      fleet.Hear(Ends(row.ends_));
      fleet.harness_.RunFor(seconds(1));
      fleet.TakeNotices();
      const std::uint64_t digest =
          fleet.harness_.state().content_watch_.known_.digest_;
      fleet.HearStatus("z1", row.knows_ ? digest : 0);
      fleet.harness_.RunFor(milliseconds(200));
      std::size_t told = 0;
      for (const auto& [peer, notice] : fleet.TakeNotices()) {
        if (peer != kFirst) continue;
        ++told;
        CPPUNIT_ASSERT_EQUAL(std::size_t{row.ends_}, notice.charges_.size());
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.told_ ? std::size_t{1} : 0,
                                   told);
      // Not again before the host has reported.
      fleet.harness_.RunFor(seconds(5));
      for (const auto& [peer, notice] : fleet.TakeNotices()) {
        CPPUNIT_ASSERT_MESSAGE(row.name_, peer != kFirst);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspectTests);

}  // namespace
}  // namespace jujubefront
