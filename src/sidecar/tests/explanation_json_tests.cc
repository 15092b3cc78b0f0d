#include <cppunit/extensions/HelperMacros.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <limits>

#include "sidecar/explanation_json.h"

namespace jujubefront {
namespace {

class ExplanationJsonTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExplanationJsonTests);
  CPPUNIT_TEST(MissingValuesAreNull);
  CPPUNIT_TEST(SizeIsBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  static QJsonObject Render(const PlacementExplanation& explanation) {
    const std::string text = RenderExplanation(explanation);
    CPPUNIT_ASSERT(text.size() <= kMaxExplanationBytes);
    const auto document =
        QJsonDocument::fromJson(QByteArray::fromStdString(text));
    CPPUNIT_ASSERT(document.isObject());
    return document.object();
  }

  void MissingValuesAreNull() {
    PlacementExplanation explanation{.status_ = 503, .why_ = "why"};
    explanation.placement_ = {{.service_ = "s", .hosts_ = {{}}}};
    explanation.placement_[0].known_ = 1;
    const QJsonObject object = Render(explanation);
    CPPUNIT_ASSERT_EQUAL(503, object["status"].toInt());
    for (const char* key : {"route", "quota"}) {
      CPPUNIT_ASSERT_MESSAGE(key, object[key].isNull());
    }
    const QJsonObject host = object["placement"][0]["hosts"][0].toObject();
    for (const char* key : {"excluded", "load_age_us", "status_age_us"}) {
      CPPUNIT_ASSERT_MESSAGE(key, host[key].isNull());
    }
    CPPUNIT_ASSERT(host["load"].isUndefined());
  }

  // Guards against a large answer by names of any length, which peers and
  // documents may contain, also where JSON escapes each of their bytes.
  void SizeIsBounded() {
    const std::string name(100'000, '\x01');
    constexpr auto kMax = std::numeric_limits<std::uint32_t>::max();
    const HostExplanation host{
        .address_ = name,
        .zone_ = name,
        .region_ = name,
        .instance_ = name,
        .distance_ = "other region",
        .backend_ = "unreachable",
        .excluded_ = "too few free slots for another region",
        .slots_ = kMax,
        .running_ = kMax,
        .waiting_ = kMax,
        .in_flight_ = kMax,
        .sent_since_report_ = kMax,
        .load_age_ = Duration::max(),
        .status_age_ = Duration::max(),
        .candidate_ = PlacementCandidate{.load_ = 1.0 / 3.0,
                                         .hold_ = Duration::max(),
                                         .failure_share_ = 1.0 / 3.0,
                                         .start_wait_ = Duration::max()},
        .start_wait_ = Duration::max(),
        .finish_ = Duration::max()};
    const ServiceExplanation service{
        .service_ = name,
        .overflow_region_ = name,
        .known_ = 10'000,
        .hosts_ = std::vector<HostExplanation>(kMaxExplainedHosts, host)};
    const RouteRule route{.name_ = name, .path_prefix_ = name};
    PlacementExplanation explanation{
        .route_ = &route, .quota_ = QuotaExplanation{}, .services_ = 100};
    explanation.quota_->workspace_ = name;
    explanation.admission_.overflow_ = RouteOverflow{.region_ = name};
    explanation.placement_.assign(kMaxExplainedServices, service);
    explanation.overflow_placement_ = explanation.placement_;
    const QJsonObject object = Render(explanation);
    CPPUNIT_ASSERT_EQUAL(static_cast<qsizetype>(kMaxExplainedServices),
                         object["placement"].toArray().size());
    CPPUNIT_ASSERT_EQUAL(96, object["services_left_out"].toInt());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExplanationJsonTests);

}  // namespace
}  // namespace jujubefront
