#ifndef JUJUBEFRONT_RELAY_LOCAL_BACKEND_TYPES_H_
#define JUJUBEFRONT_RELAY_LOCAL_BACKEND_TYPES_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pacing/pacing.h"
#include "relay/message_types.h"
#include "relay/relay_event_types.h"

// What a node knows of the backend server on its host.
namespace jujubefront {

// Rate limit that an incarnation of the local backend server has named.
struct NamedRateLimit {
  std::optional<double> per_second_;  // nullopt: none is known
  Timestamp named_at_;                // by the latest response that named it
  std::optional<double> logged_;      // as of the last log line
  bool answered_ = false;  // the incarnation has answered this process
  Pacer pacer_;            // of starts, while there is a limit
  Timestamp broadcast_at_;
};

// Load report of the local backend server.
struct ReceivedLoadReport {
  LoadReport report_;
  Timestamp received_at_;
};

// State of the local backend server, from its heartbeats and responses.
struct LocalBackend {
  BackendState state_ = BackendState::kUnknown;
  std::string instance_;
  std::string service_;
  std::int64_t started_at_ms_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint32_t slots_ = 0;
  Timestamp received_at_;  // of the last heartbeat
  NamedRateLimit rate_limit_;
  // The incarnation's answers state that it leaves, which is final.
  bool stated_leaving_ = false;
  std::optional<ReceivedLoadReport> load_report_;  // the latest
};

// A call of the local backend server that is answered as soon as the store
// keeps a departure.
struct UnansweredDeparture {
  std::uint64_t call_id_ = 0;
  std::uint64_t version_ = 0;  // of the list that must be kept
  Timestamp received_at_;
  Timestamp answer_at_;  // at the latest
};

// Departures of the local backend server, which also bind later processes of
// this node.
struct DepartureLog {
  std::vector<Departure> known_;    // oldest first
  std::uint64_t version_ = 0;       // rises with each addition
  std::uint64_t kept_version_ = 0;  // that the store keeps
  std::optional<std::uint64_t> saving_version_;
  bool read_ = false;  // those of earlier processes have been read
  // They have been read, or the store has not answered for some time. Until
  // then no heartbeat makes the backend server ready.
  bool decided_ = false;
  std::optional<BackendHeartbeat> held_;  // latest one until then
  std::vector<UnansweredDeparture> unanswered_;
  // An earlier process of this node may have acknowledged a departure that the
  // store does not keep.
  bool had_earlier_process_ = true;
  // The store keeps a record of this node, by which later processes know that
  // there was an earlier one, and the first one must be written now.
  bool recorded_ = false;
  bool record_due_ = false;
};

// Health checks by which a heartbeat is known to be from after the start of
// this process.
struct HealthChecks {
  bool in_progress_ = false;
  bool name_instances_ = true;  // the backend server's answers do
  std::string confirmed_;       // instance that was healthy; empty: none
};

// A run that has ended without a response.
struct UnansweredRun {
  std::string trace_id_;
  std::string instance_;
  std::int64_t backend_started_at_ms_ = 0;
  Fingerprint content_;
  std::string caller_service_;
  std::uint64_t connection_id_ = 0;  // of the entry; 0: this node
  Timestamp started_at_;
  Timestamp ended_at_;
};

// An incarnation of a backend server that ended without deregistering.
struct EndedBackend {
  std::string instance_;
  std::int64_t started_at_ms_ = 0;
  Timestamp last_start_;  // runs started later found it ended already
  std::string_view how_;  // evidence of the end, for the log
};

// Evidence that an incarnation of the local backend server has ended, and the
// runs that may have been in progress at that time.
struct CrashEvidence {
  EndedBackend ended_;                    // the most recent one
  std::deque<UnansweredRun> unanswered_;  // oldest first
  // Runs that broke after the end was detected and are not reported yet.
  std::vector<UnansweredRun> unreported_;
  // First broken run since the backend server was last known to be up.
  std::optional<Timestamp> first_break_at_;
  bool probing_ = false;
  bool probe_again_ = false;  // a run broke while a probe was in progress
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAY_LOCAL_BACKEND_TYPES_H_
