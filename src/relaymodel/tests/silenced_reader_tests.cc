#include <cppunit/extensions/HelperMacros.h>

#include "relaymodel/experiment.h"
#include "relaymodel/fleets.h"

namespace jujubefront {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time within which a change must be in force at every host in touch.
constexpr Duration kInForceWithin = milliseconds(2500);

// A document in each of these seconds.
std::vector<FleetDocument> DocumentSeries(Duration from, Duration to,
                                          Duration every) {
  std::vector<FleetDocument> documents;
  std::uint64_t version = 1;
  for (Duration at = from; at < to; at += every) {
    documents.push_back({.at_ = at, .version_ = ++version});
  }
  return documents;
}

class SilencedReaderTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SilencedReaderTests);
  CPPUNIT_TEST(DocumentsAreInForceThoughAllReadersAreSilenced);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Hosts that do not read the store rely on those that do. If these no longer
  // get answers, or cannot pass them on, the others must read in time.
  void DocumentsAreInForceThoughAllReadersAreSilenced() {
    struct Row {
      const char* name_;
      Fleet fleet_;
      FleetReaderFault fault_;
    };
    const auto fault = [](ReaderFault kind, std::size_t spared,
                          int from_ms = 8200) {
      return FleetReaderFault{.fault_ = kind,
                              .from_ = milliseconds(from_ms),
                              .to_ = milliseconds(from_ms + 9000),
                              .spared_ = spared};
    };
    const Row rows[] = {
        {"all readers silenced", BrolgaFleet(false),
         fault(ReaderFault::kSilentStore, 1000)},
        {"all readers silenced early in a poll", BrolgaFleet(false),
         fault(ReaderFault::kSilentStore, 1000, 8010)},
        {"one host left", BrolgaFleet(false),
         fault(ReaderFault::kSilentStore, 1)},
        {"three hosts left", BrolgaFleet(false),
         fault(ReaderFault::kSilentStore, 3)},
        {"readers frozen", BrolgaFleet(false),
         fault(ReaderFault::kFrozen, 1000)},
        {"one host runs", BrolgaFleet(false), fault(ReaderFault::kFrozen, 1)},
        {"readers cut off", BrolgaFleet(false),
         fault(ReaderFault::kCutOff, 1000)},
        {"all hosts cut off from each other", BrolgaFleet(false),
         fault(ReaderFault::kCutOff, 0)},
        {"66 hosts, readers silenced", BrolgaFleet(true),
         fault(ReaderFault::kSilentStore, 1000)},
        {"66 hosts, one left", BrolgaFleet(true),
         fault(ReaderFault::kSilentStore, 1)},
        {"97 hosts in 8 zones, readers silenced", LargeBrolgaFleet(),
         fault(ReaderFault::kSilentStore, 1000)},
    };
    for (const Row& row : rows) {
      for (const Duration every : {milliseconds(1000), milliseconds(2700)}) {
        const FleetResult result =
            RunFleet(row.fleet_, {},
                     {.length_ = seconds(22),
                      .documents_ = DocumentSeries(milliseconds(8000),
                                                   seconds(20), every),
                      .reader_faults_ = {row.fault_},
                      .base_factor_ = 0.1});
        const std::string text =
            std::string(row.name_) + ": " +
            std::to_string(InSeconds(result.max_document_delay_));
        CPPUNIT_ASSERT_MESSAGE(text,
                               result.max_document_delay_ <= kInForceWithin);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilencedReaderTests);

}  // namespace
}  // namespace jujubefront
