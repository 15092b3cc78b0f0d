#include <algorithm>
#include <functional>

#include "base/hashing.h"
#include "relay/tests/relay_harness.h"
#include "suspicion/suspicion.h"

namespace jujubefront {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kFirstPeer = "10.0.0.2:7000";
constexpr const char* kSecondPeer = "10.0.0.3:7000";
constexpr std::uint64_t kFirstConnection = 1;
constexpr std::uint64_t kSecondConnection = 2;
constexpr Fingerprint kContent{.high_ = 1, .low_ = 2};

// A notice with charges of `count` incarnations, all of the same content.
SuspicionNotice CrashNotice(std::uint64_t count, Duration age = {}) {
  SuspicionNotice notice;
  for (std::uint64_t i = 1; i <= count; ++i) {
    notice.charges_.push_back(
        {.content_ = kContent, .caller_ = 5, .incarnation_ = i, .age_ = age});
  }
  return notice;
}

// A node with two other hosts of its service in its zone.
struct NodeWithPeers {
  explicit NodeWithPeers(bool ranks_first = false)
      : harness_(MakeOptions(ranks_first)) {
    harness_.LoadTable();
    harness_.AddPeer(kFirstPeer, kFirstConnection);
    harness_.AddPeer(kSecondPeer, kSecondConnection);
    DiscardOutput();
  }

  // Options with an address that ranks first, or last, in the zone.
  static RelayOptions MakeOptions(bool ranks_first) {
    RelayOptions options = RelayHarness::DefaultOptions();
    const auto rank = [&](const std::string& address) {
      return HashBytes(options.zone_ + '/' + address);
    };
    const auto [first, last] =
        std::minmax({rank(kFirstPeer), rank(kSecondPeer)});
    for (int i = 1; ranks_first ? rank(options.address_) >= first
                                : rank(options.address_) <= last;
         ++i) {
      options.address_ = "10.0.2." + std::to_string(i) + ":7000";
    }
    return options;
  }

  void DiscardOutput() {
    harness_.TakeRunOrders();
    harness_.Take<SendBack>();
    harness_.Take<Decision>();
  }

  // Receives a notice from the first host.
  void ReceiveNotice(const SuspicionNotice& notice) {
    harness_.Feed(
        LinkReceived{.connection_id_ = kFirstConnection, .message_ = notice});
  }

  void SendSuspectRequest(std::uint64_t id, const char* target) {
    harness_.Feed(
        RequestArrived{.request_id_ = id,
                       .trace_id_ = "t" + std::to_string(id),
                       .host_ = "h",
                       .remaining_ = milliseconds(900),
                       .content_ = kContent,
                       .request_ = {.method_ = "GET", .target_ = target}});
  }

