#ifndef JUJUBEFRONT_RELAYLINK_PEER_LINKS_H_
#define JUJUBEFRONT_RELAYLINK_PEER_LINKS_H_

#include <QObject>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "netio/tcp_listener.h"
#include "relay/message_types.h"
#include "relaylink/large_messages.h"

namespace jujubefront {

// This relay's connections to the relays of other hosts. Each relay opens an
// outbound connection to every peer, on which it sends its messages and
// receives the replies to them. Inbound connections are those that peers open.
// Small messages pass large ones, which are sent in fragments.
class PeerLinks : public QObject {
 public:
  struct Handlers {
    std::function<void(std::uint64_t connection_id, LinkMessage message)>
        on_inbound_;
    std::function<void(std::uint64_t connection_id)> on_inbound_end_;
    // The outbound connection to a peer.
    std::function<void(const std::string& peer, LinkMessage message)>
        on_outbound_;
    std::function<void(const std::string& peer)> on_connected_;
    std::function<void(const std::string& peer)> on_disconnected_;
    // A message cannot be decoded; its connection ends. `peer` is empty for an
    // inbound connection.
    std::function<void(const std::string& peer)> on_unreadable_;
    // There is no memory for a run order, or for the reply to one, that a peer
    // has begun to send.
    std::function<void(std::uint64_t connection_id, std::uint64_t send_id)>
        on_order_refused_;
    std::function<void(std::uint64_t send_id, std::size_t bytes)>
        on_reply_refused_;
  };

  // `max_queued_bytes`: limit on the large messages that wait to be sent and do
  // not count in a MessageMemory; one may exceed it.
  PeerLinks(SilenceOptions silence, std::size_t max_queued_bytes,
            Handlers handlers);
  ~PeerLinks() override;

  // Large messages of peers count in this memory; nullptr: unlimited. Call it
  // before there are connections.
  void SetMemory(MessageMemory* memory) { memory_ = memory; }

  // Returns false if the address cannot be bound.
  bool Listen(const std::string& address);

  // Limits the inbound connections on which no whole message has arrived yet.
  // Beyond `connections` the oldest one is closed; when they store more than
  // `bytes` together, the one that stores most.
  void LimitSilent(std::size_t connections, std::size_t bytes) {
    max_silent_ = connections;
    max_silent_bytes_ = bytes;
  }

  // Opens the outbound connection to a peer; closes the present one first.
  void Connect(const std::string& peer);
  void Disconnect(const std::string& peer);
  // Sends on the outbound connection; the message is dropped if there is none.
  // A run order for which there is no memory is answered as not run.
  void Send(const std::string& peer, const LinkMessage& message);
  // Bytes of replies that peers have not acknowledged yet.
  std::size_t undelivered_replies() const;
  // Replies on an inbound connection. A response for which there is no memory
  // is replaced by the outcome that it is lost.
  void SendBack(std::uint64_t connection_id, const LinkMessage& message);

 private:
  struct Link {
    TcpConnection* socket_ = nullptr;
    FragmentQueue large_;
    FragmentAssembler assembler_;
  };
  enum class Written : std::uint8_t {
    kYes,
    kNoMemory,       // a large message that was dropped
    kTooMuchUnsent,  // the peer does not read
  };
  // What the first bytes that have arrived on a connection contain.
  struct Received {
    std::optional<LinkMessage> message_;
    bool more_ = false;  // call again
    bool malformed_ = false;
    std::uint64_t refused_order_ = 0;  // send ids; 0: none
    std::uint64_t refused_reply_ = 0;
    std::size_t refused_bytes_ = 0;
  };

  void OnAccepted(TcpConnection* socket);
  void CloseOldestSilent();
  void CloseLargestSilent();
  void CloseSilent(std::uint64_t connection_id);
  void OnInboundData(std::uint64_t connection_id);
  void OnOutboundData(const std::string& peer);
  void OnOutboundEnd(const std::string& peer);
  Received Receive(Link& link) const;
  // Makes the body of a small message count, or refuses the message.
  void CountBody(Received& received) const;
  Written Write(Link& link, const LinkMessage& message);
  static void SendFragments(Link& link);
  std::size_t queued_bytes() const;

  SilenceOptions silence_;
  std::size_t max_queued_bytes_;
  MessageMemory* memory_ = nullptr;
  Handlers handlers_;
  TcpListener listener_;
  std::uint64_t last_id_ = 0;
  std::size_t max_silent_ = std::numeric_limits<std::size_t>::max();
  std::size_t max_silent_bytes_ = std::numeric_limits<std::size_t>::max();
  std::set<std::uint64_t> silent_;  // inbound, without a whole message so far
  std::map<std::uint64_t, Link> inbound_;
  std::map<std::string, Link> outbound_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAYLINK_PEER_LINKS_H_
