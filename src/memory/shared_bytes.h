#ifndef JUJUBEFRONT_MEMORY_SHARED_BYTES_H_
#define JUJUBEFRONT_MEMORY_SHARED_BYTES_H_

#include <memory>
#include <ostream>
#include <string>
#include <string_view>

#include "memory/message_memory.h"

namespace jujubefront {

// Immutable bytes, such as the body of a message, that copies share. They count
// in a MessageMemory until the last copy is destroyed.
class SharedBytes {
 public:
  SharedBytes() = default;
  // NOLINTBEGIN(google-explicit-constructor): interchangeable with text, as
  // bodies are given and read as such.
  SharedBytes(std::string bytes, MemoryCharge charge = {});
  SharedBytes(const char* text) : SharedBytes(std::string(text)) {}
  operator std::string_view() const { return view_; }
  // NOLINTEND(google-explicit-constructor)

  // A part of these bytes. It keeps all of them in memory.
  SharedBytes Part(std::size_t begin, std::size_t size) const;

  std::string_view view() const { return view_; }
  std::string str() const { return std::string(view_); }
  const char* data() const { return view_.data(); }
  std::size_t size() const { return view_.size(); }
  bool empty() const { return view_.empty(); }
  // Whether they count in a MessageMemory.
  bool counted() const;
  // Makes them count, with all their copies. Does nothing if there are none.
  void SetCharge(MemoryCharge charge) const;

 private:
  struct Storage {
    std::string bytes_;
    mutable MemoryCharge charge_;
  };

  std::shared_ptr<const Storage> storage_;
  std::string_view view_;
};

inline bool operator==(const SharedBytes& first, const SharedBytes& second) {
  return first.view() == second.view();
}
inline bool operator==(const SharedBytes& first, std::string_view second) {
  return first.view() == second;
}
inline bool operator==(const SharedBytes& first, const std::string& second) {
  return first.view() == second;
}
inline bool operator==(const SharedBytes& first, const char* second) {
  return first.view() == second;
}
inline std::ostream& operator<<(std::ostream& out, const SharedBytes& bytes) {
  return out << bytes.view();
}

}  // namespace jujubefront

#endif  // JUJUBEFRONT_MEMORY_SHARED_BYTES_H_
