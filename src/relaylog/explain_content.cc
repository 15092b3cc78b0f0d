#include <algorithm>
#include <set>

#include "relaylog/explain.h"

namespace jujubefront {
namespace {

constexpr std::size_t kFingerprintDigits = 32;

bool MentionsContent(const LogLine& line, const std::string& content) {
  return line.Text("content") == content ||
         line.Text("contents").find(content) != std::string::npos;
}

}  // namespace

bool IsContent(const std::string& text) {
  return text.size() == kFingerprintDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

Explanation ExplainContent(const RelayLog& log, const std::string& content) {
  Explanation explanation;
  std::set<std::string> attempts;
  std::set<std::string> ended;
  std::int64_t broken = 0;
  std::int64_t refused = 0;
  for (const LogLine& line : log.records_) {
    if (!MentionsContent(line, content)) continue;
    explanation.steps_.push_back(line);
    if (!line.request_.empty()) attempts.insert(line.request_);
    if (line.event_ == "run_broken") ++broken;
    if (line.event_ == "refused") ++refused;
    if (line.event_ != "backend_ended") continue;
    ended.insert(line.Text("instance") + " (started " +
                 std::to_string(line.Number("started_at_ms")) + ", " +
                 line.Text("how") + ", with " +
                 std::to_string(line.Number("runs") - 1) + " other runs)");
  }
  explanation.found_ = !explanation.steps_.empty();
  if (!explanation.found_) return explanation;
  explanation.causes_.push_back(
      std::to_string(attempts.size()) + " attempts are logged; " +
      std::to_string(broken) + " runs broke, " + std::to_string(refused) +
      " attempts were refused");
  explanation.causes_.push_back(std::to_string(ended.size()) +
                                " incarnations ended while they ran it");
  for (const std::string& incarnation : ended) {
    explanation.causes_.push_back("  " + incarnation);
  }
  return explanation;
}

}  // namespace jujubefront
