#include <algorithm>
#include <cstring>
#include <deque>
#include <set>

#include "base/fingerprint.h"
#include "base/hashing.h"
#include "relaymodel/fleet_simulator.h"
#include "routes/routes.h"

namespace jujubefront {
namespace {

constexpr const char* kHost = "fleet";
constexpr Duration kStoreLatency = std::chrono::milliseconds(4);
constexpr Duration kBackendLatency = std::chrono::microseconds(200);
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(1500);
constexpr std::size_t kBodyBytes = 600;
// Time from the start of a run to the end of the backend server that it ends,
// and from there to the next incarnation.
constexpr Duration kCrashAfter = std::chrono::milliseconds(2);
constexpr Duration kDownTime = std::chrono::seconds(3);
constexpr Duration kConnectTimeout = std::chrono::seconds(2);
constexpr const char* kCarrier = "carries ";
// Reason of a refusal in the decision log.
constexpr std::string_view kSuspectWhy =
    "backend servers ended while they ran this content";
// A run takes its work times a factor between these.
constexpr double kLeastWork = 0.7;
constexpr double kMostWork = 1.3;
// Slots without end, as far as admission at the root is concerned.
constexpr double kUnlimited = 1e9;

std::string AddressOf(std::size_t index) {
  return "10." + std::to_string(index / 200) + ".0." +
         std::to_string(index % 200 + 1) + ":7000";
}

// Of the run that makes a call; that of a client's attempt names no run.
std::string ParentOf(const std::string& trace_id) {
  return trace_id.substr(0, trace_id.rfind('.'));
}

std::string TargetOf(const FleetRoute& route) {
  return "/" + route.name_ + "/";
}

std::string RootOf(const std::string& trace_id) {
  return trace_id.substr(0, trace_id.find('.'));
}

}  // namespace

struct RelayWorld::Run {
  std::string trace_id_;
  std::string call_body_;  // of the calls that it makes
  const FleetRoute* route_ = nullptr;
  Timestamp started_at_;
  Timestamp deadline_;
  std::vector<const FleetRoute*> calls_;  // still to be made, last one first
  Duration segment_ = Duration::zero();   // own work between two calls
  int made_ = 0;
  AnswerHandler answer_;  // without relays: who asked
};

struct RelayWorld::Node {
  bool alive_ = false;
  std::uint64_t process_ = 0;  // tells the processes of this host apart
  RelayOptions options_;
  RelayState state_;
  std::optional<Timestamp> wake_at_;
  bool backend_alive_ = true;
  std::uint64_t incarnation_ = 0;                  // of the backend server
  std::uint64_t sequence_ = 0;                     // of its heartbeats
  std::map<std::size_t, std::uint64_t> outbound_;  // connection by peer
  std::unordered_map<std::uint64_t, Run> runs_;
  std::set<std::uint64_t> requests_;  // not answered yet
  std::deque<Run> queue_;             // without relays
};

RelayWorld::RelayWorld(const Fleet& fleet, const FleetPolicy& policy,
                       std::uint64_t seed)
    : fleet_(fleet), policy_(policy), random_{MixBits(seed)} {
  for (std::size_t i = 0; i < fleet_.hosts_.size(); ++i) {
    by_address_[AddressOf(i)] = i;
    nodes_.push_back(std::make_shared<Node>());
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) Start(i);
}

void RelayWorld::At(Timestamp time, std::function<void()> action) {
  events_.push({time, ++last_number_,
                std::make_shared<std::function<void()>>(std::move(action))});
}

void RelayWorld::RunUntil(Timestamp end) {
  while (!events_.empty() && events_.top().time_ <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.time_);
    (*event.action_)();
  }
  now_ = end;
}

void RelayWorld::Start(std::size_t index) {
  const FleetHost& host = fleet_.hosts_[index];
  Node& node = *nodes_[index];
  node.alive_ = true;
  node.backend_alive_ = true;
  ++node.process_;
  ++node.incarnation_;
  if (policy_.without_relays_) return;
  node.options_ = {.address_ = AddressOf(index),
                   .zone_ = host.zone_,
                   .region_ = host.region_,
                   .service_ = host.service_,
                   .backend_address_ = "backend-" + std::to_string(index),
                   .boot_ = NextRandom(random_),
                   .seed_ = NextRandom(random_)};
  node.options_.trace_sample_ = 0;
  if (!policy_.admits_at_root_) {
    node.options_.allocation_.utilisation_ = kUnlimited;
  }
  std::vector<RelayEffect> effects;
  node.state_ = MakeRelay(node.options_, now_, effects);
  node.wake_at_.reset();
  Carry(index, std::move(effects));
  SendHeartbeat(index);
}

