#include <cppunit/extensions/HelperMacros.h>

#include "base/hashing.h"
#include "retries/retries.h"
#include "retries/retry_allowance.h"

namespace jujubefront {
namespace {

class RetriesTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetriesTests);
  CPPUNIT_TEST(CreditIsMovedNeverCopied);
  CPPUNIT_TEST(BudgetBoundsRetriesToAShare);
  CPPUNIT_TEST(ResendsAndOtherPoliciesGetNoCredit);
  CPPUNIT_TEST(RetryAfterGrowsAndSpreads);
  CPPUNIT_TEST(SharesAddUpToTheFleetsBound);
  CPPUNIT_TEST(RetriesPayForTheWholeTree);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Nodes do not talk about retries; their shares must fit all the same.
  void SharesAddUpToTheFleetsBound() {
    struct Row {
      std::size_t nodes_;
      double slack_;
    };
    const Row rows[] = {{1, 48}, {16, 48}, {66, 98}, {84, 114}};
    for (const Row& row : rows) {
      const RetryAllowance share =
          ShareAllowance(0.2, row.slack_, row.nodes_, 0.7);
      constexpr int kFirstSends = 500;
      double retries = 0;
      for (std::size_t node = 0; node < row.nodes_; ++node) {
        std::map<std::string, RetryBudget> budgets;
        // A long calm time saves up no more than the burst.
        for (int i = 0; i < 10'000; ++i) EarnRetry(budgets["s"], share);
        for (int i = 0; i < kFirstSends; ++i) {
          EarnRetry(budgets["s"], share);
          while (SpendRetries(budgets, {{"s", 1.0}}, 0.0)) ++retries;
        }
      }
      const auto sends = static_cast<double>(kFirstSends * row.nodes_);
      CPPUNIT_ASSERT(retries <= 0.2 * sends + row.slack_);
      CPPUNIT_ASSERT(retries >= 0.1 * sends);
    }
  }

  // A repeated run makes its calls again, which count as repeats where they
  // arrive.
  void RetriesPayForTheWholeTree() {
    struct Row {
      double own_;
      double leaf_;
      double reserve_;
      bool granted_;
    };
    const Row rows[] = {
        {2.0, 2.0, 0.0, true},  {0.9, 2.0, 0.0, false}, {2.0, 0.9, 0.0, false},
        {1.2, 1.2, 0.5, false}, {1.6, 1.6, 0.5, true},
    };
    for (const Row& row : rows) {
      std::map<std::string, RetryBudget> budgets;
      budgets["own"].tokens_ = row.own_;
      budgets["leaf"].tokens_ = row.leaf_;
      CPPUNIT_ASSERT_EQUAL(
          row.granted_,
          SpendRetries(budgets, {{"own", 1.0}, {"leaf", 4.0}}, row.reserve_));
      // Nothing is spent in part; a costly retry leaves a debt behind.
      CPPUNIT_ASSERT_DOUBLES_EQUAL(row.leaf_ - (row.granted_ ? 4.0 : 0.0),
                                   budgets["leaf"].tokens_, 1e-9);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(row.own_ - (row.granted_ ? 1.0 : 0.0),
                                   budgets["own"].tokens_, 1e-9);
    }
  }

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
