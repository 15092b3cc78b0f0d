#ifndef JUJUBEFRONT_CONFIGURATION_LOG_RECORD_H_
#define JUJUBEFRONT_CONFIGURATION_LOG_RECORD_H_

#include <optional>
#include <string>
#include <string_view>

#include "configuration/configuration_types.h"

namespace jujubefront {

// Maximum size of a record read from the log.
inline constexpr std::size_t kMaxRecordBytes = 4 * 1024 * 1024;

// Encodes a record as JSON text.
std::string EncodeLogRecord(const LogRecord& record);

// Decodes a record. Returns nothing when the text is not a valid record.
std::optional<LogRecord> DecodeLogRecord(std::string_view text);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_CONFIGURATION_LOG_RECORD_H_
