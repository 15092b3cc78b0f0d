#include "sidecar/relay_shell.h"

#include <algorithm>
#include <ctime>

#include "sidecar/explanation_json.h"

namespace jujubefront {
namespace {

constexpr int kCutOffExitCode = 3;
constexpr int kHealthyStatus = 200;
constexpr std::size_t kMaxHealthBytes = 64 * 1024;
// Time after which a health check counts as unanswered. Backend servers answer
// it as soon as they have a free slot.
constexpr std::chrono::milliseconds kHealthTimeout(1000);
// Share of the queue for large messages that first messages of inbound
// connections on the link port may take while they are incomplete.
constexpr std::size_t kSilentBytesDivisor = 4;
// Interval at which a process that is to exit checks its unsent responses.
constexpr Duration kDeliveryCheck = std::chrono::milliseconds(20);

BackendExchangeFailure ToBackendBreak(Http1Failure failure) {
  switch (failure) {
    case Http1Failure::kNotSent:
      return BackendExchangeFailure::kNotSent;
    case Http1Failure::kRefused:
      return BackendExchangeFailure::kRefused;
    case Http1Failure::kBroken:
      return BackendExchangeFailure::kBroken;
    case Http1Failure::kMalformed:
      return BackendExchangeFailure::kMalformed;
    case Http1Failure::kNoMemory:
      return BackendExchangeFailure::kNoMemory;
  }
  return BackendExchangeFailure::kBroken;
}

BackendProbeResult ToBackendProbe(Http1Probe probe) {
  switch (probe) {
    case Http1Probe::kListens:
      return BackendProbeResult::kListens;
    case Http1Probe::kRefused:
      return BackendProbeResult::kRefused;
    case Http1Probe::kUnknown:
      return BackendProbeResult::kUnknown;
  }
  return BackendProbeResult::kUnknown;
}

}  // namespace

struct RelayShell::EffectRunner {
  RelayShell& shell_;

