#ifndef JUJUBEFRONT_RELAYLOG_EXPLAIN_H_
#define JUJUBEFRONT_RELAYLOG_EXPLAIN_H_

#include <string>
#include <vector>

#include "relaylog/log_reader.h"

namespace jujubefront {

// The life of one request over all hosts.
struct Explanation {
  bool found_ = false;
  std::vector<LogLine> steps_;       // of the request and of the calls for it
  std::vector<std::string> causes_;  // from the answer down to its cause
  std::vector<LogLine> beliefs_;     // that the cause rests on
};

// Follows a request from its answer to its cause.
Explanation ExplainRequest(const RelayLog& log, const std::string& request);

// Whether the text is a content's fingerprint, as the lines write it.
bool IsContent(const std::string& text);

// Follows a content over all its attempts, and over the backend servers that
// ended while they ran it.
Explanation ExplainContent(const RelayLog& log, const std::string& content);

std::string FormatExplanation(const Explanation& explanation);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAYLOG_EXPLAIN_H_
