#ifndef JUJUBEFRONT_HTTP_BACKEND_CLIENT_H_
#define JUJUBEFRONT_HTTP_BACKEND_CLIENT_H_

#include <QObject>
#include <deque>
#include <functional>

#include "http/call_messages.h"
#include "http1/http1_client.h"

namespace jujubefront {

struct BackendClientOptions {
  std::string address_;  // IP:port
  std::uint32_t max_connections_ = 1024;
};

// HTTP client for the local backend server. Never sends a call twice, since a
// call that failed may have run.
class BackendClient : public QObject {
 public:
  using AnswerHandler = std::function<void(BackendAnswered)>;
  using FailureHandler = std::function<void(BackendFailed)>;

  BackendClient(BackendClientOptions options, AnswerHandler on_answer,
                FailureHandler on_failure);

  // Sends a call, which leads to exactly one call of a handler. If all
  // connections are in use, the call waits in a queue.
  void Run(const RunBackend& run, Duration remaining);

  // Cancels a call. The failure handler is called with kAborted later, from the
  // event loop. Does nothing if the call is not open.
  void Abort(std::uint64_t run_id);

 private:
  struct Waiting {
    std::uint64_t run_id_ = 0;
    Http1Request request_;
  };

  void SendNext();
  void OnResponse(std::uint64_t run_id, const Http1Response& response);
  void OnFailure(std::uint64_t run_id, Http1Failure failure);
  void Fail(std::uint64_t run_id, BackendFailure failure);

  BackendClientOptions options_;
  AnswerHandler on_answer_;
  FailureHandler on_failure_;
  Http1Client client_;
  std::uint32_t in_flight_ = 0;
  std::deque<Waiting> waiting_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_HTTP_BACKEND_CLIENT_H_
