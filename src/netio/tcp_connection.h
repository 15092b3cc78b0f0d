#ifndef JUJUBEFRONT_NETIO_TCP_CONNECTION_H_
#define JUJUBEFRONT_NETIO_TCP_CONNECTION_H_

#include <sys/types.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

#include "base/time_types.h"
#include "memory/shared_bytes.h"
#include "netio/epoll_dispatcher.h"

namespace jujubefront {

// How a connection ended.
enum class ConnectionEnd : std::uint8_t {
  kFinished,  // the peer closed it normally (FIN)
  kBroken,    // reset or unreachable
  kTimedOut,  // the other side acknowledged nothing for too long
  kRefused,   // nothing listens at the address
};

// Settings for detecting a peer that no longer responds: TCP keepalive on idle
// connections, and a limit for unacknowledged data.
struct SilenceOptions {
  Duration keep_alive_idle_ = std::chrono::seconds(2);
  Duration keep_alive_interval_ = std::chrono::seconds(1);
  int keep_alive_probes_ = 2;
  Duration unacknowledged_ = std::chrono::seconds(2);  // TCP_USER_TIMEOUT
};

// A TCP connection on Qt's event loop, buffered in both directions. Unlike
// QTcpSocket, it distinguishes a normal close (FIN) from a reset. The object
// deletes itself after Close or Abort.
class TcpConnection : public EpollClient {
 public:
  // `on_end_` is called at most once, and never after Close.
  struct Handlers {
    std::function<void()> on_connected_;
    std::function<void()> on_data_;     // bytes were added to the inbox
    std::function<void()> on_flushed_;  // the outbox has become empty
    std::function<void(ConnectionEnd)> on_end_;
  };

  // Takes ownership of an accepted socket.
  static TcpConnection* Adopt(int descriptor, const SilenceOptions& silence);

  // Starts to connect to "IP:port". Returns nullptr if the address is malformed
  // or the process has run out of descriptors.
  static TcpConnection* Open(const std::string& address,
                             const SilenceOptions& silence);

  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  void SetHandlers(Handlers handlers) { handlers_ = std::move(handlers); }

  // Sends as much as the socket accepts now and buffers the rest.
  void Write(std::string_view bytes);
  // The same without a copy of large bytes that count in a MessageMemory.
  void WriteShared(const SharedBytes& bytes);

  // Bytes received and not yet consumed.
  std::string_view inbox() const;
  void Consume(std::size_t count);

  // Stops and resumes reading, to bound the inbox.
  void SetReading(bool reading);

  // Limits the bytes that are read ahead into the inbox. With a full inbox, the
  // owner must consume from it or stop reading.
  void SetInboxLimit(std::size_t bytes) { inbox_limit_ = bytes; }

  // IPv4 address of the other side in host byte order; 0 if unknown.
  std::uint32_t PeerIp() const;

  // Limits the unsent bytes that the kernel takes from this connection
  // (TCP_NOTSENT_LOWAT).
  void LimitUnsentInKernel(std::size_t bytes);

  // Closes the sending direction (FIN); data from the peer is still received.
  // Call it only when there are no unsent bytes.
  void FinishWriting();

  // Closes the socket immediately and discards unsent bytes. The object is
  // deleted later, from the event loop.
  void Close();

  // Resets the connection (RST), so that the peer cannot mistake it for a
  // normal close.
  void Abort();

  // Checks an idle connection for a close or reset that the event loop has not
  // processed yet. Also true if unread data has arrived.
  bool HasPendingEnd() const;

  bool connected() const { return connected_; }
  std::size_t unsent_bytes() const {
    return outbox_.size() - outbox_start_ + later_bytes_;
  }
  // Those of them that are not shared.
  std::size_t copied_unsent_bytes() const {
    return unsent_bytes() - shared_unsent_bytes_;
  }
  // Bytes that the other side has not acknowledged yet, unsent ones included.
  std::size_t undelivered_bytes() const;

 private:
  // Shared bytes to send, and those that follow them.
  struct LaterBytes {
    SharedBytes shared_;
    std::string following_;
  };

  TcpConnection(int descriptor, bool connected, const SilenceOptions& silence);

  ~TcpConnection() override;

  void OnEvents(std::uint32_t events) override;
  void Watch(bool reading, bool writing);
  // `ended`: an error or hang-up was reported, so that what exceeds the inbox
  // limit is discarded.
  void OnReadable(bool ended);
  void OnWritable();
  // Sends from the first of the buffered bytes. Returns what send() returned.
  ssize_t SendSome();
  void Flush();
  void End(ConnectionEnd end);

  int descriptor_ = -1;
  bool connected_ = false;
  bool ended_ = false;
  int connect_error_ = 0;  // errno if connect() failed immediately
  Handlers handlers_;
  std::string inbox_;
  std::size_t inbox_start_ = 0;
  std::size_t inbox_limit_ = std::numeric_limits<std::size_t>::max();
  std::string outbox_;
  std::size_t outbox_start_ = 0;
  std::deque<LaterBytes> later_;  // sent after the outbox
  std::size_t later_bytes_ = 0;
  std::size_t shared_unsent_bytes_ = 0;
  bool reading_ = false;  // epoll watches for input
  bool writing_ = false;  // epoll watches for space in the send buffer
};

// Parses "IP:port" (IPv4); returns false if malformed. `ip` is in host byte
// order.
bool ParseAddress(std::string_view address, std::uint32_t& ip,
                  std::uint16_t& port);

// Whether a process can be reached at "IP:port": port 0 is none.
bool IsReachableAddress(std::string_view address);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_NETIO_TCP_CONNECTION_H_
