#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "requests/locate.h"
#include "requests/request_table.h"

namespace jujubefront {
namespace {

const Timestamp kNow(std::chrono::seconds(1'790'000'000));
const Timestamp kLongAgo = kNow - std::chrono::hours(1);

RequestKey KeyAt(Timestamp time, std::uint64_t id = 1) {
  return MakeRequestKey(time, id, id);
}

Member Serving(const std::string& name, Timestamp since) {
  return {.name_ = name,
          .incarnation_ = 1,
          .state_ = MemberState::kServing,
          .serving_since_ = since};
}

class RequestsTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestsTests);
  CPPUNIT_TEST(DecidesBySendAndRecord);
  CPPUNIT_TEST(RefusesKeysOutsideItsMemory);
  CPPUNIT_TEST(QuestionsSealUnknownKeys);
  CPPUNIT_TEST(RecordsExpireAfterEveryTargetRefusesThem);
  CPPUNIT_TEST(FullTableRefusesInsteadOfForgetting);
  CPPUNIT_TEST(UnstatedAttemptsAreResendsUnlessTheKeyIsYoung);
  CPPUNIT_TEST(RoundAsksEveryTargetThatCanHoldTheKey);
  CPPUNIT_TEST(RoundIsUnknownWhenMemoryIsLost);
  CPPUNIT_TEST(TargetsThatEndDuringARoundStillCount);
  CPPUNIT_TEST(EntriesAgreeOnTheHome);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DecidesBySendAndRecord() {
    const RequestOptions options;
    RequestTable table;
    const RequestKey key = KeyAt(kNow);
    const auto decide = [&] {
      return DecideSend(table, options, kNow, key, kLongAgo);
    };
    CPPUNIT_ASSERT(decide() == SendDecision::kRun);
    MarkRunning(table, options, key, 5);
    CPPUNIT_ASSERT(decide() == SendDecision::kJoin);
    MarkFinished(table, options, key, EmptyFinished());
    CPPUNIT_ASSERT(decide() == SendDecision::kReplay);
    RequestTable sealed;
    MarkSealed(sealed, options, key);
    CPPUNIT_ASSERT(DecideSend(sealed, options, kNow, key, kLongAgo) ==
                   SendDecision::kSealed);
  }

  void RefusesKeysOutsideItsMemory() {
    struct Row {
      Duration key_age_;
      Duration serving_for_;
      SendDecision decision_;
    };
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    const Row rows[] = {
        {seconds(1), seconds(60), SendDecision::kRun},
        {seconds(121), seconds(600), SendDecision::kTooOld},
        {milliseconds(-100), seconds(60), SendDecision::kRun},
        {milliseconds(-300), seconds(60), SendDecision::kFromFuture},
        {seconds(30), seconds(10), SendDecision::kTooYoung},
        // Closer to the start than the clock skew, the order is not certain.
        {milliseconds(9'700), seconds(10), SendDecision::kTooYoung},
        {milliseconds(9'500), seconds(10), SendDecision::kRun},
    };
    for (const Row& row : rows) {
      const RequestTable table;
      const SendDecision decision = DecideSend(
          table, {}, kNow, KeyAt(kNow - row.key_age_), kNow - row.serving_for_);
      CPPUNIT_ASSERT_EQUAL(static_cast<int>(row.decision_),
                           static_cast<int>(decision));
    }
    CPPUNIT_ASSERT(DecideSend({}, {}, kNow, KeyAt(kNow), Timestamp()) ==
                   SendDecision::kTooYoung);
  }

  // Guards against a send that is delayed in the network and runs after the
  // target has answered that the key never ran.
  void QuestionsSealUnknownKeys() {
    const RequestOptions options;
    RequestTable table;
    const RequestKey key = KeyAt(kNow);
    const AskOutcome first = AskAndSeal(table, options, key);
    CPPUNIT_ASSERT(first.record_->state_ == RequestState::kSealed);
    CPPUNIT_ASSERT(first.newly_sealed_);
    CPPUNIT_ASSERT(!AskAndSeal(table, options, key).newly_sealed_);
    CPPUNIT_ASSERT(DecideSend(table, options, kNow, key, kLongAgo) ==
                   SendDecision::kSealed);
    const RequestKey other = KeyAt(kNow, 2);
    MarkFinished(table, options, other, EmptyFinished());
    CPPUNIT_ASSERT(AskAndSeal(table, options, other).record_->state_ ==
                   RequestState::kFinished);
  }

  // Guards against running a request twice because its record expired while a
  // target with a slower clock still accepted the key.
  void RecordsExpireAfterEveryTargetRefusesThem() {
    const RequestOptions options;
    RequestTable table;
    const RequestKey finished = KeyAt(kNow, 1);
    const RequestKey running = KeyAt(kNow, 2);
    MarkFinished(table, options, finished, EmptyFinished());
    MarkRunning(table, options, running, 9);
    ExpireRecords(table, kNow + options.resend_window_);
    CPPUNIT_ASSERT(FindRecord(table, finished) != nullptr);
    ExpireRecords(table,
                  kNow + options.resend_window_ + 2 * options.max_clock_skew_);
    CPPUNIT_ASSERT(FindRecord(table, finished) == nullptr);
    CPPUNIT_ASSERT(FindRecord(table, running) != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.answer_bytes_);
  }

  // Guards against running a request twice after its record was evicted from a
  // full table.
  void FullTableRefusesInsteadOfForgetting() {
    const RequestOptions options{.max_records_ = 1};
    RequestTable table;
    MarkRunning(table, options, KeyAt(kNow, 1), 1);
    CPPUNIT_ASSERT(DecideSend(table, options, kNow, KeyAt(kNow, 2), kLongAgo) ==
                   SendDecision::kFull);
    CPPUNIT_ASSERT(AskAndSeal(table, options, KeyAt(kNow, 2)).record_ ==
                   nullptr);
  }

  void UnstatedAttemptsAreResendsUnlessTheKeyIsYoung() {
    struct Row {
      std::chrono::milliseconds age_;
      SendKind kind_;
    };
    const Row rows[] = {{std::chrono::milliseconds(0), SendKind::kFirst},
                        {std::chrono::milliseconds(599), SendKind::kFirst},
                        {std::chrono::milliseconds(600), SendKind::kResend},
                        {std::chrono::milliseconds(5000), SendKind::kResend}};
    for (const Row& row : rows) {
      CPPUNIT_ASSERT(InferSendKind({}, kNow, KeyAt(kNow - row.age_)) ==
                     row.kind_);
    }
  }

  void RoundAsksEveryTargetThatCanHoldTheKey() {
    const RequestKey key = KeyAt(kNow);
    std::vector<Member> members = {
        Serving("a", kLongAgo), Serving("b", kLongAgo), Serving("c", kLongAgo)};
    members[2].state_ = MemberState::kLeaving;
    Member handed_over = Serving("d", kLongAgo);
    handed_over.state_ = MemberState::kGone;
    handed_over.table_kept_ = true;
    members.push_back(handed_over);
    LocateRound round;
    RoundDecision decision = ContinueRound(round, {}, key, members);
    CPPUNIT_ASSERT(decision.step_ == RoundStep::kAsk);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, decision.targets_.size());
    round.asked_[decision.targets_[0]].state_ = AskState::kNever;
    round.asked_[decision.targets_[1]].state_ = AskState::kNever;
    CPPUNIT_ASSERT(ContinueRound(round, {}, key, members).step_ ==
                   RoundStep::kWait);
    round.asked_[decision.targets_[2]].state_ = AskState::kNever;
    // An answer names a target that the entry node did not know.
    members.push_back(Serving("e", kLongAgo));
    decision = ContinueRound(round, {}, key, members);
    CPPUNIT_ASSERT(decision.step_ == RoundStep::kAsk);
    for (const auto& name : decision.targets_) {
      round.asked_[name].state_ = AskState::kNever;
    }
    decision = ContinueRound(round, {}, key, members);
    CPPUNIT_ASSERT(decision.step_ == RoundStep::kRunAtHome);
  }

  // Guards against running a request twice after a target ended or restarted
  // without handing over its records.
  void RoundIsUnknownWhenMemoryIsLost() {
    const RequestKey key = KeyAt(kNow);
    const Timestamp later = kNow + std::chrono::seconds(5);
    Member ended = Serving("b", kLongAgo);
    ended.state_ = MemberState::kGone;
    Member restarted = Serving("b", later);
    restarted.memory_lost_before_ = later;
    Member young = Serving("b", later);
    struct Row {
      std::vector<Member> members_;
      RoundStep step_;
    };
    const Row rows[] = {
        {{Serving("a", kLongAgo), ended}, RoundStep::kUnknown},
        {{Serving("a", kLongAgo), restarted}, RoundStep::kUnknown},
        {{young}, RoundStep::kUnknown},
        {{}, RoundStep::kUnknown},
        {{Serving("a", kLongAgo), young}, RoundStep::kAsk},
        {{Serving("a", kLongAgo)}, RoundStep::kAsk},
    };
    for (const Row& row : rows) {
      LocateRound round;
      CPPUNIT_ASSERT_EQUAL(
          static_cast<int>(row.step_),
          static_cast<int>(ContinueRound(round, {}, key, row.members_).step_));
    }
  }

  // Guards against running a request twice: a target that ends during a round
  // may have handed its records over to a target that had already answered
  // "never".
  void TargetsThatEndDuringARoundStillCount() {
    struct Row {
      bool asked_before_;  // the ending target had been asked
      bool ended_before_;  // it had ended when the round began
      RoundStep step_;
    };
    const Row rows[] = {{true, false, RoundStep::kWait},
                        {false, false, RoundStep::kUnknown},
                        {false, true, RoundStep::kRunAtHome}};
    const RequestKey key = KeyAt(kNow);
    for (const Row& row : rows) {
      Member ending = Serving("b", kLongAgo);
      ending.table_kept_ = true;
      std::vector<Member> members = {Serving("a", kLongAgo)};
      if (row.ended_before_) ending.state_ = MemberState::kGone;
      if (row.asked_before_ || row.ended_before_) members.push_back(ending);
      LocateRound round;
      ContinueRound(round, {}, key, members);
      round.asked_["a"].state_ = AskState::kNever;
      ending.state_ = MemberState::kGone;
      if (members.size() == 1) {
        members.push_back(ending);
      } else {
        members[1] = ending;
      }
      CPPUNIT_ASSERT_EQUAL(
          static_cast<int>(row.step_),
          static_cast<int>(ContinueRound(round, {}, key, members).step_));
    }
  }

  // Guards against running a request twice because two entry nodes send the
  // same key to different targets.
  void EntriesAgreeOnTheHome() {
    std::vector<Member> members;
    for (const char* name : {"a", "b", "c", "d"}) {
      members.push_back(Serving(name, kLongAgo));
    }
    std::map<std::string, int> homes;
    for (std::uint64_t id = 0; id < 400; ++id) {
      LocateRound first;
      LocateRound second;
      ContinueRound(first, {}, KeyAt(kNow, id), members);
      std::reverse(members.begin(), members.end());
      ContinueRound(second, {}, KeyAt(kNow, id), members);
      CPPUNIT_ASSERT_EQUAL(first.home_, second.home_);
      ++homes[first.home_];
    }
    for (const auto& [name, count] : homes) CPPUNIT_ASSERT(count > 60);
  }

 private:
  static Answer EmptyFinished() {
    Answer answer;
    answer.verdict_ = Verdict::kFinished;
    answer.http_status_ = 200;
    answer.body_ = std::make_shared<const std::string>("{}");
    return answer;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestsTests);

}  // namespace
}  // namespace jujubefront
