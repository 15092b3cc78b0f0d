#ifndef JUJUBEFRONT_HTTP1_HTTP1_CODEC_H_
#define JUJUBEFRONT_HTTP1_HTTP1_CODEC_H_

#include <memory>
#include <string>
#include <string_view>

#include "http1/http1_types.h"

namespace jujubefront {

// Result of passing bytes to a reader.
struct Http1Progress {
  std::size_t consumed_ = 0;
  bool complete_ = false;  // a complete message is available from Take()
  Http1Fault fault_ = Http1Fault::kNone;
};

// Incremental parser for HTTP/1.1 requests.
class Http1RequestReader {
 public:
  explicit Http1RequestReader(const Http1Limits& limits);
  ~Http1RequestReader();

  Http1Progress Read(std::string_view bytes);

  // True once any byte of the current message was passed to Read().
  bool started() const;
  bool header_complete() const;
  std::size_t body_bytes() const;  // read so far
  // The client waits for "100 Continue" before it sends the body.
  bool expects_continue() const;

  // Returns the complete request and resets the reader for the next one.
  Http1Request Take();

  // Sets the limits of a request that has not started. Their memory must be
  // that of the constructor.
  void SetLimits(const Http1Limits& limits);

 private:
  struct Parser;
  Http1Limits limits_;
  std::unique_ptr<Parser> parser_;
};

// Incremental parser for HTTP/1.1 responses.
class Http1ResponseReader {
 public:
  Http1ResponseReader(const Http1Limits& limits, bool answers_head);
  ~Http1ResponseReader();

  Http1Progress Read(std::string_view bytes);

  // Reports that the server closed the connection normally, which completes a
  // response without Content-Length or chunked encoding.
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

// Serializes a message. Adds Content-Length if a body is sent or, for a
// response, expected. The caller supplies any other hop-by-hop headers, apart
// from "Connection: close" of a response that is not kept alive.
std::string WriteRequest(const Http1Request& request);
std::string WriteResponse(const Http1Response& response, bool answers_head);

// A serialized message. A large body that counts in a MessageMemory is not
// copied into the text, but follows it.
struct SerializedMessage {
  std::string text_;
  SharedBytes body_;

  std::size_t size() const { return text_.size() + body_.size(); }
};

SerializedMessage SerializeRequest(const Http1Request& request);
SerializedMessage SerializeResponse(const Http1Response& response,
                                    bool answers_head);

// Whether the message can be written. One that a reader has returned can.
bool IsWritable(const Http1Request& request);
bool IsWritable(const Http1Response& response);

// Whether a response with this status (200 to 599) ends a request. Others are
// interim (100 to 199) or invalid.
bool IsFinalStatus(int status);

// Removes the hop-by-hop headers (RFC 9110, 7.6.1) and Content-Length, which is
// set again when the message is serialized.
void RemoveConnectionHeaders(HeaderList& headers);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_HTTP1_HTTP1_CODEC_H_
