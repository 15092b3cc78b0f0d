#include "daemon/node_shell.h"

#include <QCoreApplication>
#include <QMetaObject>
#include <QRandomGenerator>

#include "context/answer.h"
#include "daemon/control_pages.h"
#include "telemetry/logging.h"

namespace jujubefront {
namespace {

constexpr char kMetricsContentType[] = "text/plain; version=0.0.4";
// Time to send the last messages before the process ends.
constexpr std::chrono::milliseconds kExitDelay(200);
constexpr int kCutOffExitCode = 3;

Timestamp WallNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::system_clock::now());
}

Http1Response MakePage(int status, std::string body,
                       const char* content_type = "application/json") {
  return {.status_ = status,
          .headers_ = {{"Content-Type", content_type}},
          .body_ = std::move(body)};
}

Http1ServerOptions RequestServerOptions(const NodeSettings& settings) {
  return {.limits_ = {.max_header_bytes_ = settings.max_header_bytes_,
                      .max_body_bytes_ = settings.max_body_bytes_},
          .refusal_ = [](Http1Fault fault) {
            return RefuseRequest(RequestFaultOf(fault));
          }};
}

// Prefix of the path; the request's key follows it.
constexpr std::string_view kExplainPath = "/explain?key=";

}  // namespace

struct NodeShell::EffectRunner {
  NodeShell& shell_;

  void operator()(const AnswerCaller& effect) const {
    shell_.metrics_.Observe(effect);
    const Answer& answer = effect.answer_;
    shell_.journal_.Write(
        shell_.Now(), "answer",
        {{"node", shell_.settings_.node_.name_},
         {"key", FormatRequestKey(effect.key_)},
         {"service", effect.service_},
         {"verdict", std::string(VerdictName(answer.verdict_))},
         {"reason", std::string(ReasonName(answer.reason_))},
         {"tries", static_cast<std::int64_t>(effect.tries_)}});
    shell_.calls_.Answer(effect.call_id_, MakeResponse(effect));
  }
  void operator()(const SendPeer& effect) const {
    shell_.rpc_->Send(effect.send_id_, effect.address_, effect.message_,
                      effect.timeout_);
  }
  void operator()(const WithdrawPeer& effect) const {
    shell_.rpc_->Withdraw(effect.send_id_);
  }
  void operator()(const ReplyPeer& effect) const {
    shell_.rpc_->Reply(effect.inbound_id_, effect.message_);
  }
  void operator()(const RunBackend& effect) const {
    shell_.journal_.Write(shell_.Now(), "run",
                          {{"node", shell_.settings_.node_.name_},
                           {"key", FormatRequestKey(effect.context_.key_)},
                           {"service", effect.context_.service_},
                           {"class", effect.context_.class_name_},
                           {"idempotent", static_cast<std::int64_t>(
                                              effect.context_.idempotent_)}});
    shell_.backend_.Run(effect, effect.context_.deadline_ - shell_.Now());
  }
  void operator()(const AbortBackend& effect) const {
    shell_.backend_.Abort(effect.run_id_);
  }
  void operator()(const ReadLog& effect) const {
    NodeShell* shell = &shell_;
    shell_.log_.Read(effect.from_, [shell](std::optional<LogRead> read) {
      if (read) {
        shell->Feed(std::move(*read));
      } else {
        shell->Feed(LogUnavailable{});
      }
    });
  }
  void operator()(const AppendLog& effect) const {
    NodeShell* shell = &shell_;
    const std::uint64_t id = effect.append_id_;
    shell_.log_.Append(
        effect.text_, [shell, id](std::optional<LogOffset> offset) {
          shell->Feed(LogAppended{.append_id_ = id, .offset_ = offset});
        });
  }
  void operator()(const StateChange& effect) const {
    shell_.journal_.Write(shell_.Now(), "state",
                          {{"node", shell_.settings_.node_.name_},
                           {"change", std::string(ChangeName(effect.kind_))},
                           {"number", effect.number_}});
    LogChange(shell_.settings_.node_.name_, effect);
  }
  void operator()(const ExitProcess& effect) const {
    shell_.ExitAfterDelay(effect.cut_off_);
  }
};

NodeShell::NodeShell(NodeSettings settings, std::function<void(int)> on_exit)
    : settings_(std::move(settings)),
      on_exit_(std::move(on_exit)),
      wall_start_(WallNow()),
      steady_start_(std::chrono::steady_clock::now()),
      journal_(settings_.journal_path_),
      calls_(
          RequestServerOptions(settings_),
          {.on_request_ =
               [this](std::uint64_t id, const Http1Request& request) {
                 OnCallRequest(id, request);
               },
           .on_client_gone_ =
               [this](std::uint64_t id) { Feed(CallerGone{.call_id_ = id}); }}),
      control_({}, {.on_request_ =
                        [this](std::uint64_t id, const Http1Request& request) {
                          OnControlRequest(id, request);
                        },
                    .on_client_gone_ = [](std::uint64_t) {}}),
      backend_(
          {.address_ = settings_.backend_address_,
           .max_connections_ = settings_.max_connections_},
          [this](BackendAnswered answered) { Feed(std::move(answered)); },
          [this](BackendFailed failed) { Feed(failed); }),
      log_({.address_ = settings_.log_address_,
            .stream_ = settings_.log_stream_}) {
  wake_timer_.setSingleShot(true);
  wake_timer_.setTimerType(Qt::PreciseTimer);
  wake_timer_.callOnTimeout(this, [this] { Feed(TimeReached{}); });
}

NodeShell::~NodeShell() = default;

