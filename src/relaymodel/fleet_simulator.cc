#include "relaymodel/fleet_simulator.h"

#include <algorithm>
#include <cstring>
#include <deque>
#include <set>

#include "base/fingerprint.h"
#include "base/hashing.h"
#include "relaymodel/rate_limit_audit.h"
#include "routes/routes.h"

namespace jujubefront {
namespace {

constexpr const char* kHost = "fleet";
constexpr Duration kStoreLatency = std::chrono::milliseconds(4);
// Time beyond the requested wait after which a call to the store fails.
constexpr Duration kStoreTimeout = std::chrono::milliseconds(1500);
constexpr std::uint64_t kLeaveCall = 1;  // id of a leave call
// Idle connections to the store that a host keeps.
constexpr int kIdleStoreConnections = 4;
constexpr Duration kBackendLatency = std::chrono::microseconds(200);
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(1500);
constexpr std::size_t kResponseBodyBytes = 600;
// Time from the start of a crashing run to the crash of its backend server, and
// from the crash to the start of the next incarnation.
constexpr Duration kCrashAfter = std::chrono::milliseconds(2);
constexpr Duration kBackendRestartTime = std::chrono::seconds(3);
constexpr Duration kConnectTimeout = std::chrono::seconds(2);
constexpr const char* kCarrierPrefix = "carries ";
// Reason for a refusal in the decision log, as the relay writes it.
constexpr std::string_view kSuspectWhy =
    "backend servers ended while they ran this content";
// The work of a run is that of its route times a random factor in this range.
constexpr double kMinWorkFactor = 0.7;
constexpr double kMaxWorkFactor = 1.3;
// Utilisation at which admission at the entry refuses nothing.
constexpr double kUnlimitedUtilisation = 1e9;

std::string AddressOf(std::size_t index) {
  return "10." + std::to_string(index / 200) + ".0." +
         std::to_string(index % 200 + 1) + ":7000";
}

// Trace id of the run that makes a call. For a client's attempt this is the id
// of the client's request, which is no run.
std::string ParentOf(const std::string& trace_id) {
  return trace_id.substr(0, trace_id.rfind('.'));
}

std::string TargetOf(const FleetRoute& route) {
  return "/" + route.name_ + "/";
}

// Id of the client's request that a run was started for.
std::string RootOf(const std::string& trace_id) {
  return trace_id.substr(0, trace_id.find('.'));
}

}  // namespace

// A run at a backend server.
struct FleetSimulator::Run {
  std::string trace_id_;
  std::string call_body_;  // of the calls that it makes
  const FleetRoute* route_ = nullptr;
  Timestamp started_at_;
  Timestamp deadline_;
  std::vector<const FleetRoute*> calls_;  // not made yet; the last is next
  Duration segment_ = Duration::zero();   // own work between two calls
  int calls_made_ = 0;
  AnswerHandler answer_;  // used without relays
};

// A host with its relay and its backend server.
struct FleetSimulator::Node {
  bool alive_ = false;
  std::uint64_t process_ = 0;  // number of the relay process of this host
  RelayOptions options_;
  RelayState state_;
  std::optional<Timestamp> wake_at_;
  bool store_is_silent_ = false;
  int silent_connections_ = 0;  // idle ones to the store
  std::uint64_t polls_given_up_ = 0;
  bool frozen_ = false;
  std::vector<std::shared_ptr<RelayEventBody>> held_;  // while it is frozen
  bool backend_alive_ = true;
  std::uint64_t incarnation_ = 0;                  // of the backend server
  std::uint64_t sequence_ = 0;                     // of its heartbeats
  std::map<std::size_t, std::uint64_t> outbound_;  // connection by peer
  std::unordered_map<std::uint64_t, Run> runs_;
  std::set<std::uint64_t> requests_;  // not answered yet
  std::deque<Run> queue_;             // used without relays
  RateLimitAudit limit_audit_;
  std::optional<Timestamp> left_at_;        // when it sent its leave call
  std::optional<Timestamp> left_acked_at_;  // when that was acknowledged
};

FleetSimulator::FleetSimulator(const Fleet& fleet, const FleetPolicy& policy,
                               std::uint64_t seed)
    : fleet_(fleet),
      policy_(policy),
      random_{MixBits(seed)},
      document_audit_(fleet.hosts_.size()) {
  for (std::size_t i = 0; i < fleet_.hosts_.size(); ++i) {
    by_address_[AddressOf(i)] = i;
    nodes_.push_back(std::make_shared<Node>());
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    document_audit_.BeginDisturbance(i);
    Start(i);
  }
}

void FleetSimulator::At(Timestamp time, std::function<void()> action) {
  events_.push({time, ++last_event_number_,
                std::make_shared<std::function<void()>>(std::move(action))});
}

void FleetSimulator::RunUntil(Timestamp end) {
  while (!events_.empty() && events_.top().time_ <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.time_);
    (*event.action_)();
  }
  now_ = end;
}

