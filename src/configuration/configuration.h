#ifndef JUJUBEFRONT_CONFIGURATION_CONFIGURATION_H_
#define JUJUBEFRONT_CONFIGURATION_CONFIGURATION_H_

#include "configuration/configuration_types.h"

namespace jujubefront {

// Returns the faults of a publish against the document in force, including
// names that two sections define. The same check runs before the record is
// appended to the log and in every reader.
std::vector<Issue> CheckPublish(const ConfigurationState& state,
                                const PublishRecord& publish);

// Evaluates a publish record read from the log and, if it is accepted, puts its
// section in force.
PublishVerdict ApplyPublish(ConfigurationState& state, LogOffset offset,
                            const PublishRecord& publish);

// Applies a snapshot record. Returns true when it provided the baseline.
bool ApplySnapshot(ConfigurationState& state, LogOffset offset,
                   const SnapshotRecord& snapshot);

// Records that reading begins at the oldest retained offset. A log that still
// begins at offset 0 needs no baseline: it starts with the empty document.
void BeginReading(ConfigurationState& state, LogOffset oldest);

// Counts a record that cannot be decoded.
void CountMalformed(ConfigurationState& state, LogOffset offset);

// Records that every record up to `offset` was read.
void AdvanceTo(ConfigurationState& state, LogOffset offset);

// Merges the sections of a peer's document that are newer than the known ones.
// Returns true when anything changed. Never replaces a version by an older one.
bool AdoptPeerDocument(ConfigurationState& state, const SnapshotRecord& peer);

// Returns the document in force, to send to peers or write to the log.
SnapshotRecord MakeSnapshot(const ConfigurationState& state);

// Name of a verdict in output and logs.
std::string_view PublishVerdictName(PublishVerdict verdict);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_CONFIGURATION_CONFIGURATION_H_
