#include "model/world.h"

#include "model/backend_fake.h"

namespace jujubefront {
namespace {

constexpr Duration kLogDelay = std::chrono::milliseconds(2);
constexpr Duration kLogTimeout = std::chrono::seconds(5);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);

std::size_t BytesOf(const Payload& body) { return body ? body->size() : 0; }

// Approximate size of a message on the wire, without fixed overhead.
std::size_t SizeOf(const PeerMessage& message) {
  constexpr std::size_t kMemberBytes = 150;
  if (const auto* run = std::get_if<RunRequest>(&message)) {
    return BytesOf(run->body_);
  }
  if (const auto* reply = std::get_if<RunReply>(&message)) {
    return BytesOf(reply->answer_.body_);
  }
  if (const auto* ask = std::get_if<AskReply>(&message)) {
    return ask->members_.size() * kMemberBytes;
  }
  if (const auto* exchange = std::get_if<Exchange>(&message)) {
    std::size_t bytes = exchange->members_.size() * kMemberBytes;
    for (const auto& section : exchange->document_.sections_) {
      bytes += section.text_.size();
    }
    return bytes;
  }
  return 0;
}

}  // namespace

World::World(WorldOptions options)
    : options_(std::move(options)),
      random_{.state_ = options_.seed_},
      now_(options_.start_),
      link_free_at_(options_.start_) {}

void World::At(Timestamp time, std::function<void()> action) {
  schedule_.push(
      {.at_ = std::max(time, now_),
       .order_ = ++last_order_,
       .action_ = std::make_shared<std::function<void()>>(std::move(action))});
}

void World::RunUntil(Timestamp end) {
  while (!schedule_.empty() && schedule_.top().at_ <= end) {
    const Scheduled next = schedule_.top();
    schedule_.pop();
    now_ = next.at_;
    (*next.action_)();
  }
  now_ = end;
}

void World::StartHost(const HostModel& host) {
  ModelNode& node = nodes_[host.node_.name_];
  const std::uint64_t process_number = node.process_number_ + 1;
  node = {};
  node.host_ = host;
  node.process_number_ = process_number;
  node.alive_ = true;
  NodeOptions& options = node.host_.node_;
  options.incarnation_ =
      static_cast<Incarnation>(now_.time_since_epoch().count());
  options.seed_ = NextRandom(random_);
  node.state_ = MakeNode(options, now_);
  by_address_[options.rpc_address_] = options.name_;
  ScheduleWake(node);
}

void World::DispatchEvent(const std::string& name, std::uint64_t process_number,
                          EventBody body) {
  ModelNode& node = nodes_.at(name);
  if (!node.alive_ || node.process_number_ != process_number) return;
  if (node.frozen_) {
    node.pending_events_.push_back(std::move(body));
    return;
  }
  ++totals_.events_;
  const Event event{.now_ = now_, .body_ = std::move(body)};
  for (const Effect& effect : Step(node.state_, node.host_.node_, event)) {
    Execute(node, effect);
  }
  ScheduleWake(node);
}

void World::ScheduleWake(ModelNode& node) {
  const auto next = NextWake(node.state_);
  if (!next || (node.wake_at_ && *node.wake_at_ <= *next)) return;
  node.wake_at_ = next;
  const std::uint64_t process_number = node.process_number_;
  const std::string name = node.host_.node_.name_;
  At(*next, [this, name, process_number, at = *next] {
    ModelNode& woken = nodes_.at(name);
    if (woken.process_number_ != process_number || woken.wake_at_ != at) return;
    woken.wake_at_.reset();
    DispatchEvent(name, process_number, TimeReached{});
  });
}

// Executes the effects of a node in the model.
struct EffectModel {
  World& world_;
  World::ModelNode& node_;

  const std::string& Name() const { return node_.host_.node_.name_; }