void FleetSimulator::Start(std::size_t index, bool keeps_backend) {
  const FleetHost& host = fleet_.hosts_[index];
  Node& node = *nodes_[index];
  node.alive_ = true;
  ++node.process_;
  document_audit_.EndDisturbance(now_, index);
  if (!keeps_backend) {
    node.backend_alive_ = true;
    ++node.incarnation_;
    node.limit_audit_ = {};
    node.left_at_.reset();
    node.left_acked_at_.reset();
  }
  if (policy_.without_relays_) return;
  node.options_ = {.address_ = AddressOf(index),
                   .zone_ = host.zone_,
                   .region_ = host.region_,
                   .service_ = host.service_,
                   .backend_address_ = "backend-" + std::to_string(index),
                   .boot_ = NextRandom(random_),
                   .seed_ = NextRandom(random_)};
  node.options_.trace_sample_ = 0;
  node.options_.overflows_to_other_regions_ =
      policy_.overflows_to_other_regions_;
  if (!policy_.admits_at_entry_) {
    node.options_.allocation_.utilisation_ = kUnlimitedUtilisation;
  }
  std::vector<RelayEffect> effects;
  node.state_ = MakeRelay(node.options_, now_, effects);
  node.wake_at_.reset();
  ApplyEffects(index, std::move(effects));
  SendHeartbeat(index);
}

std::string FleetSimulator::InstanceOf(std::size_t index) const {
  return "i-" + std::to_string(index) + "-" +
         std::to_string(nodes_[index]->incarnation_);
}

BackendHeartbeat FleetSimulator::MakeHeartbeat(std::size_t index) {
  Node& node = *nodes_[index];
  return {.instance_ = InstanceOf(index),
          .service_ = fleet_.hosts_[index].service_,
          .address_ = node.options_.backend_address_,
          .started_at_ms_ = static_cast<std::int64_t>(node.incarnation_),
          .sequence_ = ++node.sequence_,
          .slots_ = fleet_.hosts_[index].slots_};
}

void FleetSimulator::Leave(std::size_t host) {
  const BackendHeartbeat heartbeat = MakeHeartbeat(host);
  nodes_[host]->left_at_ = now_;
  Feed(host, BackendDeregistered{.call_id_ = kLeaveCall,
                                 .instance_ = heartbeat.instance_,
                                 .started_at_ms_ = heartbeat.started_at_ms_});
}

void FleetSimulator::DeliverLateHeartbeat(std::size_t host) {
  Feed(host, MakeHeartbeat(host));
}

void FleetSimulator::SendHeartbeat(std::size_t index) {
  const std::uint64_t incarnation = nodes_[index]->incarnation_;
  At(now_ + kBackendLatency, [this, index, incarnation] {
    Node& node = *nodes_[index];
    if (!node.alive_ || !node.backend_alive_) return;
    if (node.incarnation_ != incarnation || node.left_at_) return;
    Feed(index, MakeHeartbeat(index));
    At(now_ + kHeartbeatInterval, [this, index, incarnation] {
      if (nodes_[index]->incarnation_ == incarnation) SendHeartbeat(index);
    });
  });
}

void FleetSimulator::AddCrashingBody(const std::string& body) {
  crashing_bodies_[body] = {};
  for (const FleetRoute& route : fleet_.routes_) {
    crashing_fingerprints_.insert(
        FormatFingerprint(FingerprintOf({TargetOf(route), body})));
  }
}

std::string FleetSimulator::CarrierOf(const std::string& body) {
  return kCarrierPrefix + body;
}

Duration FleetSimulator::Latency(std::size_t from, std::size_t to) const {
  const FleetHost& a = fleet_.hosts_[from];
  const FleetHost& b = fleet_.hosts_[to];
  if (a.region_ != b.region_) return fleet_.region_latency_;
  if (a.zone_ != b.zone_) return fleet_.zone_latency_;
  return kBackendLatency;
}

bool FleetSimulator::IsPartitioned(std::size_t from, std::size_t to) const {
  if (from != to &&
      (cut_off_hosts_.contains(from) || cut_off_hosts_.contains(to))) {
    return true;
  }
  const std::string& a = fleet_.hosts_[from].zone_;
  const std::string& b = fleet_.hosts_[to].zone_;
  return a != b &&
         (partitioned_zones_.contains(a) || partitioned_zones_.contains(b));
}

