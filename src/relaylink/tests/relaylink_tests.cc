#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "http1/http1_codec.h"
#include "relaylink/link_codec.h"

namespace jujubefront {
namespace {

// Decoding and encoding again yields the same bytes; the bytes of the next
// message are left in the stream.
void CheckRoundTrip(const LinkMessage& message) {
  const std::string bytes = EncodeLinkMessage(message);
  const LinkDecodeResult decoded = DecodeLinkMessage(bytes + "rest");
  CPPUNIT_ASSERT(!decoded.malformed_);
  CPPUNIT_ASSERT_EQUAL(bytes.size(), decoded.consumed_);
  CPPUNIT_ASSERT(decoded.message_->index() == message.index());
  CPPUNIT_ASSERT(EncodeLinkMessage(*decoded.message_) == bytes);
}

std::vector<LinkMessage> Samples() {
  HostStatus status{
      .address_ = "10.0.0.1:7000",
      .boot_ = 5,
      .zone_ = "z",
      .backend_ = BackendState::kDraining,
      .slots_ = 9,
      .reads_store_ = true,
      .document_age_ = std::chrono::milliseconds(300),
      .departed_ = Departure{.left_ = {.instance_ = "i"}},
      .load_report_ = LoadReport{.running_ = 3,
                                 .waiting_ = 1,
                                 .slots_ = 9,
                                 .pace_ = 1.25,
                                 .age_ = std::chrono::milliseconds(7)}};
  status.profiles_.push_back({.route_ = "r",
                              .service_ = "",
                              .runs_ = 4,
                              .slot_seconds_ = 0.5,
                              .calls_ = {{"c", 2.0}}});
  status.demands_.push_back(
      {.route_ = "r", .priority_ = 1, .per_second_ = 2.5});
  ZoneSum sum{.zone_ = "z", .aggregator_ = "10.0.0.1:7000", .hosts_ = 3};
  sum.profiles_ = status.profiles_;
  sum.demands_ = status.demands_;
  sum.arrivals_.push_back(
      {.route_ = "r", .host_service_ = "s", .per_second_ = 1.5});
  sum.services_.push_back({.service_ = "s", .slots_ = 8, .runs_ = 5});
  RunReply reply{.send_id_ = 4,
                 .outcome_ = RunOutcome::kBroken,
                 .reason_ = NotRunReason::kRejected,
                 .calls_failed_ = true,
                 .load_report_ = LoadReport{.slots_ = 4},
                 .last_send_id_ = 6};
  reply.response_ = {.status_ = 200,
                     .headers_ = {{"A", "b"}},
                     .body_ = std::string("x\0y", 3)};
  return {status,
          RunOrder{.send_id_ = 3,
                   .instance_ = "i",
                   .content_ = {.high_ = 1, .low_ = 2},
                   .idempotent_ = true,
                   .remaining_ = Duration(77),
                   .request_ = {.method_ = "PUT",
                                .target_ = "/a",
                                .headers_ = {{"H", "v"}, {"H", "w"}},
                                .body_ = std::string(5000, 'z')}},
          reply,
          RunCancel{.send_id_ = 9},
          PeerPing{.number_ = 1},
          PeerPong{.number_ = 2},
          TableQuery{.newer_than_ = 3},
          TableText{.version_ = 4, .text_ = "{}"},
          PeersQuery{},
          PeerAddresses{.addresses_ = {"a", "b"}},
          sum,
          Departure{.left_ = {.instance_ = "i",
                              .started_at_ms_ = 5,
                              .sequence_ = 6,
                              .gone_ = true},
                    .covers_earlier_starts_ = true},
          SuspicionNotice{.charges_ = {{.content_ = {.high_ = 1, .low_ = 2},
                                        .caller_ = 3,
                                        .incarnation_ = 4,
                                        .age_ = std::chrono::seconds(5)}},
                          .clearances_ = {{.content_ = {.high_ = 6, .low_ = 7},
                                           .caller_ = 8,
                                           .age_ = std::chrono::seconds(9)}}}};
}

class RelaylinkTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelaylinkTests);
  CPPUNIT_TEST(KeepsEveryMessage);
  CPPUNIT_TEST(WaitsForWholeMessages);
  CPPUNIT_TEST(SurvivesAnyBytes);
  CPPUNIT_TEST(MessagesThatHttpCannotWriteAreMalformed);
  CPPUNIT_TEST(InvalidStatusesAreNoAnswers);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a kind of message or a field that is encoded but not
  // decoded.
  void KeepsEveryMessage() {
    for (const LinkMessage& message : Samples()) CheckRoundTrip(message);
  }

