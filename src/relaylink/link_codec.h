#ifndef JUJUBEFRONT_RELAYLINK_LINK_CODEC_H_
#define JUJUBEFRONT_RELAYLINK_LINK_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "relay/message_types.h"

namespace jujubefront {

// A longer message from a peer is rejected as malformed.
inline constexpr std::size_t kMaxLinkMessageBytes = 72 * 1024 * 1024;

// Encodes a message in Cap'n Proto's stream format, whose segment table gives
// the size of the message.
std::string EncodeLinkMessage(const LinkMessage& message);

// Part of the encoding of a large message.
struct LinkFragment {
  std::string data_;
  bool last_ = false;
  bool aborted_ = false;  // the message is given up; its parts mean nothing
};

std::string EncodeLinkFragment(const LinkFragment& fragment);

// Result of decoding the first message of a stream. Neither a message, a
// fragment nor malformed: more bytes are needed.
struct LinkDecodeResult {
  std::optional<LinkMessage> message_;
  std::optional<LinkFragment> fragment_;
  std::size_t consumed_ = 0;  // 0: the message is incomplete
  bool malformed_ = false;
};

LinkDecodeResult DecodeLinkMessage(std::string_view bytes);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAYLINK_LINK_CODEC_H_
