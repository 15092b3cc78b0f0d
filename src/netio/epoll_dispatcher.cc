#include "netio/epoll_dispatcher.h"

#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <QCoreApplication>
#include <QEvent>
#include <QSocketNotifier>
#include <array>

namespace jujubefront {
namespace {

constexpr int kEventsPerRound = 128;

std::uint32_t EventsOf(QSocketNotifier::Type type) {
  switch (type) {
    case QSocketNotifier::Read:
      return EPOLLIN;
    case QSocketNotifier::Write:
      return EPOLLOUT;
    case QSocketNotifier::Exception:
      return EPOLLPRI;
  }
  return 0;
}

}  // namespace

// Forwards epoll events to one QSocketNotifier. Qt registers a notifier for
// each descriptor and event type, but epoll accepts a descriptor only once, so
// each notifier watches a duplicate of its descriptor.
class EpollDispatcher::Notifier : public EpollClient {
 public:
  explicit Notifier(QSocketNotifier* notifier)
      : notifier_(notifier),
        descriptor_(::fcntl(static_cast<int>(notifier->socket()),
                            F_DUPFD_CLOEXEC, 0)) {}
  ~Notifier() override { Close(); }

  void OnEvents(std::uint32_t) override {
    if (descriptor_ < 0) return;
    QEvent event(QEvent::SockAct);
    QCoreApplication::sendEvent(notifier_, &event);
  }

  void Close() {
    if (descriptor_ >= 0) ::close(descriptor_);
    descriptor_ = -1;
  }

  int descriptor() const { return descriptor_; }

 private:
  QSocketNotifier* notifier_;
  int descriptor_;
};

EpollDispatcher::EpollDispatcher()
    : epoll_(epoll_create1(EPOLL_CLOEXEC)),
      wake_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  epoll_event event{.events = EPOLLIN, .data = {.ptr = nullptr}};
  epoll_ctl(epoll_, EPOLL_CTL_ADD, wake_, &event);
}

EpollDispatcher::~EpollDispatcher() {
  DeleteRetired();
  for (auto& [notifier, client] : notifiers_) delete client;
  ::close(wake_);
  ::close(epoll_);
}

EpollDispatcher& EpollDispatcher::Instance() {
  auto* dispatcher =
      dynamic_cast<EpollDispatcher*>(QAbstractEventDispatcher::instance());
  Q_ASSERT(dispatcher != nullptr);
  return *dispatcher;
}

void EpollDispatcher::Add(int descriptor, EpollClient* client,
                          std::uint32_t events) {
  epoll_event event{.events = events, .data = {.ptr = client}};
  epoll_ctl(epoll_, EPOLL_CTL_ADD, descriptor, &event);
}

void EpollDispatcher::Change(int descriptor, EpollClient* client,
                             std::uint32_t events) {
  epoll_event event{.events = events, .data = {.ptr = client}};
  epoll_ctl(epoll_, EPOLL_CTL_MOD, descriptor, &event);
}

void EpollDispatcher::Retire(EpollClient* client) {
  retired_.push_back(client);
}

void EpollDispatcher::DeleteRetired() {
  std::vector<EpollClient*> retired;
  retired.swap(retired_);
  for (EpollClient* client : retired) delete client;
}

int EpollDispatcher::WaitTime(bool may_wait) const {
  if (!may_wait) return 0;
  if (due_.empty()) return -1;
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(
      due_.begin()->first - Clock::now());
  return static_cast<int>(std::max<std::int64_t>(0, wait.count()));
}

