#ifndef JUJUBEFRONT_RELAY_RELAY_TYPES_H_
#define JUJUBEFRONT_RELAY_RELAY_TYPES_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "allocation/allocation.h"
#include "base/hashing.h"
#include "callgraph/callgraph.h"
#include "placement/placement.h"
#include "relay/relay_effect_types.h"
#include "relay/relay_event_types.h"
#include "retries/retry_allowance.h"
#include "routes/routes_types.h"
#include "suspicion/suspicion_types.h"
#include "waiting/waiting.h"

namespace jujubefront {

// Everything that is fixed for the life of a relay.
struct RelayOptions {
  std::string address_;  // of the peer link, IP:port
  std::string zone_;
  std::string region_;
  std::string service_;             // of the host's backend server
  std::string backend_address_;     // of the host's backend server
  std::vector<std::string> seeds_;  // peer links to try first
  std::uint64_t boot_ = 0;
  std::uint64_t seed_ = 0;
  PlacementOptions placement_;
  AllocationOptions allocation_;
  // Bound on retries to a service over all nodes: a share of the first sends,
  // and retries that are free in a window.
  double retry_ratio_ = 0.2;
  double retry_slack_ = 48.0;
  Duration retry_window_ = std::chrono::seconds(10);
  double retry_safety_ = 0.9;  // part of that bound that is used
  Duration heartbeat_interval_ = std::chrono::milliseconds(1500);
  // Heartbeats that may be missed before a backend server counts as silent.
  std::uint32_t heartbeats_missed_ = 3;
  // Intervals of status messages to hosts of the zone, of the region and of
  // other regions. Changes of state are told at once.
  Duration zone_status_interval_ = std::chrono::milliseconds(250);
  Duration region_status_interval_ = std::chrono::milliseconds(500);
  // The second one while the own backend server has free slots: load comes
  // with every reply, and sums of zones are sent apart.
  Duration unsaturated_region_status_interval_ = std::chrono::seconds(2);
  Duration remote_region_status_interval_ = std::chrono::seconds(4);
  // Least time between two status messages to hosts of the zone, of the region
  // and of other regions, whoever gets them: bounds their number as hosts
  // grow.
  Duration zone_status_spacing_ = std::chrono::milliseconds(5);
  Duration region_status_spacing_ = std::chrono::milliseconds(10);
  Duration remote_region_status_spacing_ = std::chrono::milliseconds(200);
  // Nodes of a zone that wait for documents at the store, if so many can.
  std::uint32_t store_readers_per_zone_ = 2;
  // Pause before the next wait while documents follow one another: what comes
  // in the meantime is read at once.
  Duration document_pause_ = std::chrono::milliseconds(500);
  Duration document_burst_window_ = std::chrono::seconds(2);
  // Window over which demand and run profiles are averaged.
  Duration load_window_ = std::chrono::milliseconds(1000);
  Duration reconnect_interval_ = std::chrono::milliseconds(500);
  Duration max_reconnect_interval_ = std::chrono::seconds(4);
  // Silence of a peer with requests in flight after which it is pinged; after
  // which new requests go elsewhere if they can; after which those that wait
  // for it are given up and sent elsewhere, where they may be repeated; and
  // after which its connection is opened anew. Round trips come on top of the
  // first two. To avoid a peer costs little and ends with its first word; a
  // busy host may pause for some tenths of a second.
  Duration ping_after_ = std::chrono::milliseconds(120);
  Duration avoid_after_ = std::chrono::milliseconds(250);
  Duration suspect_after_ = std::chrono::milliseconds(900);
  Duration reopen_after_ = std::chrono::milliseconds(2500);
  // Peers that stay unreachable for longer are forgotten.
  Duration forget_after_ = std::chrono::minutes(2);
  Duration store_retry_interval_ = std::chrono::milliseconds(400);
  Duration max_store_retry_interval_ = std::chrono::seconds(2);
  // Time between two nodes whose waits at the store end, and bounds on one
  // node's wait.
  Duration poll_stagger_ = std::chrono::milliseconds(300);
  Duration min_poll_wait_ = std::chrono::seconds(4);
  Duration max_poll_wait_ = std::chrono::seconds(12);
  // Stop: shortest time in which clients still arrive, and longest in all.
  Duration stop_linger_ = std::chrono::milliseconds(3200);
  Duration stop_limit_ = std::chrono::milliseconds(5500);
  // Of requests that go well, one in so many is logged step by step; 0: none.
  std::uint32_t trace_sample_ = 64;
  SuspicionOptions suspicion_;
  // Time between two repetitions of all that is known about contents to a peer
  // that knows something else.
  Duration suspicion_resync_ = std::chrono::seconds(2);
  // Time after a run's deadline in which the backend server's own answer to it
  // is waited for.
  Duration answer_slack_ = std::chrono::milliseconds(50);
};

// One client request until it is answered.
struct OpenRequest {
  std::uint64_t request_id_ = 0;
  std::string trace_id_;
  std::string route_;
  std::string service_;
  bool idempotent_ = false;
  bool is_call_ = false;
  std::uint32_t priority_ = 0;
  std::uint32_t max_attempts_ = 1;
  Timestamp arrived_;
  Timestamp deadline_;  // the client's, or the route's timeout
  Timestamp client_deadline_;
  Timestamp objective_at_;  // until when an answer is of full use
  Duration objective_ = Duration::zero();
  std::uint64_t parent_run_ = 0;  // run at the own backend server that calls
  double tree_rank_ = 0.0;        // see RetryClaim
  bool is_repeat_ = false;        // sent again, or called by a run that is
  bool is_returning_ = false;     // waited after a refusal and came back
  Fingerprint content_;
  Http1Request request_;
  std::uint64_t send_id_ = 0;  // present send
  std::uint32_t sends_ = 0;    // that may have reached a backend server
  std::uint32_t tries_ = 0;    // all sends
  bool may_have_run_ = false;
  std::string_view no_resend_;  // why it was not sent again
  std::vector<std::string> tried_;
};

// What the own node knows of contents that end backend servers.
struct ContentWatch {
  SuspicionState known_;
  // Runs of contained contents at the own backend server.
  std::map<Fingerprint, std::uint64_t> contained_runs_;
  Timestamp pruned_at_;   // old charges
  Timestamp changed_at_;  // what is told to peers that know something else
  std::uint64_t digest_ = 0;
};

// A run order that was sent and not answered.
struct OpenSend {
  std::uint64_t request_id_ = 0;
  std::string peer_;
  std::string route_;
  Timestamp sent_at_;
};

// A run order taken from an entry, until it is answered.
struct OpenRun {
  std::uint64_t run_id_ = 0;
  std::uint64_t connection_id_ = 0;  // 0: the own entry
  RunOrder order_;
  Timestamp arrived_;
  Timestamp deadline_;
  Timestamp started_at_;
  bool started_ = false;
  std::int64_t backend_started_at_ms_ = 0;  // of the incarnation that runs it
  bool calls_failed_ = false;
  std::uint32_t rejections_ = 0;                // by the own backend server
  std::map<std::string, std::uint32_t> calls_;  // that named it, by route
};

// A run that has ended without a response.
struct UnansweredRun {
  std::string trace_id_;
  std::string instance_;
  std::int64_t backend_started_at_ms_ = 0;
  Fingerprint content_;
  std::string caller_service_;
  std::uint64_t connection_id_ = 0;  // of its entry; 0: the own one
  Timestamp started_at_;
  Timestamp ended_at_;
};

// An incarnation of a backend server that has ended without notice.
struct EndedBackend {
  std::string instance_;
  std::int64_t started_at_ms_ = 0;
  Timestamp last_start_;  // what began later found it dead
  std::string_view how_;  // that is known
};

// What may show that an incarnation of the own backend server has ended, and
// what it was running then.
struct CrashEvidence {
  EndedBackend ended_;                    // the last one
  std::deque<UnansweredRun> unanswered_;  // oldest first
  // Runs that broke when the end was known already, until they are reported.
  std::vector<UnansweredRun> unreported_;
  // First break after the last sign of life.
  std::optional<Timestamp> broke_at_;
  bool probing_ = false;
  bool probe_again_ = false;  // a run broke while a probe was under way
};

// Smoothed measurements of the runs of one route at the own backend server.
struct RunStats {
  double runs_ = 0.0;          // of the running average
  double hold_seconds_ = 0.0;  // mean
  Timestamp last_at_;
};

// What the own backend server does with what arrives there.
struct ArrivalMeter {
  std::uint32_t arrived_ = 0;    // in the window under way
  std::uint32_t rejected_ = 0;   // of these
  double rejected_share_ = 0.0;  // smoothed
};

// Newest sum of another zone of the region.
struct KnownZoneSum {
  ZoneSum sum_;
  Timestamp received_at_;
};

// Own experience of a peer's backend server.
struct FailureRate {
  double failure_share_ = 0.0;
  Timestamp updated_at_;
};

// Another node.
struct Peer {
  std::string address_;
  HostStatus status_;
  bool known_ = false;  // a status has arrived
  Timestamp status_at_;
  Timestamp version_seen_at_;  // when the status first named its document
  std::uint64_t status_connection_ = 0;  // that brought the status
  bool connected_ = false;
  bool connecting_ = false;
  Timestamp reconnect_at_;
  Duration reconnect_wait_ = Duration::zero();
  Timestamp unreachable_since_;
  Timestamp last_received_at_;  // on the own connection
  Timestamp pinged_at_;
  int pings_ = 0;  // since it was last heard
  Timestamp connecting_since_;
  Duration round_trip_ = Duration::zero();  // time that connecting took
  bool probed_ = false;                     // pinged as others fell silent
  bool avoided_ = false;         // gets new requests only where nobody else can
  bool suspected_ = false;       // what waits for it is given up
  std::uint32_t in_flight_ = 0;  // run orders of ours
  std::uint32_t sent_since_report_ =
      0;  // run orders after the last load report
  Timestamp status_sent_at_;
  std::map<std::string, Duration> holds_;  // measured, by route
  FailureRate failure_rate_;
  // Newest notice that its backend server leaves. It outlives the process that
  // passed it on.
  std::optional<BackendLeft> left_;
  Timestamp suspicion_synced_at_;  // all that is known, to it
};

// A connection that a peer opened.
struct InboundLink {
  std::string peer_;
  // Least difference seen between the own clock and the peer's stamp: what is
  // above it is time that a message has waited on the way.
  std::optional<Duration> min_offset_;
};

// The host's own backend server.
struct LocalBackend {
  BackendState state_ = BackendState::kUnknown;
  std::string instance_;
  std::string service_;
  std::int64_t started_at_ms_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint32_t slots_ = 0;
  Timestamp received_at_;
};

// Demand of clients for one route on this host.
struct DemandMeter {
  double per_second_ = 0.0;           // of clients
  double arrivals_per_second_ = 0.0;  // with calls of the backend server
  std::uint32_t counted_ = 0;         // in the window under way
  std::uint32_t calls_ = 0;           // of these, known to be calls
  std::uint32_t returning_ = 0;       // of these, come back after a refusal
  double returning_share_ = 0.0;      // smoothed
  Duration usual_time_left_ = Duration::zero();  // longest seen lately
};

// Progress of reading the store.
struct StoreState {
  std::optional<std::uint64_t> next_offset_;
  bool nodes_listed_ = false;  // the store's list of nodes was read
  // A wait for documents is open or will be repeated. A node that leaves them
  // to others of its zone has none.
  bool waiting_ = false;
  Duration retry_wait_ = Duration::zero();
  bool available_ = true;
  Timestamp failed_since_;
  Timestamp changed_at_;    // when the store last had a newer document
  Timestamp paused_until_;  // no new wait before
};

enum class RelayTimerKind : std::uint8_t {
  kRequestDeadline,
  kRunDeadline,
  kWaitingSweep,
  kCrashReport,
  kTick,
  kStore,
};

struct RelayTimer {
  Timestamp at_;
  RelayTimerKind kind_ = RelayTimerKind::kTick;
  std::uint64_t id_ = 0;

