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
  CPPUNIT_TEST(DocumentsAreInForceAfterConnectionsFellSilent);
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

  // A call to the store that is repeated on one silent connection after the
  // other keeps a host without documents for longer than hosts count as out of
  // touch after the silence.
  void DocumentsAreInForceAfterConnectionsFellSilent() {
    struct Row {
      const char* name_;
      Fleet fleet_;
      std::vector<int> silences_ms_;
    };
    const Row rows[] = {
        {"16 hosts", BrolgaFleet(false), {8310}},
        {"16 hosts, before a document", BrolgaFleet(false), {8950}},
        {"16 hosts, twice", BrolgaFleet(false), {8310, 9900}},
        {"66 hosts", BrolgaFleet(true), {8310}},
        {"97 hosts in 8 zones", LargeBrolgaFleet(), {8310}},
    };
    for (const Row& row : rows) {
      FleetRunOptions options{
          .length_ = seconds(18),
          .documents_ = DocumentSeries(milliseconds(8000), seconds(17),
                                       milliseconds(700)),
          .base_factor_ = 0.1};
      for (const int silence : row.silences_ms_) {
        options.reader_faults_.push_back(
            {.fault_ = ReaderFault::kSilentConnections,
             .from_ = milliseconds(silence),
             .to_ = milliseconds(silence + 1),
             .spared_ = 0});
      }
      const FleetResult result = RunFleet(row.fleet_, {}, options);
      CPPUNIT_ASSERT_MESSAGE(
          std::string(row.name_) + ": " +
              std::to_string(InSeconds(result.max_document_delay_)),
          result.max_document_delay_ <= kInForceWithin);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilencedReaderTests);

}  // namespace
}  // namespace jujubefront
