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
constexpr std::uint64_t kOtherCaller = 8;

// The suspicion state of one node, with times given relative to kStart.
struct SuspicionFixture {
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
  void RemoveExpiredAt(Duration at) {
    RemoveExpiredCharges(state_, options_, kStart + at);
  }
};

class SuspicionTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SuspicionTests);
  CPPUNIT_TEST(StandingFollowsDistinctIncarnations);
  CPPUNIT_TEST(CondemnationIsFollowedByProbation);
  CPPUNIT_TEST(SuccessClearsEarlierCharges);
  CPPUNIT_TEST(SuccessClearsChargesOfItsCallerOnly);
  CPPUNIT_TEST(ChargesOlderThanTheLocalClockExpire);
  CPPUNIT_TEST(StateIsIndependentOfNoticeOrderAndRepetition);
  CPPUNIT_TEST(StateSizeIsBounded);
  CPPUNIT_TEST(LargestCountWithoutIncarnationsAppliesAndExpires);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The standing of a content follows from the number of distinct incarnations
  // that ended while running it. Counting notices instead would condemn a
  // content for a single crash whose notice arrives several times; charges that
  // never expire would keep out a content that is harmless by now.
  void StandingFollowsDistinctIncarnations() {
    struct Row {
      const char* name_;
      std::vector<std::uint64_t> incarnations_;
      Duration after_;
      Standing standing_;
    };
    const Row rows[] = {
        {"none", {}, {}, Standing::kTrusted},
        {"one", {1}, {}, Standing::kTrusted},
        {"one, reported repeatedly", {1, 1, 1, 1}, {}, Standing::kTrusted},
        {"two", {1, 2}, {}, Standing::kContained},
        {"two, still within the charge lifetime",
         {1, 2},
         minutes(9),
         Standing::kContained},
        {"two, expired", {1, 2}, minutes(10), Standing::kTrusted},
        {"three", {1, 2, 3}, {}, Standing::kCondemned},
        {"three, some reported repeatedly",
         {1, 2, 1, 3, 3},
         {},
         Standing::kCondemned},
        {"three, condemnation and probation over",
         {1, 2, 3},
         minutes(20),
         Standing::kTrusted},
    };
    for (const Row& row : rows) {
      SuspicionFixture suspicion;
      for (const std::uint64_t incarnation : row.incarnations_) {
        suspicion.Charge(incarnation);
      }
      CPPUNIT_ASSERT_MESSAGE(row.name_,
                             suspicion.StandingAt(row.after_) == row.standing_);
    }
  }

  // The clock counts from the start of the host, so charges from elsewhere may
  // lie before its zero. Guards against taking these for charges made at zero,
  // which prolonged a condemnation by up to its whole length.
  void ChargesOlderThanTheLocalClockExpire() {
    SuspicionState state;
    const SuspicionOptions options;
    const Timestamp now{minutes(1)};
    for (const std::uint64_t incarnation : {1, 2, 3}) {
      RecordCharge(state, options, now, kContent,
                   {.incarnation_ = incarnation, .at_ = now - minutes(15)});
    }
    CPPUNIT_ASSERT(
        EvaluateContent(state, options, now, kContent, kCaller).standing_ ==
        Standing::kContained);
    CPPUNIT_ASSERT(RemoveExpiredCharges(state, options, now).empty());
    const std::vector<Fingerprint> released =
        RemoveExpiredCharges(state, options, now + minutes(5));
    CPPUNIT_ASSERT(released == std::vector<Fingerprint>{kContent});
    CPPUNIT_ASSERT(state.suspects_.empty());
  }

  // Guards against trusting a content again as soon as its condemnation ends,
  // when nothing shows that it is harmless by now. During the probation it is
  // contained (one run at a time), and one more charge condemns it for twice as
  // long. After a probation without charges nothing of it remains in the state.
  void CondemnationIsFollowedByProbation() {
    SuspicionFixture suspicion;
    for (const std::uint64_t incarnation : {1, 2, 3}) {
      suspicion.Charge(incarnation);
    }
    CPPUNIT_ASSERT(suspicion.StandingAt(minutes(10) - milliseconds(1)) ==
                   Standing::kCondemned);
    CPPUNIT_ASSERT(suspicion.StandingAt(minutes(10)) == Standing::kContained);
    suspicion.RemoveExpiredAt(minutes(12));
    suspicion.Charge(4, minutes(12));
    CPPUNIT_ASSERT(suspicion.StandingAt(minutes(12)) == Standing::kCondemned);
    CPPUNIT_ASSERT(suspicion.StandingAt(minutes(31)) == Standing::kCondemned);
    CPPUNIT_ASSERT(suspicion.StandingAt(minutes(32)) == Standing::kContained);
    suspicion.RemoveExpiredAt(minutes(52));
    CPPUNIT_ASSERT(suspicion.state_.suspects_.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, suspicion.state_.digest_);
  }

  // A successful run clears the charges of its caller up to that moment. Late
  // notices of crashes before the success must not charge the content again,
  // and a crash after the success must.
  void SuccessClearsEarlierCharges() {
    SuspicionFixture suspicion;
    CPPUNIT_ASSERT(!suspicion.Succeed(seconds(0)));
    for (const std::uint64_t incarnation : {1, 2, 3}) {
      suspicion.Charge(incarnation, seconds(1));
    }
    CPPUNIT_ASSERT(suspicion.Succeed(seconds(2)));
    CPPUNIT_ASSERT(suspicion.StandingAt(seconds(2)) == Standing::kTrusted);
    CPPUNIT_ASSERT(!suspicion.Succeed(seconds(2)));
    // A late notice of a crash before the success has no effect; a crash after
    // the success is a new charge.
    CPPUNIT_ASSERT(!RecordCharge(
        suspicion.state_, suspicion.options_, kStart + seconds(3), kContent,
        {.incarnation_ = 4, .caller_ = kCaller, .at_ = kStart + seconds(1)}));
    CPPUNIT_ASSERT(suspicion.Charge(5, seconds(3)));
    CPPUNIT_ASSERT_EQUAL(1U, ChargesAgainst(suspicion.state_, kContent));
  }

  // Crashes of a content add up over all callers, since the same content may
  // arrive from any of them. A success clears the content only for the caller
  // that had it: it says nothing about the runs of the others, and clearing
  // those as well would let a crashing content run again.
  void SuccessClearsChargesOfItsCallerOnly() {
    SuspicionFixture suspicion;
    for (const std::uint64_t incarnation : {1, 2, 3}) {
      suspicion.Charge(incarnation, seconds(0), kCaller);
    }
    suspicion.Charge(4, seconds(0), kCaller + 5);
    CPPUNIT_ASSERT(suspicion.StandingAt(seconds(1), kOtherCaller) ==
                   Standing::kCondemned);
    suspicion.Succeed(seconds(1), kOtherCaller);
    CPPUNIT_ASSERT(suspicion.StandingAt(seconds(1), kOtherCaller) ==
                   Standing::kTrusted);
    CPPUNIT_ASSERT(suspicion.StandingAt(seconds(1), kCaller) ==
                   Standing::kCondemned);
    CPPUNIT_ASSERT(SucceededRecently(suspicion.state_, suspicion.options_,
                                     kStart + seconds(10), kContent,
                                     kOtherCaller));
    CPPUNIT_ASSERT(!SucceededRecently(suspicion.state_, suspicion.options_,
                                      kStart + seconds(12), kContent,
                                      kOtherCaller));
  }

  // Nodes receive the same notices in different orders and several times over.
  // Were the state to depend on that, nodes would disagree on a content, and
  // digests that never match would be synchronized without end.
  void StateIsIndependentOfNoticeOrderAndRepetition() {
    rc::check("any notice order and repetition", [](std::uint64_t seed) {
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
      const auto apply = [&](SuspicionFixture& suspicion,
                             const Notice& notice) {
        if (notice.clears_) {
          RecordClearance(suspicion.state_, suspicion.options_,
                          kStart + seconds(30), kContent, kCaller,
                          kStart + notice.at_);
        } else {
          suspicion.Charge(notice.incarnation_ * 100 +
                               static_cast<std::uint64_t>(notice.at_.count()),
                           notice.at_);
        }
      };
      SuspicionFixture first;
      for (const Notice& notice : notices) apply(first, notice);
      SuspicionFixture second;
      for (int i = 0; i < 30; ++i) {
        apply(second, notices[NextBelow(random, notices.size())]);
      }
      for (auto it = notices.rbegin(); it != notices.rend(); ++it) {
        apply(second, *it);
      }
      RC_ASSERT(first.state_.digest_ == second.state_.digest_);
      RC_ASSERT(first.StandingAt(seconds(30)) ==
                second.StandingAt(seconds(30)));
    });
  }

  // Many distinct contents, charges and successes must not grow the state
  // without bound, nor evict a condemned content in favour of contents that
  // have a single charge.
  void StateSizeIsBounded() {
    SuspicionFixture suspicion;
    suspicion.options_.max_suspects_ = 50;
    suspicion.options_.max_successes_ = 50;
    for (const std::uint64_t incarnation : {1, 2, 3}) {
      suspicion.Charge(incarnation);
    }
    for (std::uint64_t i = 0; i < 1000; ++i) {
      suspicion.Charge(i, milliseconds(i), kCaller, {.high_ = 9, .low_ = i});
      RecordSuccess(suspicion.state_, suspicion.options_, kStart, {.low_ = i},
                    1);
      suspicion.Charge(100 + i);
    }
    CPPUNIT_ASSERT(suspicion.state_.suspects_.size() <= 50);
    CPPUNIT_ASSERT(suspicion.state_.successes_.size() <= 50);
    CPPUNIT_ASSERT(suspicion.state_.success_order_.size() <= 50);
    CPPUNIT_ASSERT(suspicion.state_.suspects_.at(kContent).charges_.size() <=
                   16);
    // The content with the most charges is kept.
    CPPUNIT_ASSERT(suspicion.StandingAt(seconds(1)) == Standing::kCondemned);
  }

  // Some sources report only a number of charges, not the incarnations. The
  // reports overlap, so the largest number counts, not their sum: counts of 1,
  // 2 and 1 make two charges, which expire as others do.
  void LargestCountWithoutIncarnationsAppliesAndExpires() {
    SuspicionFixture suspicion;
    for (const std::uint32_t count : {1, 2, 1}) {
      RaiseCharges(suspicion.state_, suspicion.options_, kStart, kContent,
                   count);
    }
    CPPUNIT_ASSERT_EQUAL(2U, ChargesAgainst(suspicion.state_, kContent));
    suspicion.RemoveExpiredAt(minutes(10));
    CPPUNIT_ASSERT_EQUAL(0U, ChargesAgainst(suspicion.state_, kContent));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspicionTests);

}  // namespace
}  // namespace jujubefront
