#include "relaymodel/document_audit.h"

#include <algorithm>

namespace jujubefront {

void DocumentAudit::RecordDocument(Timestamp now, std::uint64_t version) {
  documents_.push_back({.at_ = now, .version_ = version});
}

void DocumentAudit::EndDisturbance(Timestamp now, std::size_t host) {
  --hosts_[host].disturbances_;
  hosts_[host].calm_since_ = now;
}

void DocumentAudit::RecordVersion(Timestamp now, std::size_t host,
                                  std::uint64_t version) {
  if (hosts_[host].disturbances_ > 0) return;
  if (now - hosts_[host].calm_since_ < kInTouchAfter) return;
  const auto missing = std::find_if(
      documents_.begin(), documents_.end(),
      [&](const Document& document) { return document.version_ > version; });
  if (missing == documents_.end()) return;
  max_delay_ = std::max(max_delay_, now - missing->at_);
}

}  // namespace jujubefront
