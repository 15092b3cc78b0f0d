#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <string>
#include <vector>

#include "base/hashing.h"
#include "quota/quota.h"

namespace jujubefront {
namespace {

using std::chrono::milliseconds;

// The users' rule: in a window, requests over the limit that may be sent, as a
// share of the limit and as a number.
constexpr double kAllowedOver = 0.1;
constexpr double kAllowedExtra = 20.0;
// Reports reach all nodes after this many slots of 250 ms.
constexpr std::size_t kReportSlots = 3;
constexpr int kSeconds = 24;
constexpr int kStepsPerSlot = 25;  // of 10 ms

struct Load {
  int nodes_ = 59;
  double limit_ = 324.0;  // requests a second, and as many at once
  double usual_ = 0.625;  // demand, as a share of the limit
  // From second 8 to 16 the demand is multiplied, at all nodes or at one.
  double rise_ = 1.0;
  bool at_one_node_ = false;
  double new_limit_ = 0.0;  // from second 8; 0: as before
  // From this second on a share of the nodes receives and sends no sums.
  double cut_share_ = 0.0;
  double cut_at_ = 5.0;
  // In second 9 this share of the nodes restarts without its counts.
  double restart_share_ = 0.0;
};

struct Outcome {
  double worst_excess_ = -1e9;  // over what the rule allows, in any window
  double served_share_ = 0.0;   // of the demand below the limit
};

// Nodes that count one workspace's requests and exchange sums.
class QuotaFleet {
 public:
  explicit QuotaFleet(const Load& load)
      : load_(load), nodes_(static_cast<std::size_t>(load.nodes_)) {}

  Outcome Run() {
    const int slots = kSeconds * 4;
    for (int slot = 0; slot < slots; ++slot) {
      const double second = slot / 4.0;
      if (second == 9.0) Restart();
      RunSlot(second);
      Report(second);
      CheckWindow(second);
    }
    EvaluateServedShare();
    return outcome_;
  }

 private:
  struct Node {
    QuotaMeter meter_;
    std::deque<QuotaUse> reports_;  // newest last
    bool restarted_ = false;
    double used_before_ = 0.0;  // by the process before the restart
  };

  bool IsCut(std::size_t index, double second) const {
    return second >= load_.cut_at_ &&
           static_cast<double>(index) <
               load_.cut_share_ * static_cast<double>(nodes_.size());
  }

  double LimitAt(double second) const {
    return load_.new_limit_ > 0.0 && second >= 8.0 ? load_.new_limit_
                                                   : load_.limit_;
  }

  double DemandAt(std::size_t index, double second) const {
    const double usual = load_.limit_ * load_.usual_;
    const double even = usual / load_.nodes_;
    if (second < 8.0 || second >= 16.0) return even;
    if (!load_.at_one_node_) return even * load_.rise_;
    return index == 0 ? even + usual * (load_.rise_ - 1.0) : even;
  }

  void RunSlot(double second) {
    const QuotaRule rule{.per_second_ = LimitAt(second),
                         .burst_ = LimitAt(second)};
    sent_.push_back(0.0);
    arrived_.push_back(0.0);
    for (int step = 0; step < kStepsPerSlot; ++step) {
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        const double expected = DemandAt(i, second) * 0.01;
        for (double left = expected; left > 0.0; left -= 1.0) {
          if (NextUnit(random_) < left) Arrive(i, rule, second);
        }
      }
    }
  }

  // What was sent of the arrivals that the limit allows, window by window.
  void EvaluateServedShare() {
    double owed = 0.0;
    double served = 0.0;
    for (std::size_t i = 0; i + kQuotaSlots <= sent_.size(); i += kQuotaSlots) {
      double arrived = 0.0;
      double sent = 0.0;
      double allowed = 0.0;
      for (std::size_t slot = i; slot < i + kQuotaSlots; ++slot) {
        arrived += arrived_[slot];
        sent += sent_[slot];
        allowed += LimitAt(static_cast<double>(slot) / 4.0) / 4.0;
      }
      owed += std::min(arrived, allowed);
      served += std::min({sent, arrived, allowed});
    }
    outcome_.served_share_ = served / owed;
  }

