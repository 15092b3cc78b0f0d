#include <cppunit/extensions/HelperMacros.h>

#include <QCoreApplication>
#include <functional>

#include "base/tests/run_tests.h"
#include "fault_plan.h"
#include "loopback_proxy.h"
#include "netio/application.h"
#include "sidecar_hosts.h"
#include "soak_checks.h"

namespace jujubefront {
namespace {

using std::chrono::milliseconds;

Timestamp At(int ms) { return Timestamp(milliseconds(ms)); }

// Observations of a run that violates no rule.
SoakObservations ValidObservations() {
  SoakObservations seen;
  seen.requests_ = {{.id_ = "read",
                     .idempotent_ = true,
                     .sent_at_ = At(0),
                     .deadline_ = At(1000),
                     .ended_at_ = At(20),
                     .status_ = 200},
                    {.id_ = "book",
                     .sent_at_ = At(0),
                     .deadline_ = At(1000),
                     .ended_at_ = At(30),
                     .status_ = 502},
                    {.id_ = "refused",
                     .sent_at_ = At(0),
                     .deadline_ = At(1000),
                     .ended_at_ = At(5),
                     .status_ = 503,
                     .retry_after_ = true}};
  seen.runs_ = {{"read", "i-1", At(10)}, {"book", "i-1", At(10)}};
  seen.drains_ = {{"i-1", At(100)}};
  seen.leavings_ = {{0, "i-1", At(50)}};
  seen.rate_limit_uses_ = {{"i-1", 0.8}};
  seen.ends_ = {{.asked_to_stop_ = true, .took_ = milliseconds(1600)},
                {.killed_ = true, .exit_code_ = 9, .crashed_ = true}};
  seen.versions_ = {{0, 1, At(0), 4}, {0, 1, At(200), 5}, {0, 2, At(400), 4}};
  return seen;
}

class SoakTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SoakTests);
  CPPUNIT_TEST(ReportsEachViolation);
  CPPUNIT_TEST(OutagesExcuseOnlyTheirHost);
  CPPUNIT_TEST(PlansAreDrawnFromTheSeed);
  CPPUNIT_TEST(ProxyDisturbsConnections);
  CPPUNIT_TEST(ReplacedBackendServerAnswers);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a check that misses a violation: each row violates one rule,
  // and no other rule may report it.
  void ReportsEachViolation() {
    struct Row {
      SoakRule rule_;
      std::function<void(SoakObservations&)> violate_;
    };
    const Row rows[] = {
        {SoakRule::kAtMostOnce,
         [](auto& seen) {
           seen.runs_.push_back({"book", "i-2", At(40)});
         }},
        {SoakRule::kMaxAttempts,
         [](auto& seen) {
           for (int i = 0; i < 3; ++i) {
             seen.runs_.push_back({"read", "i-2", At(40)});
           }
         }},
        {SoakRule::kNotRunIsTrue,
         [](auto& seen) {
           seen.runs_.push_back({"refused", "i-2", At(900)});
         }},
        {SoakRule::kRetryAfterPresent,
         [](auto& seen) { seen.requests_[2].retry_after_ = false; }},
        {SoakRule::kAnswerMatchesRequest,
         [](auto& seen) { seen.requests_[0].answer_matches_ = false; }},
        {SoakRule::kAnsweredInTime,
         [](auto& seen) { seen.requests_[1].ended_at_ = At(1400); }},
        {SoakRule::kAnsweredInTime,
         [](auto& seen) { seen.requests_[1].ended_at_.reset(); }},
        {SoakRule::kAnsweredInTime,
         [](auto& seen) { seen.requests_[1].status_ = 0; }},
        {SoakRule::kNoRunAfterDrain,
         [](auto& seen) { seen.drains_[0].acknowledged_at_ = At(-500); }},
        {SoakRule::kNoRunAfterLeaving,
         [](auto& seen) { seen.leavings_[0].at_ = At(-500); }},
        {SoakRule::kRateLimit,
         [](auto& seen) { seen.rate_limit_uses_["i-1"] = 1.1; }},
        {SoakRule::kCrashingContent,
         [](auto& seen) {
           for (const int at : {0, 100, 200, 4300, 5000, 6000, 7000}) {
             seen.crashes_.push_back({"crash", At(at)});
           }
         }},
        {SoakRule::kPlannedStop,
         [](auto& seen) { seen.ends_[0].took_ = milliseconds(3100); }},
        {SoakRule::kPlannedStop,
         [](auto& seen) { seen.ends_[0].exit_code_ = 3; }},
        {SoakRule::kNoCrash,
         [](auto& seen) { seen.ends_[0].asked_to_stop_ = false; }},
        {SoakRule::kNoCrash, [](auto& seen) { seen.ends_[0].crashed_ = true; }},
        {SoakRule::kVersionMonotonic,
         [](auto& seen) { seen.versions_[1].version_ = 3; }},
    };
    CPPUNIT_ASSERT(CheckSoak(ValidObservations(), {}).empty());
    for (const Row& row : rows) {
      SoakObservations seen = ValidObservations();
      row.violate_(seen);
      const auto found = CheckSoak(seen, {});
      CPPUNIT_ASSERT_MESSAGE(SoakRuleName(row.rule_), !found.empty());
      for (const SoakViolation& violation : found) {
        CPPUNIT_ASSERT_MESSAGE(SoakRuleName(row.rule_),
                               violation.rule_ == row.rule_);
      }
    }
  }

