#ifndef JUJUBEFRONT_STANDINS_BACKEND_BACKEND_MODEL_H_
#define JUJUBEFRONT_STANDINS_BACKEND_BACKEND_MODEL_H_

#include <QNetworkAccessManager>
#include <QObject>
#include <chrono>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "http/call_messages.h"
#include "http1/http1_server.h"
#include "telemetry/journal.h"

namespace jujubefront {

// Configures a stand-in for a backend server.
struct BackendModelOptions {
  std::string service_;
  std::string node_address_;           // HTTP address of the node on its host
  std::vector<std::string> children_;  // services that each request calls
  int slots_ = 40;
  std::chrono::microseconds work_ = std::chrono::milliseconds(2);
  std::uint64_t seed_ = 1;
  std::string journal_path_;
};

// A backend server with a fixed number of slots. A request waits for a slot,
// takes a random work time, calls the child services one after the other
// through the node on its host, and answers with all of their answers.
class BackendModel : public QObject {
 public:
  explicit BackendModel(BackendModelOptions options);

  // Returns the port, or 0 when the address cannot be bound.
  std::uint16_t Listen(const std::string& address);

 private:
  struct Job {
    Http1Request request_;
    std::size_t next_child_ = 0;
    std::string child_answers_;
  };

  void OnRequest(std::uint64_t id, Http1Request request);
  void OnClientGone(std::uint64_t id);
  bool HandleFaultRequest(std::uint64_t id, const Http1Request& request);
  void StartNext();
  void Work(std::uint64_t id);
  void CallNextChild(std::uint64_t id);
  void Finish(std::uint64_t id, int status, const std::string& detail);
  QNetworkAccessManager& NextManager();

  BackendModelOptions options_;
  std::mt19937_64 random_;
  Journal journal_;
  Http1Server server_;
  int busy_ = 0;
  std::chrono::microseconds work_;
  std::deque<std::uint64_t> waiting_;
  std::unordered_map<std::uint64_t, Job> jobs_;
  std::vector<std::unique_ptr<QNetworkAccessManager>> managers_;
  std::size_t current_manager_ = 0;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_STANDINS_BACKEND_BACKEND_MODEL_H_
