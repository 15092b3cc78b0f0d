#include "netio/tcp_listener.h"

#include <QHostAddress>
#include <QTimer>

namespace jujubefront {
namespace {

constexpr int kBacklog = 1024;
constexpr std::chrono::milliseconds kAcceptRetryInterval(100);

}  // namespace

TcpListener::TcpListener(SilenceOptions silence,
                         std::function<void(TcpConnection*)> on_connection)
    : silence_(silence), on_connection_(std::move(on_connection)) {
  setListenBacklogSize(kBacklog);
  // When the process runs out of descriptors, Qt stops accepting until
  // resumeAccepting() is called.
  connect(this, &QTcpServer::acceptError, this, [this] {
    QTimer::singleShot(kAcceptRetryInterval, this,
                       [this] { resumeAccepting(); });
  });
}

bool TcpListener::Listen(const std::string& address) {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  if (!ParseAddress(address, ip, port)) return false;
  return listen(QHostAddress(ip), port);
}

void TcpListener::incomingConnection(qintptr descriptor) {
  on_connection_(TcpConnection::Adopt(static_cast<int>(descriptor), silence_));
}

}  // namespace jujubefront
