// Fuzzes the decoders of the platform adapter and the parser of its settings.
// The first byte of the input selects one of them.

#include <cmath>
#include <cstdlib>

#include "platform/document.h"
#include "platform/endpoints.h"
#include "platform/platform_protocol.h"
#include "platform/sidecar_settings.h"
#include "platform/store_records.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace jujubefront::platform;
  if (size == 0) return 0;
  const std::string bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  switch (data[0] % 6) {
    case 0:
      if (const auto table = DecodeDocument(bytes)) {
        if (table->version_ == 0) std::abort();
      }
      break;
    case 1:
      DecodeHeartbeat(jujubefront::WallTime{}, "instance", bytes);
      break;
    case 2:
      if (const auto records = DecodeRecords(bytes)) {
        std::size_t total = 0;
        for (const auto& record : *records) {
          if (record) total += EncodeRecord(*record).size();
        }
        if (total > bytes.size()) std::abort();
        DecodeEnd(bytes);
      }
      break;
    case 3:
      DecodeNewestPage(bytes);
      break;
    case 4:
      ParseSidecarSettings(bytes);
      break;
    default: {
      const jujubefront::BackendNotice notice =
          MakePlatformProtocol()
              .read_response_({.status_ = 200,
                               .headers_ = {{"Server-Limit", bytes},
                                            {"Server-Leaving", bytes},
                                            {"X-Server-Load", bytes}}})
              .notice_;
      const double limit = notice.rate_limit_.value_or(0.0);
      if (!std::isfinite(limit) || limit < 0.0) std::abort();
      if (notice.rate_limit_ && notice.rate_limit_unreadable_) std::abort();
      if (notice.load_.has_value() == notice.load_unreadable_) std::abort();
      if (notice.load_ && notice.load_->slots_ == 0) std::abort();
      const double pace =
          notice.load_ ? notice.load_->pace_.value_or(1.0) : 1.0;
      if (!std::isfinite(pace) || pace <= 0.0) std::abort();
    }
  }
  return 0;
}
