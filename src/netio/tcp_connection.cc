#include "netio/tcp_connection.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>

namespace jujubefront {
namespace {

constexpr std::size_t kReadChunk = 64 * 1024;
// Limit for the bytes read per event. A fast sender must not block the event
// loop, nor grow the inbox before its handler can run.
constexpr std::size_t kMaxReadPerTurn = 256 * 1024;
// Consumed bytes are erased from the front of a buffer once there are this
// many. An empty buffer with more capacity is shrunk.
constexpr std::size_t kCompactThreshold = 64 * 1024;

int Milliseconds(Duration duration) {
  return static_cast<int>(duration / std::chrono::milliseconds(1));
}

int Seconds(Duration duration) {
  return std::max(1, static_cast<int>(duration / std::chrono::seconds(1)));
}

void SetOption(int descriptor, int level, int name, int value) {
  setsockopt(descriptor, level, name, &value, sizeof(value));
}

void ConfigureSocket(int descriptor, const SilenceOptions& silence) {
  fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
  fcntl(descriptor, F_SETFD, FD_CLOEXEC);
  SetOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE,
            Seconds(silence.keep_alive_idle_));
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL,
            Seconds(silence.keep_alive_interval_));
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, silence.keep_alive_probes_);
  SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
            Milliseconds(silence.unacknowledged_));
}

ConnectionEnd EndOfError(int error) {
  if (error == ECONNREFUSED) return ConnectionEnd::kRefused;
  if (error == ETIMEDOUT) return ConnectionEnd::kTimedOut;
  return ConnectionEnd::kBroken;
}

void DropConsumed(std::string& buffer, std::size_t& start) {
  if (start == buffer.size()) {
    buffer.clear();
    start = 0;
    // Otherwise one large message would occupy memory until the connection
    // closes.
    if (buffer.capacity() > kCompactThreshold) buffer.shrink_to_fit();
  } else if (start >= kCompactThreshold) {
    buffer.erase(0, start);
    start = 0;
  }
}

}  // namespace

bool ParseAddress(std::string_view address, std::uint32_t& ip,
                  std::uint16_t& port) {
  const auto colon = address.rfind(':');
  if (colon == std::string_view::npos) return false;
  const std::string_view digits = address.substr(colon + 1);
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size()) {
    return false;
  }
  const std::string host(address.substr(0, colon));
  in_addr parsed{};
  if (inet_pton(AF_INET, host.c_str(), &parsed) != 1) return false;
  ip = ntohl(parsed.s_addr);
  return true;
}

bool IsReachableAddress(std::string_view address) {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  return ParseAddress(address, ip, port) && port != 0;
}

TcpConnection* TcpConnection::Adopt(int descriptor,
                                    const SilenceOptions& silence) {
  return new TcpConnection(descriptor, true, silence);
}

TcpConnection* TcpConnection::Open(const std::string& address,
                                   const SilenceOptions& silence) {
  sockaddr_in remote{};
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  if (!ParseAddress(address, ip, port)) return nullptr;
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return nullptr;
  remote.sin_family = AF_INET;
  remote.sin_addr.s_addr = htonl(ip);
  remote.sin_port = htons(port);
  const int result = ::connect(descriptor, reinterpret_cast<sockaddr*>(&remote),
                               sizeof(remote));
  const int error = result < 0 && errno != EINPROGRESS ? errno : 0;
  auto* connection = new TcpConnection(descriptor, false, silence);
  // An immediate failure is reported from the event loop, like a later one.
  connection->connect_error_ = error;
  return connection;
}

TcpConnection::TcpConnection(int descriptor, bool connected,
                             const SilenceOptions& silence)
    : descriptor_(descriptor),
      connected_(connected),
      reading_(connected),
      writing_(!connected) {
  ConfigureSocket(descriptor, silence);
  EpollDispatcher::Instance().Add(descriptor, this,
                                  connected ? EPOLLIN : EPOLLOUT);
}

TcpConnection::~TcpConnection() {
  if (descriptor_ >= 0) ::close(descriptor_);
}

std::string_view TcpConnection::inbox() const {
  return std::string_view(inbox_).substr(inbox_start_);
}

void TcpConnection::Consume(std::size_t count) {
  inbox_start_ += count;
  DropConsumed(inbox_, inbox_start_);
}

void TcpConnection::SetReading(bool reading) {
  if (connected_) Watch(reading, writing_);
}

void TcpConnection::Watch(bool reading, bool writing) {
  if (ended_ || descriptor_ < 0) return;
  if (reading == reading_ && writing == writing_) return;
  reading_ = reading;
  writing_ = writing;
  const std::uint32_t events =
      (reading ? EPOLLIN : 0U) | (writing ? EPOLLOUT : 0U);
  EpollDispatcher::Instance().Change(descriptor_, this, events);
}

void TcpConnection::OnEvents(std::uint32_t events) {
  const std::uint32_t error_events = EPOLLERR | EPOLLHUP;
  if (!connected_ || (events & EPOLLOUT) != 0) OnWritable();
  if (connected_ && (events & (EPOLLIN | error_events)) != 0) {
    OnReadable((events & error_events) != 0);
  }
}

void TcpConnection::Write(std::string_view bytes) {
  if (ended_ || descriptor_ < 0) return;
  std::size_t sent = 0;
  if (connected_ && unsent_bytes() == 0) {
    const ssize_t count =
        ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    // epoll reports a send error as an event, which OnReadable handles.
    if (count > 0) sent = static_cast<std::size_t>(count);
    if (sent == bytes.size()) return;
  }
  if (later_.empty()) {
    outbox_.append(bytes.substr(sent));
  } else {
    later_.back().following_.append(bytes);
    later_bytes_ += bytes.size();
  }
  Watch(reading_, true);
}

