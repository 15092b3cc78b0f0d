#include "context/priority.h"

#include "base/hashing.h"

namespace jujubefront {

std::uint8_t CohortOf(const RequestKey& root_key) {
  // Only the random half, so that keys made in the same millisecond differ.
  return static_cast<std::uint8_t>(MixBits(root_key.low_));
}

Priority PriorityOf(const CallContext& context) {
  const unsigned tier = context.tier_;
  return static_cast<Priority>(tier * kCohortsPerTier +
                               CohortOf(context.root_key_));
}

bool Admits(AdmissionLevel level, Priority priority) {
  return priority <= level;
}

}  // namespace jujubefront
