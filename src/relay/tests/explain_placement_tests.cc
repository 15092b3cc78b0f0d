#include <algorithm>

#include "relay/explanation.h"
#include "relay_harness.h"

namespace jujubefront {
namespace {

constexpr const char* kOwn = "10.0.0.1:7000";
constexpr const char* kPeer = "10.0.0.2:7000";
constexpr const char* kOther = "10.0.0.3:7000";
constexpr Fingerprint kKey{.high_ = 1, .low_ = 2};

// A node with its backend server and two others of the service.
struct Node {
  explicit Node(RouteTable table = RelayHarness::Table(1)) {
    harness_.Feed(TableRead{.table_ = std::move(table), .text_ = "text"});
    harness_.ReceiveHeartbeat();
    harness_.AddPeer(kPeer, 1);
    harness_.AddPeer(kOther, 2);
    harness_.Take<Decision>();
  }

  PlacementExplanation Explain(const PlacementQuery& query) {
    return ExplainPlacement(harness_.state(), RelayHarness::DefaultOptions(),
                            harness_.now(), query);
  }

  RelayHarness harness_;
};

RouteTable TableWithWorkspaces() {
  RouteTable table = RelayHarness::Table(1);
  table.workspaces_ = {{.name_ = "gates",
                        .priority_ = 2,
                        .requests_per_second_ = 10.0,
                        .burst_requests_ = 5.0}};
  table.workspace_of_key_ = {{kKey, 0}};
  return table;
}

const HostExplanation* FindHost(const PlacementExplanation& explanation,
                                const std::string& address) {
  if (explanation.placement_.empty()) return nullptr;
  const auto& hosts = explanation.placement_.front().hosts_;
  const auto found =
      std::find_if(hosts.begin(), hosts.end(),
                   [&](const auto& host) { return host.address_ == address; });
  return found == hosts.end() ? nullptr : &*found;
}

class ExplainPlacementTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExplainPlacementTests);
  CPPUNIT_TEST(AnswersThatTheNodeWouldGiveItself);
  CPPUNIT_TEST(SaysWhyHostsAreExcluded);
  CPPUNIT_TEST(RequestsGoWhereTheExplanationSays);
  CPPUNIT_TEST(ExplainingChangesNothing);
  CPPUNIT_TEST(ReportsAdmissionAndQuota);
  CPPUNIT_TEST(LargeServicesAreCutShort);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The explanation must name the answer that a request would get, and work
  // with whatever is missing.
  void AnswersThatTheNodeWouldGiveItself() {
    struct Row {
      const char* name_;
      bool workspaces_;
      PlacementQuery query_;
      int status_;
      const char* why_;
      bool has_hosts_;
    };
    const Row rows[] = {
        {"sent", false, {.host_ = "h", .path_ = "/read/1"}, 0, "sent", true},
        {"port and query",
         false,
         {.host_ = "H:80", .path_ = "/read/1?q=1"},
         0,
         "sent",
         true},
        {"unknown host",
         false,
         {.host_ = "x", .path_ = "/read/1"},
         404,
         "no route",
         false},
        {"unknown path",
         false,
         {.host_ = "h", .path_ = "/none/"},
         404,
         "no route",
         false},
        {"nothing", false, {}, 404, "no route", false},
        {"key",
         true,
         {.host_ = "h", .path_ = "/read/1", .key_ = kKey},
         0,
         "sent",
         true},
        {"no key",
         true,
         {.host_ = "h", .path_ = "/read/1"},
         401,
         "no key",
         true},
        {"unknown key",
         true,
         {.host_ = "h", .path_ = "/read/1", .key_ = {.high_ = 9, .low_ = 9}},
         401,
         "unknown key",
         true},
        {"workspace",
         true,
         {.host_ = "h", .path_ = "/read/1", .workspace_ = "gates"},
         0,
         "sent",
         true},
        {"unknown workspace",
         true,
         {.host_ = "h", .path_ = "/read/1", .workspace_ = "x"},
         0,
         "no such workspace in the document",
         true},
    };
    for (const Row& row : rows) {
      Node node(row.workspaces_ ? TableWithWorkspaces()
                                : RelayHarness::Table(1));
      const PlacementExplanation explanation = node.Explain(row.query_);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.status_, explanation.status_);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, std::string(row.why_),
                                   std::string(explanation.why_));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.has_hosts_,
                                   FindHost(explanation, kOwn) != nullptr);
    }
    // Without a document, and without any host of the service.
    RelayHarness empty;
    const PlacementQuery query{.host_ = "h", .path_ = "/read/1"};
    const RelayOptions options = RelayHarness::DefaultOptions();
    CPPUNIT_ASSERT_EQUAL(
        503,
        ExplainPlacement(empty.state(), options, empty.now(), query).status_);
    empty.LoadTable();
    const PlacementExplanation without =
        ExplainPlacement(empty.state(), options, empty.now(), query);
    CPPUNIT_ASSERT_EQUAL(503, without.status_);
    CPPUNIT_ASSERT_EQUAL(std::string("no backend server"),
                         std::string(without.why_));
  }

  void SaysWhyHostsAreExcluded() {
    struct Row {
      const char* excluded_;
      void (*change_)(RelayState&, Peer&);
    };
    const Row rows[] = {
        {"", [](RelayState&, Peer&) {}},
        {"the node is stopping",
         [](RelayState&, Peer& peer) { peer.status_.leaving_ = true; }},
        {"its backend server is not ready",
         [](RelayState&, Peer& peer) {
           peer.status_.backend_ = BackendState::kDraining;
         }},
        {"no connection",
         [](RelayState&, Peer& peer) { peer.connected_ = false; }},
        {"does not answer",
         [](RelayState&, Peer& peer) { peer.suspected_ = true; }},
        {"silent, and others are left",
         [](RelayState&, Peer& peer) { peer.avoided_ = true; }},
        {"silent, and this node is cut off",
         [](RelayState& state, Peer& peer) {
           peer.avoided_ = true;
           state.cut_off_ = true;
         }},
        {"too few free slots for another region",
         [](RelayState&, Peer& peer) {
           peer.status_.zone_ = "z9";
           peer.status_.region_ = "r9";
           peer.status_.running_ = 4;
         }},
        {"", [](RelayState&, Peer& peer) { peer.load_reported_at_ = {}; }},
    };
    for (const Row& row : rows) {
      Node node;
      RelayState& state = node.harness_.state();
      row.change_(state, state.peers_.at(kPeer));
      const auto explanation = node.Explain({.host_ = "h", .path_ = "/read/1"});
      const HostExplanation* host = FindHost(explanation, kPeer);
      CPPUNIT_ASSERT_MESSAGE(row.excluded_, host != nullptr);
      CPPUNIT_ASSERT_EQUAL(std::string(row.excluded_),
                           std::string(host->excluded_));
      if (*row.excluded_ != 0) {
        CPPUNIT_ASSERT_MESSAGE(row.excluded_, !host->chosen_);
      }
      CPPUNIT_ASSERT_MESSAGE(row.excluded_,
                             FindHost(explanation, kOwn)->chosen_);
      CPPUNIT_ASSERT_EQUAL(
          state.peers_.at(kPeer).load_reported_at_ != Timestamp{},
          host->load_age_.has_value());
    }
  }

  // Guards against an explanation by other rules than those of the choice.
  void RequestsGoWhereTheExplanationSays() {
    Node node;
    for (std::uint64_t id = 1; id <= 60; ++id) {
      // Loads and failures of the hosts differ and change.
      Peer& peer =
          node.harness_.state().peers_.at(id % 2 == 0 ? kPeer : kOther);
      peer.status_.running_ = static_cast<std::uint32_t>(id % 7);
      peer.failure_rate_ = {.failure_share_ = id % 5 == 0 ? 0.5 : 0.0,
                            .updated_at_ = node.harness_.now()};
      const auto explanation = node.Explain({.host_ = "h", .path_ = "/read/1"});
      node.harness_.SendRequest(id, "/read/1");
      const auto orders = node.harness_.TakeRunOrders();
      const std::string sent_to = orders.empty() ? kOwn : orders.front().first;
      const HostExplanation* host = FindHost(explanation, sent_to);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(id), host != nullptr);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(id), host->chosen_);
    }
  }

  // Two nodes see the same events; what one of them explains in between must
  // show neither in its state nor in what it does afterwards.
  void ExplainingChangesNothing() {
    Node plain(TableWithWorkspaces());
    Node explained(TableWithWorkspaces());
    const PlacementQuery queries[] = {
        {.host_ = "h", .path_ = "/read/1", .key_ = kKey},
        {.host_ = "h", .path_ = "/book/1", .workspace_ = "gates"},
        {.host_ = "h", .path_ = "/read/1"},
        {.host_ = "x", .path_ = "/"}};
    for (std::uint64_t id = 1; id <= 40; ++id) {
      for (const PlacementQuery& query : queries) explained.Explain(query);
      for (Node* node : {&plain, &explained}) {
        node->harness_.Feed(RequestArrived{
            .request_id_ = id,
            .trace_id_ = "t" + std::to_string(id),
            .host_ = "h",
            .remaining_ = std::chrono::milliseconds(900),
            .key_ = kKey,
            .request_ = {.method_ = "GET", .target_ = "/read/1"}});
        node->harness_.RunFor(std::chrono::milliseconds(30));
      }
      const auto sent = plain.harness_.Take<SendToPeer>();
      const auto sent_too = explained.harness_.Take<SendToPeer>();
      CPPUNIT_ASSERT_EQUAL(sent.size(), sent_too.size());
      for (std::size_t i = 0; i < sent.size(); ++i) {
        CPPUNIT_ASSERT_EQUAL(sent[i].peer_, sent_too[i].peer_);
        CPPUNIT_ASSERT(sent[i].message_.index() ==
                       sent_too[i].message_.index());
      }
      CPPUNIT_ASSERT_EQUAL(plain.harness_.Take<AnswerRequest>().size(),
                           explained.harness_.Take<AnswerRequest>().size());
      CPPUNIT_ASSERT_EQUAL(plain.harness_.Take<StartRun>().size(),
                           explained.harness_.Take<StartRun>().size());
      const RelayState& a = plain.harness_.state();
      const RelayState& b = explained.harness_.state();
      CPPUNIT_ASSERT_EQUAL(a.last_id_, b.last_id_);
      CPPUNIT_ASSERT_EQUAL(a.timers_.size(), b.timers_.size());
      CPPUNIT_ASSERT_EQUAL(a.requests_.size(), b.requests_.size());
      CPPUNIT_ASSERT_EQUAL(a.sends_.size(), b.sends_.size());
      CPPUNIT_ASSERT_EQUAL(a.peers_.size(), b.peers_.size());
      CPPUNIT_ASSERT_EQUAL(a.demands_.size(), b.demands_.size());
      CPPUNIT_ASSERT_EQUAL(a.quota_.meters_.size(), b.quota_.meters_.size());
      CPPUNIT_ASSERT_EQUAL(a.counters_.requests_, b.counters_.requests_);
      CPPUNIT_ASSERT_EQUAL(a.counters_.sends_, b.counters_.sends_);
      CPPUNIT_ASSERT_EQUAL(a.counters_.over_quota_, b.counters_.over_quota_);
      RandomState random = a.random_;
      RandomState random_too = b.random_;
      CPPUNIT_ASSERT_EQUAL(NextUnit(random), NextUnit(random_too));
    }
  }

  void ReportsAdmissionAndQuota() {
    Node node(TableWithWorkspaces());
    RelayState& state = node.harness_.state();
    const PlacementQuery query{
        .host_ = "h", .path_ = "/read/1", .workspace_ = "gates"};
    state.admitted_["read"] = 0.25;
    state.overflow_["read"] = {.region_ = "r9", .share_ = 0.5};
    PlacementExplanation explanation = node.Explain(query);
    CPPUNIT_ASSERT_EQUAL(std::string("admitted in part"),
                         std::string(explanation.why_));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, explanation.admission_.admitted_share_,
                                 1e-9);
    CPPUNIT_ASSERT_EQUAL(std::string("r9"),
                         explanation.admission_.overflow_->region_);
    CPPUNIT_ASSERT_EQUAL(
        std::string("not in the region of the overflow"),
        std::string(explanation.overflow_placement_[0].hosts_[0].excluded_));
    CPPUNIT_ASSERT(!explanation.quota_->counted_);
    CPPUNIT_ASSERT(!explanation.quota_->fleet_age_.has_value());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0, explanation.quota_->rule_.per_second_,
                                 1e-9);
    // Nothing is admitted, and no host of the other region is known.
    state.admitted_["read"] = 0.0;
    explanation = node.Explain(query);
    CPPUNIT_ASSERT_EQUAL(503, explanation.status_);
    CPPUNIT_ASSERT_EQUAL(std::string("not admitted under load"),
                         std::string(explanation.why_));
  }

  void LargeServicesAreCutShort() {
    Node node;
    constexpr std::size_t kHosts = 300;
    for (std::size_t i = 0; i < kHosts; ++i) {
      node.harness_.AddPeer("10.1." + std::to_string(i / 250) + "." +
                                std::to_string(i % 250) + ":7000",
                            10 + i);
    }
    const auto explanation = node.Explain({.host_ = "h", .path_ = "/read/1"});
    const ServiceExplanation& service = explanation.placement_.at(0);
    CPPUNIT_ASSERT_EQUAL(kHosts + 3, service.known_);
    CPPUNIT_ASSERT_EQUAL(kHosts + 3, service.candidates_);
    CPPUNIT_ASSERT_EQUAL(kMaxExplainedHosts, service.hosts_.size());
    CPPUNIT_ASSERT(service.hosts_.front().chosen_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExplainPlacementTests);

}  // namespace
}  // namespace jujubefront