  void Arrive(std::size_t index, const QuotaRule& rule, double second) {
    Node& node = nodes_[index];
    arrived_.back() += 1.0;
    const bool knows = !fleet_.empty() && !node.restarted_;
    const QuotaUse own = UseOf(node.meter_);
    QuotaKnowledge knowledge{.fleet_ = knows ? SumFor(index, second) : own,
                             .cut_off_ = IsCut(index, second)};
    knowledge.node_share_ = node.meter_.node_share_ > 0.0
                                ? node.meter_.node_share_
                                : 1.0 / load_.nodes_;
    if (CountRequest(node.meter_, rule, options_, knowledge,
                     NextUnit(random_))) {
      sent_.back() += 1.0;
    }
  }

  // What a node knows of the fleet: its sums are some slots old, and stop at
  // the beginning of a cut.
  const QuotaUse& SumFor(std::size_t index, double second) const {
    return IsCut(index, second) ? before_cut_ : fleet_.front();
  }

  void Report(double second) {
    QuotaUse sum;
    QuotaUse cut;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      const QuotaUse use = UseOf(nodes_[i].meter_);
      // The last report of a node that is cut off goes on counting.
      nodes_[i].reports_.push_back(IsCut(i, second) ? nodes_[i].reports_.back()
                                                    : use);
      const QuotaUse& last = nodes_[i].reports_.back();
      QuotaUse& total = IsCut(i, second) ? cut : sum;
      total.per_second_ += last.per_second_;
      total.last_per_second_ += last.last_per_second_;
      total.usual_per_second_ += last.usual_per_second_;
      total.used_ += last.used_;
      // Reports of a process that has restarted count for a window.
      if (second - 9.0 <= 5.0) total.used_ += nodes_[i].used_before_;
      AdvanceSlot(nodes_[i].meter_, options_);
      if (second >= 9.75) nodes_[i].restarted_ = false;
    }
    if (cut.per_second_ > 0.0) {
      const double limit = LimitAt(second);
      // The part at the beginning of the cut: demand may rise on one side.
      const double share =
          cut.usual_per_second_ / before_cut_.usual_per_second_;
      // The others notice the cut when the reports are a second old.
      const QuotaUse assumed =
          second < load_.cut_at_ + 1.0
              ? cut
              : AssumeCutOff(cut, {.per_second_ = limit, .burst_ = limit},
                             options_, share);
      sum.per_second_ += cut.per_second_;
      sum.last_per_second_ += cut.last_per_second_;
      sum.usual_per_second_ += cut.usual_per_second_;
      sum.used_ += assumed.used_;
    }
    fleet_.push_back(sum);
    if (fleet_.size() > kReportSlots) fleet_.pop_front();
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!IsCut(i, second)) UpdateNodeShare(nodes_[i].meter_, fleet_.front());
    }
    if (second < load_.cut_at_) before_cut_ = fleet_.front();
  }

  void Restart() {
    const auto count = static_cast<std::size_t>(
        load_.restart_share_ * static_cast<double>(nodes_.size()));
    for (std::size_t i = nodes_.size() - count; i < nodes_.size(); ++i) {
      nodes_[i].used_before_ = UseOf(nodes_[i].meter_).used_;
      nodes_[i].meter_ = {};
      nodes_[i].restarted_ = true;
    }
  }

  // A lower limit binds one window after it is in force.
  void CheckWindow(double second) {
    if (sent_.size() < kQuotaSlots) return;
    double sent = 0.0;
    for (std::size_t i = sent_.size() - kQuotaSlots; i < sent_.size(); ++i) {
      sent += sent_[i];
    }
    const bool lowered = load_.new_limit_ > 0.0 && second >= 13.0;
    const double limit = lowered ? load_.new_limit_ : load_.limit_;
    const double allowed =
        (limit * 5.0 + limit) * (1.0 + kAllowedOver) + kAllowedExtra;
    outcome_.worst_excess_ = std::max(outcome_.worst_excess_, sent - allowed);
  }

  Load load_;
  QuotaOptions options_;
  std::vector<Node> nodes_;
  std::deque<QuotaUse> fleet_;
  QuotaUse before_cut_;
  std::vector<double> sent_;  // by slot
  std::vector<double> arrived_;
  RandomState random_{7};
  Outcome outcome_;
};

class QuotaTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaTests);
  CPPUNIT_TEST(FleetKeepsTheLimitInEveryWindow);
  CPPUNIT_TEST(AdmitsAllWhileTheWindowHasRoom);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a workspace that exceeds its limit because every node sees
  // only a part of its requests, and against nodes that refuse requests within
  // the limit because they take the fleet's use for higher than it is.
  void FleetKeepsTheLimitInEveryWindow() {
    struct Row {
      const char* name_;
      Load load_;
      double min_served_;
    };
    const Row rows[] = {
        {"usual demand, large", {}, 0.95},
        {"usual demand, small", {.limit_ = 5.0}, 0.95},
        {"usual demand, medium", {.limit_ = 40.0}, 0.95},
        {"all that the limit allows", {.usual_ = 0.9}, 0.95},
        {"a rise to all that the limit allows",
         {.usual_ = 0.5, .rise_ = 1.8},
         0.95},
        {"rises 3 times", {.rise_ = 3.0}, 0.75},
        {"rises 7.5 times", {.rise_ = 7.5}, 0.75},
        {"rises 7.5 times, medium", {.limit_ = 40.0, .rise_ = 7.5}, 0.75},
        {"rises 7.5 times, small", {.limit_ = 5.0, .rise_ = 7.5}, 0.75},
        {"rises 9 times", {.rise_ = 9.0}, 0.75},
        {"rises 7.5 times at one node",
         {.rise_ = 7.5, .at_one_node_ = true},
         0.75},
        {"16 nodes, rises 7.5 times", {.nodes_ = 16, .rise_ = 7.5}, 0.75},
        {"limit lowered to a fifth of the demand", {.new_limit_ = 40.0}, 0.75},
        {"a quarter cut off before a rise of 4 times",
         {.rise_ = 4.0, .cut_share_ = 0.25, .cut_at_ = 5.0},
         0.75},
        {"a quarter cut off during a rise of 4 times",
         {.rise_ = 4.0, .cut_share_ = 0.25, .cut_at_ = 11.0},
         0.75},
        {"a quarter cut off together with a rise of 7.5 times",
         {.rise_ = 7.5, .cut_share_ = 0.25, .cut_at_ = 8.0},
         0.75},
        {"half cut off, usual demand", {.cut_share_ = 0.5}, 0.9},
        {"half restarted, rises 4 times",
         {.rise_ = 4.0, .restart_share_ = 0.5},
         0.7},
    };
    for (const Row& row : rows) {
      const Outcome outcome = QuotaFleet(row.load_).Run();
      const std::string figures = std::string(row.name_) + ": " +
                                  std::to_string(outcome.worst_excess_) +
                                  " over, served " +
                                  std::to_string(outcome.served_share_);
      CPPUNIT_ASSERT_MESSAGE(figures, outcome.worst_excess_ <= 0.0);
      CPPUNIT_ASSERT_MESSAGE(figures, outcome.served_share_ >= row.min_served_);
    }
  }

  void AdmitsAllWhileTheWindowHasRoom() {
    struct Row {
      double per_second_;
      double used_;
      double share_;
    };
    const QuotaRule rule{.per_second_ = 100.0, .burst_ = 50.0};
    const QuotaOptions options{.reaction_ = milliseconds(500)};
    const Row rows[] = {
        {0.0, 0.0, 1.0},      {100.0, 300.0, 1.0}, {100.0, 500.0, 1.0},
        {400.0, 500.0, 0.25}, {100.0, 550.0, 0.0}, {100.0, 700.0, 0.0},
    };
    for (const Row& row : rows) {
      CPPUNIT_ASSERT_DOUBLES_EQUAL(
          row.share_,
          AdmittedQuotaShare(
              rule, options,
              {.per_second_ = row.per_second_, .used_ = row.used_}),
          1e-9);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        1.0,
        AdmittedQuotaShare({}, options, {.per_second_ = 1e6, .used_ = 1e6}),
        1e-9);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaTests);

}  // namespace
}  // namespace jujubefront
