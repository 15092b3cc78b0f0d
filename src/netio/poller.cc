#include "netio/poller.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <array>

#include "netio/tcp_connection.h"

namespace jujubefront {
namespace {

constexpr int kEventsPerRound = 128;

}  // namespace

Poller& Poller::Instance() {
  static Poller* const kPoller = new Poller;
  return *kPoller;
}

Poller::Poller() : descriptor_(epoll_create1(EPOLL_CLOEXEC)) {
  notifier_ =
      std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Read);
  connect(notifier_.get(), &QSocketNotifier::activated, this,
          [this] { Dispatch(); });
}

Poller::~Poller() { ::close(descriptor_); }

void Poller::Add(int descriptor, TcpConnection* connection,
                 std::uint32_t events) {
  epoll_event event{.events = events, .data = {.ptr = connection}};
  epoll_ctl(descriptor_, EPOLL_CTL_ADD, descriptor, &event);
}

void Poller::Change(int descriptor, TcpConnection* connection,
                    std::uint32_t events) {
  epoll_event event{.events = events, .data = {.ptr = connection}};
  epoll_ctl(descriptor_, EPOLL_CTL_MOD, descriptor, &event);
}

void Poller::Retire(TcpConnection* connection) {
  retired_.push_back(connection);
}

void Poller::Dispatch() {
  // What was retired before this round has no event in it, since closing a
  // descriptor removes it from epoll.
  std::vector<TcpConnection*> retired;
  retired.swap(retired_);
  for (TcpConnection* connection : retired) delete connection;
  std::array<epoll_event, kEventsPerRound> events;
  const int count =
      epoll_wait(descriptor_, events.data(), kEventsPerRound, 0);
  for (int i = 0; i < count; ++i) {
    static_cast<TcpConnection*>(events[i].data.ptr)->OnEvents(events[i].events);
  }
}

}  // namespace jujubefront
