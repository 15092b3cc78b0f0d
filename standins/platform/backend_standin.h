#ifndef JUJUBEFRONT_STANDINS_PLATFORM_BACKEND_STANDIN_H_
#define JUJUBEFRONT_STANDINS_PLATFORM_BACKEND_STANDIN_H_

#include <QJsonObject>
#include <QObject>
#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "http1/http1_client.h"
#include "http1/http1_server.h"
#include "relaymodel/rate_limit_audit.h"

namespace jujubefront {

Timestamp SteadyNow();

// Configures a stand-in for a backend server.
struct BackendStandinOptions {
  std::string instance_;
  std::string service_;
  std::string zone_;
  std::string address_;            // on which it accepts requests
  std::string heartbeat_address_;  // sent in heartbeats; empty: address_
  std::string control_address_;    // of the relay on its host
  std::uint32_t slots_ = 16;
  Duration work_ = std::chrono::milliseconds(0);
  Duration heartbeat_ = std::chrono::milliseconds(300);
};

// A backend server that answers after a configurable time, counts the runs of
// each request and sends heartbeats to the relay on its host.
class BackendStandin : public QObject {
 public:
  explicit BackendStandin(BackendStandinOptions options);

  bool Listen();
  // Replaces this backend server by another instance at the same address.
  bool ReplaceWith(const std::string& instance);
  void SetHeartbeatAddress(const std::string& address) {
    options_.heartbeat_address_ = address;
  }
  void OnRun(std::function<void(const std::string& trace_id)> on_run) {
    on_run_ = std::move(on_run);
  }
  const std::string& instance() const { return options_.instance_; }
  void SendHeartbeat();
  void StopHeartbeats() { heartbeat_.stop(); }
  // The next heartbeat, and the call by which it leaves, for a test to send.
  Http1Request MakeHeartbeat();
  Http1Request MakeLeave();
  // Leaves without having reported that it drains, and goes on serving. The
  // call is repeated until it is acknowledged, see drain_acknowledged().
  void Leave();
  // Sends a heartbeat that MakeHeartbeat() returned earlier.
  void SendLate(const Http1Request& heartbeat);
  void Drain();
  void SetWork(Duration work) { options_.work_ = work; }
  // Sets the size of the answers' bodies, beside the request's id.
  void SetBodyBytes(std::size_t bytes) { body_bytes_ = bytes; }
  // The same for requests whose target has this prefix.
  void SetBodyBytesAt(std::string target, std::size_t bytes) {
    large_target_ = std::move(target);
    large_body_bytes_ = bytes;
  }
  // Rejects all requests with this status without running them; 0 stops that.
  void RejectWith(int status) { reject_status_ = status; }
  // Runs each request, then answers with this status, also to health checks;
  // nullopt: 200.
  void AnswerWith(std::optional<int> status) { answer_status_ = status; }
  // Runs each request, then closes its connection instead of answering.
  void LoseAnswers(bool lose) { lose_answers_ = lose; }
  // From now on the answers name this rate limit; nullopt: none.
  void SetRateLimit(std::optional<double> per_second);
  // Sets which requests count against the rate limit, by their ids.
  void SelectCounted(std::function<bool(const std::string& trace_id)> counts) {
    counts_ = std::move(counts);
  }
  // Largest use of a rate limit so far, see RateLimitAudit::CountArrival.
  double rate_limit_use() const { return rate_limit_use_; }
  // From now on the answers state that this instance leaves; its heartbeats
  // do not.
  void StateLeaving() { states_leaving_ = true; }
  // Crashes when it begins to run a request whose target has this prefix; a
  // new instance replaces it after the given time.
  void CrashOn(std::string target, Duration down_time) {
    crash_target_ = std::move(target);
    down_time_ = down_time;
  }
  int crashes() const { return crashes_; }
  // Whether answers to health checks name the instance, which they should.
  void NameInstance(bool name) { names_instance_ = name; }
  int health_checks() const { return health_checks_; }

  const std::map<std::string, int>& runs() const { return runs_; }
  // The headers of the last request that arrived, also if it was rejected.
  const HeaderList& last_headers() const { return last_headers_; }
  // Counts the heartbeats that the relay answered with 200.
  int acknowledged() const { return acknowledged_; }
  bool drain_acknowledged() const { return drain_acknowledged_; }

 private:
  Http1Request MakeCall(const std::string& call, const QJsonObject& body) const;
  void RepeatLeave(std::uint64_t call);
  void OnRequest(std::uint64_t id, const Http1Request& request);
  Http1Response AnswerHealthCheck();
  // Adds what the answer states about this instance.
  void AddStatements(HeaderList& headers);
  void Answer(std::uint64_t id, const std::string& trace,
              std::size_t body_bytes);
  void Crash();

  BackendStandinOptions options_;
  std::unique_ptr<Http1Server> server_;
  std::function<void(const std::string&)> on_run_ = [](const auto&) {};
  Http1Client control_;
  QTimer heartbeat_;
  std::int64_t started_at_ms_ = 0;
  std::uint64_t sequence_ = 0;
  bool draining_ = false;
  bool leaves_ = false;  // a leave call was made
  int reject_status_ = 0;
  std::optional<int> answer_status_;
  std::size_t body_bytes_ = 600;
  std::string large_target_;  // empty: none
  std::size_t large_body_bytes_ = 0;
  bool lose_answers_ = false;
  bool names_instance_ = true;
  int health_checks_ = 0;
  RateLimitAudit limit_audit_;  // of the current instance
  std::function<bool(const std::string&)> counts_ = [](const auto&) {
    return true;
  };
  double rate_limit_use_ = 0.0;
  bool states_leaving_ = false;
  std::string crash_target_;
  Duration down_time_ = Duration::zero();
  int crashes_ = 0;
  std::map<std::string, int> runs_;  // by request id
  HeaderList last_headers_;
  int acknowledged_ = 0;
  bool drain_acknowledged_ = false;
  // Sequence number of the first heartbeat that reports draining; 0: none.
  std::uint64_t drain_sequence_ = 0;
  std::uint64_t leave_call_ = 0;  // id of the latest one; 0: none
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_STANDINS_PLATFORM_BACKEND_STANDIN_H_
