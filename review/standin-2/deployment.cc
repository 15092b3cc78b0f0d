#include "deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <string_view>

namespace review {
namespace {

constexpr const char* kProgram = "target/apps/sidecar/jujubefront-sidecar";
constexpr auto kBeatInterval = std::chrono::milliseconds(1500);
constexpr auto kStartTimeout = std::chrono::seconds(20);
// Processes that this case has started, for the handler of signals.
constexpr std::size_t kMaxChildren = 64;
std::atomic<pid_t> children[kMaxChildren];

void RememberChild(pid_t child) {
  for (auto& entry : children) {
    pid_t free = 0;
    if (entry.compare_exchange_strong(free, child)) return;
  }
}

void ForgetChild(pid_t child) {
  for (auto& entry : children) {
    if (entry.compare_exchange_strong(child, 0)) return;
  }
}

void EndWithChildren(int) {
  for (const auto& entry : children) {
    if (entry > 0) ::kill(entry, SIGKILL);
  }
  ::_exit(2);
}

// Exit code of a case that could not run.
constexpr int kNotRun = 2;

std::string QueryValue(const std::string& target, const std::string& name) {
  auto at = target.find('?');
  while (at != std::string::npos) {
    const auto begin = at + 1;
    at = target.find('&', begin);
    const std::string pair = target.substr(
        begin, at == std::string::npos ? std::string::npos : at - begin);
    if (pair.starts_with(name + "=")) return pair.substr(name.size() + 1);
  }
  return "";
}

std::string Base64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += j <= count ? kDigits[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}

std::string BigEndian(std::uint64_t number, int bytes) {
  std::string text;
  for (int i = bytes - 1; i >= 0; --i) {
    text += static_cast<char>(number >> (8 * i) & 255);
  }
  return text;
}

std::int64_t WallMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// A loopback network on which no other run listens.
std::string PickNetwork() {
  const auto pid = static_cast<unsigned>(::getpid());
  for (unsigned i = 0; i < 1000; ++i) {
    const unsigned id = (pid * 17 + i) % 20'000;
    std::string network = "127." + std::to_string(20 + id / 250) + "." +
                          std::to_string(id % 250) + ".";
    Server probe([](Stream&, const std::atomic<bool>&) {});
    if (probe.Listen(network + "1:8309")) return network;
  }
  return "127.19.19.";
}

}  // namespace

Record::Record(const std::string& path) : file_(path) {}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      Clock::now() - start_);
  file_ << ms.count() << " ms " << text << std::endl;
}

Store::Store()
    : server_([this](Stream& stream, const std::atomic<bool>& stop) {
        Serve(stream, stop);
      }) {}

void Store::Put(const std::string& topic, const std::string& key,
                const std::string& value) {
  const std::lock_guard lock(mutex_);
  Append(topic, BigEndian(key.size(), 1) + key + value);
  changed_.notify_all();
}

void Store::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    changed_.notify_all();
  }
  server_.Stop();
}

void Store::Append(const std::string& topic, const std::string& content) {
  Topic& into = topics_[topic];
  const auto size = static_cast<unsigned char>(content.at(0));
  const std::string key = content.substr(1, size);
  const std::string value = content.substr(1U + size);
  if (value.empty()) {
    into.newest_.erase(key);
  } else {
    into.newest_[key] = {value, into.records_.size()};
  }
  into.records_.push_back(content);
}

void Store::Serve(Stream& stream, const std::atomic<bool>& stop) {
  while (!stop) {
    const auto request =
        stream.ReadRequest(Clock::now() + std::chrono::minutes(5));
    if (!request || !stream.Write(Answer(*request, stop))) return;
  }
}

