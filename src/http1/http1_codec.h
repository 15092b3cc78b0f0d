#ifndef JUJUBEFRONT_HTTP1_HTTP1_CODEC_H_
#define JUJUBEFRONT_HTTP1_HTTP1_CODEC_H_

#include <memory>
#include <string>
#include <string_view>

#include "http1/http1_types.h"

namespace jujubefront {

// What reading some bytes led to.
struct Http1Progress {
  std::size_t consumed_ = 0;
  bool complete_ = false;  // a whole message can be taken
  Http1Fault fault_ = Http1Fault::kNone;
};

// Reads one request from bytes that arrive in pieces.
class Http1RequestReader {
 public:
  explicit Http1RequestReader(const Http1Limits& limits);
  ~Http1RequestReader();

  Http1Progress Read(std::string_view bytes);

  // True once any byte of a message was consumed.
  bool started() const;
  bool header_complete() const;
  // The client waits for leave to send its body (Expect: 100-continue).
  bool expects_continue() const;

  // The whole request; the reader then starts on the next one.
  Http1Request Take();

 private:
  struct Parser;
  Http1Limits limits_;
  std::unique_ptr<Parser> parser_;
};

// Reads one response from bytes that arrive in pieces.
class Http1ResponseReader {
 public:
  Http1ResponseReader(const Http1Limits& limits, bool answers_head);
  ~Http1ResponseReader();

  Http1Progress Read(std::string_view bytes);

  // The connection was closed in order; completes a response that has no
  // length of its own.
  Http1Progress ReadEnd();

  bool started() const;
  Http1Response Take();

 private:
  struct Parser;
  Http1Limits limits_;
  int interim_ = 0;
  bool answers_head_ = false;
  std::unique_ptr<Parser> parser_;
};

// Wire form of a message. Sets Content-Length where a body is sent or, for a
// response, expected; headers that concern one connection are the caller's.
std::string WriteRequest(const Http1Request& request);
std::string WriteResponse(const Http1Response& response, bool answers_head);

// Removes the headers that concern one connection only (RFC 9110, 7.6.1) and
// the length, which is set anew.
void RemoveConnectionHeaders(HeaderList& headers);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_HTTP1_HTTP1_CODEC_H_
