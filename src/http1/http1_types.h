#ifndef JUJUBEFRONT_HTTP1_HTTP1_TYPES_H_
#define JUJUBEFRONT_HTTP1_HTTP1_TYPES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time_types.h"
#include "memory/shared_bytes.h"

namespace jujubefront {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

// A complete HTTP/1.1 request.
struct Http1Request {
  std::string method_;
  std::string target_;  // path and query as received, not decoded
  HeaderList headers_;
  SharedBytes body_;
  bool keep_alive_ = true;
  // How long a server stored its first bytes before it read it, because the
  // client took no responses or the memory for clients was used up.
  Duration waited_ = Duration::zero();
};

// A complete HTTP/1.1 response.
struct Http1Response {
  int status_ = 0;
  HeaderList headers_;
  SharedBytes body_;
  bool keep_alive_ = true;
};

// Account of what the servers of a process store for their clients: input read
// ahead, requests that are open, unsent responses.
struct ClientBuffers {
  std::size_t limit_ = 0;  // bytes
  std::size_t used_ = 0;
  // In which the bytes count as well; nullptr: none. Not owned.
  MessageMemory* memory_ = nullptr;
  // Connections on which reading was paused because the limit was reached.
  std::uint64_t paused_ = 0;
  // Connections closed, by ClientCutOff.
  std::uint64_t stalled_ = 0;
  std::uint64_t closed_for_memory_ = 0;
  std::uint64_t closed_for_places_ = 0;
};

ClientBuffers operator+(const ClientBuffers& first,
                        const ClientBuffers& second);

// Why a server closed the connection of a client.
enum class ClientCutOff : std::uint8_t {
  kStalled,  // it took no response bytes for the stall timeout
  kMemory,   // the memory was used up, and it was slow
  kPlaces,   // all connections were in use, and it had no open request
};

std::string_view ClientCutOffName(ClientCutOff reason);

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
  kUnsupportedCoding,  // a transfer coding besides chunked
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
