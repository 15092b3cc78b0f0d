#ifndef JUJUBEFRONT_HTTP1_HTTP1_TYPES_H_
#define JUJUBEFRONT_HTTP1_HTTP1_TYPES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jujubefront {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

// A complete HTTP/1.1 request.
struct Http1Request {
  std::string method_;
  std::string target_;  // path and query as received, not decoded
  HeaderList headers_;
  std::string body_;
  bool keep_alive_ = true;
};

// A complete HTTP/1.1 response.
struct Http1Response {
  int status_ = 0;
  HeaderList headers_;
  std::string body_;
  bool keep_alive_ = true;
};

// Memory budget shared by the bodies of all messages that are being read.
struct MessageMemory {
  std::size_t limit_ = 0;  // bytes
  std::size_t used_ = 0;
};

// Limits for one message.
struct Http1Limits {
  std::uint32_t max_header_bytes_ = 16 * 1024;
  std::uint64_t max_body_bytes_ = 64 * 1024 * 1024;
  // Limit for each chunk header with its extensions, and for the trailer.
  std::size_t max_framing_bytes_ = 16 * 1024;
  // Interim responses (1xx) before the final one.
  int max_interim_responses_ = 8;
  MessageMemory* memory_ = nullptr;  // not owned; nullptr: unlimited
};

// Why a message could not be parsed.
enum class Http1Fault : std::uint8_t {
  kNone,
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
  kCutOff,       // the connection ended before the message was complete
  kOutOfMemory,  // MessageMemory is used up by other messages
};

std::string_view Http1FaultName(Http1Fault fault);

// Value of the first header with this name (case-insensitive), or nullptr.
const std::string* FindHeader(const HeaderList& headers, std::string_view name);

// Compares header names case-insensitively.
bool SameHeaderName(std::string_view first, std::string_view second);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_HTTP1_HTTP1_TYPES_H_