  bool operator<(const RelayTimer& other) const {
    return std::tie(at_, kind_, id_) <
           std::tie(other.at_, other.kind_, other.id_);
  }
};

// Counts since the start of the process.
struct RelayCounters {
  std::uint64_t requests_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t answered_ = 0;
  std::uint64_t refused_at_entry_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t failed_ = 0;
  std::uint64_t timed_out_ = 0;
  std::uint64_t cancelled_ = 0;
  std::uint64_t unrouted_ = 0;
  std::uint64_t sends_ = 0;
  std::uint64_t resends_ = 0;
  std::uint64_t resends_denied_ = 0;
  std::uint64_t repeats_at_host_ = 0;  // of what the backend server rejected
  std::uint64_t zone_crossings_ = 0;
  std::uint64_t region_crossings_ = 0;
  std::uint64_t runs_ = 0;
  std::uint64_t runs_refused_ = 0;
  std::uint64_t runs_broken_ = 0;
  std::uint64_t backends_ended_ = 0;  // without notice, with runs in progress
  std::uint64_t backend_probes_ = 0;
  std::uint64_t charges_recorded_ = 0;
  std::uint64_t clearances_recorded_ = 0;
  std::uint64_t refused_suspect_ = 0;       // requests, at their entry
  std::uint64_t runs_refused_suspect_ = 0;  // at their host
  std::uint64_t suspicion_notices_sent_ = 0;
  std::uint64_t late_replies_ = 0;
  std::uint64_t store_calls_ = 0;
  std::uint64_t store_failures_ = 0;
  std::uint64_t statuses_sent_ = 0;
  std::uint64_t zone_sums_sent_ = 0;
  std::uint64_t peers_avoided_ = 0;
  std::uint64_t peers_suspected_ = 0;
  std::uint64_t inputs_unreadable_ = 0;
};

// The whole state of a relay.
struct RelayState {
  RandomState random_;
  std::uint64_t last_id_ = 0;
  Timestamp started_at_;
  RouteTable table_;
  std::string table_text_;
  std::unordered_map<std::uint64_t, OpenRequest> requests_;
  std::unordered_map<std::uint64_t, OpenSend> sends_;
  std::unordered_map<std::uint64_t, OpenRun> runs_;
  // Runs by the connection and send id of their entry.
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint64_t> run_of_send_;
  // Started runs by the deadline that their calls share.
  std::multimap<Timestamp, std::uint64_t> run_of_deadline_;
  std::unordered_map<std::string, std::uint64_t> run_of_trace_;  // started
  WaitingQueue waiting_;
  std::uint32_t running_ = 0;
  LocalBackend backend_;
  CrashEvidence crash_evidence_;
  ContentWatch content_watch_;
  std::map<std::string, RunStats> run_stats_;
  // Runs refused for want of a slot: in the window under way, and the slots
  // that those of the last window would have held.
  std::uint32_t refused_in_window_ = 0;
  double refused_slots_ = 0.0;
  std::map<std::string, Peer> peers_;
  // Peers and the own host, by the service of their backend server.
  std::map<std::string, std::map<std::string, Peer*>> hosts_of_service_;
  std::map<std::string, KnownZoneSum> zone_sums_;  // of other zones
  std::uint64_t zone_sum_sequence_ = 0;
  Timestamp last_tick_at_;
  Timestamp avoided_at_;    // a peer
  Timestamp probed_at_;     // all peers
  bool cut_off_ = false;    // most peers, of the own zone too, are silent
  Timestamp saturated_at_;  // own backend server had hardly a free slot
  Timestamp table_asked_at_;
  Timestamp peers_asked_at_;
  std::unordered_map<std::uint64_t, InboundLink> inbound_links_;
  RetryAllowance retry_allowance_;
  RetryAllowance host_retry_allowance_;  // for rejections of the own backend
  // What this node's sends, and those of the trees that it admits, earned, by
  // service; and what arrivals at the own backend server did.
  std::map<std::string, RetryWindow> retries_;
  std::map<std::string, RetryWindow> host_retries_;
  ArrivalMeter arrivals_;
  // Mean share that the region's backend servers reject, by service.
  std::map<std::string, double> rejected_shares_;
  std::map<std::string, DemandMeter> demands_;
  // Region's measured costs of runs, by route.
  std::map<std::string, RouteProfile> profiles_;
  std::map<std::string, ServicePressure> pressure_;  // by service
  std::map<std::string, double> admitted_;           // by route; absent: all
  // Routes whose call trees seldom complete at present, as a service that they
  // lead to rejects what arrives.
  std::set<std::string> failing_routes_;
  Timestamp demand_window_start_;
  CallWindow call_window_;  // under way
  CallFit call_fit_;
  CallCounts call_counts_;
  // Calls of one run of the own backend server, by route of the run.
  std::map<std::string, std::map<std::string, double>> calls_of_run_;
  std::set<std::string> called_routes_;  // that only backend servers call
  Timestamp call_failed_at_;  // a call of an unknown run of this host
  StoreState store_;
  std::uint64_t status_sequence_ = 0;
  bool ready_ = false;
  bool stopping_ = false;
  bool final_answers_sent_ = false;  // to requests that the stop cuts short
  bool stopped_ = false;
  Timestamp stop_at_;
  std::set<RelayTimer> timers_;
  RelayCounters counters_;
  // Replies of the own host to the own entry, handled within the same step.
  std::deque<RunReply> local_replies_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAY_RELAY_TYPES_H_
