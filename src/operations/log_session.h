#ifndef JUJUBEFRONT_OPERATIONS_LOG_SESSION_H_
#define JUJUBEFRONT_OPERATIONS_LOG_SESSION_H_

#include <boost/leaf/result.hpp>
#include <string>

#include "configuration/configuration_types.h"
#include "operations/operations_errors.h"

namespace jujubefront {

struct LogSessionOptions {
  std::string address_;  // IP:port of the shared log
  std::string stream_ = "jujubefront";
  Duration timeout_ = std::chrono::seconds(5);
};

// Reads the whole log and applies the records of the document as a node does,
// which also gives the verdict on every publish.
// Errors: LogUnreachable.
boost::leaf::result<ConfigurationState> ReadDocument(
    const LogSessionOptions& options);

// Appends a record and waits for its offset. Returns kNoOffset if no answer
// arrived; the record may be in the log nevertheless.
LogOffset AppendRecord(const LogSessionOptions& options,
                       const LogRecord& record);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_OPERATIONS_LOG_SESSION_H_
