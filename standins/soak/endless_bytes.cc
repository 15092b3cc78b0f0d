#include "endless_bytes.h"

#include <QTimer>
#include <memory>

namespace jujubefront {
namespace {

constexpr std::size_t kBlockBytes = 64 * 1024;
constexpr Duration kBlockInterval = std::chrono::milliseconds(2);

// The sender of one endless request. Deletes itself when it has ended.
class EndlessRequest : public QObject {
 public:
  EndlessRequest(TcpConnection* connection, const EndlessPart& part,
                 Duration limit)
      : connection_(connection) {
    connection_->SetHandlers(
        {.on_connected_ = [] {},
         .on_data_ =
             [this] { connection_->Consume(connection_->inbox().size()); },
         .on_flushed_ = [] {},
         .on_end_ = [this](ConnectionEnd) { End(); }});
    connection_->Write(FirstLine(part, false));
    connection_->Write(part.begin_);
    connect(&block_timer_, &QTimer::timeout, this,
            [this, part] { WriteMore(*connection_, part); });
    block_timer_.start(
        std::chrono::duration_cast<std::chrono::milliseconds>(kBlockInterval));
    QTimer::singleShot(
        std::chrono::duration_cast<std::chrono::milliseconds>(limit), this,
        [this] { End(); });
  }

 private:
  void End() {
    if (connection_ == nullptr) return;
    connection_->Abort();
    connection_ = nullptr;
    block_timer_.stop();
    deleteLater();
  }

  TcpConnection* connection_;
  QTimer block_timer_;
};

}  // namespace

std::string_view FirstLine(const EndlessPart& part, bool response) {
  if (!response) return "POST /book/endless HTTP/1.1\r\nHost: test.example\r\n";
  return part.begin_ == "\r\n" ? "HTTP/1.1 100 Continue\r\n"
                               : "HTTP/1.1 200 OK\r\n";
}

void WriteMore(TcpConnection& connection, const EndlessPart& part) {
  if (connection.unsent_bytes() >= kMaxUnsent) return;
  std::string block;
  while (block.size() < kBlockBytes) block += part.endless_;
  connection.Write(block);
}

void SendEndlessRequest(const std::string& address, const EndlessPart& part,
                        Duration limit) {
  TcpConnection* connection = TcpConnection::Open(address, {});
  if (connection == nullptr) return;
  new EndlessRequest(connection, part, limit);
}

}  // namespace jujubefront
