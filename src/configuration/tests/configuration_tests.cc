#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "configuration/configuration.h"
#include "configuration/log_record.h"
#include "configuration/section.h"

namespace jujubefront {
namespace {

const char kClasses[] =
    "owner = \"development\"\n"
    "[classes.callout]\ntier = 0\nidempotent = false\ndeadline = \"2s\"\n"
    "[classes.status]\ntier = 2\nidempotent = true\ndeadline = \"1s\"\n";

std::string FieldSection(int concurrency) {
  return "owner = \"field\"\n[services.dispatch]\nmax_concurrency = " +
         std::to_string(concurrency) +
         "\noperations = [\n"
         "{method = \"POST\", path = \"/callouts\", class = \"callout\"},\n"
         "{method = \"GET\", path = \"/\", class = \"status\"}]\n";
}

PublishRecord Publish(std::string id, std::string section, std::string author,
                      LogOffset base, std::string text) {
  return {.record_id_ = std::move(id),
          .section_ = std::move(section),
          .author_ = std::move(author),
          .base_version_ = base,
          .text_ = std::move(text)};
}

ConfigurationState DocumentWithClasses() {
  ConfigurationState state;
  BeginReading(state, 0);
  ApplyPublish(state, 0,
               Publish("a", "development", "development", kNoOffset, kClasses));
  return state;
}

class ConfigurationTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationTests);
  CPPUNIT_TEST(ReportsEveryFaultWithItsLine);
  CPPUNIT_TEST(LogOrderDecidesRaces);
  CPPUNIT_TEST(RefusesOtherOwnersAndClashes);
  CPPUNIT_TEST(SnapshotGivesABaselineOnlyWithoutAGap);
  CPPUNIT_TEST(OlderPeersNeverRevert);
  CPPUNIT_TEST(LongestPrefixNamesTheClass);
  CPPUNIT_TEST(RecordsRoundTripAndDecoderSurvivesAnyText);
  CPPUNIT_TEST(ReadersThatStartAnywhereAgree);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReportsEveryFaultWithItsLine() {
    struct Row {
      const char* text_;
      IssueKind kind_;
      int line_;
    };
    const Row rows[] = {
        {"owner = 3", IssueKind::kWrongType, 1},
        {"owner = \"a\"\ncolour = 1", IssueKind::kUnknownKey, 2},
        {"[classes.x]", IssueKind::kMissingKey, 1},
        {"owner = \"a\"\n[classes.x]\ntier = 999\nidempotent = true\n"
         "deadline = \"1s\"",
         IssueKind::kOutOfRange, 3},
        {"owner = \"a\"\n[classes.x]\ntier = 1\nidempotent = true\n"
         "deadline = 5",
         IssueKind::kWrongType, 5},
        {"owner = ", IssueKind::kSyntax, 1},
    };
    for (const Row& row : rows) {
      const ParsedSection parsed = ParseSection(row.text_);
      CPPUNIT_ASSERT_MESSAGE(row.text_, !parsed.issues_.empty());
      bool found = false;
      for (const Issue& issue : parsed.issues_) {
        found = found || (issue.kind_ == row.kind_ && issue.line_ == row.line_);
      }
      CPPUNIT_ASSERT_MESSAGE(row.text_, found);
    }
    const ParsedSection two = ParseSection("colour = 1\nsize = 2");
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, two.issues_.size());
  }

  // Guards against readers that disagree: two publishes with the same base
  // version race, and the first in the log wins.
  void LogOrderDecidesRaces() {
    ConfigurationState state = DocumentWithClasses();
    const auto first =
        Publish("b", "field", "field", kNoOffset, FieldSection(10));
    const auto second =
        Publish("c", "field", "field", kNoOffset, FieldSection(20));
    CPPUNIT_ASSERT(ApplyPublish(state, 1, first) == PublishVerdict::kAccepted);
    CPPUNIT_ASSERT(ApplyPublish(state, 2, second) == PublishVerdict::kStale);
    CPPUNIT_ASSERT(ApplyPublish(state, 3, first) == PublishVerdict::kRepeated);
    CPPUNIT_ASSERT_EQUAL(
        10U, state.catalogue_.services_.at("dispatch").max_concurrency_);
    CPPUNIT_ASSERT_EQUAL(LogOffset{1}, state.sections_.at("field").version_);
  }

  void RefusesOtherOwnersAndClashes() {
    ConfigurationState state = DocumentWithClasses();
    ApplyPublish(state, 1,
                 Publish("b", "field", "field", kNoOffset, FieldSection(10)));
    const PublishRecord rows[] = {
        Publish("c", "field", "desk", 1, FieldSection(20)),
        Publish("d", "desk", "field", kNoOffset, FieldSection(20)),
        Publish("e", "desk", "desk", kNoOffset,
                "owner = \"desk\"\n[services.jobs]\noperations = [{method = "
                "\"GET\", path = \"/\", class = \"nothing\"}]"),
    };
    LogOffset offset = 2;
    for (const PublishRecord& row : rows) {
      CPPUNIT_ASSERT_MESSAGE(
          row.record_id_,
          ApplyPublish(state, offset++, row) == PublishVerdict::kInvalid);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state.sections_.size());
  }

  // Guards against a reader that starts from a snapshot although publishes
  // between the snapshot and its first record are no longer in the log.
  void SnapshotGivesABaselineOnlyWithoutAGap() {
    ConfigurationState full = DocumentWithClasses();
    const SnapshotRecord snapshot = MakeSnapshot(full);
    struct Row {
      LogOffset oldest_;
      bool baseline_;
    };
    const Row rows[] = {{1, true}, {2, false}};
    for (const Row& row : rows) {
      ConfigurationState reader;
      BeginReading(reader, row.oldest_);
      const auto publish =
          Publish("b", "field", "field", kNoOffset, FieldSection(7));
      CPPUNIT_ASSERT(ApplyPublish(reader, 4, publish) ==
                     PublishVerdict::kUndecided);
      CPPUNIT_ASSERT_EQUAL(row.baseline_, ApplySnapshot(reader, 5, snapshot));
      CPPUNIT_ASSERT_EQUAL(row.baseline_, reader.sections_.contains("field"));
    }
  }

  // Guards against reverting a section: a peer that lags behind sends its older
  // document.
  void OlderPeersNeverRevert() {
    ConfigurationState newer = DocumentWithClasses();
    const SnapshotRecord old = MakeSnapshot(newer);
    ApplyPublish(newer, 1,
                 Publish("b", "field", "field", kNoOffset, FieldSection(10)));
    CPPUNIT_ASSERT(!AdoptPeerDocument(newer, old));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, newer.sections_.size());
    ConfigurationState fresh;
    CPPUNIT_ASSERT(!AdoptPeerDocument(fresh, SnapshotRecord{}));
    CPPUNIT_ASSERT(AdoptPeerDocument(fresh, MakeSnapshot(newer)));
    CPPUNIT_ASSERT_EQUAL(LogOffset{1}, fresh.sections_.at("field").version_);
  }

  void LongestPrefixNamesTheClass() {
    ConfigurationState state = DocumentWithClasses();
    ApplyPublish(state, 1,
                 Publish("b", "field", "field", kNoOffset, FieldSection(10)));
    const ServiceEntry& service = state.catalogue_.services_.at("dispatch");
    CPPUNIT_ASSERT_EQUAL(
        std::string("callout"),
        FindOperation(service, "POST", "/callouts/7")->class_name_);
    CPPUNIT_ASSERT(FindOperation(service, "PUT", "/callouts") == nullptr);
  }

  void RecordsRoundTripAndDecoderSurvivesAnyText() {
    const LogRecord rows[] = {
        Publish("b", "field", "field", 3, FieldSection(10)),
        MakeSnapshot(DocumentWithClasses()),
        AnnouncementRecord{.name_ = "n", .incarnation_ = ~0ULL},
        ForgetRecord{.name_ = "n", .incarnation_ = 7}};
    for (const LogRecord& row : rows) {
      const auto decoded = DecodeLogRecord(EncodeLogRecord(row));
      CPPUNIT_ASSERT(decoded.has_value());
      CPPUNIT_ASSERT_EQUAL(EncodeLogRecord(row), EncodeLogRecord(*decoded));
    }
    CPPUNIT_ASSERT(rc::check("decoder survives altered records", [&] {
      std::string text = EncodeLogRecord(rows[*rc::gen::inRange(0, 4)]);
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      text[at] = *rc::gen::arbitrary<char>();
      if (*rc::gen::arbitrary<bool>()) text.resize(at);
      DecodeLogRecord(text);
    }));
    CPPUNIT_ASSERT(
        rc::check("section parser survives any text",
                  [](const std::string& text) { ParseSection(text); }));
  }

  // Guards against readers that disagree on the version in force because they
  // began to read at different offsets of the log.
  void ReadersThatStartAnywhereAgree() {
    CPPUNIT_ASSERT(rc::check("all readers reach one document", [] {
      ConfigurationState from_start;
      BeginReading(from_start, 0);
      std::vector<LogRecord> log = {
          Publish("a", "development", "development", kNoOffset, kClasses)};
      ApplyPublish(from_start, 0, std::get<PublishRecord>(log[0]));
      const auto steps =
          *rc::gen::container<std::vector<int>>(20, rc::gen::inRange(0, 6));
      for (const int step : steps) {
        const auto offset = static_cast<LogOffset>(log.size());
        if (step == 0) {
          log.emplace_back(MakeSnapshot(from_start));
          ApplySnapshot(from_start, offset,
                        std::get<SnapshotRecord>(log.back()));
        } else {
          const LogOffset base =
              step < 4 && from_start.sections_.contains("field")
                  ? from_start.sections_["field"].version_
                  : kNoOffset;
          log.emplace_back(Publish(std::to_string(offset), "field", "field",
                                   base, FieldSection(step)));
          ApplyPublish(from_start, offset, std::get<PublishRecord>(log.back()));
        }
      }
      const auto start = *rc::gen::inRange<std::size_t>(0, log.size());
      ConfigurationState late;
      BeginReading(late, static_cast<LogOffset>(start));
      for (std::size_t i = start; i < log.size(); ++i) {
        const auto offset = static_cast<LogOffset>(i);
        if (const auto* publish = std::get_if<PublishRecord>(&log[i])) {
          ApplyPublish(late, offset, *publish);
        } else {
          ApplySnapshot(late, offset, std::get<SnapshotRecord>(log[i]));
        }
      }
      if (!late.has_baseline_) return;
      const auto find = [](const ConfigurationState& state) {
        const auto found = state.sections_.find("field");
        return found == state.sections_.end() ? kNoOffset
                                              : found->second.version_;
      };
      RC_ASSERT(find(late) == find(from_start));
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTests);

}  // namespace
}  // namespace jujubefront
