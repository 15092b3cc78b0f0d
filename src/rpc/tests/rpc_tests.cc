#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <future>
#include <thread>

#include "rpc/peer_codec.h"
#include "rpc/rpc_host.h"

namespace jujubefront {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(10);

PeerMessage MakeRun() {
  RunRequest request{.to_ = {"n", 7}, .remaining_ = Duration(5)};
  request.context_.service_ = "dispatch";
  request.context_.credit_ = 2;
  request.body_ = std::make_shared<const std::string>(100'000, 'x');
  return request;
}

// Records the handler calls of one RpcHost.
struct Inbox {
  std::promise<std::pair<std::uint64_t, PeerMessage>> request_;
  std::promise<std::uint64_t> withdrawn_;
  std::promise<PeerMessage> reply_;
  std::promise<PeerFailure> failure_;

  RpcHandlers Handlers() {
    return {
        .on_request_ =
            [this](std::uint64_t id, PeerMessage message) {
              request_.set_value({id, std::move(message)});
            },
        .on_withdrawn_ = [this](std::uint64_t id) { withdrawn_.set_value(id); },
        .on_reply_ =
            [this](std::uint64_t, PeerMessage message) {
              reply_.set_value(std::move(message));
            },
        .on_failure_ =
            [this](std::uint64_t, PeerFailure failure) {
              failure_.set_value(failure);
            }};
  }
};

template <typename T>
T Wait(std::promise<T>& promise) {
  auto future = promise.get_future();
  CPPUNIT_ASSERT(future.wait_for(kTimeout) == std::future_status::ready);
  return future.get();
}

class RpcTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RpcTests);
  CPPUNIT_TEST(MessagesRoundTrip);
  CPPUNIT_TEST(DecoderSurvivesAlteredBytes);
  CPPUNIT_TEST(RequestGetsItsReply);
  CPPUNIT_TEST(WithdrawalReachesThePeer);
  CPPUNIT_TEST(UnreachableAndSilentPeersDiffer);
  CPPUNIT_TEST(IdleConnectionsAreClosedAndOpenedAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MessagesRoundTrip() {
    Answer answer{.verdict_ = Verdict::kFinished, .http_status_ = 200};
    answer.body_ = std::make_shared<const std::string>("{}");
    const PeerMessage rows[] = {
        MakeRun(),
        RunReply{.answer_ = answer, .body_length_ = 2},
        AskRequest{.to_ = {"n", 7}, .service_ = "s", .as_home_ = true},
        AskReply{.verdict_ = AskVerdict::kSealed,
                 .members_ = {Member{.name_ = "m"}}},
        Exchange{.from_ = "n",
                 .established_ = true,
                 .applied_ = 4,
                 .members_ = {Member{.name_ = "m"}},
                 .charges_ = {Charge{.charges_ = 2}},
                 .document_ = {.as_of_ = 4, .sections_ = {{.name_ = "s"}}}},
        JoinRequest{.member_ = {.name_ = "m"}},
        JoinReply{.members_ = {Member{.name_ = "m"}}},
        HandOverRequest{.from_ = "n", .records_ = {{RequestKey{1, 2}, answer}}},
        HandOverReply{.accepted_ = 3},
        PeerRefusal{.reason_ = Reason::kLeaving}};
    for (const PeerMessage& row : rows) {
      const auto first = Encoded(row);
      capnp::FlatArrayMessageReader reader(first);
      const auto decoded = DecodeMessage(reader.getRoot<wire::Message>());
      CPPUNIT_ASSERT(decoded.has_value());
      CPPUNIT_ASSERT(decoded->index() == row.index());
      CPPUNIT_ASSERT(Encoded(*decoded).asBytes() == first.asBytes());
    }
  }

  void DecoderSurvivesAlteredBytes() {
    CPPUNIT_ASSERT(rc::check("decoder survives altered bytes", [] {
      auto words = Encoded(MakeRun());
      kj::ArrayPtr<kj::byte> bytes = words.asBytes();
      for (int i = 0; i < 8; ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, 400);
        bytes[at] = *rc::gen::arbitrary<std::uint8_t>();
      }
      try {
        capnp::FlatArrayMessageReader reader(words);
        DecodeMessage(reader.getRoot<wire::Message>());
      } catch (const kj::Exception&) {
        // Cap'n Proto throws if the framing or a pointer is malformed.
      }
    }));
  }

