#ifndef JUJUBEFRONT_SIDECAR_RELAY_SHELL_H_
#define JUJUBEFRONT_SIDECAR_RELAY_SHELL_H_

#include <QObject>
#include <QTimer>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "http1/http1_client.h"
#include "http1/http1_server.h"
#include "relay/relay.h"
#include "relaylink/peer_links.h"
#include "sidecar/decision_log.h"
#include "sidecar/relay_metrics.h"

namespace jujubefront {

// What a request says of itself.
struct RequestMetadata {
  std::string trace_id_;
  std::string parent_trace_id_;  // of the run that makes it, as far as told
  std::optional<Duration> remaining_;
  Fingerprint content_;  // of all but the caller; the same in every attempt
};

// What a backend server has to be told with a request.
struct RunMetadata {
  std::string instance_;
  std::string caller_service_;
  Duration remaining_ = Duration::zero();
};

// What a response of a backend server says of itself.
struct ResponseMetadata {
  bool not_run_ = false;
  bool corrupted_ = false;
};

// Headers of the place where the relay runs.
struct PlatformProtocol {
  std::string correlation_header_;  // repeated by backend servers
  std::function<RequestMetadata(const Http1Request&)> read_request_;
  std::function<void(Http1Request&, const RunMetadata&)> prepare_run_;
  std::function<ResponseMetadata(const Http1Response&)> read_response_;
  // Completes a response that the relay made itself.
  std::function<void(Http1Response&, const std::string& trace_id)>
      complete_own_response_;
  // Decodes a routing document; nothing when it cannot be read.
  std::function<std::optional<RouteTable>(const std::string& text)>
      decode_table_;
};

// Calls to the store. Each leads to one event or more.
struct StoreInterface {
  std::function<void()> read_table_;
  std::function<void(std::uint64_t from, Duration wait)> await_table_;
  std::function<void()> announce_;
  std::function<void()> read_nodes_;
};

// Addresses and bounds of one relay process.
struct RelayShellOptions {
  RelayOptions relay_;
  // Where peers' connections arrive; relay_.address_ is what peers are told.
  std::string link_address_;
  std::string client_address_;  // where requests arrive
  std::size_t max_client_connections_ = 2500;
  // Bytes of message bodies that are being read, of clients and of the backend
  // server, each.
  std::size_t message_bytes_ = 64 * 1024 * 1024;
  SilenceOptions link_silence_;
  SilenceOptions client_silence_;
  DecisionLogOptions log_;
};

// Turns I/O into events and effects into I/O. It decides nothing.
class RelayShell : public QObject {
 public:
  RelayShell(RelayShellOptions options, PlatformProtocol protocol,
             std::function<void(int)> on_exit);
  ~RelayShell() override;

  void SetStore(StoreInterface store) { store_ = std::move(store); }

  // Binds the addresses and starts the reducer. Returns the address that
  // could not be bound, or nothing.
  std::optional<std::string> Start();

  void Feed(RelayEventBody body);

  // Takes over settings that may change while the process runs.
  void Reload(const RelayOptions& relay);

  bool ready() const { return ready_; }
  std::string Metrics() const;

 private:
  struct EffectRunner;

  static Timestamp Now();
  void ScheduleWake();
  void OnRequest(std::uint64_t id, Http1Request request);
  void OnBackendResponse(std::uint64_t run_id, Http1Response response);
  Http1ServerOptions ServerOptions(const ClientLimits& limits);
  PeerLinks::Handlers LinkHandlers();
  void FeedTable(const TableText& text);

  RelayShellOptions options_;
  PlatformProtocol protocol_;
  std::function<void(int)> on_exit_;
  StoreInterface store_;
  RelayState state_;
  QTimer wake_timer_;
  std::optional<Timestamp> wake_at_;
  bool ready_ = false;
  DecisionLog log_;
  RelayMetrics metrics_;
  MessageMemory client_memory_;
  MessageMemory backend_memory_;
  Http1Server clients_;
  Http1Client backend_;
  PeerLinks links_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_SIDECAR_RELAY_SHELL_H_
