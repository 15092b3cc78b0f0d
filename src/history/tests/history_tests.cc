#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "history/history.h"

namespace jujubefront {
namespace {

// A journal that violates one rule, and a nearly identical one that satisfies
// it.
struct RuleRow {
  Rule rule_;
  std::vector<const char*> bad_;
  std::vector<const char*> good_;
};

const std::vector<RuleRow>& RuleRows() {
  static const std::vector<RuleRow> kRows = {
      {Rule::kRunsAtMostOnce,
       {R"({"at_us":1,"event":"run","key":"k","idempotent":0})",
        R"({"at_us":2,"event":"backend","key":"k"})",
        R"({"at_us":3,"event":"backend","key":"k"})"},
       {R"({"at_us":1,"event":"run","key":"k","idempotent":1})",
        R"({"at_us":2,"event":"backend","key":"k"})",
        R"({"at_us":3,"event":"backend","key":"k"})"}},
      {Rule::kNotRunIsTrue,
       {R"({"at_us":1,"event":"send","key":"k","attempt":0})",
        R"({"at_us":2,"event":"reply","key":"k","attempt":0,"verdict":"not-run"})",
        R"({"at_us":3,"event":"backend","key":"k"})"},
       {R"({"at_us":1,"event":"send","key":"k","attempt":0})",
        R"({"at_us":2,"event":"send","key":"k","attempt":1})",
        R"({"at_us":2,"event":"reply","key":"k","attempt":0,"verdict":"not-run"})",
        R"({"at_us":3,"event":"backend","key":"k"})"}},
      {Rule::kFinishedRan,
       {R"({"at_us":2,"event":"reply","key":"k","attempt":0,"verdict":"finished"})"},
       {R"({"at_us":1,"event":"backend","key":"k"})",
        R"({"at_us":2,"event":"reply","key":"k","attempt":0,"verdict":"finished"})"}},
      {Rule::kOwnWholeAnswer,
       {R"({"at_us":1,"event":"backend","key":"k"})",
        R"({"at_us":2,"event":"reply","key":"k","verdict":"finished","own":0})"},
       {R"({"at_us":1,"event":"backend","key":"k"})",
        R"({"at_us":2,"event":"reply","key":"k","verdict":"finished","own":1})"}},
      {Rule::kNoWorkAfterLeaving,
       {R"({"at_us":0,"event":"state","node":"n","change":"leaving"})",
        R"({"at_us":3000001,"event":"run","node":"n","key":"k"})"},
       {R"({"at_us":0,"event":"state","node":"n","change":"leaving"})",
        R"({"at_us":2999999,"event":"run","node":"n","key":"k"})"}},
      {Rule::kStopCutsNothing,
       {R"({"at_us":0,"event":"state","node":"n","change":"stopped","number":1})"},
       {R"({"at_us":0,"event":"state","node":"n","change":"stopped","number":0})"}},
      {Rule::kDocumentNeverReverts,
       {R"({"at_us":0,"event":"state","node":"n","change":"document","number":7})",
        R"({"at_us":1,"event":"state","node":"n","change":"document","number":6})"},
       {R"({"at_us":0,"event":"state","node":"n","change":"document","number":6})",
        R"({"at_us":1,"event":"state","node":"n","change":"document","number":7})"}},
      {Rule::kDocumentInForce,
       {R"({"at_us":0,"event":"watch","node":"n"})",
        R"({"at_us":0,"event":"publish","offset":3})",
        R"({"at_us":10000001,"event":"state","node":"n","change":"document","number":3})"},
       {R"({"at_us":0,"event":"watch","node":"n"})",
        R"({"at_us":0,"event":"publish","offset":3})",
        R"({"at_us":9999999,"event":"state","node":"n","change":"document","number":3})"}},
  };
  return kRows;
}

HistoryReport Evaluate(const std::vector<const char*>& lines) {
  std::vector<HistoryEvent> events;
  for (const char* line : lines) {
    const auto event = ParseHistoryLine(line, "test");
    CPPUNIT_ASSERT_MESSAGE(line, event.has_value());
    events.push_back(*event);
  }
  return EvaluateHistory(std::move(events), {});
}

class HistoryTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HistoryTests);
  CPPUNIT_TEST(EveryRuleCanFailAndHold);
  CPPUNIT_TEST(CutOffLinesAreCounted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EveryRuleCanFailAndHold() {
    for (const RuleRow& row : RuleRows()) {
      const std::string name(RuleName(row.rule_));
      const HistoryReport bad = Evaluate(row.bad_);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{1},
                                   bad.violations_.size());
      CPPUNIT_ASSERT_MESSAGE(name, bad.violations_[0].rule_ == row.rule_);
      CPPUNIT_ASSERT_MESSAGE(name, Evaluate(row.good_).violations_.empty());
    }
  }

  void CutOffLinesAreCounted() {
    for (const char* line : {"", "{", R"({"at_us":1})", R"({"event":"x"})",
                             R"({"at_us":"1","event":"x"})", "[]"}) {
      CPPUNIT_ASSERT_MESSAGE(line, !ParseHistoryLine(line, "test"));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistoryTests);

}  // namespace
}  // namespace jujubefront
