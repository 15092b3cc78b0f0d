#include "relay/tests/relay_harness.h"

namespace jujubefront {
namespace {

constexpr const char* kPeer = "10.0.0.2:7000";

class StatedLeavingTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatedLeavingTests);
  CPPUNIT_TEST(HostStopsAtTheAnswerOfItsBackendServer);
  CPPUNIT_TEST(EntryKeepsWhatAnAnswerStated);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A backend server that leaves may be unable to report it by heartbeat, or
  // report the contrary by one that was delayed. Its answers state it too, and
  // are final for the incarnation.
  void HostStopsAtTheAnswerOfItsBackendServer() {
    struct Row {
      const char* name_;
      bool restarted_meanwhile_;   // before the answer arrived
      std::int64_t heartbeat_of_;  // incarnation
      bool runs_;
    };
    const Row rows[] = {
        {"later heartbeat as ready", false, 1, false},
        {"new incarnation", false, 2, true},
        {"answer of an earlier incarnation", true, 2, true},
    };
    for (const Row& row : rows) {
      RelayHarness harness;
      harness.LoadTable();
      harness.ReceiveHeartbeat();
      harness.SendRequest(1, "/read/1");
      const auto runs = harness.Take<StartRun>();
      if (row.restarted_meanwhile_) harness.ReceiveHeartbeat("i-1", 2, 1);
      harness.Feed(BackendResponded{.run_id_ = runs.at(0).run_id_,
                                    .response_ = {.status_ = 200},
                                    .notice_ = {.leaving_ = true}});
      if (!row.restarted_meanwhile_) {
        harness.SendRequest(2, "/read/1");
        CPPUNIT_ASSERT_MESSAGE(row.name_, harness.Take<StartRun>().empty());
      }
      harness.ReceiveHeartbeat("i-1", row.heartbeat_of_, 8);
      harness.SendRequest(3, "/read/1");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.runs_,
                                   !harness.Take<StartRun>().empty());
    }
  }

  // The node where a request began is bound by an answer that it has passed on.
  // The host's relay may restart afterwards and believe a heartbeat.
  void EntryKeepsWhatAnAnswerStated() {
    struct Row {
      const char* name_;
      std::int64_t incarnation_;  // in the host's next status
      BackendState state_;
      bool is_sent_;
    };
    const Row rows[] = {
        {"host restarts, heartbeat as ready", 4, BackendState::kReady, false},
        {"host restarts, heartbeat as draining", 4, BackendState::kDraining,
         false},
        {"new incarnation", 5, BackendState::kReady, true},
    };
    for (const Row& row : rows) {
      RelayHarness harness;
      harness.LoadTable();
      harness.AddPeer(kPeer, 1);
      HostStatus status = harness.state().peers_.at(kPeer).status_;
      status.backend_started_at_ms_ = 4;
      harness.Feed(LinkReceived{.connection_id_ = 1, .message_ = status});
      harness.SendRequest(1, "/read/1");
      const auto sent = harness.TakeRunOrders();
      harness.ReceiveAnswer(kPeer, sent.at(0).second,
                            {.started_at_ms_ = 4, .leaving_ = true});
      harness.SendRequest(2, "/read/1");
      CPPUNIT_ASSERT_MESSAGE(row.name_, harness.TakeRunOrders().empty());
      harness.Feed(PeerDisconnected{kPeer});
      status.boot_ = 77;
      status.backend_started_at_ms_ = row.incarnation_;
      status.backend_ = row.state_;
      status.backend_sequence_ = 20;
      harness.Feed(LinkReceived{.connection_id_ = 2, .message_ = status});
      harness.Feed(PeerConnected{kPeer});
      // A status that reports ready after one that reported draining.
      status.backend_ = BackendState::kReady;
      status.backend_sequence_ = 21;
      harness.Take<SendBack>();
      harness.Feed(LinkReceived{.connection_id_ = 2, .message_ = status});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.incarnation_ == 4,
                                   !harness.Take<SendBack>().empty());
      harness.SendRequest(3, "/read/1");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.is_sent_,
                                   !harness.TakeRunOrders().empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatedLeavingTests);

}  // namespace
}  // namespace jujubefront
