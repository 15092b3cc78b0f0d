#ifndef JUJUBEFRONT_BASE_HASHING_H_
#define JUJUBEFRONT_BASE_HASHING_H_

#include <cstdint>
#include <string_view>

namespace jujubefront {

// 64-bit xxHash of bytes, with an optional seed.
std::uint64_t HashBytes(std::string_view bytes, std::uint64_t seed = 0);

// Mixes a 64-bit value (SplitMix64 finaliser).
std::uint64_t MixBits(std::uint64_t value);

// State of a deterministic random generator (SplitMix64). It is plain data, so
// that a reducer that uses it remains replayable.
struct RandomState {
  std::uint64_t state_ = 0;
};

// Draws the next 64 random bits.
std::uint64_t NextRandom(RandomState& random);

// Draws a number in [0, bound); returns 0 when bound is 0.
std::uint64_t NextBelow(RandomState& random, std::uint64_t bound);

// Draws a number in [0, 1).
double NextUnit(RandomState& random);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_BASE_HASHING_H_
