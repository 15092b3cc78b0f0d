#ifndef JUJUBEFRONT_RELAYLOG_EXPLAIN_H_
#define JUJUBEFRONT_RELAYLOG_EXPLAIN_H_

#include <string>
#include <vector>

#include "relaylog/log_reader.h"

namespace jujubefront {

// What the logs of all hosts say about one request or content.
struct Explanation {
  bool found_ = false;
  // Lines about the request and the calls made for it, or about the content, in
  // the order of time.
  std::vector<LogLine> steps_;
  // Sentences for a person: how the request ended, then why.
  std::vector<std::string> causes_;
  // Earlier changes in what the deciding host knew of its backend server, its
  // peers, the routing document or admission.
  std::vector<LogLine> state_changes_;
};

// Traces the outcome of a request back to its cause.
Explanation ExplainRequest(const RelayLog& log, const std::string& request);

// Whether the text has the form of a content's fingerprint in the log: 32
// lower-case hexadecimal digits.
bool IsContent(const std::string& text);

// Collects all attempts to run a content, and the backend servers that ended
// while they ran it.
Explanation ExplainContent(const RelayLog& log, const std::string& content);

// Renders an explanation as text for a person.
std::string FormatExplanation(const Explanation& explanation);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAYLOG_EXPLAIN_H_
