#ifndef JUJUBEFRONT_RPC_PEER_CODEC_H_
#define JUJUBEFRONT_RPC_PEER_CODEC_H_

#include <optional>

#include "peer.capnp.h"
#include "peer/peer_types.h"

namespace jujubefront {

// Encodes a message with a Cap'n Proto builder.
void EncodeMessage(const PeerMessage& message, wire::Message::Builder builder);

// Decodes a message. Returns nullopt if an enumerator is out of range or the
// kind of message is unknown.
std::optional<PeerMessage> DecodeMessage(wire::Message::Reader reader);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RPC_PEER_CODEC_H_