void RelayWorld::SendHeartbeat(std::size_t index) {
  const std::uint64_t incarnation = nodes_[index]->incarnation_;
  At(now_ + kBackendLatency, [this, index, incarnation] {
    Node& node = *nodes_[index];
    if (!node.alive_ || !node.backend_alive_) return;
    if (node.incarnation_ != incarnation) return;
    Feed(index, BackendHeartbeat{
                    .instance_ = "i-" + std::to_string(index) + "-" +
                                 std::to_string(incarnation),
                    .service_ = fleet_.hosts_[index].service_,
                    .address_ = node.options_.backend_address_,
                    .started_at_ms_ = static_cast<std::int64_t>(incarnation),
                    .sequence_ = ++node.sequence_,
                    .slots_ = fleet_.hosts_[index].slots_});
    At(now_ + kHeartbeatInterval, [this, index, incarnation] {
      if (nodes_[index]->incarnation_ == incarnation) SendHeartbeat(index);
    });
  });
}

void RelayWorld::AddCrashingBody(const std::string& body) {
  crashing_bodies_[body] = {};
  for (const FleetRoute& route : fleet_.routes_) {
    crashing_prints_.insert(
        FormatFingerprint(FingerprintOf({TargetOf(route), body})));
  }
}

std::string RelayWorld::CarrierOf(const std::string& body) {
  return kCarrier + body;
}

Duration RelayWorld::Latency(std::size_t from, std::size_t to) const {
  const FleetHost& a = fleet_.hosts_[from];
  const FleetHost& b = fleet_.hosts_[to];
  if (a.region_ != b.region_) return fleet_.region_latency_;
  if (a.zone_ != b.zone_) return fleet_.zone_latency_;
  return kBackendLatency;
}

bool RelayWorld::IsCut(std::size_t from, std::size_t to) const {
  const std::string& a = fleet_.hosts_[from].zone_;
  const std::string& b = fleet_.hosts_[to].zone_;
  return a != b && (cut_zones_.contains(a) || cut_zones_.contains(b));
}

void RelayWorld::SetCut(const std::string& zone, bool cut) {
  if (cut) {
    cut_zones_.insert(zone);
  } else {
    cut_zones_.erase(zone);
  }
}

std::size_t RelayWorld::IndexOf(const std::string& address) const {
  return by_address_.at(address);
}

void RelayWorld::Feed(std::size_t index, RelayEventBody body) {
  Node& node = *nodes_[index];
  if (!node.alive_) return;
  Carry(index, StepRelay(node.state_, node.options_, {now_, std::move(body)}));
}

// Carries out the effects of one step.
struct RelayWorld::EffectRunner {
  RelayWorld& world_;
  std::size_t index_;

  Node& node() const { return *world_.nodes_[index_]; }

  // An event of this host some time later, unless its process has ended.
  void Later(Duration wait, RelayEventBody body) const {
    const std::uint64_t process = node().process_;
    auto event = std::make_shared<RelayEventBody>(std::move(body));
    world_.At(world_.now_ + wait,
              [&world = world_, index = index_, process, event] {
                if (world.nodes_[index]->process_ != process) return;
                world.Feed(index, std::move(*event));
              });
  }

  void Deliver(std::uint64_t id, bool to_opener, LinkMessage message) const {
    if (const auto* notice = std::get_if<SuspicionNotice>(&message)) {
      ++world_.notices_.notices_;
      world_.notices_.charges_ +=
          notice->charges_.size() + notice->clearances_.size();
    }
    const Connection& connection = world_.connections_[id - 1];
    if (world_.IsCut(connection.from_, connection.to_)) return;
    const std::size_t target = to_opener ? connection.from_ : connection.to_;
    auto kept = std::make_shared<LinkMessage>(std::move(message));
    world_.At(world_.now_ + world_.Latency(connection.from_, connection.to_),
              [&world = world_, id, to_opener, target, kept] {
                const Connection& at = world.connections_[id - 1];
                if (!at.open_) return;
                LinkReceived received{.message_ = std::move(*kept)};
                if (to_opener) {
                  received.peer_ = AddressOf(at.to_);
                } else {
                  received.connection_id_ = id;
                }
                world.Feed(target, std::move(received));
              });
  }