std::string Store::Answer(const Request& request,
                          const std::atomic<bool>& stop) {
  const HeaderList json = {{"Content-Type", "application/json"}};
  const std::string topic = QueryValue(request.target_, "topic");
  if (request.target_.starts_with("/jujubefront/log-newest")) {
    return WriteResponse(200, json, Newest(topic));
  }
  if (request.target_.starts_with("/jujubefront/log-read")) {
    return WriteResponse(200, {}, Read(request, stop));
  }
  if (!request.target_.starts_with("/jujubefront/log-append")) {
    return WriteResponse(404, json, "{}");
  }
  const std::lock_guard lock(mutex_);
  const std::size_t offset = topics_[topic].records_.size();
  for (std::size_t at = 0; at + 4 <= request.body_.size();) {
    std::size_t size = 0;
    for (int i = 0; i < 4; ++i) {
      size = size << 8 | static_cast<unsigned char>(request.body_[at++]);
    }
    Append(topic, request.body_.substr(at, size));
    at += size;
  }
  changed_.notify_all();
  return WriteResponse(
      200, json,
      "{\"offset\":" + std::to_string(offset) +
          ",\"end\":" + std::to_string(topics_[topic].records_.size()) + "}");
}

std::string Store::Newest(const std::string& topic) {
  const std::lock_guard lock(mutex_);
  const Topic& from = topics_[topic];
  std::string items;
  for (const auto& [key, record] : from.newest_) {
    if (!items.empty()) items += ",";
    items += "{\"key\":\"" + key + "\",\"value\":\"" + Base64(record.first) +
             "\",\"offset\":" + std::to_string(record.second) + "}";
  }
  return "{\"items\":[" + items + "],\"has_more\":false,\"end\":" +
         std::to_string(from.records_.size()) + "}";
}

std::string Store::Read(const Request& request, const std::atomic<bool>& stop) {
  const std::string topic = QueryValue(request.target_, "topic");
  const std::size_t from = std::stoul(QueryValue(request.target_, "from"));
  const std::string wait = QueryValue(request.target_, "wait_ms");
  const auto until = Clock::now() + std::chrono::milliseconds(
                                        wait.empty() ? 0 : std::stol(wait));
  std::unique_lock lock(mutex_);
  changed_.wait_until(lock, until, [&] {
    return stopped_ || stop || topics_[topic].records_.size() > from;
  });
  const auto& records = topics_[topic].records_;
  std::string body = BigEndian(records.size(), 8) + BigEndian(0, 8);
  for (std::size_t i = from; i < records.size(); ++i) {
    body += BigEndian(records[i].size(), 4) + records[i];
  }
  return body;
}

Deployment::Deployment(std::string folder,
                       const std::vector<HostOptions>& hosts, Record& record)
    : folder_(std::move(folder)), record_(record), network_(PickNetwork()) {
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    auto host = std::make_unique<Host>();
    host->name_ = "sidecar-" + std::to_string(i);
    host->ip_ = network_ + std::to_string(10 + i);
    host->zone_ = hosts[i].zone_;
    host->region_ = hosts[i].region_;
    host->service_ = hosts[i].service_;
    host->slots_ = hosts[i].slots_;
    host->instance_ = "i-" + std::to_string(i);
    host->born_ = WallMilliseconds();
    hosts_.push_back(std::move(host));
  }
}

Deployment::~Deployment() {
  stop_ = true;
  for (auto& thread : threads_) thread.join();
  for (auto& host : hosts_) {
    if (host->process_ <= 0) continue;
    ::kill(host->process_, SIGKILL);
    ::waitpid(host->process_, nullptr, 0);
    ForgetChild(host->process_);
  }
  for (auto& host : hosts_) host->target_.reset();
  store_.Stop();
}

void Deployment::SetTarget(std::size_t index, Server::Handler handler) {
  hosts_.at(index)->target_ = std::make_unique<Server>(std::move(handler));
}

