#include "http1/http1_client.h"

#include <algorithm>
#include <charconv>
#include <unordered_set>

#include "base/hashing.h"

namespace jujubefront {
namespace {

constexpr Duration kSweepInterval = std::chrono::seconds(1);
// An idle connection is closed this long before the server's Keep-Alive timeout
// expires.
constexpr Duration kKeepAliveMargin = std::chrono::milliseconds(1000);
// Responses with another request's correlation header that are skipped before
// the connection is treated as broken.
constexpr int kMaxMismatchedResponses = 3;
// A connection is not reused for a repeat of a request that it has carried for
// at least this long. Repeats come within the time of the request.
constexpr Duration kCarriedMemory = std::chrono::seconds(30);

using Clock = std::chrono::steady_clock;

// Idle time from the response's Keep-Alive header (timeout=SECONDS), or nullopt
// if the header is missing or cannot be parsed.
std::optional<Duration> AdvertisedIdleTime(const Http1Response& response) {
  const std::string* value = FindHeader(response.headers_, "Keep-Alive");
  if (value == nullptr) return std::nullopt;
  constexpr std::string_view kTimeout = "timeout=";
  const auto at = value->find(kTimeout);
  if (at == std::string::npos) return std::nullopt;
  int seconds = 0;
  const char* begin = value->data() + at + kTimeout.size();
  const auto [end, error] =
      std::from_chars(begin, value->data() + value->size(), seconds);
  if (error != std::errc() || seconds < 0) return std::nullopt;
  return std::chrono::seconds(seconds);
}

void Write(TcpConnection& socket, const SerializedMessage& message) {
  socket.Write(message.text_);
  if (!message.body_.empty()) socket.WriteShared(message.body_);
}

// The correlation value of a request; empty if it has none, or several, of
// which the server may echo any.
std::string FindCorrelation(const HeaderList& headers, std::string_view name) {
  const auto matches = [&](const auto& header) {
    return SameHeaderName(header.first, name);
  };
  const auto found = std::find_if(headers.begin(), headers.end(), matches);
  if (found == headers.end()) return {};
  const bool is_only =
      std::find_if(std::next(found), headers.end(), matches) == headers.end();
  return is_only ? found->second : std::string();
}

// Requests that a connection has carried, by the hash of their correlation
// value. Forgets them after one to two times kCarriedMemory.
class CarriedRequests {
 public:
  void Add(const std::string& correlation) {
    if (correlation.empty()) return;
    const auto now = Clock::now();
    if (now - since_ > kCarriedMemory) {
      earlier_ = std::exchange(recent_, {});
      since_ = now;
    }
    recent_.insert(HashBytes(correlation));
  }

  bool Contains(const std::string& correlation) const {
    if (correlation.empty()) return false;
    const std::uint64_t hash = HashBytes(correlation);
    return recent_.contains(hash) || earlier_.contains(hash);
  }

