#include <cppunit/extensions/HelperMacros.h>

#include "relaylog/explain.h"
#include "relaylog/report.h"
#include "relaylog/verify.h"

namespace jujubefront {
namespace {

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

RelayLog LogOf(const std::string& text) {
  RelayLog log;
  AddLogText(text, "file", log);
  return log;
}

class RelaylogTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelaylogTests);
  CPPUNIT_TEST(ReadsLinesWithAndWithoutPrefix);
  CPPUNIT_TEST(ExplainsCauses);
  CPPUNIT_TEST(OrdersTheStepsOfAllHosts);
  CPPUNIT_TEST(CountsDroppedLines);
  CPPUNIT_TEST(FindsViolations);
  CPPUNIT_TEST(ChecksRetryBudgetInCompleteLogsOnly);
  CPPUNIT_TEST(FollowsContentsOverTheirAttempts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsLinesWithAndWithoutPrefix() {
    struct Row {
      const char* line_;
      bool readable_;
      const char* host_;
      Duration common_time_;
    };
    const Row rows[] = {
        {R"({"event":"start","at_us":5,"time_ms":2000})", true, "file",
         std::chrono::seconds(2)},
        {R"(  1.5 host-1 {"event":"start","at_us":5,"time_ms":2000})", true,
         "host-1", std::chrono::milliseconds(1500)},
        {R"( -0.5 host-1 {"event":"start"})", true, "host-1",
         std::chrono::milliseconds(-500)},
        {"no object", false, "", {}},
        {R"({"event":5})", false, "", {}},
        {R"({"event":"start")", false, "", {}},
    };
    for (const Row& row : rows) {
      const RelayLog log = LogOf(row.line_);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.line_, row.readable_,
                                   log.unreadable_ == 0);
      if (!row.readable_) continue;
      CPPUNIT_ASSERT_EQUAL(std::string(row.host_), log.records_[0].host_);
      CPPUNIT_ASSERT(log.records_[0].common_time_ ==
                     Timestamp(row.common_time_));
    }
  }

