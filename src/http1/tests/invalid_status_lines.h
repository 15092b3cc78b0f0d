#ifndef JUJUBEFRONT_HTTP1_TESTS_INVALID_STATUS_LINES_H_
#define JUJUBEFRONT_HTTP1_TESTS_INVALID_STATUS_LINES_H_

#include <string>
#include <vector>

namespace jujubefront {

// The beginning of an invalid response, up to and including its status line.
struct InvalidStatusLine {
  const char* name_;
  std::string text_;
};

// Status codes have three digits and range from 100 to 599 (RFC 9110, 15).
inline std::vector<InvalidStatusLine> InvalidStatusLines() {
  std::string interim;
  for (int i = 0; i < 100; ++i) interim += "HTTP/1.1 100 Continue\r\n\r\n";
  std::vector<InvalidStatusLine> lines = {
      {"interim responses without end", interim + "HTTP/1.1 200 OK\r\n"},
      {"no status", "HTTP/1.1\r\n"},
      {"empty status", "HTTP/1.1 \r\n"},
      {"only spaces", "HTTP/1.1     OK\r\n"},
      {"empty line", "\r\n"}};
  for (const char* status :
       {"000", "001", "099", "600", "601", "700", "999", "+20", "-20", "+200",
        "-200", "-1", "1", "20", "2000", "1000", "70000", "0x1", "2 0"}) {
    lines.push_back({status, std::string("HTTP/1.1 ") + status + " OK\r\n"});
  }
  return lines;
}

// A response that begins with the line, and a valid one after it.
inline std::string InvalidResponse(const InvalidStatusLine& line,
                                   const std::string& headers = "") {
  const std::string rest = headers + "Content-Length: 2\r\n\r\n{}";
  return line.text_ + rest + "HTTP/1.1 200 OK\r\n" + rest;
}

}  // namespace jujubefront

#endif  // JUJUBEFRONT_HTTP1_TESTS_INVALID_STATUS_LINES_H_