  void operator()(AnswerRequest& effect) const {
    node().requests_.erase(effect.request_id_);
    const auto found = world_.waiting_.find(effect.request_id_);
    if (found == world_.waiting_.end()) return;
    const AnswerHandler handler = std::move(found->second);
    world_.waiting_.erase(found);
    handler(effect.response_);
  }
  void operator()(SendToPeer& effect) const {
    const auto found = node().outbound_.find(world_.IndexOf(effect.peer_));
    if (found == node().outbound_.end()) return;
    Deliver(found->second, false, std::move(effect.message_));
  }
  void operator()(SendBack& effect) const {
    Deliver(effect.connection_id_, true, std::move(effect.message_));
  }
  void operator()(ConnectPeer& effect) const {
    const std::size_t to = world_.IndexOf(effect.peer_);
    const std::uint64_t process = node().process_;
    if (world_.IsCut(index_, to)) {
      return Later(kConnectTimeout, PeerDisconnected{effect.peer_});
    }
    world_.At(world_.now_ + 2 * world_.Latency(index_, to),
              [&world = world_, from = index_, to, process] {
                Node& opener = *world.nodes_[from];
                if (opener.process_ != process) return;
                if (!world.nodes_[to]->alive_) {
                  return world.Feed(from, PeerDisconnected{AddressOf(to)});
                }
                world.connections_.push_back(
                    {.from_ = from, .to_ = to, .open_ = true});
                opener.outbound_[to] = world.connections_.size();
                world.Feed(from, PeerConnected{AddressOf(to)});
              });
  }
  void operator()(DisconnectPeer& effect) const {
    const auto found = node().outbound_.find(world_.IndexOf(effect.peer_));
    if (found == node().outbound_.end()) return;
    const std::uint64_t id = found->second;
    node().outbound_.erase(found);
    Connection& connection = world_.connections_[id - 1];
    connection.open_ = false;
    world_.At(world_.now_ + world_.Latency(connection.from_, connection.to_),
              [&world = world_, id] {
                world.Feed(world.connections_[id - 1].to_, LinkEnded{id});
              });
  }
  void operator()(StartRun& effect) const { world_.BeginRun(index_, effect); }
  void operator()(AbortRun& effect) const {
    world_.EndRun(index_, effect.run_id_, 0);
  }
  void operator()(ProbeBackend&) const {
    const auto probe =
        node().backend_alive_ ? BackendProbe::kListens : BackendProbe::kRefused;
    Later(kBackendLatency, BackendProbed{.probe_ = probe});
  }
  void operator()(ReadTable&) const {
    Later(kStoreLatency, TableRead{.table_ = world_.MakeTable(), .text_ = "t"});
    Later(kStoreLatency, TableOffset{.next_ = 1});
  }
  void operator()(AwaitTable& effect) const {
    Later(effect.wait_, TableOffset{.next_ = 1});
  }
  void operator()(AnnounceNode&) const {
    Later(kStoreLatency, NodeAnnounced{});
  }
  void operator()(ReadNodes&) const {
    NodesRead read;
    for (const auto& [address, index] : world_.by_address_) {
      read.addresses_.push_back(address);
    }
    Later(kStoreLatency, std::move(read));
  }
  void operator()(ApplyClientLimits&) const {}
  void operator()(SetReady&) const {}
  void operator()(CloseClients&) const {}
  void operator()(EndProcess&) const { world_.Kill(index_); }
  void operator()(Decision& effect) const {
    if (effect.kind_ != DecisionKind::kRefused) return;
    std::string content;
    bool suspect = false;
    for (const auto& [name, value] : effect.inputs_) {
      if (name == "content") content = std::get<std::string>(value);
      if (name == "why") suspect = std::get<std::string>(value) == kSuspectWhy;
    }
    if (suspect && !world_.crashing_prints_.contains(content)) {
      ++world_.innocents_refused_;
    }
  }
};

