#include "model/log_fake.h"

#include <algorithm>

namespace jujubefront {
namespace {

constexpr std::size_t kRecordsPerRead = 500;

}  // namespace

LogOffset AppendTo(LogFake& log, const std::string& text) {
  log.records_.push_back(text);
  ++log.appends_;
  const LogOffset offset =
      log.oldest_ + static_cast<LogOffset>(log.records_.size()) - 1;
  while (log.records_.size() > log.retention_) {
    log.records_.pop_front();
    ++log.oldest_;
  }
  return offset;
}

LogRead ReadFrom(const LogFake& log, LogOffset from) {
  LogRead read{
      .oldest_ = log.oldest_,
      .next_ = log.oldest_ + static_cast<LogOffset>(log.records_.size())};
  LogOffset offset = std::max(from, log.oldest_);
  while (offset < read.next_ && read.records_.size() < kRecordsPerRead) {
    const auto index = static_cast<std::size_t>(offset - log.oldest_);
    read.records_.push_back({.offset_ = offset, .text_ = log.records_[index]});
    ++offset;
  }
  return read;
}

}  // namespace jujubefront
