#include "netio/application.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>

#include "netio/epoll_dispatcher.h"

namespace jujubefront {

std::unique_ptr<QCoreApplication> MakeApplication(int& argc, char** argv) {
  QCoreApplication::setEventDispatcher(new EpollDispatcher);
  return std::make_unique<QCoreApplication>(argc, argv);
}

int BlockSignals(std::initializer_list<int> signals) {
  sigset_t handled;
  sigemptyset(&handled);
  for (const int signal : signals) sigaddset(&handled, signal);
  sigprocmask(SIG_BLOCK, &handled, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signalfd(-1, &handled, SFD_CLOEXEC | SFD_NONBLOCK);
}

SignalListener::SignalListener(int descriptor,
                               std::function<void(int signal)> on_signal)
    : notifier_(descriptor, QSocketNotifier::Read),
      on_signal_(std::move(on_signal)) {
  QObject::connect(&notifier_, &QSocketNotifier::activated,
                   [this] { OnReadable(); });
}

void SignalListener::OnReadable() {
  signalfd_siginfo info{};
  while (read(static_cast<int>(notifier_.socket()), &info, sizeof(info)) ==
         sizeof(info)) {
    on_signal_(static_cast<int>(info.ssi_signo));
  }
}

}  // namespace jujubefront