void RelayWorld::Carry(std::size_t index, std::vector<RelayEffect> effects) {
  for (RelayEffect& effect : effects) {
    std::visit(EffectRunner{*this, index}, effect);
  }
  ArmWake(index);
}

void RelayWorld::ArmWake(std::size_t index) {
  Node& node = *nodes_[index];
  const auto wake = NextRelayWake(node.state_);
  if (!wake || (node.wake_at_ && *node.wake_at_ <= *wake)) return;
  node.wake_at_ = wake;
  At(std::max(now_, *wake), [this, index, at = *wake, process = node.process_] {
    Node& woken = *nodes_[index];
    if (woken.process_ != process || woken.wake_at_ != at) return;
    woken.wake_at_.reset();
    Feed(index, RelayTimeReached{});
  });
}

void RelayWorld::Send(std::size_t host, const FleetRoute& route,
                      std::string trace_id, std::string body,
                      Duration remaining, AnswerHandler handler) {
  if (policy_.without_relays_) {
    return Forward(route, std::move(trace_id), remaining, host,
                   std::move(handler));
  }
  const std::uint64_t id = ++last_request_;
  At(now_ + kBackendLatency,
     [this, host, &route, id, trace = std::move(trace_id),
      body = std::move(body), remaining, kept = std::move(handler)] {
       if (!nodes_[host]->alive_) return kept({.status_ = 0});
       waiting_[id] = kept;
       nodes_[host]->requests_.insert(id);
       const std::string target = TargetOf(route);
       Feed(host, RequestArrived{.request_id_ = id,
                                 .trace_id_ = trace,
                                 .parent_trace_id_ = ParentOf(trace),
                                 .host_ = kHost,
                                 .remaining_ = remaining,
                                 .content_ = FingerprintOf({target, body}),
                                 .request_ = {.method_ = "GET",
                                              .target_ = target,
                                              .headers_ = {{"Id", trace}},
                                              .body_ = body}});
     });
}

void RelayWorld::Forward(const FleetRoute& route, std::string trace_id,
                         Duration remaining, std::size_t from,
                         AnswerHandler handler) {
  std::vector<std::size_t> hosts;
  for (std::size_t i = 0; i < fleet_.hosts_.size(); ++i) {
    if (fleet_.hosts_[i].service_ == route.service_) hosts.push_back(i);
  }
  const std::size_t to = hosts[NextBelow(random_, hosts.size())];
  const Duration way = Latency(from, to);
  if (way == fleet_.region_latency_) ++region_crossings_;
  Run run{.trace_id_ = std::move(trace_id),
          .route_ = &route,
          .deadline_ = now_ + remaining};
  run.answer_ = [this, way,
                 handler = std::move(handler)](const Http1Response& response) {
    At(now_ + way, [handler, response] { handler(response); });
  };
  auto kept = std::make_shared<Run>(std::move(run));
  At(now_ + way, [this, to, kept] { Enqueue(to, std::move(*kept)); });
}

void RelayWorld::Enqueue(std::size_t index, Run run) {
  Node& node = *nodes_[index];
  if (!node.alive_) return run.answer_({.status_ = 0});
  if (Rejects(index, run.trace_id_)) return run.answer_({.status_ = 503});
  if (node.queue_.size() >= policy_.most_waiting_) {
    return run.answer_({.status_ = 503});
  }
  node.queue_.push_back(std::move(run));
  StartNext(index);
}

void RelayWorld::StartNext(std::size_t index) {
  Node& node = *nodes_[index];
  while (!node.queue_.empty() &&
         node.runs_.size() < fleet_.hosts_[index].slots_) {
    Run run = std::move(node.queue_.front());
    node.queue_.pop_front();
    if (run.deadline_ <= now_) {
      run.answer_({.status_ = 504});
      continue;
    }
    const std::uint64_t id = ++last_run_;
    Run& begun = node.runs_[id] = std::move(run);
    PrepareRun(index, begun);
    ContinueRun(index, id);
  }
}

