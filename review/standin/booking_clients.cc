#include "booking_clients.h"

#include <algorithm>

namespace review {
namespace {

constexpr Millis kDeadline{5'000};
constexpr Millis kPause{20};

}  // namespace

void BookingClients::Start(const Machine& machine, int count) {
  for (int i = 0; i < count; ++i) {
    const std::string name = machine.name_ + "-" + std::to_string(i) + "-";
    threads_.emplace_back([this, name, address = machine.clients_] {
      Client client(address);
      for (int n = 0; !done_; ++n) {
        const std::string id = name + std::to_string(n);
        const Result result =
            client.Send("POST", "/book/1", id, kDeadline, "{}");
        std::this_thread::sleep_for(kPause);
        if (!result.sent_) continue;
        ++sent_;
        const int status =
            result.answer_.complete_ ? result.answer_.status() : 0;
        ++(status == 200 ? answered_ : status == 503 ? refused_ : failed_);
        record_.Write("booking " + id + " status " + std::to_string(status));
      }
    });
  }
}

void BookingClients::Stop() {
  done_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

int CountRunsAfter(Target& target, Clock::time_point after) {
  const auto times = target.run_times();
  return static_cast<int>(
      std::count_if(times.begin(), times.end(),
                    [&](const auto& run) { return run.first > after; }));
}

}  // namespace review
