#ifndef JUJUBEFRONT_SETTINGS_SETTINGS_TYPES_H_
#define JUJUBEFRONT_SETTINGS_SETTINGS_TYPES_H_

#include <string>
#include <vector>

#include "node/node_types.h"
#include "toml/toml_errors.h"

namespace jujubefront {

enum class LogFormat : std::uint8_t { kPlain, kJson };

// Settings of one node process.
struct NodeSettings {
  NodeOptions node_;
  // Listening address for requests of callers and of the local backend server.
  std::string http_address_;
  // Listening address for operators: status, metrics, drain.
  std::string control_address_;
  std::string backend_address_;
  std::string log_address_;  // of the platform's shared log
  std::string log_stream_ = "jujubefront";
  std::uint32_t max_body_bytes_ = 1024 * 1024;
  std::uint32_t max_header_bytes_ = 16 * 1024;
  std::uint32_t max_connections_ = 1024;  // to the backend server
  LogFormat log_format_ = LogFormat::kPlain;
  std::string journal_path_;  // journal of requests; empty: none is written
};

// Result of parsing; the settings are usable only if there are no issues.
struct ParsedSettings {
  NodeSettings settings_;
  std::vector<Issue> issues_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_SETTINGS_SETTINGS_TYPES_H_