  void operator()(const AnswerCaller& effect) const {
    const auto found = node_.handlers_.find(effect.call_id_);
    if (found == node_.handlers_.end()) return;
    const auto handler = std::move(found->second);
    node_.handlers_.erase(found);
    handler(effect);
  }
  void operator()(const SendPeer& effect) const {
    world_.Deliver(Name(), effect);
  }
  void operator()(const WithdrawPeer& effect) const {
    world_.WithdrawRequest(Name(), effect.send_id_);
  }
  void operator()(const ReplyPeer& effect) const {
    world_.Reply(Name(), effect);
  }
  void operator()(const RunBackend& effect) const {
    BackendFake(world_, Name()).Run(effect);
  }
  void operator()(const AbortBackend& effect) const {
    BackendFake(world_, Name()).Abort(effect.run_id_);
  }
  void operator()(const ReadLog& effect) const {
    World* world = &world_;
    const std::string name = Name();
    const std::uint64_t process_number = node_.process_number_;
    const bool reachable = IsLogReachable();
    const Duration delay = reachable ? kLogDelay : kLogTimeout;
    world->At(world->now_ + delay, [=, from = effect.from_] {
      if (!reachable)
        return world->DispatchEvent(name, process_number, LogUnavailable{});
      world->DispatchEvent(name, process_number, ReadFrom(world->log_, from));
    });
  }
  void operator()(const AppendLog& effect) const {
    World* world = &world_;
    LogAppended appended{.append_id_ = effect.append_id_};
    Duration delay = kLogTimeout;
    if (IsLogReachable()) {
      const LogOffset offset = AppendTo(world->log_, effect.text_);
      ++world->totals_.log_appends_;
      if (!world->log_.lose_answers_) {
        appended.offset_ = offset;
        delay = kLogDelay;
      }
    }
    const std::string name = Name();
    const std::uint64_t process_number = node_.process_number_;
    world->At(world->now_ + delay,
              [=] { world->DispatchEvent(name, process_number, appended); });
  }
  void operator()(const StateChange&) const {}
  void operator()(const ExitProcess&) const {
    const std::string name = Name();
    World* world = &world_;
    const std::uint64_t process_number = node_.process_number_;
    // The delay lets messages sent in the same step leave first.
    world->At(world->now_ + std::chrono::milliseconds(200), [=] {
      if (world->nodes_.at(name).process_number_ == process_number)
        world->KillNode(name);
    });
  }

  bool IsLogReachable() const {
    return world_.log_.available_ &&
           !world_.cut_zones_.contains(node_.host_.node_.zone_);
  }
};

void World::Execute(ModelNode& node, const Effect& effect) {
  std::visit(EffectModel{*this, node}, effect);
}

World::ModelNode* World::FindByAddress(const std::string& address) {
  const auto found = by_address_.find(address);
  if (found == by_address_.end()) return nullptr;
  ModelNode& node = nodes_.at(found->second);
  return node.alive_ ? &node : nullptr;
}

bool World::AreCut(const ModelNode& a, const ModelNode& b) const {
  const std::string& first = a.host_.node_.zone_;
  const std::string& second = b.host_.node_.zone_;
  if (first == second) return false;
  return cut_zones_.contains(first) || cut_zones_.contains(second);
}

Duration World::DelayBetween(const ModelNode& a, const ModelNode& b,
                             const PeerMessage& message) {
  const NodeOptions& first = a.host_.node_;
  const NodeOptions& second = b.host_.node_;
  if (first.zone_ == second.zone_) return options_.network_.in_zone_;
  if (first.region_ == second.region_) {
    return options_.network_.between_zones_;
  }
  const auto bytes = static_cast<double>(
      SizeOf(message) + options_.network_.message_overhead_bytes_);
  totals_.crossing_bytes_ += bytes;
  constexpr double kBitsPerByte = 8.0;
  const double seconds =
      bytes * kBitsPerByte / options_.network_.link_bits_per_second_;
  link_free_at_ = std::max(link_free_at_, now_) +
                  Duration(static_cast<std::int64_t>(seconds * 1e6));
  return link_free_at_ - now_ + options_.network_.between_regions_;
}

void World::CompleteRequest(std::uint64_t request_id, EventBody body,
                            Duration delay) {
  At(now_ + delay, [this, request_id, body = std::move(body)] {
    const auto found = in_flight_.find(request_id);
    if (found == in_flight_.end()) return;
    const InFlightRequest request = found->second;
    EraseRequest(request_id);
    DispatchEvent(request.from_, request.from_process_, body);
  });
}

void World::Deliver(const std::string& from, const SendPeer& send) {
  ModelNode& sender = nodes_.at(from);
  const std::uint64_t request_id = ++last_id_;
  InFlightRequest& request = in_flight_[request_id];
  request = {.from_ = from,
             .from_process_ = sender.process_number_,
             .send_id_ = send.send_id_};
  const auto fail = [&](PeerFailure failure, Duration delay) {
    CompleteRequest(request_id,
                    PeerFailed{.send_id_ = send.send_id_, .failure_ = failure},
                    delay);
  };
  fail(PeerFailure::kLost, send.timeout_);
  ModelNode* target = FindByAddress(send.address_);
  if (target == nullptr) {
    return fail(PeerFailure::kNotSent, options_.network_.between_zones_);
  }
  if (AreCut(sender, *target)) {
    // Half of the messages are sent over an open connection and get lost, which
    // the sender notices by its timeout; the others fail to connect.
    if (NextBelow(random_, 2) == 0) {
      fail(PeerFailure::kNotSent, kConnectTimeout);
    }
    return;
  }
  request.to_ = target->host_.node_.name_;
  request.to_process_ = target->process_number_;
  const Duration delay = DelayBetween(sender, *target, send.message_);
  At(now_ + delay, [this, request_id, message = send.message_] {
    const auto found = in_flight_.find(request_id);
    if (found == in_flight_.end()) return;
    const InFlightRequest& arrived = found->second;
    if (AreCut(nodes_.at(arrived.from_), nodes_.at(arrived.to_))) return;
    DispatchEvent(
        arrived.to_, arrived.to_process_,
        PeerRequested{.inbound_id_ = request_id, .message_ = message});
  });
}

