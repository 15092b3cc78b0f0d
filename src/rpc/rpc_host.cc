#include "rpc/rpc_host.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/async-unix.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <atomic>
#include <deque>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>

#include "rpc/peer_codec.h"

namespace jujubefront {
namespace {

using Command = std::function<void()>;

// Queue of commands from other threads for the RPC thread. Its eventfd is
// written only when the queue was empty, so that a batch of commands causes one
// wake-up.
class CommandQueue {
 public:
  CommandQueue() : event_fd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {}
  ~CommandQueue() { close(event_fd_); }
  CommandQueue(const CommandQueue&) = delete;
  CommandQueue& operator=(const CommandQueue&) = delete;

  int fd() const { return event_fd_; }

  void Push(Command command) {
    bool was_empty = false;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      was_empty = commands_.empty();
      commands_.push_back(std::move(command));
    }
    if (!was_empty) return;
    const std::uint64_t one = 1;
    // This fails only if the counter is full, when the RPC thread is about to
    // wake up anyway.
    [[maybe_unused]] const auto written = write(event_fd_, &one, sizeof(one));
  }

  std::deque<Command> TakeAll() {
    std::uint64_t count = 0;
    [[maybe_unused]] const auto got = read(event_fd_, &count, sizeof(count));
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(commands_, {});
  }

 private:
  int event_fd_;
  std::mutex mutex_;
  std::deque<Command> commands_;
};

capnp::ReaderOptions ReaderOptionsFor(const RpcOptions& options) {
  capnp::ReaderOptions limits;
  limits.traversalLimitInWords =
      options.max_message_bytes_ / sizeof(capnp::word);
  constexpr int kNestingLimit = 16;
  limits.nestingLimit = kNestingLimit;
  return limits;
}

// A connection to a peer that this node opened.
struct Connection {
  kj::Own<kj::AsyncIoStream> stream_;
  kj::Own<capnp::TwoPartyClient> client_;
  wire::Peer::Client peer_ = nullptr;
  bool broken_ = false;
  kj::TimePoint used_at_ = kj::origin<kj::TimePoint>();
};

}  // namespace

// The event loop with all its state. It is used on the RPC thread only, except
// for Start, Post, OpenConnections and the destructor.
class RpcHost::Loop {
 public:
  Loop(RpcOptions options, RpcHandlers handlers)
      : options_(std::move(options)), handlers_(std::move(handlers)) {}

  ~Loop() {
    if (!thread_.joinable()) return;
    Post([this] { stop_->fulfill(); });
    thread_.join();
  }

  std::optional<std::uint16_t> Start() {
    std::promise<std::optional<std::uint16_t>> bound;
    auto result = bound.get_future();
    thread_ = std::thread([this, &bound] { Run(bound); });
    return result.get();
  }

  void Post(Command command) { commands_.Push(std::move(command)); }

  void Send(std::uint64_t send_id, const std::string& address,
            const PeerMessage& message, Duration timeout);
  void Withdraw(std::uint64_t send_id) { sends_.erase(send_id); }
  std::size_t OpenConnections() const { return open_connections_; }
  void Reply(std::uint64_t inbound_id, PeerMessage message);

 private:
  class Server;
  class IgnoreTaskErrors : public kj::TaskSet::ErrorHandler {
    void taskFailed(kj::Exception&&) override {}
  };

  struct PendingSend {
    // Passed to a connection, so the peer may receive the request.
    bool delivered_ = false;
    kj::Maybe<kj::Promise<void>> task_;
  };
  using InboundFulfiller = kj::Own<kj::PromiseFulfiller<PeerMessage>>;

