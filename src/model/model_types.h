#ifndef JUJUBEFRONT_MODEL_MODEL_TYPES_H_
#define JUJUBEFRONT_MODEL_MODEL_TYPES_H_

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "node/node.h"

namespace jujubefront {

// One-way delays, and the bandwidth of the link that all nodes share between
// regions.
struct NetworkModel {
  Duration in_zone_ = std::chrono::microseconds(100);
  Duration between_zones_ = std::chrono::microseconds(1500);
  Duration between_regions_ = std::chrono::milliseconds(30);
  Duration to_client_ = std::chrono::milliseconds(8);
  double link_bits_per_second_ = 30e6;
  std::size_t message_overhead_bytes_ = 200;
};

// Parameters of a modelled backend server: requests queue for its slots in
// order of arrival.
struct BackendModelSpec {
  std::uint32_t slots_ = 40;
  Duration work_ = std::chrono::milliseconds(5);  // mean of an exponential time
  std::vector<std::string> children_;             // services called in sequence
};

// A modelled host: a node and its backend server.
struct HostModel {
  NodeOptions node_;
  BackendModelSpec backend_;
};

// A request that a modelled backend server holds: queued, running or waiting
// for a child call.
struct BackendJob {
  std::uint64_t run_id_ = 0;
  CallContext context_;
  std::size_t next_child_ = 0;
  Timestamp started_at_;
  bool running_ = false;
};

// State of a modelled backend server.
struct BackendFakeState {
  std::uint32_t busy_ = 0;
  std::vector<std::uint64_t> waiting_;  // run ids, oldest first
  std::unordered_map<std::uint64_t, BackendJob> jobs_;
  double slowness_ = 1.0;  // factor on the work time
  bool alive_ = true;
};

// Where and when a backend server received a run of a request key.
struct RunRecord {
  std::string node_;
  Timestamp at_;
};

// A kind of request that callers send.
// `weight_` is its relative frequency.
struct CallerCall {
  std::string service_;
  std::string method_ = "GET";
  std::string path_ = "/";
  std::string class_name_;
  bool idempotent_ = true;
  double weight_ = 1.0;
};

// Requests that callers send, and their timeout and resend behaviour.
struct CallerModel {
  std::vector<CallerCall> calls_;
  // Time without an answer after which a caller closes its connection and
  // resends.
  Duration answer_timeout_ = std::chrono::seconds(1);
  std::uint32_t max_resends_ = 3;
  // Share of resends that ignore Retry-After and are sent after
  // `impatient_delay_`.
  double impatient_share_ = 0.5;
  Duration impatient_delay_ = std::chrono::milliseconds(100);
};

// Outcome of one request of a caller, resends included.
struct RequestOutcome {
  std::string class_name_;
  Timestamp first_sent_;
  Timestamp ended_;
  bool succeeded_ = false;
  std::uint32_t sends_ = 0;
};

// Data collected during a run of the model.
struct ModelTotals {
  std::vector<RequestOutcome> requests_;
  std::unordered_map<RequestKey, std::vector<RunRecord>, RequestKeyHash> runs_;
  std::unordered_map<RequestKey, double, RequestKeyHash> work_by_root_;
  std::unordered_map<RequestKey, std::uint32_t, RequestKeyHash> tries_by_root_;
  std::set<RequestKey> succeeded_roots_;
  std::vector<Timestamp> sends_at_;  // first sends and resends, in order
  double crossing_bytes_ = 0.0;
  std::uint64_t log_appends_ = 0;
  std::uint64_t events_ = 0;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_MODEL_MODEL_TYPES_H_
