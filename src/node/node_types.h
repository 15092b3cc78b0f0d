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

// Everything that is fixed for the life of a node.
struct NodeOptions {
  std::string name_;
  std::string zone_;
  std::string region_;
  std::string service_;      // that the host's backend server offers
  std::string rpc_address_;  // IP:port
  Incarnation incarnation_ = 0;
  std::uint64_t seed_ = 0;
  MembershipOptions membership_;
  AdmissionOptions admission_;
  RoutingOptions routing_;
  RetryOptions retries_;
  RequestOptions requests_;
  // Keys are charged by number. The second crash names the one that caused
  // both, as a suspect runs where no other does.
  SuspicionOptions suspicion_{.min_charges_to_contain_ = 1,
                              .min_charges_to_condemn_ = 2,
                              .charge_ttl_ = std::chrono::minutes(2),
                              .condemnation_ttl_ = std::chrono::minutes(1)};
  std::uint32_t max_depth_ = 32;
  std::uint32_t log_readers_per_zone_ = 3;
  Duration log_poll_interval_ = std::chrono::milliseconds(500);
  Duration log_retry_interval_ = std::chrono::seconds(2);
  Duration announce_interval_ = std::chrono::minutes(10);
  // A snapshot is due after this time or this many records without one.
  Duration snapshot_interval_ = std::chrono::minutes(10);
  LogOffset snapshot_records_ = 500;
  Duration peer_timeout_ = std::chrono::seconds(1);
  Duration ask_interval_ = std::chrono::milliseconds(50);
  Duration join_interval_ = std::chrono::milliseconds(200);
  // Time after the last run of a non-idempotent call was due that its answer
  // is still waited for.
  Duration answer_grace_ = std::chrono::seconds(5);
  Duration drain_quiet_time_ = std::chrono::seconds(3);
  Duration stop_deadline_ = std::chrono::seconds(30);
};

// What a call does at present.
enum class CallPhase : std::uint8_t {
  kRunning,   // sent to a target
  kAsking,    // asks the one target that may have run it
  kLocating,  // asks every target that can hold the key
};

// A call of a caller or of the own backend server, until it is answered.
struct CallState {
  std::uint64_t call_id_ = 0;
  CallContext context_;
  Payload body_;
  std::uint32_t attempt_ = 0;
  std::optional<std::uint64_t> parent_run_;
  CallPhase phase_ = CallPhase::kRunning;
  std::string target_;
  Incarnation target_incarnation_ = 0;
  bool by_ticket_ = false;
  bool sent_ = false;  // some target may have got it
  std::uint64_t send_id_ = 0;
  std::uint32_t tries_ = 0;
  std::set<std::string> tried_;
  LocateRound round_;
  Timestamp started_at_;
};

// A reply that waits for a run to end.
struct RunWaiter {
  std::uint64_t inbound_id_ = 0;
  bool is_question_ = false;  // an AskRequest, not a RunRequest
};

// A call at its target.
struct RunState {
  std::uint64_t run_id_ = 0;
  CallContext context_;
  Payload body_;
  bool started_ = false;  // handed to the backend server
  std::vector<RunWaiter> waiters_;
  Timestamp arrived_at_;
  Timestamp started_at_;
  std::uint32_t children_ = 0;  // child calls under way
  Timestamp child_since_;
  Duration child_time_ = Duration::zero();
  std::map<std::string, std::uint64_t> child_counts_;  // per service
};

// Why a request was sent to a peer.
enum class SendPurpose : std::uint8_t {
  kRun,
  kAsk,       // the one target of a call
  kRoundAsk,  // one target of a locate round
  kExchange,
  kJoin,
  kHandOver,
};

struct SendState {
  SendPurpose purpose_ = SendPurpose::kRun;
  std::uint64_t call_id_ = 0;
  std::string peer_;
  Incarnation incarnation_ = 0;
  bool as_home_ = false;
  Timestamp sent_at_;
};

// What a timer is for.
enum class TimerKind : std::uint8_t {
  kCallDeadline,
  kRunDeadline,
  kAskAgain,
  kSweep,
  kGossip,
  kPushNews,
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
  std::uint64_t refused_at_entry_ = 0;  // by level, before any work
  std::uint64_t sends_ = 0;
  std::uint64_t retries_ = 0;
  std::uint64_t runs_started_ = 0;
  std::uint64_t runs_finished_ = 0;
  std::uint64_t runs_refused_ = 0;
  std::uint64_t runs_late_ = 0;
  std::uint64_t late_answers_ = 0;  // to calls that were given up
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

// Progress of joining and leaving.
struct LifecycleState {
  MemberState state_ = MemberState::kJoining;
  bool established_ = false;  // knows all that the log or a peer knew
  LogOffset announced_at_ = kNoOffset;
  std::uint64_t announce_append_ = 0;  // append under way
  Timestamp last_announced_;
  std::map<std::string, Incarnation> acknowledged_;  // by peers of the service
  Timestamp remembered_at_;  // since when every peer has acknowledged
  Timestamp drain_started_;
  bool handing_over_ = false;
  std::set<std::string> heirs_tried_;
  bool stopped_ = false;
};

// Progress of reading the log.
struct LogReaderState {
  LogOffset next_ = 0;
  bool reached_end_ = false;
  bool reading_ = false;
  bool available_ = true;
  bool document_changed_ = false;  // by records of a replay under way
  // The document is as new as the log or a peer had it; before that no call
  // is taken, since an older document must not come into force.
  bool caught_up_ = false;
  Timestamp last_snapshot_;  // seen or written
};

// The whole state of a node.
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
  // Levels heard from called services, per class of the calling run.
  std::map<std::string, std::map<std::string, ReportedLevel>> downstream_;
  std::set<Timer> timers_;
  bool sweep_armed_ = false;
  bool push_armed_ = false;
  NodeCounters counters_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_NODE_NODE_TYPES_H_