  // Receives an order for the local backend server.
  void ReceiveOrder(std::uint64_t send_id,
                    const Fingerprint& content = kContent) {
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

  void ReceiveReply(const std::string& peer, const RunOrder& order,
                    RunOutcome outcome,
                    NotRunReason reason = NotRunReason::kNone) {
    harness_.Feed(LinkReceived{.peer_ = peer,
                               .message_ = RunReply{.send_id_ = order.send_id_,
                                                    .outcome_ = outcome,
                                                    .reason_ = reason}});
  }

  // Reasons of the orders refused since the last call.
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

  // Suspicion notices sent since the last call, with their receivers.
  std::vector<std::pair<std::string, SuspicionNotice>> TakeNotices() {
    std::vector<std::pair<std::string, SuspicionNotice>> notices;
    for (SendToPeer& sent : harness_.Take<SendToPeer>()) {
      if (auto* notice = std::get_if<SuspicionNotice>(&sent.message_)) {
        notices.emplace_back(sent.peer_, std::move(*notice));
      }
    }
    return notices;
  }

  // Receives a status from the first host.
  void ReceiveStatus(const char* zone, std::uint64_t digest) {
    harness_.Feed(LinkReceived{
        .connection_id_ = kFirstConnection,
        .message_ = HostStatus{.address_ = kFirstPeer,
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
  CPPUNIT_TEST(EntryRefusesOnlyCondemnedContents);
  CPPUNIT_TEST(ContainedContentsAreNotResent);
  CPPUNIT_TEST(ContainedContentsAreSentToOneSharedHost);
  CPPUNIT_TEST(ContainedContentsAreNotSentToTheLastHost);
  CPPUNIT_TEST(HostRunsAContainedContentOneAtATime);
  CPPUNIT_TEST(CondemnedContentsAreRefusedAtTheHost);
  CPPUNIT_TEST(CrashOfTheLocalBackendServerIsBroadcastOnce);
  CPPUNIT_TEST(ContentsThatSucceededRecentlyAreNotCharged);
  CPPUNIT_TEST(SuccessOfAContainedContentIsBroadcast);
  CPPUNIT_TEST(NoticesOfOtherZonesAreForwardedOnce);
  CPPUNIT_TEST(HostsWithAnotherDigestReceiveAllCharges);
  CPPUNIT_TEST(CondemnedContentsAreKeptInTheStore);
  CPPUNIT_TEST(FailedWritesToTheStoreAreRepeated);
  CPPUNIT_TEST(RestoredStoreGetsCondemnedContentsAgain);
  CPPUNIT_TEST(ExpiredCondemnationsAreRemovedFromTheStore);
  CPPUNIT_TEST(RestartedNodeReadsCondemnedContentsFromTheStore);
  CPPUNIT_TEST(DocumentOfAPeerComesWithItsCharges);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against sending on a content that has crashed three incarnations:
  // the entry refuses it until the condemnation is over, and Retry-After says
  // when that is. With fewer charges, or expired ones, refusing it would deny
  // service to a harmless request.
  void EntryRefusesOnlyCondemnedContents() {
    struct Row {
      const char* name_;
      std::uint64_t charges_;
      Duration age_;
      bool sent_;
    };
    const Row rows[] = {
        {"no charges", 0, {}, true},
        {"two charges", 2, {}, true},
        {"three charges", 3, {}, false},
        {"three charges, nine minutes old", 3, seconds(540), false},
        {"three charges, an hour old", 3, seconds(3600), true}};
    for (const Row& row : rows) {
      for (const char* target : {"/read/1", "/book/1"}) {
        NodeWithPeers node;
        node.ReceiveNotice(CrashNotice(row.charges_, row.age_));
        node.DiscardOutput();
        node.SendSuspectRequest(1, target);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.sent_,
                                     !node.harness_.TakeRunOrders().empty());
        const auto answers = node.harness_.Take<AnswerRequest>();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.sent_, answers.empty());
        if (row.sent_) continue;
        // Retry-After is the rest of the condemnation, 600 s from the charges.
        const Http1Response& response = answers.front().response_;
        CPPUNIT_ASSERT_EQUAL(503, response.status_);
        const std::string* again = FindHeader(response.headers_, "Retry-After");
        CPPUNIT_ASSERT(again != nullptr);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(600.0 - InSeconds(row.age_),
                                     std::stod(*again), 1.0);
      }
    }
  }

  // Charges may become known while a request is at another host. If that host
  // then fails, resending a contained or condemned content could crash the next
  // backend server; a single charge is no reason to give up a harmless request.
  void ContainedContentsAreNotResent() {
    struct Row {
      const char* name_;
      std::uint64_t charges_;
      RunOutcome outcome_;
      NotRunReason reason_;
      bool sent_again_;
      int status_;
    };
    const Row rows[] = {
        {"one charge, answer lost", 1, RunOutcome::kBroken, NotRunReason::kNone,
         true, 0},
        {"two charges, answer lost", 2, RunOutcome::kBroken,
         NotRunReason::kNone, false, 502},
        {"three charges, answer lost", 3, RunOutcome::kBroken,
         NotRunReason::kNone, false, 502},
        {"three charges, not run", 3, RunOutcome::kNotRun,
         NotRunReason::kOverloaded, false, 503},
        {"refused by the host as suspect", 0, RunOutcome::kNotRun,
         NotRunReason::kSuspect, false, 503},
    };
    for (const Row& row : rows) {
      NodeWithPeers node;
      node.SendSuspectRequest(1, "/read/1");
      const auto orders = node.harness_.TakeRunOrders();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
      node.ReceiveNotice(CrashNotice(row.charges_));
      const auto& [peer, order] = orders.front();
      node.ReceiveReply(peer, order, row.outcome_, row.reason_);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.sent_again_,
                                   !node.harness_.TakeRunOrders().empty());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.status_,
                                   node.harness_.TakeAnswerStatus());
    }
  }

  // Requests with a contained content all go to one host, the same for every
  // node, so that a further crash affects only that host. Spread over all
  // hosts, such requests could crash several backend servers together.
  void ContainedContentsAreSentToOneSharedHost() {
    std::set<std::string> hosts;
    for (int i = 0; i < 8; ++i) {
      NodeWithPeers node;
      node.ReceiveNotice(CrashNotice(2));
      node.DiscardOutput();
      for (std::uint64_t id = 1; id <= 4; ++id)
        node.SendSuspectRequest(id, "/read/1");
      for (const auto& [peer, order] : node.harness_.TakeRunOrders()) {
        hosts.insert(peer);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hosts.size());
  }

  // A contained content must not reach the last host of a service: a crash
  // there would end the service for all requests. Other contents are still sent
  // to it.
  void ContainedContentsAreNotSentToTheLastHost() {
    NodeWithPeers node;
    node.ReceiveNotice(CrashNotice(2));
    node.harness_.Feed(PeerDisconnected{kSecondPeer});
    node.DiscardOutput();
    node.SendSuspectRequest(1, "/read/1");
    CPPUNIT_ASSERT(node.harness_.TakeRunOrders().empty());
    CPPUNIT_ASSERT_EQUAL(503, node.harness_.TakeAnswerStatus());
    node.harness_.SendRequest(2, "/read/1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node.harness_.TakeRunOrders().size());
  }

  // Any run of a contained content may crash the backend server. The host runs
  // one at a time, so that its outcome is known before the next one starts, and
  // refuses the others. Other contents are not affected.
  void HostRunsAContainedContentOneAtATime() {
    NodeWithPeers node;
    node.harness_.ReceiveHeartbeat();
    node.ReceiveNotice(CrashNotice(2));
    node.DiscardOutput();
    node.ReceiveOrder(1);
    node.ReceiveOrder(2);
    node.ReceiveOrder(3, {.high_ = 9});
    const auto runs = node.harness_.Take<StartRun>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, runs.size());
    CPPUNIT_ASSERT(node.TakeRefusals() ==
                   std::vector<NotRunReason>{NotRunReason::kSuspect});
    // The run fails, which does not clear the content: it stays contained.
    node.harness_.Feed(BackendResponded{.run_id_ = runs.front().run_id_,
                                        .response_ = {.status_ = 500}});
    node.ReceiveOrder(4);
    node.ReceiveOrder(5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node.harness_.Take<StartRun>().size());
  }

  // An order may have been sent before its content was condemned. The host must
  // refuse it, also when it waits for a slot already, as the run would crash
  // the backend server.
  void CondemnedContentsAreRefusedAtTheHost() {
    NodeWithPeers node;
    node.harness_.ReceiveHeartbeat();
    node.ReceiveOrder(1, {.high_ = 8});
    node.ReceiveOrder(2, {.high_ = 9});
    node.ReceiveOrder(3);  // waits for a slot
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, node.harness_.Take<StartRun>().size());
    CPPUNIT_ASSERT(node.TakeRefusals().empty());
    node.ReceiveNotice(CrashNotice(3));
    CPPUNIT_ASSERT(node.TakeRefusals() ==
                   std::vector<NotRunReason>{NotRunReason::kSuspect});
    node.ReceiveOrder(4);
    CPPUNIT_ASSERT(node.TakeRefusals() ==
                   std::vector<NotRunReason>{NotRunReason::kSuspect});
    CPPUNIT_ASSERT(node.harness_.Take<StartRun>().empty());
  }

  // When the local backend server crashes, the charges of its runs are sent to
  // the hosts of the zone and, on its own connection, to the entry that waits
  // for the answer. An entry that did not have them would resend the content to
  // the next backend server. One crash must be charged once only.
  void CrashOfTheLocalBackendServerIsBroadcastOnce() {
    NodeWithPeers node;
    node.harness_.ReceiveHeartbeat();
    node.ReceiveOrder(1);
    const auto runs = node.harness_.Take<StartRun>();
    node.TakeNotices();
    node.DiscardOutput();
    node.harness_.Feed(BackendExchangeFailed{.run_id_ = runs.front().run_id_});
    CPPUNIT_ASSERT(node.TakeNotices().empty());
    node.harness_.Feed(BackendProbed{.probe_ = BackendProbeResult::kRefused});
    std::size_t to_entry = 0;
    for (const SendBack& back : node.harness_.Take<SendBack>()) {
      if (!std::holds_alternative<SuspicionNotice>(back.message_)) continue;
      CPPUNIT_ASSERT_EQUAL(kSecondConnection, back.connection_id_);
      ++to_entry;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, to_entry);
    const auto notices = node.TakeNotices();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, notices.size());
    for (const auto& [peer, notice] : notices) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, notice.charges_.size());
      CPPUNIT_ASSERT(notice.charges_.front().content_ == kContent);
    }
    // The heartbeat of the next incarnation does not report the crash again.
    node.harness_.ReceiveHeartbeat("i-2", 2);
    CPPUNIT_ASSERT(node.TakeNotices().empty());
  }

  // All runs in progress at a crash are charged, among them harmless ones whose
  // content many requests share; such a content would soon be condemned. One
  // that succeeded at this host a short time ago is therefore not charged.
  void ContentsThatSucceededRecentlyAreNotCharged() {
    NodeWithPeers node;
    node.harness_.ReceiveHeartbeat();
    constexpr Fingerprint kHarmless{.high_ = 9};
    node.ReceiveOrder(1, kHarmless);
    const auto runs = node.harness_.Take<StartRun>();
    node.harness_.Feed(BackendResponded{.run_id_ = runs.front().run_id_,
                                        .response_ = {.status_ = 200}});
    node.ReceiveOrder(2, kHarmless);
    node.ReceiveOrder(3);
    node.TakeNotices();
    for (const StartRun& run : node.harness_.Take<StartRun>()) {
      node.harness_.Feed(BackendExchangeFailed{.run_id_ = run.run_id_});
    }
    node.harness_.Feed(BackendProbed{.probe_ = BackendProbeResult::kRefused});
    const auto notices = node.TakeNotices();
    CPPUNIT_ASSERT(!notices.empty());
    for (const auto& [peer, notice] : notices) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, notice.charges_.size());
      CPPUNIT_ASSERT(notice.charges_.front().content_ == kContent);
    }
    CPPUNIT_ASSERT_EQUAL(
        0U,
        ChargesAgainst(node.harness_.state().content_watch_.known_, kHarmless));
  }

  // A success clears the charges of its caller against a content. If the
  // content is contained, other nodes must receive the clearance or they would
  // keep it contained. With fewer charges it is not broadcast: that would be a
  // notice for each success.
  void SuccessOfAContainedContentIsBroadcast() {
    for (const std::uint64_t charges : {0, 1, 2}) {
      NodeWithPeers node;
      node.harness_.ReceiveHeartbeat();
      node.ReceiveNotice(CrashNotice(charges));
      node.ReceiveOrder(1);
      node.TakeNotices();
      const auto runs = node.harness_.Take<StartRun>();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs.size());
      node.harness_.Feed(BackendResponded{.run_id_ = runs.front().run_id_,
                                          .response_ = {.status_ = 200}});
      const auto notices = node.TakeNotices();
      CPPUNIT_ASSERT_EQUAL(charges >= 2, !notices.empty());
      for (const auto& [peer, notice] : notices) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, notice.clearances_.size());
      }
    }
  }

  // A notice from another zone is forwarded within the local zone, whose hosts
  // may not have received it. One from the local zone went to all its hosts
  // already. Forwarding either again would flood the zone.
  void NoticesOfOtherZonesAreForwardedOnce() {
    struct Row {
      const char* zone_;  // of the sender
      bool forwarded_;
    };
    for (const Row& row : {Row{"z1", false}, Row{"z2", true}}) {
      NodeWithPeers node;
      node.ReceiveStatus(row.zone_, 0);
      node.TakeNotices();
      node.ReceiveNotice(CrashNotice(2));
      const auto first = node.TakeNotices();
      CPPUNIT_ASSERT_EQUAL(row.forwarded_, !first.empty());
      for (const auto& [peer, notice] : first) {
        CPPUNIT_ASSERT_EQUAL(std::string(kSecondPeer), peer);
      }
      node.ReceiveNotice(CrashNotice(2));
      CPPUNIT_ASSERT(node.TakeNotices().empty());
    }
  }

  // A host that restarted or was disconnected misses notices, and would run
  // condemned contents. The digest in its status differs, upon which the node
  // sends it all charges in force, and no more before its next status.
  void HostsWithAnotherDigestReceiveAllCharges() {
    struct Row {
      const char* name_;
      std::uint64_t charges_;
      bool has_same_digest_;
      bool sent_;
    };
    for (const Row& row : {Row{"no charges", 0, false, false},
                           Row{"one charge", 1, false, false},
                           Row{"two charges", 2, false, true},
                           Row{"three charges", 3, false, true},
                           Row{"three charges, same digest", 3, true, false}}) {
      NodeWithPeers node;
      node.ReceiveNotice(CrashNotice(row.charges_));
      node.harness_.RunFor(seconds(1));
      node.TakeNotices();
      const std::uint64_t digest =
          node.harness_.state().content_watch_.known_.digest_;
      node.ReceiveStatus("z1", row.has_same_digest_ ? digest : 0);
      node.harness_.RunFor(milliseconds(200));
      std::size_t sent = 0;
      for (const auto& [peer, notice] : node.TakeNotices()) {
        if (peer != kFirstPeer) continue;
        ++sent;
        CPPUNIT_ASSERT_EQUAL(std::size_t{row.charges_}, notice.charges_.size());
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.sent_ ? std::size_t{1} : 0,
                                   sent);
      // Nothing more is sent to the host before its next status.
      node.harness_.RunFor(seconds(5));
      for (const auto& [peer, notice] : node.TakeNotices()) {
        CPPUNIT_ASSERT_MESSAGE(row.name_, peer != kFirstPeer);
      }
    }
  }

  // Guards against condemnations that end with the processes that know them: a
  // relay that restarts while it is cut off from its peers ran a condemned
  // content again (soak, seed 113). Only what condemns is written, since every
  // call to the store counts against a limit that all nodes share.
  void CondemnedContentsAreKeptInTheStore() {
    struct Row {
      const char* name_;
      std::uint64_t charges_;
      bool ranks_first_;
      std::size_t writes_;
    };
    const Row rows[] = {
        {"two charges", 2, true, 0},
        {"three charges", 3, true, 1},
        {"three charges, another host ranks first", 3, false, 0},
    };
    for (const Row& row : rows) {
      NodeWithPeers node(row.ranks_first_);
      node.ReceiveNotice(CrashNotice(row.charges_, seconds(5)));
      const auto writes = node.harness_.Take<SaveCharges>();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.writes_, writes.size());
      if (writes.empty()) continue;
      CPPUNIT_ASSERT(writes.front().content_ == kContent);
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, writes.front().charges_.size());
      for (const ContentCharge& charge : writes.front().charges_) {
        CPPUNIT_ASSERT(charge.age_ == seconds(5));
      }
    }
  }

  // Guards against a condemnation that is lost because the store was away when
  // it was written, and against writes that pile up while the store is away.
  void FailedWritesToTheStoreAreRepeated() {
    NodeWithPeers node(true);
    node.ReceiveNotice(CrashNotice(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         node.harness_.Take<SaveCharges>().size());
    node.ReceiveNotice(CrashNotice(4));
    CPPUNIT_ASSERT(node.harness_.Take<SaveCharges>().empty());
    node.harness_.Feed(StoreFailed{.call_ = StoreCall::kSaveCharges});
    node.harness_.RunFor(seconds(2));
    const auto repeated = node.harness_.Take<SaveCharges>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, repeated.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, repeated.front().charges_.size());
    node.harness_.Feed(ChargesSaved{});
    node.harness_.RunFor(seconds(5));
    CPPUNIT_ASSERT(node.harness_.Take<SaveCharges>().empty());
  }

  // A store that comes back from a copy may have lost what it has confirmed.
  // One host of each zone writes it again.
  void RestoredStoreGetsCondemnedContentsAgain() {
    for (const bool ranks_first : {true, false}) {
      NodeWithPeers node(ranks_first);
      node.harness_.Feed(StoreEra{.era_ = 1});
      node.ReceiveNotice(CrashNotice(3));
      node.harness_.Feed(ChargesSaved{});
      node.harness_.Take<SaveCharges>();
      node.harness_.Feed(StoreEra{.era_ = 2});
      const auto writes = node.harness_.Take<SaveCharges>();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ranks_first ? 1U : 0U}, writes.size());
      if (ranks_first) CPPUNIT_ASSERT(!writes.front().charges_.empty());
    }
  }

  // Guards against records that stay in the store for good: nothing else
  // removes the newest record of a key.
  void ExpiredCondemnationsAreRemovedFromTheStore() {
    for (const bool ranks_first : {true, false}) {
      NodeWithPeers node(ranks_first);
      node.harness_.Feed(ChargesRead{CrashNotice(3, seconds(1199)).charges_});
      CPPUNIT_ASSERT(node.harness_.Take<SaveCharges>().empty());
      node.harness_.RunFor(seconds(3));
      const auto writes = node.harness_.Take<SaveCharges>();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ranks_first ? 1U : 0U}, writes.size());
      if (ranks_first) CPPUNIT_ASSERT(writes.front().charges_.empty());
    }
  }

  // What the store keeps has the effect that it had before the restart, and is
  // not sent on or written once more.
  void RestartedNodeReadsCondemnedContentsFromTheStore() {
    RelayHarness starting;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starting.Take<ReadCharges>().size());
    NodeWithPeers node(true);
    node.harness_.ReceiveHeartbeat();
    node.DiscardOutput();
    node.harness_.Feed(ChargesRead{CrashNotice(3, seconds(60)).charges_});
    CPPUNIT_ASSERT(node.TakeNotices().empty());
    CPPUNIT_ASSERT(node.harness_.Take<SaveCharges>().empty());
    node.SendSuspectRequest(1, "/read/1");
    CPPUNIT_ASSERT_EQUAL(503, node.harness_.TakeAnswerStatus());
    node.ReceiveOrder(1);
    CPPUNIT_ASSERT(std::vector<NotRunReason>{NotRunReason::kSuspect} ==
                   node.TakeRefusals());
  }

  // Guards against a node that starts while the store is away: the peer that
  // makes it able to serve also tells it what not to run, and tells it first.
  void DocumentOfAPeerComesWithItsCharges() {
    struct Row {
      const char* name_;
      std::uint64_t newer_than_;
      bool charges_;
    };
    const Row rows[] = {{"first document", 0, true},
                        {"newer document", 1, false}};
    for (const Row& row : rows) {
      NodeWithPeers node;
      node.harness_.LoadTable(2);
      node.ReceiveNotice(CrashNotice(3));
      node.DiscardOutput();
      node.harness_.Feed(
          LinkReceived{.connection_id_ = kSecondConnection,
                       .message_ = TableQuery{.newer_than_ = row.newer_than_}});
      const auto sent = node.harness_.Take<SendBack>();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          row.name_, std::size_t{row.charges_ ? 2U : 1U}, sent.size());
      CPPUNIT_ASSERT(std::holds_alternative<TableText>(sent.back().message_));
      if (!row.charges_) continue;
      const auto* notice = std::get_if<SuspicionNotice>(&sent.front().message_);
      CPPUNIT_ASSERT(notice != nullptr);
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, notice->charges_.size());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspectTests);

}  // namespace
}  // namespace jujubefront
