#ifndef JUJUBEFRONT_STANDINS_PLATFORM_LIMITED_HOST_H_
#define JUJUBEFRONT_STANDINS_PLATFORM_LIMITED_HOST_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "sidecar_hosts.h"

namespace jujubefront {

// Limits of a process under test.
inline constexpr std::uint32_t kMemoryMb = 64;
inline constexpr std::uint32_t kMaxDescriptors = 512;
// A process must stay within the memory of its host; a quarter of it is for the
// kernel's buffers.
inline constexpr std::size_t kMaxResidentKb =
    std::size_t{kMemoryMb} * 1024 * 3 / 4;
inline constexpr std::size_t kResponseBytes = 9000;

// A connected, non-blocking socket; -1 if the address does not accept it.
// `receive_buffer`: bytes of the kernel's buffer; 0: the default.
int ConnectTo(const std::string& address, int receive_buffer = 0);

// Largest resident memory of a process so far, in KB; 0 if it has ended.
std::size_t PeakResidentKb(qint64 process);

std::size_t OpenDescriptors(qint64 process);

Http1Request OrdinaryRequest();

// Hosts whose processes have lowered limits.
class LimitedHosts {
 public:
  // `program`: path of jujubefront-sidecar.
  explicit LimitedHosts(const std::string& program, std::size_t hosts = 1);

  SidecarHosts& hosts() { return hosts_; }
  SidecarHost& host() { return hosts_.hosts().front(); }

  bool OrdinaryCallerIsAnswered();

  // Fails unless every process lives within its limits and the first one
  // answers a caller.
  void Check(const std::string& name);

 private:
  SidecarHosts hosts_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_STANDINS_PLATFORM_LIMITED_HOST_H_
