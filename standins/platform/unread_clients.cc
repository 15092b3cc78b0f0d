#include "unread_clients.h"

namespace jujubefront {
namespace {

constexpr std::size_t kUploadBytes = 64 * 1024;
constexpr int kNames = 3500;
constexpr int kFields = 1800;
constexpr const char* kDeadline = "X-Deadline-Ms: 1400\r\n";

std::string Head(const std::string& line, const std::string& fields) {
  return line + " HTTP/1.1\r\nHost: test.example\r\n" + fields + "\r\n";
}

std::string Id(std::size_t number) {
  return "X-Request-Id: unread" + std::to_string(number) + "\r\n";
}

std::string ManyFields() {
  std::string fields = "Connection: keep-alive";
  for (int i = 0; i < kNames; ++i) fields += ",a";
  fields += "\r\n";
  for (int i = 0; i < kFields; ++i) fields += "b:\r\n";
  return fields;
}

}  // namespace

std::vector<UnreadForm> UnreadForms(const std::string& large_target) {
  return {
      {.name_ = "usual headers",
       .request_ =
           [](std::size_t number) {
             return Head("GET /read/unread", Id(number) + kDeadline);
           }},
      {.name_ = "no headers",
       .request_ = [](std::size_t) { return Head("GET /read/unread", ""); }},
      {.name_ = "large answers",
       .request_ =
           [large_target](std::size_t number) {
             return Head("GET " + large_target, Id(number) + kDeadline);
           }},
      {.name_ = "uploads",
       .request_ =
           [](std::size_t number) {
             return Head("POST /book/unread",
                         Id(number) + kDeadline + "Content-Length: " +
                             std::to_string(kUploadBytes) + "\r\n") +
                    std::string(kUploadBytes, 'u');
           }},
      {.name_ = "many fields",
       .request_ =
           [fields = ManyFields()](std::size_t number) {
             return Head("GET /read/unread", Id(number) + kDeadline + fields);
           }},
      {.name_ = "uncertain length",
       .request_ =
           [](std::size_t number) {
             return Head("POST /book/unread",
                         Id(number) + kDeadline +
                             "Transfer-Encoding: gzip\r\n") +
                    Head("POST /book/inner", Id(number));
           }},
  };
}

UnreadClients::UnreadClients(const std::string& address,
                             std::size_t connections, UnreadForm form,
                             std::size_t first)
    : form_(std::move(form)), next_(first) {
  for (std::size_t i = 0; i < connections; ++i) {
    TcpConnection* socket = TcpConnection::Open(address, {});
    if (socket == nullptr) continue;
    sockets_.insert(socket);
    socket->SetHandlers({.on_connected_ =
                             [this, socket] {
                               socket->SetReading(false);
                               Send(*socket);
                             },
                         .on_data_ = {},
                         .on_flushed_ = [this, socket] { Send(*socket); },
                         .on_end_ =
                             [this, socket](ConnectionEnd) {
                               sockets_.erase(socket);
                               socket->Close();
                             }});
  }
}

UnreadClients::~UnreadClients() {
  for (TcpConnection* socket : sockets_) socket->Abort();
}

// The event loop calls again when the bytes have been sent.
void UnreadClients::Send(TcpConnection& socket) {
  constexpr std::size_t kBlockBytes = 64 * 1024;
  std::string block;
  while (block.size() < kBlockBytes) block += form_.request_(next_++);
  socket.Write(block);
}

}  // namespace jujubefront
