#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

#include "base/hashing.h"
#include "suspicion/suspicion.h"

namespace jujubefront {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Timestamp kStart{seconds(10'000)};
constexpr Fingerprint kContent{.high_ = 3, .low_ = 4};
constexpr std::uint64_t kCaller = 7;
constexpr std::uint64_t kOther = 8;

struct Watched {
  SuspicionOptions options_;
  SuspicionState state_;

  bool Charge(std::uint64_t incarnation, Duration at = {},
              std::uint64_t caller = kCaller,
              const Fingerprint& content = kContent) {
    return RecordCharge(
        state_, options_, kStart + at, content,
        {.incarnation_ = incarnation, .caller_ = caller, .at_ = kStart + at});
  }
  bool Succeed(Duration at, std::uint64_t caller = kCaller) {
    return RecordSuccess(state_, options_, kStart + at, kContent, caller);
  }
  Standing StandingAt(Duration at, std::uint64_t caller = kCaller) const {
    return EvaluateContent(state_, options_, kStart + at, kContent, caller)
        .standing_;
  }
  void ForgetAt(Duration at) {
    RemoveExpiredCharges(state_, options_, kStart + at);
  }
};

class SuspicionTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SuspicionTests);
  CPPUNIT_TEST(DistinctIncarnationsDecide);
  CPPUNIT_TEST(CondemnationsEndInAProbation);
  CPPUNIT_TEST(SuccessTakesChargesBack);
  CPPUNIT_TEST(OtherCallersSuccessClearsOnlyThem);
  CPPUNIT_TEST(OrderAndRepetitionOfNoticesChangeNothing);
  CPPUNIT_TEST(MemoryIsBounded);
  CPPUNIT_TEST(CountsWithoutIncarnationsAddUpAndExpire);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DistinctIncarnationsDecide() {
    struct Row {
      const char* name_;
      std::vector<std::uint64_t> incarnations_;
      Duration after_;
      Standing standing_;
    };
    const Row rows[] = {
        {"none", {}, {}, Standing::kTrusted},
        {"one", {1}, {}, Standing::kTrusted},
        {"one, told often", {1, 1, 1, 1}, {}, Standing::kTrusted},
        {"two", {1, 2}, {}, Standing::kContained},
        {"two, a while later", {1, 2}, minutes(9), Standing::kContained},
        {"two, long ago", {1, 2}, minutes(10), Standing::kTrusted},
        {"three", {1, 2, 3}, {}, Standing::kCondemned},
        {"three, with repetitions", {1, 2, 1, 3, 3}, {}, Standing::kCondemned},
        {"three, long ago", {1, 2, 3}, minutes(20), Standing::kTrusted},
    };
    for (const Row& row : rows) {
      Watched watched;
      for (const std::uint64_t incarnation : row.incarnations_) {
        watched.Charge(incarnation);
      }
      CPPUNIT_ASSERT_MESSAGE(row.name_,
                             watched.StandingAt(row.after_) == row.standing_);
    }
  }

  // A second chance is careful: one run at a time, and one more end condemns
  // the content for twice as long.
  void CondemnationsEndInAProbation() {
    Watched watched;
    for (const std::uint64_t incarnation : {1, 2, 3}) {
      watched.Charge(incarnation);
    }
    CPPUNIT_ASSERT(watched.StandingAt(minutes(10) - milliseconds(1)) ==
                   Standing::kCondemned);
    CPPUNIT_ASSERT(watched.StandingAt(minutes(10)) == Standing::kContained);
    watched.ForgetAt(minutes(12));
    watched.Charge(4, minutes(12));
    CPPUNIT_ASSERT(watched.StandingAt(minutes(12)) == Standing::kCondemned);
    CPPUNIT_ASSERT(watched.StandingAt(minutes(31)) == Standing::kCondemned);
    CPPUNIT_ASSERT(watched.StandingAt(minutes(32)) == Standing::kContained);
    watched.ForgetAt(minutes(52));
    CPPUNIT_ASSERT(watched.state_.suspects_.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, watched.state_.digest_);
  }

  void SuccessTakesChargesBack() {
    Watched watched;
    CPPUNIT_ASSERT(!watched.Succeed(seconds(0)));
    for (const std::uint64_t incarnation : {1, 2, 3}) {
      watched.Charge(incarnation, seconds(1));
    }
    CPPUNIT_ASSERT(watched.Succeed(seconds(2)));
    CPPUNIT_ASSERT(watched.StandingAt(seconds(2)) == Standing::kTrusted);
    CPPUNIT_ASSERT(!watched.Succeed(seconds(2)));
    // A late notice of an end before the success, and one of an end after it.
    CPPUNIT_ASSERT(!RecordCharge(
        watched.state_, watched.options_, kStart + seconds(3), kContent,
        {.incarnation_ = 4, .caller_ = kCaller, .at_ = kStart + seconds(1)}));
    CPPUNIT_ASSERT(watched.Charge(5, seconds(3)));
    CPPUNIT_ASSERT_EQUAL(1U, ChargesAgainst(watched.state_, kContent));
  }