  void operator()(AnswerRequest& effect) const {
    if (effect.made_by_node_) {
      shell_.protocol_.complete_relay_response_(effect.response_,
                                                effect.trace_id_);
    }
    shell_.metrics_.Observe(effect);
    shell_.clients_.Answer(effect.request_id_, std::move(effect.response_));
  }
  void operator()(SendToPeer& effect) const {
    shell_.links_.Send(effect.peer_, effect.message_);
  }
  void operator()(SendBack& effect) const {
    shell_.links_.SendBack(effect.connection_id_, effect.message_);
  }
  void operator()(ConnectPeer& effect) const {
    shell_.links_.Connect(effect.peer_);
  }
  void operator()(DisconnectPeer& effect) const {
    shell_.links_.Disconnect(effect.peer_);
  }
  void operator()(StartRun& effect) const {
    shell_.protocol_.prepare_run_(effect.request_,
                                  {.instance_ = effect.instance_,
                                   .caller_service_ = effect.caller_service_,
                                   .workspace_ = effect.workspace_,
                                   .remaining_ = effect.remaining_});
    shell_.backend_.SetAddress(effect.address_);
    shell_.backend_.Send(effect.run_id_, effect.request_);
  }
  void operator()(AbortRun& effect) const {
    shell_.backend_.Abort(effect.run_id_);
  }
  void operator()(ProbeBackend&) const { shell_.backend_.Probe(); }
  void operator()(CheckBackendHealth& effect) const {
    shell_.CheckHealth(effect);
  }
  void operator()(ReadTable& effect) const {
    shell_.store_.read_table_(effect);
  }
  void operator()(AwaitTable& effect) const {
    shell_.store_.await_table_(effect);
  }
  void operator()(AbandonPoll&) const { shell_.store_.abandon_poll_(); }
  void operator()(AnnounceNode&) const { shell_.store_.announce_(); }
  void operator()(ReadNodes&) const { shell_.store_.read_nodes_(); }
  void operator()(ReadCharges&) const { shell_.store_.read_charges_(); }
  void operator()(SaveCharges& effect) const {
    shell_.store_.save_charges_(effect);
  }
  void operator()(ReadDepartures&) const { shell_.store_.read_departures_(); }
  void operator()(SaveDepartures& effect) const {
    shell_.store_.save_departures_(effect);
  }
  void operator()(AnswerBackend& effect) const {
    shell_.answer_backend_(effect);
  }
  void operator()(ApplyClientLimits& effect) const {
    shell_.clients_.SetOptions(shell_.ServerOptions(effect.limits_));
  }
  void operator()(SetReady& effect) const { shell_.ready_ = effect.ready_; }
  void operator()(CloseClients&) const { shell_.clients_.StartClosing(); }
  void operator()(EndProcess& effect) const {
    shell_.ExitWhenDelivered(effect);
  }
  void operator()(Decision& effect) const { shell_.log_.Write(Now(), effect); }
};

RelayShell::RelayShell(RelayShellOptions options, PlatformProtocol protocol,
                       std::function<void(int)> on_exit)
    : options_(std::move(options)),
      protocol_(std::move(protocol)),
      on_exit_(std::move(on_exit)),
      memory_{.limit_ = options_.memory_bytes_},
      log_(options_.log_),
      client_buffers_{.limit_ = options_.client_buffer_bytes_,
                      .memory_ = &memory_},
      clients_(
          ServerOptions({}),
          {.on_request_ =
               [this](std::uint64_t id, Http1Request request) {
                 OnRequest(id, std::move(request));
               },
           .on_client_gone_ =
               [this](std::uint64_t id) { Feed(RequestCancelled{id}); },
           .on_refused_ =
               [this](Http1Fault fault) {
                 Feed(InputUnreadable{
                     .source_ = "request",
                     .detail_ = std::string(Http1FaultName(fault))});
               },
           .on_cut_off_ =
               [this](ClientCutOff reason) { LogCutOff("clients", reason); }}),
      backend_(
          {.limits_ = {.max_body_bytes_ = options_.memory_bytes_,
                       .memory_ = &memory_},
           .correlation_header_ = protocol_.correlation_header_},
          {.on_response_ =
               [this](std::uint64_t run_id, Http1Response response) {
                 OnBackendResponse(run_id, std::move(response));
               },
           .on_failure_ =
               [this](std::uint64_t run_id, Http1Failure failure) {
                 Feed(BackendExchangeFailed{
                     .run_id_ = run_id, .failure_ = ToBackendBreak(failure)});
               },
           .on_probed_ =
               [this](Http1Probe probe) {
                 Feed(BackendProbed{.probe_ = ToBackendProbe(probe)});
               }}),
      health_({.limits_ = {.max_body_bytes_ = kMaxHealthBytes}},
              {.on_response_ =
                   [this](std::uint64_t, const Http1Response& response) {
                     OnHealthAnswer(response);
                   },
               .on_failure_ =
                   [this](std::uint64_t, Http1Failure) {
                     Feed(BackendHealthChecked{});
                   },
               .on_probed_ = [](Http1Probe) {}}),
      links_(options_.link_silence_, options_.link_queue_bytes_,
             LinkHandlers()) {
  memory_.relieve_ = [this](std::size_t bytes) { clients_.FreeMemory(bytes); };
  links_.SetMemory(&memory_);
  links_.LimitSilent(options_.max_silent_peers_,
                     options_.link_queue_bytes_ / kSilentBytesDivisor);
  wake_timer_.setSingleShot(true);
  wake_timer_.setTimerType(Qt::PreciseTimer);
  connect(&wake_timer_, &QTimer::timeout, this, [this] {
    wake_at_.reset();
    Feed(RelayTimeReached{});
  });
}

RelayShell::~RelayShell() = default;

// The kernel keeps sending after the exit, but it resets a connection with
// unread input, and a slow reader may not take what is buffered here.
void RelayShell::ExitWhenDelivered(const EndProcess& end) {
  // Responses to new clients would put the exit off.
  clients_.StopAccepting();
  const std::size_t undelivered =
      clients_.undelivered_bytes() + links_.undelivered_replies();
  if (undelivered > 0 && Now() < end.deliver_until_) {
    QTimer::singleShot(
        std::chrono::duration_cast<std::chrono::milliseconds>(kDeliveryCheck),
        this, [this, end] { ExitWhenDelivered(end); });
    return;
  }
  log_.WriteStop(static_cast<std::int64_t>(end.cut_off_));
  on_exit_(end.cut_off_ == 0 ? 0 : kCutOffExitCode);
}

std::optional<std::string> RelayShell::Start() {
  if (!links_.Listen(options_.link_address_)) return options_.link_address_;
  if (!clients_.Listen(options_.client_address_)) {
    return options_.client_address_;
  }
  log_.WriteStart(options_.relay_);
  std::vector<RelayEffect> effects;
  state_ = MakeRelay(options_.relay_, Now(), effects);
  for (RelayEffect& effect : effects) std::visit(EffectRunner{*this}, effect);
  ScheduleWake();
  return std::nullopt;
}

Timestamp RelayShell::Now() {
  // CLOCK_BOOTTIME also advances while the machine is suspended, and wall
  // clock adjustments do not affect it.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Timestamp(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

void RelayShell::Feed(RelayEventBody body) {
  std::vector<RelayEffect> effects =
      StepRelay(state_, options_.relay_, {Now(), std::move(body)});
  for (RelayEffect& effect : effects) std::visit(EffectRunner{*this}, effect);
  ScheduleWake();
}

void RelayShell::Reload(const RelayOptions& relay) {
  options_.relay_ = relay;
  Feed(SettingsReloaded{});
}

void RelayShell::ScheduleWake() {
  const auto wake = NextRelayWake(state_);
  // A timer that is due earlier is kept: one wake-up too early costs less than
  // restarting the timer after every event.
  if (!wake || (wake_at_ && *wake_at_ <= *wake)) return;
  wake_at_ = wake;
  const Duration wait = std::max(Duration::zero(), *wake - Now());
  wake_timer_.start(std::chrono::ceil<std::chrono::milliseconds>(wait));
}

Http1ServerOptions RelayShell::ServerOptions(const ClientLimits& limits) {
  return {.limits_ = {.max_header_bytes_ = limits.max_header_bytes_,
                      .max_body_bytes_ = limits.max_body_bytes_,
                      .memory_ = &memory_},
          .header_timeout_ = limits.header_timeout_,
          .idle_timeout_ = limits.idle_timeout_,
          .max_connections_ = options_.max_client_connections_,
          .max_read_ahead_ = options_.max_read_ahead_,
          .max_unsent_ = options_.max_unsent_,
          .stall_timeout_ = options_.stall_timeout_,
          .buffers_ = &client_buffers_,
          .silence_ = options_.client_silence_};
}

PeerLinks::Handlers RelayShell::LinkHandlers() {
  return {
      .on_inbound_ =
          [this](std::uint64_t id, LinkMessage message) {
            Feed(LinkReceived{.connection_id_ = id,
                              .message_ = std::move(message)});
          },
      .on_inbound_end_ =
          [this](std::uint64_t id) { Feed(InboundLinkClosed{id}); },
      .on_outbound_ =
          [this](const std::string& peer, LinkMessage message) {
            if (const auto* text = std::get_if<TableText>(&message)) {
              return FeedTable(peer, *text);
            }
            Feed(LinkReceived{.peer_ = peer, .message_ = std::move(message)});
          },
      .on_connected_ =
          [this](const std::string& peer) { Feed(PeerConnected{peer}); },
      .on_disconnected_ =
          [this](const std::string& peer) { Feed(PeerDisconnected{peer}); },
      .on_unreadable_ =
          [this](const std::string& peer) {
            Feed(InputUnreadable{.source_ = "message of a peer",
                                 .detail_ = peer});
          },
      .on_order_refused_ =
          [this](std::uint64_t connection_id, std::uint64_t send_id) {
            Feed(RunOrderRefused{.connection_id_ = connection_id,
                                 .send_id_ = send_id});
          },
      .on_reply_refused_ =
          [this](std::uint64_t send_id, std::size_t bytes) {
            Feed(RunReplyRefused{.send_id_ = send_id, .bytes_ = bytes});
          }};
}

void RelayShell::FeedTable(const std::string& peer, const TableText& text) {
  std::optional<RouteTable> table = protocol_.decode_table_(text.text_);
  if (!table) {
    return Feed(
        InputUnreadable{.source_ = "routing document", .detail_ = peer});
  }
  Feed(TableRead{.from_peer_ = true,
                 .peer_ = peer,
                 .table_ = std::move(*table),
                 .text_ = text.text_});
}

void RelayShell::OnRequest(std::uint64_t id, Http1Request request) {
  RequestMetadata metadata = protocol_.read_request_(request);
  // The time that a request waited to be read counts against its deadline.
  if (metadata.remaining_) {
    metadata.remaining_ =
        std::max(Duration::zero(), *metadata.remaining_ - request.waited_);
  }
  const std::string* host = FindHeader(request.headers_, "Host");
  Feed(RequestArrived{
      .request_id_ = id,
      .trace_id_ = std::move(metadata.trace_id_),
      .parent_trace_id_ = std::move(metadata.parent_trace_id_),
      .host_ = host == nullptr ? "" : *host,
      .remaining_ = metadata.remaining_,
      .content_ = metadata.content_,
      .key_ = metadata.key_,
      .credential_header_ = protocol_.credential_header_,
      .free_memory_ = memory_.limit_ - std::min(memory_.limit_, memory_.used_),
      .request_ = std::move(request)});
}

void RelayShell::OnBackendResponse(std::uint64_t run_id,
                                   Http1Response response) {
  const ResponseMetadata metadata = protocol_.read_response_(response);
  Feed(BackendResponded{.run_id_ = run_id,
                        .response_ = std::move(response),
                        .not_run_ = metadata.not_run_,
                        .corrupted_ = metadata.corrupted_,
                        .notice_ = metadata.notice_});
}

void RelayShell::CheckHealth(const CheckBackendHealth& check) {
  const std::uint64_t id = ++last_health_check_;
  health_.SetAddress(check.address_);
  health_.Send(id, {.method_ = "GET",
                    .target_ = check.path_,
                    .headers_ = {{"Host", check.address_}}});
  QTimer::singleShot(kHealthTimeout, this, [this, id] {
    if (health_.Abort(id)) Feed(BackendHealthChecked{});
  });
}

void RelayShell::OnHealthAnswer(const Http1Response& response) {
  const ResponseMetadata metadata = protocol_.read_response_(response);
  BackendHealthChecked checked{.health_ = BackendHealth::kUnhealthy,
                               .instance_ = metadata.instance_,
                               .notice_ = metadata.notice_};
  if (response.status_ == kHealthyStatus && !metadata.notice_.leaving_) {
    checked.health_ = metadata.instance_.empty() ? BackendHealth::kUnnamed
                                                 : BackendHealth::kHealthy;
  }
  // Checks are seldom; the backend server counts connections.
  health_.CloseIdle();
  Feed(std::move(checked));
}

void RelayShell::LogCutOff(std::string_view listener, ClientCutOff reason) {
  log_.Write(Now(),
             {.kind_ = DecisionKind::kClientCutOff,
              .trace_id_ = {},
              .inputs_ = {{"listener", std::string(listener)},
                          {"reason", std::string(ClientCutOffName(reason))}}});
}

std::string RelayShell::Metrics(const ClientBuffers& others) const {
  return metrics_.Render(state_) +
         RenderClientBuffers(client_buffers_ + others) +
         RenderMessageMemory(memory_);
}

std::string RelayShell::Explain(const PlacementQuery& query) const {
  return RenderExplanation(
      ExplainPlacement(state_, options_.relay_, Now(), query));
}

}  // namespace jujubefront
