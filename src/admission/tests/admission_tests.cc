#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "admission/admission.h"
#include "admission/level.h"
#include "admission/limit.h"
#include "context/priority.h"

namespace jujubefront {
namespace {

const Timestamp kNow(std::chrono::seconds(1'790'000'000));

WaitingCall MakeCall(std::uint64_t id, unsigned tier, unsigned cohort,
                     std::uint32_t depth, Timestamp now) {
  return {.run_id_ = id,
          .priority_ = static_cast<Priority>(tier * kCohortsPerTier + cohort),
          .depth_ = depth,
          .arrived_ = now,
          .deadline_ = now + std::chrono::seconds(2)};
}

class AdmissionTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionTests);
  CPPUNIT_TEST(ImportantCallsDisplaceOthers);
  CPPUNIT_TEST(QueueOrderIsTierDepthCohort);
  CPPUNIT_TEST(LateCallsNeverStart);
  CPPUNIT_TEST(LimitGrowsUntilTimesInflate);
  CPPUNIT_TEST(SlowBackendKeepsItsLimit);
  CPPUNIT_TEST(OverloadedBackendShrinksThoughDeadlinesCutTimesOff);
  CPPUNIT_TEST(LevelFitsCompletionsAndRecovers);
  CPPUNIT_TEST(EveryCallGetsExactlyOneOutcome);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ImportantCallsDisplaceOthers() {
    AdmissionOptions options{.initial_limit_ = 1, .min_limit_ = 1};
    options.max_queue_wait_ = std::chrono::milliseconds(100);
    AdmissionState state = MakeAdmission(options, kNow);
    AddTimeSample(state.limit_, std::chrono::milliseconds(50),
                  std::chrono::milliseconds(50), true);
    CPPUNIT_ASSERT(
        Offer(state, options, kNow, MakeCall(1, 2, 0, 0, kNow)).start_.size() ==
        1);
    for (std::uint64_t id = 2; id <= 3; ++id) {
      Offer(state, options, kNow, MakeCall(id, 2, 10, 0, kNow));
    }
    const auto outcome =
        Offer(state, options, kNow, MakeCall(4, 0, 200, 0, kNow));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outcome.overloaded_.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, outcome.overloaded_[0]);
    const auto next =
        Complete(state, options, kNow, std::chrono::milliseconds(50),
                 std::chrono::milliseconds(50), RunEnd::kCompleted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, next.start_.at(0));
  }

  void QueueOrderIsTierDepthCohort() {
    const WaitingCall ordered[] = {
        MakeCall(1, 0, 9, 3, kNow), MakeCall(2, 0, 1, 1, kNow),
        MakeCall(3, 0, 2, 1, kNow), MakeCall(4, 1, 0, 9, kNow)};
    for (std::size_t i = 0; i + 1 < std::size(ordered); ++i) {
      CPPUNIT_ASSERT(WaitingOrder{}(ordered[i], ordered[i + 1]));
      CPPUNIT_ASSERT(!WaitingOrder{}(ordered[i + 1], ordered[i]));
    }
  }

  void LateCallsNeverStart() {
    const AdmissionOptions options;
    AdmissionState state = MakeAdmission(options, kNow);
    WaitingCall call = MakeCall(1, 0, 0, 0, kNow);
    call.deadline_ = kNow;
    const auto outcome = Offer(state, options, kNow, call);
    CPPUNIT_ASSERT(outcome.start_.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outcome.too_late_.size());
  }