void TcpConnection::WriteShared(const SharedBytes& bytes) {
  if (bytes.size() <= kSmallMessageBytes || !bytes.counted()) {
    return Write(bytes.view());
  }
  if (ended_ || descriptor_ < 0) return;
  later_.push_back({.shared_ = bytes, .following_ = {}});
  later_bytes_ += bytes.size();
  shared_unsent_bytes_ += bytes.size();
  if (connected_ && later_bytes_ == unsent_bytes()) SendSome();
  Watch(reading_, true);
}

ssize_t TcpConnection::SendSome() {
  if (outbox_start_ < outbox_.size()) {
    const ssize_t count = ::send(descriptor_, outbox_.data() + outbox_start_,
                                 outbox_.size() - outbox_start_, MSG_NOSIGNAL);
    if (count > 0) outbox_start_ += static_cast<std::size_t>(count);
    return count;
  }
  LaterBytes& next = later_.front();
  const ssize_t count = ::send(descriptor_, next.shared_.data(),
                               next.shared_.size(), MSG_NOSIGNAL);
  if (count <= 0) return count;
  const auto sent = static_cast<std::size_t>(count);
  shared_unsent_bytes_ -= sent;
  later_bytes_ -= sent;
  next.shared_ = next.shared_.Part(sent, next.shared_.size() - sent);
  if (!next.shared_.empty()) return count;
  later_bytes_ -= next.following_.size();
  outbox_ = std::move(next.following_);
  outbox_start_ = 0;
  later_.pop_front();
  return count;
}

std::uint32_t TcpConnection::PeerIp() const {
  sockaddr_in remote{};
  socklen_t length = sizeof(remote);
  if (getpeername(descriptor_, reinterpret_cast<sockaddr*>(&remote), &length) !=
      0) {
    return 0;
  }
  return ntohl(remote.sin_addr.s_addr);
}

void TcpConnection::LimitUnsentInKernel(std::size_t bytes) {
  const auto limit = static_cast<int>(bytes);
  setsockopt(descriptor_, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &limit,
             sizeof(limit));
}

void TcpConnection::Flush() {
  while (unsent_bytes() > 0) {
    if (SendSome() >= 0) continue;
    if (errno == EAGAIN || errno == EINTR) return;
    return End(EndOfError(errno));
  }
  DropConsumed(outbox_, outbox_start_);
  Watch(reading_, false);
  if (handlers_.on_flushed_) handlers_.on_flushed_();
}

void TcpConnection::OnWritable() {
  if (ended_ || descriptor_ < 0) return;
  if (!connected_) {
    int error = 0;
    socklen_t length = sizeof(error);
    getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error == 0) error = connect_error_;
    if (error != 0) return End(EndOfError(error));
    connected_ = true;
    Watch(true, writing_);
    if (handlers_.on_connected_) handlers_.on_connected_();
    if (ended_ || descriptor_ < 0) return;
  }
  Flush();
}

void TcpConnection::OnReadable(bool ended) {
  if (ended_ || descriptor_ < 0) return;
  static std::array<char, kReadChunk> chunk;
  bool received = false;
  for (std::size_t total = 0; total < kMaxReadPerTurn;) {
    const std::size_t held = inbox_.size() - inbox_start_;
    const std::size_t space = inbox_limit_ - std::min(inbox_limit_, held);
    if (space == 0 && !ended) break;
    const std::size_t wanted =
        ended ? chunk.size() : std::min(chunk.size(), space);
    const ssize_t count = ::recv(descriptor_, chunk.data(), wanted, 0);
    if (count > 0) {
      inbox_.append(chunk.data(),
                    std::min(static_cast<std::size_t>(count), space));
      received = received || space > 0;
      total += static_cast<std::size_t>(count);
      if (static_cast<std::size_t>(count) < wanted) break;
      continue;
    }
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) break;
    const ConnectionEnd end =
        count == 0 ? ConnectionEnd::kFinished : EndOfError(errno);
    if (received && handlers_.on_data_) handlers_.on_data_();
    return End(end);
  }
  if (received && handlers_.on_data_) handlers_.on_data_();
}

bool TcpConnection::HasPendingEnd() const {
  if (ended_ || descriptor_ < 0) return true;
  char byte = 0;
  const ssize_t count = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count >= 0 || (errno != EAGAIN && errno != EINTR);
}

std::size_t TcpConnection::undelivered_bytes() const {
  int queued = 0;
  if (ended_ || descriptor_ < 0) return 0;
  // Without the kernel's count, what it has taken counts as delivered.
  if (ioctl(descriptor_, SIOCOUTQ, &queued) != 0) queued = 0;
  return unsent_bytes() + static_cast<std::size_t>(std::max(0, queued));
}

void TcpConnection::End(ConnectionEnd end) {
  if (ended_) return;
  Watch(false, false);
  ended_ = true;
  if (handlers_.on_end_) handlers_.on_end_(end);
}

void TcpConnection::FinishWriting() {
  if (descriptor_ >= 0) ::shutdown(descriptor_, SHUT_WR);
}

void TcpConnection::Close() {
  if (descriptor_ < 0) return;
  ended_ = true;
  ::close(descriptor_);
  descriptor_ = -1;
  // The object is deleted later, but what it shares is released now.
  later_.clear();
  later_bytes_ = 0;
  shared_unsent_bytes_ = 0;
  EpollDispatcher::Instance().Retire(this);
}

void TcpConnection::Abort() {
  if (descriptor_ < 0) return;
  const linger reset{.l_onoff = 1, .l_linger = 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  Close();
}

}  // namespace jujubefront
