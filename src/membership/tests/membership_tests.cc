#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "membership/membership.h"
#include "membership/rumors.h"

namespace jujubefront {
namespace {

const Timestamp kNow(std::chrono::seconds(1'790'000'000));

Member MakeMember(const std::string& name, Incarnation incarnation,
                  MemberState state) {
  return {.name_ = name,
          .incarnation_ = incarnation,
          .state_ = state,
          .serving_since_ = state == MemberState::kJoining ? Timestamp() : kNow,
          .zone_ = "a",
          .region_ = "r",
          .service_ = "dispatch",
          .rpc_address_ = "127.0.0.1:1"};
}

class MembershipTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTests);
  CPPUNIT_TEST(OlderRecordsNeverReplaceNewer);
  CPPUNIT_TEST(MergeOrderDoesNotMatter);
  CPPUNIT_TEST(ReplacementWithoutHandOverIsRemembered);
  CPPUNIT_TEST(MessagesStayBounded);
  CPPUNIT_TEST(DifferingListsConvergeInBatches);
  CPPUNIT_TEST(AZoneHasAFewReaders);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OlderRecordsNeverReplaceNewer() {
    struct Row {
      Incarnation first_;
      MemberState first_state_;
      Incarnation second_;
      MemberState second_state_;
      bool replaces_;
    };
    const Row rows[] = {
        {1, MemberState::kServing, 1, MemberState::kJoining, false},
        {1, MemberState::kServing, 1, MemberState::kLeaving, true},
        {1, MemberState::kGone, 1, MemberState::kServing, false},
        {1, MemberState::kGone, 2, MemberState::kJoining, true},
        {2, MemberState::kJoining, 1, MemberState::kGone, false},
    };
    for (const Row& row : rows) {
      MembershipState state;
      MergeMember(state, {}, kNow,
                  MakeMember("n", row.first_, row.first_state_));
      const MergeResult result = MergeMember(
          state, {}, kNow, MakeMember("n", row.second_, row.second_state_));
      CPPUNIT_ASSERT_EQUAL(row.replaces_, result == MergeResult::kUpdated);
    }
  }

  // Guards against nodes that never agree: the same records reach them over
  // different paths, in different orders.
  void MergeOrderDoesNotMatter() {
    CPPUNIT_ASSERT(rc::check("merge order does not matter", [] {
      const auto codes =
          *rc::gen::container<std::vector<int>>(10, rc::gen::inRange(0, 36));
      std::vector<Member> records;
      records.reserve(codes.size());
      for (const int code : codes) {
        records.push_back(MakeMember(std::to_string(code % 3),
                                     static_cast<Incarnation>(code / 12 + 1),
                                     static_cast<MemberState>(code / 3 % 4)));
      }
      MembershipState forward;
      MembershipState backward;
      for (std::size_t i = 0; i < records.size(); ++i) {
        MergeMember(forward, {}, kNow, records[i]);
        MergeMember(backward, {}, kNow, records[records.size() - 1 - i]);
      }
      RC_ASSERT(forward.digest_ == backward.digest_);
    }));
  }

  // Guards against running a non-idempotent request twice: a process that
  // replaces one that ended without handing over its request table must not
  // accept keys that may have run there.
  void ReplacementWithoutHandOverIsRemembered() {
    struct Row {
      MemberState last_state_;
      bool table_kept_;
      bool lost_;
    };
    const Row rows[] = {{MemberState::kServing, false, true},
                        {MemberState::kJoining, false, false},
                        {MemberState::kGone, true, false},
                        {MemberState::kGone, false, true}};
    const Incarnation successor = 1'790'000'100'000'000ULL;
    for (const Row& row : rows) {
      MembershipState state;
      Member first = MakeMember("n", 1, row.last_state_);
      first.table_kept_ = row.table_kept_;
      MergeMember(state, {}, kNow, first);
      MergeMember(state, {}, kNow,
                  MakeMember("n", successor, MemberState::kJoining));
      const Member* member = FindMember(state, "n");
      CPPUNIT_ASSERT_EQUAL(row.lost_,
                           member->memory_lost_before_ != Timestamp());
      // The successor itself learns of it, in whichever order the records come.
      MembershipState successor_state;
      UpdateSelf(successor_state, {}, kNow,
                 MakeMember("n", successor, MemberState::kJoining));
      MergeMember(successor_state, {}, kNow, first);
      member = FindMember(successor_state, "n");
      CPPUNIT_ASSERT_EQUAL(row.lost_,
                           member->memory_lost_before_ != Timestamp());
    }
  }

  // Guards against gossip messages that grow with the size of the fleet.
  void MessagesStayBounded() {
    const MembershipOptions options;
    for (const int members : {10, 100, 1000}) {
      MembershipState state;
      for (int i = 0; i < members; ++i) {
        MergeMember(state, options, kNow,
                    MakeMember(std::to_string(i), 1, MemberState::kServing));
      }
      const auto records = SelectUpdates(state, options, true);
      CPPUNIT_ASSERT(records.size() <= options.max_members_per_message_);
    }
  }

  // Guards against a member that stays unknown to a node: once a record has
  // been sent often enough, only the exchange after differing digests sends it
  // again.
  void DifferingListsConvergeInBatches() {
    const MembershipOptions options;
    MembershipState full;
    MembershipState empty;
    for (int i = 0; i < 500; ++i) {
      MergeMember(full, options, kNow,
                  MakeMember(std::to_string(i), 1, MemberState::kServing));
    }
    for (auto& [name, entry] : full.members_) entry.sends_left_ = 0;
    int rounds = 0;
    while (full.digest_ != empty.digest_ && rounds < 100) {
      for (const Member& member : SelectUpdates(full, options, true)) {
        MergeMember(empty, options, kNow, member);
      }
      ++rounds;
    }
    CPPUNIT_ASSERT_EQUAL(21, rounds);
  }

  // Guards against all nodes of a zone reading the shared log, or none.
  void AZoneHasAFewReaders() {
    int readers = 0;
    for (int self = 0; self < 30; ++self) {
      MembershipState state;
      UpdateSelf(state, {}, kNow,
                 MakeMember(std::to_string(self), 1, MemberState::kServing));
      for (int i = 0; i < 30; ++i) {
        MergeMember(state, {}, kNow,
                    MakeMember(std::to_string(i), 1, MemberState::kServing));
      }
      if (IsLogReader(state, 3)) ++readers;
    }
    CPPUNIT_ASSERT_EQUAL(3, readers);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTests);

}  // namespace
}  // namespace jujubefront
