#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <queue>
#include <random>
#include <string>

#include "balancing/balancing.h"

namespace jujubefront {
namespace {

using std::chrono::milliseconds;
using Clock = Duration;  // time since the start of a replay

constexpr Duration kWork = milliseconds(55);  // of a run, at speed 1
constexpr std::uint32_t kSlots = 90;
constexpr Duration kWindow = std::chrono::seconds(1);
constexpr Duration kWarmUp = std::chrono::seconds(2);

// What is reported about the first server of a replay.
enum class Reports : std::uint8_t { kTrue, kMissing, kStuckIdle, kStuckFull };

struct ReplayOptions {
  std::size_t entries_ = 16;
  Duration report_interval_ = milliseconds(100);
  double utilisation_ = 0.6;
  Reports first_server_ = Reports::kTrue;
  bool balanced_ = true;
  BalancingOptions balancing_;
  std::vector<double> speeds_ = {0.5, 0.8, 1.1, 1.5};
  Duration length_ = std::chrono::seconds(22);
};

struct ReplayResult {
  double p99_excess_ = 0.0;  // of the busiest server's share over its fair one
  double min_share_ = 1e9;   // lowest share over fair share, whole replay
  double waited_share_ = 0.0;  // runs that had to wait for a slot
  Duration mean_wait_ = Duration::zero();
};

struct Server {
  double speed_ = 1.0;
  double pace_ = 1.0;  // changes, by steps
  std::uint32_t running_ = 0;
  std::deque<std::pair<Clock, std::size_t>> waiting_;  // arrival, entry
  double reported_load_ = 0.0;
  double reported_pace_ = 1.0;
  Clock reported_at_ = Clock::zero();
  std::uint32_t arrived_ = 0;  // in the window
  std::uint64_t total_ = 0;
  double fair_total_ = 0.0;
  double possible_ = 0.0;  // work that it could do in the window
  Clock counted_at_ = Clock::zero();

  double Load() const {
    return running_ + static_cast<double>(waiting_.size());
  }
  double Rate() const { return speed_ / pace_; }
  void CountPossible(Clock now) {
    possible_ += Rate() * InSeconds(now - counted_at_);
    counted_at_ = now;
  }
};

// What an entry knows of a server.
struct View {
  Duration hold_ = Duration::zero();
  double pace_ = 1.0;  // when hold_ was measured
  std::uint32_t in_flight_ = 0;
  std::uint32_t sent_ = 0;  // since the report
  Clock report_ = Clock::zero();
};

struct RunEnd {
  Clock at_;
  std::size_t server_ = 0;
  std::size_t entry_ = 0;
  Duration hold_ = Duration::zero();
  double pace_ = 1.0;

  bool operator<(const RunEnd& other) const { return at_ > other.at_; }
};

// Many entries that send requests to the servers of one service. All see the
// same report of a server until its next one, and count their own sends in.
class Replay {
 public:
  explicit Replay(ReplayOptions options) : options_(std::move(options)) {
    for (const double speed : options_.speeds_) {
      servers_.push_back({.speed_ = speed});
    }
    views_.assign(options_.entries_, std::vector<View>(servers_.size()));
  }

  ReplayResult Run() {
    double capacity = 0.0;  // runs a second
    for (const Server& server : servers_) {
      capacity += server.speed_ * kSlots / InSeconds(kWork);
    }
    std::exponential_distribution<double> gap(capacity * options_.utilisation_);
    Clock next_window = kWarmUp + kWindow;
    Clock next_change = Clock::zero();
    while (now_ < options_.length_) {
      now_ += Duration(std::max<std::int64_t>(
          1, static_cast<std::int64_t>(gap(random_) * 1e6)));
      EndRuns();
      if (now_ >= next_change) {
        next_change += milliseconds(700);
        ChangePaces();
      }
      PublishReports();
      if (now_ >= next_window) {
        next_window += kWindow;
        CloseWindow();
      }
      Arrive(random_() % options_.entries_);
    }
    return Summarise();
  }

 private:
  double Unit() {
    return std::uniform_real_distribution<double>(0.0, 1.0)(random_);
  }

