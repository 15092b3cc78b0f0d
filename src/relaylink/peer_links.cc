#include "relaylink/peer_links.h"

#include <QTimer>

#include "relaylink/link_codec.h"

namespace jujubefront {
namespace {

// Limit on the unsent bytes of small messages on a connection. A peer that does
// not read is disconnected above it, so that it cannot exhaust the memory of
// this process.
constexpr std::size_t kMaxUnsentBytes = 8 * 1024 * 1024;
// Unsent bytes of a connection, here and in the kernel, up to which further
// fragments are sent. Other messages wait for no more than that.
constexpr std::size_t kMaxFragmentsAhead = 128 * 1024;

// Larger messages arrive in fragments. Leaves room for what a fragment adds.
constexpr std::size_t kMaxFrameBytes = 2 * kMaxFragmentBytes;

// Bytes of the bodies and texts in a message, nearly its size if it is large.
std::size_t BodyBytes(const LinkMessage& message) {
  if (const SharedBytes* body = BodyOf(message)) return body->size();
  const auto* table = std::get_if<TableText>(&message);
  return table == nullptr ? 0 : table->text_.size();
}

bool BodyIsCounted(const LinkMessage& message) {
  const SharedBytes* body = BodyOf(message);
  return body != nullptr && body->counted();
}

std::uint64_t SendIdOf(const LinkMessage& message) {
  const auto* order = std::get_if<RunOrder>(&message);
  return order == nullptr ? 0 : order->send_id_;
}

}  // namespace

PeerLinks::PeerLinks(SilenceOptions silence, std::size_t max_queued_bytes,
                     Handlers handlers)
    : silence_(silence),
      max_queued_bytes_(max_queued_bytes),
      handlers_(std::move(handlers)),
      listener_(silence, [this](TcpConnection* s) { OnAccepted(s); }) {}

PeerLinks::~PeerLinks() {
  for (auto& [id, link] : inbound_) link.socket_->Close();
  for (auto& [peer, link] : outbound_) link.socket_->Close();
}

bool PeerLinks::Listen(const std::string& address) {
  return listener_.Listen(address);
}

void PeerLinks::OnAccepted(TcpConnection* socket) {
  if (silent_.size() >= max_silent_) CloseOldestSilent();
  const std::uint64_t id = ++last_id_;
  silent_.insert(id);
  inbound_.emplace(
      id, Link{.socket_ = socket, .assembler_ = FragmentAssembler(memory_)});
  socket->LimitUnsentInKernel(kMaxFragmentsAhead);
  socket->SetHandlers(
      {.on_connected_ = {},
       .on_data_ = [this, id] { OnInboundData(id); },
       .on_flushed_ = [this, id] { SendFragments(inbound_.at(id)); },
       .on_end_ =
           [this, id](ConnectionEnd) {
             inbound_.at(id).socket_->Close();
             inbound_.erase(id);
             silent_.erase(id);
             handlers_.on_inbound_end_(id);
           }});
}

void PeerLinks::CloseOldestSilent() {
  for (const std::uint64_t id : silent_) {
    // The message of a peer that has just connected is read.
    if (inbound_.at(id).socket_->HasPendingEnd()) continue;
    return CloseSilent(id);
  }
}

void PeerLinks::CloseLargestSilent() {
  std::size_t total = 0;
  std::size_t largest = 0;
  std::uint64_t largest_id = 0;
  for (const std::uint64_t id : silent_) {
    const Link& link = inbound_.at(id);
    const std::size_t stored =
        link.socket_->inbox().size() + link.assembler_.size();
    total += stored;
    if (stored <= largest) continue;
    largest = stored;
    largest_id = id;
  }
  if (total <= max_silent_bytes_) return;
  CloseSilent(largest_id);
  handlers_.on_unreadable_({});
}

void PeerLinks::CloseSilent(std::uint64_t connection_id) {
  inbound_.at(connection_id).socket_->Abort();
  inbound_.erase(connection_id);
  silent_.erase(connection_id);
  handlers_.on_inbound_end_(connection_id);
}

void PeerLinks::CountBody(Received& received) const {
  const SharedBytes* body = BodyOf(*received.message_);
  if (body == nullptr || body->empty()) return;
  const auto* reply = std::get_if<RunReply>(&*received.message_);
  MemoryCharge charge(memory_);
  if (charge.Set(body->size(), reply != nullptr ? MemoryClaim::kResponse
                                                : MemoryClaim::kRequest)) {
    return body->SetCharge(std::move(charge));
  }
  received.refused_bytes_ = body->size();
  received.refused_order_ = SendIdOf(*received.message_);
  if (reply != nullptr) received.refused_reply_ = reply->send_id_;
  received.message_.reset();
}

PeerLinks::Received PeerLinks::Receive(Link& link) const {
  LinkDecodeResult decoded =
      DecodeLinkMessage(link.socket_->inbox(), kMaxFrameBytes);
  if (decoded.malformed_) return {.malformed_ = true};
  if (decoded.consumed_ == 0) return {};
  link.socket_->Consume(decoded.consumed_);
  if (!decoded.fragment_) {
    Received received{.message_ = std::move(decoded.message_), .more_ = true};
    CountBody(received);
    return received;
  }
  const LinkFragment& fragment = *decoded.fragment_;
  const AddedFragment added = link.assembler_.Add(fragment);
  Received received{.more_ = true, .malformed_ = added.malformed_};
  if (added.refused_) {
    received.refused_order_ = fragment.order_id_;
    received.refused_reply_ = fragment.reply_id_;
    received.refused_bytes_ = fragment.total_bytes_;
    // Not the first fragment: its message has become longer than stated, or its
    // sender's version states no size. Nobody could be told.
    received.malformed_ = fragment.total_bytes_ == 0;
  }
  if (!added.message_) return received;
  LinkDecodeResult joined = DecodeWholeLinkMessage(*added.message_);
  received.message_ = std::move(joined.message_);
  received.malformed_ = joined.malformed_ || !received.message_;
  return received;
}

void PeerLinks::OnInboundData(std::uint64_t connection_id) {
  // Looked up after every message: a handler may close the connection.
  for (auto found = inbound_.find(connection_id); found != inbound_.end();
       found = inbound_.find(connection_id)) {
    Received received = Receive(found->second);
    if (received.malformed_) {
      found->second.socket_->Close();
      inbound_.erase(found);
      silent_.erase(connection_id);
      handlers_.on_unreadable_({});
      return handlers_.on_inbound_end_(connection_id);
    }
    if (!received.more_) {
      if (silent_.contains(connection_id)) CloseLargestSilent();
      return;
    }
    if (received.refused_order_ != 0) {
      handlers_.on_order_refused_(connection_id, received.refused_order_);
      continue;
    }
    if (!received.message_) continue;
    silent_.erase(connection_id);
    handlers_.on_inbound_(connection_id, std::move(*received.message_));
  }
}

void PeerLinks::Connect(const std::string& peer) {
  Disconnect(peer);
  TcpConnection* socket = TcpConnection::Open(peer, silence_);
  if (socket == nullptr) {
    QTimer::singleShot(0, this, [this, peer] { OnOutboundEnd(peer); });
    return;
  }
  outbound_.insert_or_assign(
      peer, Link{.socket_ = socket, .assembler_ = FragmentAssembler(memory_)});
  socket->LimitUnsentInKernel(kMaxFragmentsAhead);
  socket->SetHandlers(
      {.on_connected_ = [this, peer] { handlers_.on_connected_(peer); },
       .on_data_ = [this, peer] { OnOutboundData(peer); },
       .on_flushed_ = [this, peer] { SendFragments(outbound_.at(peer)); },
       .on_end_ = [this, peer](ConnectionEnd) { OnOutboundEnd(peer); }});
}

void PeerLinks::Disconnect(const std::string& peer) {
  const auto found = outbound_.find(peer);
  if (found == outbound_.end()) return;
  found->second.socket_->Abort();
  outbound_.erase(found);
}

void PeerLinks::OnOutboundData(const std::string& peer) {
  for (auto found = outbound_.find(peer); found != outbound_.end();
       found = outbound_.find(peer)) {
    Received received = Receive(found->second);
    if (received.malformed_) {
      handlers_.on_unreadable_(peer);
      return OnOutboundEnd(peer);
    }
    if (!received.more_) return;
    if (received.refused_reply_ != 0) {
      handlers_.on_reply_refused_(received.refused_reply_,
                                  received.refused_bytes_);
      continue;
    }
    if (!received.message_) continue;
    // The host does not wait for the rest of an order that it has refused.
    if (const auto* reply = std::get_if<RunReply>(&*received.message_)) {
      Link& link = found->second;
      if (link.large_.Cancel(reply->send_id_)) SendFragments(link);
    }
    handlers_.on_outbound_(peer, std::move(*received.message_));
  }
}

void PeerLinks::OnOutboundEnd(const std::string& peer) {
  Disconnect(peer);
  handlers_.on_disconnected_(peer);
}

std::size_t PeerLinks::queued_bytes() const {
  std::size_t total = 0;
  for (const auto& [id, link] : inbound_) total += link.large_.uncounted_size();
  for (const auto& [peer, link] : outbound_) {
    total += link.large_.uncounted_size();
  }
  return total;
}

PeerLinks::Written PeerLinks::Write(Link& link, const LinkMessage& message) {
  if (link.socket_->unsent_bytes() > kMaxUnsentBytes) {
    return Written::kTooMuchUnsent;
  }
  const std::size_t body = BodyBytes(message);
  if (body <= kMaxFragmentBytes) {
    const std::string encoded = EncodeLinkMessage(message);
    if (encoded.size() <= kMaxFragmentBytes) {
      link.socket_->Write(encoded);
      return Written::kYes;
    }
  } else if (!BodyIsCounted(message)) {
    // One message can always be sent.
    const std::size_t queued = queued_bytes();
    if (queued > 0 && queued + body > max_queued_bytes_) {
      return Written::kNoMemory;
    }
  }
  link.large_.Push(message);
  SendFragments(link);
  return Written::kYes;
}

void PeerLinks::SendFragments(Link& link) {
  while (link.socket_->unsent_bytes() == 0) {
    const auto fragment = link.large_.Next();
    if (!fragment) return;
    link.socket_->Write(EncodeLinkFragment(*fragment));
  }
}

void PeerLinks::Send(const std::string& peer, const LinkMessage& message) {
  const auto found = outbound_.find(peer);
  if (found == outbound_.end()) return;
  const auto* cancel = std::get_if<RunCancel>(&message);
  // The host has not seen an order that is not sent completely.
  if (cancel != nullptr && found->second.large_.Cancel(cancel->send_id_)) {
    return SendFragments(found->second);
  }
  const Written written = Write(found->second, message);
  if (written == Written::kTooMuchUnsent) {
    QTimer::singleShot(0, this, [this, peer] { OnOutboundEnd(peer); });
  }
  const std::uint64_t send_id = SendIdOf(message);
  if (written != Written::kNoMemory || send_id == 0) return;
  QTimer::singleShot(0, this, [this, peer, send_id] {
    handlers_.on_outbound_(peer,
                           RunReply{.send_id_ = send_id,
                                    .outcome_ = RunOutcome::kNotRun,
                                    .reason_ = NotRunReason::kOverloaded});
  });
}

std::size_t PeerLinks::undelivered_replies() const {
  std::size_t total = 0;
  for (const auto& [id, link] : inbound_) {
    total += link.socket_->undelivered_bytes() + link.large_.size();
  }
  return total;
}

void PeerLinks::SendBack(std::uint64_t connection_id,
                         const LinkMessage& message) {
  const auto found = inbound_.find(connection_id);
  if (found == inbound_.end()) return;
  const Written written = Write(found->second, message);
  if (written == Written::kTooMuchUnsent) {
    found->second.socket_->Abort();
    inbound_.erase(found);
    silent_.erase(connection_id);
    QTimer::singleShot(0, this, [this, connection_id] {
      handlers_.on_inbound_end_(connection_id);
    });
    return;
  }
  const auto* reply = std::get_if<RunReply>(&message);
  if (written != Written::kNoMemory || reply == nullptr) return;
  RunReply lost = *reply;
  lost.outcome_ = RunOutcome::kBroken;
  lost.response_ = {};
  Write(found->second, lost);
}

}  // namespace jujubefront
