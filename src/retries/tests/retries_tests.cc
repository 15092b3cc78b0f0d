#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <numeric>
#include <vector>

#include "base/hashing.h"
#include "retries/retries.h"
#include "retries/retry_allowance.h"

namespace jujubefront {
namespace {

constexpr double kRatio = 0.2;
constexpr Duration kWindow = std::chrono::seconds(10);
constexpr int kSeconds = 40;

class RetriesTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetriesTests);
  CPPUNIT_TEST(CreditIsMovedNeverCopied);
  CPPUNIT_TEST(BudgetBoundsRetriesToAShare);
  CPPUNIT_TEST(ResendsAndOtherPoliciesGetNoCredit);
  CPPUNIT_TEST(RetryAfterGrowsAndSpreads);
  CPPUNIT_TEST(SharesAddUpToTheFleetsBound);
  CPPUNIT_TEST(RetriesPayForTheWholeTree);
  CPPUNIT_TEST(EarningsAndSpendingExpire);
  CPPUNIT_TEST(RetriesGoWhereTheySaveMost);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a fleet that exceeds its bound on retries. Nodes do not
  // communicate about retries, so their shares must add up to no more than the
  // bound for any fleet size, in any window, also when one retry costs a whole
  // tree of calls.
  void SharesAddUpToTheFleetsBound() {
    struct Row {
      std::size_t nodes_;
      double slack_;
      double sends_a_second_;  // of each node
    };
    const Row rows[] = {{1, 48, 400},  {16, 48, 30},   {66, 98, 20},
                        {97, 124, 25}, {300, 124, 10}, {300, 124, 0.2},
                        {5900, 124, 1}};
    for (const Row& row : rows) {
      const RetryAllowance share =
          NodeRetryAllowance(kRatio, row.slack_, kWindow, row.nodes_, 0.9);
      // Requests per second at one node, which is also the number of calls that
      // its client requests cause.
      const double trees = row.sends_a_second_;
      std::vector<double> spent_in(kSeconds, 0.0);
      RandomState random{row.nodes_};
      for (std::size_t node = 0; node < std::min<std::size_t>(row.nodes_, 50);
           ++node) {
        std::map<std::string, RetryWindow> windows;
        for (int second = 0; second < kSeconds; ++second) {
          const Timestamp now{std::chrono::seconds(1000 + second)};
          EarnRetries(windows["s"], share, now,
                      trees * (share.sender_ratio_ + share.host_ratio_ +
                               share.tree_ratio_));
          for (int tries = 0; tries < 200; ++tries) {
            const double cost = 1.0 + std::floor(NextUnit(random) * 8.0);
            if (SpendRetries(windows, share, now, {{"s", cost}}, 1.0)) {
              spent_in[static_cast<std::size_t>(second)] += cost;
            }
          }
        }
      }
      const double nodes_played =
          std::min<double>(static_cast<double>(row.nodes_), 50);
      const double scale = static_cast<double>(row.nodes_) / nodes_played;
      double most = 0.0;
      for (std::size_t from = 0; from + 10 <= spent_in.size(); ++from) {
        const double spent =
            scale * std::accumulate(
                        spent_in.begin() + static_cast<long>(from),
                        spent_in.begin() + static_cast<long>(from) + 10, 0.0);
        const double requests =
            10.0 * row.sends_a_second_ * static_cast<double>(row.nodes_);
        CPPUNIT_ASSERT(spent <= kRatio * requests + row.slack_);
        most = std::max(most, spent / (requests + row.slack_));
      }
      // The allowance can be used where a node has enough requests.
      if (row.sends_a_second_ >= 10) CPPUNIT_ASSERT(most >= kRatio / 2);
    }
  }

  // Guards against retries that are paid for at one service only: a repeated
  // run makes its calls again, which count as repeats at the services they
  // reach.
  void RetriesPayForTheWholeTree() {
    struct Row {
      double own_;
      double leaf_;
      double share_;
      bool granted_;
    };
    const Row rows[] = {
        {2.0, 4.0, 1.0, true},  {0.9, 4.0, 1.0, false}, {2.0, 3.9, 1.0, false},
        {2.0, 6.0, 0.5, false}, {2.0, 8.0, 0.5, true},
    };
    const RetryAllowance allowance;
    const Timestamp now{std::chrono::seconds(1000)};
    for (const Row& row : rows) {
      std::map<std::string, RetryWindow> windows;
      EarnRetries(windows["own"], allowance, now, row.own_);
      EarnRetries(windows["leaf"], allowance, now, row.leaf_);
      CPPUNIT_ASSERT_EQUAL(
          row.granted_,
          SpendRetries(windows, allowance, now, {{"own", 1.0}, {"leaf", 4.0}},
                       row.share_));
      // A denied retry spends nothing at any service.
      CPPUNIT_ASSERT_DOUBLES_EQUAL(
          row.granted_ ? 4.0 : 0.0,
          RetryUsageInWindow(windows["leaf"], allowance, now).spent_, 1e-9);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(
          row.granted_ ? 1.0 : 0.0,
          RetryUsageInWindow(windows["own"], allowance, now).spent_, 1e-9);
    }
  }