  void ChangePaces() {
    for (Server& server : servers_) {
      server.CountPossible(now_);
      server.pace_ = std::array{0.9, 1.0, 1.1, 1.2}.at(random_() % 4);
    }
  }

  void PublishReports() {
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      Server& server = servers_[i];
      if (now_ - server.reported_at_ < options_.report_interval_) continue;
      if (i == 0 && options_.first_server_ == Reports::kMissing) continue;
      server.reported_at_ = now_;
      server.reported_load_ = server.Load();
      server.reported_pace_ = server.pace_;
      if (i > 0) continue;
      if (options_.first_server_ == Reports::kStuckIdle) {
        server.reported_load_ = 0.0;
        server.reported_pace_ = 0.01;
      }
      if (options_.first_server_ == Reports::kStuckFull) {
        server.reported_load_ = 100.0 * kSlots;
        server.reported_pace_ = 100.0;
      }
    }
  }

  std::size_t Choose(std::size_t entry) {
    std::vector<PlacementCandidate> candidates;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      const Server& server = servers_[i];
      View& view = views_[entry][i];
      if (view.report_ != server.reported_at_) {
        view.report_ = server.reported_at_;
        view.sent_ = 0;
      }
      candidates.push_back(
          {.slots_ = kSlots,
           .load_ = std::max<double>(server.reported_load_, view.in_flight_) +
                    view.sent_,
           .hold_ = view.hold_ > Duration::zero() ? view.hold_ : kWork,
           .states_pace_ = true,
           .pace_ratio_ = server.reported_pace_ / view.pace_,
           .load_age_ = now_ - server.reported_at_});
    }
    const PlacementRequest request{.latency_objective_ = milliseconds(400)};
    const std::size_t best = *ChooseCandidate(candidates, {}, request, Unit());
    if (!options_.balanced_) return best;
    return ChooseBalanced(candidates, {}, options_.balancing_, request, best,
                          {.first_ = Unit(), .second_ = Unit()});
  }

  void Arrive(std::size_t entry) {
    const std::size_t chosen = Choose(entry);
    View& view = views_[entry][chosen];
    ++view.sent_;
    ++view.in_flight_;
    Server& server = servers_[chosen];
    ++server.arrived_;
    server.waiting_.emplace_back(now_, entry);
    StartRuns(chosen);
  }

  void StartRuns(std::size_t index) {
    Server& server = servers_[index];
    while (server.running_ < kSlots && !server.waiting_.empty()) {
      const auto [arrived, entry] = server.waiting_.front();
      server.waiting_.pop_front();
      ++server.running_;
      const auto hold = Duration(
          static_cast<std::int64_t>(static_cast<double>(kWork.count()) /
                                    server.Rate() * (0.8 + 0.4 * Unit())));
      const bool is_false =
          index == 0 && options_.first_server_ != Reports::kTrue;
      ends_.push({now_ + hold, index, entry, hold,
                  is_false ? server.reported_pace_ : server.pace_});
      if (now_ < kWarmUp) continue;
      ++started_;
      if (now_ > arrived) ++waited_;
      wait_ += now_ - arrived;
    }
  }

  void EndRuns() {
    const Clock until = now_;
    while (!ends_.empty() && ends_.top().at_ <= until) {
      const RunEnd end = ends_.top();
      ends_.pop();
      now_ = end.at_;
      --servers_[end.server_].running_;
      View& view = views_[end.entry_][end.server_];
      --view.in_flight_;
      const bool first = view.hold_ == Duration::zero();
      view.hold_ = first ? end.hold_ : (view.hold_ * 7 + end.hold_) / 8;
      view.pace_ = first ? end.pace_ : (view.pace_ * 7 + end.pace_) / 8;
      StartRuns(end.server_);
    }
    now_ = until;
  }

  void CloseWindow() {
    double arrived = 0.0;
    double possible = 0.0;
    for (Server& server : servers_) {
      server.CountPossible(now_);
      arrived += server.arrived_;
      possible += server.possible_;
    }
    double excess = 0.0;
    for (Server& server : servers_) {
      const double fair = arrived * server.possible_ / possible;
      server.possible_ = 0.0;
      excess = std::max(excess, server.arrived_ / fair);
      server.total_ += server.arrived_;
      server.fair_total_ += fair;
      server.arrived_ = 0;
    }
    if (now_ > kWarmUp + kWindow) excesses_.push_back(excess);
  }

