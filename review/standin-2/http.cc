#include "http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace review {
namespace {

constexpr int kConnectMs = 1000;
constexpr int kBacklog = 1024;
constexpr int kAcceptSliceMs = 100;

bool Parse(const std::string& address, sockaddr_in& parsed) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) return false;
  parsed = {};
  parsed.sin_family = AF_INET;
  parsed.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  return inet_pton(AF_INET, address.substr(0, colon).c_str(),
                   &parsed.sin_addr) == 1;
}

int MillisecondsUntil(Clock::time_point until) {
  const auto left =
      std::chrono::ceil<std::chrono::milliseconds>(until - Clock::now());
  return static_cast<int>(std::max<std::int64_t>(0, left.count()));
}

// Parses the lines after the first one.
HeaderList ParseHeaders(const std::string& head) {
  HeaderList headers;
  std::size_t at = head.find("\r\n");
  while (at != std::string::npos && at + 2 < head.size()) {
    const std::size_t begin = at + 2;
    at = head.find("\r\n", begin);
    const std::string line = head.substr(
        begin, at == std::string::npos ? std::string::npos : at - begin);
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    const auto value = line.find_first_not_of(' ', colon + 1);
    headers.emplace_back(line.substr(0, colon),
                         value == std::string::npos ? "" : line.substr(value));
  }
  return headers;
}

std::size_t LengthOf(const HeaderList& headers) {
  const std::string text = HeaderOf(headers, "Content-Length");
  return text.empty() ? 0 : std::stoull(text);
}

}  // namespace

std::string HeaderOf(const HeaderList& headers, const std::string& name) {
  for (const auto& [key, value] : headers) {
    if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
  }
  return "";
}

Stream::~Stream() {
  if (descriptor_ >= 0) ::close(descriptor_);
}

std::unique_ptr<Stream> Stream::Connect(const std::string& address,
                                        int receive_buffer) {
  sockaddr_in remote{};
  if (!Parse(address, remote)) return nullptr;
  const int descriptor =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (descriptor < 0) return nullptr;
  auto stream = std::make_unique<Stream>(descriptor);
  if (receive_buffer > 0) {
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof(receive_buffer));
  }
  const int result = ::connect(descriptor, reinterpret_cast<sockaddr*>(&remote),
                               sizeof(remote));
  if (result != 0 && errno != EINPROGRESS) return nullptr;
  pollfd polled{.fd = descriptor, .events = POLLOUT, .revents = 0};
  if (::poll(&polled, 1, kConnectMs) != 1) return nullptr;
  int error = 0;
  socklen_t length = sizeof(error);
  ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
  if (error != 0) return nullptr;
  ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return stream;
}

bool Stream::Write(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = ::send(descriptor_, bytes.data() + sent,
                                 bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool Stream::Fill(Clock::time_point until) {
  pollfd polled{.fd = descriptor_, .events = POLLIN, .revents = 0};
  if (::poll(&polled, 1, MillisecondsUntil(until)) != 1) return false;
  char bytes[65536];
  const ssize_t count = ::recv(descriptor_, bytes, sizeof(bytes), 0);
  if (count <= 0) return false;
  received_.append(bytes, static_cast<std::size_t>(count));
  return true;
}

std::optional<Request> Stream::ReadHead(Clock::time_point until) {
  std::size_t end = received_.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Fill(until)) return std::nullopt;
    end = received_.find("\r\n\r\n");
  }
  const std::string head = received_.substr(0, end);
  received_.erase(0, end + 4);
  Request request;
  const auto first = head.find(' ');
  const auto second = head.find(' ', first + 1);
  if (first == std::string::npos || second == std::string::npos) {
    return std::nullopt;
  }
  request.method_ = head.substr(0, first);
  request.target_ = head.substr(first + 1, second - first - 1);
  request.headers_ = ParseHeaders(head);
  return request;
}

