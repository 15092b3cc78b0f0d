#include <cppunit/extensions/HelperMacros.h>

#include "relaymodel/experiment.h"
#include "relaymodel/fleets.h"

namespace jujubefront {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Bound on the time until a change is in force, and the time after which it
// holds again when the store was disturbed.
constexpr Duration kInForceWithin = milliseconds(2500);
constexpr Duration kStableAfter = seconds(4);

class StoreRestoreTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreRestoreTests);
  CPPUNIT_TEST(ChangesAfterARestoreAreInForceInTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A store that comes back from a copy gives out offsets again. A node that
  // waits at an offset of before is told nothing if as many records have come
  // again as were lost: the next change would be missed by all nodes.
  void ChangesAfterARestoreAreInForceInTime() {
    struct Row {
      const char* name_;
      bool grown_;
      std::vector<FleetDocument> documents_;
      std::vector<FleetStoreRestore> restores_;
    };
    const std::vector<FleetDocument> documents = {
        {seconds(3), 2}, {seconds(5), 3}, {milliseconds(8200), 4}};
    const Row rows[] = {
        {"no restore", false, documents, {}},
        {"calls wait on, as many records as before",
         false,
         documents,
         {{.at_ = seconds(8), .lost_ = 2}}},
        {"calls wait on, fewer records",
         false,
         documents,
         {{.at_ = seconds(8), .lost_ = 2, .written_again_ = false}}},
        {"calls break",
         false,
         documents,
         {{.at_ = seconds(8), .lost_ = 2, .breaks_calls_ = true}}},
        {"calls break, fewer records",
         false,
         documents,
         {{.at_ = seconds(8),
           .lost_ = 2,
           .written_again_ = false,
           .breaks_calls_ = true}}},
        {"two restores",
         false,
         documents,
         {{.at_ = seconds(7), .lost_ = 2},
          {.at_ = seconds(8), .lost_ = 2, .breaks_calls_ = true}}},
        {"66 hosts", true, documents, {{.at_ = seconds(8), .lost_ = 2}}},
    };
    for (const Row& row : rows) {
      const FleetResult result = RunFleet(BrolgaFleet(row.grown_), {},
                                          {.length_ = seconds(16),
                                           .documents_ = row.documents_,
                                           .store_restores_ = row.restores_,
                                           .base_factor_ = 0.2});
      const Duration delay = result.document_delay_.value_or(seconds(99));
      const std::string text =
          std::string(row.name_) + ": " + std::to_string(InSeconds(delay));
      Duration bound = kInForceWithin;
      if (!row.restores_.empty()) {
        bound = std::max(bound, row.restores_.back().at_ + kStableAfter -
                                    row.documents_.back().at_);
      }
      CPPUNIT_ASSERT_MESSAGE(text, delay <= bound);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreRestoreTests);

}  // namespace
}  // namespace jujubefront