  ReplayResult Summarise() {
    ReplayResult result;
    std::sort(excesses_.begin(), excesses_.end());
    result.p99_excess_ = excesses_.at((excesses_.size() * 99 + 99) / 100 - 1);
    for (const Server& server : servers_) {
      result.min_share_ =
          std::min(result.min_share_,
                   static_cast<double>(server.total_) / server.fair_total_);
    }
    result.waited_share_ =
        static_cast<double>(waited_) / static_cast<double>(started_);
    result.mean_wait_ = wait_ / started_;
    return result;
  }

  ReplayOptions options_;
  std::mt19937_64 random_{1};
  Clock now_ = Clock::zero();
  std::vector<Server> servers_;
  std::vector<std::vector<View>> views_;  // by entry and server
  std::priority_queue<RunEnd> ends_;
  std::vector<double> excesses_;
  std::int64_t started_ = 0;
  std::int64_t waited_ = 0;
  Duration wait_ = Duration::zero();
};

std::string Describe(const ReplayOptions& options, const ReplayResult& result) {
  return std::to_string(options.entries_) + " entries, reports every " +
         std::to_string(options.report_interval_ / milliseconds(1)) +
         " ms, utilisation " + std::to_string(options.utilisation_) +
         ": p99 of the busiest share " + std::to_string(result.p99_excess_) +
         ", least share " + std::to_string(result.min_share_) + ", waited " +
         std::to_string(result.waited_share_) + ", mean wait " +
         std::to_string(result.mean_wait_.count()) + " us";
}

// All pairs of 100 draws, as i counts to 10,000.
BalancingDraws DrawsOf(int i) {
  const int second = i / 100;
  return {.first_ = (i % 100) / 100.0, .second_ = second / 100.0};
}

class BalancingTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BalancingTests);
  CPPUNIT_TEST(ServersGetTheirFairShare);
  CPPUNIT_TEST(FewerRequestsWaitNearTheCapacity);
  CPPUNIT_TEST(FastServersAreFilledFirstWhereThatIsSet);
  CPPUNIT_TEST(FalseReportsNeitherStarveNorOverload);
  CPPUNIT_TEST(ChoosesNoFartherThanTheEarliestFinish);
  CPPUNIT_TEST(PenaltiesDecideBetweenTheTwoDrawn);
  CPPUNIT_TEST(UnusableHostsGetFewRequests);
  CPPUNIT_TEST(ImplausibleValuesAreBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against herding: entries that see the same load report all choose
  // the same server until its next report. The bound is the target of 1.25.
  void ServersGetTheirFairShare() {
    for (const std::size_t entries : {16, 66, 300}) {
      for (const int interval : {10, 100, 500}) {
        for (const double utilisation : {0.3, 0.6}) {
          ReplayOptions options{.entries_ = entries,
                                .report_interval_ = milliseconds(interval),
                                .utilisation_ = utilisation};
          const ReplayResult result = Replay(options).Run();
          const std::string text = Describe(options, result);
          CPPUNIT_ASSERT_MESSAGE(text, result.p99_excess_ <= 1.25);
          CPPUNIT_ASSERT_MESSAGE(text, result.min_share_ >= 0.9);
          CPPUNIT_ASSERT_MESSAGE(text, result.waited_share_ <= 0.01);
          // The replay shows the fault of the other choice.
          options.balanced_ = false;
          options.length_ = std::chrono::seconds(6);
          const ReplayResult herded = Replay(options).Run();
          CPPUNIT_ASSERT_MESSAGE(Describe(options, herded),
                                 herded.p99_excess_ > 1.25);
        }
      }
    }
  }

  // Near the capacity, servers that slow down are full for a while. Requests
  // must wait less than with the earliest finish, and no server be left out.
  void FewerRequestsWaitNearTheCapacity() {
    for (const std::size_t entries : {16, 66, 300}) {
      for (const int interval : {10, 100, 500}) {
        ReplayOptions options{.entries_ = entries,
                              .report_interval_ = milliseconds(interval),
                              .utilisation_ = 0.85,
                              .length_ = std::chrono::seconds(12)};
        const ReplayResult result = Replay(options).Run();
        options.balanced_ = false;
        const ReplayResult herded = Replay(options).Run();
        const std::string text =
            Describe(options, result) + "; " + Describe(options, herded);
        CPPUNIT_ASSERT_MESSAGE(text, result.mean_wait_ < herded.mean_wait_ / 2);
        CPPUNIT_ASSERT_MESSAGE(text, result.min_share_ >= 0.8);
      }
    }
  }

  // With a fill utilisation, a server of a third of the speed must get few
  // requests while the others have room, but its fair share where they have
  // not.
  void FastServersAreFilledFirstWhereThatIsSet() {
    struct Row {
      double utilisation_;
      double min_share_;
      double max_share_;
    };
    // The three faster servers have 0.87 of the capacity: at the fill
    // utilisation of 0.5 they can serve 0.43 of it.
    const Row rows[] = {{0.15, 0.01, 0.5}, {0.3, 0.01, 0.5}, {0.6, 0.9, 1.1}};
    for (const Row& row : rows) {
      for (const int interval : {10, 500}) {
        const ReplayOptions options{.entries_ = 66,
                                    .report_interval_ = milliseconds(interval),
                                    .utilisation_ = row.utilisation_,
                                    .balancing_ = {.fill_utilisation_ = 0.5},
                                    .length_ = std::chrono::seconds(12)};
        const ReplayResult result = Replay(options).Run();
        const std::string text = Describe(options, result);
        CPPUNIT_ASSERT_MESSAGE(text, result.min_share_ >= row.min_share_);
        CPPUNIT_ASSERT_MESSAGE(text, result.min_share_ <= row.max_share_);
        CPPUNIT_ASSERT_MESSAGE(text, result.waited_share_ <= 0.02);
      }
    }
  }

  // A report may be missing, stuck or false. Its server must neither be left
  // without requests nor get more than it can do.
  void FalseReportsNeitherStarveNorOverload() {
    struct Row {
      const char* name_;
      Reports reports_;
    };
    const Row rows[] = {{"missing", Reports::kMissing},
                        {"idle and fast", Reports::kStuckIdle},
                        {"full and slow", Reports::kStuckFull}};
    for (const Row& row : rows) {
      for (const int interval : {10, 500}) {
        const ReplayOptions options{.entries_ = 66,
                                    .report_interval_ = milliseconds(interval),
                                    .utilisation_ = 0.45,
                                    .first_server_ = row.reports_,
                                    .length_ = std::chrono::seconds(12)};
        const ReplayResult result = Replay(options).Run();
        const std::string text =
            std::string(row.name_) + ", " + Describe(options, result);
        // At this utilisation a server can do 1 / 0.45 / 1.2 of its fair share
        // while it is slow.
        CPPUNIT_ASSERT_MESSAGE(text, result.p99_excess_ <= 1.85);
        CPPUNIT_ASSERT_MESSAGE(text, result.min_share_ >= 0.05);
        CPPUNIT_ASSERT_MESSAGE(text, result.waited_share_ <= 0.05);
      }
    }
  }

  // Bytes between zones cost more than a short wait, and regions are crossed
  // only to hosts with free slots.
  void ChoosesNoFartherThanTheEarliestFinish() {
    const auto at = [](Distance distance, double load, bool states = true) {
      return PlacementCandidate{.distance_ = distance,
                                .slots_ = 10,
                                .load_ = load,
                                .hold_ = milliseconds(50),
                                .states_pace_ = states};
    };
    struct Row {
      const char* name_;
      std::vector<PlacementCandidate> candidates_;
      std::vector<bool> may_be_chosen_;
    };
    const Distance own = Distance::kSameZone;
    const Distance zone = Distance::kSameRegion;
    const Distance region = Distance::kOtherRegion;
    const Row rows[] = {
        {"own zone",
         {at(own, 0), at(own, 0), at(zone, 0)},
         {true, true, false}},
        {"own zone is full",
         {at(own, 1000), at(zone, 0), at(zone, 0), at(region, 0)},
         {true, true, true, false}},
        {"region is full",
         {at(own, 1e5), at(region, 0), at(region, 9)},
         {true, true, false}},
        {"one states no pace",
         {at(own, 0), at(own, 0), at(own, 9, false)},
         {true, true, false}},
    };
    for (const Row& row : rows) {
      std::vector<int> chosen(row.candidates_.size());
      for (int i = 0; i < 10000; ++i) {
        const PlacementRequest request;
        const std::size_t best =
            *ChooseCandidate(row.candidates_, {}, request, 0.0);
        ++chosen.at(
            ChooseBalanced(row.candidates_, {}, {}, request, best, DrawsOf(i)));
      }
      for (std::size_t i = 0; i < chosen.size(); ++i) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_ + std::to_string(i),
                                     bool{row.may_be_chosen_[i]},
                                     chosen[i] > 0);
      }
    }
  }

  // A host at which runs fail, or would have to wait, is chosen only if it is
  // drawn twice.
  void PenaltiesDecideBetweenTheTwoDrawn() {
    const PlacementCandidate sound{
        .slots_ = 10, .hold_ = milliseconds(50), .states_pace_ = true};
    PlacementCandidate failing = sound;
    failing.failure_share_ = 0.5;
    PlacementCandidate full = sound;
    full.load_ = 12;
    for (const PlacementCandidate& other : {failing, full}) {
      const std::vector<PlacementCandidate> candidates = {sound, other};
      const auto choose = [&](double first, double second) {
        return ChooseBalanced(candidates, {}, {}, {}, 0,
                              {.first_ = first, .second_ = second});
      };
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, choose(0.0, 0.999));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, choose(0.999, 0.0));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, choose(0.999, 0.999));
    }
  }

  // A host at which all runs fail must get hardly more requests than show that
  // it has recovered, and one that a rate limit keeps from starting none.
  void UnusableHostsGetFewRequests() {
    struct Row {
      const char* name_;
      double failure_share_;
      Duration start_wait_;
      double max_share_;
    };
    const Row rows[] = {{"fails", 0.9, Duration::zero(), 0.02},
                        {"has failed once", 0.25, Duration::zero(), 0.1},
                        {"rate limit", 0.0, milliseconds(20), 0.0}};
    for (const Row& row : rows) {
      const PlacementCandidate sound{
          .slots_ = 10, .hold_ = milliseconds(50), .states_pace_ = true};
      PlacementCandidate other = sound;
      other.failure_share_ = row.failure_share_;
      other.start_wait_ = row.start_wait_;
      int chosen = 0;
      for (int i = 0; i < 10000; ++i) {
        chosen += static_cast<int>(
            ChooseBalanced({sound, other}, {}, {}, {}, 0, DrawsOf(i)));
      }
      CPPUNIT_ASSERT_MESSAGE(row.name_, chosen <= row.max_share_ * 10000);
    }
  }

  // Reports come from other processes. None may lead to a choice beyond the
  // candidates, or to a weight that is not a number.
  void ImplausibleValuesAreBounded() {
    for (const double pace : {0.0, -1.0, 1e300, std::nan(""), HUGE_VAL}) {
      for (const double load : {0.0, 1e9}) {
        for (const Duration age : {Duration::min(), Duration::max()}) {
          const PlacementCandidate usual{
              .slots_ = 4, .hold_ = milliseconds(50), .states_pace_ = true};
          const PlacementCandidate odd{.slots_ = 0,
                                       .load_ = load,
                                       .states_pace_ = true,
                                       .pace_ratio_ = pace,
                                       .load_age_ = age};
          for (const double draw : {0.0, 0.5, 0.9999}) {
            CPPUNIT_ASSERT(ChooseBalanced({usual, odd}, {}, {}, {}, 0,
                                          {.first_ = draw, .second_ = draw}) <
                           2);
          }
          // It is never the only one that is chosen.
          CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                               ChooseBalanced({usual, odd}, {}, {}, {}, 0, {}));
        }
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BalancingTests);

}  // namespace
}  // namespace jujubefront
