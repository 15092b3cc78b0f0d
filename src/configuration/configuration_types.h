#ifndef JUJUBEFRONT_CONFIGURATION_CONFIGURATION_TYPES_H_
#define JUJUBEFRONT_CONFIGURATION_CONFIGURATION_TYPES_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "base/time_types.h"
#include "toml/toml_errors.h"

namespace jujubefront {

// Position of a record in the shared log.
using LogOffset = std::int64_t;

inline constexpr LogOffset kNoOffset = -1;

// A class of calls: its importance, and whether its calls may be repeated.
struct CallClass {
  std::string name_;
  std::uint8_t tier_ = 0;  // 0: the most important, refused last
  bool idempotent_ = false;
  Duration deadline_ = std::chrono::seconds(2);
};

// An operation of a service: a method and path prefix, and the class of its
// calls.
struct Operation {
  std::string method_;
  std::string path_prefix_;
  std::string class_name_;
};

// A service that backend servers offer.
struct ServiceEntry {
  std::string name_;
  std::vector<Operation> operations_;
  std::uint32_t max_concurrency_ = 1024;  // per target
};

// One team's section, parsed.
struct Section {
  std::string owner_;
  std::map<std::string, CallClass> classes_;
  std::map<std::string, ServiceEntry> services_;
};

// A section in force. Its version is the log offset of its publish record.
struct SectionInForce {
  std::string name_;
  LogOffset version_ = kNoOffset;
  std::string record_id_;
  std::string text_;
};

// A log record that replaces one section.
struct PublishRecord {
  std::string record_id_;
  std::string section_;
  std::string author_;                  // team that publishes
  LogOffset base_version_ = kNoOffset;  // version to be replaced
  std::string text_;
};

// The whole document as of an offset, written before older records expire.
struct SnapshotRecord {
  LogOffset as_of_ = kNoOffset;
  std::vector<SectionInForce> sections_;
};

// Address of a node, for nodes that do not know any peer yet.
struct AnnouncementRecord {
  std::string name_;
  std::uint64_t incarnation_ = 0;
  std::string zone_;
  std::string region_;
  std::string service_;
  std::string rpc_address_;
};

// An operator's statement that a node's process has certainly ended.
struct ForgetRecord {
  std::string name_;
  std::uint64_t incarnation_ = 0;
};

using LogRecord = std::variant<PublishRecord, SnapshotRecord,
                               AnnouncementRecord, ForgetRecord>;

// Verdict on a publish record. All readers reach the same verdict.
enum class PublishVerdict : std::uint8_t {
  kAccepted,
  kRepeated,   // same record id as the version in force
  kStale,      // another publish replaced the base version first
  kInvalid,    // the section has faults
  kUndecided,  // no snapshot has been read yet
};

// Verdict on one publish record, kept for display to operators.
struct PublishResult {
  LogOffset offset_ = kNoOffset;
  std::string record_id_;
  std::string section_;
  std::string author_;
  PublishVerdict verdict_ = PublishVerdict::kUndecided;
  std::vector<Issue> issues_;
};

// Classes and services of the document in force, indexed by name.
struct Catalogue {
  std::map<std::string, CallClass> classes_;
  std::map<std::string, ServiceEntry> services_;
};

// State of a reader of the configuration log.
struct ConfigurationState {
  bool has_baseline_ = false;         // sections_ is complete as of applied_
  LogOffset first_read_ = kNoOffset;  // first offset that this reader read
  LogOffset applied_ = kNoOffset;     // last offset evaluated or merged
  LogOffset last_snapshot_ = kNoOffset;
  std::map<std::string, SectionInForce> sections_;
  Catalogue catalogue_;
  std::map<LogOffset, PublishRecord> pending_;  // until a baseline is known
  std::deque<PublishResult> history_;           // newest last, bounded
  std::uint64_t malformed_records_ = 0;
  LogOffset last_malformed_ = kNoOffset;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_CONFIGURATION_CONFIGURATION_TYPES_H_
