#ifndef JUJUBEFRONT_NETIO_TCP_CONNECTION_H_
#define JUJUBEFRONT_NETIO_TCP_CONNECTION_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/time_types.h"
#include "netio/epoll_dispatcher.h"

namespace jujubefront {

// How a connection ended.
enum class ConnectionEnd : std::uint8_t {
  kFinished,  // the other side closed it in order (FIN)
  kBroken,    // reset, timed out or unreachable
  kRefused,   // nobody listens at the address
};

// How silence of the other side is noticed.
struct SilenceOptions {
  Duration keep_alive_idle_ = std::chrono::seconds(2);
  Duration keep_alive_interval_ = std::chrono::seconds(1);
  int keep_alive_probes_ = 2;
  Duration unacknowledged_ = std::chrono::seconds(2);  // TCP_USER_TIMEOUT
};

// A TCP connection on Qt's event loop with buffers in both directions. Unlike
// QTcpSocket it tells an orderly end from a reset.
class TcpConnection : public EpollClient {
 public:
  // `on_end` is called once at most, and never after Close.
  struct Handlers {
    std::function<void()> on_connected_;
    std::function<void()> on_data_;     // more bytes stand in the inbox
    std::function<void()> on_flushed_;  // the outbox has become empty
    std::function<void(ConnectionEnd)> on_end_;
  };

  // Takes over an accepted descriptor.
  static TcpConnection* Adopt(int descriptor, const SilenceOptions& silence);

  // Starts to connect to "IP:port"; returns nothing when the address is
  // malformed or no descriptor is left.
  static TcpConnection* Open(const std::string& address,
                             const SilenceOptions& silence);

  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  void SetHandlers(Handlers handlers) { handlers_ = std::move(handlers); }

  // Sends now what the socket takes and keeps the rest.
  void Write(std::string_view bytes);

  // Bytes received and not yet consumed.
  std::string_view inbox() const;
  void Consume(std::size_t count);

  // Stops and resumes reading, to bound the inbox.
  void SetReading(bool reading);

  // Tells the other side that no more comes; what it sends still arrives.
  // Unsent bytes must have been flushed.
  void FinishWriting();

  // Closes at once; the object is deleted later, from the event loop. Unsent
  // bytes are dropped.
  void Close();

  // Resets the connection, so that the other side cannot take it for an
  // orderly end.
  void Abort();

  // True when the other side has closed or reset a kept connection that the
  // event loop has not looked at yet.
  bool HasPendingEnd() const;

  bool connected() const { return connected_; }
  std::size_t unsent_bytes() const { return outbox_.size() - outbox_start_; }

 private:
  TcpConnection(int descriptor, bool connected, const SilenceOptions& silence);

  ~TcpConnection() override;

  void OnEvents(std::uint32_t events) override;
  void Watch(bool reading, bool writing);
  void OnReadable();
  void OnWritable();
  void Flush();
  void End(ConnectionEnd end);

  int descriptor_ = -1;
  bool connected_ = false;
  bool ended_ = false;
  int connect_error_ = 0;  // of an attempt that failed at once
  Handlers handlers_;
  std::string inbox_;
  std::size_t inbox_start_ = 0;
  std::string outbox_;
  std::size_t outbox_start_ = 0;
  bool reading_ = false;  // watched for input, and for room to write
  bool writing_ = false;
};

// Splits "IP:port"; returns false when malformed. `ip` is in host byte order.
bool ParseAddress(std::string_view address, std::uint32_t& ip,
                  std::uint16_t& port);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_NETIO_TCP_CONNECTION_H_
