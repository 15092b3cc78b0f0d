// Fuzzes the decoder of link messages from peers.

#include <cstdlib>

#include "relaylink/link_codec.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using jujubefront::DecodeLinkMessage;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const auto decoding = DecodeLinkMessage(bytes);
  if (decoding.consumed_ > size) std::abort();
  if (!decoding.message_) return 0;
  // A decoded message can be encoded and decoded again.
  const std::string wire = jujubefront::EncodeLinkMessage(*decoding.message_);
  const auto again = DecodeLinkMessage(wire);
  if (again.malformed_ || !again.message_) std::abort();
  if (again.message_->index() != decoding.message_->index()) std::abort();
  return 0;
}
