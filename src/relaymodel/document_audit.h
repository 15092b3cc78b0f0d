#ifndef JUJUBEFRONT_RELAYMODEL_DOCUMENT_AUDIT_H_
#define JUJUBEFRONT_RELAYMODEL_DOCUMENT_AUDIT_H_

#include <cstdint>
#include <vector>

#include "base/time_types.h"

namespace jujubefront {

// Time without a disturbance after which a host counts as in touch.
inline constexpr Duration kInTouchAfter = std::chrono::seconds(4);

// Measures how long documents take until they are in force at hosts in touch:
// those whose process has run, and has reached the store, for kInTouchAfter.
class DocumentAudit {
 public:
  explicit DocumentAudit(std::size_t hosts) : hosts_(hosts) {}

  // The store has acknowledged a document.
  void RecordDocument(Timestamp now, std::uint64_t version);
  // A disturbance of a host begins or ends.
  void BeginDisturbance(std::size_t host) { ++hosts_[host].disturbances_; }
  void EndDisturbance(Timestamp now, std::size_t host);
  // The host has this version in force.
  void RecordVersion(Timestamp now, std::size_t host, std::uint64_t version);

  // Longest time for which a host in touch lacked an acknowledged document.
  Duration max_delay() const { return max_delay_; }

 private:
  struct Document {
    Timestamp at_;
    std::uint64_t version_ = 0;
  };
  struct Host {
    int disturbances_ = 0;  // in progress
    Timestamp calm_since_;  // end of the last one
  };

  std::vector<Document> documents_;
  std::vector<Host> hosts_;
  Duration max_delay_ = Duration::zero();
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAYMODEL_DOCUMENT_AUDIT_H_
