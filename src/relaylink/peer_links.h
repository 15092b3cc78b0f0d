#ifndef JUJUBEFRONT_RELAYLINK_PEER_LINKS_H_
#define JUJUBEFRONT_RELAYLINK_PEER_LINKS_H_

#include <QObject>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "netio/tcp_listener.h"
#include "relay/message_types.h"

namespace jujubefront {

// This relay's connections to the relays of other hosts. Each relay opens an
// outbound connection to every peer, on which it sends its messages and
// receives the replies to them. Inbound connections are those that peers open.
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
  };

  PeerLinks(SilenceOptions silence, Handlers handlers);
  ~PeerLinks() override;

  // Returns false if the address cannot be bound.
  bool Listen(const std::string& address);

  // Opens the outbound connection to a peer; closes the present one first.
  void Connect(const std::string& peer);
  void Disconnect(const std::string& peer);
  // Sends on the outbound connection; the message is dropped if there is none.
  void Send(const std::string& peer, const LinkMessage& message);
  // Bytes of replies that peers have not acknowledged yet.
  std::size_t undelivered_replies() const;
  // Replies on an inbound connection.
  void SendBack(std::uint64_t connection_id, const LinkMessage& message);

 private:
  void OnAccepted(TcpConnection* socket);
  void OnInboundData(std::uint64_t connection_id);
  void OnOutboundData(const std::string& peer);
  void OnOutboundEnd(const std::string& peer);

  SilenceOptions silence_;
  Handlers handlers_;
  TcpListener listener_;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, TcpConnection*> inbound_;
  std::map<std::string, TcpConnection*> outbound_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAYLINK_PEER_LINKS_H_
