#include "model/deployments.h"
#include "model/fault_stories.h"

namespace jujubefront {
namespace {

constexpr char kZone[] = "far-a";
constexpr Duration kBeforeCut = std::chrono::seconds(10);
constexpr Duration kGap = std::chrono::milliseconds(20);
constexpr int kSends = 300;

// Counts and total latency of one kind of send.
struct Tally {
  int sent_ = 0;
  int finished_ = 0;
  double total_ms_ = 0.0;
};

double MeanOf(const Tally& tally) {
  return tally.finished_ > 0 ? tally.total_ms_ / tally.finished_ : 0.0;
}

double ShareOf(const Tally& tally) {
  return tally.sent_ > 0 ? static_cast<double>(tally.finished_) / tally.sent_
                         : 0.0;
}

// Sends bookings at a fixed interval through random nodes of one zone.
class BookingSender {
 public:
  BookingSender(World& world, std::uint64_t seed)
      : world_(world), random_{.state_ = seed} {
    for (const std::string& name : world.NodeNames()) {
      if (world.host(name).node_.zone_ == kZone) entries_.push_back(name);
    }
  }

  // Schedules `kSends` sends. With an attempt number above 0, each one claims
  // to be a resend, so that its key, which no node knows, has to be located.
  void Schedule(Timestamp from, std::uint32_t attempt, Tally& tally) {
    for (int i = 0; i < kSends; ++i) {
      world_.At(from + i * kGap,
                [this, attempt, &tally] { Send(attempt, tally); });
    }
  }

 private:
  void Send(std::uint32_t attempt, Tally& tally) {
    ++tally.sent_;
    const Timestamp begun = world_.now();
    CallArrived call{
        .service_ = "s1",
        .method_ = "POST",
        .path_ = "/",
        .key_ = MakeRequestKey(begun, NextRandom(random_), NextRandom(random_)),
        .attempt_ = attempt};
    const std::string& entry = entries_[NextBelow(random_, entries_.size())];
    world_.SendCall(entry, std::move(call), Duration::zero(),
                    [this, begun, &tally](const AnswerCaller& answer) {
                      if (answer.answer_.verdict_ != Verdict::kFinished) return;
                      constexpr double kMillisecondsPerSecond = 1000.0;
                      ++tally.finished_;
                      tally.total_ms_ += InSeconds(world_.now() - begun) *
                                         kMillisecondsPerSecond;
                    });
  }

  World& world_;
  RandomState random_;
  std::vector<std::string> entries_;
};

}  // namespace

BookingCost MeasureBookingCost(std::uint64_t seed) {
  World world({.seed_ = seed, .log_region_ = "store"});
  const Deployment deployment = ChainDeployment(2);
  StartDeployment(world, deployment);
  BookingSender sender(world, seed);
  const Timestamp start = world.now() + kBeforeCut;
  const Duration length = kSends * kGap + std::chrono::seconds(2);
  Tally first;
  Tally located;
  Tally cut_first;
  Tally cut_located;
  sender.Schedule(start, 0, first);
  sender.Schedule(start + length, 1, located);
  const Timestamp cut = start + 2 * length;
  world.At(cut, [&world] { world.SetZoneCut(kZone, true); });
  sender.Schedule(cut + std::chrono::seconds(1), 0, cut_first);
  sender.Schedule(cut + length, 1, cut_located);
  world.RunUntil(cut + 2 * length + std::chrono::seconds(2));
  return {.first_send_ms_ = MeanOf(first),
          .unstated_ms_ = MeanOf(located),
          .cut_first_share_ = ShareOf(cut_first),
          .cut_located_share_ = ShareOf(cut_located)};
}

}  // namespace jujubefront
