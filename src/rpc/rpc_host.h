#ifndef JUJUBEFRONT_RPC_RPC_HOST_H_
#define JUJUBEFRONT_RPC_RPC_HOST_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "peer/peer_types.h"

namespace jujubefront {

// Handlers for requests of peers and for the outcome of the node's own
// requests. They are called on the RPC thread.
struct RpcHandlers {
  std::function<void(std::uint64_t inbound_id, PeerMessage)> on_request_;
  // The peer cancelled its request or disconnected before the reply.
  std::function<void(std::uint64_t inbound_id)> on_withdrawn_;
  std::function<void(std::uint64_t send_id, PeerMessage)> on_reply_;
  std::function<void(std::uint64_t send_id, PeerFailure)> on_failure_;
};

struct RpcOptions {
  std::string listen_address_;  // IP:port; port 0: any free port
  Duration connect_timeout_ = std::chrono::milliseconds(500);
  // Outbound connections unused for this long are closed.
  Duration idle_timeout_ = std::chrono::seconds(30);
  std::size_t max_message_bytes_ = 16 * 1024 * 1024;
};

// Bytes sent and received since the start.
struct RpcTraffic {
  std::uint64_t sent_bytes_ = 0;
  std::uint64_t received_bytes_ = 0;
};

// Cap'n Proto RPC server and client for the messages between nodes. Its event
// loop runs on a separate thread; Send, Withdraw, Reply and OpenConnections may
// be called from any thread.
class RpcHost {
 public:
  RpcHost(RpcOptions options, RpcHandlers handlers);
  ~RpcHost();
  RpcHost(const RpcHost&) = delete;
  RpcHost& operator=(const RpcHost&) = delete;

  // Starts the RPC thread and listens. Returns the port, or nullopt if the
  // address cannot be bound.
  std::optional<std::uint16_t> Start();

  // Sends a request. Leads to one call of on_reply_ or on_failure_, unless the
  // request is withdrawn.
  void Send(std::uint64_t send_id, const std::string& address,
            PeerMessage message, Duration timeout);

  // Number of outbound connections that are kept open.
  std::size_t OpenConnections() const;

  // Cancels a request that was sent. The peer's on_withdrawn_ is called if it
  // has not replied yet.
  void Withdraw(std::uint64_t send_id);

  // Replies to a request of a peer.
  void Reply(std::uint64_t inbound_id, PeerMessage message);

 private:
  class Loop;
  std::unique_ptr<Loop> loop_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RPC_RPC_HOST_H_
