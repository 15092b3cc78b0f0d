#include "limited_host.h"

#include <arpa/inet.h>
#include <cppunit/TestAssert.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QDir>
#include <chrono>
#include <fstream>

#include "netio/tcp_connection.h"

namespace jujubefront {

int ConnectTo(const std::string& address, int receive_buffer) {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  if (!ParseAddress(address, ip, port)) return -1;
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof(receive_buffer));
  }
  sockaddr_in remote{};
  remote.sin_family = AF_INET;
  remote.sin_addr.s_addr = htonl(ip);
  remote.sin_port = htons(port);
  if (::connect(descriptor, reinterpret_cast<sockaddr*>(&remote),
                sizeof(remote)) != 0) {
    ::close(descriptor);
    return -1;
  }
  ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) | O_NONBLOCK);
  return descriptor;
}

std::size_t PeakResidentKb(qint64 process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) return std::stoul(line.substr(6));
  }
  return 0;
}

std::size_t OpenDescriptors(qint64 process) {
  const QDir folder("/proc/" + QString::number(process) + "/fd");
  return static_cast<std::size_t>(
      folder.entryList(QDir::System | QDir::Files | QDir::Hidden).size());
}

Http1Request OrdinaryRequest() {
  return {.method_ = "GET",
          .target_ = "/read/1",
          .headers_ = {{"Host", "test.example"},
                       {"X-Request-Id", "ordinary"},
                       {"X-Deadline-Ms", "1400"}}};
}

LimitedHosts::LimitedHosts(const std::string& program, std::size_t hosts)
    : hosts_({.program_ = program,
              .hosts_ = hosts,
              .memory_mb_ = kMemoryMb,
              .max_descriptors_ = kMaxDescriptors}) {
  hosts_.store().PutDocument(SampleDocument(1, "jobs"));
  CPPUNIT_ASSERT(hosts_.Start());
  CPPUNIT_ASSERT(OrdinaryCallerIsAnswered());
  for (const SidecarHost& host : hosts_.hosts()) {
    host.backend_->SetBodyBytes(kResponseBytes);
  }
}

bool LimitedHosts::OrdinaryCallerIsAnswered() {
  return WaitUntil(std::chrono::seconds(5), [&] {
    return Fetch(host().clients(), OrdinaryRequest()).status_ == 200;
  });
}

void LimitedHosts::Check(const std::string& name) {
  for (const SidecarHost& checked : hosts_.hosts()) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, QProcess::Running,
                                 checked.process_->state());
    const qint64 process = checked.process_->processId();
    const std::size_t resident = PeakResidentKb(process);
    CPPUNIT_ASSERT_MESSAGE(name + ": resident KB " + std::to_string(resident),
                           resident > 0 && resident <= kMaxResidentKb);
    const std::size_t descriptors = OpenDescriptors(process);
    CPPUNIT_ASSERT_MESSAGE(
        name + ": descriptors " + std::to_string(descriptors),
        descriptors > 0 && descriptors <= kMaxDescriptors);
  }
  CPPUNIT_ASSERT_MESSAGE(name, OrdinaryCallerIsAnswered());
}

}  // namespace jujubefront
