// A target deregisters, and the call is acknowledged. Then all sidecars are
// killed at once and started again. A heartbeat that the target had sent before
// arrives late. The target goes on serving for a while, as the pages allow;
// later than `drain` after the acknowledgement no request may reach it.
#include <signal.h>

#include <algorithm>
#include <cstdio>

#include "../standin/booking_clients.h"

namespace review {
namespace {

constexpr int kClientsPerMachine = 3;
constexpr Millis kTimeout{5'000};
constexpr Millis kWork{250};
constexpr Millis kRestartDelay{700};
constexpr Millis kHeartbeatLate{3'500};
constexpr Millis kDrain{2'500};
constexpr Millis kStabilityWindow{4'000};
// How long the target serves after the acknowledgement of its leaving.
constexpr Millis kServesOn{8'000};

int Run(const char* record_path) {
  Record record(record_path);
  const bool trouble = HasTrouble();
  const Target::Handler book = [](const Message&) {
    return TargetReply{.body_ = "booked", .work_ = kWork, .garbage_ = ""};
  };
  Deployment deployment(record, {{"utlan", "zone-a", book},
                                 {"utlan", "zone-b", book},
                                 {"utlan", "zone-a", book},
                                 {"utlan", "zone-b", book}});
  if (!deployment.Start({{"/book/", false, "utlan", kTimeout}})) {
    std::puts("could not start");
    return kCouldNotRun;
  }
  Machine& machine = deployment.machine(0);
  Target& target = *machine.target_;
  BookingClients clients(record);
  for (std::size_t i = 1; i < deployment.size(); ++i) {
    clients.Start(deployment.machine(i), kClientsPerMachine);
  }
  std::this_thread::sleep_for(Millis(2000));
  target.StopHeartbeats();
  std::this_thread::sleep_for(Millis(1200));  // none is on its way any more
  Clock::time_point started = Clock::now() - kStabilityWindow;
  std::thread late;
  if (trouble) {
    // Sent now; the network delivers it late. It is not acknowledged in time.
    const std::string heartbeat = target.NextHeartbeat("ready");
    record.Write("target sends a heartbeat");
    late = std::thread([&, heartbeat] {
      std::this_thread::sleep_for(kHeartbeatLate);
      record.Write("the heartbeat arrives");
      (void)target.Call(heartbeat);
    });
  }
  const bool acknowledged = target.Call(target.LeaveText());
  const auto acknowledged_at = Clock::now();
  record.Write(acknowledged ? "its leaving is acknowledged"
                            : "its leaving is not acknowledged");
  if (trouble) {
    std::this_thread::sleep_for(Millis(300));
    record.Write("SIGKILL of all sidecars");
    for (std::size_t i = 0; i < deployment.size(); ++i) {
      deployment.Signal(deployment.machine(i), SIGKILL);
    }
    for (std::size_t i = 0; i < deployment.size(); ++i) {
      deployment.WaitForEnd(deployment.machine(i), Millis(2000));
    }
    std::this_thread::sleep_for(kRestartDelay);
    for (std::size_t i = 0; i < deployment.size(); ++i) {
      deployment.StartSidecar(deployment.machine(i));
    }
    started = Clock::now();
  }
  std::this_thread::sleep_for(acknowledged_at + kServesOn - Clock::now());
  record.Write("target exits");
  target.End();
  std::this_thread::sleep_for(Millis(1000));
  clients.Stop();
  if (late.joinable()) late.join();
  // DRAIN counts what machines in touch sent on: again from the window after
  // their start on.
  const int late_runs = CountRunsAfter(
      target, std::max(acknowledged_at + kDrain, started + kStabilityWindow));
  const int runs = static_cast<int>(target.run_times().size());
  char line[300];
  std::snprintf(line, sizeof(line),
                "bookings: sent %d, answered %d, refused %d, failed %d; runs "
                "at the target %d, later than drain after the acknowledgement "
                "%d",
                clients.sent(), clients.answered(), clients.refused(),
                clients.failed(), runs, late_runs);
  record.Write(line);
  std::puts(line);
  if (!acknowledged || runs == 0) return kCouldNotRun;
  return late_runs > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  if (argc < 2) return review::kCouldNotRun;
  return review::Run(argv[1]);
}
