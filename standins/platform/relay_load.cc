#include <QCoreApplication>
#include <QElapsedTimer>
#include <QFile>
#include <QTimer>
#include <algorithm>
#include <cstdio>
#include <iostream>

#include "commandline/program.h"
#include "http1/http1_codec.h"
#include "netio/application.h"
#include "sidecar_hosts.h"
#include "unread_clients.h"

namespace jujubefront {
namespace {

constexpr const char* kLargeTarget = "/read/large";
constexpr std::size_t kUnreadBytes = 9000;
constexpr std::size_t kLargeUnreadBytes = 2'000'000;
// How long clients send before ordinary requests are measured beside them.
constexpr Duration kUnreadTime = std::chrono::seconds(3);
constexpr std::size_t kBesideUnread = 4;  // ordinary requests in flight

// Result of a closed-loop load on one address.
struct LoadResult {
  std::vector<double> latencies_us_;
  std::size_t failures_ = 0;
  double seconds_ = 0.0;
};

LoadResult RunLoad(const std::string& address, std::size_t connections,
                   std::size_t requests) {
  LoadResult result;
  std::vector<std::int64_t> started(requests + 1);
  QElapsedTimer clock;
  clock.start();
  std::size_t sent = 0;
  std::size_t done = 0;
  QEventLoop loop;
  std::unique_ptr<Http1Client> client;
  const auto send = [&] {
    if (sent == requests) return;
    const std::uint64_t id = ++sent;
    started[id] = clock.nsecsElapsed();
    client->Send(id, {.method_ = "GET",
                      .target_ = "/read/" + std::to_string(id),
                      .headers_ = {{"Host", "test.example"},
                                   {"X-Request-Id", std::to_string(id)},
                                   {"X-Deadline-Ms", "1400"}}});
  };
  const auto finish = [&](std::uint64_t id, bool succeeded) {
    const auto elapsed = clock.nsecsElapsed() - started[id];
    result.latencies_us_.push_back(static_cast<double>(elapsed) / 1e3);
    if (!succeeded) ++result.failures_;
    if (++done == requests) return loop.quit();
    send();
  };
  client = std::make_unique<Http1Client>(
      Http1ClientOptions{},
      Http1Client::Handlers{
          .on_response_ =
              [&](std::uint64_t id, const Http1Response& response) {
                finish(id, response.status_ == 200);
              },
          .on_failure_ = [&](std::uint64_t id,
                             Http1Failure) { finish(id, false); }});
  client->SetAddress(address);
  for (std::size_t i = 0; i < connections; ++i) send();
  loop.exec();
  result.seconds_ = static_cast<double>(clock.nsecsElapsed()) / 1e9;
  std::sort(result.latencies_us_.begin(), result.latencies_us_.end());
  return result;
}

// Requests a second of clients that pipeline `depth` requests on each
// connection and read all responses.
double MeasurePipelined(const std::string& address, std::size_t connections,
                        std::size_t requests, std::size_t depth) {
  struct PipelinedClient {
    TcpConnection* socket_ = nullptr;
    std::unique_ptr<Http1ResponseReader> reader_;
  };
  std::vector<PipelinedClient> clients(connections);
  std::size_t sent = 0;
  std::size_t done = 0;
  QEventLoop loop;
  const auto send = [&](PipelinedClient& client) {
    if (sent == requests) return;
    ++sent;
    client.socket_->Write(
        WriteRequest({.method_ = "GET",
                      .target_ = "/read/" + std::to_string(sent),
                      .headers_ = {{"Host", "test.example"},
                                   {"X-Request-Id", "p" + std::to_string(sent)},
                                   {"X-Deadline-Ms", "1400"}}}));
  };
  const auto receive = [&](PipelinedClient& client) {
    while (!client.socket_->inbox().empty()) {
      const Http1Progress progress =
          client.reader_->Read(client.socket_->inbox());
      client.socket_->Consume(progress.consumed_);
      if (!progress.complete_) return;
      client.reader_ =
          std::make_unique<Http1ResponseReader>(Http1Limits{}, false);
      if (++done == requests) return loop.quit();
      send(client);
    }
  };
  QElapsedTimer clock;
  clock.start();
  for (PipelinedClient& client : clients) {
    client.reader_ =
        std::make_unique<Http1ResponseReader>(Http1Limits{}, false);
    client.socket_ = TcpConnection::Open(address, {});
    client.socket_->SetHandlers(
        {.on_connected_ = {},
         .on_data_ = [&receive, &client] { receive(client); },
         .on_flushed_ = {},
         .on_end_ = [&loop](ConnectionEnd) { loop.quit(); }});
    for (std::size_t i = 0; i < depth; ++i) send(client);
  }
  loop.exec();
  const double seconds = static_cast<double>(clock.nsecsElapsed()) / 1e9;
  for (PipelinedClient& client : clients) client.socket_->Close();
  return static_cast<double>(done) / seconds;
}

// Keeps one request with a large body in progress at an address.
class LargeBodies {
 public:
  LargeBodies(const std::string& address, std::size_t bytes)
      : body_(bytes, 'l'),
        client_({}, {.on_response_ =
                         [this](std::uint64_t, const Http1Response& response) {
                           Count(response.status_ == kSuccess);
                         },
                     .on_failure_ = [this](std::uint64_t,
                                           Http1Failure) { Count(false); }}) {
    client_.SetAddress(address);
    Send();
  }

