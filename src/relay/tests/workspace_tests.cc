#include "base/hashing.h"
#include "relay/tests/relay_harness.h"

namespace jujubefront {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kPeer = "10.0.0.2:7000";
constexpr std::uint64_t kConnection = 1;
constexpr Fingerprint kKey{.high_ = 1, .low_ = 1};
constexpr Fingerprint kOtherKey{.high_ = 2, .low_ = 2};
constexpr Fingerprint kWrongKey{.high_ = 3, .low_ = 3};

// A document with two workspaces; "open" is a route that needs no key.
RouteTable TableWithWorkspaces(std::uint64_t version, double quota = 0.0) {
  RouteTable table = RelayHarness::Table(version);
  table.routes_.push_back({.name_ = "open",
                           .host_ = "h",
                           .path_prefix_ = "/open/",
                           .idempotent_ = true,
                           .services_ = {{"svc", 1.0}},
                           .needs_key_ = false});
  table.workspaces_ = {{.name_ = "gates",
                        .priority_ = 2,
                        .requests_per_second_ = quota,
                        .burst_requests_ = quota},
                       {.name_ = "meters"}};
  table.workspace_of_key_ = {{kKey, 0}, {kOtherKey, 1}};
  IndexRoutes(table);
  return table;
}

struct NodeWithWorkspaces {
  explicit NodeWithWorkspaces(RouteTable table) {
    harness_.Feed(TableRead{.table_ = std::move(table), .text_ = "text"});
    harness_.AddPeer(kPeer, kConnection);
    harness_.TakeRunOrders();
  }

  void Send(std::uint64_t id, const char* target, const Fingerprint& key) {
    harness_.Feed(
        RequestArrived{.request_id_ = id,
                       .trace_id_ = "t" + std::to_string(id),
                       .host_ = "h",
                       .remaining_ = milliseconds(900),
                       .key_ = key,
                       .credential_header_ = "Authorization",
                       .request_ = {.method_ = "GET",
                                    .target_ = target,
                                    .headers_ = {{"authorization", "Bearer k"},
                                                 {"Accept", "text/plain"}}}});
  }

