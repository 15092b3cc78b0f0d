#ifndef JUJUBEFRONT_SIDECAR_DEPARTURE_RECORD_H_
#define JUJUBEFRONT_SIDECAR_DEPARTURE_RECORD_H_

#include <optional>
#include <string>
#include <vector>

#include "relay/message_types.h"

namespace jujubefront {

// Encodes the departures at one node as a record that the store keeps (JSON).
std::string EncodeDepartureRecord(const std::vector<Departure>& departures);

// nullopt if a field is missing or has the wrong type.
std::optional<std::vector<Departure>> DecodeDepartureRecord(
    const std::string& record);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_SIDECAR_DEPARTURE_RECORD_H_
