#include <cppunit/extensions/HelperMacros.h>

#include "operations/placement_text.h"
#include "operations/tables.h"
#include "operations/text_diff.h"

namespace jujubefront {
namespace {

class OperationsTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperationsTests);
  CPPUNIT_TEST(DiffShowsWhatChanged);
  CPPUNIT_TEST(TablesAlign);
  CPPUNIT_TEST(PlacementTargetsAreEncoded);
  CPPUNIT_TEST(PlacementsWithMissingValuesAreShown);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a diff that omits or misattributes a line, also for empty
  // texts.
  void DiffShowsWhatChanged() {
    struct Row {
      const char* first_;
      const char* second_;
      const char* diff_;
    };
    const Row rows[] = {{"a\nb\nc\n", "a\nx\nc\n", "  a\n- b\n+ x\n  c\n"},
                        {"", "a\n", "+ a\n"},
                        {"a\n", "", "- a\n"},
                        {"a\nb\n", "b\n", "- a\n  b\n"},
                        {"", "", ""}};
    for (const Row& row : rows) {
      CPPUNIT_ASSERT_EQUAL(std::string(row.diff_),
                           DiffLines(row.first_, row.second_));
    }
  }

  void TablesAlign() {
    CPPUNIT_ASSERT_EQUAL(std::string("A    B\nccc  d\n"),
                         FormatTable({{"A", "B"}, {"ccc", "d"}}));
  }

  // Guards against a path or name that adds parameters of its own.
  void PlacementTargetsAreEncoded() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("/explain?host=h%3A80&path=%2Fa%3Fb%3D1%26workspace%3Dx"
                    "&workspace=w%20%0D%0A"),
        PlacementTarget({.host_ = "h:80",
                         .path_ = "/a?b=1&workspace=x",
                         .workspace_ = "w \r\n"}));
    CPPUNIT_ASSERT_EQUAL(std::string("/explain?host=h&path=%2F"),
                         PlacementTarget({.host_ = "h", .path_ = "/"}));
  }

  // Guards against a missing value that hides the others. Metrics, with which
  // earlier versions answer, are no explanation.
  void PlacementsWithMissingValuesAreShown() {
    struct Row {
      const char* json_;
      const char* contains_;  // nullptr: it is no explanation
    };
    const Row rows[] = {
        {R"({"status":404,"why":"no route","placement":[]})",
         "no route, status 404"},
        {R"({"why":"sent","placement":[{"service":"s","hosts":[{"address":)"
         R"("10.0.0.1:7000","load_age_us":null,"excluded":"no connection"}]}]})",
         "10.0.0.1:7000"},
        {R"({"why":"sent","quota":{"workspace":"gates"},"placement":[]})",
         "gates"},
        {R"({"placement":7,"node":[],"queue":null})", "now        -"},
        {"", nullptr},
        {"[]", nullptr},
        {"jujubefront_relay_requests_total 3\n", nullptr}};
    for (const Row& row : rows) {
      const auto text = FormatPlacement(row.json_);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.json_, row.contains_ != nullptr,
                                   text.has_value());
      if (!text) continue;
      CPPUNIT_ASSERT_MESSAGE(*text,
                             text->find(row.contains_) != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperationsTests);

}  // namespace
}  // namespace jujubefront
