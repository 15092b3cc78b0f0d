#include <cppunit/extensions/HelperMacros.h>

#include "operations/tables.h"
#include "operations/text_diff.h"

namespace jujubefront {
namespace {

class OperationsTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperationsTests);
  CPPUNIT_TEST(DiffShowsWhatChanged);
  CPPUNIT_TEST(TablesAlign);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperationsTests);

}  // namespace
}  // namespace jujubefront
