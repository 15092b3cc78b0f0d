#include "relay/tests/relay_harness.h"

namespace jujubefront {
namespace {

constexpr const char* kFirst = "10.0.0.2:7000";
constexpr const char* kSecond = "10.0.0.3:7000";
constexpr std::uint64_t kEntryConnection = 7;

LoadReport Report(std::optional<double> pace) {
  return {.running_ = 1, .waiting_ = 0, .slots_ = 4, .pace_ = pace};
}

// Gives the relay two peers whose latest statuses bring these reports.
void AddPeers(RelayHarness& harness, const std::optional<LoadReport>& first,
              const std::optional<LoadReport>& second) {
  harness.LoadTable();
  std::uint64_t connection = 0;
  for (const auto& [address, report] :
       {std::pair(kFirst, first), std::pair(kSecond, second)}) {
    harness.AddPeer(address, ++connection);
    HostStatus status = harness.state().peers_.at(address).status_;
    status.profiles_ = {{.route_ = "read", .runs_ = 9, .slot_seconds_ = 0.05}};
    status.load_report_ = report;
    harness.Feed(
        LinkReceived{.connection_id_ = connection, .message_ = status});
  }
}

void SendOrder(RelayHarness& harness, std::uint64_t send_id) {
  harness.Feed(LinkReceived{
      .connection_id_ = kEntryConnection,
      .message_ =
          RunOrder{.send_id_ = send_id,
                   .sent_at_ = harness.now().time_since_epoch(),
                   .instance_ = harness.state().backend_.instance_,
                   .route_ = "read",
                   .caller_service_ = "other",
                   .idempotent_ = true,
                   .remaining_ = std::chrono::milliseconds(800),
                   .objective_left_ = std::chrono::milliseconds(400),
                   .request_ = {.method_ = "GET", .target_ = "/read/1"}}});
}

// Starts one run, answers it with the notice, and returns the reply.
RunReply RunOnce(RelayHarness& harness, std::uint64_t send_id,
                 const BackendNotice& notice) {
  SendOrder(harness, send_id);
  const auto runs = harness.Take<StartRun>();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs.size());
  harness.Feed(BackendResponded{.run_id_ = runs.front().run_id_,
                                .response_ = {.status_ = 200},
                                .notice_ = notice});
  const auto sent = harness.Take<SendBack>();
  return std::get<RunReply>(sent.back().message_);
}

class LoadReportTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadReportTests);
  CPPUNIT_TEST(HostPassesTheLatestReportOn);
  CPPUNIT_TEST(HealthChecksBringReports);
  CPPUNIT_TEST(OnlyHostsThatStateAPaceAreBalanced);
  CPPUNIT_TEST(OldReportsAreNotUsed);
  CPPUNIT_TEST(RepliesCoverOnlyWhatTheirHostHadReceived);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A report that cannot be read, or is missing, must not displace the known
  // one, and one of an earlier incarnation must not outlast it.
  void HostPassesTheLatestReportOn() {
    RelayHarness harness;
    harness.LoadTable();
    harness.ReceiveHeartbeat();
    CPPUNIT_ASSERT(!RunOnce(harness, 1, {}).load_report_);
    CPPUNIT_ASSERT(RunOnce(harness, 2, {.load_ = Report(1.5)}).load_report_ ==
                   Report(1.5));
    harness.SkipTime(std::chrono::milliseconds(30));
    LoadReport aged = Report(1.5);
    aged.age_ = std::chrono::milliseconds(30);
    CPPUNIT_ASSERT(RunOnce(harness, 3, {}).load_report_ == aged);
    CPPUNIT_ASSERT(
        RunOnce(harness, 4, {.load_unreadable_ = true}).load_report_ == aged);
    const RelayCounters& counters = harness.state().counters_;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counters.load_reports_read_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counters.load_reports_ignored_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counters.inputs_unreadable_);
    // One without a pace replaces it and stays here.
    CPPUNIT_ASSERT(
        !RunOnce(harness, 5, {.load_ = Report(std::nullopt)}).load_report_);
    harness.ReceiveHeartbeat("i-2", 2);
    CPPUNIT_ASSERT(!RunOnce(harness, 6, {}).load_report_);
  }

  // Without requests, only health checks state the load.
  void HealthChecksBringReports() {
    struct Row {
      const char* name_;
      const char* instance_;
      bool read_;
    };
    const Row rows[] = {{"same instance", "i-1", true},
                        {"another one", "i-0", false}};
    for (const Row& row : rows) {
      RelayHarness harness;
      harness.LoadTable();
      harness.ReceiveHeartbeat();
      harness.Feed(BackendHealthChecked{.health_ = BackendHealth::kHealthy,
                                        .instance_ = row.instance_,
                                        .notice_ = {.load_ = Report(1.5)}});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          row.name_, row.read_,
          harness.state().backend_.load_report_.has_value());
    }
  }

  // All other deployments are served as before, down to the random numbers.
  void OnlyHostsThatStateAPaceAreBalanced() {
    struct Row {
      const char* name_;
      std::optional<LoadReport> report_;
      int draws_;  // two of them for the service and the rank of the tree
      bool balanced_;
    };
    const Row rows[] = {{"no report", std::nullopt, 3, false},
                        {"no pace", Report(std::nullopt), 3, false},
                        {"pace", Report(1.0), 5, true}};
    for (const Row& row : rows) {
      RelayHarness harness;
      AddPeers(harness, row.report_, row.report_);
      RandomState random = harness.state().random_;
      harness.SendRequest(1, "/read/1");
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.TakeRunOrders().size());
      int draws = 0;
      for (; random.state_ != harness.state().random_.state_; ++draws) {
        CPPUNIT_ASSERT_MESSAGE(row.name_, draws < 10);
        NextUnit(random);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.draws_, draws);
      const RelayCounters& counters = harness.state().counters_;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, std::uint64_t{row.balanced_},
                                   counters.choices_balanced_);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, std::uint64_t{!row.balanced_},
                                   counters.choices_earliest_finish_);
    }
  }

  // A pace changes many times a second. One that was stated long ago must not
  // steer requests, whether it waited at its host or here.
  void OldReportsAreNotUsed() {
    struct Row {
      const char* name_;
      Duration age_;   // at its host
      Duration wait_;  // since it was received
      bool expired_;
    };
    constexpr std::chrono::milliseconds kShort{100};
    constexpr std::chrono::milliseconds kLong{600};
    const Row rows[] = {{"fresh", kShort, kShort, false},
                        {"old at the host", kLong, Duration::zero(), true},
                        {"old at the entry", Duration::zero(), kLong, true}};
    for (const Row& row : rows) {
      RelayHarness harness;
      LoadReport report = Report(3.0);
      report.age_ = row.age_;
      AddPeers(harness, report, report);
      harness.SkipTime(row.wait_);
      harness.SendRequest(1, "/read/1");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          row.name_, std::uint64_t{row.expired_ ? 2U : 0U},
          harness.state().counters_.load_reports_expired_);
    }
  }

  // A reply that its host wrote before it received later orders does not count
  // them. Taken as covering them, it made the host look emptier than it was.
  void RepliesCoverOnlyWhatTheirHostHadReceived() {
    struct Row {
      const char* name_;
      std::optional<LoadReport> report_;
      std::size_t received_;  // orders that the host had received
      std::size_t uncovered_;
    };
    const Row rows[] = {{"only the first", Report(1.0), 1, 2},
                        {"two", Report(1.0), 2, 1},
                        {"all", Report(1.0), 3, 0},
                        {"states no pace", Report(std::nullopt), 1, 0}};
    for (const Row& row : rows) {
      RelayHarness harness;
      AddPeers(harness, row.report_, row.report_);
      harness.Feed(PeerDisconnected{kSecond});
      for (std::uint64_t id = 1; id <= 3; ++id) {
        harness.SendRequest(id, "/read/1");
      }
      const auto orders = harness.TakeRunOrders();
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, orders.size());
      RunReply reply{
          .send_id_ = orders.front().second.send_id_,
          .outcome_ = RunOutcome::kAnswered,
          .response_ = {.status_ = 200},
          .load_report_ = row.report_,
          .last_send_id_ = orders.at(row.received_ - 1).second.send_id_};
      harness.Feed(LinkReceived{.peer_ = kFirst, .message_ = reply});
      const Peer& peer = harness.state().peers_.at(kFirst);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.uncovered_,
                                   peer.uncovered_sends_.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, 0U, peer.sent_since_report_);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadReportTests);

}  // namespace
}  // namespace jujubefront
