#ifndef JUJUBEFRONT_RELAY_INTERNAL_RELAY_STEP_H_
#define JUJUBEFRONT_RELAY_INTERNAL_RELAY_STEP_H_

#include <string>
#include <vector>

#include "relay/relay_types.h"

namespace jujubefront {

// What the handlers of one event share.
struct RelayStep {
  RelayState& state_;
  const RelayOptions& options_;
  Timestamp now_;
  std::vector<RelayEffect>& effects_;
};

inline std::uint64_t NewId(RelayStep& step) { return ++step.state_.last_id_; }

inline void ScheduleTimer(RelayStep& step, Timestamp at, RelayTimerKind kind,
                          std::uint64_t id = 0) {
  step.state_.timers_.insert({at, kind, id});
}

// Entry side.
void OnRequest(RelayStep& step, RequestArrived& arrived);
void OnRequestCancelled(RelayStep& step, std::uint64_t request_id);
void OnRequestDeadline(RelayStep& step, std::uint64_t request_id);
void OnRunReply(RelayStep& step, RunReply& reply);
// Answers all requests that are still open; the node is about to end.
void AnswerOpenRequests(RelayStep& step);
// All sends to this peer are lost.
void OnPeerLost(RelayStep& step, Peer& peer);
// The peer does not answer; requests that may be repeated go elsewhere.
void OnPeerSuspected(RelayStep& step, Peer& peer);

// Hosts that can take a request, with what is known of them.
std::vector<Place> FindCandidates(RelayStep& step, const OpenRequest& request);
// Counts how a run at a peer's backend server ended.
void RecordRunOutcome(RelayStep& step, Peer& peer, bool failed);

// Host side.
void OnRunOrder(RelayStep& step, std::uint64_t connection_id, RunOrder& order);
void OnRunCancel(RelayStep& step, std::uint64_t connection_id,
                 std::uint64_t send_id);
void OnEntryDisconnected(RelayStep& step, std::uint64_t connection_id);
void OnBackendResponded(RelayStep& step, BackendResponded& responded);
void OnBackendExchangeFailed(RelayStep& step,
                             const BackendExchangeFailed& broke);
void OnRunDeadline(RelayStep& step, std::uint64_t run_id);
void SweepWaiting(RelayStep& step);
// Mean time for which runs of the own backend server hold their slots.
Duration MeanHoldTime(const RelayState& state);
void StartWaiting(RelayStep& step);
// A run goes to the own backend server.
void RecordBackendArrival(RelayStep& step, const OpenRun& run);
// The own backend server has rejected a run. True when it is to get it again:
// what rejects a share of everything may take it the next time, at no cost on
// the way, and the retries of the service are spent where all that need them
// meet.
bool MayRepeatRejected(RelayStep& step, OpenRun& run);
void TickArrivals(RelayStep& step);
// Refuses everything that waits for a slot.
void RefuseWaiting(RelayStep& step, NotRunReason reason);
// Run at the own backend server whose deadline this call shares, or 0.
std::uint64_t FindParentRun(const RelayStep& step, Timestamp deadline,
                            Duration tolerance);

// The own backend server.
void OnBackendHeartbeat(RelayStep& step, const BackendHeartbeat& heard);
void OnBackendDeregistered(RelayStep& step, const BackendDeregistered& leaves);
// No connection to it can be opened.
void OnBackendUnreachable(RelayStep& step);
// Nobody listens at its address.
void OnBackendRefused(RelayStep& step);
void OnBackendProbed(RelayStep& step, const BackendProbed& probed);
void CheckBackendSilence(RelayStep& step);
// A peer remembers what the own backend server said to an earlier process.
void OnBackendLeft(RelayStep& step, const BackendLeft& left);
// Whether this notice covers what an incarnation says with a heartbeat.
bool HasLeft(const BackendLeft& left, const std::string& instance,
             std::int64_t started_at_ms, std::uint64_t sequence);

// Ends of incarnations of the own backend server.
// The run gets no response any more.
void RecordUnansweredRun(RelayStep& step, const OpenRun& run);
// Reports runs that broke after the end of their backend server was known.
void ReportUnanswered(RelayStep& step);
// A run has broken: the backend server may have ended.
void ProbeBackendAfterBreak(RelayStep& step);
// Runs that may have been in progress when an incarnation ended: those that
// ended without a response since then, and had begun by then.
struct EndedWindow {
  Timestamp first_end_;
  Timestamp last_start_;
};
// The present incarnation has ended without notice.
void OnBackendEnded(RelayStep& step, const EndedWindow& window,
                    std::string_view how);

// Contents that may end backend servers.
ContentVerdict EvaluateContentForCaller(const RelayStep& step,
                                        const Fingerprint& content,
                                        const std::string& caller_service);
// Charges the contents of these runs of one incarnation, and tells others.
void ChargeRuns(RelayStep& step, const std::vector<UnansweredRun>& runs);
// The run has succeeded, which takes back what its content was charged with.
void ClearContent(RelayStep& step, const OpenRun& run);
// Whether the own backend server may begin this run now.
bool IsBlockedBySuspicion(const RelayStep& step, const RunOrder& order);
// A run has begun, and has ended.
void RecordContainedRun(RelayStep& step, const OpenRun& run);
void RemoveContainedRun(RelayStep& step, const OpenRun& run);
void OnSuspicionNotice(RelayStep& step, std::uint64_t connection_id,
                       const std::string& peer, const SuspicionNotice& notice);
void TickSuspects(RelayStep& step);
// Refuses what waits for a slot and is condemned by now.
void RefuseCondemnedWaiting(RelayStep& step);

// Peers.
Peer& EnsurePeer(RelayStep& step, const std::string& address);
void OnStatus(RelayStep& step, std::uint64_t connection_id, HostStatus& status);
void OnPeerConnected(RelayStep& step, const std::string& address);
void OnPeerDisconnected(RelayStep& step, const std::string& address);
void OnTableQuery(RelayStep& step, std::uint64_t connection_id,
                  const TableQuery& query);
void OnPeersQuery(RelayStep& step, std::uint64_t connection_id);
HostStatus MakeStatus(RelayStep& step);
// Tells every connected peer at once.
void BroadcastStatus(RelayStep& step);
// Tells those peers whose document is older that pass it on: the own zone, and
// the first hosts of the others.
void BroadcastTableVersion(RelayStep& step, bool from_peer);
void TickPeers(RelayStep& step);
Distance DistanceTo(const RelayOptions& options, const HostStatus& status);
void LogPeer(RelayStep& step, const Peer& peer, std::string_view change);

// Silence of peers.
void RecordPeerActivity(Peer& peer, Timestamp now);
// Pings, avoids, gives up or reconnects a peer by how long it was silent.
void CheckSilence(RelayStep& step, Peer& peer);
// Finds out whether this node is the one that is cut off.
void CheckCutOff(RelayStep& step);
// This node has not run for so long: what it did not hear meanwhile says
// nothing about others.
void ExcludePauseFromSilence(RelayStep& step, Duration pause);

// Demand and admission.
// Counts a request. True when a client comes back after a refusal.
bool CountDemand(RelayStep& step, const RouteRule& route, Duration remaining,
                 bool is_call);
// Who made a request: a backend server's run, if it is known which, or a
// client.
struct Origin {
  bool is_call_ = false;
  std::uint64_t parent_run_ = 0;
};
Origin FindOrigin(RelayStep& step, const RouteRule& route, Timestamp deadline,
                  const std::string& parent_trace_id);
void TickDemand(RelayStep& step);
// Works out this node's part of the fleet's retries anew.
void UpdateRetryAllowance(RelayStep& step);

// Store.
void StartStore(RelayStep& step);
void OnTable(RelayStep& step, TableRead& read);
void OnTableOffset(RelayStep& step, std::uint64_t next);
void OnNodesRead(RelayStep& step, const NodesRead& read);
void OnNodeAnnounced(RelayStep& step);
void OnStoreFailed(RelayStep& step, const StoreFailed& failed);
void RepeatStoreCall(RelayStep& step, StoreCall call);
void TickStore(RelayStep& step);

// Stop.
void OnStopRequested(RelayStep& step);
void TickStop(RelayStep& step);
void UpdateReady(RelayStep& step);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAY_INTERNAL_RELAY_STEP_H_
