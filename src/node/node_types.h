#ifndef JUJUBEFRONT_NODE_NODE_TYPES_H_
#define JUJUBEFRONT_NODE_NODE_TYPES_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "admission/admission_types.h"
#include "admission/level.h"
#include "base/hashing.h"
#include "configuration/configuration_types.h"
#include "membership/membership_types.h"
#include "node/effect_types.h"
#include "node/event_types.h"
#include "requests/requests_types.h"
#include "retries/retries_types.h"
#include "routing/routing_types.h"
#include "suspicion/suspicion_types.h"

namespace jujubefront {

// Settings and identity of a node, which do not change while it runs.
struct NodeOptions {
  std::string name_;
  std::string zone_;
  std::string region_;
  std::string service_;      // offered by the local backend server
  std::string rpc_address_;  // IP:port
  Incarnation incarnation_ = 0;
  std::uint64_t seed_ = 0;
  MembershipOptions membership_;
  AdmissionOptions admission_;
  RoutingOptions routing_;
  RetryOptions retries_;
  RequestOptions requests_;
  // Charges are counted per request key. A key is condemned on its second
  // charge: a node runs one suspect at a time, so the second crash identifies
  // the request that caused both.
  SuspicionOptions suspicion_{.min_charges_to_contain_ = 1,
                              .min_charges_to_condemn_ = 2,
                              .charge_ttl_ = std::chrono::minutes(2),
                              .condemnation_ttl_ = std::chrono::minutes(1)};
  std::uint32_t max_depth_ = 32;
  std::uint32_t log_readers_per_zone_ = 3;
  Duration log_poll_interval_ = std::chrono::milliseconds(500);
  Duration log_retry_interval_ = std::chrono::seconds(2);
  Duration announce_interval_ = std::chrono::minutes(10);
  // A snapshot is due when the last one is this old or this many records have
  // followed it.
  Duration snapshot_interval_ = std::chrono::minutes(10);
  LogOffset snapshot_records_ = 500;
  Duration peer_timeout_ = std::chrono::seconds(1);
  Duration ask_interval_ = std::chrono::milliseconds(50);
  Duration join_interval_ = std::chrono::milliseconds(200);
  // How long past the deadline of a non-idempotent run the backend server's
  // answer is still awaited before the run is aborted.
  Duration answer_grace_ = std::chrono::seconds(5);
  Duration drain_quiet_time_ = std::chrono::seconds(3);
  Duration stop_deadline_ = std::chrono::seconds(30);
};

// What a call is waiting for.
enum class CallPhase : std::uint8_t {
  kRunning,   // for the target that it was sent to
  kAsking,    // for the one target that may have run it to say whether it did
  kLocating,  // for a locate round: every target that can hold the key
};

// A call from a caller or the local backend server that is not answered yet.
struct CallState {
  std::uint64_t call_id_ = 0;
  CallContext context_;
  Payload body_;
  std::uint32_t attempt_ = 0;
  std::optional<std::uint64_t> parent_run_;
  CallPhase phase_ = CallPhase::kRunning;
  std::string target_;
  Incarnation target_incarnation_ = 0;
  bool by_ticket_ = false;  // the caller's ticket names the target
  bool sent_ = false;       // a target may have received it
  std::uint64_t send_id_ = 0;
  std::uint32_t tries_ = 0;
  std::set<std::string> tried_;
  LocateRound round_;
  Timestamp started_at_;
};

// A peer's request that is replied to when a run ends.
struct RunWaiter {
  std::uint64_t inbound_id_ = 0;
  bool is_question_ = false;  // an AskRequest, not a RunRequest
};

// A call at the target that runs it, queued or started.
struct RunState {
  std::uint64_t run_id_ = 0;
  CallContext context_;
  Payload body_;
  bool started_ = false;  // sent to the backend server
  std::vector<RunWaiter> waiters_;
  Timestamp arrived_at_;
  Timestamp started_at_;
  std::uint32_t children_ = 0;  // child calls in flight
  Timestamp child_since_;       // since when children_ is above zero
  // Total time during which at least one child call was in flight.
  Duration child_time_ = Duration::zero();
  std::map<std::string, std::uint64_t> child_counts_;  // by service
};

// Why a request was sent to a peer.
enum class SendPurpose : std::uint8_t {
  kRun,
  kAsk,       // question to the one target that may have run the call
  kRoundAsk,  // question to one of the targets of a locate round
  kExchange,
  kJoin,
  kHandOver,
};

// A request to a peer whose reply is pending.
struct SendState {
  SendPurpose purpose_ = SendPurpose::kRun;
  std::uint64_t call_id_ = 0;
  std::string peer_;
  Incarnation incarnation_ = 0;
  bool as_home_ = false;
  Timestamp sent_at_;
};

// What happens when a timer is due.
enum class TimerKind : std::uint8_t {
  kCallDeadline,
  kRunDeadline,
  kAskAgain,
  kSweep,
  kGossip,
  kEarlyExchange,
  kLogPoll,
  kJoin,
  kDrain,
  kHousekeeping,
};

struct Timer {
  Timestamp at_;
  TimerKind kind_ = TimerKind::kSweep;
  std::uint64_t id_ = 0;

