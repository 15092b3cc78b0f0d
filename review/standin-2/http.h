#ifndef JUJUBEFRONT_REVIEW_STANDIN_2_HTTP_H_
#define JUJUBEFRONT_REVIEW_STANDIN_2_HTTP_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

// Plain HTTP/1.1 over blocking sockets, for the stand-ins of the review.
namespace review {

using Clock = std::chrono::steady_clock;
using HeaderList = std::vector<std::pair<std::string, std::string>>;

struct Request {
  std::string method_;
  std::string target_;
  HeaderList headers_;
  std::string body_;
};

struct Response {
  int status_ = 0;
  HeaderList headers_;
  std::string body_;
  bool complete_ = false;
};

// Value of the first header with this name, or an empty text.
std::string HeaderOf(const HeaderList& headers, const std::string& name);

// A TCP connection and the bytes that were received ahead.
class Stream {
 public:
  explicit Stream(int descriptor) : descriptor_(descriptor) {}
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;
  ~Stream();

  // nullptr: the connection was refused or not established in a second. A
  // receive buffer of 0 bytes is left to the kernel.
  static std::unique_ptr<Stream> Connect(const std::string& address,
                                         int receive_buffer = 0);

  bool Write(const std::string& bytes);
  // Waits for bytes until the time is over; false: there are none.
  bool Fill(Clock::time_point until);
  std::optional<Request> ReadRequest(Clock::time_point until);
  // The same, but drops the body and sets only its size.
  std::optional<Request> ReadRequestWithoutBody(Clock::time_point until,
                                                std::size_t& body_bytes);
  // Takes so many bytes at most and drops them. Returns how many there were; 0:
  // the connection has ended, or none came in time.
  std::size_t Skip(std::size_t bytes, Clock::time_point until);
  Response ReadResponse(Clock::time_point until);
  // Wakes a thread that waits on this connection.
  void Shutdown();

 private:
  std::optional<Request> ReadHead(Clock::time_point until);

  int descriptor_;
  std::string received_;
};

// Accepts connections, each served by a thread of its own until the handler
// returns false or the client leaves.
class Server {
 public:
  using Handler = std::function<void(Stream&, const std::atomic<bool>& stop)>;

  explicit Server(Handler handler) : handler_(std::move(handler)) {}
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server() { Stop(); }

  bool Listen(const std::string& address);
  void Stop();

 private:
  void Accept();

  Handler handler_;
  int listener_ = -1;
  std::atomic<bool> stop_ = false;
  std::atomic<int> open_ = 0;
  std::mutex mutex_;
  std::set<Stream*> streams_;
  std::thread acceptor_;
};

std::string WriteResponse(int status, const HeaderList& headers,
                          const std::string& body);
std::string WriteRequest(const Request& request);

}  // namespace review

#endif  // JUJUBEFRONT_REVIEW_STANDIN_2_HTTP_H_
