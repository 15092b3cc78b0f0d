#ifndef JUJUBEFRONT_STANDINS_TESTBENCH_HTTP_CALLER_H_
#define JUJUBEFRONT_STANDINS_TESTBENCH_HTTP_CALLER_H_

#include <QNetworkAccessManager>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/call_messages.h"

namespace jujubefront {

// A request to send.
struct CallerRequest {
  std::string address_;  // IP:port
  std::string method_ = "GET";
  std::string path_;
  HeaderList headers_;
  std::string body_;
  Duration timeout_ = std::chrono::seconds(10);
};

// The answer to a request. Header names are in lower case.
struct CallerAnswer {
  int status_ = 0;  // 0: no answer
  std::string body_;
  std::map<std::string, std::string> headers_;
};

// An HTTP client that spreads requests over several connection pools in turn.
class HttpCaller : public QObject {
 public:
  using Handler = std::function<void(CallerAnswer)>;

  explicit HttpCaller(std::size_t managers = 1);

  // Sends a request; the handler is called from the event loop.
  void Send(const CallerRequest& request, Handler handler);

  // Sends a request and waits for its answer.
  CallerAnswer Call(const CallerRequest& request);

 private:
  std::vector<std::unique_ptr<QNetworkAccessManager>> managers_;
  std::size_t next_ = 0;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_STANDINS_TESTBENCH_HTTP_CALLER_H_
