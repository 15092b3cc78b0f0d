#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "base/duration_text.h"
#include "base/request_key.h"

namespace jujubefront {
namespace {

class BaseTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BaseTests);
  CPPUNIT_TEST(ParsesDurations);
  CPPUNIT_TEST(KeyTextRoundTrips);
  CPPUNIT_TEST(RejectsMalformedKeys);
  CPPUNIT_TEST(ChildKeysDifferAndKeepTheTime);
  CPPUNIT_TEST(KeyParserAcceptsAnyBytes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ParsesDurations() {
    struct Row {
      const char* text_;
      std::optional<Duration> expected_;
    };
    const Row rows[] = {
        {"250ms", Duration(250'000)},
        {"2s", Duration(2'000'000)},
        {"3min", Duration(180'000'000)},
        {"7us", Duration(7)},
        {"1h", Duration(3'600'000'000)},
        {"2.5s", Duration(2'500'000)},
        {"0.5ms", Duration(500)},
        {"1e3ms", std::nullopt},
        {"250", std::nullopt},
        {"ms", std::nullopt},
        {"-1s", std::nullopt},
        {"1 s", std::nullopt},
        {"9999999999999h", std::nullopt},
        {"99999999999999999999s", std::nullopt},
    };
    for (const Row& row : rows) {
      CPPUNIT_ASSERT_MESSAGE(row.text_,
                             ParseDuration(row.text_) == row.expected_);
      if (row.expected_)
        CPPUNIT_ASSERT(ParseDuration(FormatDuration(*row.expected_)) ==
                       row.expected_);
    }
  }

  void KeyTextRoundTrips() {
    CPPUNIT_ASSERT(
        rc::check("key text round trip", [](std::uint64_t a, std::uint64_t b) {
          const Timestamp now(std::chrono::milliseconds(1'790'000'000'000));
          const RequestKey key = MakeRequestKey(now, a, b);
          RC_ASSERT(ParseRequestKey(FormatRequestKey(key)) == key);
          RC_ASSERT(KeyTime(key) == now);
        }));
  }

  void RejectsMalformedKeys() {
    const char* rows[] = {"",
                          "0190",
                          "01900000-0000-4000-8000-000000000000",
                          "01900000-0000-7000-0000-000000000000",
                          "01900000+0000-7000-8000-000000000000",
                          "0190000g-0000-7000-8000-000000000000",
                          "01900000-0000-7000-8000-0000000000000"};
    for (const char* row : rows)
      CPPUNIT_ASSERT_MESSAGE(row, !ParseRequestKey(row));
  }

  // Guards against two calls of one run sharing a key, and against a repeated
  // run whose calls get new keys.
  void ChildKeysDifferAndKeepTheTime() {
    const RequestKey parent =
        MakeRequestKey(Timestamp(std::chrono::seconds(1'790'000'000)), 1, 2);
    const RequestKey first = DeriveChildKey(parent, "dispatch", 0);
    CPPUNIT_ASSERT(first == DeriveChildKey(parent, "dispatch", 0));
    CPPUNIT_ASSERT(first != DeriveChildKey(parent, "dispatch", 1));
    CPPUNIT_ASSERT(first != DeriveChildKey(parent, "billing", 0));
    CPPUNIT_ASSERT(KeyTime(first) == KeyTime(parent));
    CPPUNIT_ASSERT(ParseRequestKey(FormatRequestKey(first)) == first);
  }

  void KeyParserAcceptsAnyBytes() {
    CPPUNIT_ASSERT(
        rc::check("key parser survives any text", [](const std::string& text) {
          const auto key = ParseRequestKey(text);
          if (key) RC_ASSERT(FormatRequestKey(*key).size() == text.size());
        }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BaseTests);

}  // namespace
}  // namespace jujubefront