  void Run(std::promise<std::optional<std::uint16_t>>& bound);
  void Listen(std::promise<std::optional<std::uint16_t>>& bound);
  kj::Promise<void> AcceptLoop();
  kj::Promise<void> CommandLoop();
  kj::Promise<void> CloseIdleLoop();
  void RunCommands();
  kj::Promise<std::shared_ptr<Connection>> Connect(const std::string& address);
  kj::Promise<void> Deliver(std::uint64_t send_id, const std::string& address,
                            PeerMessage message);
  void EndSend(std::uint64_t send_id, PeerFailure failure);
  void FailSend(std::uint64_t send_id);

  RpcOptions options_;
  RpcHandlers handlers_;
  CommandQueue commands_;
  std::thread thread_;
  IgnoreTaskErrors ignore_task_errors_;
  // io_, observer_, receiver_ and tasks_ are valid only while the RPC thread
  // runs.
  kj::AsyncIoContext* io_ = nullptr;
  kj::UnixEventPort::FdObserver* observer_ = nullptr;
  kj::Own<kj::PromiseFulfiller<void>> stop_;
  kj::Own<kj::ConnectionReceiver> receiver_;
  kj::Own<kj::TaskSet> tasks_;
  std::unordered_map<std::string, std::shared_ptr<Connection>> connections_;
  std::atomic<std::size_t> open_connections_ = 0;  // size of connections_
  std::unordered_map<std::uint64_t, PendingSend> sends_;
  std::unordered_map<std::uint64_t, InboundFulfiller> inbound_;
  std::uint64_t last_inbound_ = 0;
};

// Receives requests of peers. If Cap'n Proto destroys the promise of a call
// before the reply, because the peer cancelled it or the connection was lost,
// it calls on_withdrawn_.
class RpcHost::Loop::Server final : public wire::Peer::Server {
 public:
  explicit Server(Loop& loop) : loop_(loop) {}

  kj::Promise<void> deliver(DeliverContext context) override {
    auto message = DecodeMessage(context.getParams().getRequest());
    if (!message) {
      EncodeMessage(PeerRefusal{.reason_ = Reason::kNone},
                    context.getResults().initReply());
      return kj::READY_NOW;
    }
    context.releaseParams();
    context.allowCancellation();
    const std::uint64_t inbound_id = ++loop_.last_inbound_;
    auto pair = kj::newPromiseAndFulfiller<PeerMessage>();
    loop_.inbound_.emplace(inbound_id, std::move(pair.fulfiller));
    loop_.handlers_.on_request_(inbound_id, std::move(*message));
    Loop* loop = &loop_;
    return pair.promise
        .then([context](PeerMessage&& reply) mutable {
          EncodeMessage(reply, context.getResults().initReply());
        })
        .attach(kj::defer([loop, inbound_id] {
          // Reply() removes the entry, so no entry means that a reply was
          // given.
          if (loop->inbound_.erase(inbound_id) == 0) return;
          loop->handlers_.on_withdrawn_(inbound_id);
        }));
  }

 private:
  Loop& loop_;
};

void RpcHost::Loop::Run(std::promise<std::optional<std::uint16_t>>& bound) {
  auto io = kj::setupAsyncIo();
  io_ = &io;
  auto stop = kj::newPromiseAndFulfiller<void>();
  stop_ = kj::mv(stop.fulfiller);
  tasks_ = kj::heap<kj::TaskSet>(ignore_task_errors_);
  kj::UnixEventPort::FdObserver observer(
      io.unixEventPort, commands_.fd(),
      kj::UnixEventPort::FdObserver::OBSERVE_READ);
  observer_ = &observer;
  Listen(bound);
  if (receiver_.get() != nullptr) {
    tasks_->add(AcceptLoop());
    tasks_->add(CommandLoop());
    tasks_->add(CloseIdleLoop());
    stop.promise.wait(io.waitScope);
  }
  // Everything that refers to the event loop must be destroyed before it.
  sends_.clear();
  handlers_.on_withdrawn_ = [](std::uint64_t) {};
  tasks_ = nullptr;
  connections_.clear();
  inbound_.clear();
  receiver_ = nullptr;
}

