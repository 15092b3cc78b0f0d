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
#include "relay/explanation.h"
#include "relay/relay.h"
#include "relaylink/peer_links.h"
#include "sidecar/decision_log.h"
#include "sidecar/relay_metrics.h"

namespace jujubefront {

// What the headers of a request state.
struct RequestMetadata {
  std::string trace_id_;
  // Id of the run that makes this call; empty if the trace id names none.
  std::string parent_trace_id_;
  std::optional<Duration> remaining_;  // until the client's deadline
  Fingerprint key_;  // hash of the client's key; unknown: it sent none
  // Covers everything but the caller, so that it is the same in every attempt.
  Fingerprint content_;
};

// What the headers of a request state to the backend server that runs it.
struct RunMetadata {
  std::string instance_;  // the instance that is expected to run it
  std::string caller_service_;
  std::string workspace_;                  // of the client's key; empty: none
  Duration remaining_ = Duration::zero();  // until the run's deadline
};

// What the headers and status of a backend server's response state.
struct ResponseMetadata {
  bool not_run_ = false;    // the backend server did not run the request
  bool corrupted_ = false;  // not the response that the backend server made
  BackendNotice notice_;
  std::string instance_;  // that answers a health check; empty: not stated
};

// Header names and document encoding of the platform that the relay runs on.
struct PlatformProtocol {
  // Backend servers copy this header of a request into its response.
  std::string correlation_header_;
  // Contains the client's key. Where the routing document has workspaces, it is
  // not passed on.
  std::string credential_header_;
  std::function<RequestMetadata(const Http1Request&)> read_request_;
  // Sets the headers of a request for the backend server that runs it.
  std::function<void(Http1Request&, const RunMetadata&)> prepare_run_;
  std::function<ResponseMetadata(const Http1Response&)> read_response_;
  // Adds headers to a response that the relay itself made.
  std::function<void(Http1Response&, const std::string& trace_id)>
      complete_relay_response_;
  // Decodes a routing document; nullopt if it is malformed.
  std::function<std::optional<RouteTable>(const std::string& text)>
      decode_table_;
};

// Asynchronous calls to the platform's store. Each reports its result in one
// or more events to RelayShell::Feed.
struct StoreInterface {
  std::function<void(const ReadTable&)> read_table_;
  std::function<void(const AwaitTable&)> await_table_;
  std::function<void()> abandon_poll_;  // gives up await_table_, unreported
  std::function<void()> announce_;      // lists this node in the store
  std::function<void()> read_nodes_;    // reads the nodes that the store lists
  std::function<void()> read_charges_;  // reads all that save_charges_ has kept
  // Replaces the charges that the store keeps for a content; none: removes it.
  std::function<void(const SaveCharges&)> save_charges_;
  // Reads what save_departures_ has kept for this node.
  std::function<void()> read_departures_;
  std::function<void(const SaveDepartures&)> save_departures_;
};

// Addresses and limits of one relay process.
struct RelayShellOptions {
  RelayOptions relay_;
  // Listening address for peers. Peers connect to relay_.address_, which may
  // differ from it.
  std::string link_address_;
  std::string client_address_;  // listening address for requests
  std::size_t max_client_connections_ = 2500;
  // Limit on what messages occupy, from when they are read until they are
  // released, and on each response of the backend server.
  std::size_t memory_bytes_ = 192 * 1024 * 1024;
  // Limit on large messages to peers that wait to be sent and do not count in
  // that, such as routing documents.
  std::size_t link_queue_bytes_ = 64 * 1024 * 1024;
  // Limit on what is stored for all clients that send requests: input read
  // ahead, open requests, unsent responses.
  std::size_t client_buffer_bytes_ = 64 * 1024 * 1024;
  std::size_t max_read_ahead_ = 64 * 1024;  // bytes, see Http1ServerOptions
  std::size_t max_unsent_ = 64 * 1024;      // bytes, see Http1ServerOptions
  Duration stall_timeout_ = std::chrono::seconds(20);
  // Inbound connections on the link port on which no message has arrived yet.
  std::size_t max_silent_peers_ = 512;
  SilenceOptions link_silence_;
  SilenceOptions client_silence_;
  DecisionLogOptions log_;
};

// I/O layer of the relay: turns network input and timers into events for the
// reducer (StepRelay) and carries out the effects that it returns. All
// decisions are made in the reducer.
class RelayShell : public QObject {
 public:
  RelayShell(RelayShellOptions options, PlatformProtocol protocol,
             std::function<void(int)> on_exit);
  ~RelayShell() override;

  void SetStore(StoreInterface store) { store_ = std::move(store); }
  // Sets the handler that answers the calls of the local backend server.
  void SetBackendAnswers(std::function<void(const AnswerBackend&)> answer) {
    answer_backend_ = std::move(answer);
  }

  // Binds the addresses and starts the reducer. Returns the address that
  // could not be bound, or nullopt on success.
  std::optional<std::string> Start();

  // Passes an event to the reducer and carries out the resulting effects.
  void Feed(RelayEventBody body);

  // Applies settings that may change while the process runs.
  void Reload(const RelayOptions& relay);

  // What messages occupy, for further servers of the process.
  MessageMemory& memory() { return memory_; }
  // Logs that a server of the process closed the connection of a client.
  void LogCutOff(std::string_view listener, ClientCutOff reason);

  bool ready() const { return ready_; }
  // `others`: what further servers of the process store for their clients.
  std::string Metrics(const ClientBuffers& others) const;
  // Explains as JSON where a request would be sent now. Changes nothing.
  std::string Explain(const PlacementQuery& query) const;

 private:
  struct EffectRunner;

  static Timestamp Now();
  // Starts the timer for the reducer's next timer event.
  void ScheduleWake();
  void OnRequest(std::uint64_t id, Http1Request request);
  void ExitWhenDelivered(const EndProcess& end);
  void OnBackendResponse(std::uint64_t run_id, Http1Response response);
  void CheckHealth(const CheckBackendHealth& check);
  void OnHealthAnswer(const Http1Response& response);
  Http1ServerOptions ServerOptions(const ClientLimits& limits);
  PeerLinks::Handlers LinkHandlers();
  // Decodes a routing document of a peer and passes it to the reducer.
  void FeedTable(const std::string& peer, const TableText& text);

  RelayShellOptions options_;
  PlatformProtocol protocol_;
  std::function<void(int)> on_exit_;
  StoreInterface store_;
  std::function<void(const AnswerBackend&)> answer_backend_;
  MessageMemory memory_;  // outlives the messages of the state
  RelayState state_;
  QTimer wake_timer_;
  std::optional<Timestamp> wake_at_;
  bool ready_ = false;
  DecisionLog log_;
  RelayMetrics metrics_;
  ClientBuffers client_buffers_;
  Http1Server clients_;
  Http1Client backend_;
  Http1Client health_;  // answers to health checks name no request
  std::uint64_t last_health_check_ = 0;
  PeerLinks links_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_SIDECAR_RELAY_SHELL_H_
