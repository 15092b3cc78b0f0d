#include <functional>

#include "relay/tests/relay_harness.h"

namespace jujubefront {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kEntryConnection = 7;
constexpr Fingerprint kContent{.high_ = 1, .low_ = 2};

// A host whose backend server has started to run one order.
struct HostWithRun {
  HostWithRun() {
    harness_.LoadTable();
    harness_.ReceiveHeartbeat();
    ReceiveOrder();
  }

  void ReceiveOrder() {
    harness_.Feed(LinkReceived{.connection_id_ = kEntryConnection,
                               .message_ = RunOrder{.send_id_ = ++send_id_,
                                                    .trace_id_ = "t1",
                                                    .instance_ = "i-1",
                                                    .route_ = "read",
                                                    .caller_service_ = "other",
                                                    .content_ = kContent,
                                                    .idempotent_ = true,
                                                    .remaining_ = seconds(5)}});
    const auto runs = harness_.Take<StartRun>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs.size());
    run_id_ = runs.front().run_id_;
    harness_.Take<Decision>();
  }

  void BreakRun(BackendExchangeFailure how = BackendExchangeFailure::kBroken) {
    harness_.Feed(BackendExchangeFailed{.run_id_ = run_id_, .failure_ = how});
  }

  // The last decision of this kind since the last call, or none.
  std::optional<Decision> TakeDecision(DecisionKind kind) {
    std::optional<Decision> found;
    for (Decision& decision : harness_.Take<Decision>()) {
      if (decision.kind_ == kind) found = std::move(decision);
    }
    return found;
  }

  RelayHarness harness_;
  std::uint64_t send_id_ = 0;
  std::uint64_t run_id_ = 0;
};

std::string TextOf(const Decision& decision, std::string_view name) {
  for (const auto& [key, value] : decision.inputs_) {
    if (key == name) return std::get<std::string>(value);
  }
  return "";
}

// Events after a run has started, and whether the relay concludes from them
// that the incarnation of the backend server has ended.
struct EvidenceRow {
  const char* name_;
  std::function<void(HostWithRun&)> events_;
  std::string how_;  // logged evidence of the end; empty: no end is concluded
};

std::vector<EvidenceRow> EndsWithCrash() {
  return {
      {"connection lost, then the probe is refused",
       [](HostWithRun& host) {
         host.BreakRun();
         host.harness_.Feed(
             BackendProbed{.probe_ = BackendProbeResult::kRefused});
       },
       "connection refused"},
      {"probe is refused, then the connection is lost",
       [](HostWithRun& host) {
         host.harness_.Feed(
             BackendProbed{.probe_ = BackendProbeResult::kRefused});
         host.BreakRun();
         host.harness_.RunFor(milliseconds(20));
       },
       "connection refused"},
      {"connection lost, heartbeat of a new incarnation",
       [](HostWithRun& host) {
         host.BreakRun();
         host.harness_.RunFor(seconds(3));
         host.harness_.ReceiveHeartbeat("i-2", 2);
       },
       "new incarnation"},
      {"connection lost, heartbeat of a restart with the same instance",
       [](HostWithRun& host) {
         host.BreakRun();
         host.harness_.RunFor(seconds(3));
         host.harness_.ReceiveHeartbeat("i-1", 2);
       },
       "new incarnation"},
      {"run cancelled without an answer, heartbeat of a new incarnation",
       [](HostWithRun& host) {
         host.harness_.Feed(LinkReceived{.connection_id_ = kEntryConnection,
                                         .message_ = RunCancel{.send_id_ = 1}});
         host.harness_.RunFor(seconds(3));
         host.harness_.ReceiveHeartbeat("i-2", 2);
       },
       "new incarnation"}};
}

