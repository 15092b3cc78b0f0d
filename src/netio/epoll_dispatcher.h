#ifndef JUJUBEFRONT_NETIO_EPOLL_DISPATCHER_H_
#define JUJUBEFRONT_NETIO_EPOLL_DISPATCHER_H_

#include <QAbstractEventDispatcher>
#include <chrono>
#include <map>
#include <unordered_map>

namespace jujubefront {

// Receiver of epoll events for one descriptor: a connection or a
// QSocketNotifier.
class EpollClient {
 public:
  virtual ~EpollClient() = default;
  virtual void OnEvents(std::uint32_t events) = 0;
};

// Qt event dispatcher based on a single epoll instance, which watches the
// connections, Qt's socket notifiers and the wake-up eventfd. Qt's own
// dispatcher passes every notifier to poll() on each wake-up; here a wake-up
// costs one system call.
class EpollDispatcher : public QAbstractEventDispatcher {
 public:
  EpollDispatcher();
  ~EpollDispatcher() override;

  // The dispatcher of the current thread. Install it with
  // QCoreApplication::setEventDispatcher before creating the application.
  static EpollDispatcher& Instance();

  // Add starts watching a descriptor, Change replaces its epoll event mask.
  void Add(int descriptor, EpollClient* client, std::uint32_t events);
  void Change(int descriptor, EpollClient* client, std::uint32_t events);
  // Deletes a client whose descriptor is closed, as soon as no event for it can
  // be pending any more.
  void Retire(EpollClient* client);

  bool processEvents(QEventLoop::ProcessEventsFlags flags) override;
  void registerSocketNotifier(QSocketNotifier* notifier) override;
  void unregisterSocketNotifier(QSocketNotifier* notifier) override;
  void registerTimer(int timer_id, qint64 interval, Qt::TimerType type,
                     QObject* object) override;
  bool unregisterTimer(int timer_id) override;
  bool unregisterTimers(QObject* object) override;
  QList<TimerInfo> registeredTimers(QObject* object) const override;
  int remainingTime(int timer_id) override;
  void wakeUp() override;
  void interrupt() override;

 private:
  using Clock = std::chrono::steady_clock;
  class Notifier;

  struct Timer {
    QObject* object_ = nullptr;
    std::chrono::milliseconds interval_{};
    Qt::TimerType type_ = Qt::CoarseTimer;
    Clock::time_point due_;
  };

  int WaitTime(bool may_wait) const;
  bool RunTimers();
  void DeleteRetired();

  int epoll_ = -1;
  int wake_ = -1;
  bool interrupted_ = false;
  std::unordered_map<QSocketNotifier*, Notifier*> notifiers_;
  std::unordered_map<int, Timer> timers_;
  std::multimap<Clock::time_point, int> due_;
  std::vector<EpollClient*> retired_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_NETIO_EPOLL_DISPATCHER_H_
