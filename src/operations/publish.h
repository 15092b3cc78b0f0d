#ifndef JUJUBEFRONT_OPERATIONS_PUBLISH_H_
#define JUJUBEFRONT_OPERATIONS_PUBLISH_H_

#include <optional>

#include "operations/log_session.h"

namespace jujubefront {

struct PublishOptions {
  LogSessionOptions log_;
  std::string file_;
  std::string section_;
  std::string author_;
  // Version that the edit is based on; default: the version in force.
  std::optional<LogOffset> base_version_;
  // Maximum time to look for the appended record in the log.
  Duration confirmation_timeout_ = std::chrono::seconds(20);
};

// Reads a section from a file and checks it against the document in force.
// Errors: FileUnreadable, LogUnreachable, DocumentUnknown, SectionInvalid.
boost::leaf::result<PublishRecord> PreparePublish(
    const PublishOptions& options);

// Publishes a section and waits for its verdict. The record is looked up in the
// log by its id, so that the result is right even if the answer to the append
// was lost. Errors: those of PreparePublish, PublishConflict,
// PublishUnconfirmed.
boost::leaf::result<PublishResult> PublishSection(
    const PublishOptions& options);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_OPERATIONS_PUBLISH_H_
