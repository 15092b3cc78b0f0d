#include "memory/shared_bytes.h"

#include <utility>

namespace jujubefront {

SharedBytes::SharedBytes(std::string bytes, MemoryCharge charge) {
  if (bytes.empty()) return;
  storage_ = std::make_shared<const Storage>(
      Storage{.bytes_ = std::move(bytes), .charge_ = std::move(charge)});
  view_ = storage_->bytes_;
}

SharedBytes SharedBytes::Part(std::size_t begin, std::size_t size) const {
  SharedBytes part = *this;
  part.view_ = view_.substr(begin, size);
  return part;
}

void SharedBytes::SetCharge(MemoryCharge charge) const {
  if (storage_ != nullptr) storage_->charge_ = std::move(charge);
}

bool SharedBytes::counted() const {
  return storage_ != nullptr && storage_->charge_.counted();
}

}  // namespace jujubefront
