#ifndef JUJUBEFRONT_SIDECAR_API_KEY_H_
#define JUJUBEFRONT_SIDECAR_API_KEY_H_

#include <string_view>

#include "base/fingerprint.h"

namespace jujubefront {

// Hash of a workspace's key (HMAC-SHA-256, the first 128 bits) with a secret
// that each process draws when it starts. The hash reveals nothing of the key
// and has no meaning in another process.
Fingerprint HashApiKey(std::string_view key);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_SIDECAR_API_KEY_H_
