#include "base/request_key.h"

#include "base/hashing.h"

namespace jujubefront {
namespace {

constexpr std::uint64_t kVersion = 0x7000;
constexpr std::uint64_t kVersionMask = 0xf000;
constexpr std::uint64_t kVariant = 0x8000000000000000ULL;
constexpr std::uint64_t kVariantMask = 0xc000000000000000ULL;
constexpr std::size_t kTextLength = 36;

bool IsHyphenPosition(std::size_t index) {
  return index == 8 || index == 13 || index == 18 || index == 23;
}

// Value of a hexadecimal digit, or -1.
int HexValue(char digit) {
  if (digit >= '0' && digit <= '9') return digit - '0';
  if (digit >= 'a' && digit <= 'f') return digit - 'a' + 10;
  if (digit >= 'A' && digit <= 'F') return digit - 'A' + 10;
  return -1;
}

RequestKey WithVersionAndVariant(std::uint64_t high, std::uint64_t low) {
  return {.high_ = (high & ~kVersionMask) | kVersion,
          .low_ = (low & ~kVariantMask) | kVariant};
}

}  // namespace

RequestKey MakeRequestKey(Timestamp now, std::uint64_t random_high,
                          std::uint64_t random_low) {
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
      now.time_since_epoch());
  const auto time_bits = static_cast<std::uint64_t>(millis.count()) << 16;
  return WithVersionAndVariant(time_bits | (random_high & 0x0fff), random_low);
}

RequestKey DeriveChildKey(const RequestKey& parent, std::string_view service,
                          std::uint64_t index) {
  const std::uint64_t seed =
      MixBits(parent.high_ ^ MixBits(parent.low_ + index));
  const std::uint64_t digest = HashBytes(service, seed);
  const std::uint64_t high =
      (parent.high_ & ~0xffffULL) | (MixBits(digest) & 0x0fff);
  return WithVersionAndVariant(high, digest);
}

std::optional<RequestKey> ParseRequestKey(std::string_view text) {
  if (text.size() != kTextLength) return std::nullopt;
  RequestKey key;
  std::size_t digits = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (IsHyphenPosition(i)) {
      if (text[i] != '-') return std::nullopt;
      continue;
    }
    const int value = HexValue(text[i]);
    if (value < 0) return std::nullopt;
    std::uint64_t& half = digits < 16 ? key.high_ : key.low_;
    half = (half << 4) | static_cast<std::uint64_t>(value);
    ++digits;
  }
  if ((key.high_ & kVersionMask) != kVersion) return std::nullopt;
  if ((key.low_ & kVariantMask) != kVariant) return std::nullopt;
  return key;
}

std::string FormatRequestKey(const RequestKey& key) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(kTextLength);
  std::size_t digits = 0;
  while (text.size() < kTextLength) {
    if (IsHyphenPosition(text.size())) {
      text.push_back('-');
      continue;
    }
    const std::uint64_t half = digits < 16 ? key.high_ : key.low_;
    text.push_back(kDigits[(half >> (60 - 4 * (digits % 16))) & 0xf]);
    ++digits;
  }
  return text;
}

Timestamp KeyTime(const RequestKey& key) {
  return Timestamp(std::chrono::milliseconds(key.high_ >> 16));
}

std::size_t RequestKeyHash::operator()(const RequestKey& key) const {
  return static_cast<std::size_t>(MixBits(key.high_ ^ MixBits(key.low_)));
}

Fingerprint AsFingerprint(const RequestKey& key) {
  return {.high_ = key.high_, .low_ = key.low_};
}

}  // namespace jujubefront