Timestamp NodeShell::Now() const {
  const auto elapsed = std::chrono::steady_clock::now() - steady_start_;
  return wall_start_ + std::chrono::duration_cast<Duration>(elapsed);
}

boost::leaf::result<void> NodeShell::Start() {
  NodeOptions& node = settings_.node_;
  rpc_ = std::make_unique<RpcHost>(
      RpcOptions{.listen_address_ = node.rpc_address_}, MakeRpcHandlers());
  const auto rpc_port = rpc_->Start();
  if (!rpc_port) {
    return boost::leaf::new_error(
        AddressUnavailable{"listen.rpc", node.rpc_address_});
  }
  node.rpc_address_ =
      node.rpc_address_.substr(0, node.rpc_address_.rfind(':') + 1) +
      std::to_string(*rpc_port);
  if (!calls_.Listen(settings_.http_address_)) {
    return boost::leaf::new_error(
        AddressUnavailable{"listen.http", settings_.http_address_});
  }
  if (!control_.Listen(settings_.control_address_)) {
    return boost::leaf::new_error(
        AddressUnavailable{"listen.control", settings_.control_address_});
  }
  node.incarnation_ =
      static_cast<Incarnation>(Now().time_since_epoch().count());
  node.seed_ = QRandomGenerator::system()->generate64();
  state_ = MakeNode(node, Now());
  ScheduleWake();
  return {};
}

void NodeShell::Drain() { Feed(DrainRequested{}); }

void NodeShell::Feed(EventBody body) {
  if (exiting_) return;
  const Event event{.now_ = Now(), .body_ = std::move(body)};
  for (const Effect& effect : Step(state_, settings_.node_, event)) {
    std::visit(EffectRunner{*this}, effect);
  }
  ScheduleWake();
}

void NodeShell::ScheduleWake() {
  const auto next = NextWake(state_);
  if (!next) return;
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*next - Now());
  wake_timer_.start(std::max(wait, std::chrono::milliseconds(0)));
}

RpcHandlers NodeShell::MakeRpcHandlers() {
  // The handlers are called on the RPC thread and post their events to the
  // thread of this object.
  const auto post = [this](EventBody body) {
    QMetaObject::invokeMethod(
        this,
        [this, body = std::move(body)]() mutable { Feed(std::move(body)); },
        Qt::QueuedConnection);
  };
  return {
      .on_request_ =
          [post](std::uint64_t id, PeerMessage message) {
            post(PeerRequested{.inbound_id_ = id,
                               .message_ = std::move(message)});
          },
      .on_withdrawn_ =
          [post](std::uint64_t id) { post(PeerWithdrew{.inbound_id_ = id}); },
      .on_reply_ =
          [post](std::uint64_t id, PeerMessage message) {
            post(PeerReplied{.send_id_ = id, .message_ = std::move(message)});
          },
      .on_failure_ =
          [post](std::uint64_t id, PeerFailure failure) {
            post(PeerFailed{.send_id_ = id, .failure_ = failure});
          }};
}

void NodeShell::OnCallRequest(std::uint64_t request_id,
                              const Http1Request& request) {
  auto result = ReadCall(request);
  if (const auto* fault = std::get_if<RequestFault>(&result)) {
    return calls_.Answer(request_id, RefuseRequest(*fault));
  }
  auto& call = std::get<CallArrived>(result);
  call.call_id_ = request_id;
  Feed(std::move(call));
}

void NodeShell::OnControlRequest(std::uint64_t request_id,
                                 const Http1Request& request) {
  control_.Answer(request_id, ControlResponse(request));
}

Http1Response NodeShell::ControlResponse(const Http1Request& request) {
  constexpr int kUnavailable = 503;
  constexpr int kNotFound = 404;
  constexpr int kAccepted = 202;
  const std::string& path = request.target_;
  if (path == "/metrics") {
    return MakePage(200, metrics_.Render(state_), kMetricsContentType);
  }
  if (path == "/status") {
    return MakePage(200, RenderStatus(state_, settings_.node_, Now()));
  }
  if (path.starts_with(kExplainPath)) return ExplainResponse(path);
  if (path == "/health") return MakePage(200, "{\"healthy\":true}\n");
  if (path == "/ready") {
    const bool ready = state_.log_.caught_up_ &&
                       !state_.configuration_.catalogue_.services_.empty() &&
                       state_.lifecycle_.state_ <= MemberState::kServing;
    return ready ? MakePage(200, "{\"ready\":true}\n")
                 : MakePage(kUnavailable, "{\"ready\":false}\n");
  }
  if (path == "/drain" && request.method_ == "POST") {
    // The drain is queued, so that this request is answered first: the drain
    // may end the process.
    QMetaObject::invokeMethod(
        this, [this] { Drain(); }, Qt::QueuedConnection);
    return MakePage(kAccepted, "{\"draining\":true}\n");
  }
  return MakePage(kNotFound, "{\"reason\":\"no-such-page\"}\n");
}

Http1Response NodeShell::ExplainResponse(const std::string& path) const {
  constexpr int kBadRequest = 400;
  const auto key = ParseRequestKey(path.substr(kExplainPath.size()));
  if (!key) {
    return MakePage(kBadRequest,
                    "{\"reason\":\"malformed\",\"where\":\"key\"}\n");
  }
  return MakePage(200, RenderRequest(state_, *key));
}

void NodeShell::ExitAfterDelay(std::uint64_t cut_off) {
  const int code = cut_off == 0 ? 0 : kCutOffExitCode;
  QTimer::singleShot(kExitDelay, this, [this, code] {
    exiting_ = true;
    on_exit_(code);
  });
}

}  // namespace jujubefront