  void RequestGetsItsReply() {
    Inbox server_inbox;
    Inbox client_inbox;
    RpcHost server({.listen_address_ = "127.0.0.1:0"}, server_inbox.Handlers());
    RpcHost client({.listen_address_ = "127.0.0.1:0"}, client_inbox.Handlers());
    const auto port = server.Start();
    CPPUNIT_ASSERT(port && client.Start());
    client.Send(1, "127.0.0.1:" + std::to_string(*port), MakeRun(), kTimeout);
    const auto [id, message] = Wait(server_inbox.request_);
    const auto& request = std::get<RunRequest>(message);
    CPPUNIT_ASSERT_EQUAL(std::size_t{100'000}, request.body_->size());
    server.Reply(id, HandOverReply{.accepted_ = 9});
    const PeerMessage reply = Wait(client_inbox.reply_);
    CPPUNIT_ASSERT(std::get<HandOverReply>(reply).accepted_ == 9);
  }

  void WithdrawalReachesThePeer() {
    Inbox server_inbox;
    Inbox client_inbox;
    RpcHost server({.listen_address_ = "127.0.0.1:0"}, server_inbox.Handlers());
    RpcHost client({.listen_address_ = "127.0.0.1:0"}, client_inbox.Handlers());
    const auto port = server.Start();
    CPPUNIT_ASSERT(port && client.Start());
    client.Send(1, "127.0.0.1:" + std::to_string(*port), MakeRun(), kTimeout);
    const auto id = Wait(server_inbox.request_).first;
    client.Withdraw(1);
    CPPUNIT_ASSERT_EQUAL(id, Wait(server_inbox.withdrawn_));
  }

  void UnreachableAndSilentPeersDiffer() {
    Inbox server_inbox;
    Inbox first;
    Inbox second;
    RpcHost server({.listen_address_ = "127.0.0.1:0"}, server_inbox.Handlers());
    const auto port = server.Start();
    RpcHost refused({.listen_address_ = "127.0.0.1:0"}, first.Handlers());
    RpcHost timed_out({.listen_address_ = "127.0.0.1:0"}, second.Handlers());
    CPPUNIT_ASSERT(port && refused.Start() && timed_out.Start());
    refused.Send(1, "127.0.0.1:1", MakeRun(), kTimeout);
    CPPUNIT_ASSERT(Wait(first.failure_) == PeerFailure::kNotSent);
    timed_out.Send(1, "127.0.0.1:" + std::to_string(*port), MakeRun(),
                   std::chrono::milliseconds(200));
    CPPUNIT_ASSERT(Wait(second.failure_) == PeerFailure::kLost);
  }

  void IdleConnectionsAreClosedAndOpenedAgain() {
    // The server replies to every request immediately.
    RpcHost* server_host = nullptr;
    RpcHandlers handlers;
    handlers.on_request_ = [&](std::uint64_t id, const PeerMessage&) {
      server_host->Reply(id, HandOverReply{});
    };
    handlers.on_withdrawn_ = [](std::uint64_t) {};
    RpcHost server({.listen_address_ = "127.0.0.1:0"}, handlers);
    server_host = &server;
    const auto port = server.Start();
    CPPUNIT_ASSERT(port.has_value());
    const std::string address = "127.0.0.1:" + std::to_string(*port);
    Inbox first;
    auto client_handlers = first.Handlers();
    std::promise<PeerMessage> second;
    client_handlers.on_reply_ = [&](std::uint64_t id, PeerMessage message) {
      (id == 1 ? first.reply_ : second).set_value(std::move(message));
    };
    RpcHost client({.listen_address_ = "127.0.0.1:0",
                    .idle_timeout_ = std::chrono::milliseconds(20)},
                   client_handlers);
    CPPUNIT_ASSERT(client.Start());
    client.Send(1, address, MakeRun(), kTimeout);
    Wait(first.reply_);
    while (client.OpenConnections() > 0) std::this_thread::yield();
    client.Send(2, address, MakeRun(), kTimeout);
    Wait(second);
  }

 private:
  static kj::Array<capnp::word> Encoded(const PeerMessage& message) {
    capnp::MallocMessageBuilder builder;
    EncodeMessage(message, builder.initRoot<wire::Message>());
    return capnp::messageToFlatArray(builder);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RpcTests);

}  // namespace
}  // namespace jujubefront
