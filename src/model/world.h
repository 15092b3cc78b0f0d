#ifndef JUJUBEFRONT_MODEL_WORLD_H_
#define JUJUBEFRONT_MODEL_WORLD_H_

#include <functional>
#include <memory>
#include <optional>
#include <queue>

#include "model/log_fake.h"
#include "model/model_types.h"

namespace jujubefront {

struct WorldOptions {
  std::uint64_t seed_ = 1;
  NetworkModel network_;
  std::string log_region_;
  Timestamp start_ = Timestamp(std::chrono::seconds(1'790'000'000));
};

// Discrete-event simulation of many nodes in virtual time. The nodes run the
// real reducer; the network, backend servers, shared log and callers are fakes.
// A run with the same seed gives the same result.
class World {
 public:
  using AnswerHandler = std::function<void(const AnswerCaller&)>;

  explicit World(WorldOptions options);

  // Starts a host. If the name exists already, a new process with an empty
  // state replaces the old one.
  void StartHost(const HostModel& host);

  // Executes all scheduled actions up to and including `end`.
  void RunUntil(Timestamp end);
  // Schedules an action; a time in the past means now.
  void At(Timestamp time, std::function<void()> action);

  // Sends a call to a node as a caller would. The handler receives the answer,
  // unless the node is killed first. Returns the call's id at that node.
  std::uint64_t SendCall(const std::string& entry, CallArrived call,
                         Duration delay, const AnswerHandler& handler);
  // Closes the caller's connection, so that the handler receives nothing.
  void AbandonCall(const std::string& entry, std::uint64_t call_id);

  // Fault injection.
  void KillNode(const std::string& name);
  void Freeze(const std::string& name);
  void Thaw(const std::string& name);
  void SetZoneCut(const std::string& zone, bool cut);
  void Drain(const std::string& name);
  void CrashBackend(const std::string& name, Duration down);
  void SlowService(const std::string& service, double factor);
  void LoseReplies(double share) { lost_reply_share_ = share; }

  Timestamp now() const { return now_; }
  RandomState& random() { return random_; }
  LogFake& log() { return log_; }
  ModelTotals& totals() { return totals_; }
  const NodeState* FindState(const std::string& name) const;
  std::vector<std::string> NodeNames() const;
  bool IsAlive(const std::string& name) const;
  const HostModel& host(const std::string& name) const;

 private:
  friend struct EffectModel;
  friend class BackendFake;

  struct ModelNode {
    HostModel host_;
    NodeState state_;
    BackendFakeState backend_;
    bool alive_ = false;
    bool frozen_ = false;
    std::uint64_t process_number_ = 0;       // counts starts under this name
    std::vector<EventBody> pending_events_;  // received while frozen
    std::optional<Timestamp> wake_at_;
    std::unordered_map<std::uint64_t, AnswerHandler> handlers_;
  };

  // A request between nodes that is not completed yet.
  struct InFlightRequest {
    std::string from_;
    std::uint64_t from_process_ = 0;
    std::uint64_t send_id_ = 0;
    std::string to_;
    std::uint64_t to_process_ = 0;
  };

  struct Scheduled {
    Timestamp at_;
    std::uint64_t order_ = 0;
    std::shared_ptr<std::function<void()>> action_;
    bool operator>(const Scheduled& other) const {
      return std::tie(at_, order_) > std::tie(other.at_, other.order_);
    }
  };

  void DispatchEvent(const std::string& name, std::uint64_t process_number,
                     EventBody body);
  void Execute(ModelNode& node, const Effect& effect);
  void ScheduleWake(ModelNode& node);
  void Deliver(const std::string& from, const SendPeer& send);
  void Reply(const std::string& from, const ReplyPeer& reply);
  void WithdrawRequest(const std::string& from, std::uint64_t send_id);
  void EraseRequest(std::uint64_t request_id);
  void CompleteRequest(std::uint64_t request_id, EventBody body,
                       Duration delay);
  Duration DelayBetween(const ModelNode& a, const ModelNode& b,
                        const PeerMessage& message);
  bool AreCut(const ModelNode& a, const ModelNode& b) const;
  ModelNode* FindByAddress(const std::string& address);

  WorldOptions options_;
  RandomState random_;
  Timestamp now_;
  std::uint64_t last_order_ = 0;
  std::uint64_t last_id_ = 0;
  std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>>
      schedule_;
  std::map<std::string, ModelNode> nodes_;
  std::map<std::string, std::string> by_address_;
  std::unordered_map<std::uint64_t, InFlightRequest> in_flight_;
  std::map<std::tuple<std::string, std::uint64_t, std::uint64_t>,
           std::uint64_t>
      request_of_send_;  // by sender, its process and its send id
  std::set<std::string> cut_zones_;
  double lost_reply_share_ = 0.0;
  Timestamp link_free_at_;
  LogFake log_;
  ModelTotals totals_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_MODEL_WORLD_H_
