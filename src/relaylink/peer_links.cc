#include "relaylink/peer_links.h"

#include <QTimer>

#include "relaylink/link_codec.h"

namespace jujubefront {
namespace {

// Limit on the unsent bytes of a connection. A peer that does not read is
// disconnected above it, so that it cannot exhaust the memory of this process.
constexpr std::size_t kMaxUnsentBytes = 8 * 1024 * 1024;

}  // namespace

PeerLinks::PeerLinks(SilenceOptions silence, Handlers handlers)
    : silence_(silence),
      handlers_(std::move(handlers)),
      listener_(silence, [this](TcpConnection* s) { OnAccepted(s); }) {}

PeerLinks::~PeerLinks() {
  for (auto& [id, socket] : inbound_) socket->Close();
  for (auto& [peer, socket] : outbound_) socket->Close();
}

bool PeerLinks::Listen(const std::string& address) {
  return listener_.Listen(address);
}

void PeerLinks::OnAccepted(TcpConnection* socket) {
  const std::uint64_t id = ++last_id_;
  inbound_[id] = socket;
  socket->SetHandlers({.on_connected_ = {},
                       .on_data_ = [this, id] { OnInboundData(id); },
                       .on_flushed_ = {},
                       .on_end_ =
                           [this, id](ConnectionEnd) {
                             inbound_.at(id)->Close();
                             inbound_.erase(id);
                             handlers_.on_inbound_end_(id);
                           }});
}

void PeerLinks::OnInboundData(std::uint64_t connection_id) {
  // Looked up after every message: a handler may close the connection.
  for (auto found = inbound_.find(connection_id); found != inbound_.end();
       found = inbound_.find(connection_id)) {
    LinkDecodeResult decoded = DecodeLinkMessage(found->second->inbox());
    if (decoded.malformed_) {
      found->second->Close();
      inbound_.erase(found);
      handlers_.on_unreadable_({});
      return handlers_.on_inbound_end_(connection_id);
    }
    if (decoded.consumed_ == 0) return;
    found->second->Consume(decoded.consumed_);
    handlers_.on_inbound_(connection_id, std::move(*decoded.message_));
  }
}

void PeerLinks::Connect(const std::string& peer) {
  Disconnect(peer);
  TcpConnection* socket = TcpConnection::Open(peer, silence_);
  if (socket == nullptr) {
    QTimer::singleShot(0, this, [this, peer] { OnOutboundEnd(peer); });
    return;
  }
  outbound_[peer] = socket;
  socket->SetHandlers(
      {.on_connected_ = [this, peer] { handlers_.on_connected_(peer); },
       .on_data_ = [this, peer] { OnOutboundData(peer); },
       .on_flushed_ = {},
       .on_end_ = [this, peer](ConnectionEnd) { OnOutboundEnd(peer); }});
}

void PeerLinks::Disconnect(const std::string& peer) {
  const auto found = outbound_.find(peer);
  if (found == outbound_.end()) return;
  found->second->Abort();
  outbound_.erase(found);
}

void PeerLinks::OnOutboundData(const std::string& peer) {
  for (auto found = outbound_.find(peer); found != outbound_.end();
       found = outbound_.find(peer)) {
    LinkDecodeResult decoded = DecodeLinkMessage(found->second->inbox());
    if (decoded.malformed_) {
      handlers_.on_unreadable_(peer);
      return OnOutboundEnd(peer);
    }
    if (decoded.consumed_ == 0) return;
    found->second->Consume(decoded.consumed_);
    handlers_.on_outbound_(peer, std::move(*decoded.message_));
  }
}

void PeerLinks::OnOutboundEnd(const std::string& peer) {
  Disconnect(peer);
  handlers_.on_disconnected_(peer);
}

void PeerLinks::Send(const std::string& peer, const LinkMessage& message) {
  const auto found = outbound_.find(peer);
  if (found == outbound_.end()) return;
  if (found->second->unsent_bytes() > kMaxUnsentBytes) {
    QTimer::singleShot(0, this, [this, peer] { OnOutboundEnd(peer); });
    return;
  }
  found->second->Write(EncodeLinkMessage(message));
}

std::size_t PeerLinks::undelivered_replies() const {
  std::size_t total = 0;
  for (const auto& [id, socket] : inbound_) {
    total += socket->undelivered_bytes();
  }
  return total;
}

void PeerLinks::SendBack(std::uint64_t connection_id,
                         const LinkMessage& message) {
  const auto found = inbound_.find(connection_id);
  if (found == inbound_.end()) return;
  if (found->second->unsent_bytes() > kMaxUnsentBytes) {
    found->second->Abort();
    inbound_.erase(found);
    QTimer::singleShot(0, this, [this, connection_id] {
      handlers_.on_inbound_end_(connection_id);
    });
    return;
  }
  found->second->Write(EncodeLinkMessage(message));
}

}  // namespace jujubefront
