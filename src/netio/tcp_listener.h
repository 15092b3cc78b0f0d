#ifndef JUJUBEFRONT_NETIO_TCP_LISTENER_H_
#define JUJUBEFRONT_NETIO_TCP_LISTENER_H_

#include <QTcpServer>
#include <functional>
#include <string>

#include "netio/tcp_connection.h"

namespace jujubefront {

// Accepts TCP connections at one address.
class TcpListener : public QTcpServer {
 public:
  TcpListener(SilenceOptions silence,
              std::function<void(TcpConnection*)> on_connection);

  // Returns false when the address is malformed or in use.
  bool Listen(const std::string& address);

 protected:
  void incomingConnection(qintptr descriptor) override;

 private:
  SilenceOptions silence_;
  std::function<void(TcpConnection*)> on_connection_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_NETIO_TCP_LISTENER_H_
