#ifndef JUJUBEFRONT_NETIO_APPLICATION_H_
#define JUJUBEFRONT_NETIO_APPLICATION_H_

#include <QCoreApplication>
#include <QSocketNotifier>
#include <functional>
#include <initializer_list>
#include <memory>

namespace jujubefront {

// Creates the process's QCoreApplication with an EpollDispatcher as event loop,
// which TcpConnection requires.
std::unique_ptr<QCoreApplication> MakeApplication(int& argc, char** argv);

// Blocks the signals and returns a signalfd for SignalListener; also ignores
// SIGPIPE. Call it first in main: threads inherit the signal mask, so it must
// be set before any of them starts.
int BlockSignals(std::initializer_list<int> signals);

// Calls a handler from the event loop for each blocked signal that arrives.
class SignalListener {
 public:
  SignalListener(int descriptor, std::function<void(int signal)> on_signal);

 private:
  void OnReadable();

  QSocketNotifier notifier_;
  std::function<void(int signal)> on_signal_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_NETIO_APPLICATION_H_