  // Guards against a fleet that goes on running a content after three backend
  // servers ended while they ran it. Runs that start too early to be known of
  // elsewhere, and contents that succeed, must not be reported.
  void FollowsContentsOverTheirAttempts() {
    const std::string content(32, 'a');
    std::string log;
    for (int i = 0; i < 3; ++i) {
      log += std::to_string(i) + " h" + std::to_string(i) +
             R"( {"event":"backend_ended","instance":"i","started_at_ms":)" +
             std::to_string(i) + R"(,"how":"connection refused","runs":2,)" +
             R"("contents":"bb )" + content + "\"}\n";
    }
    struct Row {
      const char* name_;
      int starts_;
      double first_at_;  // seconds
      bool succeeds_;
      bool violation_;
    };
    const Row rows[] = {{"few", 3, 7.0, false, false},
                        {"many", 4, 7.0, false, true},
                        {"too early to be known", 4, 5.0, false, false},
                        {"it succeeds elsewhere", 4, 7.0, true, false}};
    for (const Row& row : rows) {
      std::string all = log;
      for (int i = 0; i < row.starts_; ++i) {
        all += std::to_string(row.first_at_) + " h4 " +
               R"({"event":"run_started","request":"r)" + std::to_string(i) +
               R"(","content":")" + content + "\"}\n";
      }
      if (row.succeeds_) {
        all += R"(8 h4 {"event":"run_ended","request":"r0","status":200,)"
               R"("content":")" +
               content + "\"}\n";
      }
      const auto violations = VerifyLog(LogOf(all)).violations_;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.violation_,
                                   !violations.empty());
      if (row.violation_) {
        CPPUNIT_ASSERT(violations[0].rule_ == LogRule::kCrashingContent);
        CPPUNIT_ASSERT_EQUAL(content, violations[0].subject_);
      }
      CPPUNIT_ASSERT(IsContent(content));
      const std::string text =
          FormatExplanation(ExplainContent(LogOf(all), content));
      CPPUNIT_ASSERT(Contains(text, "3 incarnations ended"));
    }
  }

  // Guards against explanations that miss the cause: one row for each kind of
  // failed request that operators ask about, among them a refusal under load, a
  // broken run and a failed call further down the chain.
  void ExplainsCauses() {
    struct Row {
      const char* name_;
      const char* log_;
      std::vector<const char*> causes_;
      std::size_t state_changes_;
    };
    const Row rows[] = {
        {"turned away under load",
         "1 a {\"event\":\"admission_changed\",\"at_us\":10,\"route\":\"r\","
         "\"admitted\":0.6}\n"
         "1 a {\"event\":\"admission_changed\",\"at_us\":11,\"route\":\"s\","
         "\"admitted\":0.6}\n"
         "2 a {\"event\":\"refused\",\"at_us\":20,\"request\":\"x\","
         "\"status\":503,\"route\":\"r\",\"admitted\":0.6,"
         "\"why\":\"not admitted under load\"}\n",
         {"refused at a with status 503", "admits 60% of route r"},
         1},
        {"lost at a backend server",
         "1 b {\"event\":\"run_broken\",\"at_us\":10,\"request\":\"x\","
         "\"instance\":\"i-1\",\"why\":\"connection was lost\","
         "\"ran_us\":7000}\n"
         "1 b {\"event\":\"backend_changed\",\"at_us\":9,\"to\":\"gone\"}\n"
         "1.1 a {\"event\":\"failed\",\"at_us\":500,\"request\":\"x\","
         "\"status\":502,\"why\":\"answer was lost or spoilt\","
         "\"no_resend\":\"may have run and must not run twice\"}\n",
         {"status 502", "must not run twice",
          "run at b, instance i-1: connection was lost after 7 ms"},
         1},
        {"late through a chain",
         "1 b {\"event\":\"run_refused\",\"at_us\":10,\"request\":\"x.1.2\","
         "\"why\":\"no slot in time\",\"running\":12,\"slots\":12,"
         "\"waiting\":3}\n"
         "1.1 c {\"event\":\"refused\",\"at_us\":3,\"request\":\"x.1.2\","
         "\"status\":503,\"why\":\"no slot in time\"}\n"
         "1.2 b {\"event\":\"failed\",\"at_us\":30,\"request\":\"x.1\","
         "\"status\":500,\"why\":\"a call of the run failed\"}\n"
         "1.3 a {\"event\":\"failed\",\"at_us\":9,\"request\":\"x\","
         "\"status\":500,\"why\":\"a call of the run failed\"}\n",
         {"x: failed at a", "x.1.2: refused at c",
          "b did not run it: no slot in time, 12 of 12 slots in use"},
         0},
        {"nobody to run it",
         "1 a {\"event\":\"peer_changed\",\"at_us\":10,"
         "\"change\":\"disconnected\"}\n"
         "2 a {\"event\":\"refused\",\"at_us\":20,\"request\":\"x\","
         "\"status\":503,\"why\":\"no backend server\"}\n",
         {"no backend server"},
         1},
        {"end not logged",
         "1 a {\"event\":\"sent\",\"at_us\":10,\"request\":\"x\"}\n",
         {"the end of x is not logged"},
         0},
    };
    for (const Row& row : rows) {
      const Explanation found = ExplainRequest(LogOf(row.log_), "x");
      CPPUNIT_ASSERT_MESSAGE(row.name_, found.found_);
      const std::string text = FormatExplanation(found);
      for (const char* cause : row.causes_) {
        CPPUNIT_ASSERT_MESSAGE(text, Contains(text, cause));
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.state_changes_,
                                   found.state_changes_.size());
    }
    CPPUNIT_ASSERT(!ExplainRequest(LogOf(rows[0].log_), "other").found_);
  }

  // Guards against steps of several hosts out of order when their common times
  // are equal, and against steps of another request whose id has the same
  // prefix.
  void OrdersTheStepsOfAllHosts() {
    const Explanation found = ExplainRequest(
        LogOf("3 a {\"event\":\"answered\",\"request\":\"x\"}\n"
              "2 b {\"event\":\"run_ended\",\"request\":\"x\"}\n"
              "1 b {\"event\":\"run_started\",\"request\":\"x\"}\n"
              "1 a {\"event\":\"sent\",\"request\":\"x\"}\n"
              "1 a {\"event\":\"sent\",\"request\":\"xy\"}\n"),
        "x");
    const char* const order[] = {"sent", "run_started", "run_ended",
                                 "answered"};
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, found.steps_.size());
    for (std::size_t i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string(order[i]), found.steps_[i].event_);
    }
  }

  void CountsDroppedLines() {
    const RelayReport report = MakeReport(
        LogOf("0 a {\"event\":\"start\",\"trace_sample\":64}\n"
              "1 a {\"event\":\"answered\",\"route\":\"r\"}\n"
              "2 a {\"event\":\"refused\",\"why\":\"<full>\","
              "\"dropped_before\":9}\n"
              "2 a {\"event\":\"run_started\",\"running\":3,\"slots\":4}\n"
              "2 a {\"event\":\"run_started\",\"running\":4,\"slots\":4}\n"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, report.seconds_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, report.charts_.size());
    const auto value = [&](std::size_t chart, std::int64_t second) {
      return report.charts_[chart].series_.at(0).values_.at(second);
    };
    CPPUNIT_ASSERT_DOUBLES_EQUAL(64.0, value(0, 1), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0, value(1, 2), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.875, value(2, 2), 1e-9);
    const std::string svg = DrawReport(report);
    CPPUNIT_ASSERT(Contains(svg, "&lt;full&gt;") && !Contains(svg, "<full>"));
    CPPUNIT_ASSERT(Contains(svg, "</svg>"));
  }

  // One log per rule that violates just that rule, and one that violates none.
  void FindsViolations() {
    struct Row {
      const char* name_;
      std::vector<LogRule> broken_;
      const char* log_;
    };
    const Row rows[] = {
        {"kept",
         {},
         "1 b {\"event\":\"table_changed\",\"to\":4}\n"
         "1 a {\"event\":\"sent\",\"request\":\"x\",\"most_runs\":2}\n"
         "1 b {\"event\":\"run_started\",\"request\":\"x\","
         "\"instance\":\"i\",\"running\":2,\"slots\":2}\n"
         "1 b {\"event\":\"run_refused\",\"request\":\"x\","
         "\"why\":\"rejected by the backend server\"}\n"
         "1 c {\"event\":\"run_started\",\"request\":\"x\"}\n"
         "1 c {\"event\":\"run_ended\",\"request\":\"x\","
         "\"bytes\":7}\n"
         "1 a {\"event\":\"answered\",\"request\":\"x\",\"bytes\":7}\n"
         "2 b {\"event\":\"backend_changed\",\"to\":\"draining\","
         "\"instance\":\"i\"}\n"
         "3 b {\"event\":\"run_started\",\"request\":\"y\","
         "\"instance\":\"j\"}\n"
         "4 b {\"event\":\"start\"}\n"
         "5 b {\"event\":\"table_changed\",\"to\":3}\n"},
        {"twice",
         {LogRule::kAtMostOnce},
         "1 b {\"event\":\"run_started\",\"request\":\"x\","
         "\"idempotent\":0}\n"
         "1 c {\"event\":\"run_started\",\"request\":\"x\","
         "\"idempotent\":0}\n"},
        {"refused and run",
         {LogRule::kRefusedWithoutRun},
         "1 b {\"event\":\"run_started\",\"request\":\"x\"}\n"
         "1 a {\"event\":\"refused\",\"request\":\"x\"}\n"},
        {"attempts",
         {LogRule::kMaxAttempts},
         "1 a {\"event\":\"sent\",\"request\":\"x\",\"most_runs\":1}\n"
         "1 b {\"event\":\"run_started\",\"request\":\"x\","
         "\"idempotent\":1}\n"
         "1 c {\"event\":\"run_started\",\"request\":\"x\","
         "\"idempotent\":1}\n"},
        {"drained",
         {LogRule::kNoRunAfterDrain},
         "1 b {\"event\":\"backend_changed\",\"to\":\"gone\","
         "\"instance\":\"i\"}\n"
         "1 b {\"event\":\"run_started\",\"request\":\"x\","
         "\"instance\":\"i\"}\n"},
        {"two ends",
         {LogRule::kSingleOutcome},
         "1 a {\"event\":\"failed\",\"request\":\"x\"}\n"
         "1 a {\"event\":\"cancelled\",\"request\":\"x\"}\n"},
        {"cut short",
         {LogRule::kAnswerLength},
         "1 b {\"event\":\"run_started\",\"request\":\"x\"}\n"
         "1 b {\"event\":\"run_ended\",\"request\":\"x\","
         "\"bytes\":7}\n"
         "1 a {\"event\":\"answered\",\"request\":\"x\","
         "\"bytes\":6}\n"},
        {"older document",
         {LogRule::kVersionNeverDecreases},
         "1 b {\"event\":\"table_changed\",\"to\":4}\n"
         "2 b {\"event\":\"table_changed\",\"to\":3}\n"},
        {"slots",
         {LogRule::kSlotLimit},
         "1 b {\"event\":\"run_started\",\"request\":\"x\","
         "\"running\":3,\"slots\":2}\n"},
    };
    for (const Row& row : rows) {
      const LogVerification verification = VerifyLog(LogOf(row.log_));
      std::vector<LogRule> broken;
      for (const LogViolation& violation : verification.violations_) {
        broken.push_back(violation.rule_);
      }
      CPPUNIT_ASSERT_MESSAGE(row.name_, row.broken_ == broken);
    }
  }

  // Guards against false reports of retry budget violations from logs that lack
  // lines (sampled or dropped). 20 requests, one a second; the last ones run
  // twice.
  void ChecksRetryBudgetInCompleteLogsOnly() {
    struct Row {
      const char* name_;
      int repeats_;
      int trace_sample_;
      const char* extra_;
      bool broken_;
    };
    const Row rows[] = {
        {"within", 4, 1, "", false},
        {"beyond", 5, 1, "", true},
        {"sampled", 5, 64, "", false},
        {"dropped", 5, 1,
         "9 b {\"event\":\"refused\",\"request\":\"z\","
         "\"dropped_before\":3}\n",
         false},
    };
    for (const Row& row : rows) {
      std::string text =
          "0 b {\"event\":\"start\",\"service\":\"s\","
          "\"trace_sample\":" +
          std::to_string(row.trace_sample_) + "}\n";
      for (int i = 1; i <= 20; ++i) {
        const bool repeated = i > 20 - row.repeats_;
        const char* const start =
            "%1 b {\"event\":\"run_started\",\"idempotent\":1,"
            "\"request\":\"%1\"}\n";
        const char* const end =
            "%1 b {\"event\":\"answered\",\"service\":\"s\","
            "\"request\":\"%1\"}\n";
        QString lines = QString::fromLatin1(start);
        if (repeated) lines += QString::fromLatin1(start);
        lines += QString::fromLatin1(end);
        text += lines.arg(i).toStdString();
      }
      const LogVerification verification = VerifyLog(
          LogOf(text + row.extra_), {.retry_ratio_ = 0.2, .retry_slack_ = 2.0});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.broken_,
                                   !verification.violations_.empty());
      if (row.broken_) {
        CPPUNIT_ASSERT(verification.violations_[0].rule_ ==
                       LogRule::kRetryBudget);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelaylogTests);

}  // namespace
}  // namespace jujubefront
