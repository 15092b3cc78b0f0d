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
#include "allocation/overflow.h"
#include "allocation/region_plan.h"
#include "balancing/balancing.h"
#include "base/hashing.h"
#include "callgraph/callgraph.h"
#include "pacing/pacing.h"
#include "placement/placement.h"
#include "quota/quota.h"
#include "relay/local_backend_types.h"
#include "relay/relay_effect_types.h"
#include "relay/relay_event_types.h"
#include "relay/time_left_types.h"
#include "retries/retry_allowance.h"
#include "routes/routes_types.h"
#include "suspicion/suspicion_types.h"
#include "waiting/waiting.h"

namespace jujubefront {

// Settings that stay fixed while the process runs.
struct RelayOptions {
  std::string address_;  // listening address for peers, IP:port
  std::string zone_;
  std::string region_;
  std::string service_;             // run by the local backend server
  std::string backend_address_;     // of the local backend server
  std::vector<std::string> seeds_;  // addresses of peers to contact first
  std::uint64_t boot_ = 0;          // distinguishes processes at one address
  std::uint64_t seed_ = 0;          // of the random number generator
  PlacementOptions placement_;
  BalancingOptions balancing_;
  PacingOptions pacing_;
  QuotaOptions quota_;
  AllocationOptions allocation_;
  // Sends requests that are not admitted to another region with free slots.
  bool overflows_to_other_regions_ = true;
  OverflowOptions overflow_;
  // Interval of zone sums to other regions, which are sent only there where
  // backend servers seem to be saturated.
  Duration remote_zone_sum_interval_ = std::chrono::seconds(2);
  // The same while a region lacks backend servers of a service. Admission there
  // depends on these sums alone, and must follow within a second or two.
  Duration sharing_zone_sum_interval_ = std::chrono::milliseconds(900);
  // Fleet-wide bound on retries to one service: a fraction of its first sends,
  // plus a number of retries that are free in each window.
  double retry_ratio_ = 0.2;
  double retry_slack_ = 48.0;
  Duration retry_window_ = std::chrono::seconds(10);
  double retry_safety_ = 0.9;  // fraction of that bound that the fleet uses
  Duration heartbeat_interval_ = std::chrono::milliseconds(1500);
  // Missed heartbeats after which a backend server counts as silent.
  std::uint32_t heartbeats_missed_ = 3;
  // Intervals of status messages to hosts of the same zone, of other zones of
  // the region, and of other regions. State changes are broadcast immediately.
  Duration zone_status_interval_ = std::chrono::milliseconds(250);
  Duration region_status_interval_ = std::chrono::milliseconds(500);
  // Replaces region_status_interval_ while the local backend server has free
  // slots. Rare messages are enough then: load is reported with every reply,
  // and zone sums are sent separately.
  Duration unsaturated_region_status_interval_ = std::chrono::seconds(2);
  Duration remote_region_status_interval_ = std::chrono::seconds(4);
  // Minimum time between two status messages to any hosts of the zone, of the
  // region and of other regions. Bounds the message rate as the number of hosts
  // grows.
  Duration zone_status_spacing_ = std::chrono::milliseconds(5);
  Duration region_status_spacing_ = std::chrono::milliseconds(10);
  Duration remote_region_status_spacing_ = std::chrono::milliseconds(200);
  // Number of nodes per zone that long-poll the store for routing documents, if
  // as many can reach it.
  std::uint32_t store_readers_per_zone_ = 2;
  // A document that arrives within document_burst_window_ of the previous one
  // delays the next poll by document_pause_, so that documents which arrive in
  // the meantime are read with one call.
  Duration document_pause_ = std::chrono::milliseconds(500);
  Duration document_burst_window_ = std::chrono::seconds(2);
  // Demand is measured, and admission computed, twice in this time.
  Duration load_window_ = std::chrono::milliseconds(1000);
  Duration reconnect_interval_ = std::chrono::milliseconds(500);
  Duration max_reconnect_interval_ = std::chrono::seconds(4);
  // Silence of a peer with requests in flight after which
  // - it is pinged,
  // - new requests avoid it if another host can take them,
  // - idempotent requests that wait for it are resent to another host,
  // - its connection is closed and reopened.
  // Two round trips are added to the first two. Avoiding a peer costs little
  // and ends with its next message, so that it may start early: a busy host can
  // pause for some tenths of a second.
  Duration ping_after_ = std::chrono::milliseconds(120);
  Duration avoid_after_ = std::chrono::milliseconds(250);
  Duration suspect_after_ = std::chrono::milliseconds(900);
  Duration reopen_after_ = std::chrono::milliseconds(2500);
  // Peers that stay unreachable for longer are removed.
  Duration forget_after_ = std::chrono::minutes(2);
  Duration store_retry_interval_ = std::chrono::milliseconds(400);
  Duration max_store_retry_interval_ = std::chrono::seconds(2);
  // Time from its acknowledgement by the store within which a document must be
  // in force at every node that reaches the store.
  Duration document_deadline_ = std::chrono::milliseconds(2500);
  // Planned stop: the node still accepts clients for stop_linger_, and exits
  // after stop_limit_ at the latest.
  Duration stop_linger_ = std::chrono::milliseconds(2800);
  Duration stop_limit_ = std::chrono::milliseconds(5500);
  // One in this many successful requests is logged step by step; 0: none.
  std::uint32_t trace_sample_ = 64;
  SuspicionOptions suspicion_;
  // Minimum time between two full suspicion notices to a peer whose suspicion
  // digest differs.
  Duration suspicion_resync_ = std::chrono::seconds(2);
  // Time after a run's deadline for which the node still waits for the backend
  // server's answer.
  Duration answer_slack_ = std::chrono::milliseconds(50);
};

// A request of a client or of the local backend server that is not answered
// yet.
struct OpenRequest {
  std::uint64_t request_id_ = 0;
  std::string trace_id_;
  std::string route_;
  std::string service_;
  std::string workspace_;  // of the client's key; empty: it sent none
  Fingerprint key_;        // unknown: the route needs none
  bool idempotent_ = false;
  bool is_call_ = false;
  std::uint32_t workspace_priority_ = 0;
  std::uint32_t priority_ = 0;
  std::uint32_t max_attempts_ = 1;
  Timestamp arrived_;
  Timestamp deadline_;  // client_deadline_ or the route's timeout, if earlier
  Timestamp client_deadline_;  // when the client stops waiting
  Timestamp objective_at_;     // when the route's latency objective is exceeded
  Duration objective_ = Duration::zero();  // latency objective of the route
  std::uint64_t parent_run_ = 0;  // local run that made this call, or 0
  double tree_rank_ = 0.0;        // see RetryRequest
  bool is_repeat_ = false;        // resent, or a call made by a resent run
  bool is_returning_ = false;     // the client retries after a refusal
  Fingerprint content_;
  Http1Request request_;
  std::uint64_t send_id_ = 0;  // of the send that awaits a reply, or 0
  std::uint32_t sends_ = 0;    // sends that may have reached a backend server
  std::uint32_t total_sends_ = 0;  // all sends
  bool may_have_run_ = false;
  // Region whose hosts alone may run it; empty: no restriction.
  std::string overflow_region_;
  // The regions' common plan has slots for it there. Otherwise it goes only to
  // hosts with free ones.
  bool is_planned_remote_ = false;
  std::string_view no_resend_;      // why it was not resent, for the log
  std::vector<std::string> tried_;  // addresses of hosts it was sent to
};

// Charges and clearances of contents that this node knows, and the contained
// contents that the local backend server runs.
struct ContentWatch {
  SuspicionState known_;
  // Run in progress at the local backend server, by contained content.
  std::map<Fingerprint, std::uint64_t> contained_runs_;
  Timestamp pruned_at_;       // when expired charges were last removed
  Timestamp changed_at_;      // when digest_ last changed
  std::uint64_t digest_ = 0;  // of known_, at the last tick
  // Contents whose charges in the store are out of date, and the one that is
  // being written. Writing them one by one bounds the calls to the store.
  std::set<Fingerprint> unsaved_;
  std::optional<Fingerprint> saving_;
};

// A run order that has been sent to a host and has no reply yet.
struct OpenSend {
  std::uint64_t request_id_ = 0;
  std::string peer_;
  std::string instance_;
  std::string route_;
  Timestamp sent_at_;
};

// A run order received from an entry (the node that accepted the client's
// request), until it is answered.
struct OpenRun {
  std::uint64_t run_id_ = 0;
  std::uint64_t connection_id_ = 0;  // of the entry; 0: this node
  RunOrder order_;
  Timestamp arrived_;
  Timestamp deadline_;
  Timestamp started_at_;
  bool started_ = false;
  std::int64_t backend_started_at_ms_ = 0;  // identifies the incarnation
  bool calls_failed_ = false;
  std::uint32_t rejections_ = 0;                // by the local backend server
  std::map<std::string, std::uint32_t> calls_;  // made by the run, by route
};

// Smoothed measurements of the runs of one route at the local backend server.
struct RunStats {
  double runs_ = 0.0;          // number of runs in the moving average
  double hold_seconds_ = 0.0;  // mean time for which a run holds its slot
  Timestamp last_at_;          // end of the last run
};

// Runs that arrive at the local backend server, and the share that it rejects.
struct ArrivalMeter {
  std::uint32_t arrived_ = 0;    // in the current window
  std::uint32_t rejected_ = 0;   // in the current window
  double rejected_share_ = 0.0;  // smoothed
  double per_second_ = 0.0;      // arrivals in the last window
};

// Latest sum received from another zone of the region.
struct KnownZoneSum {
  ZoneSum sum_;
  Timestamp received_at_;
};

// Latest report of the use of quotas by another host or zone.
struct KnownQuotaReport {
  QuotaReport report_;
  Timestamp received_at_;
  // Part of the fleet's demand when the report was new, by workspace.
  std::map<std::uint64_t, double> demand_shares_;
};

// Use of the workspaces' quotas.
struct QuotaState {
  // Of this node, by hash of the workspace's name.
  std::unordered_map<std::uint64_t, QuotaMeter> meters_;
  Timestamp advanced_at_;  // when the current slot of the meters began
  // Of the zone's hosts, by address and process.
  std::map<std::pair<std::string, std::uint64_t>, KnownQuotaReport> hosts_;
  std::map<std::string, KnownQuotaReport> zones_;  // other zones
  std::map<std::uint64_t, QuotaUse> fleet_;        // sums over all nodes
  Timestamp fleet_at_;                             // when they were received
  std::uint64_t sequence_ = 0;
  bool reported_none_ = false;  // the last report was empty
};

// Smoothed share of the runs that this node sent to a peer and that failed
// there.
struct FailureRate {
  double failure_share_ = 0.0;  // as of updated_at_; decays afterwards
  Timestamp updated_at_;
};

// A run order that may not be counted in the load that its host has reported.
struct UncoveredSend {
  std::uint64_t send_id_ = 0;
  Timestamp sent_at_;
};

// A node, as this node knows it. The local node has an entry as well.
struct Peer {
  std::string address_;
  HostStatus status_;
  bool known_ = false;  // a status has been received
  Timestamp status_at_;
  // As of when it had the newest document, by its latest status.
  std::optional<Timestamp> document_as_of_;
  Timestamp version_seen_at_;  // when its table version was first received
  std::uint64_t status_connection_ = 0;  // on which the status was received
  bool connected_ = false;
  bool connecting_ = false;
  Timestamp reconnect_at_;
  Duration reconnect_wait_ = Duration::zero();
  Timestamp unreachable_since_;
  // Last message received on the connection that this node opened; reset when
  // the first request is sent, since silence counts from then on.
  Timestamp last_received_at_;
  Timestamp pinged_at_;
  int pings_ = 0;  // since last_received_at_
  Timestamp connecting_since_;
  Duration round_trip_ = Duration::zero();  // measured while connecting
  bool probed_ = false;          // pinged because other peers fell silent
  bool avoided_ = false;         // receives new requests only as a last resort
  bool suspected_ = false;       // idempotent requests there are resent
  std::uint32_t in_flight_ = 0;  // run orders from this node
  Timestamp load_reported_at_;   // by its latest status or reply
  std::uint32_t sent_since_report_ = 0;  // run orders since then
  // Run orders that are not counted in the reported load, oldest first. Used in
  // place of sent_since_report_ if the backend server states its pace.
  std::deque<UncoveredSend> uncovered_sends_;
  Timestamp status_sent_at_;
  // Measured time for which a run holds its slot, by route.
  std::map<std::string, Duration> holds_;
  // Pace that the backend server stated while holds_ was measured, by route.
  std::map<std::string, double> hold_paces_;
  // Another incarnation of its backend server was seen to take over.
  std::optional<Timestamp> backend_replaced_at_;
  FailureRate failure_rate_;
  // Latest notice that its backend server is draining or gone. It is kept when
  // the peer's process restarts and no longer knows it.
  std::optional<Departure> left_;
  // Latest statement of its backend server that a reply has brought here.
  BackendStatement stated_;
  Timestamp suspicion_synced_at_;  // last full suspicion notices sent to it
};

// A connection that a peer opened.
struct InboundLink {
  std::string peer_;
  // Minimum difference seen between the local clock and the peer's timestamp. A
  // larger difference is time for which a message was delayed in transit.
  std::optional<Duration> min_offset_;
};

// Demand for one route that arrives at this node.
struct DemandMeter {
  double per_second_ = 0.0;           // requests of clients
  double arrivals_per_second_ = 0.0;  // also calls of the backend server
  std::uint32_t counted_ = 0;         // arrivals in the current window
  std::uint32_t calls_ = 0;           // arrivals known to be calls
  std::uint32_t returning_ = 0;       // clients retrying after a refusal
  double returning_share_ = 0.0;      // share of client requests, smoothed
  TimeLeftMeter time_left_;
};

// Sizes of the latest responses that were large, by the content of the request.
struct LargeResponses {
  std::map<Fingerprint, std::size_t> bytes_;
  std::deque<Fingerprint> order_;  // the oldest first
};

// A route's costs, as of when they were last measured in the region.
struct RememberedProfile {
  RouteProfile profile_;
  Timestamp measured_at_;
};

// Sharing of the backend servers of services that some region lacks.
struct RegionSharing {
  // Services that each region lacks, and since when this node sees it.
  std::map<std::string, std::map<std::string, Timestamp>> lacking_;
  // Other regions that run a part of the admitted requests, by route.
  std::map<std::string, RemoteShare> remote_;
  // Costs of routes from before the region lacked a service: what is not
  // admitted any more is not measured any more.
  std::map<std::string, RememberedProfile> profiles_;
};

// Progress of the calls to the store.
struct StoreState {
  std::optional<std::uint64_t> next_offset_;
  std::optional<std::uint64_t> era_;  // of the store's latest answer
  std::uint64_t heard_era_ = 0;       // highest that a peer has reported
  std::uint64_t announce_era_ = 0;    // for which this node lists itself again
  bool reading_ = false;  // the document is being read, which gives an offset
  // The era has changed since that read began: its offset may be of either one.
  bool reads_again_ = false;
  bool poll_at_once_ = false;  // the next poll must not wait
  bool nodes_listed_ = false;  // the store's list of nodes has been read
  // A poll for documents is in progress or will be retried. False on nodes that
  // rely on other readers of their zone.
  bool waiting_ = false;
  bool is_reader_ = false;  // this node polls, as of the last decision on it
  // As of when the answer to the read or poll in progress will be valid at the
  // latest: an answer that is read late does not show what came meanwhile.
  Timestamp call_valid_until_;
  Duration poll_wait_ = Duration::zero();  // of the poll in progress
  // The poll has failed and is repeated then.
  std::optional<Timestamp> poll_retry_at_;
  bool polled_in_full_ = false;  // the last poll ended with its wait
  // As of when this node had the newest document: by the store's answers to
  // itself, and by those to peers that have the same document.
  std::optional<Timestamp> document_as_of_;
  Timestamp known_as_of_;
  std::map<StoreCall, Duration> retry_waits_;  // after failures in a row
  bool available_ = true;
  Timestamp failed_since_;
  Timestamp changed_at_;    // when the store last returned a newer document
  Timestamp paused_until_;  // no new poll before this time
};

enum class RelayTimerKind : std::uint8_t {
  kRequestDeadline,
  kRunDeadline,
  kWaitingSweep,
  kPacedStart,
  kCrashReport,
  kDepartureAnswer,
  kFirstDepartureRecord,
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
  std::uint64_t key_rejected_ = 0;
  std::uint64_t over_quota_ = 0;
  std::uint64_t quota_reports_sent_ = 0;
  std::uint64_t sends_ = 0;
  std::uint64_t resends_ = 0;
  std::uint64_t resends_denied_ = 0;
  std::uint64_t repeats_at_host_ = 0;  // runs repeated after a rejection
  std::uint64_t zone_crossings_ = 0;
  std::uint64_t region_crossings_ = 0;
  std::uint64_t overflowed_ = 0;     // not admitted, sent to another region
  std::uint64_t region_shared_ = 0;  // admitted, sent to another region
  std::uint64_t runs_ = 0;
  std::uint64_t runs_refused_ = 0;
  std::uint64_t runs_broken_ = 0;
  std::uint64_t backends_ended_ = 0;  // unannounced, with runs in progress
  std::uint64_t backend_probes_ = 0;
  std::uint64_t charges_recorded_ = 0;
  std::uint64_t clearances_recorded_ = 0;
  std::uint64_t refused_suspect_ = 0;       // requests refused by the entry
  std::uint64_t runs_refused_suspect_ = 0;  // run orders refused by the host
  std::uint64_t suspicion_notices_sent_ = 0;
  std::uint64_t charge_writes_ = 0;  // of condemned contents, to the store
  std::uint64_t departures_recorded_ = 0;
  std::uint64_t departure_writes_ = 0;     // to the store
  std::uint64_t departures_not_kept_ = 0;  // acknowledged before they were kept
  std::uint64_t heartbeats_held_ = 0;
  std::uint64_t health_checks_ = 0;
  std::uint64_t late_replies_ = 0;
  std::uint64_t store_calls_ = 0;
  std::uint64_t store_failures_ = 0;
  std::uint64_t statuses_sent_ = 0;
  std::uint64_t zone_sums_sent_ = 0;
  std::uint64_t peers_avoided_ = 0;
  std::uint64_t peers_suspected_ = 0;
  std::uint64_t inputs_unreadable_ = 0;
  std::uint64_t load_reports_read_ = 0;
  std::uint64_t load_reports_ignored_ = 0;  // unreadable or of another instance
  // Candidates of a balanced choice whose load report was too old to be used.
  std::uint64_t load_reports_expired_ = 0;
  std::uint64_t choices_balanced_ = 0;
  std::uint64_t choices_earliest_finish_ = 0;
};

// The complete state of a relay.
struct RelayState {
  RandomState random_;
  std::uint64_t last_id_ = 0;
  Timestamp started_at_;
  RouteTable table_;
  std::string table_text_;
  std::unordered_map<std::uint64_t, OpenRequest> requests_;
  std::unordered_map<std::uint64_t, OpenSend> sends_;
  std::unordered_map<std::uint64_t, OpenRun> runs_;
  // Highest send id by connection of the entry, while the local backend server
  // states its pace.
  std::unordered_map<std::uint64_t, std::uint64_t> last_send_ids_;
  // Run id by connection and send id of the entry.
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint64_t> run_of_send_;
  // Started runs by deadline, which their calls share.
  std::multimap<Timestamp, std::uint64_t> run_of_deadline_;
  std::unordered_map<std::string, std::uint64_t> run_of_trace_;  // started runs
  WaitingQueue waiting_;
  std::uint32_t running_ = 0;
  LocalBackend backend_;
  DepartureLog departures_;
  HealthChecks health_checks_;
  CrashEvidence crash_evidence_;
  ContentWatch content_watch_;
  std::map<std::string, RunStats> run_stats_;
  // Mean time for which a run holds its slot, over the latest runs of all
  // routes as they come; zero: no run has ended yet.
  Duration recent_hold_ = Duration::zero();
  // Runs refused for lack of a slot: their number in the current window, and
  // the slots that those of the last window would have used.
  std::uint32_t refused_in_window_ = 0;
  double refused_slots_ = 0.0;
  std::map<std::string, Peer> peers_;
  // Peers and the local host, by the service of their backend server.
  std::map<std::string, std::map<std::string, Peer*>> hosts_of_service_;
  QuotaState quota_;
  std::map<std::string, KnownZoneSum> zone_sums_;  // of the region's zones
  // Of the zones of other regions, with the loads of services only.
  std::map<std::string, KnownZoneSum> remote_zone_sums_;
  Timestamp remote_zone_sums_sent_at_;
  std::uint64_t zone_sum_sequence_ = 0;
  Timestamp last_tick_at_;
  Timestamp resumed_at_;  // when this process last ran again after a pause
  Timestamp avoided_at_;  // when a peer was last marked as avoided
  Timestamp probed_at_;   // when all peers were last pinged
  // Most peers are silent, both in the local zone and overall.
  bool cut_off_ = false;
  Timestamp saturated_at_;  // when most local slots were last in use
  Timestamp table_queried_at_;
  Timestamp peers_queried_at_;
  std::unordered_map<std::uint64_t, InboundLink> inbound_links_;
  RetryAllowance retry_allowance_;
  RetryAllowance host_retry_allowance_;  // for rejections of the local backend
  // Retries earned and spent, by service: as the entry of requests and of the
  // call trees that they lead to, and as the host of the local backend server.
  std::map<std::string, RetryWindow> retries_;
  std::map<std::string, RetryWindow> host_retries_;
  ArrivalMeter arrivals_;
  // Mean rejected share of the region's backend servers, by service.
  std::map<std::string, double> rejected_shares_;
  std::map<std::string, DemandMeter> demands_;
  LargeResponses large_responses_;
  // Cost of a run as measured in the region, by route.
  std::map<std::string, RouteProfile> profiles_;
  std::map<std::string, ServicePressure> pressure_;  // by service
  std::map<std::string, double> admitted_;  // share by route; absent: all
  // Other regions that run requests which are not admitted, by route.
  std::map<std::string, RouteOverflow> overflow_;
  RegionSharing region_sharing_;
  // Routes whose call trees seldom complete at present because a service in
  // them rejects much of what arrives.
  std::set<std::string> failing_routes_;
  Timestamp demand_window_start_;
  CallWindow call_window_;  // current window
  CallFit call_fit_;
  CallCounts call_counts_;
  // Mean calls of one run of the local backend server, by route of the run and
  // called route.
  std::map<std::string, std::map<std::string, double>> calls_of_run_;
  std::set<std::string> called_routes_;  // called by backend servers only
  // Last failed call whose run is not known; all runs in progress at that time
  // count as having a failed call.
  Timestamp call_failed_at_;
  StoreState store_;
  std::uint64_t status_sequence_ = 0;
  bool ready_ = false;
  bool stopping_ = false;
  bool final_answers_sent_ = false;  // to requests that the stop cuts off
  bool stopped_ = false;
  Timestamp stop_at_;  // when the stop was requested
  std::set<RelayTimer> timers_;
  RelayCounters counters_;
  // Replies of this node as host to itself as entry, handled in the same step.
  std::deque<RunReply> local_replies_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAY_RELAY_TYPES_H_
