#include "configuration/configuration.h"

#include <algorithm>
#include <utility>

#include "configuration/section.h"

namespace jujubefront {
namespace {

constexpr std::size_t kMaxHistory = 64;

// Returns the team that owns a section in force, or an empty string when the
// section does not exist.
std::string OwnerOf(const ConfigurationState& state, const std::string& name) {
  const auto found = state.sections_.find(name);
  if (found == state.sections_.end()) return "";
  return ParseSection(found->second.text_).section_.owner_;
}

// Merges one section into a catalogue and reports names defined twice.
void MergeSection(const Section& section, Catalogue& catalogue,
                  std::vector<Issue>& issues) {
  for (const auto& [name, call_class] : section.classes_) {
    if (!catalogue.classes_.emplace(name, call_class).second) {
      issues.push_back({.kind_ = IssueKind::kDuplicate,
                        .key_ = "classes." + name,
                        .detail_ = "also defined in another section"});
    }
  }
  for (const auto& [name, service] : section.services_) {
    if (!catalogue.services_.emplace(name, service).second) {
      issues.push_back({.kind_ = IssueKind::kDuplicate,
                        .key_ = "services." + name,
                        .detail_ = "also defined in another section"});
    }
  }
}

void CheckClassNames(const Catalogue& catalogue, std::vector<Issue>& issues) {
  for (const auto& [name, service] : catalogue.services_) {
    for (const Operation& operation : service.operations_) {
      if (catalogue.classes_.contains(operation.class_name_)) continue;
      issues.push_back({.kind_ = IssueKind::kUnknownClass,
                        .key_ = "services." + name,
                        .detail_ = operation.class_name_});
    }
  }
}

// Builds the catalogue of a whole document and reports duplicate names and
// unknown classes.
Catalogue BuildCatalogue(const std::map<std::string, SectionInForce>& sections,
                         std::vector<Issue>& issues) {
  Catalogue catalogue;
  for (const auto& [name, section] : sections) {
    MergeSection(ParseSection(section.text_).section_, catalogue, issues);
  }
  CheckClassNames(catalogue, issues);
  return catalogue;
}

void RebuildCatalogue(ConfigurationState& state) {
  std::vector<Issue> ignored;  // accepted sections have already been checked
  state.catalogue_ = BuildCatalogue(state.sections_, ignored);
}

void RecordResult(ConfigurationState& state, PublishResult result) {
  state.history_.push_back(std::move(result));
  if (state.history_.size() > kMaxHistory) state.history_.pop_front();
}

LogOffset CurrentVersion(const ConfigurationState& state,
                         const std::string& section) {
  const auto found = state.sections_.find(section);
  return found == state.sections_.end() ? kNoOffset : found->second.version_;
}

bool IsRepeated(const ConfigurationState& state, const PublishRecord& publish) {
  const auto found = state.sections_.find(publish.section_);
  if (found == state.sections_.end()) return false;
  return found->second.record_id_ == publish.record_id_;
}

PublishVerdict EvaluatePublish(const ConfigurationState& state,
                               const PublishRecord& publish,
                               std::vector<Issue>& issues) {
  if (IsRepeated(state, publish)) return PublishVerdict::kRepeated;
  if (publish.base_version_ != CurrentVersion(state, publish.section_)) {
    return PublishVerdict::kStale;
  }
  issues = CheckPublish(state, publish);
  return issues.empty() ? PublishVerdict::kAccepted : PublishVerdict::kInvalid;
}

// Stores the sections that are newer than the known ones. Returns true on any
// change.
bool MergeNewer(ConfigurationState& state, const SnapshotRecord& other) {
  bool changed = false;
  for (const SectionInForce& section : other.sections_) {
    if (section.version_ <= CurrentVersion(state, section.name_)) continue;
    state.sections_[section.name_] = section;
    changed = true;
  }
  if (changed) RebuildCatalogue(state);
  return changed;
}

// Evaluates the publishes that were read before a baseline was known.
void ReplayPending(ConfigurationState& state, LogOffset after) {
  const std::map<LogOffset, PublishRecord> pending =
      std::exchange(state.pending_, {});
  for (const auto& [offset, publish] : pending) {
    if (offset > after) ApplyPublish(state, offset, publish);
  }
}

}  // namespace

std::vector<Issue> CheckPublish(const ConfigurationState& state,
                                const PublishRecord& publish) {
  ParsedSection parsed = ParseSection(publish.text_);
  std::vector<Issue> issues = std::move(parsed.issues_);
  const std::string owner = OwnerOf(state, publish.section_);
  const std::string& allowed = owner.empty() ? parsed.section_.owner_ : owner;
  if (allowed != publish.author_) {
    issues.push_back(
        {.kind_ = IssueKind::kWrongOwner,
         .key_ = "owner",
         .detail_ = "section " + publish.section_ + " belongs to " + allowed});
  }
  if (!issues.empty()) return issues;
  auto sections = state.sections_;
  sections[publish.section_].text_ = publish.text_;
  BuildCatalogue(sections, issues);
  return issues;
}

PublishVerdict ApplyPublish(ConfigurationState& state, LogOffset offset,
                            const PublishRecord& publish) {
  if (!state.has_baseline_) {
    state.pending_.emplace(offset, publish);
    return PublishVerdict::kUndecided;
  }
  if (offset <= state.applied_) return PublishVerdict::kRepeated;
  PublishResult result{.offset_ = offset,
                       .record_id_ = publish.record_id_,
                       .section_ = publish.section_,
                       .author_ = publish.author_};
  result.verdict_ = EvaluatePublish(state, publish, result.issues_);
  if (result.verdict_ == PublishVerdict::kAccepted) {
    state.sections_[publish.section_] = {.name_ = publish.section_,
                                         .version_ = offset,
                                         .record_id_ = publish.record_id_,
                                         .text_ = publish.text_};
    RebuildCatalogue(state);
  }
  state.applied_ = offset;
  const PublishVerdict verdict = result.verdict_;
  RecordResult(state, std::move(result));
  return verdict;
}

bool ApplySnapshot(ConfigurationState& state, LogOffset offset,
                   const SnapshotRecord& snapshot) {
  state.last_snapshot_ = std::max(state.last_snapshot_, offset);
  if (state.has_baseline_) return false;
  // Publishes between the snapshot and the first record read are unknown here,
  // so this snapshot cannot serve as the baseline.
  if (snapshot.as_of_ + 1 < state.first_read_) return false;
  MergeNewer(state, snapshot);
  state.has_baseline_ = true;
  state.applied_ = std::max(state.applied_, snapshot.as_of_);
  ReplayPending(state, snapshot.as_of_);
  return true;
}

void BeginReading(ConfigurationState& state, LogOffset oldest) {
  if (state.first_read_ != kNoOffset) return;
  state.first_read_ = oldest;
  if (oldest == 0) state.has_baseline_ = true;
}

void CountMalformed(ConfigurationState& state, LogOffset offset) {
  ++state.malformed_records_;
  state.last_malformed_ = offset;
}

void AdvanceTo(ConfigurationState& state, LogOffset offset) {
  if (state.has_baseline_) state.applied_ = std::max(state.applied_, offset);
}

bool AdoptPeerDocument(ConfigurationState& state, const SnapshotRecord& peer) {
  if (peer.as_of_ == kNoOffset && peer.sections_.empty()) return false;
  if (state.has_baseline_ && peer.as_of_ <= state.applied_) return false;
  const bool changed = MergeNewer(state, peer);
  state.has_baseline_ = true;
  state.applied_ = std::max(state.applied_, peer.as_of_);
  ReplayPending(state, peer.as_of_);
  return changed;
}

SnapshotRecord MakeSnapshot(const ConfigurationState& state) {
  SnapshotRecord snapshot{.as_of_ = state.applied_};
  for (const auto& [name, section] : state.sections_) {
    snapshot.sections_.push_back(section);
  }
  return snapshot;
}

std::string_view PublishVerdictName(PublishVerdict verdict) {
  switch (verdict) {
    case PublishVerdict::kAccepted:
      return "accepted";
    case PublishVerdict::kRepeated:
      return "repeated";
    case PublishVerdict::kStale:
      return "stale";
    case PublishVerdict::kInvalid:
      return "invalid";
    case PublishVerdict::kUndecided:
      return "undecided";
  }
  return "invalid";
}

}  // namespace jujubefront
