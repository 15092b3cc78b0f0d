#ifndef JUJUBEFRONT_BASE_REQUEST_KEY_H_
#define JUJUBEFRONT_BASE_REQUEST_KEY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include "base/fingerprint.h"
#include "base/time_types.h"

namespace jujubefront {

// Idempotency key of a request: a UUIDv7 (RFC 9562), whose first 48 bits are
// the milliseconds since the epoch at which the caller made it.
struct RequestKey {
  std::uint64_t high_ = 0;
  std::uint64_t low_ = 0;

  bool operator==(const RequestKey& other) const = default;
  bool operator<(const RequestKey& other) const {
    return std::tie(high_, low_) < std::tie(other.high_, other.low_);
  }
};

// Makes a key from its creation time and 74 random bits.
RequestKey MakeRequestKey(Timestamp now, std::uint64_t random_high,
                          std::uint64_t random_low);

// Derives the key of a child call from its parent's key. The child keeps the
// parent's creation time, so that the same resend window applies to both.
RequestKey DeriveChildKey(const RequestKey& parent, std::string_view service,
                          std::uint64_t index);

// Parses the canonical text form. Returns nothing unless it is a valid UUIDv7.
std::optional<RequestKey> ParseRequestKey(std::string_view text);

// Formats the key in the canonical text form.
std::string FormatRequestKey(const RequestKey& key);

// The key as a content fingerprint, which is the same for every resend.
Fingerprint AsFingerprint(const RequestKey& key);

// Creation time carried by the key.
Timestamp KeyTime(const RequestKey& key);

// Hash for unordered containers.
struct RequestKeyHash {
  std::size_t operator()(const RequestKey& key) const;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_BASE_REQUEST_KEY_H_
