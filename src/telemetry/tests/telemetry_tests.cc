#include <cppunit/extensions/HelperMacros.h>

#include "telemetry/call_metrics.h"

namespace jujubefront {
namespace {

AnswerCaller MakeAnswer(const std::string& class_name,
                        const std::string& customer, Duration elapsed) {
  AnswerCaller answer;
  answer.answer_.verdict_ = Verdict::kFinished;
  answer.class_name_ = class_name;
  answer.customer_ = customer;
  answer.elapsed_ = elapsed;
  return answer;
}

class TelemetryTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TelemetryTests);
  CPPUNIT_TEST(HistogramsAreCumulativePerClassAndCustomer);
  CPPUNIT_TEST(CustomersAreBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against buckets that count only their own range, which Prometheus
  // would misread, and against label values that are not escaped.
  void HistogramsAreCumulativePerClassAndCustomer() {
    CallMetrics metrics;
    metrics.Observe(MakeAnswer("status", "a\"b", std::chrono::milliseconds(3)));
    metrics.Observe(
        MakeAnswer("status", "a\"b", std::chrono::milliseconds(30)));
    const std::string text = metrics.Render({});
    for (const char* line :
         {"_bucket{class=\"status\",customer=\"a\\\"b\",le=\"0.005\"} 1\n",
          "_bucket{class=\"status\",customer=\"a\\\"b\",le=\"0.05\"} 2\n",
          "_count{class=\"status\",customer=\"a\\\"b\"} 2\n",
          "verdict=\"finished\"} 2\n"}) {
      CPPUNIT_ASSERT_MESSAGE(line, text.find(line) != std::string::npos);
    }
  }

  // Guards against metrics that grow with the number of customers: beyond the
  // limit they share one series.
  void CustomersAreBounded() {
    CallMetrics metrics;
    for (int i = 0; i < 1000; ++i) {
      metrics.Observe(MakeAnswer("status", std::to_string(i), Duration(1)));
    }
    const std::string text = metrics.Render({});
    std::size_t series = 0;
    std::size_t at = 0;
    while ((at = text.find("call_seconds_count{", at)) != std::string::npos) {
      ++series;
      ++at;
    }
    CPPUNIT_ASSERT_EQUAL(kMaxCustomers + 1, series);
    CPPUNIT_ASSERT(text.find("customer=\"other\"") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TelemetryTests);

}  // namespace
}  // namespace jujubefront