void Deployment::StartProcess(Host& host) {
  const std::string path = folder_ + "/" + host.name_ + ".toml";
  std::ofstream(path)
      << "[node]\nname = \"" << host.name_ << "\"\nzone = \"" << host.zone_
      << "\"\nregion = \"" << host.region_ << "\"\nservice = \""
      << host.service_ << "\"\nip = \"" << host.ip_
      << "\"\nmemory_mb = " << kMemoryMb
      << "\nmax_descriptors = 4100\n\n[listen]\nclients = \"" << host.clients()
      << "\"\nready = \"" << host.ready() << "\"\nbackend_control = \""
      << host.control()
      << "\"\nfirst_link_port = 7620\nlast_link_port = 7635\n\n[backend]\n"
      << "address = \"" << host.app()
      << "\"\nheartbeat_interval = \"1500ms\"\n\n[store]\naddress = \""
      << network_ << "1:8309\"\n\n[discovery]\nseeds = \"\"\n\n[bounds]\nall = "
      << "\"seed_lag=3s,reuse_after=2s,stability_window=4000ms,ack=4000ms,"
      << "catch_up=4s,drain=2500ms,grace=6s,loss_slack=200ms,config=2500ms,"
      << "rollback_slack=250ms,max_skew=5000ms,budget_ratio=0.2,"
      << "budget_window=10s,retry_slack=48,recover=15s\"\n";
  const std::string log = folder_ + "/" + host.name_ + ".log";
  int started[2];
  if (::pipe2(started, O_CLOEXEC) != 0) return;
  const pid_t child = ::fork();
  if (child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (std::freopen(log.c_str(), "a", stdout) == nullptr) ::_exit(kNotRun);
    ::setenv("JUJUBEFRONT_CONFIG", path.c_str(), 1);
    ::execl(kProgram, kProgram, static_cast<char*>(nullptr));
    ::_exit(kNotRun);
  }
  // Ends when the program runs: until then the child has this process's memory.
  ::close(started[1]);
  char byte = 0;
  while (::read(started[0], &byte, 1) < 0 && errno == EINTR) {
  }
  ::close(started[0]);
  host.process_ = child;
  RememberChild(child);
  record_.Line("started " + host.name_ + " of " + host.service_ + " in " +
               host.zone_);
}

int Deployment::SendHeartbeat(Host& host, bool draining) {
  const std::string body =
      "{\"service\":\"" + host.service_ + "\",\"address\":\"" + host.app() +
      "\",\"zone\":\"" + host.zone_ +
      "\",\"version\":\"v1\",\"slots\":" + std::to_string(host.slots_) +
      ",\"state\":\"" + (draining ? "draining" : "ready") +
      "\",\"cold_left\":\"0ms\",\"seq\":" + std::to_string(++host.sequence_) +
      ",\"born\":" + std::to_string(host.born_) + "}";
  return Fetch(host.control(),
               {.method_ = "POST",
                .target_ = "/jujubefront/rpc?call=instances.heartbeat&of=" +
                           host.instance_,
                .headers_ = {{"Host", host.control()},
                             {"Content-Type", "application/json"}},
                .body_ = body},
               std::chrono::seconds(1))
      .status_;
}

