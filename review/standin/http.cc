#include "http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>

namespace review {
namespace {

sockaddr_in ParseAddress(const std::string& address) {
  sockaddr_in parsed{};
  const auto colon = address.rfind(':');
  parsed.sin_family = AF_INET;
  parsed.sin_port =
      htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
  return parsed;
}

// Milliseconds until a time, for poll().
int WaitMs(Clock::time_point until) {
  const auto left =
      std::chrono::duration_cast<Millis>(until - Clock::now()).count();
  return left < 0 ? 0 : static_cast<int>(left) + 1;
}

bool SameName(std::string_view first, std::string_view second) {
  return first.size() == second.size() &&
         strncasecmp(first.data(), second.data(), first.size()) == 0;
}

const char* Reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 421:
      return "Misdirected Request";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

void AppendHeaders(std::string& text, const HeaderList& headers) {
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
}

}  // namespace

Stream::Stream(Stream&& other) noexcept
    : buffer_(std::move(other.buffer_)),
      descriptor_(std::exchange(other.descriptor_, -1)) {}

Stream& Stream::operator=(Stream&& other) noexcept {
  if (this == &other) return *this;
  Close();
  buffer_ = std::move(other.buffer_);
  descriptor_ = std::exchange(other.descriptor_, -1);
  return *this;
}

Stream Stream::Connect(const std::string& address, Millis timeout,
                       int receive_buffer, int segment) {
  Stream stream(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (!stream.open()) return stream;
  const int descriptor = stream.descriptor_;
  if (receive_buffer > 0) {
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  }
  if (segment > 0) {
    setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
  }
  const int one = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  const sockaddr_in remote = ParseAddress(address);
  fcntl(descriptor, F_SETFL, O_NONBLOCK);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&remote),
              sizeof(remote)) != 0) {
    if (errno != EINPROGRESS) return {};
    pollfd entry{.fd = descriptor, .events = POLLOUT, .revents = 0};
    if (poll(&entry, 1, static_cast<int>(timeout.count())) != 1) return {};
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return {};
  }
  fcntl(descriptor, F_SETFL, 0);
  return stream;
}

void Stream::Close() {
  if (descriptor_ >= 0) ::close(descriptor_);
  descriptor_ = -1;
}

void Stream::Reset() {
  if (descriptor_ < 0) return;
  const linger reset{.l_onoff = 1, .l_linger = 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  Close();
}

void Stream::Shutdown() const {
  if (descriptor_ >= 0) ::shutdown(descriptor_, SHUT_RDWR);
}

bool Stream::Write(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t count =
        ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

Stream::ReadResult Stream::ReadSome(Clock::time_point until, std::size_t max) {
  pollfd entry{.fd = descriptor_, .events = POLLIN, .revents = 0};
  int ready = 0;
  do {
    ready = poll(&entry, 1, WaitMs(until));
  } while (ready < 0 && errno == EINTR);
  if (ready <= 0) return ReadResult::kTimeout;
  std::string chunk(max, '\0');
  const ssize_t count = ::recv(descriptor_, chunk.data(), chunk.size(), 0);
  if (count == 0) return ReadResult::kEnd;
  if (count < 0) return ReadResult::kReset;
  buffer_.append(chunk, 0, static_cast<std::size_t>(count));
  return ReadResult::kData;
}

std::string Message::Header(std::string_view name) const {
  for (const auto& [key, value] : headers_) {
    if (SameName(key, name)) return value;
  }
  return "";
}

int Message::status() const {
  if (first_line_.rfind("HTTP/", 0) != 0) return 0;
  const auto space = first_line_.find(' ');
  if (space == std::string::npos) return 0;
  return std::atoi(first_line_.c_str() + space + 1);
}

std::string Message::method() const {
  return first_line_.substr(0, first_line_.find(' '));
}

std::string Message::target() const {
  const auto begin = first_line_.find(' ');
  if (begin == std::string::npos) return "";
  const auto end = first_line_.find(' ', begin + 1);
  return first_line_.substr(begin + 1, end - begin - 1);
}

Message ReadMessage(Stream& stream, Clock::time_point until, std::size_t max,
                    const std::function<void(std::size_t)>& on_bytes) {
  Message message;
  const auto read_more = [&] {
    const std::size_t before = stream.buffer_.size();
    message.end_ = stream.ReadSome(until, max);
    if (message.end_ != Stream::ReadResult::kData) return false;
    message.received_ += stream.buffer_.size() - before;
    if (on_bytes) on_bytes(stream.buffer_.size() - before);
    return true;
  };
  message.received_ = stream.buffer_.size();
  std::size_t head_end = 0;
  while ((head_end = stream.buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!read_more()) return message;
  }
  std::string_view head = std::string_view(stream.buffer_).substr(0, head_end);
  while (!head.empty()) {
    const auto end = std::min(head.find("\r\n"), head.size());
    const std::string_view line = head.substr(0, end);
    head.remove_prefix(std::min(end + 2, head.size()));
    if (message.first_line_.empty()) {
      message.first_line_ = line;
      continue;
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) continue;
    const auto value = line.find_first_not_of(' ', colon + 1);
    message.headers_.emplace_back(
        line.substr(0, colon),
        value == std::string_view::npos ? "" : line.substr(value));
  }
  stream.buffer_.erase(0, head_end + 4);
  const std::string length = message.Header("Content-Length");
  const std::size_t size = length.empty() ? 0 : std::stoull(length);
  while (stream.buffer_.size() < size) {
    if (!read_more()) {
      message.body_ = stream.buffer_;
      return message;
    }
  }
  message.body_ = stream.buffer_.substr(0, size);
  stream.buffer_.erase(0, size);
  message.complete_ = true;
  return message;
}

std::string FormatRequest(const std::string& method, const std::string& target,
                          const HeaderList& headers, const std::string& body) {
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  AppendHeaders(text, headers);
  if (!body.empty() || method != "GET") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

std::string FormatResponse(int status, const HeaderList& headers,
                           const std::string& body) {
  std::string text =
      "HTTP/1.1 " + std::to_string(status) + " " + Reason(status) + "\r\n";
  AppendHeaders(text, headers);
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return text + body;
}

int ListenOn(const std::string& address) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return -1;
  const int one = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  const sockaddr_in local = ParseAddress(address);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&local),
           sizeof(local)) != 0 ||
      listen(descriptor, 512) != 0) {
    ::close(descriptor);
    return -1;
  }
  return descriptor;
}

}  // namespace review