std::optional<Request> Stream::ReadRequest(Clock::time_point until) {
  auto request = ReadHead(until);
  if (!request) return std::nullopt;
  const std::size_t length = LengthOf(request->headers_);
  while (received_.size() < length) {
    if (!Fill(until)) return std::nullopt;
  }
  request->body_ = received_.substr(0, length);
  received_.erase(0, length);
  return request;
}

std::optional<Request> Stream::ReadRequestWithoutBody(Clock::time_point until,
                                                      std::size_t& body_bytes) {
  auto request = ReadHead(until);
  if (!request) return std::nullopt;
  body_bytes = LengthOf(request->headers_);
  for (std::size_t left = body_bytes; left > 0;) {
    if (received_.empty() && !Fill(until)) return std::nullopt;
    const std::size_t taken = std::min(left, received_.size());
    received_.erase(0, taken);
    left -= taken;
  }
  return request;
}

std::size_t Stream::Skip(std::size_t bytes, Clock::time_point until) {
  pollfd polled{.fd = descriptor_, .events = POLLIN, .revents = 0};
  if (::poll(&polled, 1, MillisecondsUntil(until)) != 1) return 0;
  std::string skipped(bytes, '\0');
  const ssize_t count = ::recv(descriptor_, skipped.data(), bytes, 0);
  return count <= 0 ? 0 : static_cast<std::size_t>(count);
}

Response Stream::ReadResponse(Clock::time_point until) {
  Response response;
  std::size_t end = received_.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Fill(until)) return response;
    end = received_.find("\r\n\r\n");
  }
  const std::string head = received_.substr(0, end);
  received_.erase(0, end + 4);
  const auto space = head.find(' ');
  if (space == std::string::npos) return response;
  response.status_ = std::stoi(head.substr(space + 1, 3));
  response.headers_ = ParseHeaders(head);
  if (response.status_ == 100) return ReadResponse(until);
  const std::size_t length = LengthOf(response.headers_);
  while (received_.size() < length) {
    if (!Fill(until)) return response;
  }
  response.body_ = received_.substr(0, length);
  received_.erase(0, length);
  response.complete_ = true;
  return response;
}

void Stream::Shutdown() { ::shutdown(descriptor_, SHUT_RDWR); }

bool Server::Listen(const std::string& address) {
  sockaddr_in local{};
  if (!Parse(address, local)) return false;
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (::bind(listener_, reinterpret_cast<sockaddr*>(&local), sizeof(local)) !=
          0 ||
      ::listen(listener_, kBacklog) != 0) {
    ::close(listener_);
    listener_ = -1;
    return false;
  }
  acceptor_ = std::thread([this] { Accept(); });
  return true;
}

void Server::Accept() {
  while (!stop_) {
    pollfd polled{.fd = listener_, .events = POLLIN, .revents = 0};
    if (::poll(&polled, 1, kAcceptSliceMs) != 1) continue;
    const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) continue;
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ++open_;
    std::thread([this, descriptor] {
      {
        Stream stream(descriptor);
        {
          const std::lock_guard lock(mutex_);
          streams_.insert(&stream);
        }
        handler_(stream, stop_);
        const std::lock_guard lock(mutex_);
        streams_.erase(&stream);
      }
      --open_;
    }).detach();
  }
}

void Server::Stop() {
  stop_ = true;
  if (acceptor_.joinable()) acceptor_.join();
  if (listener_ >= 0) ::close(listener_);
  listener_ = -1;
  {
    const std::lock_guard lock(mutex_);
    for (Stream* stream : streams_) stream->Shutdown();
  }
  while (open_ > 0) std::this_thread::sleep_for(std::chrono::milliseconds(5));
}

std::string WriteResponse(int status, const HeaderList& headers,
                          const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string WriteRequest(const Request& request) {
  std::string text = request.method_ + " " + request.target_ + " HTTP/1.1\r\n";
  for (const auto& [name, value] : request.headers_) {
    text += name + ": " + value + "\r\n";
  }
  if (!request.body_.empty() || request.method_ == "POST") {
    text += "Content-Length: " + std::to_string(request.body_.size()) + "\r\n";
  }
  return text + "\r\n" + request.body_;
}

}  // namespace review
