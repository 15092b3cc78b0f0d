#include "relaymodel/rate_limit_audit.h"

#include <algorithm>

namespace jujubefront {

void RateLimitAudit::SetLimit(Timestamp now, std::optional<double> per_second) {
  periods_.push_back({.from_ = now, .per_second_ = per_second});
  if (!per_second) named_at_.reset();
}

std::optional<double> RateLimitAudit::NameInAnswer(Timestamp now) {
  if (periods_.empty()) return std::nullopt;
  const std::optional<double> limit = periods_.back().per_second_;
  if (limit && !named_at_) named_at_ = now;
  return limit;
}

double RateLimitAudit::CountArrival(Timestamp now) {
  arrivals_.push_back(now);
  while (arrivals_.front() <= now - kRateLimitWindow) arrivals_.pop_front();
  const auto allowed = Allowed(now);
  return allowed ? static_cast<double>(arrivals_.size()) / *allowed : 0.0;
}

std::optional<double> RateLimitAudit::Allowed(Timestamp now) const {
  if (!named_at_ || now < *named_at_ + kRateLimitGrace) return std::nullopt;
  const Timestamp from = now - kRateLimitWindow;
  double limit = 0.0;
  Timestamp end = now;
  for (auto it = periods_.rbegin(); it != periods_.rend() && end > from; ++it) {
    if (!it->per_second_) return std::nullopt;
    const Timestamp begin = std::max(from, it->from_);
    limit += *it->per_second_ * InSeconds(end - begin);
    end = begin;
  }
  return kRateLimitTolerance * limit + kRateLimitSlack;
}

}  // namespace jujubefront