void FleetSimulator::SetPartitioned(const std::string& zone, bool partitioned) {
  if (partitioned) {
    partitioned_zones_.insert(zone);
  } else {
    partitioned_zones_.erase(zone);
  }
}

std::size_t FleetSimulator::IndexOf(const std::string& address) const {
  return by_address_.at(address);
}

void FleetSimulator::Feed(std::size_t index, RelayEventBody body) {
  Node& node = *nodes_[index];
  if (!node.alive_) return;
  if (node.frozen_) {
    node.held_.push_back(std::make_shared<RelayEventBody>(std::move(body)));
    return;
  }
  ApplyEffects(index,
               StepRelay(node.state_, node.options_, {now_, std::move(body)}));
}

// Carries out the effects that a relay requested in one step.
struct FleetSimulator::EffectRunner {
  FleetSimulator& simulator_;
  std::size_t index_;

  Node& node() const { return *simulator_.nodes_[index_]; }

  // Feeds an event to this host some time later, unless its process has ended.
  void FeedLater(Duration wait, RelayEventBody body) const {
    const std::uint64_t process = node().process_;
    auto event = std::make_shared<RelayEventBody>(std::move(body));
    simulator_.At(simulator_.now_ + wait,
                  [&simulator = simulator_, index = index_, process, event] {
                    if (simulator.nodes_[index]->process_ != process) return;
                    simulator.Feed(index, std::move(*event));
                  });
  }

  bool LosesCall(StoreCall call) const {
    return simulator_.LoseStoreCall(index_, call, Duration::zero());
  }

  // Feeds an answer of the store with the era in which it is given.
  void FeedStoreAnswer(RelayEventBody body) const {
    FeedLater(kStoreLatency, StoreEra{simulator_.store_era_});
    FeedLater(kStoreLatency, std::move(body));
  }

  // Delivers a message on a connection after the network latency. A message
  // across a partition is lost.
  void Deliver(std::uint64_t id, bool to_opener, LinkMessage message) const {
    if (const auto* notice = std::get_if<SuspicionNotice>(&message)) {
      ++simulator_.notices_.notices_;
      simulator_.notices_.charges_ +=
          notice->charges_.size() + notice->clearances_.size();
    }
    const Connection& connection = simulator_.connections_[id - 1];
    if (simulator_.IsPartitioned(connection.from_, connection.to_)) return;
    const std::size_t target = to_opener ? connection.from_ : connection.to_;
    auto kept = std::make_shared<LinkMessage>(std::move(message));
    simulator_.At(
        simulator_.now_ + simulator_.Latency(connection.from_, connection.to_),
        [&simulator = simulator_, id, to_opener, target, kept] {
          const Connection& at = simulator.connections_[id - 1];
          if (!at.open_) return;
          if (const auto* text = std::get_if<TableText>(kept.get())) {
            return simulator.Feed(
                target, TableRead{.from_peer_ = true,
                                  .table_ = simulator.MakeTable(text->version_),
                                  .text_ = text->text_});
          }
          LinkReceived received{.message_ = std::move(*kept)};
          if (to_opener) {
            received.peer_ = AddressOf(at.to_);
          } else {
            received.connection_id_ = id;
          }
          simulator.Feed(target, std::move(received));
        });
  }