  void OutagesExcuseOnlyTheirHost() {
    struct Row {
      HostOutage outage_;
      bool excused_;
    };
    const Row rows[] = {{{0, At(500), At(600)}, true},
                        {{1, At(500), At(600)}, false},
                        {{0, At(-200), At(-100)}, false},
                        {{0, At(1400), At(1500)}, false}};
    for (const Row& row : rows) {
      SoakObservations seen = ValidObservations();
      seen.requests_[0].ended_at_.reset();
      seen.outages_ = {row.outage_};
      CPPUNIT_ASSERT_EQUAL(row.excused_, CheckSoak(seen, {}).empty());
    }
  }

  void PlansAreDrawnFromTheSeed() {
    const FaultPlanOptions options{.seed_ = 7, .hosts_ = 5};
    const auto first = DrawFaults(options);
    const auto again = DrawFaults(options);
    CPPUNIT_ASSERT(first.size() > 10 && first.size() == again.size());
    std::size_t overlapping = 0;
    for (std::size_t i = 0; i < first.size(); ++i) {
      CPPUNIT_ASSERT(first[i].at_ == again[i].at_);
      CPPUNIT_ASSERT(first[i].kind_ == again[i].kind_);
      CPPUNIT_ASSERT(first[i].host_ < options.hosts_);
      CPPUNIT_ASSERT(first[i].at_ < options.length_);
      if (i > 0 && first[i].at_ < first[i - 1].at_ + first[i - 1].length_) {
        ++overlapping;
      }
    }
    CPPUNIT_ASSERT(overlapping > first.size() / 2);
    CPPUNIT_ASSERT(DrawFaults({.seed_ = 8, .hosts_ = 5})[0].at_ !=
                   first[0].at_);
  }

  // Guards against a proxy that does not delay, drop or reset what it should,
  // so that a soak run would test less than it reports.
  void ProxyDisturbsConnections() {
    SidecarHosts hosts(
        {.hosts_ = 1});  // only for its unused loopback addresses
    BackendStandin& backend = *hosts.hosts()[0].backend_;
    CPPUNIT_ASSERT(backend.Listen());
    LoopbackProxy proxy(hosts.hosts()[0].app());
    const std::string address = hosts.hosts()[0].ip_ + ":8401";
    CPPUNIT_ASSERT(proxy.Listen(address));
    const Http1Request request{
        .method_ = "GET", .target_ = "/", .headers_ = {{"X-Request-Id", "x"}}};
    const auto status = [&] {
      return Fetch(address, request, milliseconds(300)).status_;
    };
    CPPUNIT_ASSERT_EQUAL(200, status());
    proxy.SetDelay(milliseconds(40));
    CPPUNIT_ASSERT_EQUAL(200, status());
    proxy.SetDelay(milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(0, status());
    proxy.SetDelay(Duration::zero());
    const auto runs_before = backend.runs().at("x");
    proxy.SilenceNew({.to_caller_ = true});
    CPPUNIT_ASSERT_EQUAL(0, status());
    CPPUNIT_ASSERT(backend.runs().at("x") > runs_before);
    const auto runs_one_way = backend.runs().at("x");
    proxy.SilenceNew({.to_server_ = true});
    CPPUNIT_ASSERT_EQUAL(0, status());
    CPPUNIT_ASSERT_EQUAL(runs_one_way, backend.runs().at("x"));
    proxy.SilenceNew({});
    proxy.Reset();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, proxy.connections());
    CPPUNIT_ASSERT_EQUAL(200, status());
  }

  // Guards against a replacement that does not answer because requests still
  // arrive at, or run on, the backend server that it replaces.
  void ReplacedBackendServerAnswers() {
    SidecarHosts hosts({.hosts_ = 1});
    BackendStandin& backend = *hosts.hosts()[0].backend_;
    CPPUNIT_ASSERT(backend.Listen());
    backend.SetWork(milliseconds(3));
    LoopbackProxy proxy(hosts.hosts()[0].app());
    const std::string address = hosts.hosts()[0].ip_ + ":8401";
    CPPUNIT_ASSERT(proxy.Listen(address));
    const Http1Request request{
        .method_ = "GET", .target_ = "/", .headers_ = {{"X-Request-Id", "x"}}};
    Http1Client load({}, {.on_response_ = [](auto, const auto&) {},
                          .on_failure_ = [](auto, auto) {}});
    load.SetAddress(address);
    std::uint64_t id = 0;
    for (int i = 0; i < 200; ++i) {
      for (int j = 0; j < 8; ++j) load.Send(++id, request);
      if (i % 3 == 0) WaitUntil(milliseconds(i % 7), [] { return false; });
      CPPUNIT_ASSERT(backend.ReplaceWith("i-" + std::to_string(i)));
      CPPUNIT_ASSERT_EQUAL(200,
                           Fetch(address, request, milliseconds(500)).status_);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoakTests);

}  // namespace
}  // namespace jujubefront

int main(int argc, char** argv) {
  const auto application = jujubefront::MakeApplication(argc, argv);
  return jujubefront::RunTests(argc > 1 ? argv[1] : "");
}
