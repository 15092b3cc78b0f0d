#ifndef JUJUBEFRONT_RELAY_RELAY_EFFECT_TYPES_H_
#define JUJUBEFRONT_RELAY_RELAY_EFFECT_TYPES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "relay/message_types.h"
#include "relay/relay_event_types.h"

namespace jujubefront {

// Final answer to a request, with what metrics need.
struct AnswerRequest {
  std::uint64_t request_id_ = 0;
  Http1Response response_;
  std::string trace_id_;
  bool made_by_node_ = false;  // made by this node, not by a backend server
  std::string route_;
  Duration elapsed_ = Duration::zero();
};

// Sends a message on the own connection to a peer.
struct SendToPeer {
  std::string peer_;
  LinkMessage message_;
};

// Sends a message back on a connection that a peer opened.
struct SendBack {
  std::uint64_t connection_id_ = 0;
  LinkMessage message_;
};

// Opens the own connection to a peer, or opens it anew.
struct ConnectPeer {
  std::string peer_;
};

struct DisconnectPeer {
  std::string peer_;
};

// Hands a request to the own backend server.
struct StartRun {
  std::uint64_t run_id_ = 0;
  std::string address_;
  std::string instance_;
  std::string caller_service_;
  Duration remaining_ = Duration::zero();
  Http1Request request_;
};

// Gives a run up and closes its connection to the backend server.
struct AbortRun {
  std::uint64_t run_id_ = 0;
};

// Finds out whether the own backend server still listens.
struct ProbeBackend {};

// Reads the newest routing document.
struct ReadTable {};

// Waits for a document after this offset, for so long at most.
struct AwaitTable {
  std::uint64_t from_ = 0;
  Duration wait_ = Duration::zero();
};

// Lists this node in the store.
struct AnnounceNode {};

// Reads the nodes that the store lists.
struct ReadNodes {};

// Limits on clients that the document sets.
struct ApplyClientLimits {
  ClientLimits limits_;
};

// Whether the platform may send clients here.
struct SetReady {
  bool ready_ = false;
};

// Answers close their connections from now on.
struct CloseClients {};

// Ends the process.
struct EndProcess {
  std::uint64_t cut_off_ = 0;  // requests that the stop cut off
};

// Kind of a line in the decision log.
enum class DecisionKind : std::uint8_t {
  kAnswered,
  kRefused,
  kFailed,
  kCancelled,
  kSent,
  kResent,
  kRunStarted,
  kRunRefused,
  kRunEnded,
  kRunBroken,
  kBackendChanged,
  kBackendEnded,
  kContentCharged,
  kContentCleared,
  kPeerChanged,
  kPeersLost,  // most peers are silent
  kPeersBack,
  kTableChanged,
  kStoreLost,
  kStoreBack,
  kAdmissionChanged,
  kStopping,
  kReloaded,
  kInputUnreadable,
};

using DecisionValue = std::variant<std::string, std::int64_t, double>;

// A decision or a changed belief, with the inputs that led to it.
struct Decision {
  DecisionKind kind_ = DecisionKind::kAnswered;
  std::string trace_id_;  // of the request, if one is concerned
  std::vector<std::pair<std::string_view, DecisionValue>> inputs_;
};

using RelayEffect =
    std::variant<AnswerRequest, SendToPeer, SendBack, ConnectPeer,
                 DisconnectPeer, StartRun, AbortRun, ProbeBackend, ReadTable,
                 AwaitTable, AnnounceNode, ReadNodes, ApplyClientLimits,
                 SetReady, CloseClients, EndProcess, Decision>;

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAY_RELAY_EFFECT_TYPES_H_
