// Fuzzes the HTTP/1.1 request and response readers with input that arrives in
// pieces, and with input whose end is repeated as by a sender that never stops.
// The first byte of the input is the piece size minus one, the second the
// number of bytes at its end that are repeated; 0: none are. So many bytes are
// also repeated in the middle, at an offset of the piece size, in input that
// arrives at once.

#include <cstdlib>

#include "http1/http1_codec.h"

namespace jujubefront {
namespace {

constexpr Http1Limits kLimits{.max_header_bytes_ = 2048,
                              .max_body_bytes_ = 4096};

// Passes pieces to a reader until the message is complete, it reports a fault
// or the input ends. Returns true if the message is complete.
template <typename Reader>
bool ReadPieces(Reader& reader, std::string_view bytes, std::size_t piece) {
  std::string inbox;
  while (!bytes.empty()) {
    inbox += bytes.substr(0, piece);
    bytes.remove_prefix(std::min(piece, bytes.size()));
    const Http1Progress progress = reader.Read(inbox);
    if (progress.consumed_ > inbox.size()) std::abort();
    inbox.erase(0, progress.consumed_);
    if (progress.complete_) return true;
    if (progress.fault_ != Http1Fault::kNone) return false;
    // The unconsumed input must not exceed the limits for a message.
    if (inbox.size() >
        kLimits.max_header_bytes_ + kLimits.max_body_bytes_ + piece) {
      std::abort();
    }
  }
  return false;
}

// More than any message within kLimits has, whatever its chunks and interim
// responses look like.
constexpr std::size_t kEndlessBytes = 64 * 1024;

// Checks that a reader refuses or completes a message whose end is repeated.
template <typename Reader>
void CheckEndless(Reader reader, std::string_view bytes, std::size_t repeated) {
  if (repeated == 0) return;
  const std::string_view end =
      bytes.substr(bytes.size() - std::min(repeated, bytes.size()));
  std::string endless(bytes);
  while (endless.size() < kEndlessBytes) endless += end;
  constexpr std::size_t kPiece = 4096;
  std::string inbox;
  for (std::size_t at = 0; at < endless.size(); at += kPiece) {
    inbox += endless.substr(at, kPiece);
    const Http1Progress progress = reader.Read(inbox);
    inbox.erase(0, progress.consumed_);
    if (progress.complete_ || progress.fault_ != Http1Fault::kNone) return;
  }
  std::abort();
}

// More than the length of any field that Beast can hold.
constexpr std::size_t kLongBytes = 72 * 1024;

// Checks that a reader returns from a message of which a part is very long.
template <typename Reader>
void CheckLong(Reader reader, std::string_view bytes, std::size_t offset,
               std::size_t repeated) {
  if (repeated == 0 || offset >= bytes.size()) return;
  const std::string_view part = bytes.substr(offset, repeated);
  std::string text(bytes.substr(0, offset));
  while (text.size() < kLongBytes) text += part;
  text += bytes.substr(offset);
  if (reader.Read(text).consumed_ > text.size()) std::abort();
}

void CheckRequest(std::string_view bytes, std::size_t piece) {
  Http1RequestReader reader(kLimits);
  if (!ReadPieces(reader, bytes, piece)) return;
  const Http1Request request = reader.Take();
  if (request.body_.size() > kLimits.max_body_bytes_) std::abort();
  // A request that was read must survive serializing and reading it again.
  Http1Request forwarded = request;
  RemoveConnectionHeaders(forwarded.headers_);
  Http1RequestReader again({});
  const std::string wire = WriteRequest(forwarded);
  if (!again.Read(wire).complete_) std::abort();
  const Http1Request read = again.Take();
  if (read.method_ != forwarded.method_ || read.target_ != forwarded.target_ ||
      read.body_ != forwarded.body_) {
    std::abort();
  }
}

void CheckResponse(std::string_view bytes, std::size_t piece) {
  Http1ResponseReader reader(kLimits, false);
  if (!ReadPieces(reader, bytes, piece) && !reader.ReadEnd().complete_) return;
  if (reader.Take().body_.size() > kLimits.max_body_bytes_) std::abort();
}

}  // namespace
}  // namespace jujubefront

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  constexpr std::size_t kControlBytes = 2;
  if (size <= kControlBytes) return 0;
  const std::string_view bytes(
      reinterpret_cast<const char*>(data) + kControlBytes,
      size - kControlBytes);
  const std::size_t piece = 1 + data[0];
  const std::size_t repeated = data[1];
  jujubefront::CheckRequest(bytes, piece);
  jujubefront::CheckResponse(bytes, piece);
  jujubefront::CheckEndless(
      jujubefront::Http1RequestReader(jujubefront::kLimits), bytes, repeated);
  jujubefront::CheckEndless(
      jujubefront::Http1ResponseReader(jujubefront::kLimits, false), bytes,
      repeated);
  jujubefront::CheckLong(jujubefront::Http1RequestReader(jujubefront::kLimits),
                         bytes, piece, repeated);
  jujubefront::CheckLong(
      jujubefront::Http1ResponseReader(jujubefront::kLimits, false), bytes,
      piece, repeated);
  return 0;
}
