#ifndef JUJUBEFRONT_HTTP1_HTTP1_SERVER_H_
#define JUJUBEFRONT_HTTP1_HTTP1_SERVER_H_

#include <QTimer>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time_types.h"
#include "http1/http1_codec.h"
#include "netio/tcp_listener.h"

namespace jujubefront {

struct Http1ServerOptions {
  Http1Limits limits_;
  Duration header_timeout_ = std::chrono::seconds(3);
  Duration idle_timeout_ = std::chrono::seconds(15);
  std::size_t max_connections_ = 3000;
  // Bytes of pipelined requests that are stored per connection. Raised to the
  // largest header section where that is more.
  std::size_t max_read_ahead_ = 64 * 1024;
  // A client's next request is not read while more response bytes than this
  // are unsent.
  std::size_t max_unsent_ = 64 * 1024;
  // A client that takes no response bytes for this long is disconnected.
  Duration stall_timeout_ = std::chrono::seconds(20);
  ClientBuffers* buffers_ = nullptr;  // not owned; nullptr: unlimited
  SilenceOptions silence_;
  // Builds the response to an invalid or oversized request. Default: a status
  // without a body.
  std::function<Http1Response(Http1Fault fault)> refusal_;
};

// HTTP/1.1 server on Qt's event loop. It handles one request at a time per
// connection, passes on complete messages only and reports clients that
// disconnect before their response. What it stores for a client is bounded per
// connection and, by ClientBuffers, for all servers of the process together.
class Http1Server : public QObject {
 public:
  struct Handlers {
    // Each request must be answered by exactly one call of Answer() or Drop().
    std::function<void(std::uint64_t request_id, Http1Request request)>
        on_request_;
    // The client disconnected before its request was answered.
    std::function<void(std::uint64_t request_id)> on_client_gone_;
    // An invalid or oversized request was refused. May be empty.
    std::function<void(Http1Fault fault)> on_refused_;
    // The connection of a client was closed. May be empty.
    std::function<void(ClientCutOff reason)> on_cut_off_;
  };

  Http1Server(Http1ServerOptions options, Handlers handlers);
  ~Http1Server() override;

  bool Listen(const std::string& address);
  std::uint16_t port() const { return listener_.serverPort(); }

  // Sets the options for connections and requests that begin from now on.
  void SetOptions(const Http1ServerOptions& options);

  // Sends the response to a request. Does nothing if the client has
  // disconnected.
  void Answer(std::uint64_t request_id, Http1Response response);

  // Resets the connection of a request instead of answering it.
  void Drop(std::uint64_t request_id);

  // Sends "Connection: close" with every response from now on.
  void StartClosing() { closing_ = true; }

  // Accepts no connections from now on; those that are open stay.
  void StopAccepting() { listener_.close(); }

  std::size_t unanswered() const { return requests_.size(); }
  std::size_t connections() const { return connections_.size(); }
  // Response bytes of all connections that are still buffered for sending.
  std::size_t unsent_bytes() const;
  // Response bytes that clients have not acknowledged yet.
  std::size_t undelivered_bytes() const;

  // Closes connections whose clients have been slow to take a large response,
  // and refuses requests whose body has been incomplete for long, until as many
  // bytes are free. Those that have stored most for longest come first.
  void FreeMemory(std::size_t bytes);

 private:
  struct Connection;

  void OnConnection(TcpConnection* socket);
  void OnData(Connection& connection);
  void OnEnd(Connection& connection);
  void Refuse(Connection& connection, Http1Fault fault);
  void OnFlushed(Connection& connection);
  void Finish(Connection& connection);
  void ResumeReading(Connection& connection);
  void ReadLater(std::uint64_t connection_id);
  void Send(Connection& connection, const SerializedMessage& message);
  // What a connection stores for a slow client, and for how long.
  struct Holding {
    std::uint64_t connection_id_ = 0;
    std::size_t bytes_ = 0;
    double byte_seconds_ = 0.0;
  };

  // Those of at least this long, the largest byte_seconds_ first. `bytes_of`:
  // what a connection would free; 0: it is left out.
  std::vector<Holding> FindHoldings(
      Duration min_time,
      const std::function<std::size_t(const Connection&)>& bytes_of);
  bool HasLargeResponse(const Connection& connection) const;
  // Updates the bytes that the client has taken.
  static void UpdateProgress(Connection& connection);
  // Updates what the connection counts for in ClientBuffers.
  void Account(Connection& connection);
  bool IsMemoryUsedUp() const;
  std::size_t StoredBytes(const Connection& connection) const;
  void ChangeUse(std::size_t from, std::size_t to);
  // Whether a request may be read. Connections that store little may use the
  // share that is kept back for them.
  bool MayRead(const Connection& connection) const;
  std::size_t ChargedBytes(std::uint64_t connection_id) const;
  void PauseReading(Connection& connection);
  // Closes stalled connections, the longest stalled first, and then those that
  // have stored most for longest, until the memory suffices. Resumes those that
  // were paused.
  void RelieveMemory();
  // Closes connections without an open request, those of the address with the
  // most idle ones first. Returns false if there are none.
  bool FreePlaces();
  void CutOff(std::uint64_t connection_id, ClientCutOff reason);
  std::size_t InboxLimit() const;
  void CloseStale();
  void Remove(Connection& connection);

  Http1ServerOptions options_;
  Handlers handlers_;
  TcpListener listener_;
  QTimer sweep_;
  QTimer relief_;                      // runs while connections are paused
  std::vector<std::uint64_t> paused_;  // ids of connections
  bool closing_ = false;
  std::uint64_t last_id_ = 0;
  std::uint64_t reading_id_ = 0;  // connection from which a request is read
  std::chrono::steady_clock::time_point nothing_to_free_until_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::unordered_map<std::uint64_t, Connection*> requests_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_HTTP1_HTTP1_SERVER_H_