std::vector<EvidenceRow> EndsWithoutCrash() {
  return {{"probe is refused, the run was never sent",
           [](HostWithRun& host) {
             host.harness_.Feed(
                 BackendProbed{.probe_ = BackendProbeResult::kRefused});
             host.BreakRun(BackendExchangeFailure::kRefused);
           },
           ""},
          {"probe is refused, the run is answered",
           [](HostWithRun& host) {
             host.harness_.Feed(
                 BackendProbed{.probe_ = BackendProbeResult::kRefused});
             host.harness_.Feed(BackendResponded{
                 .run_id_ = host.run_id_, .response_ = {.status_ = 200}});
           },
           ""},
          {"connection lost, the probe connects",
           [](HostWithRun& host) {
             host.BreakRun();
             host.harness_.Feed(BackendProbed{});
           },
           ""},
          {"connection lost, the probe has no result",
           [](HostWithRun& host) {
             host.BreakRun();
             host.harness_.Feed(
                 BackendProbed{.probe_ = BackendProbeResult::kUnknown});
           },
           ""},
          {"malformed answer, the probe connects",
           [](HostWithRun& host) {
             host.BreakRun(BackendExchangeFailure::kMalformed);
             host.harness_.Feed(BackendProbed{});
           },
           ""},
          {"connection lost, the probe connects, one 2.5 s later is refused",
           [](HostWithRun& host) {
             host.BreakRun();
             host.harness_.Feed(BackendProbed{});
             host.harness_.RunFor(milliseconds(2500));
             host.harness_.Feed(
                 BackendProbed{.probe_ = BackendProbeResult::kRefused});
           },
           ""},
          {"run started 4 s after the last heartbeat",
           [](HostWithRun& host) {
             host.harness_.Feed(BackendResponded{
                 .run_id_ = host.run_id_, .response_ = {.status_ = 200}});
             host.harness_.RunFor(seconds(4));
             host.ReceiveOrder();
             host.BreakRun();
             host.harness_.ReceiveHeartbeat("i-2", 2);
           },
           ""},
          {"heartbeat announced draining before the connection was lost",
           [](HostWithRun& host) {
             host.harness_.ReceiveHeartbeat("i-1", 1, 2, true);
             host.BreakRun();
             host.harness_.Feed(
                 BackendProbed{.probe_ = BackendProbeResult::kRefused});
             host.harness_.ReceiveHeartbeat("i-2", 2);
           },
           ""},
          {"backend server announced that it leaves",
           [](HostWithRun& host) {
             host.harness_.Feed(BackendDeregistered{.instance_ = "i-1"});
             host.BreakRun();
             host.harness_.ReceiveHeartbeat("i-2", 2);
           },
           ""},
          {"run answered, then a new incarnation",
           [](HostWithRun& host) {
             host.harness_.Feed(BackendResponded{
                 .run_id_ = host.run_id_, .response_ = {.status_ = 200}});
             host.harness_.ReceiveHeartbeat("i-2", 2);
           },
           ""},
          {"run not sent, for lack of a descriptor or a network route",
           [](HostWithRun& host) {
             host.BreakRun(BackendExchangeFailure::kNotSent);
           },
           ""}};
}

class CrashEvidenceTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashEvidenceTests);
  CPPUNIT_TEST(CrashIsConcludedOnlyFromTheEndOfAnIncarnation);
  CPPUNIT_TEST(BrokenRunsLogContentAndCaller);
  CPPUNIT_TEST(BreakDuringAProbeCausesAnotherProbe);
  CPPUNIT_TEST(RunsStartedAfterTheEndAreNotCharged);
  CPPUNIT_TEST(RunsBrokenAfterAKnownEndShareOneNotice);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Contents are charged only for crashes. A relay that took a lost answer, a
  // planned stop or its own shortage of descriptors for the end of an
  // incarnation would charge harmless contents; one that missed a crash would
  // keep sending the content that caused it.
  void CrashIsConcludedOnlyFromTheEndOfAnIncarnation() {
    std::vector<EvidenceRow> rows = EndsWithCrash();
    const std::vector<EvidenceRow> others = EndsWithoutCrash();
    rows.insert(rows.end(), others.begin(), others.end());
    for (const EvidenceRow& row : rows) {
      HostWithRun host;
      row.events_(host);
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

  // An operator finds the cause of a crash from the log entry of the broken
  // run. Without content and caller in it, the entry can't be matched with
  // charges.
  void BrokenRunsLogContentAndCaller() {
    HostWithRun host;
    host.BreakRun();
    const auto broken = host.TakeDecision(DecisionKind::kRunBroken);
    CPPUNIT_ASSERT(broken.has_value());
    CPPUNIT_ASSERT_EQUAL(FormatFingerprint(kContent),
                         TextOf(*broken, "content"));
    CPPUNIT_ASSERT_EQUAL(std::string("other"), TextOf(*broken, "caller"));
  }

  // Guards against charging runs that started after the backend server had
  // ended but before the relay knew: their connection was already dead. When
  // many backend servers end together, resent requests would otherwise be
  // charged at each host that they reach.
  void RunsStartedAfterTheEndAreNotCharged() {
    struct Row {
      const char* name_;
      bool still_listened_;  // a probe after the first break connected
      std::size_t charged_;
    };
    for (const Row& row : {Row{"ended at the first break", false, 1},
                           Row{"first break lost only an answer", true, 2}}) {
      HostWithRun host;
      host.BreakRun();
      if (row.still_listened_) host.harness_.Feed(BackendProbed{});
      host.harness_.RunFor(milliseconds(10));
      host.harness_.Feed(
          LinkReceived{.connection_id_ = kEntryConnection,
                       .message_ = RunOrder{.send_id_ = 2,
                                            .trace_id_ = "t2",
                                            .instance_ = "i-1",
                                            .route_ = "read",
                                            .content_ = {.high_ = 3},
                                            .remaining_ = seconds(1)}});
      const auto runs = host.harness_.Take<StartRun>();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs.size());
      host.harness_.Feed(
          BackendExchangeFailed{.run_id_ = runs.front().run_id_});
      host.harness_.Feed(BackendProbed{.probe_ = BackendProbeResult::kRefused});
      const auto ended = host.TakeDecision(DecisionKind::kBackendEnded);
      CPPUNIT_ASSERT(ended.has_value());
      const std::string contents = TextOf(*ended, "contents");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          row.name_, row.charged_,
          (contents.size() + 1) / (kFingerprintDigits + 1));
    }
  }

  // A backend server may have hundreds of runs in progress, and each notice is
  // broadcast. Runs whose connections break after the end is known are
  // therefore collected into one notice instead of one each.
  void RunsBrokenAfterAKnownEndShareOneNotice() {
    HostWithRun host;
    const std::uint64_t first = host.run_id_;
    host.ReceiveOrder();
    host.harness_.AddPeer("10.0.0.2:7000", 2);
    host.harness_.Feed(BackendProbed{.probe_ = BackendProbeResult::kRefused});
    for (const std::uint64_t run_id : {first, host.run_id_}) {
      host.harness_.Feed(BackendExchangeFailed{.run_id_ = run_id});
    }
    host.harness_.Take<SendToPeer>();
    host.harness_.RunFor(milliseconds(20));
    std::size_t notices = 0;
    for (const SendToPeer& sent : host.harness_.Take<SendToPeer>()) {
      if (std::holds_alternative<SuspicionNotice>(sent.message_)) ++notices;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, notices);
  }

  // A probe may have connected before the backend server ended. If a run breaks
  // while a probe is in progress, the result says nothing about that break, so
  // that another probe must follow; without it the crash would go unnoticed.
  void BreakDuringAProbeCausesAnotherProbe() {
    HostWithRun host;
    host.BreakRun();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         host.harness_.Take<ProbeBackend>().size());
    host.harness_.Feed(
        LinkReceived{.connection_id_ = kEntryConnection,
                     .message_ = RunOrder{.send_id_ = 2,
                                          .trace_id_ = "t2",
                                          .instance_ = "i-1",
                                          .route_ = "read",
                                          .remaining_ = seconds(1)}});
    const auto runs = host.harness_.Take<StartRun>();
    host.harness_.Feed(BackendExchangeFailed{.run_id_ = runs.front().run_id_});
    CPPUNIT_ASSERT(host.harness_.Take<ProbeBackend>().empty());
    host.harness_.Feed(BackendProbed{});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         host.harness_.Take<ProbeBackend>().size());
    host.harness_.Feed(BackendProbed{});
    CPPUNIT_ASSERT(host.harness_.Take<ProbeBackend>().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashEvidenceTests);

}  // namespace
}  // namespace jujubefront
