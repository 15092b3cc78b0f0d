#include <cppunit/extensions/HelperMacros.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <csignal>
#include <fstream>

#include "cluster.h"
#include "fault_run.h"
#include "netio/application.h"

namespace jujubefront {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(60);

QCoreApplication& Application() {
  static int argc = 1;
  static char name[] = "process_tests";
  static char* argv[] = {name, nullptr};
  static const auto kApplication = MakeApplication(argc, argv);
  return *kApplication;
}

// A chain of three services on four hosts in two availability zones.
std::vector<HostSpec> FourHosts() {
  return {{.name_ = "jobs-1",
           .region_ = "r",
           .zone_ = "a",
           .service_ = "repair-jobs",
           .children_ = {"warranty-records"}},
          {.name_ = "warranty-1",
           .region_ = "r",
           .zone_ = "b",
           .service_ = "warranty-records",
           .children_ = {"dispatch"}},
          {.name_ = "dispatch-1",
           .region_ = "r",
           .zone_ = "a",
           .service_ = "dispatch"},
          {.name_ = "dispatch-2",
           .region_ = "r",
           .zone_ = "b",
           .service_ = "dispatch"}};
}

class ProcessTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessTests);
  CPPUNIT_TEST(ChainIsServedEndToEnd);
  CPPUNIT_TEST(InvalidInputGetsASpecificError);
  CPPUNIT_TEST(PlannedStopFinishesRequestsInFlight);
  CPPUNIT_TEST(PublishSurvivesLostAnswersAndOutages);
  CPPUNIT_TEST(FaultsLeaveNoViolation);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ChainIsServedEndToEnd() {
    Application();
    Cluster cluster;
    StartFour(cluster);
    HttpCaller caller;
    for (const char* method : {"GET", "POST"}) {
      const auto answer = caller.Call(
          {.address_ = cluster.HttpAddress("dispatch-2"),
           .method_ = method,
           .path_ = "/repair-jobs/callouts?mark=17",
           .headers_ = {{"Jujubefront-Customer", "strata-9"}},
           .body_ = std::string(method) == "POST" ? "{\"gate\":4}" : ""});
      CPPUNIT_ASSERT_EQUAL(200, answer.status_);
      for (const char* part :
           {"\"service\":\"repair-jobs\"", "\"service\":\"warranty-records\"",
            "\"service\":\"dispatch\"", "mark=17"}) {
        CPPUNIT_ASSERT_MESSAGE(answer.body_,
                               answer.body_.find(part) != std::string::npos);
      }
      CPPUNIT_ASSERT_EQUAL(std::string("finished"),
                           answer.headers_.at("jujubefront-verdict"));
    }
  }

  void InvalidInputGetsASpecificError() {
    Application();
    Cluster cluster;
    StartFour(cluster);
    HttpCaller caller;
    struct Row {
      const char* path_;
      HeaderList headers_;
      std::string body_;
      int status_;
      const char* part_;
    };
    const Row rows[] = {
        {"/", {}, "", 404, "missing-service"},
        {"/nowhere/x", {}, "", 404, "unknown-service"},
        {"/dispatch/x", {{"Jujubefront-Key", "7"}}, "", 400, "Jujubefront-Key"},
        {"/dispatch/x", {{"Jujubefront-Run", "f"}}, "", 503, "cancelled"},
        {"/dispatch/x", {}, std::string(2'000'000, 'x'), 413, "body"},
        {"/dispatch/x", {{"X", std::string(20'000, 'x')}}, "", 413, "headers"},
    };
    for (const Row& row : rows) {
      const auto answer =
          caller.Call({.address_ = cluster.HttpAddress("dispatch-1"),
                       .method_ = row.body_.empty() ? "GET" : "POST",
                       .path_ = row.path_,
                       .headers_ = row.headers_,
                       .body_ = row.body_});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body_, row.status_, answer.status_);
      CPPUNIT_ASSERT_MESSAGE(answer.body_,
                             answer.body_.find(row.part_) != std::string::npos);
    }
    // A malformed record in the stream is skipped, counted and shown.
    caller.Call({.address_ = cluster.LogAddress(),
                 .method_ = "POST",
                 .path_ = "/streams/jujubefront/records",
                 .body_ = "not a record"});
    const auto history =
        cluster.RunCtl({"history", "--log", cluster.LogAddress()});
    CPPUNIT_ASSERT_EQUAL(0, history.first);
    CPPUNIT_ASSERT(history.second.find("malformed records: 1") !=
                   std::string::npos);
    CPPUNIT_ASSERT(cluster.WaitForAll(
        [](const std::string& status) {
          return status.find("\"malformed_records\": 1") != std::string::npos;
        },
        kTimeout));
  }

  // Guards against a planned stop that aborts requests: slow calls are in
  // flight when their target gets SIGTERM.
  void PlannedStopFinishesRequestsInFlight() {
    Application();
    Cluster cluster(
        {.extra_settings_ = "[requests]\nresend_window = \"60s\"\n"});
    auto hosts = FourHosts();
    for (HostSpec& host : hosts) {
      if (host.service_ == "dispatch") {
        host.work_ = std::chrono::milliseconds(200);
      }
    }
    Start(cluster, hosts);
    HttpCaller caller(4);
    QEventLoop loop;
    int open = 0;
    int succeeded = 0;
    // As many as two targets accept concurrently after a cold start.
    constexpr int kCalls = 8;
    for (int i = 0; i < kCalls; ++i) {
      ++open;
      caller.Send({.address_ = cluster.HttpAddress("dispatch-2"),
                   .method_ = "POST",
                   .path_ = "/dispatch/callouts",
                   .body_ = "{}"},
                  [&](const CallerAnswer& answer) {
                    if (answer.status_ == 200) ++succeeded;
                    if (--open == 0) loop.quit();
                  });
    }
    while (cluster.Status("dispatch-1").find("\"in_flight\": 0") !=
           std::string::npos) {
    }
    cluster.SignalNode("dispatch-1", SIGTERM);
    loop.exec();
    CPPUNIT_ASSERT_EQUAL(kCalls, succeeded);
    CPPUNIT_ASSERT_EQUAL(0, cluster.WaitNodeExit("dispatch-1", kTimeout));
    const auto after =
        caller.Call({.address_ = cluster.HttpAddress("dispatch-2"),
                     .path_ = "/dispatch/jobs/1"});
    CPPUNIT_ASSERT_EQUAL(std::string("dispatch-2"),
                         after.headers_.at("jujubefront-served-by"));
  }

  void PublishSurvivesLostAnswersAndOutages() {
    Application();
    Cluster cluster;
    StartFour(cluster);
    HttpCaller caller;
    const auto set_log = [&](const std::string& fault) {
      caller.Call({.address_ = cluster.LogAddress(),
                   .method_ = "POST",
                   .path_ = "/standin/faults?" + fault,
                   .body_ = "{}"});
    };
    const std::string file = cluster.Folder() + "/field.toml";
    const auto publish = [&](const std::vector<std::string>& extra) {
      std::vector<std::string> arguments = {
          "publish",   file,    "--log",    cluster.LogAddress(),
          "--section", "field", "--author", "field"};
      arguments.insert(arguments.end(), extra.begin(), extra.end());
      return cluster.RunCtl(arguments);
    };
    WriteFieldSection(file, 41);
    set_log("lose_answers=1");
    CPPUNIT_ASSERT_EQUAL(0, publish({}).first);
    set_log("lose_answers=0");
    WriteFieldSection(file, 42);
    set_log("outage=1");
    CPPUNIT_ASSERT_EQUAL(3, publish({}).first);
    const auto served = caller.Call({.address_ = cluster.HttpAddress("jobs-1"),
                                     .path_ = "/dispatch/jobs/1"});
    CPPUNIT_ASSERT_EQUAL(200, served.status_);
    set_log("outage=0");
    // The base version of this edit has been replaced in the meantime.
    const auto conflict = publish({"--base", "0"});
    CPPUNIT_ASSERT_EQUAL(1, conflict.first);
    CPPUNIT_ASSERT(conflict.second.find("+ max_concurrency = 42") !=
                   std::string::npos);
    CPPUNIT_ASSERT_EQUAL(0, publish({}).first);
  }

  void FaultsLeaveNoViolation() {
    Application();
    auto hosts = SmallBrolga();
    for (HostSpec host : SmallBrolga()) {
      host.name_ += "-2";
      hosts.push_back(std::move(host));
    }
    const FaultRunResult result =
        RunWithFaults({.seed_ = 7,
                       .hosts_ = std::move(hosts),
                       .length_ = std::chrono::seconds(6)});
    CPPUNIT_ASSERT(result.started_);
    CPPUNIT_ASSERT(result.report_.resends_ > 0);
    CPPUNIT_ASSERT(!result.faults_.empty());
    std::string text;
    for (const Violation& violation : result.report_.violations_) {
      text += std::string(RuleName(violation.rule_)) + " " +
              violation.subject_ + "; ";
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), text);
  }

 private:
  static void Start(Cluster& cluster, const std::vector<HostSpec>& hosts) {
    CPPUNIT_ASSERT(cluster.StartLog());
    for (const HostSpec& host : hosts) CPPUNIT_ASSERT(cluster.StartHost(host));
    CPPUNIT_ASSERT(cluster.PublishSample("brolga"));
    CPPUNIT_ASSERT(cluster.WaitServing(kTimeout));
  }

  static void StartFour(Cluster& cluster) { Start(cluster, FourHosts()); }

  static void WriteFieldSection(const std::string& path, int concurrency) {
    std::ofstream(path)
        << "owner = \"field\"\n[services.dispatch]\nmax_concurrency = "
        << concurrency
        << "\noperations = [{ method = \"GET\", path = \"/\", class = "
           "\"status\" }]\n";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessTests);

}  // namespace
}  // namespace jujubefront
