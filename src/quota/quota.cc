#include "quota/quota.h"

#include <algorithm>
#include <cmath>

namespace jujubefront {
namespace {

// Weights of the last slot in the smoothed arrivals.
constexpr double kArrivalWeight = 0.4;
constexpr double kUsualWeight = 0.05;
// Arrivals a second below which a meter is idle.
constexpr double kIdleRate = 0.01;

// Requests sent in the last `count` slots, the current one included.
double UsedInSlots(const QuotaMeter& meter, std::size_t count) {
  double used = 0.0;
  for (std::size_t i = 0; i < count; ++i) {
    used += meter.used_[(meter.slot_ + kQuotaSlots - i) % kQuotaSlots];
  }
  return used;
}

std::size_t SlotsPerSecond(const QuotaOptions& options) {
  const auto slots = std::chrono::seconds(1) / QuotaSlotLength(options);
  return std::clamp<std::size_t>(static_cast<std::size_t>(slots), 1,
                                 kQuotaSlots);
}

double UsableInWindow(const QuotaRule& rule, const QuotaOptions& options) {
  return rule.per_second_ * InSeconds(options.window_) + rule.burst_;
}

// Requests a second that arrive. The last slot counts alone where it is more
// than chance explains, so that a sudden rise is met within one slot.
double DemandOf(const QuotaUse& use, const QuotaOptions& options) {
  constexpr double kDeviations = 3.0;
  const double slot = InSeconds(QuotaSlotLength(options));
  const double chance = kDeviations * std::sqrt(use.per_second_ / slot);
  return use.last_per_second_ > use.per_second_ + chance ? use.last_per_second_
                                                         : use.per_second_;
}

// A node's own limit, for the time until the sums show what other nodes send.
bool IsWithinLocalLimit(const QuotaMeter& meter, const QuotaRule& rule,
                        const QuotaOptions& options,
                        const QuotaKnowledge& knowledge) {
  if (knowledge.alone_) return true;
  const double part = UsableInWindow(rule, options) * knowledge.node_share_;
  if (knowledge.cut_off_) {
    return UsedInSlots(meter, kQuotaSlots) < std::max(1.0, part);
  }
  const double per_second = part / InSeconds(options.window_);
  return UsedInSlots(meter, SlotsPerSecond(options)) <
         options.local_burst_ + options.local_factor_ * per_second;
}

}  // namespace

Duration QuotaSlotLength(const QuotaOptions& options) {
  return options.window_ / static_cast<int>(kQuotaSlots);
}

void AdvanceSlot(QuotaMeter& meter, const QuotaOptions& options) {
  const double rate = meter.arrived_ / InSeconds(QuotaSlotLength(options));
  meter.last_per_second_ = rate;
  meter.per_second_ += kArrivalWeight * (rate - meter.per_second_);
  ++meter.slots_;
  meter.usual_per_second_ += std::max(kUsualWeight, 1.0 / meter.slots_) *
                             (rate - meter.usual_per_second_);
  meter.arrived_ = 0;
  meter.slot_ = (meter.slot_ + 1) % kQuotaSlots;
  meter.used_[meter.slot_] = 0;
}

void UpdateNodeShare(QuotaMeter& meter, const QuotaUse& fleet) {
  if (fleet.usual_per_second_ <= 0.0) return;
  meter.node_share_ =
      std::min(1.0, meter.usual_per_second_ / fleet.usual_per_second_);
}

QuotaUse UseOf(const QuotaMeter& meter) {
  return {.per_second_ = meter.per_second_,
          .last_per_second_ = meter.last_per_second_,
          .usual_per_second_ = meter.usual_per_second_,
          .used_ = UsedInSlots(meter, kQuotaSlots)};
}

bool IsIdle(const QuotaMeter& meter) {
  return meter.arrived_ == 0 && meter.usual_per_second_ < kIdleRate &&
         UsedInSlots(meter, kQuotaSlots) == 0.0;
}

double AdmittedQuotaShare(const QuotaRule& rule, const QuotaOptions& options,
                          const QuotaUse& fleet) {
  if (rule.per_second_ <= 0.0) return 1.0;
  const double left = UsableInWindow(rule, options) - fleet.used_;
  const double demand = DemandOf(fleet, options) * InSeconds(options.reaction_);
  if (demand <= 0.0) return 1.0;
  return std::clamp(left / demand, 0.0, 1.0);
}

QuotaUse AssumeCutOff(const QuotaUse& use, const QuotaRule& rule,
                      const QuotaOptions& options, double demand_share) {
  if (rule.per_second_ <= 0.0) return use;
  QuotaUse assumed = use;
  assumed.used_ =
      std::max(use.used_, UsableInWindow(rule, options) * demand_share);
  return assumed;
}

bool CountRequest(QuotaMeter& meter, const QuotaRule& rule,
                  const QuotaOptions& options, const QuotaKnowledge& knowledge,
                  double draw) {
  ++meter.arrived_;
  if (rule.per_second_ <= 0.0) return true;
  const bool within =
      IsWithinLocalLimit(meter, rule, options, knowledge) &&
      // Old sums no longer tell what the other nodes have used.
      (knowledge.cut_off_ ||
       draw < AdmittedQuotaShare(rule, options, knowledge.fleet_));
  if (within) ++meter.used_[meter.slot_];
  return within;
}

}  // namespace jujubefront
