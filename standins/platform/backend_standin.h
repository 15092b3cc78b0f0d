#ifndef JUJUBEFRONT_STANDINS_PLATFORM_BACKEND_STANDIN_H_
#define JUJUBEFRONT_STANDINS_PLATFORM_BACKEND_STANDIN_H_

#include <QObject>
#include <QTimer>
#include <functional>
#include <map>
#include <string>

#include "http1/http1_client.h"
#include "http1/http1_server.h"

namespace jujubefront {

// Settings of a backend server's stand-in.
struct BackendStandinOptions {
  std::string instance_;
  std::string service_;
  std::string zone_;
  std::string address_;          // where requests arrive
  std::string control_address_;  // of its host's relay
  std::uint32_t slots_ = 16;
  Duration work_ = std::chrono::milliseconds(0);
  Duration heartbeat_ = std::chrono::milliseconds(300);
};

// A backend server: answers after some work, counts runs, sends heartbeats.
class BackendStandin : public QObject {
 public:
  explicit BackendStandin(BackendStandinOptions options);

  bool Listen() { return server_.Listen(options_.address_); }
  void SendHeartbeat();
  void Drain();
  void SetWork(Duration work) { options_.work_ = work; }
  // Answers with this status and without having run anything.
  void RejectWith(int status) { reject_status_ = status; }
  // Ends connections instead of answering, after having run the request.
  void LoseAnswers(bool lose) { lose_answers_ = lose; }

  const std::map<std::string, int>& runs() const { return runs_; }
  // Headers of the last request.
  const HeaderList& last_headers() const { return last_headers_; }
  int acknowledged() const { return acknowledged_; }
  bool drain_acknowledged() const { return drain_acknowledged_; }

 private:
  void OnRequest(std::uint64_t id, const Http1Request& request);
  void Answer(std::uint64_t id, const std::string& trace);

  BackendStandinOptions options_;
  Http1Server server_;
  Http1Client control_;
  QTimer heartbeat_;
  std::int64_t born_ms_ = 0;
  std::uint64_t sequence_ = 0;
  bool draining_ = false;
  int reject_status_ = 0;
  bool lose_answers_ = false;
  std::map<std::string, int> runs_;  // by request id
  HeaderList last_headers_;
  int acknowledged_ = 0;
  bool drain_acknowledged_ = false;
  std::uint64_t drain_call_ = 0;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_STANDINS_PLATFORM_BACKEND_STANDIN_H_
