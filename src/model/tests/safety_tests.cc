#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>

#include "model/fault_stories.h"

namespace jujubefront {
namespace {

constexpr Duration kLength = std::chrono::seconds(12);

std::uint32_t Violations(const FaultResult& result) {
  return result.keys_run_twice_ + result.not_run_but_ran_ +
         result.finished_but_never_ran_;
}

std::string Describe(std::uint64_t seed, const FaultResult& result) {
  return "seed " + std::to_string(seed) + ": run twice " +
         std::to_string(result.keys_run_twice_) + ", not run but ran " +
         std::to_string(result.not_run_but_ran_) + ", never ran " +
         std::to_string(result.finished_but_never_ran_);
}

// Guards against a non-idempotent request that runs twice, and against answers
// that contradict what happened ("not run" although it ran, "finished" although
// it never ran). Both come about when callers resend through other nodes while
// nodes, zones, the log or backend servers fail.
class SafetyTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SafetyTests);
  CPPUNIT_TEST(QuietSystemAnswersEveryRequest);
  CPPUNIT_TEST(EachFaultAloneIsSafe);
  CPPUNIT_TEST(RandomSchedulesAreSafe);
  CPPUNIT_TEST(ShrinkableSchedulesAreSafe);
  CPPUNIT_TEST(WithoutSealsADoubleRunIsFound);
  CPPUNIT_TEST(WithoutTheJoiningRuleADoubleRunIsFound);
  CPPUNIT_TEST_SUITE_END();

 public:
  void QuietSystemAnswersEveryRequest() {
    const FaultResult result = RunFaultStory({});
    CPPUNIT_ASSERT_EQUAL(0U, Violations(result));
    CPPUNIT_ASSERT_EQUAL(result.requests_, result.finished_);
    CPPUNIT_ASSERT(result.rounds_ > 0);
  }

  void EachFaultAloneIsSafe() {
    for (unsigned kind = 0; kind < kFaultKinds; ++kind) {
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        FaultStory story{.seed_ = seed};
        for (int i = 0; i < 6; ++i) {
          story.faults_.push_back(
              {.at_ = std::chrono::seconds(2 * i),
               .kind_ = static_cast<FaultKind>(kind),
               .subject_ = static_cast<std::uint32_t>(seed * 3 + i),
               .length_ = std::chrono::milliseconds(1500)});
        }
        const FaultResult result = RunFaultStory(story);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "kind " + std::to_string(kind) + " " + Describe(seed, result), 0U,
            Violations(result));
      }
    }
  }

  void RandomSchedulesAreSafe() {
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
      const FaultStory story{.seed_ = seed,
                             .faults_ = RandomFaults(seed, 8, kLength)};
      const FaultResult result = RunFaultStory(story);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Describe(seed, result), 0U,
                                   Violations(result));
    }
  }

  // Random schedules as a RapidCheck property, so that a failing schedule is
  // reduced to a minimal one.
  void ShrinkableSchedulesAreSafe() {
    CPPUNIT_ASSERT(rc::check("no schedule runs a key twice", [] {
      FaultStory story{.seed_ = *rc::gen::inRange<std::uint64_t>(1, 1000),
                       .requests_ = 40,
                       .length_ = std::chrono::seconds(5)};
      const auto count = *rc::gen::inRange(0, 6);
      for (int i = 0; i < count; ++i) {
        const auto kind = *rc::gen::inRange(0U, kFaultKinds);
        story.faults_.push_back(
            {.at_ = std::chrono::milliseconds(*rc::gen::inRange(0, 5000)),
             .kind_ = static_cast<FaultKind>(kind),
             .subject_ = *rc::gen::inRange(0U, 12U),
             .length_ = std::chrono::milliseconds(*rc::gen::inRange(0, 4000))});
      }
      RC_ASSERT(Violations(RunFaultStory(story)) == 0U);
    }));
  }

  // Shows that the checks above can detect a violation: without seals, a target
  // that answered that it never ran a key can still run it later.
  void WithoutSealsADoubleRunIsFound() {
    std::uint32_t found = 0;
    for (std::uint64_t seed = 1; seed <= 40 && found == 0; ++seed) {
      const FaultStory story{.seed_ = seed,
                             .faults_ = RandomFaults(seed, 8, kLength),
                             .seals_ = false};
      found += Violations(RunFaultStory(story));
    }
    CPPUNIT_ASSERT(found > 0);
  }

  // The same for the rule that a joining target serves only when all other
  // members have its record; with the rule, the same schedule is safe.
  void WithoutTheJoiningRuleADoubleRunIsFound() {
    std::uint32_t found = 0;
    for (std::uint64_t seed = 1; seed <= 2000 && found == 0; ++seed) {
      FaultStory story{.seed_ = seed,
                       .faults_ = RandomFaults(seed, 8, kLength),
                       .join_waits_for_all_ = false};
      found = Violations(RunFaultStory(story));
      story.join_waits_for_all_ = true;
      if (found > 0) {
        CPPUNIT_ASSERT_EQUAL(0U, Violations(RunFaultStory(story)));
      }
    }
    CPPUNIT_ASSERT(found > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SafetyTests);

}  // namespace
}  // namespace jujubefront