void Deployment::Beat(Host& host) {
  auto next = Clock::now();
  while (!stop_) {
    if (Clock::now() >= next) {
      next = Clock::now() + kBeatInterval;
      // The first beats may come before the sidecar listens.
      if (host.beats_ && SendHeartbeat(host, host.draining_) != 200) {
        next = Clock::now() + std::chrono::milliseconds(200);
      }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

bool Deployment::WaitUntilServing(Host& host, const std::string& probe_path) {
  const auto until = Clock::now() + kStartTimeout;
  for (int i = 0; Clock::now() < until; ++i) {
    const Response response =
        Fetch(host.clients(),
              {.method_ = "GET",
               .target_ = probe_path,
               .headers_ = ClientHeaders(
                   "start-" + host.name_ + "-" + std::to_string(i), 1000)},
              std::chrono::seconds(2));
    if (response.status_ == 200) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  return false;
}

bool Deployment::Start(const std::string& document,
                       const std::string& probe_path) {
  store_.Put("keyed.op", "config", document);
  if (!store_.Listen(network_ + "1:8309")) return false;
  for (auto& host : hosts_) {
    if (host->target_ && !host->target_->Listen(host->app())) return false;
    StartProcess(*host);
  }
  for (auto& host : hosts_) {
    if (!host->target_) continue;
    threads_.emplace_back([this, &host = *host] { Beat(host); });
  }
  return std::all_of(hosts_.begin(), hosts_.end(), [&](const auto& host) {
    return WaitUntilServing(*host, probe_path);
  });
}

std::size_t Deployment::ResidentKb(const Host& host) {
  std::ifstream status("/proc/" + std::to_string(host.process_) + "/status");
  constexpr std::string_view kName = "VmRSS:";
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(kName)) return std::stoul(line.substr(kName.size()));
  }
  return 0;
}

bool Deployment::IsRunning(Host& host) {
  if (host.process_ <= 0) return false;
  int status = 0;
  if (::waitpid(host.process_, &status, WNOHANG) == 0) return true;
  ForgetChild(host.process_);
  host.process_ = -1;
  record_.Line(host.name_ + " ended, " +
               (WIFSIGNALED(status)
                    ? "signal " + std::to_string(WTERMSIG(status))
                    : "exit code " + std::to_string(WEXITSTATUS(status))));
  return false;
}

std::vector<HostOptions> SmallDeployment(
    const std::vector<std::string>& services) {
  std::vector<HostOptions> hosts;
  for (const std::string& service : services) {
    for (const auto& [zone, region] : {std::pair("bne-north", "brisbane"),
                                       std::pair("tsv-central", "townsville"),
                                       std::pair("bne-south", "brisbane"),
                                       std::pair("tsv-coast", "townsville")}) {
      hosts.push_back({.zone_ = zone, .region_ = region, .service_ = service});
    }
  }
  return hosts;
}

std::string TargetAnswer(const Request& request, const std::string& body) {
  return WriteResponse(
      200,
      {{"X-Request-Id", HeaderOf(request.headers_, "X-Request-Id")},
       {"X-Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1"},
       {"X-Server-Load", "1,0,48"}},
      body);
}

bool AnswerUnrun(const Host& host, const Request& request, Stream& stream) {
  if (request.target_ == "/healthz") {
    stream.Write(WriteResponse(200, {{"X-Instance-Id", host.instance_}}, ""));
    return true;
  }
  if (!HeaderOf(request.headers_, "X-Request-Id").empty()) return false;
  stream.Write(WriteResponse(400, {{"X-Not-Executed", "1"}}, ""));
  return true;
}

std::string MakeDocument(std::uint64_t version,
                         const std::vector<std::string>& services,
                         const std::string& timeout) {
  std::string resources;
  for (const std::string& service : services) {
    for (const auto& [prefix, kind] :
         {std::pair("read-", "idempotent"), std::pair("export-", "download"),
          std::pair("book-", "non_idempotent")}) {
      resources += "{\"resource_type\":\"routes\",\"metadata\":{\"name\":\"" +
                   (prefix + service) +
                   "\"},\"spec\":{\"host\":\"test.example\",\"path_prefix\":"
                   "\"/" +
                   (prefix + service) + "/\",\"kind\":\"" + kind +
                   "\",\"timeout\":\"" + timeout +
                   "\",\"aim\":\"1500ms\",\"priority\":0,\"service\":\"" +
                   service + "\",\"max_attempts\":2}},";
    }
    resources += "{\"resource_type\":\"services\",\"metadata\":{\"name\":\"" +
                 service +
                 "\"},\"spec\":{\"health_path\":\"/healthz\","
                 "\"max_connections\":388,\"protocol\":\"h1\","
                 "\"tls\":false}},";
  }
  return "{\"version\":" + std::to_string(version) + ",\"resources\":[" +
         resources +
         "{\"resource_type\":\"limits\",\"metadata\":{},\"spec\":{"
         "\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
         "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}]}";
}

HeaderList ClientHeaders(const std::string& id, int deadline_ms) {
  return {{"Host", "test.example"},
          {"X-Request-Id", id},
          {"X-Deadline-Ms", std::to_string(deadline_ms)}};
}

Response Fetch(const std::string& address, const Request& request,
               std::chrono::milliseconds timeout) {
  const auto until = Clock::now() + timeout;
  const auto stream = Stream::Connect(address);
  if (!stream || !stream->Write(WriteRequest(request))) return {};
  return stream->ReadResponse(until);
}

bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void LimitRunTime(unsigned seconds) {
  ::signal(SIGPIPE, SIG_IGN);
  for (const int signal : {SIGALRM, SIGTERM, SIGINT, SIGHUP}) {
    ::signal(signal, EndWithChildren);
  }
  ::alarm(seconds);
}

}  // namespace review