void RpcHost::Loop::Listen(std::promise<std::optional<std::uint16_t>>& bound) {
  try {
    auto address = io_->provider->getNetwork()
                       .parseAddress(options_.listen_address_)
                       .wait(io_->waitScope);
    receiver_ = address->listen();
    bound.set_value(static_cast<std::uint16_t>(receiver_->getPort()));
  } catch (const kj::Exception&) {
    receiver_ = nullptr;
    bound.set_value(std::nullopt);
  }
}

kj::Promise<void> RpcHost::Loop::AcceptLoop() {
  return receiver_->accept().then([this](kj::Own<kj::AsyncIoStream>&& stream) {
    auto network = kj::heap<capnp::TwoPartyVatNetwork>(
        *stream, capnp::rpc::twoparty::Side::SERVER,
        ReaderOptionsFor(options_));
    auto system = kj::heap(capnp::makeRpcServer(
        *network, wire::Peer::Client(kj::heap<Server>(*this))));
    auto ended = network->onDisconnect();
    // Attachments are destroyed in the order in which they were added: the RPC
    // system before its network, and that before the stream.
    tasks_->add(ended.attach(kj::mv(system))
                    .attach(kj::mv(network))
                    .attach(kj::mv(stream)));
    return AcceptLoop();
  });
}

kj::Promise<void> RpcHost::Loop::CommandLoop() {
  return observer_->whenBecomesReadable().then([this] {
    RunCommands();
    return CommandLoop();
  });
}

// Closes connections that no request has used for idle_timeout_. Over time a
// node communicates with every other node, and must not keep all these
// connections.
kj::Promise<void> RpcHost::Loop::CloseIdleLoop() {
  auto& timer = io_->provider->getTimer();
  const auto limit = options_.idle_timeout_.count() * kj::MICROSECONDS;
  return timer.afterDelay(limit / 2).then([this, limit, &timer] {
    std::erase_if(connections_, [&](const auto& entry) {
      const Connection& connection = *entry.second;
      // Each request in progress holds another reference to its connection.
      const bool idle = timer.now() - connection.used_at_ > limit;
      return connection.broken_ || (idle && entry.second.use_count() == 1);
    });
    open_connections_ = connections_.size();
    return CloseIdleLoop();
  });
}

void RpcHost::Loop::RunCommands() {
  for (const Command& command : commands_.TakeAll()) command();
}

kj::Promise<std::shared_ptr<Connection>> RpcHost::Loop::Connect(
    const std::string& address) {
  const auto found = connections_.find(address);
  if (found != connections_.end() && !found->second->broken_) {
    return std::shared_ptr<Connection>(found->second);
  }
  auto& timer = io_->provider->getTimer();
  const auto limit = options_.connect_timeout_.count() * kj::MICROSECONDS;
  return io_->provider->getNetwork()
      .parseAddress(address)
      .then([](kj::Own<kj::NetworkAddress>&& parsed) {
        auto connecting = parsed->connect();
        return connecting.attach(kj::mv(parsed));
      })
      .then([this, address](kj::Own<kj::AsyncIoStream>&& stream) {
        // Another request may have connected in the meantime.
        auto& slot = connections_[address];
        if (slot != nullptr && !slot->broken_) return slot;
        slot = std::make_shared<Connection>();
        slot->stream_ = kj::mv(stream);
        slot->client_ = kj::heap<capnp::TwoPartyClient>(*slot->stream_);
        slot->peer_ = slot->client_->bootstrap().castAs<wire::Peer>();
        const std::weak_ptr<Connection> weak = slot;
        tasks_->add(slot->client_->onDisconnect().then([weak] {
          if (const auto connection = weak.lock()) connection->broken_ = true;
        }));
        open_connections_ = connections_.size();
        return slot;
      })
      .exclusiveJoin(
          timer.afterDelay(limit).then([]() -> std::shared_ptr<Connection> {
            kj::throwFatalException(
                KJ_EXCEPTION(OVERLOADED, "connect timeout"));
          }));
}

