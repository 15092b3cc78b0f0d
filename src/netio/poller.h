#ifndef JUJUBEFRONT_NETIO_POLLER_H_
#define JUJUBEFRONT_NETIO_POLLER_H_

#include <QObject>
#include <QSocketNotifier>
#include <cstdint>
#include <memory>
#include <vector>

namespace jujubefront {

class TcpConnection;

// Watches all connections of a process with one epoll descriptor, which is the
// only one of them that Qt's event loop has to poll.
class Poller : public QObject {
 public:
  // The poller of the thread that runs the event loop.
  static Poller& Instance();

  Poller();
  ~Poller() override;

  void Add(int descriptor, TcpConnection* connection, std::uint32_t events);
  void Change(int descriptor, TcpConnection* connection, std::uint32_t events);

  // Deletes a closed connection once no event of it can be pending.
  void Retire(TcpConnection* connection);

 private:
  void Dispatch();

  int descriptor_ = -1;
  std::unique_ptr<QSocketNotifier> notifier_;
  std::vector<TcpConnection*> retired_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_NETIO_POLLER_H_
