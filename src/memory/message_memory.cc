#include "memory/message_memory.h"

#include <utility>

namespace jujubefront {
namespace {

// Part of the limit by which small messages and those of the system itself may
// exceed it.
constexpr std::size_t kKeptBackDivisor = 8;
// Part of the limit that requests leave to responses.
constexpr std::size_t kResponseDivisor = 4;

std::size_t LimitOf(const MessageMemory& memory, std::size_t bytes,
                    MemoryClaim claim) {
  if (bytes <= kSmallMessageBytes || claim == MemoryClaim::kControl) {
    return memory.limit_ + memory.limit_ / kKeptBackDivisor;
  }
  return claim == MemoryClaim::kRequest
             ? memory.limit_ - memory.limit_ / kResponseDivisor
             : memory.limit_;
}

}  // namespace

MemoryCharge::MemoryCharge(MemoryCharge&& other) noexcept
    : memory_(std::exchange(other.memory_, nullptr)),
      bytes_(std::exchange(other.bytes_, 0)) {}

MemoryCharge& MemoryCharge::operator=(MemoryCharge&& other) noexcept {
  std::swap(memory_, other.memory_);
  std::swap(bytes_, other.bytes_);
  return *this;
}

MemoryCharge::~MemoryCharge() {
  if (memory_ != nullptr) memory_->used_ -= bytes_;
}

bool MemoryCharge::Set(std::size_t bytes, MemoryClaim claim) {
  if (memory_ == nullptr) return true;
  MessageMemory& memory = *memory_;
  const std::size_t limit = LimitOf(memory, bytes, claim);
  const auto missing = [&] {
    const std::size_t used = memory.used_ - bytes_ + bytes;
    return bytes > bytes_ && used > limit ? used - limit : 0;
  };
  if (missing() > 0 && memory.relieve_) memory.relieve_(missing());
  if (missing() > 0) {
    ++memory.refused_;
    return false;
  }
  memory.used_ += bytes - bytes_;
  bytes_ = bytes;
  return true;
}

}  // namespace jujubefront
