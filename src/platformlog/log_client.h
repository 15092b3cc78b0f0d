#ifndef JUJUBEFRONT_PLATFORMLOG_LOG_CLIENT_H_
#define JUJUBEFRONT_PLATFORMLOG_LOG_CLIENT_H_

#include <QObject>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "http1/http1_client.h"
#include "node/event_types.h"

namespace jujubefront {

struct LogClientOptions {
  std::string address_;  // IP:port
  std::string stream_;
  Duration timeout_ = std::chrono::seconds(5);
};

// HTTP client of the platform's shared log. An append may have taken effect
// even if no answer arrived.
class LogClient : public QObject {
 public:
  explicit LogClient(LogClientOptions options);

  using ReadHandler = std::function<void(std::optional<LogRead>)>;
  using AppendHandler = std::function<void(std::optional<LogOffset>)>;

  // Reads records from an offset on. The handler gets nullopt if the log does
  // not answer.
  void Read(LogOffset from, ReadHandler handler);

  // Appends a record. The handler gets nullopt if its offset is unknown.
  void Append(const std::string& text, AppendHandler handler);

 private:
  // Receives the body of a response with status 200, or nullopt.
  using BodyHandler = std::function<void(std::optional<std::string>)>;

  void Send(Http1Request request, BodyHandler handler);
  void Finish(std::uint64_t call_id, std::optional<std::string> body);

  LogClientOptions options_;
  std::string path_;
  Http1Client client_;
  std::uint64_t last_id_ = 0;
  std::unordered_map<std::uint64_t, BodyHandler> pending_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_PLATFORMLOG_LOG_CLIENT_H_