  void operator()(AnswerRequest& effect) const {
    node().requests_.erase(effect.request_id_);
    const auto found = simulator_.answer_handlers_.find(effect.request_id_);
    if (found == simulator_.answer_handlers_.end()) return;
    const AnswerHandler handler = std::move(found->second);
    simulator_.answer_handlers_.erase(found);
    handler(effect.response_);
  }
  void operator()(SendToPeer& effect) const {
    const auto found = node().outbound_.find(simulator_.IndexOf(effect.peer_));
    if (found == node().outbound_.end()) return;
    Deliver(found->second, false, std::move(effect.message_));
  }
  void operator()(SendBack& effect) const {
    Deliver(effect.connection_id_, true, std::move(effect.message_));
  }
  void operator()(ConnectPeer& effect) const {
    const std::size_t to = simulator_.IndexOf(effect.peer_);
    const std::uint64_t process = node().process_;
    if (simulator_.IsPartitioned(index_, to)) {
      return FeedLater(kConnectTimeout, PeerDisconnected{effect.peer_});
    }
    simulator_.At(simulator_.now_ + 2 * simulator_.Latency(index_, to),
                  [&simulator = simulator_, from = index_, to, process] {
                    Node& opener = *simulator.nodes_[from];
                    if (opener.process_ != process) return;
                    if (!simulator.nodes_[to]->alive_) {
                      return simulator.Feed(from,
                                            PeerDisconnected{AddressOf(to)});
                    }
                    simulator.connections_.push_back(
                        {.from_ = from, .to_ = to, .open_ = true});
                    opener.outbound_[to] = simulator.connections_.size();
                    simulator.Feed(from, PeerConnected{AddressOf(to)});
                  });
  }
  void operator()(DisconnectPeer& effect) const {
    const auto found = node().outbound_.find(simulator_.IndexOf(effect.peer_));
    if (found == node().outbound_.end()) return;
    const std::uint64_t id = found->second;
    node().outbound_.erase(found);
    Connection& connection = simulator_.connections_[id - 1];
    connection.open_ = false;
    simulator_.At(
        simulator_.now_ + simulator_.Latency(connection.from_, connection.to_),
        [&simulator = simulator_, id] {
          simulator.Feed(simulator.connections_[id - 1].to_,
                         InboundLinkClosed{id});
        });
  }
  void operator()(StartRun& effect) const {
    simulator_.BeginRun(index_, effect);
  }
  void operator()(AbortRun& effect) const {
    simulator_.EndRun(index_, effect.run_id_, 0);
  }
  void operator()(ProbeBackend&) const {
    const auto probe = node().backend_alive_ ? BackendProbeResult::kListens
                                             : BackendProbeResult::kRefused;
    FeedLater(kBackendLatency, BackendProbed{.probe_ = probe});
  }
  void operator()(CheckBackendHealth&) const {
    const bool leaves = node().left_at_.has_value();
    FeedLater(2 * kBackendLatency,
              BackendHealthChecked{
                  .health_ = !node().backend_alive_ ? BackendHealth::kNoAnswer
                             : leaves               ? BackendHealth::kUnhealthy
                                                    : BackendHealth::kHealthy,
                  .instance_ = simulator_.InstanceOf(index_)});
  }
  void operator()(ReadTable& effect) const {
    simulator_.ReadNewestDocument(index_, effect);
  }
  void operator()(AwaitTable& effect) const {
    simulator_.PollDocuments(index_, effect);
  }
  void operator()(AbandonPoll&) const {
    ++node().polls_given_up_;
    std::erase_if(simulator_.polls_, [&](const auto& entry) {
      return entry.second.host_ == index_ &&
             entry.second.process_ == node().process_;
    });
  }
  void operator()(AnnounceNode&) const {
    ++simulator_.store_calls_;
    if (LosesCall(StoreCall::kAnnounce)) return;
    FeedStoreAnswer(NodeAnnounced{});
  }
  void operator()(ReadNodes&) const {
    ++simulator_.store_calls_;
    if (LosesCall(StoreCall::kReadNodes)) return;
    NodesRead read;
    for (const auto& [address, index] : simulator_.by_address_) {
      read.addresses_.push_back(address);
    }
    FeedLater(kStoreLatency, std::move(read));
  }
  void operator()(ReadCharges&) const {
    ++simulator_.store_calls_;
    if (LosesCall(StoreCall::kReadCharges)) return;
    ChargesRead read;
    for (const auto& [content, saved] : simulator_.saved_charges_) {
      for (ContentCharge charge : saved.charges_) {
        charge.age_ += simulator_.now_ - saved.at_;
        read.charges_.push_back(charge);
      }
    }
    FeedLater(kStoreLatency, std::move(read));
  }
  void operator()(SaveCharges& effect) const {
    if (LosesCall(StoreCall::kSaveCharges)) return;
    auto& saved = simulator_.saved_charges_;
    if (effect.charges_.empty()) {
      saved.erase(effect.content_);
    } else {
      saved[effect.content_] = {.at_ = simulator_.now_,
                                .charges_ = std::move(effect.charges_)};
    }
    ++simulator_.charge_writes_;
    FeedLater(kStoreLatency, ChargesSaved{});
  }
  void operator()(ReadDepartures&) const {
    ++simulator_.store_calls_;
    if (LosesCall(StoreCall::kReadDepartures)) return;
    const auto& saved = simulator_.saved_departures_;
    const auto found = saved.find(index_);
    FeedLater(kStoreLatency,
              DeparturesRead{.departures_ = found == saved.end()
                                                ? std::vector<Departure>()
                                                : found->second,
                             .recorded_ = found != saved.end()});
  }
  void operator()(SaveDepartures& effect) const {
    ++simulator_.store_calls_;
    if (LosesCall(StoreCall::kSaveDepartures)) return;
    simulator_.saved_departures_[index_] = std::move(effect.departures_);
    FeedLater(kStoreLatency, DeparturesSaved{});
  }
  void operator()(AnswerBackend& effect) const {
    if (effect.call_id_ != kLeaveCall) return;
    node().left_acked_at_ = simulator_.now_;
    simulator_.departures_audit_.acknowledged_after_.push_back(
        simulator_.now_ - *node().left_at_);
  }
  void operator()(ApplyClientLimits&) const {}
  void operator()(SetReady&) const {}
  void operator()(CloseClients&) const {}
  void operator()(EndProcess&) const { simulator_.Kill(index_); }
  void operator()(Decision& effect) const {
    if (effect.kind_ != DecisionKind::kRefused) return;
    std::string content;
    bool suspect = false;
    for (const auto& [name, value] : effect.inputs_) {
      if (name == "content") content = std::get<std::string>(value);
      if (name == "why") suspect = std::get<std::string>(value) == kSuspectWhy;
    }
    if (suspect && !simulator_.crashing_fingerprints_.contains(content)) {
      ++simulator_.harmless_refused_;
    }
  }
};