  int succeeded() const { return succeeded_; }
  int failed() const { return failed_; }

 private:
  void Send() {
    const std::uint64_t id = ++last_id_;
    client_.Send(id, {.method_ = "POST",
                      .target_ = "/book/large",
                      .headers_ = {{"Host", "test.example"},
                                   {"X-Request-Id", "l" + std::to_string(id)},
                                   {"X-Deadline-Ms", "1400"}},
                      .body_ = body_});
  }

  void Count(bool succeeded) {
    ++(succeeded ? succeeded_ : failed_);
    QTimer::singleShot(kPause, &client_, [this] { Send(); });
  }

  static constexpr int kSuccess = 200;
  static constexpr std::chrono::milliseconds kPause{5};

  std::string body_;
  std::uint64_t last_id_ = 0;
  int succeeded_ = 0;
  int failed_ = 0;
  Http1Client client_;
};

double Quantile(const LoadResult& result, double quantile) {
  const auto index = static_cast<std::size_t>(
      quantile * static_cast<double>(result.latencies_us_.size() - 1));
  return result.latencies_us_[index];
}

double ProcessorSeconds(const SidecarHost& host) {
  const QString path =
      QStringLiteral("/proc/%1/stat").arg(host.process_->processId());
  QFile file(path);
  if (!file.open(QIODevice::ReadOnly)) return 0.0;
  const QList<QByteArray> fields = file.readAll().split(' ');
  constexpr double kTicksPerSecond = 100.0;
  return (fields.at(13).toDouble() + fields.at(14).toDouble()) /
         kTicksPerSecond;
}

void Print(const char* name, const LoadResult& result) {
  std::printf(
      "%-8s p50 %.0f us, p99 %.0f us, %.0f a second, %zu failures\n", name,
      Quantile(result, 0.5), Quantile(result, 0.99),
      static_cast<double>(result.latencies_us_.size()) / result.seconds_,
      result.failures_);
}

// A sample document that allows the largest bodies of the platform's.
std::string DocumentWithLargeBodies() {
  QString text = QString::fromStdString(SampleDocument(1, "jobs"));
  text.replace(QStringLiteral("\"max_body_bytes\":1048576"),
               QStringLiteral("\"max_body_bytes\":67108864"));
  return text.toStdString();
}

// The stand-ins share one thread with the clients, so that only the difference
// between relayed and direct requests, both beside large ones, is the relays'.
void MeasureBesideLargeBodies(const std::vector<SidecarHost>& hosts,
                              std::size_t connections, std::size_t requests,
                              std::size_t megabytes) {
  constexpr std::size_t kMegabyte = 1'000'000;
  const std::string name = std::to_string(megabytes) + " MB";
  double p99 = 0.0;
  for (const bool relayed : {false, true}) {
    const std::string& address = relayed ? hosts[0].clients() : hosts[1].app();
    const LargeBodies large(address, megabytes * kMegabyte);
    const LoadResult small = RunLoad(address, connections, requests);
    Print((name + (relayed ? " relayed" : " direct")).c_str(), small);
    std::printf("  large bodies: %d answered, %d failed\n", large.succeeded(),
                large.failed());
    p99 = Quantile(small, 0.99) - p99;
  }
  std::printf("  added at p99: %.0f us\n", p99);
}

// Resident memory of a process in MB: the largest since the last call with
// `reset`.
double PeakMegabytes(const SidecarHost& host, bool reset) {
  const QString folder =
      QStringLiteral("/proc/%1/").arg(host.process_->processId());
  if (reset) {
    QFile clear(folder + "clear_refs");
    if (clear.open(QIODevice::WriteOnly)) clear.write("5");
  }
  QFile file(folder + "status");
  if (!file.open(QIODevice::ReadOnly)) return 0.0;
  for (const QByteArray& line : file.readAll().split('\n')) {
    if (!line.startsWith("VmHWM:")) continue;
    return line.mid(6).simplified().split(' ').at(0).toDouble() / 1024.0;
  }
  return 0.0;
}

// Ordinary requests beside clients that read no responses.
void MeasureBesideUnread(const std::vector<SidecarHost>& hosts,
                         std::size_t connections, std::size_t requests) {
  for (const UnreadForm& form : UnreadForms(kLargeTarget)) {
    PeakMegabytes(hosts[0], true);
    PeakMegabytes(hosts[1], true);
    const UnreadClients clients(hosts[0].clients(), connections, form);
    WaitUntil(kUnreadTime, [] { return false; });
    const LoadResult beside =
        RunLoad(hosts[0].clients(), kBesideUnread, requests);
    std::printf("%zu unread, %s, %zu open: peak %.0f MB (entry), %.0f MB; ",
                connections, form.name_, clients.open(),
                PeakMegabytes(hosts[0], false), PeakMegabytes(hosts[1], false));
    Print("ordinary", beside);
    std::fflush(stdout);
  }
}

int Run(const cxxopts::ParseResult& arguments, int argc, char** argv) {
  const auto application = MakeApplication(argc, argv);
  SidecarHosts deployment(
      {.program_ = arguments["program"].as<std::string>(), .slots_ = 64});
  deployment.store().PutDocument(DocumentWithLargeBodies());
  if (!deployment.Start()) {
    std::cerr << "the relays did not become ready\n";
    return 1;
  }
  // The backend server on the entry host is drained, so that the entry forwards
  // all requests to the other host.
  deployment.hosts()[0].backend_->Drain();
  WaitUntil(std::chrono::seconds(2), [&] {
    return deployment.hosts()[0].backend_->drain_acknowledged();
  });
  const auto connections = arguments["connections"].as<std::size_t>();
  const auto requests = arguments["requests"].as<std::size_t>();
  const auto& hosts = deployment.hosts();
  RunLoad(hosts[0].clients(), connections, requests / 10 + 1);
  const LoadResult direct = RunLoad(hosts[1].app(), connections, requests);
  const double before = ProcessorSeconds(hosts[0]) + ProcessorSeconds(hosts[1]);
  const LoadResult relayed = RunLoad(hosts[0].clients(), connections, requests);
  const double processor_seconds =
      ProcessorSeconds(hosts[0]) + ProcessorSeconds(hosts[1]) - before;
  Print("direct", direct);
  Print("relayed", relayed);
  std::printf(
      "added at p99: %.0f us; processor time over both relays: "
      "%.1f us a request\n",
      Quantile(relayed, 0.99) - Quantile(direct, 0.99),
      processor_seconds * 1e6 / static_cast<double>(requests));
  if (const auto depth = arguments["pipelined"].as<std::size_t>(); depth > 0) {
    const double started = ProcessorSeconds(hosts[0]);
    const double per_second =
        MeasurePipelined(hosts[0].clients(), connections, requests, depth);
    std::printf(
        "pipelined, %zu deep: %.0f a second, processor time at the entry: "
        "%.1f us a request\n",
        depth, per_second,
        (ProcessorSeconds(hosts[0]) - started) * 1e6 /
            static_cast<double>(requests));
  }
  if (arguments.count("large-mb") > 0) {
    for (const auto size :
         arguments["large-mb"].as<std::vector<std::size_t>>()) {
      MeasureBesideLargeBodies(hosts, connections, requests, size);
    }
  }
  if (arguments.count("unread") > 0) {
    hosts[1].backend_->SetBodyBytes(kUnreadBytes);
    hosts[1].backend_->SetBodyBytesAt(kLargeTarget, kLargeUnreadBytes);
    Print("alone",
          RunLoad(hosts[0].clients(), kBesideUnread, requests / 10 + 1));
    for (const auto unread :
         arguments["unread"].as<std::vector<std::size_t>>()) {
      MeasureBesideUnread(hosts, unread, requests / 10 + 1);
    }
  }
  return relayed.failures_ == 0 ? 0 : 1;
}

}  // namespace
}  // namespace jujubefront

