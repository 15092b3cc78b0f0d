#ifndef JUJUBEFRONT_REVIEW_STANDIN_HTTP_H_
#define JUJUBEFRONT_REVIEW_STANDIN_HTTP_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;
using HeaderList = std::vector<std::pair<std::string, std::string>>;

// A blocking TCP socket with a read buffer.
class Stream {
 public:
  Stream() = default;
  explicit Stream(int descriptor) : descriptor_(descriptor) {}
  Stream(Stream&& other) noexcept;
  Stream& operator=(Stream&& other) noexcept;
  ~Stream() { Close(); }

  // Connects to "IP:port". `receive_buffer` and `segment` are SO_RCVBUF and
  // TCP_MAXSEG in bytes; 0 leaves the system's value.
  static Stream Connect(const std::string& address, Millis timeout,
                        int receive_buffer = 0, int segment = 0);

  bool open() const { return descriptor_ >= 0; }
  int descriptor() const { return descriptor_; }
  void Close();
  // Resets the connection.
  void Reset();
  // Wakes a thread that reads from or writes to the socket.
  void Shutdown() const;

  bool Write(std::string_view bytes) const;

  enum class ReadResult : std::uint8_t { kData, kEnd, kReset, kTimeout };
  // Reads at most `max` bytes into the buffer.
  ReadResult ReadSome(Clock::time_point until, std::size_t max = 64 * 1024);

  std::string buffer_;

 private:
  int descriptor_ = -1;
};

// A request or a response.
struct Message {
  std::string first_line_;
  HeaderList headers_;
  std::string body_;
  // The message ended as its head says, not with the connection.
  bool complete_ = false;
  Stream::ReadResult end_ = Stream::ReadResult::kData;

  std::string Header(std::string_view name) const;
  int status() const;          // of a response; 0: none was read
  std::string method() const;  // of a request
  std::string target() const;  // of a request
  std::size_t received_ = 0;   // bytes, head included
};

// Reads one message. `on_bytes` is called after each read; it may wait, as a
// slow reader does. `max` is the size of each read.
Message ReadMessage(Stream& stream, Clock::time_point until,
                    std::size_t max = 64 * 1024,
                    const std::function<void(std::size_t)>& on_bytes = {});

std::string FormatRequest(const std::string& method, const std::string& target,
                          const HeaderList& headers, const std::string& body);
std::string FormatResponse(int status, const HeaderList& headers,
                           const std::string& body);

// Listens on "IP:port"; returns the descriptor, or -1.
int ListenOn(const std::string& address);

}  // namespace review

#endif  // JUJUBEFRONT_REVIEW_STANDIN_HTTP_H_
