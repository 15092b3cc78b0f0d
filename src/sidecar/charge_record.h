#ifndef JUJUBEFRONT_SIDECAR_CHARGE_RECORD_H_
#define JUJUBEFRONT_SIDECAR_CHARGE_RECORD_H_

#include <optional>
#include <string>
#include <vector>

#include "relay/message_types.h"
#include "sidecar/wall_time.h"

namespace jujubefront {

// Encodes the charges of one content as a record that the store keeps (JSON).
// Ages are relative to `now`.
std::string EncodeChargeRecord(WallTime now,
                               const std::vector<ContentCharge>& charges);

// Decodes the charges of a content as of `now`. nullopt if a field is missing
// or has the wrong type.
std::optional<std::vector<ContentCharge>> DecodeChargeRecord(
    WallTime now, const Fingerprint& content, const std::string& record);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_SIDECAR_CHARGE_RECORD_H_
