#include <cppunit/extensions/HelperMacros.h>

#include "routes/routes.h"

namespace jujubefront {
namespace {

RouteTable SampleTable() {
  RouteTable table;
  const auto add = [&](const char* name, const char* host, const char* prefix) {
    table.routes_.push_back({.name_ = name,
                             .host_ = host,
                             .path_prefix_ = prefix,
                             .services_ = {{"svc", 1.0}}});
  };
  add("short", "a.example", "/x/");
  add("long", "a.example", "/x/y/");
  add("other", "b.example", "/x/");
  IndexRoutes(table);
  return table;
}

class RoutesTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoutesTests);
  CPPUNIT_TEST(FindsTheLongestPrefixOfTheHost);
  CPPUNIT_TEST(SplitsByWeight);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FindsTheLongestPrefixOfTheHost() {
    struct Row {
      const char* host_;
      const char* target_;
      const char* expected_;  // nullptr: no route
    };
    const Row rows[] = {
        {"a.example", "/x/1", "short"},
        {"a.example", "/x/y/1", "long"},
        {"a.example", "/x/y/", "long"},
        {"a.example", "/x/y", "short"},
        {"a.example", "/x/?q=/x/y/", "short"},
        {"A.Example:8080", "/x/1", "short"},
        {"b.example", "/x/y/1", "other"},
        {"a.example", "/x", nullptr},
        {"a.example", "/z/", nullptr},
        {"c.example", "/x/1", nullptr},
        {"", "/x/1", nullptr},
    };
    const RouteTable table = SampleTable();
    for (const Row& row : rows) {
      const RouteRule* found = FindRoute(table, row.host_, row.target_);
      const std::string name = found == nullptr ? "" : found->name_;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          row.target_, std::string(row.expected_ ? row.expected_ : ""), name);
    }
  }

  void SplitsByWeight() {
    struct Row {
      double draw_;
      const char* expected_;
    };
    const RouteRule route{.services_ = {{"a", 90}, {"b", 10}}};
    const Row rows[] = {{0.0, "a"}, {0.89, "a"}, {0.91, "b"}, {0.999, "b"}};
    for (const Row& row : rows) {
      CPPUNIT_ASSERT_EQUAL(std::string(row.expected_),
                           PickService(route, row.draw_));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutesTests);

}  // namespace
}  // namespace jujubefront