void FleetSimulator::ApplyEffects(std::size_t index,
                                  std::vector<RelayEffect> effects) {
  for (RelayEffect& effect : effects) {
    std::visit(EffectRunner{*this, index}, effect);
  }
  ScheduleWake(index);
}

void FleetSimulator::ScheduleWake(std::size_t index) {
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

void FleetSimulator::Send(std::size_t host, const FleetRoute& route,
                          std::string trace_id, std::string body,
                          Duration remaining, AnswerHandler handler) {
  if (policy_.without_relays_) {
    return SendWithoutRelays(route, std::move(trace_id), remaining, host,
                             std::move(handler));
  }
  const std::uint64_t id = ++last_request_;
  At(now_ + kBackendLatency,
     [this, host, &route, id, trace = std::move(trace_id),
      body = std::move(body), remaining, kept = std::move(handler)] {
       if (!nodes_[host]->alive_) return kept({.status_ = 0});
       answer_handlers_[id] = kept;
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

void FleetSimulator::SendWithoutRelays(const FleetRoute& route,
                                       std::string trace_id, Duration remaining,
                                       std::size_t from,
                                       AnswerHandler handler) {
  std::vector<std::size_t> hosts;
  for (std::size_t i = 0; i < fleet_.hosts_.size(); ++i) {
    if (fleet_.hosts_[i].service_ == route.service_) hosts.push_back(i);
  }
  const std::size_t to = hosts[NextBelow(random_, hosts.size())];
  const Duration latency = Latency(from, to);
  if (latency == fleet_.region_latency_) ++region_crossings_;
  Run run{.trace_id_ = std::move(trace_id),
          .route_ = &route,
          .deadline_ = now_ + remaining};
  run.answer_ = [this, latency,
                 handler = std::move(handler)](const Http1Response& response) {
    At(now_ + latency, [handler, response] { handler(response); });
  };
  auto kept = std::make_shared<Run>(std::move(run));
  At(now_ + latency, [this, to, kept] { Enqueue(to, std::move(*kept)); });
}

void FleetSimulator::Enqueue(std::size_t index, Run run) {
  Node& node = *nodes_[index];
  if (!node.alive_) return run.answer_({.status_ = 0});
  if (Rejects(index, run.trace_id_)) return run.answer_({.status_ = 503});
  if (node.queue_.size() >= policy_.max_waiting_) {
    return run.answer_({.status_ = 503});
  }
  node.queue_.push_back(std::move(run));
  StartNext(index);
}

void FleetSimulator::StartNext(std::size_t index) {
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
    Run& started = node.runs_[id] = std::move(run);
    PrepareRun(index, started);
    ContinueRun(index, id);
  }
}

bool FleetSimulator::Rejects(std::size_t index, const std::string& trace_id) {
  const std::string& service = fleet_.hosts_[index].service_;
  Arrivals& arrivals = arrivals_[service];
  ++arrivals.all_;
  if (!arrived_trace_ids_.insert(trace_id).second) ++arrivals.repeated_;
  const auto share = rejections_.find(service);
  return share != rejections_.end() && NextUnit(random_) < share->second;
}

void FleetSimulator::RecordCrashingRun(std::size_t index,
                                       const std::string& body) {
  const auto crashing = crashing_bodies_.find(body);
  if (crashing == crashing_bodies_.end()) return;
  CrashingRuns& runs = crashing->second;
  runs.run_starts_.push_back(now_);
  At(now_ + kCrashAfter,
     [this, index, &runs, incarnation = nodes_[index]->incarnation_] {
       const Node& node = *nodes_[index];
       if (!node.backend_alive_ || node.incarnation_ != incarnation) return;
       runs.backend_crashes_.push_back(now_);
       CrashBackend(index);
     });
}

void FleetSimulator::BeginRun(std::size_t index, StartRun& start) {
  if (!nodes_[index]->backend_alive_) {
    return EffectRunner{*this, index}.FeedLater(
        kBackendLatency,
        BackendExchangeFailed{.run_id_ = start.run_id_,
                              .failure_ = BackendExchangeFailure::kRefused});
  }
  const auto& left_acked_at = nodes_[index]->left_acked_at_;
  if (left_acked_at && now_ > *left_acked_at + kDrain) {
    ++departures_audit_.late_runs_;
  }
  rate_limit_use_ =
      std::max(rate_limit_use_, nodes_[index]->limit_audit_.CountArrival(now_));
  if (Rejects(index, *FindHeader(start.request_.headers_, "Id"))) {
    return EffectRunner{*this, index}.FeedLater(
        kBackendLatency,
        BackendResponded{
            .run_id_ = start.run_id_,
            .response_ = {.status_ = 503},
            .not_run_ = true,
            .notice_ = {.rate_limit_ =
                            nodes_[index]->limit_audit_.NameInAnswer(now_)}});
  }
  const std::string& target = start.request_.target_;
  const auto route =
      std::find_if(fleet_.routes_.begin(), fleet_.routes_.end(),
                   [&](const FleetRoute& r) { return target == TargetOf(r); });
  Run& run = nodes_[index]->runs_[start.run_id_];
  run.trace_id_ = *FindHeader(start.request_.headers_, "Id");
  run.route_ = &*route;
  run.deadline_ = now_ + start.remaining_;
  const std::string body = start.request_.body_.str();
  if (body.starts_with(kCarrierPrefix)) {
    run.call_body_ = body.substr(std::strlen(kCarrierPrefix));
  } else if (!body.empty() && !crashing_bodies_.contains(body)) {
    run.call_body_ = body;  // calls differ as the client requests do
  }
  RecordCrashingRun(index, body);
  PrepareRun(index, run);
  ContinueRun(index, start.run_id_);
}

// Draws the work of a run that is starting, and lists the calls that it makes.
void FleetSimulator::PrepareRun(std::size_t index, Run& run) {
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
      (kMinWorkFactor + (kMaxWorkFactor - kMinWorkFactor) * NextUnit(random_));
  run.segment_ = Duration(static_cast<std::int64_t>(
      static_cast<double>(run.route_->work_.count()) * factor /
      static_cast<double>(run.calls_.size() + 1)));
}

// Works for one segment, then makes the next call or ends.
void FleetSimulator::ContinueRun(std::size_t index, std::uint64_t run_id) {
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
    Send(index, called, run.trace_id_ + "." + std::to_string(++run.calls_made_),
         run.call_body_, std::min(run.deadline_ - now_, called.deadline_),
         [this, index, run_id, process](const Http1Response& response) {
           Node& at = *nodes_[index];
           if (at.process_ != process || !at.runs_.contains(run_id)) return;
           if (response.status_ == 200) return ContinueRun(index, run_id);
           EndRun(index, run_id, 500);
         });
  });
}

void FleetSimulator::EndRun(std::size_t index, std::uint64_t run_id,
                            int status) {
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
  At(now_ + kBackendLatency, [this, index, run_id, status,
                              process = node.process_] {
    if (nodes_[index]->process_ != process) return;
    Http1Response response{.status_ = status};
    response.body_ = std::string(kResponseBodyBytes, 'b');
    Feed(index,
         BackendResponded{
             .run_id_ = run_id,
             .response_ = std::move(response),
             .notice_ = {.rate_limit_ =
                             nodes_[index]->limit_audit_.NameInAnswer(now_)}});
  });
}

void FleetSimulator::CrashBackend(std::size_t host) {
  Node& node = *nodes_[host];
  if (!node.alive_ || !node.backend_alive_) return;
  node.backend_alive_ = false;
  std::vector<std::uint64_t> broken;
  for (const auto& [run_id, run] : node.runs_) broken.push_back(run_id);
  std::sort(broken.begin(), broken.end());
  for (const std::uint64_t run_id : broken) {
    EndRun(host, run_id, 0);
    EffectRunner{*this, host}.FeedLater(
        kBackendLatency, BackendExchangeFailed{.run_id_ = run_id});
  }
  At(now_ + kBackendRestartTime, [this, host, process = node.process_] {
    Node& back = *nodes_[host];
    if (back.process_ != process) return;
    back.backend_alive_ = true;
    ++back.incarnation_;
    back.sequence_ = 0;
    SendHeartbeat(host);
  });
}

void FleetSimulator::Kill(std::size_t host) {
  Node& node = *nodes_[host];
  node.alive_ = false;
  ++node.process_;
  document_audit_.BeginDisturbance(host);
  for (std::size_t id = 1; id <= connections_.size(); ++id) {
    Connection& connection = connections_[id - 1];
    if (!connection.open_) continue;
    if (connection.from_ == host) {
      connection.open_ = false;
      At(now_ + kBackendLatency,
         [this, id, to = connection.to_] { Feed(to, InboundLinkClosed{id}); });
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
    const auto found = answer_handlers_.find(id);
    if (found == answer_handlers_.end()) continue;
    const AnswerHandler handler = std::move(found->second);
    answer_handlers_.erase(found);
    handler({.status_ = 0});
  }
}

void FleetSimulator::Restart(std::size_t host) {
  if (!nodes_[host]->alive_) Start(host);
}

void FleetSimulator::RestartRelay(std::size_t host) {
  if (!nodes_[host]->alive_) Start(host, true);
}

void FleetSimulator::SetRateLimit(std::size_t host,
                                  std::optional<double> per_second) {
  nodes_[host]->limit_audit_.SetLimit(now_, per_second);
}

std::uint64_t FleetSimulator::region_crossings() const {
  std::uint64_t crossings = region_crossings_;
  for (const auto& node : nodes_) {
    crossings += node->state_.counters_.region_crossings_;
  }
  return crossings;
}

bool FleetSimulator::LoseStoreCall(std::size_t index, StoreCall call,
                                   Duration wait, bool new_connection) {
  Node& node = *nodes_[index];
  if (new_connection) node.silent_connections_ = 0;
  const bool silent_connection = node.silent_connections_ > 0;
  if (silent_connection) --node.silent_connections_;
  if (!silent_connection && !node.store_is_silent_) return false;
  FailStoreCall(index, call, wait + kStoreTimeout);
  return true;
}

void FleetSimulator::FailStoreCall(std::size_t index, StoreCall call,
                                   Duration wait) {
  const std::uint64_t process = nodes_[index]->process_;
  const std::uint64_t given_up = nodes_[index]->polls_given_up_;
  At(now_ + wait, [this, index, call, process, given_up] {
    Node& node = *nodes_[index];
    if (node.process_ != process) return;
    if (call == StoreCall::kAwaitTable && node.polls_given_up_ != given_up) {
      return;
    }
    Feed(index, StoreFailed{.call_ = call, .fault_ = StoreFault::kNoAnswer});
  });
}

void FleetSimulator::ReadNewestDocument(std::size_t index,
                                        const ReadTable& read) {
  ++store_calls_;
  if (LoseStoreCall(index, StoreCall::kReadTable, Duration::zero(),
                    read.new_connection_)) {
    return;
  }
  const EffectRunner runner{*this, index};
  if (!documents_.empty()) {
    runner.FeedStoreAnswer(
        TableRead{.table_ = MakeTable(documents_.back()), .text_ = "t"});
  }
  runner.FeedStoreAnswer(TableOffset{.next_ = documents_.size()});
}

void FleetSimulator::PollDocuments(std::size_t index, const AwaitTable& poll) {
  ++store_calls_;
  if (LoseStoreCall(index, StoreCall::kAwaitTable, poll.wait_,
                    poll.new_connection_)) {
    return;
  }
  if (poll.from_ > documents_.size()) {
    return EffectRunner{*this, index}.FeedStoreAnswer(StoreFailed{
        .call_ = StoreCall::kAwaitTable, .fault_ = StoreFault::kHistoryLost});
  }
  const std::uint64_t id = ++last_poll_;
  polls_[id] = {.host_ = index,
                .process_ = nodes_[index]->process_,
                .from_ = poll.from_,
                .fails_at_ = now_ + poll.wait_ + kStoreTimeout};
  if (poll.from_ < documents_.size()) return AnswerPoll(id);
  At(now_ + poll.wait_, [this, id] { AnswerPoll(id); });
}

void FleetSimulator::AnswerPoll(std::uint64_t poll_id) {
  const auto found = polls_.find(poll_id);
  if (found == polls_.end()) return;
  const Poll poll = found->second;
  polls_.erase(found);
  if (nodes_[poll.host_]->process_ != poll.process_) return;
  const EffectRunner runner{*this, poll.host_};
  for (std::size_t i = poll.from_; i < documents_.size(); ++i) {
    runner.FeedStoreAnswer(
        TableRead{.table_ = MakeTable(documents_[i]), .text_ = "t"});
  }
  runner.FeedStoreAnswer(TableOffset{
      .next_ = std::max<std::uint64_t>(poll.from_, documents_.size()),
      .polled_ = true});
}

void FleetSimulator::PutDocument(std::uint64_t version) {
  document_audit_.RecordDocument(now_, version);
  documents_.push_back(version);
  std::vector<std::uint64_t> reached;
  for (const auto& [id, poll] : polls_) {
    if (poll.from_ < documents_.size()) reached.push_back(id);
  }
  for (const std::uint64_t id : reached) AnswerPoll(id);
}

void FleetSimulator::RestoreStore(const FleetStoreRestore& restore) {
  const std::uint64_t newest = documents_.back();
  documents_.resize(documents_.size() -
                    std::min(documents_.size(), restore.lost_));
  ++store_era_;
  if (restore.breaks_calls_) {
    for (const auto& [id, poll] : polls_) {
      if (nodes_[poll.host_]->process_ != poll.process_) continue;
      EffectRunner{*this, poll.host_}.FeedLater(
          kStoreLatency, StoreFailed{.call_ = StoreCall::kAwaitTable});
    }
    polls_.clear();
  }
  if (restore.written_again_) PutDocument(newest);
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    document_audit_.BeginDisturbance(i);
    document_audit_.EndDisturbance(now_, i);
  }
}

std::vector<std::size_t> FleetSimulator::BeginReaderFault(
    const FleetReaderFault& fault) {
  std::vector<std::size_t> hosts;
  std::size_t spared = 0;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i]->state_.store_.waiting_ || ++spared > fault.spared_) {
      hosts.push_back(i);
    }
  }
  for (const std::size_t i : hosts) {
    Node& node = *nodes_[i];
    switch (fault.fault_) {
      case ReaderFault::kCutOff:
        cut_off_hosts_.insert(i);
        continue;
      case ReaderFault::kFrozen:
        node.frozen_ = true;
        break;
      case ReaderFault::kSilentStore:
        node.store_is_silent_ = true;
        LoseWaitingPoll(i);
        break;
      case ReaderFault::kSilentConnections:
        node.silent_connections_ = kIdleStoreConnections;
        LoseWaitingPoll(i);
        document_audit_.BeginDisturbance(i);
        document_audit_.EndDisturbance(now_, i);
        continue;
    }
    document_audit_.BeginDisturbance(i);
  }
  return hosts;
}

