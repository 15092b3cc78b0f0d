#ifndef JUJUBEFRONT_OPERATIONS_OPERATIONS_ERRORS_H_
#define JUJUBEFRONT_OPERATIONS_OPERATIONS_ERRORS_H_

#include <string>
#include <vector>

#include "configuration/configuration_types.h"

namespace jujubefront {

// The shared log did not answer in time.
struct LogUnreachable {
  std::string address_;
};

// A control address did not answer in time, or answered with an error status.
struct ControlUnreachable {
  std::string address_;
};

// A file could not be read.
struct FileUnreadable {
  std::string path_;
};

// The section has errors and was not accepted.
struct SectionInvalid {
  std::string file_;
  std::vector<Issue> issues_;
};

// Another publish replaced the base version in the meantime.
struct PublishConflict {
  PublishResult result_;
  std::string text_in_force_;
};

// The record was not found in the log before the timeout, so it is unknown
// whether it will appear there.
struct PublishUnconfirmed {
  std::string record_id_;
};

// The log contains no snapshot from which the document can be rebuilt.
struct DocumentUnknown {};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_OPERATIONS_OPERATIONS_ERRORS_H_
