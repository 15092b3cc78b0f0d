#ifndef JUJUBEFRONT_MEMORY_MESSAGE_MEMORY_H_
#define JUJUBEFRONT_MEMORY_MESSAGE_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>

namespace jujubefront {

// Bytes that messages occupy in a process, from the time they are read until
// they are released, and their limit.
struct MessageMemory {
  std::size_t limit_ = 0;  // bytes
  std::size_t used_ = 0;
  std::uint64_t refused_ = 0;  // messages for which there was no room
  // Called to free this many bytes when a message does not fit. May be empty.
  std::function<void(std::size_t bytes)> relieve_;
};

// What a message is, which decides how much of the memory it may use.
enum class MemoryClaim : std::uint8_t {
  kRequest,   // three quarters, so that responses find room
  kResponse,  // all: its request has run
  kControl,   // an eighth more: messages of the system itself
};

// Messages up to this size may exceed the limit by an eighth of it, so that
// large ones do not keep them out.
inline constexpr std::size_t kSmallMessageBytes = std::size_t{64} * 1024;

// Share of a message in the memory. Returned by the destructor.
class MemoryCharge {
 public:
  MemoryCharge() = default;
  // nullptr: unlimited. Otherwise `memory` must outlive the charge.
  explicit MemoryCharge(MessageMemory* memory) : memory_(memory) {}
  MemoryCharge(MemoryCharge&& other) noexcept;
  MemoryCharge& operator=(MemoryCharge&& other) noexcept;
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;
  ~MemoryCharge();

  // Changes the share. Returns false and keeps the previous one if there is no
  // room.
  bool Set(std::size_t bytes, MemoryClaim claim);

  // Whether the bytes count in a memory.
  bool counted() const { return memory_ != nullptr; }
  std::size_t bytes() const { return bytes_; }

 private:
  MessageMemory* memory_ = nullptr;
  std::size_t bytes_ = 0;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_MEMORY_MESSAGE_MEMORY_H_
