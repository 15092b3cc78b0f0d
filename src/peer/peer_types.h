#ifndef JUJUBEFRONT_PEER_PEER_TYPES_H_
#define JUJUBEFRONT_PEER_PEER_TYPES_H_

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "configuration/configuration_types.h"
#include "context/context_types.h"
#include "membership/membership_types.h"
#include "requests/requests_types.h"

namespace jujubefront {

// Process that a message is addressed to. Any other process refuses it without
// acting on it.
struct Addressee {
  std::string name_;
  Incarnation incarnation_ = 0;
};

// Asks a target to run a call. The receiver computes the deadline of the
// context from the remaining time, since clocks differ.
struct RunRequest {
  Addressee to_;
  CallContext context_;
  Duration remaining_ = Duration::zero();
  Payload body_;
};

struct RunReply {
  Answer answer_;
  std::uint64_t body_length_ = 0;  // as stated by the sender
};

// Asks a target for the state of a key. Seals the key there if it never ran.
struct AskRequest {
  Addressee to_;
  RequestKey key_;
  std::string service_;
  bool as_home_ = false;  // do not seal: the call may be sent here next
};

struct AskReply {
  AskVerdict verdict_ = AskVerdict::kNever;
  Answer answer_;  // with kFinished
  std::uint64_t body_length_ = 0;
  std::vector<Member> members_;  // members of the service known to the target
};

// A charge against a key, for other nodes of the zone.
struct Charge {
  RequestKey key_;
  std::uint32_t charges_ = 0;
};

// Gossip message, used as a request and as its reply.
struct Exchange {
  std::string from_;
  std::uint64_t digest_ = 0;  // of the sender's member list
  // True once the sender has received everything from the shared log, or from
  // an established peer. Without this, two new processes that know only each
  // other would take their member lists for complete.
  bool established_ = false;
  LogOffset applied_ = kNoOffset;
  std::vector<Member> members_;
  std::vector<Charge> charges_;
  SnapshotRecord document_;  // sections newer than the receiver's, if known
};

// Sent by a joining target to be stored as a member before it accepts calls
// with a key.
struct JoinRequest {
  Member member_;
};

struct JoinReply {
  std::vector<Member> members_;  // of the same service
};

// Hands over the recorded answers of a target that leaves.
struct HandOverRequest {
  Addressee to_;
  std::string from_;
  std::vector<std::pair<RequestKey, Answer>> records_;
};

struct HandOverReply {
  std::uint64_t accepted_ = 0;
};

// Refusal: the receiver is not the addressee, or does not currently accept this
// kind of message.
struct PeerRefusal {
  Reason reason_ = Reason::kOtherIncarnation;
};

using PeerMessage = std::variant<RunRequest, RunReply, AskRequest, AskReply,
                                 Exchange, JoinRequest, JoinReply,
                                 HandOverRequest, HandOverReply, PeerRefusal>;

// Why a message to a peer got no reply.
enum class PeerFailure : std::uint8_t {
  kNotSent,    // the message did not reach the peer
  kLost,       // the message may have reached the peer
  kMalformed,  // the reply could not be decoded
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_PEER_PEER_TYPES_H_
