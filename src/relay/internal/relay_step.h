#ifndef JUJUBEFRONT_RELAY_INTERNAL_RELAY_STEP_H_
#define JUJUBEFRONT_RELAY_INTERNAL_RELAY_STEP_H_

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "relay/relay_types.h"

namespace jujubefront {

// Context shared by the handlers of one event.
struct RelayStep {
  RelayState& state_;
  const RelayOptions& options_;
  Timestamp now_;
  std::vector<RelayEffect>& effects_;
};

inline std::uint64_t NewId(RelayStep& step) { return ++step.state_.last_id_; }

// Schedules a timer; `id` is a request, a run or a StoreCall, by its kind.
inline void ScheduleTimer(RelayStep& step, Timestamp at, RelayTimerKind kind,
                          std::uint64_t id = 0) {
  step.state_.timers_.insert({at, kind, id});
}

// Entry side: requests that clients and the local backend server send to this
// node.

void OnRequest(RelayStep& step, RequestArrived& arrived);
void OnRequestCancelled(RelayStep& step, std::uint64_t request_id);
void OnRequestDeadline(RelayStep& step, std::uint64_t request_id);
void OnRunReply(RelayStep& step, RunReply& reply);
void OnRunReplyRefused(RelayStep& step, const RunReplyRefused& refused);
// Answers all open requests, as the process is about to exit.
void AnswerOpenRequests(RelayStep& step);
// The connection to the peer was lost, and with it the replies to all sends.
void OnPeerLost(RelayStep& step, Peer& peer);
// The peer does not answer: resends its idempotent requests to other hosts.
void OnPeerSuspected(RelayStep& step, Peer& peer);

// Hosts that can take a request, with their load and failure rate.
std::vector<PlacementCandidate> FindCandidates(RelayStep& step,
                                               const OpenRequest& request);
// Records what a peer's backend server has stated in an answer.
void RecordStatement(RelayStep& step, Peer& peer, const std::string& instance,
                     const BackendStatement& stated);
// Updates the failure rate of a peer's backend server with one run.
void RecordRunOutcome(RelayStep& step, Peer& peer, bool failed);

// Host side: run orders for the local backend server.

void OnRunOrder(RelayStep& step, std::uint64_t connection_id, RunOrder& order);
void OnRunOrderRefused(RelayStep& step, std::uint64_t connection_id,
                       std::uint64_t send_id);
void OnRunCancel(RelayStep& step, std::uint64_t connection_id,
                 std::uint64_t send_id);
// Cancels the run orders of an entry whose connection has ended.
void OnEntryDisconnected(RelayStep& step, std::uint64_t connection_id);
void OnBackendResponded(RelayStep& step, BackendResponded& responded);
void OnBackendExchangeFailed(RelayStep& step,
                             const BackendExchangeFailed& failure);
void OnRunDeadline(RelayStep& step, std::uint64_t run_id);
// Refuses runs that have waited too long for a slot.
void RefuseExpiredWaiting(RelayStep& step);
// Mean time for which a run of the local backend server holds its slot.
Duration MeanHoldTime(const RelayState& state);
// Starts waiting runs while slots are free.
void StartWaiting(RelayStep& step);
// Counts a run that is sent to the local backend server, which earns retries.
void RecordBackendArrival(RelayStep& step, const OpenRun& run);
// Handles a rejection by the local backend server. Returns true if the run is
// to be sent to it again, and spends a retry of the service in that case. A
// backend server that rejects a share of everything may accept the run the next
// time; a repeat at the host costs no network transfer, and the host is where
// all runs that compete for these retries meet.
bool AllowRepeatAfterRejection(RelayStep& step, OpenRun& run);
// Updates rate and rejected share at the end of a window of this length.
void TickArrivals(RelayStep& step, Duration elapsed);
// Refuses all runs that wait for a slot.
void RefuseWaiting(RelayStep& step, NotRunReason reason);
// Id of the local run whose deadline is nearest to that of a call, within
// `tolerance`, or 0.
std::uint64_t FindParentRun(const RelayStep& step, Timestamp deadline,
                            Duration tolerance);

// The local backend server.

// Name of the state in the log and in explanations.
std::string_view FormatState(BackendState state);
void OnBackendHeartbeat(RelayStep& step, const BackendHeartbeat& heartbeat);
// Applies the heartbeat that is held if it is known to be current.
void ApplyHeldHeartbeat(RelayStep& step);
// State of the incarnation after its heartbeat. It may have announced its end
// to this process or an earlier one; a later heartbeat revokes only that it
// drains.
BackendState StateAfter(const RelayState& state,
                        const BackendHeartbeat& heartbeat);
// Whether the heartbeat may make the backend server ready. One that was sent
// before the start of this process may be out of date: an earlier process may
// have acknowledged that the backend server leaves.
bool IsCurrent(const RelayStep& step, const BackendHeartbeat& heartbeat);
// Checks the backend server's health if a heartbeat of it would be in doubt.
void CheckHealthInDoubt(RelayStep& step);
void OnBackendHealthChecked(RelayStep& step,
                            const BackendHealthChecked& checked);
// The departures of earlier processes are known now, and may concern the
// incarnation that this process takes for ready.
void RecheckDeparture(RelayStep& step);
void OnBackendDeregistered(RelayStep& step,
                           const BackendDeregistered& deregistered);
// Applies what a response states about the incarnation that ran the run.
void OnBackendNotice(RelayStep& step, const OpenRun& run,
                     const BackendNotice& notice);

// Keeps the load that the local backend server has stated in a response.
void RecordLoadReport(RelayStep& step, const BackendNotice& notice,
                      const std::string& trace_id);

// Latest load report of the local backend server, with its present age.
std::optional<LoadReport> CurrentLoadReport(const RelayState& state,
                                            Timestamp now);

// Whether the backend server states the time that its work takes now.
bool StatesPace(const std::optional<LoadReport>& report);

// Removes the sends that a status covers which was sent this long ago.
void RemoveCoveredSends(Peer& peer, Timestamp now, Duration transit);
// Applies what an entry knows of the local backend server's rate limit, unless
// this process has it from the backend server itself.
void AdoptRateLimit(RelayStep& step, const RunOrder& order);
// Statement of the incarnation that ran the run.
BackendStatement MakeStatement(const RelayStep& step, const OpenRun& run);
// Whether the rate limit allows a start now. If not, schedules StartWaiting.
bool IsStartAllowed(RelayStep& step);
void RecordLimitedStart(RelayStep& step);
// The limit on starts that follows from the rate limit, if there is one.
std::optional<StartLimit> FindStartLimit(const RelayStep& step);
// The local backend server's answers state that it leaves.
void OnBackendStatedLeaving(RelayStep& step);
// No connection to the backend server could be opened.
void OnBackendUnreachable(RelayStep& step);
// Nothing listens at the backend server's address: it has ended.
void OnBackendConnectionRefused(RelayStep& step);
void OnBackendProbed(RelayStep& step, const BackendProbed& probed);
// Marks the backend server as unknown after too many missed heartbeats.
void CheckBackendSilence(RelayStep& step);
// A peer reports that the local backend server announced its end to an earlier
// process of this node.
void OnBackendLeft(RelayStep& step, const Departure& departure);

// Departures.

// Whether it is a departure of this incarnation.
bool IsAbout(const Departure& departure, const std::string& instance,
             std::int64_t started_at_ms);
// Whether the departure overrides a heartbeat with this sequence number of an
// incarnation.
bool HasLeft(const Departure& departure, const std::string& instance,
             std::int64_t started_at_ms, std::uint64_t sequence);

// Departures of the local backend server.

// Departure of this incarnation, or nullptr.
const Departure* FindDeparture(const RelayState& state,
                               const std::string& instance,
                               std::int64_t started_at_ms);
// Remembers the departure and has the store keep it.
void RecordDeparture(RelayStep& step, const Departure& departure);
// The incarnation is ready again after it had announced that it drains.
void RemoveDeparture(RelayStep& step, const std::string& instance,
                     std::int64_t started_at_ms);
// Answers the call as soon as the store keeps all departures recorded so far,
// or after a time limit.
void AnswerWhenKept(RelayStep& step, std::uint64_t call_id);
// Answers the calls whose time limit has come.
void AnswerOverdueDepartures(RelayStep& step);
void OnDeparturesRead(RelayStep& step, const DeparturesRead& read);
void OnDeparturesNotRead(RelayStep& step);
void OnDeparturesSaved(RelayStep& step);
// Has the store keep a record of this node, also without departures: a process
// that finds none knows that it is the node's first one.
void WriteFirstDepartureRecord(RelayStep& step);
void OnDeparturesNotSaved(RelayStep& step);
// Writes the departures to the store if it does not keep all of them.
void SaveUnkeptDepartures(RelayStep& step);
// The store may have lost what it kept. The next save writes all departures.
void MarkDeparturesUnkept(RelayStep& step);

// Unannounced ends of the local backend server.

// Records a run that ended without a response.
void RecordUnansweredRun(RelayStep& step, const OpenRun& run);
// Reports runs that broke after the end of their backend server was detected.
void ReportUnanswered(RelayStep& step);
// Probes the backend server after a broken run, as it may have ended.
void ProbeBackendAfterBreak(RelayStep& step);
// Selects the runs that may have been in progress when an incarnation ended:
// those that ended without a response at or after first_end_ and started at or
// before last_start_.
struct EndedWindow {
  Timestamp first_end_;
  Timestamp last_start_;
};
// The current incarnation has ended without deregistering. `how` is the
// evidence that the log shows.
void OnBackendEnded(RelayStep& step, const EndedWindow& window,
                    std::string_view how);

// Contents that may end backend servers.

// Verdict on a content when a given service calls with it.
ContentVerdict EvaluateContentForCaller(const RelayStep& step,
                                        const Fingerprint& content,
                                        const std::string& caller_service);
// Charges the contents of these runs of one incarnation and notifies peers.
void ChargeRuns(RelayStep& step, const std::vector<UnansweredRun>& runs);
// Clears a content of its caller's charges after a successful run.
void ClearContent(RelayStep& step, const OpenRun& run);
// Whether this run must not start: its content is condemned, or contained while
// another run of it is in progress.
bool IsBlockedBySuspicion(const RelayStep& step, const RunOrder& order);
// Track which contained contents have a run in progress. Called when a run
// starts and when it ends.
void RecordContainedRun(RelayStep& step, const OpenRun& run);
void RemoveContainedRun(RelayStep& step, const OpenRun& run);
void OnSuspicionNotice(RelayStep& step, std::uint64_t connection_id,
                       const std::string& peer, const SuspicionNotice& notice);
// Removes expired charges, and sends all charges to a peer that lacks some.
void TickSuspects(RelayStep& step);
// Sends all charges and clearances back on a connection that a peer opened.
void SendAllCharges(RelayStep& step, std::uint64_t connection_id);
void OnChargesRead(RelayStep& step, const ChargesRead& read);
void OnChargesSaved(RelayStep& step);
void OnChargesNotSaved(RelayStep& step);
// Writes the next content to the store whose charges there are out of date.
void SaveNextCharges(RelayStep& step);
// Writes all condemned contents to the store again.
void SaveAllCharges(RelayStep& step);
// Refuses waiting runs whose content has been condemned in the meantime.
void RefuseCondemnedWaiting(RelayStep& step);

// Peers.

// Returns the entry of a node; adds it and connects if it is new.
Peer& EnsurePeer(RelayStep& step, const std::string& address);
// `transit` is the time for which the message was delayed on its way.
void OnStatus(RelayStep& step, std::uint64_t connection_id, Duration transit,
              HostStatus& status);
void OnPeerConnected(RelayStep& step, const std::string& address);
void OnPeerDisconnected(RelayStep& step, const std::string& address);
void OnTableQuery(RelayStep& step, std::uint64_t connection_id,
                  const TableQuery& query);
void OnPeersQuery(RelayStep& step, std::uint64_t connection_id);
HostStatus MakeStatus(RelayStep& step);
// Sends the status to all connected peers immediately.
void BroadcastStatus(RelayStep& step);
// Sends the status to all connected peers of the zone immediately.
void SendStatusToZone(RelayStep& step);
// Announces a new document with a status message to peers with an older one:
// all of the local zone, and the first hosts of the other zones, which forward
// it.
void BroadcastTableVersion(RelayStep& step, bool from_peer);
// Connects to, checks and removes peers, and sends status messages that are
// due.
void TickPeers(RelayStep& step);
Distance DistanceTo(const RelayOptions& options, const HostStatus& status);
void LogPeer(RelayStep& step, const Peer& peer, std::string_view change);

// Silence of peers.

// A message arrived from the peer: ends its silence.
void RecordPeerActivity(Peer& peer, Timestamp now);
// Pings, avoids, suspects or reconnects a peer, by the time it has been silent.
void CheckSilence(RelayStep& step, Peer& peer);
// Checks whether this node itself is cut off from the network.
void CheckCutOff(RelayStep& step);
// Shifts the times of the last messages by a pause of this process: the silence
// of others during the pause means nothing.
void ExcludePauseFromSilence(RelayStep& step, Duration pause);

// Demand and admission.

// Counts a request. Returns true if it is a client's retry after a refusal.
bool CountDemand(RelayStep& step, const RouteRule& route, Duration remaining,
                 bool is_call);
// Source of a request: a client, or a run of the local backend server, which
// may be unknown (parent_run_ is 0 then).
struct Origin {
  bool is_call_ = false;
  std::uint64_t parent_run_ = 0;
};
// Finds the source by the named parent run, or else by deadline.
Origin FindOrigin(RelayStep& step, const RouteRule& route, Timestamp deadline,
                  const std::string& parent_trace_id);
// At the end of a window: updates demand, admission and the retry allowance.
void TickDemand(RelayStep& step);
// Services that a region lacks, as far as this node sees: no host there can run
// requests for them, and one of another region can. Stable since the last tick.
std::set<std::string> FindLackingServices(const RelayStep& step,
                                          const std::string& region);
// Updates what FindLackingServices returns.
void TickLackingServices(RelayStep& step);
// Recomputes this node's share of the fleet-wide bound on retries.
void UpdateRetryAllowance(RelayStep& step);

// Keys and quotas of workspaces.

// Counts a client's request, and whether it may be sent without exceeding the
// quota of its workspace.
bool CountWithinQuota(RelayStep& step, const Workspace& workspace);
// Reports the use of quotas, or adds up the reports of the zone's hosts.
void TickQuotas(RelayStep& step);
void OnQuotaReport(RelayStep& step, std::uint64_t connection_id,
                   QuotaReport& report);
// Whether the key of a request was valid when it arrived and no longer is.
bool IsKeyWithdrawn(const RelayStep& step, const OpenRequest& request);

// Store of the routing documents, of the list of nodes and of condemned
// contents.

void StartStore(RelayStep& step);
void OnStoreEra(RelayStep& step, std::uint64_t era);
void OnTableRead(RelayStep& step, TableRead& read);
void OnTableOffset(RelayStep& step, const TableOffset& offset);
// A peer has stated as of when it had the newest document.
void OnPeerDocumentAge(RelayStep& step, const Peer& peer);
// A peer has seen this era of the store.
void OnPeerStoreEra(RelayStep& step, std::uint64_t era);
void OnNodesRead(RelayStep& step, const NodesRead& read);
void OnNodeAnnounced(RelayStep& step);
// The store has answered a call of this kind.
void RecordStoreAnswer(RelayStep& step, StoreCall call);
void OnStoreFailed(RelayStep& step, const StoreFailed& failed);
// Repeats a failed call after its waiting time.
void RepeatStoreCall(RelayStep& step, StoreCall call);
// Starts a poll if this node is a reader, or has to read as nobody else does.
void TickStore(RelayStep& step);

// Planned stop and readiness.

// Time at which a planned stop answers what is still open, and the latest end
// of a run whose response is in time for it; Timestamp::max() without a stop.
Timestamp FinalAnswersAt(const RelayStep& step);
Timestamp LatestRunEnd(const RelayStep& step);
void OnStopRequested(RelayStep& step);
// Advances a planned stop: waits for open requests, answers the remaining ones
// shortly before the limit, and exits.
void TickStop(RelayStep& step);
// Ready: there is a routing document, and the node is neither stopping nor cut
// off.
void UpdateReady(RelayStep& step);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAY_INTERNAL_RELAY_STEP_H_