  // A content comes at any host, and so from any caller: ends count together.
  // Who succeeds with it is no reason to trust the others.
  void OtherCallersSuccessClearsOnlyThem() {
    Watched watched;
    for (const std::uint64_t incarnation : {1, 2, 3}) {
      watched.Charge(incarnation, seconds(0), kCaller);
    }
    watched.Charge(4, seconds(0), kCaller + 5);
    CPPUNIT_ASSERT(watched.StandingAt(seconds(1), kOther) ==
                   Standing::kCondemned);
    watched.Succeed(seconds(1), kOther);
    CPPUNIT_ASSERT(watched.StandingAt(seconds(1), kOther) ==
                   Standing::kTrusted);
    CPPUNIT_ASSERT(watched.StandingAt(seconds(1), kCaller) ==
                   Standing::kCondemned);
    CPPUNIT_ASSERT(SucceededRecently(watched.state_, watched.options_,
                                     kStart + seconds(10), kContent, kOther));
    CPPUNIT_ASSERT(!SucceededRecently(watched.state_, watched.options_,
                                      kStart + seconds(12), kContent, kOther));
  }

  void OrderAndRepetitionOfNoticesChangeNothing() {
    rc::check("any order, any repetition", [](std::uint64_t seed) {
      struct Notice {
        bool clears_;
        std::uint64_t incarnation_;
        Duration at_;
      };
      std::vector<Notice> notices;
      notices.reserve(6);
      RandomState random{seed};
      for (int i = 0; i < 6; ++i) {
        notices.push_back({.clears_ = NextBelow(random, 4) == 0,
                           .incarnation_ = NextBelow(random, 4) + 1,
                           .at_ = seconds(NextBelow(random, 20))});
      }
      const auto take = [&](Watched& watched, const Notice& notice) {
        if (notice.clears_) {
          RecordClearance(watched.state_, watched.options_,
                          kStart + seconds(30), kContent, kCaller,
                          kStart + notice.at_);
        } else {
          watched.Charge(notice.incarnation_ * 100 +
                             static_cast<std::uint64_t>(notice.at_.count()),
                         notice.at_);
        }
      };
      Watched first;
      for (const Notice& notice : notices) take(first, notice);
      Watched second;
      for (int i = 0; i < 30; ++i) {
        take(second, notices[NextBelow(random, notices.size())]);
      }
      for (auto it = notices.rbegin(); it != notices.rend(); ++it) {
        take(second, *it);
      }
      RC_ASSERT(first.state_.digest_ == second.state_.digest_);
      RC_ASSERT(first.StandingAt(seconds(30)) ==
                second.StandingAt(seconds(30)));
    });
  }

  void MemoryIsBounded() {
    Watched watched;
    watched.options_.max_suspects_ = 50;
    watched.options_.max_successes_ = 50;
    for (const std::uint64_t incarnation : {1, 2, 3}) {
      watched.Charge(incarnation);
    }
    for (std::uint64_t i = 0; i < 1000; ++i) {
      watched.Charge(i, milliseconds(i), kCaller, {.high_ = 9, .low_ = i});
      RecordSuccess(watched.state_, watched.options_, kStart, {.low_ = i}, 1);
      watched.Charge(100 + i);
    }
    CPPUNIT_ASSERT(watched.state_.suspects_.size() <= 50);
    CPPUNIT_ASSERT(watched.state_.successes_.size() <= 50);
    CPPUNIT_ASSERT(watched.state_.success_order_.size() <= 50);
    CPPUNIT_ASSERT(watched.state_.suspects_.at(kContent).charges_.size() <= 16);
    // What weighs most is kept.
    CPPUNIT_ASSERT(watched.StandingAt(seconds(1)) == Standing::kCondemned);
  }

  void CountsWithoutIncarnationsAddUpAndExpire() {
    Watched watched;
    for (const std::uint32_t count : {1, 2, 1}) {
      RaiseCharges(watched.state_, watched.options_, kStart, kContent, count);
    }
    CPPUNIT_ASSERT_EQUAL(2U, ChargesAgainst(watched.state_, kContent));
    watched.ForgetAt(minutes(10));
    CPPUNIT_ASSERT_EQUAL(0U, ChargesAgainst(watched.state_, kContent));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspicionTests);

}  // namespace
}  // namespace jujubefront
