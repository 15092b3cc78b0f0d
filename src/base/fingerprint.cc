#include "base/fingerprint.h"

#include <xxhash.h>

#include <charconv>
#include <cstdio>
#include <memory>

namespace jujubefront {
namespace {

struct StateDeleter {
  void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

std::optional<std::uint64_t> ParseHex(std::string_view digits) {
  std::uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
  if (error != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

Fingerprint FingerprintOf(std::initializer_list<std::string_view> parts) {
  static thread_local const std::unique_ptr<XXH3_state_t, StateDeleter> kState(
      XXH3_createState());
  XXH3_128bits_reset(kState.get());
  for (const std::string_view part : parts) {
    const std::uint64_t length = part.size();
    XXH3_128bits_update(kState.get(), &length, sizeof(length));
    XXH3_128bits_update(kState.get(), part.data(), part.size());
  }
  const XXH128_hash_t hash = XXH3_128bits_digest(kState.get());
  return {.high_ = hash.high64, .low_ = hash.low64};
}

std::string FormatFingerprint(const Fingerprint& fingerprint) {
  char text[kFingerprintDigits + 1];
  std::snprintf(text, sizeof(text), "%016llx%016llx",
                static_cast<unsigned long long>(fingerprint.high_),
                static_cast<unsigned long long>(fingerprint.low_));
  return text;
}

std::optional<Fingerprint> ParseFingerprint(std::string_view text) {
  if (text.size() != kFingerprintDigits) return std::nullopt;
  const auto high = ParseHex(text.substr(0, kFingerprintDigits / 2));
  const auto low = ParseHex(text.substr(kFingerprintDigits / 2));
  if (!high || !low) return std::nullopt;
  return Fingerprint{.high_ = *high, .low_ = *low};
}

}  // namespace jujubefront