kj::Promise<void> RpcHost::Loop::Deliver(std::uint64_t send_id,
                                         const std::string& address,
                                         PeerMessage message) {
  return Connect(address).then(
      [this, send_id, message = std::move(message)](
          std::shared_ptr<Connection>&& connection) -> kj::Promise<void> {
        const auto found = sends_.find(send_id);
        if (found != sends_.end()) found->second.delivered_ = true;
        connection->used_at_ = io_->provider->getTimer().now();
        auto request = connection->peer_.deliverRequest();
        auto connection_reference = connection;
        EncodeMessage(message, request.initRequest());
        return request.send()
            .then([this, send_id](auto&& response) {
              auto reply = DecodeMessage(response.getReply());
              if (!reply) return EndSend(send_id, PeerFailure::kMalformed);
              Post([this, send_id] { sends_.erase(send_id); });
              handlers_.on_reply_(send_id, std::move(*reply));
            })
            .attach(kj::mv(connection_reference));
      });
}

void RpcHost::Loop::EndSend(std::uint64_t send_id, PeerFailure failure) {
  // Erased later, since this code runs in the task that the entry owns.
  Post([this, send_id] { sends_.erase(send_id); });
  handlers_.on_failure_(send_id, failure);
}

void RpcHost::Loop::FailSend(std::uint64_t send_id) {
  const auto found = sends_.find(send_id);
  if (found == sends_.end()) return;
  EndSend(send_id, found->second.delivered_ ? PeerFailure::kLost
                                            : PeerFailure::kNotSent);
}

void RpcHost::Loop::Send(std::uint64_t send_id, const std::string& address,
                         const PeerMessage& message, Duration timeout) {
  sends_.emplace(send_id, PendingSend{});
  auto& timer = io_->provider->getTimer();
  const auto limit =
      std::max<std::int64_t>(timeout.count(), 1) * kj::MICROSECONDS;
  auto expired = timer.afterDelay(limit).then([]() -> void {
    kj::throwFatalException(KJ_EXCEPTION(OVERLOADED, "timeout"));
  });
  auto task =
      Deliver(send_id, address, message)
          .exclusiveJoin(kj::mv(expired))
          .catch_([this, send_id](kj::Exception&&) { FailSend(send_id); })
          .eagerlyEvaluate(nullptr);
  const auto found = sends_.find(send_id);
  if (found != sends_.end()) found->second.task_ = kj::mv(task);
}

void RpcHost::Loop::Reply(std::uint64_t inbound_id, PeerMessage message) {
  const auto found = inbound_.find(inbound_id);
  if (found == inbound_.end()) return;
  auto fulfiller = kj::mv(found->second);
  inbound_.erase(found);
  fulfiller->fulfill(std::move(message));
}

RpcHost::RpcHost(RpcOptions options, RpcHandlers handlers)
    : loop_(std::make_unique<Loop>(std::move(options), std::move(handlers))) {}

RpcHost::~RpcHost() = default;

std::optional<std::uint16_t> RpcHost::Start() { return loop_->Start(); }

void RpcHost::Send(std::uint64_t send_id, const std::string& address,
                   PeerMessage message, Duration timeout) {
  loop_->Post([loop = loop_.get(), send_id, address,
               message = std::move(message),
               timeout] { loop->Send(send_id, address, message, timeout); });
}

std::size_t RpcHost::OpenConnections() const {
  return loop_->OpenConnections();
}

void RpcHost::Withdraw(std::uint64_t send_id) {
  loop_->Post([loop = loop_.get(), send_id] { loop->Withdraw(send_id); });
}

void RpcHost::Reply(std::uint64_t inbound_id, PeerMessage message) {
  loop_->Post([loop = loop_.get(), inbound_id, message = std::move(message)] {
    loop->Reply(inbound_id, message);
  });
}

}  // namespace jujubefront
