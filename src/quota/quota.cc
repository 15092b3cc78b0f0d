#include "quota/quota.h"

#include <algorithm>
#include <cmath>

#include "allocation/tree_success.h"

namespace jujubefront {
namespace {

// Weights of the last slot in the smoothed arrivals.
constexpr double kArrivalWeight = 0.4;
constexpr double kUsualWeight = 0.05;
// Arrivals a second below which a meter is idle.
constexpr double kIdleRate = 0.01;
// Slots without a sum after which sums are late. One arrives in each slot.
constexpr std::size_t kMaxSlotsWithoutSum = 2;

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

// Requests a second that arrive. The last slot counts alone where it exceeds
// the mean by this many standard deviations, so that a sudden rise is met
// within one slot. While requests are rejected, returning ones make the demand
// vary.
constexpr double kDeviations = 3.0;
constexpr double kDeviationsWhileLimited = 1.0;

double DemandOf(const QuotaUse& use, const QuotaOptions& options,
                double deviations = kDeviations) {
  const double slot = InSeconds(QuotaSlotLength(options));
  const double chance = deviations * std::sqrt(use.per_second_ / slot);
  return use.last_per_second_ > use.per_second_ + chance ? use.last_per_second_
                                                         : use.per_second_;
}

// Demand of this node that the latest sums contain.
double SeenDemand(const QuotaMeter& meter, const QuotaOptions& options) {
  const std::size_t count = SlotsPerSecond(options);
  double arrived = 0.0;
  for (std::size_t i = 1; i <= count; ++i) {
    const std::size_t age = options.unseen_slots_ + i;
    arrived += meter.arrivals_[(meter.slot_ + kQuotaSlots - age) % kQuotaSlots];
  }
  return arrived /
         (InSeconds(QuotaSlotLength(options)) * static_cast<double>(count));
}

// Requests that leave the window in the `count` slots after the latest sum.
double LeavingInSlots(const QuotaSums& sums, std::size_t count) {
  const std::size_t oldest =
      sums.slot_ + 1 + kQuotaSumSlots - sums.slots_since_sum_;
  double leaving = 0.0;
  for (std::size_t i = 0; i < std::min(count, kQuotaSumSlots); ++i) {
    leaving += sums.sent_[(oldest + i) % kQuotaSumSlots];
  }
  return std::clamp(leaving, 0.0, sums.used_);
}

// Rejected requests that return and are not contained in the sums yet, as a
// share of the demand. Most clients return within a second, so that demand may
// double while it is rejected for the first time.
double UnseenReturns(const QuotaForecast& forecast,
                     const QuotaOptions& options) {
  const auto rejected = [&](std::size_t from) {
    double share = 0.0;
    for (std::size_t i = from; i < from + options.unseen_slots_; ++i) {
      share +=
          1.0 -
          forecast.shares_[(forecast.slot_ + kQuotaSlots - i) % kQuotaSlots];
    }
    return share / static_cast<double>(options.unseen_slots_);
  };
  return std::max(0.0, rejected(0) - rejected(options.unseen_slots_ + 1));
}

// A node's own limit, for the time until the sums show what other nodes send.
bool IsWithinLocalLimit(const QuotaMeter& meter, const QuotaRule& rule,
                        const QuotaOptions& options,
                        const QuotaKnowledge& knowledge) {
  if (knowledge.alone_) return true;
  const double part = UsableInWindow(rule, options) * knowledge.node_share_;
  if (knowledge.cut_off_) {
    // The window of a process that has just started may be full of requests of
    // the one before it, so its part grows with the time.
    const double known = knowledge.fresh_
                             ? std::min(1.0, (meter.slots_ + 1.0) / kQuotaSlots)
                             : 1.0;
    return UsedInSlots(meter, kQuotaSlots) < std::max(1.0, part * known);
  }
  // Demand that the sums contain is limited by the admitted share. Without it,
  // a workspace that has moved to a few nodes would be rejected until their
  // part of the usual demand follows.
  const double per_second =
      std::max(part / InSeconds(options.window_), SeenDemand(meter, options));
  // Room that late sums show may be used by now.
  const bool late =
      knowledge.forecast_ != nullptr &&
      knowledge.forecast_->sums_.slots_since_sum_ > kMaxSlotsWithoutSum;
  const double usable = UsableInWindow(rule, options);
  const double free_part =
      late ? 0.0 : std::max(0.0, 1.0 - knowledge.fleet_.used_ / usable);
  const double burst =
      options.local_burst_ +
      std::min(1.0, options.local_burst_room_ * free_part * free_part);
  const double room = free_part * usable * knowledge.node_share_;
  return UsedInSlots(meter, SlotsPerSecond(options)) <
         options.local_factor_ * per_second +
             std::max(burst - per_second, options.local_room_ * room);
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
  meter.returned_per_second_ +=
      kArrivalWeight * (meter.returned_ / InSeconds(QuotaSlotLength(options)) -
                        meter.returned_per_second_);
  meter.returned_ = 0;
  meter.promised_[meter.slot_] = 0.0;
  meter.arrivals_[meter.slot_] = meter.arrived_;
  meter.arrived_ = 0;
  meter.slot_ = (meter.slot_ + 1) % kQuotaSlots;
  meter.usuals_[meter.slot_] = meter.usual_per_second_;
  meter.used_[meter.slot_] = 0;
}

void RecordSum(QuotaSums& sums, const QuotaUse& use) {
  // The slot still contains what was sent a window ago, which has left the sum.
  sums.sent_[sums.slot_] += use.used_ - sums.used_;
  sums.used_ = use.used_;
  sums.slots_since_sum_ = 0;
}

void AdvanceSums(QuotaSums& sums) {
  sums.slot_ = (sums.slot_ + 1) % kQuotaSumSlots;
  sums.slots_since_sum_ = std::min(kQuotaSumSlots, sums.slots_since_sum_ + 1);
}

void AdvanceForecast(QuotaForecast& forecast, const QuotaRule& rule,
                     const QuotaOptions& options, const QuotaUse& fleet,
                     double reporting_share) {
  const bool is_limited = forecast.shares_[forecast.slot_] < 1.0;
  const double demand =
      DemandOf(fleet, options,
               is_limited ? kDeviationsWhileLimited : kDeviations) *
      (1.0 + UnseenReturns(forecast, options)) *
      InSeconds(QuotaSlotLength(options));
  const std::size_t unseen = std::min(
      kQuotaSlots, options.unseen_slots_ + forecast.sums_.slots_since_sum_);
  double sent = 0.0;
  for (std::size_t i = 0; i < unseen; ++i) {
    sent += demand *
            forecast.shares_[(forecast.slot_ + kQuotaSlots - i) % kQuotaSlots];
  }
  const double left = UsableInWindow(rule, options) - fleet.used_ - sent;
  double share = 1.0;
  // No window may be exceeded on the way: what leaves in a later slot cannot be
  // given out in this one.
  for (std::size_t i = 1; i <= options.forecast_slots_ && demand > 0.0; ++i) {
    // The sum lacks one slot of a window already.
    const double room =
        left + reporting_share * LeavingInSlots(forecast.sums_, unseen + i - 1);
    share = std::min(share, room / (demand * static_cast<double>(i)));
  }
  forecast.slot_ = (forecast.slot_ + 1) % kQuotaSlots;
  AdvanceSums(forecast.sums_);
  forecast.shares_[forecast.slot_] = std::max(0.0, share);
  double before = 0.0;
  for (std::size_t i = 0; i < kQuotaSlots; ++i) {
    const double room =
        std::max(0.0, left + reporting_share *
                                 LeavingInSlots(forecast.sums_, unseen + i));
    forecast.rooms_[i] = std::max(0.0, room - before);
    before = std::max(before, room);
  }
}

QuotaUse UseAfterEnd(const QuotaSums& reported) {
  return {.used_ = reported.used_ -
                   LeavingInSlots(reported, reported.slots_since_sum_)};
}

void UpdateNodeShare(QuotaMeter& meter, const QuotaOptions& options,
                     const QuotaUse& fleet) {
  if (fleet.usual_per_second_ <= 0.0) return;
  // A rise that the sums do not contain yet would raise the part of all nodes.
  const double usual =
      meter.usuals_[(meter.slot_ + kQuotaSlots - options.unseen_slots_) %
                    kQuotaSlots];
  meter.node_share_ = std::min(1.0, usual / fleet.usual_per_second_);
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

namespace {

double AdmittedShare(const QuotaMeter& meter, const QuotaRule& rule,
                     const QuotaOptions& options,
                     const QuotaKnowledge& knowledge, bool is_promised) {
  const double share =
      knowledge.forecast_ == nullptr
          ? AdmittedQuotaShare(rule, options, knowledge.fleet_)
          : knowledge.forecast_->shares_[knowledge.forecast_->slot_];
  if (meter.per_second_ <= 0.0) return share;
  if (is_promised) {
    return SplitAdmission(share, meter.returned_per_second_ / meter.per_second_)
        .returning_;
  }
  // Promises for this slot are known before they are kept.
  const double promised = std::max(
      meter.returned_per_second_,
      meter.promised_[meter.slot_] / InSeconds(QuotaSlotLength(options)));
  return SplitAdmission(share, promised / meter.per_second_).fresh_;
}

}  // namespace

bool CountRequest(QuotaMeter& meter, const QuotaRule& rule,
                  const QuotaOptions& options, const QuotaKnowledge& knowledge,
                  double draw, bool is_promised) {
  ++meter.arrived_;
  if (is_promised) ++meter.returned_;
  if (rule.per_second_ <= 0.0) return true;
  const bool within =
      IsWithinLocalLimit(meter, rule, options, knowledge) &&
      // Old sums no longer tell what the other nodes have used.
      (knowledge.cut_off_ ||
       draw < AdmittedShare(meter, rule, options, knowledge, is_promised));
  if (within) ++meter.used_[meter.slot_];
  return within;
}

bool ReturnUnused(QuotaMeter& meter, std::uint32_t slots) {
  const std::uint32_t age = meter.slots_ - slots;
  if (age >= kQuotaSlots) return false;
  std::uint32_t& used =
      meter.used_[(meter.slot_ + kQuotaSlots - age) % kQuotaSlots];
  if (used == 0) return false;
  --used;
  return true;
}

}  // namespace jujubefront
