#include "http1/http1_server.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace jujubefront {
namespace {

constexpr Duration kSweepInterval = std::chrono::seconds(1);
// How long input is still read and discarded after a request was refused.
constexpr Duration kLingerTime = std::chrono::seconds(2);
// Beyond the largest header section, for a chunk's header or a trailer and the
// bytes that arrive with them.
constexpr std::size_t kInboxMargin = 32 * 1024;
// Reading resumes when a quarter of the read-ahead is left.
constexpr std::size_t kResumeDivisor = 4;
// A connection is not closed for memory before it has stalled this long:
// clients that read take their responses within a few milliseconds.
constexpr Duration kMinStall = std::chrono::seconds(1);
// The same for a client that takes its responses slowly but steadily.
constexpr Duration kMinSlowReading = std::chrono::seconds(3);
// Part of the limit that is kept back for connections that store little.
constexpr std::size_t kKeptBackDivisor = 8;
constexpr std::size_t kLittleStored = std::size_t{32} * 1024;
constexpr Duration kReliefInterval = std::chrono::milliseconds(50);
// Connections closed at a time when all are in use: the search for them visits
// every connection.
constexpr std::size_t kPlacesDivisor = 64;

using Clock = std::chrono::steady_clock;

// Stalled connections are closed until this much is used: without a margin,
// reading would pause again after the next response.
std::size_t RelievedBytes(const ClientBuffers& buffers) {
  return buffers.limit_ / 4 * 3;
}

// What a request occupies beside the MessageMemory.
std::size_t SizeOf(const Http1Request& request) {
  std::size_t bytes = request.target_.size();
  if (!request.body_.counted()) bytes += request.body_.size();
  for (const auto& [name, value] : request.headers_) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

int StatusOf(Http1Fault fault) {
  switch (fault) {
    case Http1Fault::kHeaderTooLarge:
      return 431;
    case Http1Fault::kBodyTooLarge:
      return 413;
    case Http1Fault::kOutOfMemory:
      return 503;
    case Http1Fault::kUnsupportedCoding:
      return 501;
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
  bool paused_ = false;  // reading is paused until memory is free
  std::uint32_t peer_ip_ = 0;
  // Since when a request is stored that may not be read yet.
  std::optional<Clock::time_point> blocked_since_;
  std::size_t charged_ = 0;        // in ClientBuffers
  std::size_t message_bytes_ = 0;  // of the open request, or read of the header
  std::uint64_t written_ = 0;      // response bytes
  std::uint64_t taken_ = 0;        // those that the client has acknowledged
  Clock::time_point taken_at_;     // last progress, or start of the responses
  // The responses up to here were written by then. Moves on whenever the client
  // has taken them.
  std::uint64_t pending_until_ = 0;
  Clock::time_point pending_since_;
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
  relief_.setInterval(
      std::chrono::duration_cast<std::chrono::milliseconds>(kReliefInterval));
  connect(&relief_, &QTimer::timeout, this, [this] { RelieveMemory(); });
}

Http1Server::~Http1Server() {
  for (auto& [id, connection] : connections_) {
    ChangeUse(connection->charged_, 0);
    connection->socket_->Close();
  }
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
  if (connections_.size() >= options_.max_connections_ && !FreePlaces()) {
    socket->Abort();
    return;
  }
  auto owned = std::make_unique<Connection>();
  Connection* connection = owned.get();
  connection->id_ = ++last_id_;
  connection->socket_ = socket;
  connection->state_since_ = Clock::now();
  connection->peer_ip_ = socket->PeerIp();
  connection->reader_ = std::make_unique<Http1RequestReader>(options_.limits_);
  socket->SetInboxLimit(InboxLimit());
  connections_[connection->id_] = std::move(owned);
  socket->SetHandlers(
      {.on_connected_ = {},
       .on_data_ = [this, connection] { OnData(*connection); },
       .on_flushed_ = [this, connection] { OnFlushed(*connection); },
       .on_end_ =
           [this, connection](ConnectionEnd end) {
             // The kernel's own limit for a client that takes nothing.
             if (end == ConnectionEnd::kTimedOut &&
                 connection->socket_->unsent_bytes() > 0) {
               return CutOff(connection->id_, ClientCutOff::kStalled);
             }
             OnEnd(*connection);
           }});
}

void Http1Server::OnData(Connection& connection) {
  if (connection.close_when_flushed_) {
    connection.socket_->Consume(connection.socket_->inbox().size());
    return;
  }
  const bool slow = connection.socket_->unsent_bytes() > options_.max_unsent_;
  const auto inbox = connection.socket_->inbox();
  if (connection.request_id_ != 0 || slow) {
    if (slow && !inbox.empty() && !connection.blocked_since_) {
      connection.blocked_since_ = Clock::now();
    }
    if (inbox.size() >= options_.max_read_ahead_) {
      connection.socket_->SetReading(false);
    }
    return Account(connection);
  }
  if (inbox.empty()) return;
  if (!MayRead(connection)) return PauseReading(connection);
  if (!connection.reader_->started()) {
    connection.state_since_ = Clock::now();
    connection.socket_->SetInboxLimit(InboxLimit());
    // The options may have changed since the connection opened.
    connection.reader_->SetLimits(options_.limits_);
  }
  reading_id_ = connection.id_;
  const Http1Progress progress = connection.reader_->Read(inbox);
  reading_id_ = 0;
  connection.socket_->Consume(progress.consumed_);
  // Bodies are counted by MessageMemory while they are read.
  if (!connection.reader_->header_complete()) {
    connection.message_bytes_ += progress.consumed_;
  }
  if (progress.fault_ != Http1Fault::kNone) {
    return Refuse(connection, progress.fault_);
  }
  if (!progress.complete_) {
    if (!connection.sent_continue_ && connection.reader_->expects_continue()) {
      connection.sent_continue_ = true;
      Send(connection, {.text_ = "HTTP/1.1 100 Continue\r\n\r\n"});
    }
    connection.socket_->SetReading(true);
    return Account(connection);
  }
  Http1Request request = connection.reader_->Take();
  connection.sent_continue_ = false;
  connection.request_id_ = ++last_id_;
  connection.keep_alive_ = request.keep_alive_;
  connection.answers_head_ = request.method_ == "HEAD";
  connection.state_since_ = Clock::now();
  if (connection.blocked_since_) {
    request.waited_ = std::chrono::duration_cast<Duration>(
        connection.state_since_ - *connection.blocked_since_);
    connection.blocked_since_.reset();
  }
  connection.message_bytes_ = SizeOf(request);
  requests_[connection.request_id_] = &connection;
  Account(connection);
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
  connection.message_bytes_ = 0;
  connection.socket_->SetReading(true);
  Send(connection, SerializeResponse(response, false));
  Finish(connection);
}

void Http1Server::OnFlushed(Connection& connection) {
  if (connection.lingering_) return connection.socket_->FinishWriting();
  if (connection.close_when_flushed_) return Remove(connection);
  if (connection.request_id_ == 0) ResumeReading(connection);
  Account(connection);
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
  connection.message_bytes_ = 0;
  Send(connection, SerializeResponse(response, connection.answers_head_));
  Finish(connection);
}

void Http1Server::Finish(Connection& connection) {
  if (!connection.keep_alive_) {
    connection.close_when_flushed_ = true;
    connection.socket_->Consume(connection.socket_->inbox().size());
    Account(connection);
    if (connection.socket_->unsent_bytes() == 0) OnFlushed(connection);
    return;
  }
  ResumeReading(connection);
  Account(connection);
}

void Http1Server::ResumeReading(Connection& connection) {
  // Reading goes on only as the client's stored requests are answered.
  const std::size_t stored = connection.socket_->inbox().size();
  if (stored <= options_.max_read_ahead_ / kResumeDivisor &&
      !connection.paused_) {
    connection.socket_->SetReading(true);
  }
  // A pipelined request is read from the event loop, so that many of them do
  // not lead to deep recursion.
  if (stored > 0) ReadLater(connection.id_);
}

void Http1Server::ReadLater(std::uint64_t connection_id) {
  QTimer::singleShot(0, this, [this, connection_id] {
    const auto found = connections_.find(connection_id);
    if (found != connections_.end()) OnData(*found->second);
  });
}

void Http1Server::Send(Connection& connection,
                       const SerializedMessage& message) {
  if (connection.written_ == connection.taken_) {
    connection.taken_at_ = Clock::now();
    connection.pending_since_ = connection.taken_at_;
    connection.pending_until_ = connection.written_ + message.size();
  }
  connection.written_ += message.size();
  connection.socket_->Write(message.text_);
  if (!message.body_.empty()) connection.socket_->WriteShared(message.body_);
}

void Http1Server::UpdateProgress(Connection& connection) {
  if (connection.written_ == connection.taken_) return;
  const std::uint64_t taken =
      connection.written_ -
      std::min<std::uint64_t>(connection.written_,
                              connection.socket_->undelivered_bytes());
  if (taken <= connection.taken_) return;
  connection.taken_ = taken;
  connection.taken_at_ = Clock::now();
  if (connection.taken_ < connection.pending_until_) return;
  connection.pending_until_ = connection.written_;
  connection.pending_since_ = connection.taken_at_;
}

std::size_t Http1Server::StoredBytes(const Connection& connection) const {
  return connection.socket_->inbox().size() +
         connection.socket_->copied_unsent_bytes() + connection.message_bytes_;
}

void Http1Server::ChangeUse(std::size_t from, std::size_t to) {
  if (options_.buffers_ == nullptr) return;
  options_.buffers_->used_ += to - from;
  if (options_.buffers_->memory_ != nullptr) {
    options_.buffers_->memory_->used_ += to - from;
  }
}

void Http1Server::Account(Connection& connection) {
  if (options_.buffers_ == nullptr) return;
  const std::size_t stored = StoredBytes(connection);
  ChangeUse(connection.charged_, stored);
  connection.charged_ = stored;
  // Responses may exceed the limit without a connection being paused.
  if (IsMemoryUsedUp() && !relief_.isActive()) relief_.start();
}

bool Http1Server::IsMemoryUsedUp() const {
  return options_.buffers_ != nullptr &&
         options_.buffers_->used_ > options_.buffers_->limit_;
}

bool Http1Server::MayRead(const Connection& connection) const {
  if (!IsMemoryUsedUp()) return true;
  // One that has been paused waits until memory is free.
  if (connection.blocked_since_) return false;
  const ClientBuffers& buffers = *options_.buffers_;
  return buffers.used_ <= buffers.limit_ + buffers.limit_ / kKeptBackDivisor &&
         StoredBytes(connection) <= kLittleStored;
}

void Http1Server::PauseReading(Connection& connection) {
  if (!connection.blocked_since_) connection.blocked_since_ = Clock::now();
  connection.socket_->SetReading(false);
  Account(connection);
  if (connection.paused_) return;
  connection.paused_ = true;
  paused_.push_back(connection.id_);
  ++options_.buffers_->paused_;
  if (!relief_.isActive()) relief_.start();
}

void Http1Server::RelieveMemory() {
  const auto now = Clock::now();
  if (IsMemoryUsedUp()) {
    // Slow readers come first, then requests that do not arrive completely.
    std::vector<std::tuple<bool, Clock::time_point, std::uint64_t>> stalled;
    for (const auto& [id, connection] : connections_) {
      UpdateProgress(*connection);
      const bool unsent = connection->socket_->unsent_bytes() > 0;
      const bool partial = connection->request_id_ == 0 &&
                           !connection->paused_ &&
                           connection->reader_->started();
      if (!unsent && !partial) continue;
      // Large bodies count in the memory of messages.
      if (connection->charged_ == 0) continue;
      const auto since =
          unsent ? connection->taken_at_ : connection->state_since_;
      if (now - since >= kMinStall) stalled.emplace_back(!unsent, since, id);
    }
    std::sort(stalled.begin(), stalled.end());
    for (const auto& [partial, since, id] : stalled) {
      if (options_.buffers_->used_ <= RelievedBytes(*options_.buffers_)) break;
      CutOff(id, ClientCutOff::kMemory);
    }
  }
  if (IsMemoryUsedUp()) {
    const auto holdings =
        FindHoldings(kMinSlowReading, [](const Connection& connection) {
          return connection.socket_->copied_unsent_bytes();
        });
    for (const Holding& holding : holdings) {
      if (options_.buffers_->used_ <= RelievedBytes(*options_.buffers_)) break;
      CutOff(holding.connection_id_, ClientCutOff::kMemory);
    }
  }
  if (IsMemoryUsedUp()) return;
  relief_.stop();
  std::vector<std::uint64_t> resumed;
  resumed.swap(paused_);
  // Those that store least come first: the memory may be used up again by the
  // others.
  std::stable_sort(resumed.begin(), resumed.end(),
                   [&](std::uint64_t first, std::uint64_t second) {
                     return ChargedBytes(first) < ChargedBytes(second);
                   });
  for (const std::uint64_t id : resumed) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) continue;
    found->second->paused_ = false;
    if (found->second->request_id_ == 0) ResumeReading(*found->second);
  }
}

std::vector<Http1Server::Holding> Http1Server::FindHoldings(
    Duration min_time,
    const std::function<std::size_t(const Connection&)>& bytes_of) {
  std::vector<Holding> holdings;
  const auto now = Clock::now();
  for (const auto& [id, connection] : connections_) {
    UpdateProgress(*connection);
    const std::size_t bytes = bytes_of(*connection);
    const auto age = now - (connection->socket_->unsent_bytes() > 0
                                ? connection->pending_since_
                                : connection->state_since_);
    if (bytes == 0 || age < min_time) continue;
    holdings.push_back(
        {.connection_id_ = id,
         .bytes_ = bytes,
         .byte_seconds_ = static_cast<double>(bytes) *
                          std::chrono::duration<double>(age).count()});
  }
  std::sort(holdings.begin(), holdings.end(),
            [](const Holding& first, const Holding& second) {
              return first.byte_seconds_ > second.byte_seconds_;
            });
  return holdings;
}

bool Http1Server::HasLargeResponse(const Connection& connection) const {
  return connection.socket_->unsent_bytes() >
         std::max(options_.max_unsent_, kSmallMessageBytes);
}

void Http1Server::FreeMemory(std::size_t bytes) {
  // The search visits every connection, and many messages may find no room.
  if (Clock::now() < nothing_to_free_until_) return;
  const auto holdings =
      FindHoldings(kMinStall, [this](const Connection& connection) {
        if (HasLargeResponse(connection)) {
          return connection.socket_->unsent_bytes();
        }
        const bool is_incomplete =
            connection.request_id_ == 0 && connection.id_ != reading_id_;
        return is_incomplete ? connection.reader_->body_bytes() : 0;
      });
  std::size_t freed = 0;
  for (const Holding& holding : holdings) {
    if (freed >= bytes) return;
    freed += holding.bytes_;
    Connection& connection = *connections_.at(holding.connection_id_);
    if (HasLargeResponse(connection)) {
      CutOff(holding.connection_id_, ClientCutOff::kMemory);
    } else {
      Refuse(connection, Http1Fault::kOutOfMemory);
    }
  }
  if (freed < bytes) nothing_to_free_until_ = Clock::now() + kReliefInterval;
}

std::size_t Http1Server::ChargedBytes(std::uint64_t connection_id) const {
  const auto found = connections_.find(connection_id);
  return found == connections_.end() ? 0 : found->second->charged_;
}

bool Http1Server::FreePlaces() {
  // By address: ids of the idle connections, and of those whose request has not
  // arrived completely, the oldest first.
  struct Candidates {
    std::vector<std::pair<Clock::time_point, std::uint64_t>> idle_;
    std::vector<std::pair<Clock::time_point, std::uint64_t>> partial_;
  };
  std::map<std::uint32_t, Candidates> by_address;
  for (const auto& [id, connection] : connections_) {
    if (connection->request_id_ != 0 || connection->close_when_flushed_ ||
        connection->socket_->unsent_bytes() > 0) {
      continue;
    }
    Candidates& candidates = by_address[connection->peer_ip_];
    const bool partial =
        connection->reader_->started() || !connection->socket_->inbox().empty();
    (partial ? candidates.partial_ : candidates.idle_)
        .emplace_back(connection->state_since_, id);
  }
  std::vector<std::pair<Clock::time_point, std::uint64_t>> chosen;
  for (auto& [address, candidates] : by_address) {
    if (candidates.idle_.size() > chosen.size()) chosen = candidates.idle_;
  }
  if (chosen.empty()) {
    for (auto& [address, candidates] : by_address) {
      if (candidates.partial_.size() > chosen.size()) {
        chosen = candidates.partial_;
      }
    }
  }
  std::sort(chosen.begin(), chosen.end());
  const std::size_t wanted =
      std::max<std::size_t>(1, options_.max_connections_ / kPlacesDivisor);
  std::size_t freed = 0;
  for (const auto& [since, id] : chosen) {
    if (freed >= wanted) break;
    // A request that has just arrived is read.
    if (connections_.at(id)->socket_->HasPendingEnd()) continue;
    CutOff(id, ClientCutOff::kPlaces);
    ++freed;
  }
  return connections_.size() < options_.max_connections_;
}

void Http1Server::CutOff(std::uint64_t connection_id, ClientCutOff reason) {
  const auto found = connections_.find(connection_id);
  if (found == connections_.end()) return;
  Connection& connection = *found->second;
  if (options_.buffers_ != nullptr) {
    switch (reason) {
      case ClientCutOff::kStalled:
        ++options_.buffers_->stalled_;
        break;
      case ClientCutOff::kMemory:
        ++options_.buffers_->closed_for_memory_;
        break;
      case ClientCutOff::kPlaces:
        ++options_.buffers_->closed_for_places_;
        break;
    }
  }
  // A reset also frees the responses that the kernel stores.
  if (reason != ClientCutOff::kPlaces) connection.socket_->Abort();
  OnEnd(connection);
  if (handlers_.on_cut_off_) handlers_.on_cut_off_(reason);
}

std::size_t Http1Server::InboxLimit() const {
  return std::max<std::size_t>(
      options_.max_read_ahead_,
      options_.limits_.max_header_bytes_ + kInboxMargin);
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
  ChangeUse(connection.charged_, 0);
  connection.socket_->Close();
  connections_.erase(connection.id_);
}

void Http1Server::CloseStale() {
  // Another server of the process may have used the memory up.
  if (IsMemoryUsedUp() && !relief_.isActive()) relief_.start();
  const auto now = Clock::now();
  std::vector<Connection*> stale;
  std::vector<std::uint64_t> stalled;
  for (const auto& [id, connection] : connections_) {
    UpdateProgress(*connection);
    if (connection->written_ > connection->taken_ &&
        now - connection->taken_at_ > options_.stall_timeout_) {
      stalled.push_back(id);
      continue;
    }
    if (connection->request_id_ != 0 || connection->paused_) continue;
    const auto age = now - connection->state_since_;
    Duration limit = options_.idle_timeout_;
    if (connection->socket_->unsent_bytes() > 0) continue;
    if (connection->lingering_) {
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
  for (const std::uint64_t id : stalled) CutOff(id, ClientCutOff::kStalled);
}

}  // namespace jujubefront
