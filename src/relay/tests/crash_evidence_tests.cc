#include <functional>

#include "relay/tests/relay_harness.h"

namespace jujubefront {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kEntryConnection = 7;
constexpr Fingerprint kContent{.high_ = 1, .low_ = 2};

// A host whose backend server has begun to run one order.
struct Host {
  Host() {
    bench_.LearnTable();
    bench_.HearBackend();
    Order();
  }

  void Order() {
    bench_.Feed(LinkReceived{.connection_id_ = kEntryConnection,
                             .message_ = RunOrder{.send_id_ = ++send_id_,
                                                  .trace_id_ = "t1",
                                                  .instance_ = "i-1",
                                                  .route_ = "read",
                                                  .caller_service_ = "other",
                                                  .content_ = kContent,
                                                  .idempotent_ = true,
                                                  .remaining_ = seconds(5)}});
    const auto runs = bench_.Take<StartRun>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs.size());
    run_id_ = runs.front().run_id_;
    bench_.Take<Decision>();
  }

  void Break(BackendExchangeFailure how = BackendExchangeFailure::kBroken) {
    bench_.Feed(BackendExchangeFailed{.run_id_ = run_id_, .failure_ = how});
  }

  // The decision of this kind since the last call, if there is one.
  std::optional<Decision> TakeDecision(DecisionKind kind) {
    std::optional<Decision> found;
    for (Decision& decision : bench_.Take<Decision>()) {
      if (decision.kind_ == kind) found = std::move(decision);
    }
    return found;
  }

  RelayBench bench_;
  std::uint64_t send_id_ = 0;
  std::uint64_t run_id_ = 0;
};

std::string TextOf(const Decision& decision, std::string_view name) {
  for (const auto& [key, value] : decision.inputs_) {
    if (key == name) return std::get<std::string>(value);
  }
  return "";
}

// What happens after a run has begun.
struct EndRow {
  const char* name_;
  std::function<void(Host&)> then_;
  std::string how_;  // the end is known; empty: it is not believed
};

std::vector<EndRow> Ends() {
  return {
      {"connection lost, nobody listens",
       [](Host& host) {
         host.Break();
         host.bench_.Feed(BackendProbed{.probe_ = BackendProbe::kRefused});
       },
       "connection refused"},
      {"nobody listens, then the connection is lost",
       [](Host& host) {
         host.bench_.Feed(BackendProbed{.probe_ = BackendProbe::kRefused});
         host.Break();
         host.bench_.Pass(milliseconds(20));
       },
       "connection refused"},
      {"connection lost, new incarnation",
       [](Host& host) {
         host.Break();
         host.bench_.Pass(seconds(3));
         host.bench_.HearBackend("i-2", 2);
       },
       "new incarnation"},
      {"connection lost, restarted under its name",
       [](Host& host) {
         host.Break();
         host.bench_.Pass(seconds(3));
         host.bench_.HearBackend("i-1", 2);
       },
       "new incarnation"},
      {"silent, run given up, new incarnation",
       [](Host& host) {
         host.bench_.Feed(LinkReceived{.connection_id_ = kEntryConnection,
                                       .message_ = RunCancel{.send_id_ = 1}});
         host.bench_.Pass(seconds(3));
         host.bench_.HearBackend("i-2", 2);
       },
       "new incarnation"}};
}

std::vector<EndRow> OtherTroubles() {
  return {
      {"nobody listens, the run was never sent",
       [](Host& host) {
         host.bench_.Feed(BackendProbed{.probe_ = BackendProbe::kRefused});
         host.Break(BackendExchangeFailure::kRefused);
       },
       ""},
      {"nobody listens, the run is answered",
       [](Host& host) {
         host.bench_.Feed(BackendProbed{.probe_ = BackendProbe::kRefused});
         host.bench_.Feed(BackendResponded{.run_id_ = host.run_id_,
                                           .response_ = {.status_ = 200}});
       },
       ""},
      {"connection lost, still listens",
       [](Host& host) {
         host.Break();
         host.bench_.Feed(BackendProbed{});
       },
       ""},
      {"connection lost, no word of whether it listens",
       [](Host& host) {
         host.Break();
         host.bench_.Feed(BackendProbed{.probe_ = BackendProbe::kUnknown});
       },
       ""},
      {"spoilt answer, still listens",
       [](Host& host) {
         host.Break(BackendExchangeFailure::kMalformed);
         host.bench_.Feed(BackendProbed{});
       },
       ""},
      {"answer lost long before nobody listens",
       [](Host& host) {
         host.Break();
         host.bench_.Feed(BackendProbed{});
         host.bench_.Pass(milliseconds(2500));
         host.bench_.Feed(BackendProbed{.probe_ = BackendProbe::kRefused});
       },
       ""},
      {"began long after the last heartbeat",
       [](Host& host) {
         host.bench_.Feed(BackendResponded{.run_id_ = host.run_id_,
                                           .response_ = {.status_ = 200}});
         host.bench_.Pass(seconds(4));
         host.Order();
         host.Break();
         host.bench_.HearBackend("i-2", 2);
       },
       ""},
      {"said that it drains",
       [](Host& host) {
         host.bench_.HearBackend("i-1", 1, 2, true);
         host.Break();
         host.bench_.Feed(BackendProbed{.probe_ = BackendProbe::kRefused});
         host.bench_.HearBackend("i-2", 2);
       },
       ""},
      {"said that it leaves",
       [](Host& host) {
         host.bench_.Feed(BackendDeregistered{.instance_ = "i-1"});
         host.Break();
         host.bench_.HearBackend("i-2", 2);
       },
       ""},
      {"answered, then replaced",
       [](Host& host) {
         host.bench_.Feed(BackendResponded{.run_id_ = host.run_id_,
                                           .response_ = {.status_ = 200}});
         host.bench_.HearBackend("i-2", 2);
       },
       ""},
      {"out of reach, for want of a descriptor or a route",
       [](Host& host) { host.Break(BackendExchangeFailure::kNotSent); }, ""}};
}

class CrashEvidenceTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashEvidenceTests);
  CPPUNIT_TEST(OnlyTheEndOfAnIncarnationIsACrash);
  CPPUNIT_TEST(BrokenRunsNameTheirContent);
  CPPUNIT_TEST(BreaksDuringAProbeLeadToAnother);
  CPPUNIT_TEST(RunsThatBeganAfterTheEndAreNotCharged);
  CPPUNIT_TEST(RunsThatBreakAfterTheEndIsKnownAreToldTogether);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Whether the end of the backend server with this run is believed.
  void OnlyTheEndOfAnIncarnationIsACrash() {
    std::vector<EndRow> rows = Ends();
    const std::vector<EndRow> others = OtherTroubles();
    rows.insert(rows.end(), others.begin(), others.end());
    for (const EndRow& row : rows) {
      Host host;
      row.then_(host);
      const auto ended = host.TakeDecision(DecisionKind::kBackendEnded);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, !row.how_.empty(),
                                   ended.has_value());
      if (!ended) continue;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.how_, TextOf(*ended, "how"));
      CPPUNIT_ASSERT_EQUAL(std::string("i-1"), TextOf(*ended, "instance"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, FormatFingerprint(kContent),
                                   TextOf(*ended, "contents"));
    }
  }

  void BrokenRunsNameTheirContent() {
    Host host;
    host.Break();
    const auto broken = host.TakeDecision(DecisionKind::kRunBroken);
    CPPUNIT_ASSERT(broken.has_value());
    CPPUNIT_ASSERT_EQUAL(FormatFingerprint(kContent),
                         TextOf(*broken, "content"));
    CPPUNIT_ASSERT_EQUAL(std::string("other"), TextOf(*broken, "caller"));
  }

  // Runs that begin between a break and what tells of the end find a dead
  // connection. In a wave of ends, requests that are sent again would be
  // charged at each place they reach.
  void RunsThatBeganAfterTheEndAreNotCharged() {
    struct Row {
      const char* name_;
      bool still_listened_;  // after the break
      std::size_t charged_;
    };
    for (const Row& row : {Row{"dead at once", false, 1},
                           Row{"only an answer was lost", true, 2}}) {
      Host host;
      host.Break();
      if (row.still_listened_) host.bench_.Feed(BackendProbed{});
      host.bench_.Pass(milliseconds(10));
      host.bench_.Feed(
          LinkReceived{.connection_id_ = kEntryConnection,
                       .message_ = RunOrder{.send_id_ = 2,
                                            .trace_id_ = "t2",
                                            .instance_ = "i-1",
                                            .route_ = "read",
                                            .content_ = {.high_ = 3},
                                            .remaining_ = seconds(1)}});
      const auto runs = host.bench_.Take<StartRun>();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs.size());
      host.bench_.Feed(BackendExchangeFailed{.run_id_ = runs.front().run_id_});
      host.bench_.Feed(BackendProbed{.probe_ = BackendProbe::kRefused});
      const auto ended = host.TakeDecision(DecisionKind::kBackendEnded);
      CPPUNIT_ASSERT(ended.has_value());
      const std::string contents = TextOf(*ended, "contents");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          row.name_, row.charged_,
          (contents.size() + 1) / (kFingerprintDigits + 1));
    }
  }

  // A backend server may hold hundreds of runs, and each notice goes to many.
  void RunsThatBreakAfterTheEndIsKnownAreToldTogether() {
    Host host;
    const std::uint64_t first = host.run_id_;
    host.Order();
    host.bench_.AddPeer("10.0.0.2:7000", 2);
    host.bench_.Feed(BackendProbed{.probe_ = BackendProbe::kRefused});
    for (const std::uint64_t run_id : {first, host.run_id_}) {
      host.bench_.Feed(BackendExchangeFailed{.run_id_ = run_id});
    }
    host.bench_.Take<SendToPeer>();
    host.bench_.Pass(milliseconds(20));
    std::size_t notices = 0;
    for (const SendToPeer& sent : host.bench_.Take<SendToPeer>()) {
      if (std::holds_alternative<SuspicionNotice>(sent.message_)) ++notices;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, notices);
  }

  // The connection that the first probe opens may be older than the end.
  void BreaksDuringAProbeLeadToAnother() {
    Host host;
    host.Break();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         host.bench_.Take<ProbeBackend>().size());
    host.bench_.Feed(
        LinkReceived{.connection_id_ = kEntryConnection,
                     .message_ = RunOrder{.send_id_ = 2,
                                          .trace_id_ = "t2",
                                          .instance_ = "i-1",
                                          .route_ = "read",
                                          .remaining_ = seconds(1)}});
    const auto runs = host.bench_.Take<StartRun>();
    host.bench_.Feed(BackendExchangeFailed{.run_id_ = runs.front().run_id_});
    CPPUNIT_ASSERT(host.bench_.Take<ProbeBackend>().empty());
    host.bench_.Feed(BackendProbed{});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         host.bench_.Take<ProbeBackend>().size());
    host.bench_.Feed(BackendProbed{});
    CPPUNIT_ASSERT(host.bench_.Take<ProbeBackend>().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashEvidenceTests);

}  // namespace
}  // namespace jujubefront