bool EpollDispatcher::processEvents(QEventLoop::ProcessEventsFlags flags) {
  interrupted_ = false;
  Q_EMIT awake();
  QCoreApplication::sendPostedEvents();
  const bool may_wait =
      flags.testFlag(QEventLoop::WaitForMoreEvents) && !interrupted_;
  if (may_wait) Q_EMIT aboutToBlock();
  // Clients retired before this epoll_wait cannot occur in its results, since
  // closing a descriptor removes it from epoll.
  DeleteRetired();
  std::array<epoll_event, kEventsPerRound> events;
  const int count =
      epoll_wait(epoll_, events.data(), kEventsPerRound, WaitTime(may_wait));
  for (int i = 0; i < count; ++i) {
    if (events[i].data.ptr == nullptr) {
      eventfd_t value = 0;
      eventfd_read(wake_, &value);
    } else {
      static_cast<EpollClient*>(events[i].data.ptr)->OnEvents(events[i].events);
    }
  }
  const bool timed = RunTimers();
  return count > 0 || timed;
}

bool EpollDispatcher::RunTimers() {
  if (due_.empty()) return false;
  const auto now = Clock::now();
  bool ran = false;
  while (!due_.empty() && due_.begin()->first <= now) {
    const int id = due_.begin()->second;
    due_.erase(due_.begin());
    Timer& timer = timers_.at(id);
    // The next interval starts now: a late timer does not fire several times to
    // catch up.
    timer.due_ = now + std::max(timer.interval_, std::chrono::milliseconds(1));
    due_.emplace(timer.due_, id);
    ran = true;
    QTimerEvent event(id);
    QCoreApplication::sendEvent(timer.object_, &event);
  }
  return ran;
}

void EpollDispatcher::registerSocketNotifier(QSocketNotifier* notifier) {
  auto* client = new Notifier(notifier);
  notifiers_[notifier] = client;
  Add(client->descriptor(), client, EventsOf(notifier->type()));
}

void EpollDispatcher::unregisterSocketNotifier(QSocketNotifier* notifier) {
  const auto found = notifiers_.find(notifier);
  if (found == notifiers_.end()) return;
  Notifier* client = found->second;
  notifiers_.erase(found);
  // The duplicate refers to the same open file description as the original. If
  // that stays open, closing the duplicate does not remove it from epoll.
  epoll_ctl(epoll_, EPOLL_CTL_DEL, client->descriptor(), nullptr);
  client->Close();
  Retire(client);
}

void EpollDispatcher::registerTimer(int timer_id, qint64 interval,
                                    Qt::TimerType type, QObject* object) {
  const std::chrono::milliseconds wait(interval);
  const auto due = Clock::now() + wait;
  timers_[timer_id] = {
      .object_ = object, .interval_ = wait, .type_ = type, .due_ = due};
  due_.emplace(due, timer_id);
}

bool EpollDispatcher::unregisterTimer(int timer_id) {
  const auto found = timers_.find(timer_id);
  if (found == timers_.end()) return false;
  const auto [first, last] = due_.equal_range(found->second.due_);
  for (auto it = first; it != last; ++it) {
    if (it->second != timer_id) continue;
    due_.erase(it);
    break;
  }
  timers_.erase(found);
  return true;
}

bool EpollDispatcher::unregisterTimers(QObject* object) {
  std::vector<int> ids;
  for (const auto& [id, timer] : timers_) {
    if (timer.object_ == object) ids.push_back(id);
  }
  for (const int id : ids) unregisterTimer(id);
  return !ids.empty();
}

QList<QAbstractEventDispatcher::TimerInfo> EpollDispatcher::registeredTimers(
    QObject* object) const {
  QList<TimerInfo> infos;
  for (const auto& [id, timer] : timers_) {
    if (timer.object_ != object) continue;
    infos.append(
        TimerInfo(id, static_cast<int>(timer.interval_.count()), timer.type_));
  }
  return infos;
}

int EpollDispatcher::remainingTime(int timer_id) {
  const auto found = timers_.find(timer_id);
  if (found == timers_.end()) return -1;
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(
      found->second.due_ - Clock::now());
  return static_cast<int>(std::max<std::int64_t>(0, left.count()));
}

void EpollDispatcher::wakeUp() { eventfd_write(wake_, 1); }

void EpollDispatcher::interrupt() {
  interrupted_ = true;
  wakeUp();
}

}  // namespace jujubefront
