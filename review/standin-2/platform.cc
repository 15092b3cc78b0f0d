#include "platform.h"

#include <signal.h>

#include <algorithm>
#include <map>

namespace review {
namespace {

constexpr std::chrono::milliseconds kRestartDelay(500);
constexpr std::chrono::milliseconds kCheckInterval(5);
constexpr int kEndsToBreak = 3;
constexpr std::ptrdiff_t kMinMachinesToBreak = 2;
constexpr std::size_t kMachineShareDivisor = 10;

}  // namespace

Platform::Platform(Deployment& deployment, Record& record)
    : deployment_(deployment),
      record_(record),
      peaks_(deployment.size()),
      ends_(deployment.size()),
      thread_([this] { Watch(); }) {}

void Platform::Stop() {
  over_ = true;
  if (thread_.joinable()) thread_.join();
}

void Platform::Watch() {
  std::map<std::size_t, Clock::time_point> restarts;
  while (!over_) {
    for (std::size_t i = 0; i < deployment_.size(); ++i) {
      Host& host = deployment_.host(i);
      const auto restart = restarts.find(i);
      if (restart != restarts.end()) {
        if (Clock::now() < restart->second) continue;
        restarts.erase(restart);
        deployment_.StartProcess(host);
      }
      if (deployment_.IsRunning(host)) {
        KillIfOver(host, peaks_[i]);
      } else {
        ++ends_[i];
        restarts[i] = Clock::now() + kRestartDelay;
      }
    }
    std::this_thread::sleep_for(kCheckInterval);
  }
}

void Platform::KillIfOver(const Host& host, std::size_t& peak) {
  const std::size_t resident = Deployment::ResidentKb(host);
  peak = std::max(peak, resident);
  if (resident <= kMemoryMb * 1024) return;
  record_.Line(host.name_ + " of " + host.service_ + " holds " +
               std::to_string(resident / 1024) + " MB of " +
               std::to_string(kMemoryMb) + " MB and is killed");
  ::kill(host.process_, SIGKILL);
}

bool Platform::BreaksRule() const {
  const auto machines = std::count_if(ends_.begin(), ends_.end(), [](int ends) {
    return ends >= kEndsToBreak;
  });
  record_.Line("processes ended three times on " + std::to_string(machines) +
               " of " + std::to_string(ends_.size()) + " machines");
  return machines >= kMinMachinesToBreak &&
         static_cast<std::size_t>(machines) * kMachineShareDivisor >=
             ends_.size();
}

void Platform::LogOutcome() const {
  for (std::size_t i = 0; i < ends_.size(); ++i) {
    const Host& host = deployment_.host(i);
    record_.Line(host.name_ + " of " + host.service_ + ": at most " +
                 std::to_string(peaks_[i] / 1024) + " MB, ended " +
                 std::to_string(ends_[i]) + " times");
  }
}

}  // namespace review
