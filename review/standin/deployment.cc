#include "deployment.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <sstream>

namespace review {
namespace {

// Of deploy/system.toml: the command of the role and its template.
constexpr const char* kProgram = "target/apps/sidecar/jujubefront-sidecar";
constexpr const char* kTemplate = "platform/sidecar.toml.in";
constexpr const char* kSettingsVariable = "JUJUBEFRONT_CONFIG";

constexpr const char* kBounds =
    "seed_lag=3s,reuse_after=2s,stability_window=4000ms,ack=4000ms,catch_up=4s,"
    "drain=2500ms,grace=6s,loss_slack=200ms,config=2500ms,rollback_slack=250ms,"
    "max_skew=5000ms,budget_ratio=0.2,budget_window=10s,retry_slack=48,"
    "recover=15s";

// Ports of a machine, from the first one that is free on all of them.
enum Port { kClients, kReady, kControl, kApp, kStorePort, kLinkFirst = 10 };
constexpr int kPortsUsed = 24;
constexpr int kLinkPorts = 12;

constexpr Millis kStartTimeout{15'000};
// After this time a machine that started is in touch.
constexpr Millis kStabilityWindow{4000};
constexpr Millis kAckTimeout{1000};

std::string QueryValue(const std::string& target, const std::string& name) {
  const auto question = target.find('?');
  if (question == std::string::npos) return "";
  std::istringstream query(target.substr(question + 1));
  for (std::string part; std::getline(query, part, '&');) {
    if (part.rfind(name + "=", 0) == 0) return part.substr(name.size() + 1);
  }
  return "";
}

template <typename Number>
std::string BigEndian(Number number) {
  std::string bytes(sizeof(number), '\0');
  for (std::size_t i = 0; i < sizeof(number); ++i) {
    bytes[sizeof(number) - 1 - i] = static_cast<char>(number >> (8 * i));
  }
  return bytes;
}

std::string Base64(const std::string& bytes) {
  static constexpr const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group <<= 8;
      if (i + j < bytes.size()) {
        group |= static_cast<unsigned char>(bytes[i + j]);
      }
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text +=
          i + j > bytes.size() ? '=' : kDigits[(group >> (18 - 6 * j)) & 63];
    }
  }
  return text;
}

std::string JsonResponse(const std::string& body) {
  return FormatResponse(200, {{"Content-Type", "application/json"}}, body);
}

void Replace(std::string& text, const std::string& from,
             const std::string& to) {
  for (auto at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

std::string Quoted(const std::string& text) { return '"' + text + '"'; }

bool IsFree(const std::string& address) {
  const int descriptor = ListenOn(address);
  if (descriptor < 0) return false;
  ::close(descriptor);
  return true;
}

}  // namespace

void Record::Write(const std::string& line) {
  const std::chrono::duration<double> at = Clock::now() - start_;
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f ", at.count());
  const std::scoped_lock lock(mutex_);
  file_ << time << line << std::endl;
}

bool Server::Start(const std::string& address) {
  listener_ = ListenOn(address);
  if (listener_ < 0) return false;
  stopping_ = false;
  accept_thread_ = std::thread([this] { Accept(); });
  return true;
}

void Server::Accept() {
  while (!stopping_) {
    pollfd entry{.fd = listener_, .events = POLLIN, .revents = 0};
    if (poll(&entry, 1, 50) <= 0) continue;
    const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) continue;
    const std::scoped_lock lock(clients_mutex_);
    Client& client = clients_.emplace_back();
    client.stream_ = Stream(descriptor);
    client.thread_ = std::thread([this, &client] {
      Serve(client.stream_);
      client.stream_.Shutdown();
    });
  }
}

void Server::Stop() {
  if (listener_ < 0) return;
  stopping_ = true;
  accept_thread_.join();
  ::close(listener_);
  listener_ = -1;
  const std::scoped_lock lock(clients_mutex_);
  for (Client& client : clients_) client.stream_.Shutdown();
  for (Client& client : clients_) client.thread_.join();
  clients_.clear();
}

void Store::Append(const std::string& topic, const std::string& key,
                   const std::string& value) {
  const std::scoped_lock lock(mutex_);
  topics_[topic].push_back({key, value});
  appended_.notify_all();
}

void Store::Serve(Stream& stream) {
  while (!stopping()) {
    const Message request =
        ReadMessage(stream, Clock::now() + std::chrono::minutes(5));
    if (!request.complete_ || !stream.Write(Answer(request))) return;
  }
}

std::string Store::Answer(const Message& request) {
  const std::string target = request.target();
  const std::string topic = QueryValue(target, "topic");
  if (target.find("/log-newest") != std::string::npos) return Newest(topic);
  if (target.find("/log-append") != std::string::npos) {
    const std::string& body = request.body_;
    if (body.size() < 5) return FormatResponse(400, {}, "");
    const std::size_t size = static_cast<unsigned char>(body[4]);
    Append(topic, body.substr(5, size), body.substr(5 + size));
    const std::scoped_lock lock(mutex_);
    const std::size_t end = topics_[topic].size();
    return JsonResponse("{\"offset\":" + std::to_string(end - 1) +
                        ",\"end\":" + std::to_string(end) + "}");
  }
  const std::string wait = QueryValue(target, "wait_ms");
  return Read(topic,
              std::strtoull(QueryValue(target, "from").c_str(), nullptr, 10),
              Millis(wait.empty() ? 0 : std::stoi(wait)));
}

std::string Store::Newest(const std::string& topic) {
  const std::scoped_lock lock(mutex_);
  std::map<std::string, std::string> newest;
  for (const Entry& entry : topics_[topic]) newest[entry.key_] = entry.value_;
  std::string items;
  for (const auto& [key, value] : newest) {
    if (value.empty()) continue;
    if (!items.empty()) items += ",";
    items += "{\"key\":" + Quoted(key) + ",\"value\":" + Quoted(Base64(value)) +
             ",\"offset\":0}";
  }
  return JsonResponse("{\"items\":[" + items + "],\"has_more\":false,\"end\":" +
                      std::to_string(topics_[topic].size()) + "}");
}

std::string Store::Read(const std::string& topic, std::uint64_t from,
                        Millis wait) {
  std::unique_lock lock(mutex_);
  const auto until = Clock::now() + wait;
  while (topics_[topic].size() <= from && Clock::now() < until && !stopping()) {
    appended_.wait_until(lock, std::min(until, Clock::now() + Millis(100)));
  }
  const std::vector<Entry>& entries = topics_[topic];
  if (from > entries.size()) return FormatResponse(410, {}, "{\"first\":0}");
  std::string body =
      BigEndian<std::uint64_t>(entries.size()) + BigEndian<std::uint64_t>(0);
  for (std::size_t i = from; i < entries.size(); ++i) {
    const std::string content =
        std::string(1, static_cast<char>(entries[i].key_.size())) +
        entries[i].key_ + entries[i].value_;
    body += BigEndian(static_cast<std::uint32_t>(content.size())) + content;
  }
  return FormatResponse(200, {}, body);
}

Target::Target(TargetOptions options, Record& record, Handler handler)
    : options_(std::move(options)),
      record_(record),
      handler_(std::move(handler)),
      born_ms_(std::chrono::duration_cast<Millis>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count()) {}

Target::~Target() { End(); }

bool Target::Begin() {
  if (!Start(options_.address_)) return false;
  beat_thread_ = std::thread([this] { Beat(); });
  return true;
}

void Target::End() {
  ended_ = true;
  if (beat_thread_.joinable()) beat_thread_.join();
  Stop();
}

std::string Target::NextHeartbeat(const std::string& state) {
  const std::string body =
      "{\"service\":" + Quoted(options_.service_) +
      ",\"address\":" + Quoted(options_.address_) +
      ",\"zone\":" + Quoted(options_.zone_) +
      ",\"version\":\"v1\",\"slots\":" + std::to_string(options_.slots_) +
      ",\"state\":" + Quoted(state) +
      ",\"cold_left\":\"0ms\",\"seq\":" + std::to_string(++sequence_) +
      ",\"born\":" + std::to_string(born_ms_) + "}";
  return FormatRequest(
      "POST", "/jujubefront/rpc?call=instances.heartbeat&of=" + options_.id_,
      {{"Host", options_.control_}, {"Content-Type", "application/json"}},
      body);
}

std::string Target::LeaveText() {
  return FormatRequest(
      "POST", "/jujubefront/rpc?call=instances.leave&of=" + options_.id_,
      {{"Host", options_.control_}, {"Content-Type", "application/json"}},
      "{\"seq\":" + std::to_string(++sequence_) +
          ",\"born\":" + std::to_string(born_ms_) + "}");
}

bool Target::Call(const std::string& text) const {
  const auto until = Clock::now() + kAckTimeout;
  Stream stream = Stream::Connect(options_.control_, kAckTimeout);
  if (!stream.open() || !stream.Write(text)) return false;
  return ReadMessage(stream, until).status() == 200;
}

void Target::Beat() {
  auto next = Clock::now();
  while (!ended_) {
    std::this_thread::sleep_for(Millis(20));
    if (!heartbeats_ || Clock::now() < next) continue;
    // An unacknowledged heartbeat is repeated soon.
    const bool acknowledged = Call(NextHeartbeat("ready"));
    if (acknowledged) ++acknowledged_;
    next = Clock::now() + (acknowledged ? options_.heartbeat_ : Millis(200));
  }
}

std::map<std::string, int> Target::runs() {
  const std::scoped_lock lock(runs_mutex_);
  std::map<std::string, int> counts;
  for (const auto& [at, id] : runs_) ++counts[id];
  return counts;
}

std::vector<std::pair<Clock::time_point, std::string>> Target::run_times() {
  const std::scoped_lock lock(runs_mutex_);
  return runs_;
}

void Target::Serve(Stream& stream) {
  while (!stopping()) {
    const Message request =
        ReadMessage(stream, Clock::now() + std::chrono::seconds(10));
    if (!request.complete_) return;
    const auto begin = Clock::now();
    const std::string id = request.Header("X-Request-Id");
    const std::string expected = request.Header("X-Expect-Instance");
    HeaderList headers = {{"X-Request-Id", id}};
    if (!expected.empty() && expected != options_.id_) {
      headers.emplace_back("X-Not-Executed", "1");
      headers.emplace_back("X-Instance-Id", options_.id_);
      if (!stream.Write(FormatResponse(421, headers, ""))) return;
      continue;
    }
    if (running_ >= options_.slots_) {
      headers.emplace_back("X-Not-Executed", "1");
      if (!stream.Write(FormatResponse(503, headers, ""))) return;
      continue;
    }
    {
      const std::scoped_lock lock(runs_mutex_);
      runs_.emplace_back(begin, id);
    }
    record_.Write("target " + options_.id_ + " runs " + id + " " +
                  request.target());
    ++running_;
    const TargetReply reply = handler_(request);
    const std::string deadline = request.Header("X-Deadline-Ms");
    const Millis limit(deadline.empty() ? 60'000 : std::stoll(deadline));
    std::this_thread::sleep_for(std::min(reply.work_, limit));
    --running_;
    if (!reply.garbage_.empty()) {
      record_.Write("target " + options_.id_ + " spoils its answer to " + id);
      (void)stream.Write(reply.garbage_);
      return;
    }
    headers.emplace_back("X-Server-Stamp", options_.id_ + "." + id);
    headers.emplace_back("X-Server-Load", std::to_string(running_) + ",0," +
                                              std::to_string(options_.slots_));
    const bool late = reply.work_ > limit;
    if (!stream.Write(FormatResponse(late ? 504 : 200, headers,
                                     late ? "" : reply.body_))) {
      return;
    }
  }
}

Result Client::Send(const std::string& method, const std::string& target,
                    const std::string& id, Millis deadline,
                    const std::string& body, const HeaderList& more) {
  Result result;
  const auto begin = Clock::now();
  if (!stream_.open()) {
    kept_ = false;
    stream_ = Stream::Connect(address_, kAckTimeout, reading_.receive_buffer_,
                              reading_.segment_);
  }
  if (!stream_.open()) return result;
  result.kept_ = std::exchange(kept_, true);
  HeaderList headers = {{"Host", kHost},
                        {"X-Request-Id", id},
                        {"X-Deadline-Ms", std::to_string(deadline.count())}};
  headers.insert(headers.end(), more.begin(), more.end());
  result.sent_ = stream_.Write(FormatRequest(method, target, headers, body));
  const std::size_t rate = reading_.bytes_per_s_;
  const auto wait = [&](std::size_t count) {
    if (rate == 0) return;
    std::this_thread::sleep_for(
        std::chrono::microseconds(static_cast<std::int64_t>(
            1e6 * static_cast<double>(count) / static_cast<double>(rate))));
  };
  result.answer_ = ReadMessage(stream_, begin + deadline,
                               rate == 0 ? 64 * 1024 : 4096, wait);
  result.took_ = std::chrono::duration_cast<Millis>(Clock::now() - begin);
  if (!result.answer_.complete_) {
    result.timed_out_ = result.answer_.end_ == Stream::ReadResult::kTimeout;
    result.cut_off_ = result.sent_ && !result.timed_out_;
    stream_ = {};
  } else if (result.answer_.Header("Connection") == "close") {
    stream_ = {};
  }
  return result;
}

Deployment::Deployment(Record& record, std::vector<MachineOptions> machines)
    : record_(record) {
  char folder[] = "/tmp/jujubefront-review-XXXXXX";
  folder_ = mkdtemp(folder);
  const unsigned own = static_cast<unsigned>(getpid());
  std::string network;
  for (unsigned i = 0; i < 200 && network.empty(); ++i) {
    const std::string tried = "127." + std::to_string(60 + (own + i) % 40) +
                              "." + std::to_string((own / 40 + i) % 250) + ".";
    const int port = 21'000 + static_cast<int>((own * 31 + i * 97) % 8000);
    bool free = true;
    for (int offset = 0; offset < kPortsUsed && free; ++offset) {
      free = IsFree(tried + "1:" + std::to_string(port + offset)) &&
             IsFree(tried + "10:" + std::to_string(port + offset));
    }
    if (!free) continue;
    network = tried;
    first_port_ = port;
  }
  const auto address = [&](const std::string& ip, int port) {
    return ip + ":" + std::to_string(first_port_ + port);
  };
  store_address_ = address(network + "1", kStorePort);
  for (std::size_t i = 0; i < machines.size(); ++i) {
    Machine& machine = machines_.emplace_back();
    machine.name_ = "sidecar-" + std::to_string(i);
    machine.zone_ = machines[i].zone_;
    machine.service_ = machines[i].service_;
    machine.ip_ = network + std::to_string(10 + i);
    machine.clients_ = address(machine.ip_, kClients);
    machine.ready_ = address(machine.ip_, kReady);
    machine.control_ = address(machine.ip_, kControl);
    machine.app_ = address(machine.ip_, kApp);
    machine.target_ =
        std::make_unique<Target>(TargetOptions{.id_ = "i-" + std::to_string(i),
                                               .service_ = machine.service_,
                                               .zone_ = machine.zone_,
                                               .address_ = machine.app_,
                                               .control_ = machine.control_,
                                               .slots_ = machines[i].slots_},
                                 record_, machines[i].handler_);
  }
}

Deployment::~Deployment() {
  for (Machine& machine : machines_) {
    if (machine.process_ == 0) continue;
    Signal(machine, SIGCONT);
    Signal(machine, SIGKILL);
    WaitForEnd(machine, Millis(5000));
  }
  for (Machine& machine : machines_) machine.target_->End();
  store_.Stop();
  std::error_code error;
  std::filesystem::remove_all(folder_, error);
}

std::string Deployment::SettingsText(const Machine& machine) const {
  std::ifstream file(kTemplate);
  std::ostringstream read;
  read << file.rdbuf();
  std::string text = read.str();
  const std::string seeds = machines_.front().control_;
  Replace(text, "{{node|json}}", Quoted(machine.name_));
  Replace(text, "{{zone|json}}", Quoted(machine.zone_));
  Replace(text, "{{region|json}}", Quoted("region"));
  Replace(text, "{{service|json}}", Quoted(machine.service_));
  Replace(text, "{{ip|json}}", Quoted(machine.ip_));
  Replace(text, "{{limits.memory_mb}}", "260");
  Replace(text, "{{limits.max_fds}}", "4100");
  Replace(text, "{{listen.outbound|json}}", Quoted(machine.clients_));
  Replace(text, "{{listen.ready|json}}", Quoted(machine.ready_));
  Replace(text, "{{listen.control|json}}", Quoted(machine.control_));
  Replace(text, "{{port_range.0}}", std::to_string(first_port_ + kLinkFirst));
  Replace(text, "{{port_range.1}}",
          std::to_string(first_port_ + kLinkFirst + kLinkPorts));
  Replace(text, "{{app_addr|json}}", Quoted(machine.app_));
  Replace(text, "{{heartbeat|json}}", Quoted("1500ms"));
  Replace(text, "{{platform.address|json}}", Quoted(store_address_));
  Replace(text, "{{#seeds}}{{.}}{{,}}{{/seeds}}", seeds);
  Replace(text, "{{#bounds}}{{@}}={{.}}{{,}}{{/bounds}}", kBounds);
  return text;
}

void Deployment::StartSidecar(Machine& machine) {
  const std::string path = folder_ + "/" + machine.name_ + ".toml";
  const std::string log = folder_ + "/" + machine.name_ + ".log";
  std::ofstream(path) << SettingsText(machine);
  const pid_t process = fork();
  if (process == 0) {
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    // The sidecar ends with the case, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv(kSettingsVariable, path.c_str(), 1);
    execl(kProgram, kProgram, static_cast<char*>(nullptr));
    _exit(127);
  }
  machine.process_ = process;
  record_.Write("started " + machine.name_);
}

void Deployment::Signal(const Machine& machine, int signal) const {
  if (machine.process_ > 0) kill(machine.process_, signal);
}

std::optional<int> Deployment::WaitForEnd(Machine& machine,
                                          Millis timeout) const {
  const auto until = Clock::now() + timeout;
  do {
    int status = 0;
    if (machine.process_ > 0 &&
        waitpid(machine.process_, &status, WNOHANG) == machine.process_) {
      machine.process_ = 0;
      return status;
    }
    std::this_thread::sleep_for(Millis(2));
  } while (Clock::now() < until);
  return std::nullopt;
}

bool Deployment::IsReady(const Machine& machine) const {
  Stream stream = Stream::Connect(machine.ready_, Millis(500));
  if (!stream.open()) return false;
  if (!stream.Write(FormatRequest("GET", "/jujubefront/readyz",
                                  {{"Host", machine.ready_}}, ""))) {
    return false;
  }
  return ReadMessage(stream, Clock::now() + Millis(500)).status() == 200;
}

void Deployment::PutDocument(const std::vector<Route>& routes,
                             std::uint64_t max_body_bytes) {
  std::vector<std::string> services;
  for (const Machine& machine : machines_) {
    if (std::find(services.begin(), services.end(), machine.service_) ==
        services.end()) {
      services.push_back(machine.service_);
    }
  }
  store_.Append("keyed.op", "config",
                DocumentText(++version_, routes, services, max_body_bytes));
}

bool Deployment::Start(const std::vector<Route>& routes,
                       std::uint64_t max_body_bytes) {
  if (first_port_ == 0 || !store_.Start(store_address_)) return false;
  PutDocument(routes, max_body_bytes);
  for (Machine& machine : machines_) {
    if (!machine.target_->Begin()) return false;
    StartSidecar(machine);
  }
  const auto until = Clock::now() + kStartTimeout;
  for (const Machine& machine : machines_) {
    while (!IsReady(machine) || machine.target_->acknowledged() == 0) {
      if (Clock::now() > until) return false;
      std::this_thread::sleep_for(Millis(50));
    }
  }
  std::this_thread::sleep_for(kStabilityWindow + Millis(500));
  record_.Write("all machines are ready and in touch");
  return true;
}

std::string DocumentText(int version, const std::vector<Route>& routes,
                         const std::vector<std::string>& services,
                         std::uint64_t max_body_bytes) {
  std::string resources;
  int number = 0;
  for (const Route& route : routes) {
    resources += R"({"resource_type":"routes","metadata":{"name":"r-)" +
                 std::to_string(++number) + R"("},"spec":{"host":")" + kHost +
                 R"(","path_prefix":")" + route.prefix_ + R"(","kind":")" +
                 (route.idempotent_ ? "idempotent" : "non_idempotent") +
                 R"(","timeout":")" + std::to_string(route.timeout_.count()) +
                 R"(ms","aim":"1500ms","priority":0,"service":")" +
                 route.service_ + R"(","max_attempts":2}},)";
  }
  for (const std::string& service : services) {
    resources += R"({"resource_type":"services","metadata":{"name":")" +
                 service +
                 R"("},"spec":{"health_path":"/healthz",)"
                 R"("max_connections":388,"protocol":"h1","tls":false}},)";
  }
  resources += R"({"resource_type":"limits","metadata":{},"spec":{)"
               R"("max_header_bytes":16384,"max_body_bytes":)" +
               std::to_string(max_body_bytes) +
               R"(,)"
               R"("header_timeout":"3000ms","idle_timeout":"15000ms"}})";
  return "{\"version\":" + std::to_string(version) + ",\"resources\":[" +
         resources + "]}";
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

}  // namespace review
