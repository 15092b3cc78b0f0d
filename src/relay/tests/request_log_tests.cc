#include <algorithm>

#include "relay/tests/relay_harness.h"

namespace jujubefront {
namespace {

constexpr const char* kPeer = "10.0.0.2:7000";

RelayOptions OptionsWithTraceSample(std::uint32_t sample) {
  RelayOptions options = RelayHarness::DefaultOptions();
  options.trace_sample_ = sample;
  return options;
}

// Kinds of the decisions about one request, in order.
std::vector<DecisionKind> KindsFor(const std::vector<Decision>& decisions,
                                   const std::string& trace_id) {
  std::vector<DecisionKind> kinds;
  for (const Decision& decision : decisions) {
    if (decision.trace_id_ == trace_id) kinds.push_back(decision.kind_);
  }
  return kinds;
}

class RequestLogTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestLogTests);
  CPPUNIT_TEST(LoggedStepsFollowOutcomeAndTraceSample);
  CPPUNIT_TEST(CallsAreTracedWithTheirRequest);
  CPPUNIT_TEST(UnreadableInputIsLogged);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Successful requests are logged only if they are in the trace sample; resent
  // and cancelled ones always are. Logging each request would cost too much,
  // and a failure missing from the log can't be investigated.
  void LoggedStepsFollowOutcomeAndTraceSample() {
    using Kind = DecisionKind;
    struct Row {
      const char* name_;
      std::uint32_t trace_sample_;
      RunOutcome outcome_;
      bool client_leaves_;
      std::vector<Kind> kinds_;
    };
    const Row rows[] = {
        {"answered, traced",
         1,
         RunOutcome::kAnswered,
         false,
         {Kind::kSent, Kind::kAnswered}},
        {"answered, not traced", 0, RunOutcome::kAnswered, false, {}},
        {"resent, traced",
         1,
         RunOutcome::kBroken,
         false,
         {Kind::kSent, Kind::kResent}},
        {"resent, not traced", 0, RunOutcome::kBroken, false, {Kind::kResent}},
        {"cancelled by the client, not traced",
         0,
         RunOutcome::kAnswered,
         true,
         {Kind::kCancelled}}};
    for (const Row& row : rows) {
      RelayHarness harness(OptionsWithTraceSample(row.trace_sample_));
      harness.LoadTable();
      harness.AddPeer(kPeer, 1);
      harness.AddPeer("10.0.0.3:7000", 2);
      harness.Take<Decision>();
      harness.SendRequest(1, "/read/1");
      const auto orders = harness.TakeRunOrders();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, std::size_t{1}, orders.size());
      if (row.client_leaves_) {
        harness.Feed(RequestCancelled{1});
      } else {
        RunReply reply{.send_id_ = orders.front().second.send_id_,
                       .outcome_ = row.outcome_};
        reply.response_.status_ = 200;
        harness.Feed(LinkReceived{.peer_ = orders.front().first,
                                  .message_ = std::move(reply)});
      }
      const auto kinds = KindsFor(harness.Take<Decision>(), "t1");
      CPPUNIT_ASSERT_MESSAGE(row.name_, row.kinds_ == kinds);
    }
  }

  // A host decides whether to trace a call by the id of the client's request,
  // the first part of the call's trace id. With a decision of its own for each
  // call, the log would contain fragments of call trees.
  void CallsAreTracedWithTheirRequest() {
    RelayHarness harness(OptionsWithTraceSample(4));
    harness.LoadTable();
    harness.ReceiveHeartbeat();
    int traced = 0;
    for (int i = 0; i < 64; ++i) {
      const std::string root = "id" + std::to_string(i);
      std::vector<bool> logged;
      for (const std::string& id : {root, root + ".1", root + ".1.2"}) {
        harness.Feed(LinkReceived{
            .connection_id_ = 7,
            .message_ = RunOrder{.send_id_ = harness.state().last_id_ + 100,
                                 .trace_id_ = id,
                                 .instance_ = "i-1",
                                 .route_ = "read",
                                 .idempotent_ = true,
                                 .remaining_ = std::chrono::seconds(1)}});
        const auto runs = harness.Take<StartRun>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs.size());
        Http1Response response{.status_ = 200};
        harness.Feed(BackendResponded{.run_id_ = runs.front().run_id_,
                                      .response_ = std::move(response)});
        logged.push_back(!KindsFor(harness.Take<Decision>(), id).empty());
      }
      CPPUNIT_ASSERT(logged[0] == logged[1] && logged[1] == logged[2]);
      if (logged[0]) ++traced;
    }
    CPPUNIT_ASSERT(traced > 4 && traced < 32);
  }

  // Input that can't be parsed is discarded. Without a log entry, the fault of
  // its sender would not be noticed.
  void UnreadableInputIsLogged() {
    RelayHarness harness;
    harness.Take<Decision>();
    harness.Feed(InputUnreadable{.source_ = "heartbeat", .detail_ = "i-1"});
    const auto decisions = harness.Take<Decision>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.size());
    CPPUNIT_ASSERT(decisions.front().kind_ == DecisionKind::kInputUnreadable);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestLogTests);

}  // namespace
}  // namespace jujubefront