  // Retries earned or spent before the window no longer count.
  void EarningsAndSpendingExpire() {
    const RetryAllowance allowance{.slack_ = 1.0};
    std::map<std::string, RetryWindow> windows;
    const Timestamp start{std::chrono::seconds(1000)};
    EarnRetries(windows["s"], allowance, start, 5.0);
    CPPUNIT_ASSERT(SpendRetries(windows, allowance, start, {{"s", 6.0}}, 1.0));
    struct Row {
      int later_ms_;
      double bound_;
      double spent_;
    };
    const Row rows[] = {{0, 6.0, 6.0},
                        {9400, 6.0, 6.0},
                        {10000, 1.0, 6.0},
                        {10600, 1.0, 0.0},
                        {60000, 1.0, 0.0}};
    for (const Row& row : rows) {
      const RetryUsage usage =
          RetryUsageInWindow(windows["s"], allowance,
                             start + std::chrono::milliseconds(row.later_ms_));
      CPPUNIT_ASSERT_DOUBLES_EQUAL(row.bound_, usage.bound_, 1e-9);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(row.spent_, usage.spent_, 1e-9);
    }
  }

  // Where retries are scarce, client requests come first, then call trees by
  // priority and by rank.
  void RetriesGoWhereTheySaveMost() {
    const RetryRequest by_importance[] = {
        {.priority_ = 2},
        {.priority_ = 0, .is_call_ = true, .tree_rank_ = 0.0},
        {.priority_ = 1, .is_call_ = true, .tree_rank_ = 0.0},
        {.priority_ = 1, .is_call_ = true, .tree_rank_ = 0.5},
        {.priority_ = 1, .is_call_ = true, .tree_rank_ = 0.9}};
    double before = 2.0;
    for (const RetryRequest& request : by_importance) {
      const double share = MaxRetryShare(request);
      CPPUNIT_ASSERT(share > 0.0 && share <= 1.0 && share < before);
      before = share;
    }
    CPPUNIT_ASSERT(MaxRetryShare({.priority_ = 99, .is_call_ = true}) > 0.0);
  }

  // Guards against retry amplification along a call chain: a credit that every
  // child receives in full multiplies with each hop.
  void CreditIsMovedNeverCopied() {
    for (std::uint32_t start = 0; start < 20; ++start) {
      std::uint32_t left = start;
      std::uint32_t given = 0;
      for (int child = 0; child < 8; ++child) given += TakeCreditForChild(left);
      CPPUNIT_ASSERT_EQUAL(start, left + given);
    }
  }

  void BudgetBoundsRetriesToAShare() {
    const RetryOptions options;
    RetryBudget budget;
    int spent = 0;
    for (int call = 0; call < 1000; ++call) {
      EarnRetry(budget, options);
      std::uint32_t credit = 2;
      if (SpendRetry(budget, options, credit, 1)) ++spent;
    }
    CPPUNIT_ASSERT(spent >= 100 && spent <= 110);
    CPPUNIT_ASSERT(budget.denied_ > 0);
  }

  void ResendsAndOtherPoliciesGetNoCredit() {
    struct Row {
      RetryPolicy policy_;
      bool resend_;
      std::uint32_t credit_;
    };
    const Row rows[] = {{RetryPolicy::kCredit, false, 2},
                        {RetryPolicy::kCredit, true, 0},
                        {RetryPolicy::kNever, false, 0},
                        {RetryPolicy::kFixedPerHop, false, 0}};
    for (const Row& row : rows) {
      CPPUNIT_ASSERT_EQUAL(row.credit_,
                           RootCredit({.policy_ = row.policy_}, row.resend_));
    }
  }

  // Guards against refused clients that all send again at the same time.
  void RetryAfterGrowsAndSpreads() {
    CPPUNIT_ASSERT(RetryAfter(0, 0.0) == std::chrono::seconds(1));
    CPPUNIT_ASSERT(RetryAfter(0, 0.99) < std::chrono::seconds(2));
    CPPUNIT_ASSERT(RetryAfter(2, 0.0) == std::chrono::seconds(4));
    CPPUNIT_ASSERT(RetryAfter(100, 0.0) == std::chrono::seconds(16));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetriesTests);

}  // namespace
}  // namespace jujubefront
