#include "http1/http1_server.h"

namespace jujubefront {
namespace {

constexpr Duration kSweepInterval = std::chrono::seconds(1);
// A client that has not received its response completely by then is
// disconnected.
constexpr Duration kWriteTimeout = std::chrono::seconds(20);
// How long input is still read and discarded after a request was refused.
constexpr Duration kLingerTime = std::chrono::seconds(2);
// Limit for buffered input of pipelined requests; reading stops above it.
constexpr std::size_t kMaxPipelinedBytes = 256 * 1024;
// A client's next request is not read while more response bytes than this are
// unsent.
constexpr std::size_t kMaxUnsentBytes = 64 * 1024;

using Clock = std::chrono::steady_clock;

int StatusOf(Http1Fault fault) {
  switch (fault) {
    case Http1Fault::kHeaderTooLarge:
      return 431;
    case Http1Fault::kBodyTooLarge:
      return 413;
    case Http1Fault::kOutOfMemory:
      return 503;
    case Http1Fault::kNone:
    case Http1Fault::kMalformed:
    case Http1Fault::kCutOff:
      return 400;
  }
  return 400;
}

}  // namespace

struct Http1Server::Connection {
  std::uint64_t id_ = 0;
  TcpConnection* socket_ = nullptr;
  std::unique_ptr<Http1RequestReader> reader_;
  std::uint64_t request_id_ = 0;  // 0: no request is being answered
  bool answers_head_ = false;
  bool keep_alive_ = true;
  bool close_when_flushed_ = false;
  // The request was refused before it was read completely. Further input is
  // read and discarded: closing a socket with unread input resets the
  // connection, and the client would lose the response.
  bool lingering_ = false;
  bool sent_continue_ = false;
  Clock::time_point state_since_;  // start of the current state (reading,
                                   // answering, idle, lingering)
};

Http1Server::Http1Server(Http1ServerOptions options, Handlers handlers)
    : options_(std::move(options)),
      handlers_(std::move(handlers)),
      listener_(options_.silence_,
                [this](TcpConnection* s) { OnConnection(s); }) {
  sweep_.setInterval(
      std::chrono::duration_cast<std::chrono::milliseconds>(kSweepInterval));
  connect(&sweep_, &QTimer::timeout, this, [this] { CloseStale(); });
  sweep_.start();
}

Http1Server::~Http1Server() {
  for (auto& [id, connection] : connections_) connection->socket_->Close();
}

bool Http1Server::Listen(const std::string& address) {
  return listener_.Listen(address);
}

void Http1Server::SetOptions(const Http1ServerOptions& options) {
  options_ = options;
}

std::size_t Http1Server::unsent_bytes() const {
  std::size_t total = 0;
  for (const auto& [id, connection] : connections_) {
    total += connection->socket_->unsent_bytes();
  }
  return total;
}

std::size_t Http1Server::undelivered_bytes() const {
  std::size_t total = 0;
  for (const auto& [id, connection] : connections_) {
    total += connection->socket_->undelivered_bytes();
  }
  return total;
}

void Http1Server::OnConnection(TcpConnection* socket) {
  if (connections_.size() >= options_.max_connections_) {
    socket->Abort();
    return;
  }
  auto owned = std::make_unique<Connection>();
  Connection* connection = owned.get();
  connection->id_ = ++last_id_;
  connection->socket_ = socket;
  connection->state_since_ = Clock::now();
  connection->reader_ = std::make_unique<Http1RequestReader>(options_.limits_);
  connections_[connection->id_] = std::move(owned);
  socket->SetHandlers(
      {.on_connected_ = {},
       .on_data_ = [this, connection] { OnData(*connection); },
       .on_flushed_ = [this, connection] { OnFlushed(*connection); },
       .on_end_ = [this, connection](ConnectionEnd) { OnEnd(*connection); }});
}

void Http1Server::OnData(Connection& connection) {
  if (connection.close_when_flushed_) {
    connection.socket_->Consume(connection.socket_->inbox().size());
    return;
  }
  const bool slow = connection.socket_->unsent_bytes() > kMaxUnsentBytes;
  if (connection.request_id_ != 0 || slow) {
    if (connection.socket_->inbox().size() > kMaxPipelinedBytes) {
      connection.socket_->SetReading(false);
    }
    return;
  }
  const auto inbox = connection.socket_->inbox();
  if (inbox.empty()) return;
  if (!connection.reader_->started()) {
    connection.state_since_ = Clock::now();
    // The options may have changed since the connection opened.
    connection.reader_->SetLimits(options_.limits_);
  }
  const Http1Progress progress = connection.reader_->Read(inbox);
  connection.socket_->Consume(progress.consumed_);
  if (progress.fault_ != Http1Fault::kNone) {
    return Refuse(connection, progress.fault_);
  }
  if (!progress.complete_) {
    if (!connection.sent_continue_ && connection.reader_->expects_continue()) {
      connection.sent_continue_ = true;
      connection.socket_->Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return;
  }
  Http1Request request = connection.reader_->Take();
  connection.sent_continue_ = false;
  connection.request_id_ = ++last_id_;
  connection.keep_alive_ = request.keep_alive_;
  connection.answers_head_ = request.method_ == "HEAD";
  connection.state_since_ = Clock::now();
  requests_[connection.request_id_] = &connection;
  handlers_.on_request_(connection.request_id_, std::move(request));
}

void Http1Server::Refuse(Connection& connection, Http1Fault fault) {
  if (handlers_.on_refused_) handlers_.on_refused_(fault);
  Http1Response response = options_.refusal_
                               ? options_.refusal_(fault)
                               : Http1Response{.status_ = StatusOf(fault)};
  // The request was not run, and memory may be available again soon.
  if (fault == Http1Fault::kOutOfMemory) {
    response.headers_.emplace_back("Retry-After", "0.5");
  }
  response.keep_alive_ = false;
  connection.keep_alive_ = false;
  // Frees the partial request.
  connection.reader_ = std::make_unique<Http1RequestReader>(options_.limits_);
  connection.lingering_ = true;
  connection.state_since_ = Clock::now();
  connection.socket_->Write(WriteResponse(response, false));
  Finish(connection);
}

void Http1Server::OnFlushed(Connection& connection) {
  if (connection.lingering_) return connection.socket_->FinishWriting();
  if (connection.close_when_flushed_) return Remove(connection);
  if (connection.request_id_ == 0) ResumeReading(connection);
}

void Http1Server::Answer(std::uint64_t request_id, Http1Response response) {
  const auto found = requests_.find(request_id);
  if (found == requests_.end()) return;
  Connection& connection = *found->second;
  requests_.erase(found);
  connection.request_id_ = 0;
  if (closing_) connection.keep_alive_ = false;
  response.keep_alive_ = connection.keep_alive_;
  connection.state_since_ = Clock::now();
  connection.socket_->Write(WriteResponse(response, connection.answers_head_));
  Finish(connection);
}

void Http1Server::Finish(Connection& connection) {
  if (!connection.keep_alive_) {
    connection.close_when_flushed_ = true;
    if (connection.socket_->unsent_bytes() == 0) OnFlushed(connection);
    return;
  }
  ResumeReading(connection);
}

void Http1Server::ResumeReading(Connection& connection) {
  connection.socket_->SetReading(true);
  // A pipelined request is read from the event loop, so that many of them do
  // not lead to deep recursion.
  if (!connection.socket_->inbox().empty()) {
    const std::uint64_t id = connection.id_;
    QTimer::singleShot(0, this, [this, id] {
      const auto found = connections_.find(id);
      if (found != connections_.end()) OnData(*found->second);
    });
  }
}

void Http1Server::Drop(std::uint64_t request_id) {
  const auto found = requests_.find(request_id);
  if (found == requests_.end()) return;
  Connection& connection = *found->second;
  connection.socket_->Abort();
  Remove(connection);
}

void Http1Server::OnEnd(Connection& connection) {
  const std::uint64_t request_id = connection.request_id_;
  Remove(connection);
  if (request_id != 0) handlers_.on_client_gone_(request_id);
}

void Http1Server::Remove(Connection& connection) {
  if (connection.request_id_ != 0) requests_.erase(connection.request_id_);
  connection.socket_->Close();
  connections_.erase(connection.id_);
}

void Http1Server::CloseStale() {
  const auto now = Clock::now();
  std::vector<Connection*> stale;
  for (const auto& [id, connection] : connections_) {
    if (connection->request_id_ != 0) continue;
    const auto age = now - connection->state_since_;
    Duration limit = options_.idle_timeout_;
    if (connection->socket_->unsent_bytes() > 0) {
      limit = kWriteTimeout;
    } else if (connection->lingering_) {
      limit = kLingerTime;
    } else if (connection->reader_->started()) {
      limit = options_.header_timeout_;
      // Receiving the body may take as long as an idle connection is kept.
      if (connection->reader_->header_complete()) {
        limit = options_.idle_timeout_;
      }
    }
    if (age > limit) stale.push_back(connection.get());
  }
  for (Connection* connection : stale) Remove(*connection);
}

}  // namespace jujubefront
