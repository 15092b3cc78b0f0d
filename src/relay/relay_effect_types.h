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

// Final answer to a request, with the values that metrics record.
struct AnswerRequest {
  std::uint64_t request_id_ = 0;
  Http1Response response_;
  std::string trace_id_;
  bool made_by_node_ = false;  // not a backend server's response
  std::string route_;
  Duration elapsed_ = Duration::zero();
};

// Sends a message on the connection that this node opened to a peer.
struct SendToPeer {
  std::string peer_;
  LinkMessage message_;
};

// Sends a message on a connection that a peer opened.
struct SendBack {
  std::uint64_t connection_id_ = 0;
  LinkMessage message_;
};

// Opens, or reopens, this node's connection to a peer.
struct ConnectPeer {
  std::string peer_;
};

// Closes this node's connection to a peer.
struct DisconnectPeer {
  std::string peer_;
};

// Sends a request to the local backend server.
struct StartRun {
  std::uint64_t run_id_ = 0;
  std::string address_;
  std::string instance_;
  std::string caller_service_;
  std::string workspace_;
  Duration remaining_ = Duration::zero();
  Http1Request request_;
};

// Abandons a run and closes its connection to the backend server.
struct AbortRun {
  std::uint64_t run_id_ = 0;
};

// Checks whether the local backend server still listens; BackendProbed follows.
struct ProbeBackend {};

// Asks the local backend server whether it is healthy; BackendHealthChecked
// follows.
struct CheckBackendHealth {
  std::string address_;
  std::string path_;
};

// Reads the latest routing document from the store.
struct ReadTable {
  // Idle connections to the store are not used: they may be silent.
  bool new_connection_ = false;
};

// Polls the store for documents after an offset.
struct AwaitTable {
  std::uint64_t from_ = 0;
  Duration wait_ = Duration::zero();  // maximum
  bool new_connection_ = false;       // as of ReadTable
};

// Gives up the poll for documents. Its result is not reported.
struct AbandonPoll {};

// Lists this node in the store.
struct AnnounceNode {};

// Reads the list of nodes from the store.
struct ReadNodes {};

// Reads the charges of all condemned contents from the store.
struct ReadCharges {};

// Keeps the charges of a condemned content in the store, where processes that
// start later find them. Without charges, removes the content from the store.
struct SaveCharges {
  Fingerprint content_;
  std::vector<ContentCharge> charges_;
};

// Reads the departures of the local backend server from the store.
struct ReadDepartures {};

// Replaces the departures of the local backend server that the store keeps for
// later processes of this node.
struct SaveDepartures {
  std::vector<Departure> departures_;
};

// Answers a heartbeat or a deregistration of the local backend server.
struct AnswerBackend {
  std::uint64_t call_id_ = 0;
  bool accepted_ = true;
};

// Applies the routing document's limits on client connections.
struct ApplyClientLimits {
  ClientLimits limits_;
};

// Sets whether the platform may route clients to this node.
struct SetReady {
  bool ready_ = false;
};

// From now on every answer asks its client to close the connection.
struct CloseClients {};

// Exits the process as soon as its responses are delivered.
struct EndProcess {
  std::uint64_t cut_off_ = 0;  // requests left without an answer
  Timestamp deliver_until_;    // exits then at the latest
};

// Kind of an entry in the decision log.
enum class DecisionKind : std::uint8_t {
  kAnswered,
  kRefused,
  kFailed,
  kCancelled,
  kClientCutOff,  // the connection of a client was closed
  kSent,
  kResent,
  kRunStarted,
  kRunRefused,
  kRunEnded,
  kRunBroken,
  kBackendChanged,
  kBackendEnded,
  kDepartureRecorded,  // the local backend server announced its end
  kDepartureKept,      // the store keeps it
  kDepartureNotKept,   // acknowledged, though the store does not keep it yet
  kDeparturesRead,     // or the store did not answer
  kHeartbeatHeld,      // it may be from before the start of this process
  kHealthChecked,      // of the local backend server
  kRateLimitChanged,   // named by the local backend server
  kContentCharged,
  kContentCleared,
  kPeerChanged,
  kPeersLost,  // most peers are silent: this node is cut off
  kPeersBack,
  kTableChanged,
  kStoreLost,
  kStoreBack,
  kStoreUnanswered,  // a call has had no response in time
  kPollGivenUp,      // a poll is past its wait, and the document may be old
  kStoreRestored,    // it came back from an older copy
  kReaderChanged,    // this node begins or ceases to poll the store
  kAdmissionChanged,
  kStopping,
  kReloaded,
  kInputUnreadable,  // the last one, see kDecisionKinds
};

inline constexpr std::size_t kDecisionKinds =
    static_cast<std::size_t>(DecisionKind::kInputUnreadable) + 1;

using DecisionValue = std::variant<std::string, std::int64_t, double>;

// A decision or a state change, with the inputs that led to it.
struct Decision {
  DecisionKind kind_ = DecisionKind::kAnswered;
  std::string trace_id_;  // of the request, if it concerns one
  std::vector<std::pair<std::string_view, DecisionValue>> inputs_;
};

using RelayEffect = std::variant<
    AnswerRequest, SendToPeer, SendBack, ConnectPeer, DisconnectPeer, StartRun,
    AbortRun, ProbeBackend, CheckBackendHealth, ReadTable, AwaitTable,
    AbandonPoll, AnnounceNode, ReadNodes, ReadCharges, SaveCharges,
    ReadDepartures, SaveDepartures, AnswerBackend, ApplyClientLimits, SetReady,
    CloseClients, EndProcess, Decision>;

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAY_RELAY_EFFECT_TYPES_H_