  // Guards against partially received messages being rejected or decoded: TCP
  // may deliver any part of a message first.
  void WaitsForWholeMessages() {
    for (const LinkMessage& message : Samples()) {
      const std::string bytes = EncodeLinkMessage(message);
      for (std::size_t size = 0; size < bytes.size(); size += 7) {
        const LinkDecodeResult decoded =
            DecodeLinkMessage(std::string_view(bytes).substr(0, size));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decoded.consumed_);
        CPPUNIT_ASSERT(!decoded.malformed_);
      }
    }
  }

  // Guards against a crash of the process by bytes that a peer sends: damaged
  // messages are reported as malformed or decoded to some message.
  void SurvivesAnyBytes() {
    CPPUNIT_ASSERT(rc::check("any bytes", [](const std::string& bytes) {
      DecodeLinkMessage(bytes);
    }));
    CPPUNIT_ASSERT(rc::check("a damaged message", [] {
      const auto samples = Samples();
      const auto which = *rc::gen::inRange<std::size_t>(0, samples.size());
      std::string bytes = EncodeLinkMessage(samples[which]);
      const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
      bytes[at] = *rc::gen::arbitrary<char>();
      DecodeLinkMessage(bytes);
    }));
  }

  // The HTTP library throws when it writes such a message, which would end the
  // process that received it from a peer.
  void MessagesThatHttpCannotWriteAreMalformed() {
    const std::string long_field(70'000, 'x');
    struct Row {
      const char* name_;
      LinkMessage message_;
      bool malformed_;
    };
    const auto reply = [](RunOutcome outcome, int status, HeaderList headers) {
      RunReply reply{.outcome_ = outcome};
      reply.response_ = {.status_ = status, .headers_ = std::move(headers)};
      return reply;
    };
    const auto order = [](std::string method, HeaderList headers) {
      RunOrder order;
      order.request_ = {.method_ = std::move(method),
                        .target_ = "/",
                        .headers_ = std::move(headers)};
      return order;
    };
    const Row rows[] = {
        {"reply", reply(RunOutcome::kAnswered, 200, {{"A", "b"}}), false},
        {"status too large", reply(RunOutcome::kAnswered, 1000, {}), true},
        {"status too small", reply(RunOutcome::kAnswered, 99, {}), true},
        {"no response", reply(RunOutcome::kNotRun, 0, {}), false},
        {"value of a field too long",
         reply(RunOutcome::kAnswered, 200, {{"A", long_field}}), true},
        {"name of a field too long",
         reply(RunOutcome::kAnswered, 200, {{long_field, "b"}}), true},
        {"order", order("GET", {{"A", "b"}}), false},
        {"no method", order("", {}), true},
        {"field of an order too long", order("GET", {{"A", long_field}}), true},
    };
    for (const Row& row : rows) {
      const LinkDecodeResult decoded =
          DecodeLinkMessage(EncodeLinkMessage(row.message_));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.malformed_,
                                   decoded.malformed_);
      // What is decoded can be written.
      if (row.malformed_) continue;
      if (const auto* found = std::get_if<RunOrder>(&row.message_)) {
        CPPUNIT_ASSERT(!WriteRequest(found->request_).empty());
      }
    }
  }

  // A process of an earlier version forwards statuses of 600 to 999 of its
  // backend server. They must not reach the caller, and the connection, which
  // carries other replies too, must not be closed for them. The run may have
  // run, so the reply says that it broke.
  void InvalidStatusesAreNoAnswers() {
    struct Row {
      int status_;
      bool answered_;
      bool malformed_;
    };
    // An earlier version never sends those that are malformed.
    const Row rows[] = {
        {0, false, true},    {1, false, true},    {99, false, true},
        {100, false, false}, {101, false, false}, {199, false, false},
        {200, true, false},  {599, true, false},  {600, false, false},
        {700, false, false}, {999, false, false}, {1000, false, true},
        {70000, false, true}};
    for (const Row& row : rows) {
      const std::string name = std::to_string(row.status_);
      RunReply reply{.send_id_ = 7,
                     .outcome_ = RunOutcome::kAnswered,
                     .running_ = 3,
                     .calls_failed_ = true};
      reply.response_ = {
          .status_ = row.status_, .headers_ = {{"A", "b"}}, .body_ = "body"};
      const LinkDecodeResult decoded =
          DecodeLinkMessage(EncodeLinkMessage(reply));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, row.malformed_, decoded.malformed_);
      if (row.malformed_) continue;
      const auto& read = std::get<RunReply>(*decoded.message_);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, row.answered_,
                                   read.outcome_ == RunOutcome::kAnswered);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, row.answered_ ? row.status_ : 0,
                                   read.response_.status_);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::uint64_t{7}, read.send_id_);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::uint32_t{3}, read.running_);
      if (row.answered_) continue;
      CPPUNIT_ASSERT_MESSAGE(name, read.outcome_ == RunOutcome::kBroken);
      CPPUNIT_ASSERT_MESSAGE(name, read.response_.body_.empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelaylinkTests);

}  // namespace
}  // namespace jujubefront