void World::Reply(const std::string& from, const ReplyPeer& reply) {
  const auto found = in_flight_.find(reply.inbound_id_);
  if (found == in_flight_.end()) return;
  ModelNode& sender = nodes_.at(from);
  ModelNode& receiver = nodes_.at(found->second.from_);
  const Duration delay = DelayBetween(sender, receiver, reply.message_);
  if (AreCut(sender, receiver)) return;
  if (NextUnit(random_) < lost_reply_share_) return;
  CompleteRequest(reply.inbound_id_,
                  PeerReplied{.send_id_ = found->second.send_id_,
                              .message_ = reply.message_},
                  delay);
}

void World::WithdrawRequest(const std::string& from, std::uint64_t send_id) {
  const auto sent =
      request_of_send_.find({from, nodes_.at(from).process_number_, send_id});
  if (sent == request_of_send_.end()) return;
  const std::uint64_t request_id = sent->second;
  const InFlightRequest request = in_flight_.at(request_id);
  EraseRequest(request_id);
  if (request.to_.empty()) return;
  ModelNode& target = nodes_.at(request.to_);
  if (AreCut(nodes_.at(from), target)) return;
  const Duration delay = DelayBetween(nodes_.at(from), target, PeerRefusal{});
  At(now_ + delay, [this, request, request_id] {
    DispatchEvent(request.to_, request.to_process_,
                  PeerWithdrew{.inbound_id_ = request_id});
  });
}

void World::EraseRequest(std::uint64_t request_id) {
  const auto found = in_flight_.find(request_id);
  const InFlightRequest& request = found->second;
  request_of_send_.erase(
      {request.from_, request.from_process_, request.send_id_});
  in_flight_.erase(found);
}

std::uint64_t World::SendCall(const std::string& entry, CallArrived call,
                              Duration delay, const AnswerHandler& handler) {
  const std::uint64_t call_id = ++last_id_;
  call.call_id_ = call_id;
  const std::uint64_t process_number = nodes_.at(entry).process_number_;
  At(now_ + delay, [this, entry, process_number, call, handler] {
    ModelNode& node = nodes_.at(entry);
    if (!node.alive_ || node.process_number_ != process_number) return;
    node.handlers_[call.call_id_] = handler;
    DispatchEvent(entry, process_number, call);
  });
  return call_id;
}

void World::AbandonCall(const std::string& entry, std::uint64_t call_id) {
  ModelNode& node = nodes_.at(entry);
  if (node.handlers_.erase(call_id) == 0) return;
  DispatchEvent(entry, node.process_number_, CallerGone{.call_id_ = call_id});
}

void World::KillNode(const std::string& name) {
  ModelNode& node = nodes_.at(name);
  node.alive_ = false;
  node.handlers_.clear();
  // Peers that are not cut off see their connection break.
  for (const auto& [request_id, request] : in_flight_) {
    if (request.to_ != name || request.to_process_ != node.process_number_)
      continue;
    if (AreCut(nodes_.at(request.from_), node)) continue;
    CompleteRequest(request_id,
                    PeerFailed{.send_id_ = request.send_id_,
                               .failure_ = PeerFailure::kLost},
                    options_.network_.between_zones_);
  }
}

void World::Freeze(const std::string& name) { nodes_.at(name).frozen_ = true; }

void World::Thaw(const std::string& name) {
  ModelNode& node = nodes_.at(name);
  if (!node.frozen_) return;
  node.frozen_ = false;
  const std::uint64_t process_number = node.process_number_;
  for (EventBody& body : std::exchange(node.pending_events_, {})) {
    DispatchEvent(name, process_number, std::move(body));
  }
}

void World::SetZoneCut(const std::string& zone, bool cut) {
  if (cut) {
    cut_zones_.insert(zone);
  } else {
    cut_zones_.erase(zone);
  }
}

void World::Drain(const std::string& name) {
  DispatchEvent(name, nodes_.at(name).process_number_, DrainRequested{});
}

void World::CrashBackend(const std::string& name, Duration down) {
  BackendFake(*this, name).Crash(down);
}

void World::SlowService(const std::string& service, double factor) {
  for (auto& [name, node] : nodes_) {
    if (node.host_.node_.service_ == service) {
      node.backend_.slowness_ = factor;
    }
  }
}

const NodeState* World::FindState(const std::string& name) const {
  const auto found = nodes_.find(name);
  return found == nodes_.end() ? nullptr : &found->second.state_;
}

std::vector<std::string> World::NodeNames() const {
  std::vector<std::string> names;
  names.reserve(nodes_.size());
  for (const auto& [name, node] : nodes_) names.push_back(name);
  return names;
}

bool World::IsAlive(const std::string& name) const {
  const auto found = nodes_.find(name);
  return found != nodes_.end() && found->second.alive_;
}

const HostModel& World::host(const std::string& name) const {
  return nodes_.at(name).host_;
}

}  // namespace jujubefront