int main(int argc, char** argv) {
  return jujubefront::RunProgram(
      {.name_ = "jujubefront-relay-load",
       .description_ = "Latency and processor time that two relays add to a "
                       "request, against a direct call in the same run.",
       .add_options_ =
           [](cxxopts::Options& options) {
             options.add_options()("program", "path of jujubefront-sidecar",
                                   cxxopts::value<std::string>())(
                 "connections", "requests in flight",
                 cxxopts::value<std::size_t>()->default_value("16"))(
                 "requests", "requests in all",
                 cxxopts::value<std::size_t>()->default_value("20000"))(
                 "pipelined",
                 "requests that each connection pipelines, measured beside; 0: "
                 "not measured",
                 cxxopts::value<std::size_t>()->default_value("0"))(
                 "large-mb",
                 "sizes of bodies in MB, with commas between them, beside one "
                 "of which the requests are sent again",
                 cxxopts::value<std::vector<std::size_t>>())(
                 "unread",
                 "numbers of clients that read no response, with commas "
                 "between them, beside which requests are sent again",
                 cxxopts::value<std::vector<std::size_t>>());
           },
       .run_ =
           [&](const cxxopts::ParseResult& arguments) {
             return jujubefront::Run(arguments, argc, argv);
           }},
      argc, argv);
}
