#include "fault_run.h"

#include <QDir>
#include <QEventLoop>
#include <QTimer>
#include <csignal>
#include <memory>

#include "base/hashing.h"
#include "telemetry/journal.h"

namespace jujubefront {
namespace {

constexpr Duration kStartTimeout = std::chrono::seconds(60);
constexpr std::chrono::milliseconds kSettleTime(8000);
constexpr std::uint32_t kMaxResends = 4;

Timestamp WallNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::system_clock::now());
}

std::chrono::milliseconds Millis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

// A request and its resends.
struct Request {
  RequestKey key_;
  std::string mark_;
  bool idempotent_ = false;
  std::uint32_t attempt_ = 0;
  std::string ticket_;
  bool ended_ = false;
};

// Sends requests and resends through random entry hosts and writes each send
// and each answer to a journal.
class JournalingCallers {
 public:
  JournalingCallers(Cluster& cluster, RandomState& random)
      : cluster_(cluster),
        random_(random),
        caller_(12),
        entries_(cluster.HostNames()),
        journal_(cluster.Folder() + "/callers.journal") {}

  void StartRequest() {
    auto request = std::make_shared<Request>();
    request->key_ =
        MakeRequestKey(WallNow(), NextRandom(random_), NextRandom(random_));
    request->mark_ = "mark=" + std::to_string(++last_mark_);
    request->idempotent_ = NextBelow(random_, 4) == 0;
    Send(request);
  }

 private:
  void Send(const std::shared_ptr<Request>& request) {
    const std::uint32_t attempt = request->attempt_;
    const std::string key = FormatRequestKey(request->key_);
    journal_.Write(
        WallNow(), "send",
        {{"key", key}, {"attempt", static_cast<std::int64_t>(attempt)}});
    CallerRequest call{
        .address_ =
            cluster_.HttpAddress(entries_[NextBelow(random_, entries_.size())]),
        .method_ = request->idempotent_ ? "GET" : "POST",
        .path_ = "/repair-jobs/callouts?" + request->mark_,
        .headers_ = {{std::string(kKeyHeader), key},
                     {std::string(kAttemptHeader), std::to_string(attempt)}},
        .body_ = request->idempotent_ ? "" : "{\"gate\":1}",
        .timeout_ = std::chrono::milliseconds(
            200 + static_cast<int>(NextBelow(random_, 2500)))};
    if (!request->ticket_.empty()) {
      call.headers_.emplace_back(kTicketHeader, request->ticket_);
    }
    caller_.Send(call, [this, request, attempt](const CallerAnswer& answer) {
      OnAnswer(request, attempt, answer);
    });
  }

  void OnAnswer(const std::shared_ptr<Request>& request, std::uint32_t attempt,
                const CallerAnswer& answer) {
    const auto verdict = answer.headers_.find("jujubefront-verdict");
    const std::string text =
        verdict == answer.headers_.end() ? "none" : verdict->second;
    const bool matches =
        answer.body_.find(request->mark_ + "\"") != std::string::npos;
    journal_.Write(WallNow(), "reply",
                   {{"key", FormatRequestKey(request->key_)},
                    {"attempt", static_cast<std::int64_t>(attempt)},
                    {"verdict", text},
                    {"status", static_cast<std::int64_t>(answer.status_)},
                    {"own", static_cast<std::int64_t>(matches)}});
    const auto ticket = answer.headers_.find("jujubefront-ticket");
    if (ticket != answer.headers_.end()) request->ticket_ = ticket->second;
    const bool open = text == "none" || text == "outcome-unknown" ||
                      (text == "failed" && request->idempotent_);
    if (!open || request->attempt_ >= kMaxResends) return;
    ++request->attempt_;
    QTimer::singleShot(static_cast<int>(NextBelow(random_, 300)), &caller_,
                       [this, request] { Send(request); });
  }

  Cluster& cluster_;
  RandomState& random_;
  HttpCaller caller_;
  std::vector<std::string> entries_;
  Journal journal_;
  std::uint64_t last_mark_ = 0;
};

