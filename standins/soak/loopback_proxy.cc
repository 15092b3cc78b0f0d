#include "loopback_proxy.h"

#include <QTimer>

namespace jujubefront {
namespace {

constexpr Duration kBlockInterval = std::chrono::milliseconds(2);

std::chrono::milliseconds Millis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

}  // namespace

struct LoopbackProxy::Pair {
  TcpConnection* caller_ = nullptr;
  TcpConnection* server_ = nullptr;
  SilencedDirections silenced_;
  EndlessPart endless_;
};

LoopbackProxy::LoopbackProxy(std::string server)
    : server_(std::move(server)),
      listener_({}, [this](TcpConnection* caller) { OnCaller(caller); }) {}

LoopbackProxy::~LoopbackProxy() {
  while (!pairs_.empty()) Remove(pairs_.begin()->first, true);
}

bool LoopbackProxy::Listen(const std::string& address) {
  return listener_.Listen(address);
}

void LoopbackProxy::Reset() {
  while (!pairs_.empty()) Remove(pairs_.begin()->first, true);
}

void LoopbackProxy::SilenceOpen(SilencedDirections directions) {
  for (auto& [id, pair] : pairs_) {
    pair->silenced_.to_server_ |= directions.to_server_;
    pair->silenced_.to_caller_ |= directions.to_caller_;
  }
}

void LoopbackProxy::AnswerWithoutEnd(const EndlessPart& part, Duration limit) {
  for (auto& [id, pair] : pairs_) {
    pair->silenced_.to_caller_ = true;
    pair->endless_ = part;
    pair->caller_->Write(FirstLine(part, true));
    pair->caller_->Write(part.begin_);
    WriteEndless(id, limit);
  }
}

void LoopbackProxy::WriteEndless(std::uint64_t id, Duration left) {
  QTimer::singleShot(Millis(kBlockInterval), this, [this, id, left] {
    const auto found = pairs_.find(id);
    if (found == pairs_.end()) return;
    if (left <= Duration::zero()) return Remove(id, true);
    WriteMore(*found->second->caller_, found->second->endless_);
    WriteEndless(id, left - kBlockInterval);
  });
}

void LoopbackProxy::OnCaller(TcpConnection* caller) {
  TcpConnection* server = TcpConnection::Open(server_, {});
  if (server == nullptr) return caller->Abort();
  const std::uint64_t id = ++last_id_;
  pairs_[id] = std::make_unique<Pair>(
      Pair{.caller_ = caller, .server_ = server, .silenced_ = silence_new_});
  caller->SetHandlers(
      {.on_connected_ = [] {},
       .on_data_ = [this, id] { Forward(id, true); },
       .on_flushed_ = [] {},
       .on_end_ = [this, id](ConnectionEnd end) { OnEnd(id, true, end); }});
  server->SetHandlers(
      {.on_connected_ = [] {},
       .on_data_ = [this, id] { Forward(id, false); },
       .on_flushed_ = [] {},
       .on_end_ = [this, id](ConnectionEnd end) { OnEnd(id, false, end); }});
}

void LoopbackProxy::Forward(std::uint64_t id, bool to_server) {
  Pair& pair = *pairs_.at(id);
  TcpConnection* from = to_server ? pair.caller_ : pair.server_;
  const std::string bytes(from->inbox());
  from->Consume(bytes.size());
  // Data of one direction keeps its order, as equal timers fire in order.
  const auto deliver = [this, id, to_server, bytes] {
    const auto found = pairs_.find(id);
    if (found == pairs_.end()) return;
    const SilencedDirections& silenced = found->second->silenced_;
    if (to_server ? silenced.to_server_ : silenced.to_caller_) return;
    (to_server ? found->second->server_ : found->second->caller_)->Write(bytes);
  };
  QTimer::singleShot(Millis(delay_), this, deliver);
}

void LoopbackProxy::OnEnd(std::uint64_t id, bool of_caller, ConnectionEnd end) {
  const Pair& pair = *pairs_.at(id);
  // A silenced direction drops the end of the connection as well.
  const bool silenced =
      of_caller ? pair.silenced_.to_server_ : pair.silenced_.to_caller_;
  if (silenced) return;
  QTimer::singleShot(Millis(delay_), this, [this, id, end] {
    Remove(id, end == ConnectionEnd::kBroken);
  });
}

void LoopbackProxy::Remove(std::uint64_t id, bool reset) {
  const auto found = pairs_.find(id);
  if (found == pairs_.end()) return;
  const std::unique_ptr<Pair> pair = std::move(found->second);
  pairs_.erase(found);
  for (TcpConnection* side : {pair->caller_, pair->server_}) {
    reset ? side->Abort() : side->Close();
  }
}

}  // namespace jujubefront