bool RelayWorld::Rejects(std::size_t index, const std::string& trace_id) {
  const std::string& service = fleet_.hosts_[index].service_;
  Arrivals& arrivals = arrivals_[service];
  ++arrivals.all_;
  if (!arrived_.insert(trace_id).second) ++arrivals.repeated_;
  const auto share = rejections_.find(service);
  return share != rejections_.end() && NextUnit(random_) < share->second;
}

void RelayWorld::NoteCrashingRun(std::size_t index, const std::string& body) {
  const auto crashing = crashing_bodies_.find(body);
  if (crashing == crashing_bodies_.end()) return;
  CrashingRuns& runs = crashing->second;
  runs.began_.push_back(now_);
  At(now_ + kCrashAfter,
     [this, index, &runs, incarnation = nodes_[index]->incarnation_] {
       const Node& node = *nodes_[index];
       if (!node.backend_alive_ || node.incarnation_ != incarnation) return;
       runs.ended_.push_back(now_);
       CrashBackend(index);
     });
}

void RelayWorld::BeginRun(std::size_t index, StartRun& start) {
  if (!nodes_[index]->backend_alive_) {
    return EffectRunner{*this, index}.Later(
        kBackendLatency,
        BackendExchangeFailed{.run_id_ = start.run_id_,
                              .failure_ = BackendExchangeFailure::kRefused});
  }
  if (Rejects(index, *FindHeader(start.request_.headers_, "Id"))) {
    return EffectRunner{*this, index}.Later(
        kBackendLatency, BackendResponded{.run_id_ = start.run_id_,
                                          .response_ = {.status_ = 503},
                                          .not_run_ = true});
  }
  const std::string& target = start.request_.target_;
  const auto route =
      std::find_if(fleet_.routes_.begin(), fleet_.routes_.end(),
                   [&](const FleetRoute& r) { return target == TargetOf(r); });
  Run& run = nodes_[index]->runs_[start.run_id_];
  run.trace_id_ = *FindHeader(start.request_.headers_, "Id");
  run.route_ = &*route;
  run.deadline_ = now_ + start.remaining_;
  const std::string& body = start.request_.body_;
  if (body.starts_with(kCarrier)) {
    run.call_body_ = body.substr(std::strlen(kCarrier));
  } else if (!body.empty() && !crashing_bodies_.contains(body)) {
    run.call_body_ = body;  // calls differ as their roots do
  }
  NoteCrashingRun(index, body);
  PrepareRun(index, run);
  ContinueRun(index, start.run_id_);
}

// Draws the work of a run that takes its slot now.
void RelayWorld::PrepareRun(std::size_t index, Run& run) {
  ++runs_;
  run.started_at_ = now_;
  for (const FleetCall& call : run.route_->calls_) {
    const auto called = std::find_if(
        fleet_.routes_.begin(), fleet_.routes_.end(),
        [&](const FleetRoute& r) { return r.name_ == call.route_; });
    run.calls_.insert(run.calls_.end(), static_cast<std::size_t>(call.count_),
                      &*called);
  }
  const double factor =
      fleet_.hosts_[index].slowness_ *
      (kLeastWork + (kMostWork - kLeastWork) * NextUnit(random_));
  run.segment_ = Duration(static_cast<std::int64_t>(
      static_cast<double>(run.route_->work_.count()) * factor /
      static_cast<double>(run.calls_.size() + 1)));
}

// Works for a while, then makes the next call or ends.
void RelayWorld::ContinueRun(std::size_t index, std::uint64_t run_id) {
  const std::uint64_t process = nodes_[index]->process_;
  const Duration segment = nodes_[index]->runs_.at(run_id).segment_;
  At(now_ + segment, [this, index, run_id, process] {
    Node& node = *nodes_[index];
    const auto found = node.runs_.find(run_id);
    if (node.process_ != process || found == node.runs_.end()) return;
    Run& run = found->second;
    if (run.deadline_ <= now_) return EndRun(index, run_id, 504);
    if (run.calls_.empty()) return EndRun(index, run_id, 200);
    const FleetRoute& called = *run.calls_.back();
    run.calls_.pop_back();
    Send(index, called, run.trace_id_ + "." + std::to_string(++run.made_),
         run.call_body_, std::min(run.deadline_ - now_, called.deadline_),
         [this, index, run_id, process](const Http1Response& response) {
           Node& at = *nodes_[index];
           if (at.process_ != process || !at.runs_.contains(run_id)) return;
           if (response.status_ == 200) return ContinueRun(index, run_id);
           EndRun(index, run_id, 500);
         });
  });
}

