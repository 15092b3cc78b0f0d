#ifndef JUJUBEFRONT_STANDINS_PLATFORM_UNREAD_CLIENTS_H_
#define JUJUBEFRONT_STANDINS_PLATFORM_UNREAD_CLIENTS_H_

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "netio/tcp_connection.h"

namespace jujubefront {

// Requests of one form that clients send without end.
struct UnreadForm {
  const char* name_;
  std::function<std::string(std::size_t number)> request_;
};

// Forms of requests inside the limits on their size. `large_target`: a target
// whose responses are large.
std::vector<UnreadForm> UnreadForms(const std::string& large_target);

// Clients that pipeline requests as long as the server reads them, and read no
// response.
class UnreadClients {
 public:
  // `first`: number of the first request, by which its id is made.
  UnreadClients(const std::string& address, std::size_t connections,
                UnreadForm form, std::size_t first = 0);
  ~UnreadClients();
  UnreadClients(const UnreadClients&) = delete;
  UnreadClients& operator=(const UnreadClients&) = delete;

  // Connections that the server has not closed.
  std::size_t open() const { return sockets_.size(); }

 private:
  void Send(TcpConnection& socket);

  UnreadForm form_;
  std::set<TcpConnection*> sockets_;
  std::size_t next_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_STANDINS_PLATFORM_UNREAD_CLIENTS_H_
