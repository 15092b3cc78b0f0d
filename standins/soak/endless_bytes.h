#ifndef JUJUBEFRONT_STANDINS_SOAK_ENDLESS_BYTES_H_
#define JUJUBEFRONT_STANDINS_SOAK_ENDLESS_BYTES_H_

#include <array>
#include <string>
#include <string_view>

#include "netio/tcp_connection.h"

namespace jujubefront {

// A part of an HTTP/1.1 message that a faulty sender repeats without end.
struct EndlessPart {
  std::string_view name_;
  std::string_view begin_;    // after the first line of the message
  std::string_view endless_;  // repeated until the receiver closes
};

inline constexpr std::array<EndlessPart, 8> kEndlessParts = {{
    {"header field", "X: ", "a"},
    {"header fields", "", "X: a\r\n"},
    {"chunk size", "Transfer-Encoding: chunked\r\n\r\n", "0"},
    {"chunk extension", "Transfer-Encoding: chunked\r\n\r\n5;x=", "a"},
    {"chunks", "Transfer-Encoding: chunked\r\n\r\n", "5\r\nabcde\r\n"},
    {"trailer field", "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", "a"},
    {"body", "Content-Length: 99999999999\r\n\r\n", "a"},
    // Only in responses: a request has no interim form and is malformed.
    {"interim responses", "\r\n", "HTTP/1.1 100 Continue\r\n\r\n"},
}};

// First line of a request or response with this part.
std::string_view FirstLine(const EndlessPart& part, bool response);

// A connection with at least this many unsent bytes takes no more for now.
inline constexpr std::size_t kMaxUnsent = 256 * 1024;

// Writes a block of the endless part unless kMaxUnsent is reached.
void WriteMore(TcpConnection& connection, const EndlessPart& part);

// Opens a connection and sends a request with this part until the server
// closes the connection, or for `limit`.
void SendEndlessRequest(const std::string& address, const EndlessPart& part,
                        Duration limit);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_STANDINS_SOAK_ENDLESS_BYTES_H_