  bool operator<(const Timer& other) const {
    return std::tie(at_, kind_, id_) <
           std::tie(other.at_, other.kind_, other.id_);
  }
};

// Counts since the start of the node.
struct NodeCounters {
  std::uint64_t calls_ = 0;
  std::uint64_t finished_ = 0;
  std::uint64_t not_run_ = 0;
  std::uint64_t unknown_ = 0;
  std::uint64_t failed_ = 0;
  std::uint64_t refused_at_entry_ = 0;  // by level, before any send
  std::uint64_t sends_ = 0;
  std::uint64_t retries_ = 0;
  std::uint64_t runs_started_ = 0;
  std::uint64_t runs_finished_ = 0;
  std::uint64_t runs_refused_ = 0;
  std::uint64_t runs_late_ = 0;
  std::uint64_t late_answers_ = 0;  // to calls that had already ended
  std::uint64_t replays_ = 0;
  std::uint64_t joins_ = 0;
  std::uint64_t rounds_ = 0;
  std::uint64_t questions_ = 0;
  std::uint64_t corrupt_answers_ = 0;
  std::uint64_t crossings_ = 0;
  std::uint64_t exchanges_ = 0;
  std::uint64_t log_reads_ = 0;
  std::uint64_t log_appends_ = 0;
  std::uint64_t log_failures_ = 0;
  std::uint64_t handed_over_ = 0;
};

// Progress of joining and leaving the membership.
struct LifecycleState {
  MemberState state_ = MemberState::kJoining;
  bool established_ = false;  // has read all members known to the log or a peer
  LogOffset announced_at_ = kNoOffset;
  std::uint64_t announce_append_ = 0;  // pending append, 0 if there is none
  Timestamp last_announced_;
  std::map<std::string, Incarnation> acknowledged_;  // by service peers
  // Since when every peer of the service has acknowledged this node.
  Timestamp acknowledged_since_;
  Timestamp drain_started_;
  bool handing_over_ = false;
  std::set<std::string> handover_targets_tried_;
  bool stopped_ = false;
};

// Progress of reading the log.
struct LogReaderState {
  LogOffset next_ = 0;
  bool reached_end_ = false;
  bool reading_ = false;
  bool available_ = true;
  bool document_changed_ = false;  // by records of the current replay
  // Whether the document is as recent as the log's or a peer's. Until then
  // calls are refused, because an older document must not come into force.
  bool caught_up_ = false;
  Timestamp last_snapshot_;  // when one was last read or written
};

// The complete state of a node.
struct NodeState {
  RandomState random_;
  std::uint64_t last_id_ = 0;
  ConfigurationState configuration_;
  MembershipState membership_;
  AdmissionState admission_;
  RoutingState routing_;
  RetryBudget retry_budget_;
  RequestTable requests_;
  SuspicionState suspicion_;
  std::uint32_t suspects_running_ = 0;
  LifecycleState lifecycle_;
  LogReaderState log_;
  std::unordered_map<std::uint64_t, CallState> calls_;
  std::unordered_map<std::uint64_t, RunState> runs_;
  std::unordered_map<std::uint64_t, SendState> sends_;
  std::unordered_map<std::uint64_t, std::uint64_t> run_of_inbound_;
  // Admission levels reported by called services, by class of the calling run
  // and by service.
  std::map<std::string, std::map<std::string, ReportedLevel>> downstream_;
  std::set<Timer> timers_;
  bool sweep_scheduled_ = false;
  bool early_exchange_scheduled_ = false;
  NodeCounters counters_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_NODE_NODE_TYPES_H_
