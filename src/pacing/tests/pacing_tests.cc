#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <deque>

#include "pacing/pacing.h"

namespace jujubefront {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Timestamp kBegin{seconds(100)};

class PacingTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PacingTests);
  CPPUNIT_TEST(StartsFollowTheRate);
  CPPUNIT_TEST(NoWindowExceedsTheRateByMoreThanTheBurst);
  CPPUNIT_TEST(TokensAreThereAfterTheTimeUntilStarts);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Starts that wait all the time must use the rate, neither more nor less, and
  // an idle span must not be made up for.
  void StartsFollowTheRate() {
    struct Row {
      const char* name_;
      double per_second_;
      Duration idle_;
      int starts_;  // in 4 s after the idle span
    };
    const Row rows[] = {
        {"usual", 20.0, Duration::zero(), 80},
        {"fraction", 0.8, Duration::zero(), 3},
        {"zero is raised to the minimum", 0.0, Duration::zero(), 2},
        {"idle before", 20.0, seconds(60), 85},
        {"very large", 1e9, Duration::zero(), 4010},
    };
    for (const Row& row : rows) {
      const PacingOptions options;
      Pacer pacer{.updated_at_ = kBegin};
      SetRate(pacer, options, row.per_second_, kBegin);
      int starts = 0;
      // At most one start in a millisecond is asked for.
      for (int ms = 1; ms <= 4010; ++ms) {
        const Timestamp now = kBegin + row.idle_ + milliseconds(ms);
        if (!CanStart(pacer, options, now)) continue;
        RecordStart(pacer, options, now);
        ++starts;
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.starts_, starts);
    }
  }

  // The rate changes at any time, up and down. A burst at a change would add to
  // what was started before it.
  void NoWindowExceedsTheRateByMoreThanTheBurst() {
    CPPUNIT_ASSERT(rc::check([] {
      const PacingOptions options;
      const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
          60, rc::gen::pair(rc::gen::inRange(0, 400), rc::gen::inRange(0, 60)));
      Pacer pacer{.updated_at_ = kBegin};
      Timestamp now = kBegin;
      double max_rate = options.min_per_second_;
      int starts = 0;
      double allowed = 0.0;
      for (const auto& [wait, rate] : steps) {
        SetRate(pacer, options, rate, now);
        max_rate = std::max<double>(max_rate, rate);
        const Timestamp end = now + milliseconds(wait);
        allowed += pacer.per_second_ * InSeconds(milliseconds(wait));
        for (; now < end; now += milliseconds(1)) {
          if (!CanStart(pacer, options, now)) continue;
          RecordStart(pacer, options, now);
          ++starts;
        }
      }
      const double burst = std::max(1.0, max_rate * InSeconds(options.burst_));
      RC_ASSERT(starts <= allowed + burst + 1e-6);
    }));
  }

  // Rounding must not leave a waiting run without a timer.
  void TokensAreThereAfterTheTimeUntilStarts() {
    CPPUNIT_ASSERT(rc::check([] {
      const PacingOptions options;
      const double rate = *rc::gen::inRange(1, 1'000'000) / 1000.0;
      Pacer pacer{.updated_at_ = kBegin};
      SetRate(pacer, options, rate, kBegin);
      Timestamp now = kBegin;
      for (int i = 0; i < 20; ++i) {
        now += TimeUntilStarts(pacer, 1.0, now);
        RC_ASSERT(CanStart(pacer, options, now));
        RecordStart(pacer, options, now);
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacingTests);

}  // namespace
}  // namespace jujubefront
