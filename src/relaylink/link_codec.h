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

// The encoding of a large message. Its body is not copied.
struct EncodedLinkMessage {
  std::string head_;
  SharedBytes body_;
  std::string tail_;

  std::size_t size() const {
    return head_.size() + body_.size() + tail_.size();
  }
  // Copies up to `count` bytes from `begin`.
  std::string Copy(std::size_t begin, std::size_t count) const;
};

EncodedLinkMessage EncodeLargeLinkMessage(const LinkMessage& message);

// Body of the request or response in a message; nullptr: it has none.
const SharedBytes* BodyOf(const LinkMessage& message);

// Part of the encoding of a large message. The first part describes the message
// as far as its sender's version does.
struct LinkFragment {
  std::string data_;
  bool last_ = false;
  bool aborted_ = false;  // the message is given up; its parts mean nothing
  std::size_t total_bytes_ = 0;  // of the message; 0: not stated
  std::uint64_t order_id_ = 0;   // send id, if it is a run order
  std::uint64_t reply_id_ = 0;   // send id, if it is a reply
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

// `max_bytes`: a longer message is malformed.
LinkDecodeResult DecodeLinkMessage(
    std::string_view bytes, std::size_t max_bytes = kMaxLinkMessageBytes);

// Decodes a whole message. A body in it shares the bytes.
LinkDecodeResult DecodeWholeLinkMessage(const SharedBytes& bytes);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAYLINK_LINK_CODEC_H_
