#ifndef JUJUBEFRONT_RELAYLINK_LINK_CODEC_H_
#define JUJUBEFRONT_RELAYLINK_LINK_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "relay/message_types.h"

namespace jujubefront {

// Largest message that is read from a peer.
inline constexpr std::size_t kMaxLinkMessageBytes = 72 * 1024 * 1024;

// Cap'n Proto form of a message, with its segment table as the frame.
std::string EncodeLinkMessage(const LinkMessage& message);

// What reading the start of a stream led to.
struct LinkDecoding {
  std::optional<LinkMessage> message_;
  std::size_t consumed_ = 0;  // 0: the message is not whole yet
  bool malformed_ = false;
};

// Decodes the first message of a stream.
LinkDecoding DecodeLinkMessage(std::string_view bytes);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAYLINK_LINK_CODEC_H_