// Injects random faults into random hosts and the shared log, and undoes each
// after some time. Faults may overlap.
class FaultInjector {
 public:
  FaultInjector(Cluster& cluster, RandomState& random,
                std::map<std::string, int>& faults)
      : cluster_(cluster),
        random_(random),
        faults_(faults),
        names_(cluster.HostNames()) {}

  void InjectFault() {
    const std::string name = names_[NextBelow(random_, names_.size())];
    const auto length = std::chrono::milliseconds(
        300 + static_cast<int>(NextBelow(random_, 2500)));
    switch (NextBelow(random_, 5)) {
      case 0:
        ++faults_["kill node"];
        cluster_.SignalNode(name, SIGKILL);
        return RunAfter(length, [this, name] { Restart(name); });
      case 1:
        ++faults_["freeze node"];
        cluster_.SignalNode(name, SIGSTOP);
        return RunAfter(length,
                        [this, name] { cluster_.SignalNode(name, SIGCONT); });
      case 2:
        ++faults_["freeze backend server"];
        cluster_.SignalBackend(name, SIGSTOP);
        return RunAfter(
            length, [this, name] { cluster_.SignalBackend(name, SIGCONT); });
      case 3:
        ++faults_["log outage"];
        SetLogFault("outage=1");
        return RunAfter(length, [this] { SetLogFault("outage=0"); });
      default:
        ++faults_["planned stop and restart"];
        cluster_.SignalNode(name, SIGTERM);
        return RunAfter(std::chrono::milliseconds(6000),
                        [this, name] { Restart(name); });
    }
  }

 private:
  template <typename Action>
  void RunAfter(std::chrono::milliseconds delay, Action action) {
    QTimer::singleShot(delay, &context_, action);
  }

  void Restart(const std::string& name) {
    if (cluster_.IsNodeRunning(name)) return;
    cluster_.StartNode(name);
  }

  void SetLogFault(const std::string& fault) {
    caller_.Send({.address_ = cluster_.LogAddress(),
                  .method_ = "POST",
                  .path_ = "/standin/faults?" + fault,
                  .body_ = "{}"},
                 [](const CallerAnswer&) {});
  }

  Cluster& cluster_;
  RandomState& random_;
  std::map<std::string, int>& faults_;
  std::vector<std::string> names_;
  HttpCaller caller_;
  QObject context_;
};

void RunEventLoop(std::chrono::milliseconds length) {
  QEventLoop loop;
  QTimer::singleShot(length, &loop, &QEventLoop::quit);
  loop.exec();
}

HistoryReport CheckJournals(const std::string& folder) {
  std::vector<HistoryEvent> events;
  std::size_t malformed = 0;
  const QDir directory(QString::fromStdString(folder));
  for (const QString& name : directory.entryList({"*.journal"})) {
    ReadJournal(directory.filePath(name).toStdString(), events, malformed);
  }
  HistoryReport report = EvaluateHistory(std::move(events), {});
  report.malformed_lines_ = malformed;
  return report;
}

}  // namespace

FaultRunResult RunWithFaults(const FaultRunOptions& options) {
  FaultRunResult result;
  Cluster cluster({.journals_ = true});
  if (!cluster.StartLog()) return result;
  for (const HostSpec& host : options.hosts_) {
    if (!cluster.StartHost(host)) return result;
  }
  if (!cluster.PublishSample("brolga")) return result;
  if (!cluster.WaitServing(kStartTimeout)) return result;
  result.started_ = true;
  RandomState random{.state_ = options.seed_};
  JournalingCallers callers(cluster, random);
  FaultInjector fault_injector(cluster, random, result.faults_);
  QTimer send_timer;
  send_timer.callOnTimeout([&] { callers.StartRequest(); });
  send_timer.start(Millis(options.send_interval_));
  QTimer fault_timer;
  fault_timer.callOnTimeout([&] { fault_injector.InjectFault(); });
  fault_timer.start(Millis(options.fault_interval_));
  RunEventLoop(Millis(options.length_));
  send_timer.stop();
  fault_timer.stop();
  // Lets the last faults end and the last answers arrive.
  RunEventLoop(kSettleTime);
  result.report_ = CheckJournals(cluster.Folder());
  if (!result.report_.violations_.empty()) cluster.KeepFolder();
  return result;
}

}  // namespace jujubefront
