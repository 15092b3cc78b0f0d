#ifndef JUJUBEFRONT_STANDINS_SOAK_LOOPBACK_PROXY_H_
#define JUJUBEFRONT_STANDINS_SOAK_LOOPBACK_PROXY_H_

#include <QObject>
#include <map>
#include <memory>
#include <string>

#include "endless_bytes.h"
#include "netio/tcp_listener.h"

namespace jujubefront {

// Directions in which a proxy drops the data that it receives.
struct SilencedDirections {
  bool to_server_ = false;
  bool to_caller_ = false;
};

// Forwards TCP connections on loopback and injects delays, resets and data
// loss.
class LoopbackProxy : public QObject {
 public:
  explicit LoopbackProxy(std::string server);
  ~LoopbackProxy() override;

  bool Listen(const std::string& address);

  // Delays all data by this time.
  void SetDelay(Duration delay) { delay_ = delay; }

  // Resets every open connection, to the caller and to the server.
  void Reset();

  // Drops all further data of the open connections in these directions; new
  // connections are not affected.
  void SilenceOpen(SilencedDirections directions);

  // Drops data in these directions on connections opened until the next call.
  void SilenceNew(SilencedDirections directions) { silence_new_ = directions; }

  // On every open connection, sends the caller a response with this part until
  // the caller closes it, or for `limit`. Data of the server is dropped.
  void AnswerWithoutEnd(const EndlessPart& part, Duration limit);

  std::size_t connections() const { return pairs_.size(); }

 private:
  struct Pair;

  void OnCaller(TcpConnection* caller);
  void Forward(std::uint64_t id, bool to_server);
  void OnEnd(std::uint64_t id, bool of_caller, ConnectionEnd end);
  void Remove(std::uint64_t id, bool reset);
  void WriteEndless(std::uint64_t id, Duration left);

  std::string server_;
  Duration delay_ = Duration::zero();
  SilencedDirections silence_new_;
  TcpListener listener_;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Pair>> pairs_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_STANDINS_SOAK_LOOPBACK_PROXY_H_
