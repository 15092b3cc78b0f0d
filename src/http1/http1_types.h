#ifndef JUJUBEFRONT_HTTP1_HTTP1_TYPES_H_
#define JUJUBEFRONT_HTTP1_HTTP1_TYPES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jujubefront {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

// A whole HTTP/1.1 request.
struct Http1Request {
  std::string method_;
  std::string target_;  // path and query as they were sent
  HeaderList headers_;
  std::string body_;
  bool keep_alive_ = true;
};

// A whole HTTP/1.1 response.
struct Http1Response {
  int status_ = 0;
  HeaderList headers_;
  std::string body_;
  bool keep_alive_ = true;
};

// Memory that the bodies of all messages being read share.
struct MessageMemory {
  std::size_t limit_ = 0;  // bytes
  std::size_t used_ = 0;
};

// Bounds on one message.
struct Http1Limits {
  std::uint32_t max_header_bytes_ = 16 * 1024;
  std::uint64_t max_body_bytes_ = 64 * 1024 * 1024;
  // Chunk sizes with their extensions, each, and the fields after the last one.
  std::size_t max_framing_bytes_ = 16 * 1024;
  // Responses with a 1xx status before the one that counts.
  int max_interim_responses_ = 8;
  MessageMemory* memory_ = nullptr;  // not owned; none: not bounded
};

// Why bytes could not be read as a message.
enum class Http1Fault : std::uint8_t {
  kNone,
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
  kCutOff,       // the connection ended within a message
  kOutOfMemory,  // other messages take what there is for them
};

std::string_view Http1FaultName(Http1Fault fault);

// Value of a header by its name in any case, or nothing.
const std::string* FindHeader(const HeaderList& headers, std::string_view name);

// Compares header names without regard to case.
bool SameHeaderName(std::string_view first, std::string_view second);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_HTTP1_HTTP1_TYPES_H_