 private:
  std::unordered_set<std::uint64_t> recent_;
  std::unordered_set<std::uint64_t> earlier_;
  Clock::time_point since_ = Clock::now();
};

}  // namespace

struct Http1Client::Connection {
  std::uint64_t id_ = 0;
  TcpConnection* socket_ = nullptr;
  std::unique_ptr<Http1ResponseReader> reader_;
  std::uint64_t call_id_ = 0;
  bool busy_ = false;
  bool is_probe_ = false;       // opened by a probe that is still in progress
  bool is_single_use_ = false;  // closed after the current request
  // The current request was passed to the socket.
  bool request_written_ = false;
  // To send once connected.
  std::optional<SerializedMessage> pending_request_;
  std::string correlation_;
  CarriedRequests carried_;
  int mismatched_responses_ = 0;
  Clock::time_point opened_at_;
  Clock::time_point received_at_;  // last byte, or the end of connecting
  Clock::time_point sent_at_;      // the current request
  Clock::time_point idle_until_;
};

Http1Client::Http1Client(Http1ClientOptions options, Handlers handlers)
    : options_(std::move(options)), handlers_(std::move(handlers)) {
  sweep_.setInterval(
      std::chrono::duration_cast<std::chrono::milliseconds>(kSweepInterval));
  connect(&sweep_, &QTimer::timeout, this, [this] { CloseStale(); });
  sweep_.start();
}

Http1Client::~Http1Client() {
  for (auto& [id, connection] : connections_) connection->socket_->Close();
}

void Http1Client::SetAddress(const std::string& address) {
  if (address == address_) return;
  address_ = address;
  CloseIdle();
}

void Http1Client::CloseIdle() {
  while (!idle_.empty()) Remove(*idle_.back());
}

// The server may still send a second copy of its response to an earlier request
// of the connection. If the same request were repeated there, that copy could
// not be told from the response to the repeat.
Http1Client::Connection* Http1Client::TakeIdle(const std::string& correlation) {
  const auto now = Clock::now();
  for (std::size_t i = idle_.size(); i-- > 0;) {
    Connection* connection = idle_[i];
    if (connection->idle_until_ <= now ||
        connection->socket_->HasPendingEnd()) {
      Remove(*connection);
    } else if (!connection->carried_.Contains(correlation)) {
      idle_.erase(idle_.begin() + static_cast<std::ptrdiff_t>(i));
      return connection;
    }
  }
  return nullptr;
}

Http1Client::Connection* Http1Client::OpenNew() {
  TcpConnection* socket = TcpConnection::Open(address_, options_.silence_);
  if (socket == nullptr) return nullptr;
  auto owned = std::make_unique<Connection>();
  Connection* connection = owned.get();
  connection->id_ = ++last_id_;
  connection->socket_ = socket;
  connection->opened_at_ = Clock::now();
  connection->received_at_ = connection->opened_at_;
  connections_[connection->id_] = std::move(owned);
  socket->SetHandlers(
      {.on_connected_ =
           [this, connection] {
             connection->received_at_ = Clock::now();
             if (connection->is_probe_)
               EndProbe(*connection, Http1Probe::kListens);
             if (!connection->pending_request_) return;
             connection->request_written_ = true;
             const auto request =
                 std::exchange(connection->pending_request_, std::nullopt);
             Write(*connection->socket_, *request);
           },
       .on_data_ = [this, connection] { OnData(*connection); },
       .on_flushed_ = {},
       .on_end_ =
           [this, connection](ConnectionEnd end) { OnEnd(*connection, end); }});
  return connection;
}

void Http1Client::Send(std::uint64_t call_id, const Http1Request& request) {
  const bool correlates = !options_.correlation_header_.empty();
  const std::string correlation =
      correlates
          ? FindCorrelation(request.headers_, options_.correlation_header_)
          : "";
  // Without a correlation value, a second copy of an earlier response on the
  // connection could not be told from the response to this request.
  const bool is_single_use = correlates && correlation.empty();
  Connection* connection = is_single_use ? nullptr : TakeIdle(correlation);
  if (connection == nullptr) connection = OpenNew();
  if (connection == nullptr) {
    QTimer::singleShot(0, this, [this, call_id] {
      handlers_.on_failure_(call_id, Http1Failure::kNotSent);
    });
    return;
  }
  calls_[call_id] = connection;
  connection->call_id_ = call_id;
  connection->busy_ = true;
  connection->sent_at_ = Clock::now();
  connection->mismatched_responses_ = 0;
  connection->is_single_use_ = is_single_use;
  connection->reader_ = std::make_unique<Http1ResponseReader>(
      options_.limits_, request.method_ == "HEAD");
  connection->correlation_ = correlation;
  connection->carried_.Add(correlation);
  SerializedMessage serialized = SerializeRequest(request);
  if (connection->socket_->connected()) {
    connection->request_written_ = true;
    Write(*connection->socket_, serialized);
  } else {
    connection->request_written_ = false;
    connection->pending_request_ = std::move(serialized);
  }
}

void Http1Client::Probe() {
  Connection* connection = OpenNew();
  if (connection == nullptr) {
    QTimer::singleShot(0, this,
                       [this] { handlers_.on_probed_(Http1Probe::kUnknown); });
    return;
  }
  connection->is_probe_ = true;
}

void Http1Client::EndProbe(Connection& connection, Http1Probe probe) {
  connection.is_probe_ = false;
  if (connection.socket_->connected() && idle_.size() < options_.max_idle_) {
    connection.idle_until_ = Clock::now() + options_.idle_timeout_;
    idle_.push_back(&connection);
  } else {
    Remove(connection);
  }
  handlers_.on_probed_(probe);
}

bool Http1Client::Abort(std::uint64_t call_id) {
  const auto found = calls_.find(call_id);
  if (found == calls_.end()) return false;
  Connection& connection = *found->second;
  calls_.erase(found);
  connection.busy_ = false;
  Remove(connection);
  return true;
}

std::optional<Http1Silence> Http1Client::GiveUp(std::uint64_t call_id) {
  const auto found = calls_.find(call_id);
  if (found == calls_.end()) return std::nullopt;
  const Connection& connection = *found->second;
  const auto now = Clock::now();
  Http1Silence silence{
      .connection_age_ =
          std::chrono::duration_cast<Duration>(now - connection.opened_at_),
      .silent_ =
          std::chrono::duration_cast<Duration>(now - connection.received_at_)};
  const auto sent_at = connection.sent_at_;
  Abort(call_id);
  silence.closed_idle_ = CloseIdleUnheardSince(sent_at);
  return silence;
}

std::size_t Http1Client::CloseIdleUnheardSince(Clock::time_point since) {
  const std::vector<Connection*> idle = idle_;
  for (Connection* connection : idle) {
    if (connection->received_at_ < since) Remove(*connection);
  }
  return idle.size() - idle_.size();
}

void Http1Client::OnData(Connection& connection) {
  connection.received_at_ = Clock::now();
  // Data on an idle connection belongs to no request, so the connection cannot
  // be reused.
  if (!connection.busy_) return Remove(connection);
  const auto progress = connection.reader_->Read(connection.socket_->inbox());
  connection.socket_->Consume(progress.consumed_);
  if (progress.fault_ != Http1Fault::kNone) {
    return Fail(connection, progress.fault_ == Http1Fault::kOutOfMemory
                                ? Http1Failure::kNoMemory
                                : Http1Failure::kMalformed);
  }
  if (progress.complete_) Complete(connection);
}

bool Http1Client::MatchesCorrelation(const Connection& connection,
                                     const Http1Response& response) const {
  if (connection.correlation_.empty()) return true;
  const std::string* echoed =
      FindHeader(response.headers_, options_.correlation_header_);
  return echoed != nullptr && *echoed == connection.correlation_;
}

void Http1Client::Complete(Connection& connection) {
  Http1Response response = connection.reader_->Take();
  if (!MatchesCorrelation(connection, response)) {
    // Probably a late second response to an earlier request; the matching one
    // may follow.
    const bool skip =
        response.keep_alive_ &&
        ++connection.mismatched_responses_ <= kMaxMismatchedResponses;
    if (!skip) return Fail(connection, Http1Failure::kMalformed);
    if (!connection.socket_->inbox().empty()) OnData(connection);
    return;
  }
  const std::uint64_t call_id = connection.call_id_;
  calls_.erase(call_id);
  connection.busy_ = false;
  KeepOrClose(connection, response);
  handlers_.on_response_(call_id, std::move(response));
}

void Http1Client::KeepOrClose(Connection& connection,
                              const Http1Response& response) {
  Duration idle = options_.idle_timeout_;
  if (const auto advertised = AdvertisedIdleTime(response)) {
    idle = std::min(idle, *advertised - kKeepAliveMargin);
  }
  // With extra bytes after the response, or a request that was not sent
  // completely, the next response could not be matched to its request.
  const bool clean = connection.socket_->inbox().empty() &&
                     connection.socket_->unsent_bytes() == 0;
  if (!response.keep_alive_ || !clean || connection.is_single_use_ ||
      connection.mismatched_responses_ > 0 || idle <= Duration::zero() ||
      idle_.size() >= options_.max_idle_) {
    return Remove(connection);
  }
  connection.idle_until_ = Clock::now() + idle;
  idle_.push_back(&connection);
}

void Http1Client::OnEnd(Connection& connection, ConnectionEnd end) {
  const bool refused = end == ConnectionEnd::kRefused;
  if (connection.is_probe_) {
    return EndProbe(connection,
                    refused ? Http1Probe::kRefused : Http1Probe::kUnknown);
  }
  if (!connection.busy_) return Remove(connection);
  if (end == ConnectionEnd::kTimedOut) {
    CloseIdleUnheardSince(connection.sent_at_);
  }
  if (!connection.request_written_) {
    return Fail(connection,
                refused ? Http1Failure::kRefused : Http1Failure::kNotSent);
  }
  if (end == ConnectionEnd::kFinished) {
    const Http1Progress progress = connection.reader_->ReadEnd();
    if (progress.complete_) {
      Http1Response response = connection.reader_->Take();
      if (MatchesCorrelation(connection, response)) {
        const std::uint64_t call_id = connection.call_id_;
        calls_.erase(call_id);
        connection.busy_ = false;
        Remove(connection);
        return handlers_.on_response_(call_id, std::move(response));
      }
    }
  }
  Fail(connection, Http1Failure::kBroken);
}

void Http1Client::Fail(Connection& connection, Http1Failure failure) {
  const std::uint64_t call_id = connection.call_id_;
  calls_.erase(call_id);
  connection.busy_ = false;
  Remove(connection);
  handlers_.on_failure_(call_id, failure);
}

void Http1Client::Remove(Connection& connection) {
  std::erase(idle_, &connection);
  connection.socket_->Close();
  connections_.erase(connection.id_);
}

void Http1Client::CloseStale() {
  const auto now = Clock::now();
  const std::vector<Connection*> idle = idle_;
  for (Connection* connection : idle) {
    if (connection->idle_until_ <= now) Remove(*connection);
  }
}

}  // namespace jujubefront
