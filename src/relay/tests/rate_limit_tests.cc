#include "relay/tests/relay_harness.h"

namespace jujubefront {
namespace {

constexpr const char* kPeer = "10.0.0.2:7000";
constexpr std::uint64_t kEntryConnection = 7;
constexpr Duration kWindow = std::chrono::seconds(4);

RunOrder MakeOrder(const RelayHarness& harness, std::uint64_t send_id,
                   BackendStatement known = {}) {
  return {.send_id_ = send_id,
          .sent_at_ = harness.now().time_since_epoch(),
          .instance_ = "i-1",
          .route_ = "read",
          .caller_service_ = "other",
          .is_call_ = true,
          .idempotent_ = true,
          .remaining_ = std::chrono::milliseconds(800),
          .objective_left_ = std::chrono::milliseconds(400),
          .known_ = known,
          .request_ = {.method_ = "GET", .target_ = "/read/1"}};
}

void SendOrder(RelayHarness& harness, std::uint64_t send_id,
               BackendStatement known = {}) {
  harness.Feed(LinkReceived{.connection_id_ = kEntryConnection,
                            .message_ = MakeOrder(harness, send_id, known)});
}

void AnswerRun(RelayHarness& harness, std::uint64_t run_id,
               BackendNotice notice, bool not_run = false) {
  harness.Feed(BackendResponded{.run_id_ = run_id,
                                .response_ = {.status_ = not_run ? 503 : 200},
                                .not_run_ = not_run,
                                .notice_ = notice});
}

// Sends 100 orders a second for this time. The backend server answers each run
// at once with the notice. Returns the number of runs started.
int CountStarts(RelayHarness& harness, Duration time, BackendNotice notice,
                bool not_run = false, BackendStatement known = {}) {
  static std::uint64_t send_id = 1000;
  int starts = 0;
  for (Duration at = Duration::zero(); at < time;
       at += std::chrono::milliseconds(10)) {
    SendOrder(harness, ++send_id, known);
    for (std::vector<StartRun> runs; !(runs = harness.Take<StartRun>()).empty();
         starts += static_cast<int>(runs.size())) {
      for (const StartRun& run : runs) {
        AnswerRun(harness, run.run_id_, notice, not_run);
      }
    }
    harness.RunFor(std::chrono::milliseconds(10));
  }
  return starts;
}

// Starts one run and answers it with this notice.
void RunOnce(RelayHarness& harness, BackendNotice notice) {
  SendOrder(harness, 1);
  const auto runs = harness.Take<StartRun>();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs.size());
  AnswerRun(harness, runs.front().run_id_, notice);
}

std::optional<double> KnownLimit(RelayHarness& harness) {
  return harness.state().backend_.rate_limit_.per_second_;
}

class RateLimitTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RateLimitTests);
  CPPUNIT_TEST(StartsStayWithinTheNamedRate);
  CPPUNIT_TEST(LimitFollowsTheLatestAnswer);
  CPPUNIT_TEST(UnreadableLimitLeavesTheKnownOne);
  CPPUNIT_TEST(RestartedRelayLearnsTheLimitFromEntries);
  CPPUNIT_TEST(EntriesHandOverWhatTheIncarnationStated);
  CPPUNIT_TEST(LimitedHostIsPassedOverWhileItHasToWait);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The relay on its host is the only way to a backend server, so that
  // everything that it starts counts: first runs, repeats after a rejection,
  // whatever the backend server answers.
  void StartsStayWithinTheNamedRate() {
    struct Row {
      const char* name_;
      double limit_;
      bool rejects_;
      int min_;
      int max_;
    };
    const Row rows[] = {
        {"usual", 10.0, false, 38, 43},
        {"every run is rejected", 10.0, true, 38, 43},
        {"less than one in a window", 0.1, false, 1, 3},
        {"zero", 0.0, false, 1, 3},
        {"no real limit", 1e9, false, 400, 400},
    };
    for (const Row& row : rows) {
      RelayHarness harness;
      harness.LoadTable();
      harness.ReceiveHeartbeat();
      const BackendNotice notice{.rate_limit_ = row.limit_};
      RunOnce(harness, notice);
      const int starts = CountStarts(harness, kWindow, notice, row.rejects_);
      const std::string text =
          std::string(row.name_) + ": " + std::to_string(starts);
      CPPUNIT_ASSERT_MESSAGE(text, starts >= row.min_);
      CPPUNIT_ASSERT_MESSAGE(text, starts <= row.max_);
    }
  }

  // Answers of runs that overlap may arrive in another order than they were
  // made. One that was made before the limit was named says nothing about its
  // end, and a false end would start all waiting runs at once.
  void LimitFollowsTheLatestAnswer() {
    struct Row {
      const char* name_;
      std::optional<double> first_;
      std::optional<double> second_;
      bool overlap_;  // the second run starts before the first is answered
      std::optional<double> known_;
    };
    const Row rows[] = {
        {"ends", 10.0, std::nullopt, false, std::nullopt},
        {"rises", 10.0, 20.0, false, 20.0},
        {"falls", 10.0, 5.0, false, 5.0},
        {"crossing, without a limit", 10.0, std::nullopt, true, 10.0},
        {"crossing, higher", 10.0, 20.0, true, 10.0},
        {"crossing, lower", 10.0, 5.0, true, 5.0},
        {"crossing, begins", std::nullopt, 5.0, true, 5.0},
    };
    for (const Row& row : rows) {
      RelayHarness harness;
      harness.LoadTable();
      harness.ReceiveHeartbeat();
      SendOrder(harness, 1);
      if (row.overlap_) SendOrder(harness, 2);
      auto runs = harness.Take<StartRun>();
      harness.RunFor(std::chrono::milliseconds(10));
      AnswerRun(harness, runs.at(0).run_id_, {.rate_limit_ = row.first_});
      if (!row.overlap_) {
        SendOrder(harness, 2);
        harness.RunFor(std::chrono::milliseconds(200));
        runs.push_back(harness.Take<StartRun>().at(0));
      }
      AnswerRun(harness, runs.at(1).run_id_, {.rate_limit_ = row.second_});
      CPPUNIT_ASSERT_MESSAGE(row.name_, row.known_ == KnownLimit(harness));
    }
  }

  // A limit that cannot be read is neither the end of the known limit nor a
  // limit of zero. It is logged.
  void UnreadableLimitLeavesTheKnownOne() {
    RelayHarness harness;
    harness.LoadTable();
    harness.ReceiveHeartbeat();
    RunOnce(harness, {.rate_limit_ = 50.0});
    harness.RunFor(std::chrono::milliseconds(100));
    harness.Take<Decision>();
    RunOnce(harness, {.rate_limit_unreadable_ = true});
    CPPUNIT_ASSERT(KnownLimit(harness) == 50.0);
    const auto logged = harness.Take<Decision>();
    CPPUNIT_ASSERT(
        std::any_of(logged.begin(), logged.end(), [](const Decision& decision) {
          return decision.kind_ == DecisionKind::kInputUnreadable;
        }));
  }

  // A new process on the host knows no limit, while entries that have passed on
  // an answer with it are still bound. Requests that waited for the restart
  // arrive at once, before any answer. A new incarnation has no limit.
  void RestartedRelayLearnsTheLimitFromEntries() {
    struct Row {
      const char* name_;
      BackendStatement known_;  // by the entries
      BackendNotice answers_;
      std::size_t first_;  // started of the first orders
      int max_;
    };
    const Row rows[] = {
        {"same incarnation",
         {.started_at_ms_ = 1, .rate_limit_ = 5.0},
         {.rate_limit_ = 5.0},
         0,
         22},
        {"ended meanwhile",
         {.started_at_ms_ = 1, .rate_limit_ = 5.0},
         {},
         0,
         400},
        {"another incarnation",
         {.started_at_ms_ = 9, .rate_limit_ = 5.0},
         {},
         2,
         400},
    };
    for (const Row& row : rows) {
      RelayHarness harness;
      harness.LoadTable();
      harness.ReceiveHeartbeat();
      SendOrder(harness, 1, row.known_);
      SendOrder(harness, 2, row.known_);
      const auto first = harness.Take<StartRun>();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.first_, first.size());
      for (const StartRun& run : first) {
        AnswerRun(harness, run.run_id_, row.answers_);
      }
      const int starts =
          CountStarts(harness, kWindow, row.answers_, false, row.known_);
      CPPUNIT_ASSERT_MESSAGE(row.name_, starts <= row.max_);
      CPPUNIT_ASSERT_MESSAGE(row.name_, starts >= row.max_ * 4 / 5);
    }
  }

  // What an entry hands over must be about the incarnation that the order
  // names: a later one under the same address, or even the same name, has
  // stated nothing yet.
  void EntriesHandOverWhatTheIncarnationStated() {
    struct Row {
      const char* name_;
      std::int64_t stated_by_;  // start of the incarnation
      std::int64_t current_;
      std::optional<double> handed_over_;
    };
    const Row rows[] = {{"same incarnation", 4, 4, 6.0},
                        {"later incarnation", 4, 5, std::nullopt},
                        {"late answer of an earlier one", 3, 4, std::nullopt}};
    for (const Row& row : rows) {
      RelayHarness harness;
      harness.LoadTable();
      harness.AddPeer(kPeer, 1);
      HostStatus status = harness.state().peers_.at(kPeer).status_;
      status.backend_started_at_ms_ = 4;
      harness.Feed(LinkReceived{.connection_id_ = 1, .message_ = status});
      harness.SendRequest(1, "/read/1");
      const auto sent = harness.TakeRunOrders();
      harness.ReceiveAnswer(
          kPeer, sent.at(0).second,
          {.started_at_ms_ = row.stated_by_, .rate_limit_ = 6.0});
      status.backend_started_at_ms_ = row.current_;
      harness.Feed(LinkReceived{.connection_id_ = 1, .message_ = status});
      harness.SendRequest(2, "/read/1");
      const auto orders = harness.TakeRunOrders();
      CPPUNIT_ASSERT_MESSAGE(
          row.name_,
          orders.at(0).second.known_.rate_limit_ == row.handed_over_);
    }
  }

  // A limited backend server has free slots while its next start is far off.
  // Sent there, requests would wait and expire.
  void LimitedHostIsPassedOverWhileItHasToWait() {
    struct Row {
      const char* name_;
      Duration next_start_in_;
      Duration report_age_;
      bool is_chosen_;
    };
    constexpr Duration kLong = std::chrono::milliseconds(800);
    const Row rows[] = {
        {"may start now", Duration::zero(), Duration::zero(), true},
        {"has to wait", kLong, Duration::zero(), false},
        {"has waited since the report", kLong, kLong, true},
    };
    for (const Row& row : rows) {
      RelayHarness harness;
      harness.LoadTable();
      harness.AddPeer("10.0.0.3:7000", 2);
      harness.AddPeer(kPeer, 1);
      HostStatus other = harness.state().peers_.at("10.0.0.3:7000").status_;
      other.running_ = other.slots_;  // would finish later
      other.profiles_ = {{.route_ = "read", .runs_ = 9, .slot_seconds_ = 0.4}};
      HostStatus status = harness.state().peers_.at(kPeer).status_;
      status.profiles_ = other.profiles_;
      status.start_limit_ = {.per_second_ = 1.0,
                             .next_start_in_ = row.next_start_in_,
                             .usable_slots_ = 0.4};
      harness.Feed(LinkReceived{.connection_id_ = 2, .message_ = other});
      harness.Feed(LinkReceived{.connection_id_ = 1, .message_ = status});
      harness.SkipTime(row.report_age_);
      harness.SendRequest(1, "/read/1");
      const auto orders = harness.TakeRunOrders();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.is_chosen_,
                                   orders.at(0).first == kPeer);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimitTests);

}  // namespace
}  // namespace jujubefront
