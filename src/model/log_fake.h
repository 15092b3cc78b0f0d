#ifndef JUJUBEFRONT_MODEL_LOG_FAKE_H_
#define JUJUBEFRONT_MODEL_LOG_FAKE_H_

#include <deque>
#include <string>

#include "node/event_types.h"

namespace jujubefront {

// In-memory shared log with limited retention and simulated outages. With
// `lose_answers_`, records are appended but never acknowledged.
struct LogFake {
  LogOffset oldest_ = 0;
  std::deque<std::string> records_;
  std::size_t retention_ = 1'000'000;
  bool available_ = true;
  bool lose_answers_ = false;
  std::uint64_t appends_ = 0;
};

// Appends a record, drops the oldest ones beyond the retention and returns the
// offset of the new record.
LogOffset AppendTo(LogFake& log, const std::string& text);

// Reads a limited number of records, starting at `from` or at the oldest one
// that is retained.
LogRead ReadFrom(const LogFake& log, LogOffset from);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_MODEL_LOG_FAKE_H_
