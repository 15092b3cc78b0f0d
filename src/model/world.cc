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
  const std::uint64_t life = node.life_ + 1;
  node = {};
  node.host_ = host;
  node.life_ = life;
  node.alive_ = true;
  NodeOptions& options = node.host_.node_;
  options.incarnation_ =
      static_cast<Incarnation>(now_.time_since_epoch().count());
  options.seed_ = NextRandom(random_);
  node.state_ = MakeNode(options, now_);
  by_address_[options.rpc_address_] = options.name_;
  ArmWake(node);
}

void World::Feed(const std::string& name, std::uint64_t life, EventBody body) {
  ModelNode& node = nodes_.at(name);
  if (!node.alive_ || node.life_ != life) return;
  if (node.frozen_) {
    node.held_.push_back(std::move(body));
    return;
  }
  ++totals_.events_;
  const Event event{.now_ = now_, .body_ = std::move(body)};
  for (const Effect& effect : Step(node.state_, node.host_.node_, event)) {
    Execute(node, effect);
  }
  ArmWake(node);
}

void World::ArmWake(ModelNode& node) {
  const auto next = NextWake(node.state_);
  if (!next || (node.wake_at_ && *node.wake_at_ <= *next)) return;
  node.wake_at_ = next;
  const std::uint64_t life = node.life_;
  const std::string name = node.host_.node_.name_;
  At(*next, [this, name, life, at = *next] {
    ModelNode& woken = nodes_.at(name);
    if (woken.life_ != life || woken.wake_at_ != at) return;
    woken.wake_at_.reset();
    Feed(name, life, TimeReached{});
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
    world_.WithdrawFlight(Name(), effect.send_id_);
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
    const std::uint64_t life = node_.life_;
    const bool reachable = IsLogReachable();
    const Duration delay = reachable ? kLogDelay : kLogTimeout;
    world->At(world->now_ + delay, [=, from = effect.from_] {
      if (!reachable) return world->Feed(name, life, LogUnavailable{});
      world->Feed(name, life, ReadFrom(world->log_, from));
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
    const std::uint64_t life = node_.life_;
    world->At(world->now_ + delay, [=] { world->Feed(name, life, appended); });
  }
  void operator()(const StateChange&) const {}
  void operator()(const ExitProcess&) const {
    const std::string name = Name();
    World* world = &world_;
    const std::uint64_t life = node_.life_;
    // The delay lets messages sent in the same step leave first.
    world->At(world->now_ + std::chrono::milliseconds(200), [=] {
      if (world->nodes_.at(name).life_ == life) world->KillNode(name);
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

void World::EndFlight(std::uint64_t flight_id, EventBody body, Duration delay) {
  At(now_ + delay, [this, flight_id, body = std::move(body)] {
    const auto found = flights_.find(flight_id);
    if (found == flights_.end()) return;
    const Flight flight = found->second;
    EraseFlight(flight_id);
    Feed(flight.from_, flight.from_life_, body);
  });
}

void World::Deliver(const std::string& from, const SendPeer& send) {
  ModelNode& sender = nodes_.at(from);
  const std::uint64_t flight_id = ++last_id_;
  Flight& flight = flights_[flight_id];
  flight = {
      .from_ = from, .from_life_ = sender.life_, .send_id_ = send.send_id_};
  const auto fail = [&](PeerFailure failure, Duration delay) {
    EndFlight(flight_id,
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
  flight.to_ = target->host_.node_.name_;
  flight.to_life_ = target->life_;
  const Duration delay = DelayBetween(sender, *target, send.message_);
  At(now_ + delay, [this, flight_id, message = send.message_] {
    const auto found = flights_.find(flight_id);
    if (found == flights_.end()) return;
    const Flight& arrived = found->second;
    if (AreCut(nodes_.at(arrived.from_), nodes_.at(arrived.to_))) return;
    Feed(arrived.to_, arrived.to_life_,
         PeerRequested{.inbound_id_ = flight_id, .message_ = message});
  });
}

void World::Reply(const std::string& from, const ReplyPeer& reply) {
  const auto found = flights_.find(reply.inbound_id_);
  if (found == flights_.end()) return;
  ModelNode& sender = nodes_.at(from);
  ModelNode& receiver = nodes_.at(found->second.from_);
  const Duration delay = DelayBetween(sender, receiver, reply.message_);
  if (AreCut(sender, receiver)) return;
  if (NextUnit(random_) < lost_reply_share_) return;
  EndFlight(reply.inbound_id_,
            PeerReplied{.send_id_ = found->second.send_id_,
                        .message_ = reply.message_},
            delay);
}

void World::WithdrawFlight(const std::string& from, std::uint64_t send_id) {
  const auto sent =
      flight_of_send_.find({from, nodes_.at(from).life_, send_id});
  if (sent == flight_of_send_.end()) return;
  const std::uint64_t flight_id = sent->second;
  const Flight flight = flights_.at(flight_id);
  EraseFlight(flight_id);
  if (flight.to_.empty()) return;
  ModelNode& target = nodes_.at(flight.to_);
  if (AreCut(nodes_.at(from), target)) return;
  const Duration delay = DelayBetween(nodes_.at(from), target, PeerRefusal{});
  At(now_ + delay, [this, flight, flight_id] {
    Feed(flight.to_, flight.to_life_, PeerWithdrew{.inbound_id_ = flight_id});
  });
}

void World::EraseFlight(std::uint64_t flight_id) {
  const auto found = flights_.find(flight_id);
  const Flight& flight = found->second;
  flight_of_send_.erase({flight.from_, flight.from_life_, flight.send_id_});
  flights_.erase(found);
}

std::uint64_t World::SendCall(const std::string& entry, CallArrived call,
                              Duration delay, const AnswerHandler& handler) {
  const std::uint64_t call_id = ++last_id_;
  call.call_id_ = call_id;
  const std::uint64_t life = nodes_.at(entry).life_;
  At(now_ + delay, [this, entry, life, call, handler] {
    ModelNode& node = nodes_.at(entry);
    if (!node.alive_ || node.life_ != life) return;
    node.handlers_[call.call_id_] = handler;
    Feed(entry, life, call);
  });
  return call_id;
}

void World::AbandonCall(const std::string& entry, std::uint64_t call_id) {
  ModelNode& node = nodes_.at(entry);
  if (node.handlers_.erase(call_id) == 0) return;
  Feed(entry, node.life_, CallerGone{.call_id_ = call_id});
}

void World::KillNode(const std::string& name) {
  ModelNode& node = nodes_.at(name);
  node.alive_ = false;
  node.handlers_.clear();
  // Peers that are not cut off see their connection break.
  for (const auto& [flight_id, flight] : flights_) {
    if (flight.to_ != name || flight.to_life_ != node.life_) continue;
    if (AreCut(nodes_.at(flight.from_), node)) continue;
    EndFlight(
        flight_id,
        PeerFailed{.send_id_ = flight.send_id_, .failure_ = PeerFailure::kLost},
        options_.network_.between_zones_);
  }
}

void World::Freeze(const std::string& name) { nodes_.at(name).frozen_ = true; }

void World::Thaw(const std::string& name) {
  ModelNode& node = nodes_.at(name);
  if (!node.frozen_) return;
  node.frozen_ = false;
  const std::uint64_t life = node.life_;
  for (EventBody& body : std::exchange(node.held_, {})) {
    Feed(name, life, std::move(body));
  }
}

void World::Cut(const std::string& zone, bool cut) {
  if (cut) {
    cut_zones_.insert(zone);
  } else {
    cut_zones_.erase(zone);
  }
}

void World::Drain(const std::string& name) {
  Feed(name, nodes_.at(name).life_, DrainRequested{});
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
