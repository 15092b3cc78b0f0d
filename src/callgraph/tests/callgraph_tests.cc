#include <cppunit/extensions/HelperMacros.h>

#include "base/hashing.h"
#include "callgraph/callgraph.h"

namespace jujubefront {
namespace {

class CallgraphTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallgraphTests);
  CPPUNIT_TEST(FitsCallsThatNameNoRun);
  CPPUNIT_TEST(KeepsFewRoutes);
  CPPUNIT_TEST(CountsCallsThatNameTheirRun);
  CPPUNIT_TEST(FindsRoutesThatOnlyBackendServersCall);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against attributing calls to the wrong route: two routes of one
  // service call the same route, one twice and the other once per run.
  void FitsCallsThatNameNoRun() {
    RandomState random{7};
    CallFit fit;
    for (int i = 0; i < 60; ++i) {
      const auto deposits = static_cast<double>(2 + NextBelow(random, 12));
      const auto ledgers = static_cast<double>(3 + NextBelow(random, 20));
      AddWindow(fit, {.runs_ = {{"deposit", deposits}, {"ledger", ledgers}},
                      .calls_ = {{"roster", 2 * deposits + ledgers}}});
    }
    const auto calls = FittedMeanCalls(fit);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, calls.at("deposit").at("roster"), 0.1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, calls.at("ledger").at("roster"), 0.1);
  }

  // Guards against an expensive fit: its cost grows with the square of the
  // number of routes, and a routing document may contain hundreds of routes
  // that are used once.
  void KeepsFewRoutes() {
    CallFit fit;
    for (int i = 0; i < 400; ++i) {
      AddWindow(fit,
                {.runs_ = {{"busy", 20.0}, {"idle-" + std::to_string(i), 1.0}},
                 .calls_ = {{"leaf", 40.0}}});
    }
    CPPUNIT_ASSERT(fit.squares_.size() <= 8);
    CPPUNIT_ASSERT(fit.squares_.contains("busy"));
  }

  // Where callers name the run, mean calls are counted without a fit. Runs that
  // failed midway are not counted; the caller leaves them out.
  void CountsCallsThatNameTheirRun() {
    struct Row {
      const char* name_;
      int calls_;
      int unnamed_;
      bool callers_name_run_;
    };
    const Row rows[] = {{"all named", 100, 0, true},
                        {"a few unnamed", 100, 4, true},
                        {"half unnamed", 100, 50, false},
                        {"too few to tell", 3, 0, false}};
    for (const Row& row : rows) {
      CallCounts counts;
      for (int i = 0; i < row.calls_; ++i) CountCall(counts, i < row.unnamed_);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.callers_name_run_,
                                   CallersNameTheirRun(counts));
    }
    CallCounts counts;
    for (int i = 0; i < 30; ++i) {
      CountRun(counts, "deposit", {{"roster", 2}});
      CountRun(counts, "ledger", {{"roster", 1}});
      CountRun(counts, "callout", {});
    }
    for (int window = 0; window < 20; ++window) Decay(counts);
    const auto calls = CountedMeanCalls(counts);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, calls.at("deposit").at("roster"), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, calls.at("ledger").at("roster"), 1e-9);
    CPPUNIT_ASSERT(!calls.contains("callout"));
    for (int window = 0; window < 300; ++window) Decay(counts);
    CPPUNIT_ASSERT(counts.routes_.empty());
  }

  void FindsRoutesThatOnlyBackendServersCall() {
    struct Row {
      const char* name_;
      std::vector<RouteArrivals> arrivals_;
      bool called_;
    };
    const Row rows[] = {
        {"one service only", {{"r", "a", 9.0}, {"root", "b", 5.0}}, true},
        {"all services alike", {{"r", "a", 5.0}, {"r", "b", 5.0}}, false},
        {"too few to tell", {{"r", "a", 0.2}, {"root", "b", 5.0}}, false},
        {"a single service exists", {{"r", "a", 9.0}}, false},
    };
    for (const Row& row : rows) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          row.name_, row.called_,
          FindCalledRoutes(row.arrivals_).contains("r"));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallgraphTests);

}  // namespace
}  // namespace jujubefront