  RelayHarness harness_;
};

class WorkspaceTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkspaceTests);
  CPPUNIT_TEST(KeysDecideWhoIsServed);
  CPPUNIT_TEST(WithdrawnKeysAreRefusedBeforeEachSend);
  CPPUNIT_TEST(RequestsOverTheQuotaAreRefused);
  CPPUNIT_TEST(UseIsCountedOverTheWindow);
  CPPUNIT_TEST(AggregatorAddsUpTheUseOfQuotas);
  CPPUNIT_TEST(OtherHostsReportToTheAggregator);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against serving a request without a valid key, and against a backend
  // server that sees the key, which would let it act for the workspace.
  void KeysDecideWhoIsServed() {
    struct Row {
      const char* name_;
      bool has_workspaces_;
      const char* target_;
      Fingerprint key_;
      int status_;  // 0: sent
      const char* workspace_;
      bool keeps_header_;
    };
    const Row rows[] = {
        {"key", true, "/read/1", kKey, 0, "gates", false},
        {"key of another workspace", true, "/read/1", kOtherKey, 0, "meters",
         false},
        {"unknown key", true, "/read/1", kWrongKey, 401, "", false},
        {"no key", true, "/book/1", {}, 401, "", false},
        {"open route, no key", true, "/open/1", {}, 0, "", false},
        {"open route, key", true, "/open/1", kKey, 0, "gates", false},
        {"open route, unknown key", true, "/open/1", kWrongKey, 0, "", false},
        {"no route", true, "/none/1", kKey, 404, "", false},
        {"no workspaces", false, "/read/1", {}, 0, "", true},
    };
    for (const Row& row : rows) {
      NodeWithWorkspaces node(row.has_workspaces_ ? TableWithWorkspaces(1)
                                                  : RelayHarness::Table(1));
      node.Send(1, row.target_, row.key_);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.status_,
                                   node.harness_.TakeAnswerStatus());
      const auto orders = node.harness_.TakeRunOrders();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          row.name_, std::size_t{row.status_ == 0 ? 1U : 0U}, orders.size());
      if (orders.empty()) continue;
      const RunOrder& order = orders.front().second;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, std::string(row.workspace_),
                                   order.workspace_);
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{order.workspace_ == "gates" ? 2U : 0U},
                           order.workspace_priority_);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          row.name_, row.keeps_header_,
          FindHeader(order.request_.headers_, "Authorization") != nullptr);
      CPPUNIT_ASSERT(FindHeader(order.request_.headers_, "Accept") != nullptr);
    }
  }

  // A key is withdrawn while a request waits to be sent again, or new requests
  // come on a connection that was opened before. The answer must not claim that
  // a request which may have run has not.
  void WithdrawnKeysAreRefusedBeforeEachSend() {
    struct Row {
      const char* name_;
      const char* target_;
      bool withdrawn_;
      RunOutcome outcome_;
      int status_;  // 0: sent again
    };
    const Row rows[] = {
        {"kept, not run", "/read/1", false, RunOutcome::kNotRun, 0},
        {"withdrawn, not run", "/read/1", true, RunOutcome::kNotRun, 401},
        {"withdrawn, answer lost", "/read/1", true, RunOutcome::kBroken, 502},
        {"withdrawn, open route", "/open/1", true, RunOutcome::kNotRun, 0},
    };
    for (const Row& row : rows) {
      NodeWithWorkspaces node(TableWithWorkspaces(1));
      node.harness_.AddPeer("10.0.0.3:7000", 2);
      node.Send(1, row.target_, kKey);
      const auto orders = node.harness_.TakeRunOrders();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
      RouteTable table = TableWithWorkspaces(2);
      if (row.withdrawn_) table.workspace_of_key_.erase(kKey);
      node.harness_.Feed(TableRead{.table_ = table, .text_ = "text"});
      node.harness_.Feed(LinkReceived{
          .peer_ = orders.front().first,
          .message_ = RunReply{.send_id_ = orders.front().second.send_id_,
                               .outcome_ = row.outcome_,
                               .reason_ = NotRunReason::kOverloaded}});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.status_,
                                   node.harness_.TakeAnswerStatus());
      node.Send(2, "/read/1", kKey);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.withdrawn_ ? 401 : 0,
                                   node.harness_.TakeAnswerStatus());
    }
  }

  void RequestsOverTheQuotaAreRefused() {
    struct Row {
      const char* name_;
      Fingerprint key_;
      double quota_;
      std::size_t max_sent_;
      bool limited_;
    };
    // A node that knows no sums keeps to an eighth of the limit.
    const Row rows[] = {{"no limit", kKey, 0.0, 60, false},
                        {"another workspace", kOtherKey, 10.0, 60, false},
                        {"limit", kKey, 10.0, 12, true}};
    for (const Row& row : rows) {
      NodeWithWorkspaces node(TableWithWorkspaces(1, row.quota_));
      std::size_t refused = 0;
      for (std::uint64_t id = 1; id <= 60; ++id) {
        node.Send(id, "/read/1", row.key_);
        for (const AnswerRequest& answer :
             node.harness_.Take<AnswerRequest>()) {
          CPPUNIT_ASSERT_EQUAL(429, answer.response_.status_);
          CPPUNIT_ASSERT(FindHeader(answer.response_.headers_, "Retry-After") !=
                         nullptr);
          ++refused;
        }
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.limited_, refused > 0);
      CPPUNIT_ASSERT_MESSAGE(row.name_, 60 - refused <= row.max_sent_);
      CPPUNIT_ASSERT_EQUAL(
          refused, std::size_t{node.harness_.state().counters_.over_quota_});
    }
  }

  // Ticks come every 100 ms, slots end every 250 ms. Guards against slots that
  // last until the next tick, which made the window a fifth longer and refused
  // requests within the limit.
  void UseIsCountedOverTheWindow() {
    NodeWithWorkspaces node(TableWithWorkspaces(1, 1000.0));
    const std::uint64_t gates = HashBytes(std::string("gates"));
    constexpr int kSeconds = 12;
    constexpr std::uint64_t kPerSecond = 20;
    for (std::uint64_t id = 1; id <= kSeconds * kPerSecond; ++id) {
      node.Send(id, "/read/1", kKey);
      node.harness_.RunFor(milliseconds(1000) / kPerSecond);
    }
    const QuotaUse use = UseOf(node.harness_.state().quota_.meters_.at(gates));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0 * kPerSecond, use.used_, 6.0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0 * kPerSecond, use.per_second_, 2.0);
  }

  // The sums decide what the whole fleet admits. Guards against forgetting what
  // a host has sent because its process restarted, and against a zone that is
  // cut off and goes on sending its part of the limit.
  void AggregatorAddsUpTheUseOfQuotas() {
    const std::uint64_t gates = HashBytes(std::string("gates"));
    RelayOptions options = RelayHarness::DefaultOptions();
    const auto rank = [&](const std::string& address) {
      return HashBytes(options.zone_ + '/' + address);
    };
    for (int i = 1; rank(options.address_) >= rank(kPeer); ++i) {
      options.address_ = "10.0.2." + std::to_string(i) + ":7000";
    }
    RelayHarness harness(options);
    harness.Feed(TableRead{.table_ = TableWithWorkspaces(1, 100.0)});
    harness.AddPeer(kPeer, kConnection);
    const auto report = [&](QuotaScope scope, const char* zone, double used) {
      harness.Feed(LinkReceived{
          .connection_id_ = kConnection,
          .message_ =
              QuotaReport{.scope_ = scope,
                          .zone_ = zone,
                          .uses_ = {{gates, {10.0, 10.0, 10.0, used}}}}});
      harness.RunFor(milliseconds(400));
      return harness.state().quota_.fleet_.at(gates).used_;
    };
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50.0, report(QuotaScope::kHost, "z1", 50.0),
                                 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(90.0, report(QuotaScope::kZone, "z2", 40.0),
                                 1e-9);
    // Another process of the same host.
    harness.AddPeer(kPeer, 3);
    harness.Feed(LinkReceived{
        .connection_id_ = 3,
        .message_ = QuotaReport{.scope_ = QuotaScope::kHost,
                                .zone_ = "z1",
                                .uses_ = {{gates, {10.0, 10.0, 10.0, 5.0}}}}});
    harness.RunFor(milliseconds(400));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        95.0, harness.state().quota_.fleet_.at(gates).used_, 1e-9);
    // The reports of the hosts expire; the other zone counts with its part of
    // the limit, 600 requests a window.
    harness.RunFor(seconds(6));
    CPPUNIT_ASSERT(harness.state().quota_.fleet_.at(gates).used_ >= 200.0);
  }

  void OtherHostsReportToTheAggregator() {
    RelayOptions options = RelayHarness::DefaultOptions();
    const auto rank = [&](const std::string& address) {
      return HashBytes(options.zone_ + '/' + address);
    };
    for (int i = 1; rank(options.address_) <= rank(kPeer); ++i) {
      options.address_ = "10.0.2." + std::to_string(i) + ":7000";
    }
    RelayHarness harness(options);
    harness.Feed(TableRead{.table_ = TableWithWorkspaces(1, 100.0)});
    harness.AddPeer(kPeer, kConnection);
    harness.Feed(
        RequestArrived{.request_id_ = 1,
                       .trace_id_ = "t1",
                       .host_ = "h",
                       .remaining_ = milliseconds(900),
                       .key_ = kKey,
                       .request_ = {.method_ = "GET", .target_ = "/read/1"}});
    harness.Take<SendToPeer>();
    harness.RunFor(milliseconds(400));
    std::size_t reports = 0;
    for (const SendToPeer& sent : harness.Take<SendToPeer>()) {
      const auto* report = std::get_if<QuotaReport>(&sent.message_);
      if (report == nullptr) continue;
      ++reports;
      CPPUNIT_ASSERT_EQUAL(std::string(kPeer), sent.peer_);
      CPPUNIT_ASSERT(report->scope_ == QuotaScope::kHost);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, report->uses_.begin()->second.used_,
                                   1e-9);
    }
    CPPUNIT_ASSERT(reports >= 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkspaceTests);

}  // namespace
}  // namespace jujubefront
