#include "base/hashing.h"

#include <xxhash.h>

namespace jujubefront {

std::uint64_t HashBytes(std::string_view bytes, std::uint64_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

std::uint64_t MixBits(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

std::uint64_t NextRandom(RandomState& random) {
  random.state_ += 0x9e3779b97f4a7c15ULL;
  return MixBits(random.state_);
}

std::uint64_t NextBelow(RandomState& random, std::uint64_t bound) {
  if (bound == 0) return 0;
  return NextRandom(random) % bound;
}

double NextUnit(RandomState& random) {
  return static_cast<double>(NextRandom(random) >> 11) * 0x1.0p-53;
}

}  // namespace jujubefront
