#ifndef JUJUBEFRONT_BASE_FINGERPRINT_H_
#define JUJUBEFRONT_BASE_FINGERPRINT_H_

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace jujubefront {

// 128-bit hash that identifies a request content. All zeros: unknown.
struct Fingerprint {
  std::uint64_t high_ = 0;
  std::uint64_t low_ = 0;

  bool operator==(const Fingerprint& other) const = default;
  bool operator<(const Fingerprint& other) const {
    return std::tie(high_, low_) < std::tie(other.high_, other.low_);
  }
  bool known() const { return high_ != 0 || low_ != 0; }
};

// Fingerprint of several parts and their lengths (XXH3, 128 bits).
Fingerprint FingerprintOf(std::initializer_list<std::string_view> parts);

inline constexpr std::size_t kFingerprintDigits = 32;

// Formats a fingerprint as kFingerprintDigits hexadecimal digits.
std::string FormatFingerprint(const Fingerprint& fingerprint);

// Parses the result of FormatFingerprint; nullopt for any other text.
std::optional<Fingerprint> ParseFingerprint(std::string_view text);

// Hash for unordered containers.
struct FingerprintHash {
  std::size_t operator()(const Fingerprint& fingerprint) const {
    return fingerprint.low_;
  }
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_BASE_FINGERPRINT_H_