void RelayWorld::EndRun(std::size_t index, std::uint64_t run_id, int status) {
  Node& node = *nodes_[index];
  const auto found = node.runs_.find(run_id);
  if (found == node.runs_.end()) return;
  on_run_end_(RootOf(found->second.trace_id_),
              now_ - found->second.started_at_);
  const AnswerHandler answer = std::move(found->second.answer_);
  node.runs_.erase(found);
  if (answer) {
    answer({.status_ = status});
    return StartNext(index);
  }
  if (status == 0) return;
  At(now_ + kBackendLatency,
     [this, index, run_id, status, process = node.process_] {
       if (nodes_[index]->process_ != process) return;
       Http1Response response{.status_ = status};
       response.body_.assign(kBodyBytes, 'b');
       Feed(index, BackendResponded{.run_id_ = run_id,
                                    .response_ = std::move(response)});
     });
}

void RelayWorld::CrashBackend(std::size_t host) {
  Node& node = *nodes_[host];
  if (!node.alive_ || !node.backend_alive_) return;
  node.backend_alive_ = false;
  std::vector<std::uint64_t> broken;
  for (const auto& [run_id, run] : node.runs_) broken.push_back(run_id);
  std::sort(broken.begin(), broken.end());
  for (const std::uint64_t run_id : broken) {
    EndRun(host, run_id, 0);
    EffectRunner{*this, host}.Later(kBackendLatency,
                                    BackendExchangeFailed{.run_id_ = run_id});
  }
  At(now_ + kDownTime, [this, host, process = node.process_] {
    Node& back = *nodes_[host];
    if (back.process_ != process) return;
    back.backend_alive_ = true;
    ++back.incarnation_;
    back.sequence_ = 0;
    SendHeartbeat(host);
  });
}

void RelayWorld::Kill(std::size_t host) {
  Node& node = *nodes_[host];
  node.alive_ = false;
  ++node.process_;
  for (std::size_t id = 1; id <= connections_.size(); ++id) {
    Connection& connection = connections_[id - 1];
    if (!connection.open_) continue;
    if (connection.from_ == host) {
      connection.open_ = false;
      At(now_ + kBackendLatency,
         [this, id, to = connection.to_] { Feed(to, LinkEnded{id}); });
    } else if (connection.to_ == host) {
      connection.open_ = false;
      nodes_[connection.from_]->outbound_.erase(host);
      At(now_ + kBackendLatency, [this, host, from = connection.from_] {
        Feed(from, PeerDisconnected{AddressOf(host)});
      });
    }
  }
  node.outbound_.clear();
  node.runs_.clear();
  node.queue_.clear();
  const std::set<std::uint64_t> requests = std::move(node.requests_);
  node.requests_.clear();
  for (const std::uint64_t id : requests) {
    const auto found = waiting_.find(id);
    if (found == waiting_.end()) continue;
    const AnswerHandler handler = std::move(found->second);
    waiting_.erase(found);
    handler({.status_ = 0});
  }
}

void RelayWorld::Restart(std::size_t host) {
  if (!nodes_[host]->alive_) Start(host);
}

std::uint64_t RelayWorld::region_crossings() const {
  std::uint64_t crossings = region_crossings_;
  for (const auto& node : nodes_) {
    crossings += node->state_.counters_.region_crossings_;
  }
  return crossings;
}

RouteTable RelayWorld::MakeTable() const {
  RouteTable table;
  table.version_ = 1;
  for (const FleetRoute& route : fleet_.routes_) {
    table.routes_.push_back(
        {.name_ = route.name_,
         .host_ = kHost,
         .path_prefix_ = "/" + route.name_ + "/",
         .idempotent_ = route.idempotent_,
         .timeout_ = route.deadline_,
         .latency_objective_ = route.objective_,
         .priority_ = policy_.knows_priorities_ ? route.priority_ : 0,
         .max_attempts_ = 3,
         .services_ = {{route.service_, 1.0}}});
  }
  IndexRoutes(table);
  return table;
}

}  // namespace jujubefront
