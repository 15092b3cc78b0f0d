#include "base/fingerprint.h"

#include <xxhash.h>

#include <cstdio>
#include <memory>

namespace jujubefront {
namespace {

struct StateDeleter {
  void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

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

}  // namespace jujubefront
