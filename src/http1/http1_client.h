#ifndef JUJUBEFRONT_HTTP1_HTTP1_CLIENT_H_
#define JUJUBEFRONT_HTTP1_HTTP1_CLIENT_H_

#include <QObject>
#include <QTimer>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time_types.h"
#include "http1/http1_codec.h"
#include "netio/tcp_connection.h"

namespace jujubefront {

// How a call to an HTTP server ended without a usable response.
enum class Http1Failure : std::uint8_t {
  kNotSent,   // no byte of the request was written
  kRefused,   // the same, as nobody listens at the server's address
  kBroken,    // the connection ended within the response, or before it
  kMalformed  // what came is no response to this request
};

// What a probe of the server's address has shown.
enum class Http1Probe : std::uint8_t {
  kListens,
  kRefused,  // nobody listens
  kUnknown,  // no connection, for another reason
};

// Settings of a client.
struct Http1ClientOptions {
  Http1Limits limits_;
  // Kept connections are given up after this much idle time, or sooner where
  // the server's Keep-Alive says so.
  Duration idle_timeout_ = std::chrono::seconds(7);
  std::size_t max_idle_ = 256;
  // Name of a header that the response repeats from the request; a response
  // with another value belongs to another request. Empty: not checked.
  std::string correlation_header_;
  SilenceOptions silence_;
};

// HTTP/1.1 client for one server with kept connections, one request at a time
// on each.
class Http1Client : public QObject {
 public:
  struct Handlers {
    std::function<void(std::uint64_t call_id, Http1Response response)>
        on_response_;
    std::function<void(std::uint64_t call_id, Http1Failure failure)>
        on_failure_;
    std::function<void(Http1Probe probe)> on_probed_;
  };

  Http1Client(Http1ClientOptions options, Handlers handlers);
  ~Http1Client() override;

  // Address for new connections; kept ones to another address are closed.
  void SetAddress(const std::string& address);

  // Sends a request. `call_id` is unique among open calls. A kept connection is
  // looked at for an end that the event loop has not seen yet.
  void Send(std::uint64_t call_id, const Http1Request& request);

  // Opens a connection to learn whether the server still listens. It is kept
  // for a later request.
  void Probe();

  // Gives a call up and closes its connection. No handler is called for it.
  // False when the call is not open.
  bool Abort(std::uint64_t call_id);

  std::size_t open_connections() const { return connections_.size(); }

 private:
  struct Connection;

  Connection* TakeIdle();
  Connection* OpenNew();
  void EndProbe(Connection& connection, Http1Probe probe);
  void OnData(Connection& connection);
  void OnEnd(Connection& connection, ConnectionEnd end);
  bool Belongs(const Connection& connection,
               const Http1Response& response) const;
  void Complete(Connection& connection);
  void Fail(Connection& connection, Http1Failure failure);
  void Park(Connection& connection, const Http1Response& response);
  void Remove(Connection& connection);
  void CloseStale();

  Http1ClientOptions options_;
  Handlers handlers_;
  std::string address_;
  QTimer sweep_;
  std::uint64_t last_id_ = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::vector<Connection*> idle_;  // most recently used last
  std::unordered_map<std::uint64_t, Connection*> calls_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_HTTP1_HTTP1_CLIENT_H_
