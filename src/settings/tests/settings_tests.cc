#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "settings/settings.h"

namespace jujubefront {
namespace {

const std::string kMinimal =
    "[node]\nname = \"n\"\nzone = \"z\"\nregion = \"r\"\nservice = \"s\"\n"
    "[listen]\nhttp = \"127.0.0.1:0\"\nrpc = \"127.0.0.1:0\"\n"
    "control = \"127.0.0.1:0\"\n"
    "[backend]\naddress = \"127.0.0.1:9\"\n"
    "[shared_log]\naddress = \"127.0.0.1:8\"\n";

class SettingsTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTests);
  CPPUNIT_TEST(MinimalSettingsAreEnough);
  CPPUNIT_TEST(EveryIssueHasLineAndKey);
  CPPUNIT_TEST(ReportsAllIssues);
  CPPUNIT_TEST(DescriptionParsesAgain);
  CPPUNIT_TEST(AnyTextYieldsIssues);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MinimalSettingsAreEnough() {
    CPPUNIT_ASSERT(ParseSettings(kMinimal).issues_.empty());
  }

  // Guards against errors that an operator cannot find in the file: each added
  // line yields one issue with its line and key.
  void EveryIssueHasLineAndKey() {
    struct Row {
      const char* added_;
      IssueKind kind_;
      int line_;
      const char* key_;
    };
    const Row rows[] = {
        {"[admission]\npolicy = \"x\"", IssueKind::kOutOfRange, 15,
         "admission.policy"},
        {"[admission]\nwindow = 5", IssueKind::kWrongType, 15,
         "admission.window"},
        {"[admission]\nwindow = \"5\"", IssueKind::kWrongType, 15,
         "admission.window"},
        {"[admission]\nmin_limit = 2000", IssueKind::kOutOfRange, 15,
         "admission.min_limit"},
        {"[admision]\nx = 1", IssueKind::kUnknownKey, 14, "admision"},
        {"[retries]\ncredit = 1", IssueKind::kUnknownKey, 15, "retries.credit"},
        {"[requests]\nresend_window = \"1h\"", IssueKind::kOutOfRange, 15,
         "requests.resend_window"},
        {"routing = 3", IssueKind::kUnknownKey, 14, "shared_log.routing"},
    };
    for (const Row& row : rows) {
      const auto issues = ParseSettings(kMinimal + row.added_).issues_;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.added_, std::size_t{1}, issues.size());
      CPPUNIT_ASSERT_MESSAGE(row.added_, issues[0].kind_ == row.kind_);
      CPPUNIT_ASSERT_EQUAL(row.line_, issues[0].line_);
      CPPUNIT_ASSERT_EQUAL(std::string(row.key_), issues[0].key_);
    }
  }

  // Guards against parsing that stops at the first error: an empty text lacks
  // every required setting, and each is reported.
  void ReportsAllIssues() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, ParseSettings("").issues_.size());
  }

  // Guards against printed settings that are no settings file or that change a
  // value.
  void DescriptionParsesAgain() {
    NodeSettings settings = ParseSettings(kMinimal).settings_;
    settings.node_.admission_.policy_ = AdmissionPolicy::kFixed;
    const std::string text = DescribeSettings(settings);
    const ParsedSettings again = ParseSettings(text);
    CPPUNIT_ASSERT(again.issues_.empty());
    CPPUNIT_ASSERT_EQUAL(text, DescribeSettings(again.settings_));
  }

  // Guards against a crash by malformed input. No random text holds all
  // required settings, so each yields issues.
  void AnyTextYieldsIssues() {
    CPPUNIT_ASSERT(rc::check("any text gives settings or issues",
                             [](const std::string& text) {
                               RC_ASSERT(!ParseSettings(text).issues_.empty());
                             }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTests);

}  // namespace
}  // namespace jujubefront
