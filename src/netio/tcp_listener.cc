#include "netio/tcp_listener.h"

#include <QHostAddress>

namespace jujubefront {
namespace {

constexpr int kBacklog = 1024;

}  // namespace

TcpListener::TcpListener(SilenceOptions silence,
                         std::function<void(TcpConnection*)> on_connection)
    : silence_(silence), on_connection_(std::move(on_connection)) {
  setListenBacklogSize(kBacklog);
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