void FleetSimulator::LoseWaitingPoll(std::size_t index) {
  std::erase_if(polls_, [&](const auto& entry) {
    const Poll& poll = entry.second;
    if (poll.host_ != index) return false;
    if (poll.process_ == nodes_[index]->process_) {
      FailStoreCall(index, StoreCall::kAwaitTable, poll.fails_at_ - now_);
    }
    return true;
  });
}

void FleetSimulator::EndReaderFault(ReaderFault fault,
                                    const std::vector<std::size_t>& hosts) {
  for (const std::size_t i : hosts) {
    Node& node = *nodes_[i];
    switch (fault) {
      case ReaderFault::kSilentConnections:
        continue;
      case ReaderFault::kCutOff:
        cut_off_hosts_.erase(i);
        continue;
      case ReaderFault::kFrozen:
        node.frozen_ = false;
        for (const auto& event : std::exchange(node.held_, {})) {
          Feed(i, std::move(*event));
        }
        break;
      case ReaderFault::kSilentStore:
        node.store_is_silent_ = false;
        break;
    }
    document_audit_.EndDisturbance(now_, i);
  }
}

void FleetSimulator::AuditDocuments() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!nodes_[i]->alive_) continue;
    document_audit_.RecordVersion(now_, i, nodes_[i]->state_.table_.version_);
  }
}

bool FleetSimulator::IsInForce(std::uint64_t version) const {
  return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& node) {
    return !node->alive_ || node->state_.table_.version_ >= version;
  });
}

RouteTable FleetSimulator::MakeTable(std::uint64_t version) const {
  RouteTable table;
  table.version_ = version;
  for (const FleetRoute& route : fleet_.routes_) {
    table.routes_.push_back(
        {.name_ = route.name_,
         .host_ = kHost,
         .path_prefix_ = "/" + route.name_ + "/",
         .idempotent_ = route.idempotent_,
         .timeout_ = route.deadline_,
         .latency_objective_ = route.objective_,
         .priority_ = policy_.uses_priorities_ ? route.priority_ : 0,
         .max_attempts_ = 3,
         .services_ = {{route.service_, 1.0}}});
    table.services_[route.service_].health_path_ = "/health";
  }
  IndexRoutes(table);
  return table;
}

}  // namespace jujubefront
