#ifndef JUJUBEFRONT_DAEMON_NODE_SHELL_H_
#define JUJUBEFRONT_DAEMON_NODE_SHELL_H_

#include <QObject>
#include <QTimer>
#include <boost/leaf/result.hpp>
#include <chrono>
#include <functional>
#include <memory>

#include "daemon/daemon_errors.h"
#include "http/backend_client.h"
#include "http1/http1_server.h"
#include "node/node.h"
#include "platformlog/log_client.h"
#include "rpc/rpc_host.h"
#include "settings/settings_types.h"
#include "telemetry/call_metrics.h"
#include "telemetry/journal.h"

namespace jujubefront {

// I/O layer of the node: turns network input and timers into events for the
// reducer (Step) and carries out the effects that it returns. All decisions are
// made in the reducer.
class NodeShell : public QObject {
 public:
  // `on_exit` is called with the process's exit code.
  NodeShell(NodeSettings settings, std::function<void(int)> on_exit);
  ~NodeShell() override;

  // Binds every address. Errors: AddressUnavailable.
  boost::leaf::result<void> Start();

  // Begins a planned stop.
  void Drain();

 private:
  struct EffectRunner;

  Timestamp Now() const;
  // Passes an event to the reducer and carries out the resulting effects.
  void Feed(EventBody body);
  // Starts the timer for the reducer's next timer event.
  void ScheduleWake();
  RpcHandlers MakeRpcHandlers();
  void OnCallRequest(std::uint64_t request_id, const Http1Request& request);
  void OnControlRequest(std::uint64_t request_id, const Http1Request& request);
  Http1Response ControlResponse(const Http1Request& request);
  Http1Response ExplainResponse(const std::string& path) const;
  // Ends the process. `cut_off`: requests that are still open.
  void ExitAfterDelay(std::uint64_t cut_off);

  NodeSettings settings_;
  std::function<void(int)> on_exit_;
  // Wall clock at the start. Now() adds the time elapsed on the steady clock,
  // so that it never runs backwards when the wall clock is adjusted.
  Timestamp wall_start_;
  std::chrono::steady_clock::time_point steady_start_;
  NodeState state_;
  bool exiting_ = false;
  QTimer wake_timer_;
  CallMetrics metrics_;
  Journal journal_;
  Http1Server calls_;
  Http1Server control_;
  BackendClient backend_;
  LogClient log_;
  std::unique_ptr<RpcHost> rpc_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_DAEMON_NODE_SHELL_H_