  void LimitGrowsUntilTimesInflate() {
    const AdmissionOptions options;
    LimitState state{.limit_ = 8.0};
    // A backend server with 40 slots and 10 ms of work.
    for (int window = 0; window < 200; ++window) {
      const double queueing_factor = std::max(1.0, state.limit_ / 40.0);
      const auto time =
          Duration(static_cast<std::int64_t>(10'000 * queueing_factor));
      const double rate = std::min(state.limit_, 40.0) / 0.010;
      CloseWindow(state, options, time, rate);
    }
    CPPUNIT_ASSERT(state.limit_ >= 40.0);
    CPPUNIT_ASSERT(state.limit_ <= 40.0 * options.shrink_tolerance_ * 1.1);
  }

  // Guards against a limit that shrinks to its minimum because a slow backend
  // server is taken for an overloaded one.
  void SlowBackendKeepsItsLimit() {
    const AdmissionOptions options;
    LimitState state{
        .limit_ = 40.0, .starting_ = false, .base_time_us_ = 10'000};
    // Ten times slower at any limit: shrinking cannot help.
    for (int window = 0; window < 100; ++window) {
      CloseWindow(state, options, Duration(100'000), state.limit_ / 0.1);
    }
    CPPUNIT_ASSERT(state.limit_ >= 40.0 * 0.7);
  }

  // Guards against a limit that stays too high: with far more calls in flight
  // than slots, every call ends at its deadline, so that times are the same at
  // any limit.
  void OverloadedBackendShrinksThoughDeadlinesCutTimesOff() {
    const AdmissionOptions options;
    LimitState state{
        .limit_ = 400.0, .starting_ = false, .base_time_us_ = 80'000};
    for (int window = 0; window < 100; ++window) {
      const double rate = std::min(state.limit_, 25.0) / 0.080;
      const double queueing_factor = std::max(1.0, state.limit_ / 25.0);
      const auto time = std::min<Duration>(
          std::chrono::seconds(1),
          Duration(static_cast<std::int64_t>(80'000 * queueing_factor)));
      CloseWindow(state, options, time, rate);
    }
    CPPUNIT_ASSERT(state.limit_ >= 25.0);
    CPPUNIT_ASSERT(state.limit_ <= 25.0 * options.shrink_tolerance_ * 1.4);
  }

  // Guards against a level that stays low after an overload has ended.
  void LevelFitsCompletionsAndRecovers() {
    const AdmissionOptions options;
    LevelState state;
    for (int window = 0; window < 60; ++window) {
      for (unsigned i = 0; i < 200; ++i) {
        const unsigned tier = i % 2;
        const auto priority = static_cast<Priority>(
            tier * kCohortsPerTier + (i * 37 + window * 11) % 256);
        RecordArrival(state, priority);
      }
      state.completions_ += 100.0;
      state.refused_ = true;
      CloseLevelWindow(state, options);
    }
    // Half of the arrivals fit: all of tier 0 and next to none of tier 1.
    CPPUNIT_ASSERT(state.level_ >= 230 && state.level_ <= 280);
    int windows = 0;
    while (state.level_ != kAdmitAll && windows < 1000) {
      RecordArrival(state, 1);
      CloseLevelWindow(state, options);
      ++windows;
    }
    CPPUNIT_ASSERT(windows < 100);
  }

  // Guards against calls that are lost in the queue, or started or refused
  // twice.
  void EveryCallGetsExactlyOneOutcome() {
    CPPUNIT_ASSERT(rc::check("each offered call ends once", [] {
      const AdmissionOptions options{.initial_limit_ = 3, .min_limit_ = 1};
      Timestamp now = kNow;
      AdmissionState state = MakeAdmission(options, now);
      std::map<std::uint64_t, int> ends;
      std::uint64_t running = 0;
      const auto take = [&](const AdmissionOutcome& outcome) {
        for (const auto id : outcome.start_) ++ends[id], ++running;
        for (const auto id : outcome.overloaded_) ++ends[id];
        for (const auto id : outcome.too_late_) ++ends[id];
      };
      const auto steps = *rc::gen::container<std::vector<unsigned>>(
          100, rc::gen::inRange(0U, 4000U));
      std::uint64_t id = 0;
      for (const unsigned step : steps) {
        now += Duration(step * 10);
        if (step % 3 == 0 && running > 0) {
          --running;
          take(Complete(state, options, now, Duration(5'000), Duration(5'000),
                        RunEnd::kCompleted));
        } else if (step % 3 == 1) {
          take(Sweep(state, options, now));
        } else {
          take(Offer(state, options, now,
                     MakeCall(++id, step % 4, step % 256, step % 5, now)));
        }
      }
      std::uint64_t ended = 0;
      for (const auto& [run, count] : ends) {
        RC_ASSERT(count == 1);
        ++ended;
      }
      RC_ASSERT(ended + state.queue_.size() == id);
      RC_ASSERT(state.running_ == running);
    }));
  }

 private:
  // Closes a window under load with 20 calls of this duration, completed at
  // this rate per second.
  static void CloseWindow(LimitState& state, const AdmissionOptions& options,
                          Duration time, double rate) {
    constexpr int kSamples = 20;
    for (int i = 0; i < kSamples; ++i) AddTimeSample(state, time, time, true);
    const auto running = static_cast<std::uint32_t>(state.limit_);
    state.reached_ = true;
    RecordRunning(state, running);
    const double elapsed_us = kSamples / rate * 1e6;
    CloseLimitWindow(state, options, running,
                     Duration(static_cast<std::int64_t>(elapsed_us)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTests);

}  // namespace
}  // namespace jujubefront
