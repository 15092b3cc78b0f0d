#include "model/fault_stories.h"

#include <memory>

#include "model/deployments.h"

namespace jujubefront {
namespace {

constexpr Duration kWarmUp = std::chrono::seconds(3);
constexpr Duration kCoolDown = std::chrono::seconds(20);
constexpr std::uint32_t kMaxResends = 4;
constexpr double kLostReplyShare = 0.5;
constexpr Duration kBackendDown = std::chrono::milliseconds(300);

Deployment SafetyDeployment(const FaultStory& story) {
  Deployment deployment = ChainDeployment(2);
  for (HostModel& host : deployment.hosts_) {
    host.backend_.work_ = std::chrono::milliseconds(30);
    host.node_.requests_.seals_ = story.seals_;
    host.node_.membership_.join_waits_for_all_ = story.join_waits_for_all_;
    host.node_.drain_quiet_time_ = std::chrono::seconds(1);
    host.node_.stop_deadline_ = std::chrono::seconds(5);
  }
  return deployment;
}

// Schedules and injects the faults of a scenario.
class FaultInjector {
 public:
  FaultInjector(World& world, const FaultStory& story)
      : world_(world), story_(story) {}

  void Schedule(Timestamp start) {
    for (const Fault& fault : story_.faults_) {
      world_.At(start + fault.at_, [this, fault] { Begin(fault); });
    }
  }

 private:
  std::string Subject(const Fault& fault) const {
    const auto names = world_.NodeNames();
    return names[fault.subject_ % names.size()];
  }

  void Begin(const Fault& fault) {
    const std::string name = Subject(fault);
    const Timestamp end = world_.now() + fault.length_;
    switch (fault.kind_) {
      case FaultKind::kKillAndRestart:
        Kill(name);
        return Restart(name, end);
      case FaultKind::kKill:
        return Kill(name);
      case FaultKind::kFreeze:
        world_.Freeze(name);
        return world_.At(end, [this, name] { world_.Thaw(name); });
      case FaultKind::kCutZone:
        return CutZone(world_.host(name).node_.zone_, end);
      case FaultKind::kLogOutage:
        world_.log().available_ = false;
        return world_.At(end, [this] { world_.log().available_ = true; });
      case FaultKind::kLoseReplies:
        world_.LoseReplies(kLostReplyShare);
        return world_.At(end, [this] { world_.LoseReplies(0.0); });
      case FaultKind::kDrain:
        return world_.Drain(name);
      case FaultKind::kJoin:
        return Join(name);
      case FaultKind::kBackendCrash:
        return world_.CrashBackend(name, kBackendDown);
    }
  }

  void Kill(const std::string& name) {
    world_.Thaw(name);
    world_.KillNode(name);
  }

  void Restart(const std::string& name, Timestamp at) {
    world_.At(at, [this, name] {
      if (world_.IsAlive(name)) return;
      const HostModel host = world_.host(name);
      world_.StartHost(host);
    });
  }

  void CutZone(const std::string& zone, Timestamp end) {
    world_.SetZoneCut(zone, true);
    world_.At(end, [this, zone] { world_.SetZoneCut(zone, false); });
  }

  void Join(const std::string& model) {
    HostModel host = world_.host(model);
    host.node_.name_ += "-" + std::to_string(++joined_);
    host.node_.rpc_address_ = host.node_.name_;
    world_.StartHost(host);
  }

  World& world_;
  const FaultStory& story_;
  int joined_ = 0;
};

// A request with the state of its caller and the verdict received.
struct TrackedRequest {
  RequestKey key_;
  CallerKind kind_ = CallerKind::kStating;
  std::uint32_t attempt_ = 0;
  std::string ticket_;
  bool ended_ = false;
  bool waiting_ = false;
  std::string entry_;
  std::uint64_t call_id_ = 0;
  Timestamp last_sent_;
  std::optional<Verdict> verdict_;
};

// Callers that resend, each time through a random node, until they receive a
// final answer or reach the maximum number of resends.
class SafetyCallers {
 public:
  SafetyCallers(World& world, const FaultStory& story)
      : world_(world), story_(story), random_{.state_ = story.seed_ * 31} {}

  void Schedule(Timestamp start) {
    requests_.resize(story_.requests_);
    for (std::size_t i = 0; i < requests_.size(); ++i) {
      const auto offset = static_cast<std::int64_t>(NextBelow(
          random_, static_cast<std::uint64_t>(story_.length_.count())));
      world_.At(start + Duration(offset), [this, i] { Begin(i); });
    }
  }

  const std::vector<TrackedRequest>& requests() const { return requests_; }
  std::uint32_t resends() const { return resends_; }

 private:
  void Begin(std::size_t index) {
    TrackedRequest& request = requests_[index];
    request.key_ =
        MakeRequestKey(world_.now(), NextRandom(random_), NextRandom(random_));
    request.kind_ = static_cast<CallerKind>(NextBelow(random_, 3));
    Send(index);
  }

  std::string AnyEntry() {
    const auto names = world_.NodeNames();
    return names[NextBelow(random_, names.size())];
  }

  void Send(std::size_t index) {
    TrackedRequest& request = requests_[index];
    if (request.ended_) return;
    request.entry_ = AnyEntry();
    request.waiting_ = true;
    request.last_sent_ = world_.now();
    CallArrived call{.service_ = "s0",
                     .method_ = "POST",
                     .path_ = "/",
                     .key_ = request.key_};
    if (request.kind_ != CallerKind::kUnaware) call.attempt_ = request.attempt_;
    if (request.kind_ == CallerKind::kWithTicket) {
      call.ticket_ = request.ticket_;
    }
    const std::uint32_t attempt = request.attempt_;
    request.call_id_ = world_.SendCall(
        request.entry_, std::move(call), std::chrono::milliseconds(1),
        [this, index, attempt](const AnswerCaller& answer) {
          OnAnswer(index, attempt, answer);
        });
    const auto answer_timeout = std::chrono::milliseconds(
        50 + static_cast<std::int64_t>(NextBelow(random_, 1500)));
    world_.At(world_.now() + answer_timeout,
              [this, index, attempt] { OnAnswerTimeout(index, attempt); });
  }

  void OnAnswer(std::size_t index, std::uint32_t attempt,
                const AnswerCaller& answer) {
    TrackedRequest& request = requests_[index];
    // "Not run" covers only the sends up to the one that it answers: a later
    // send of the same caller may still run. "Finished" counts whenever it
    // arrives.
    const bool latest = request.attempt_ == attempt;
    if (latest || answer.answer_.verdict_ == Verdict::kFinished) {
      request.verdict_ = answer.answer_.verdict_;
    }
    if (!request.waiting_ || !latest) return;
    request.waiting_ = false;
    if (answer.answer_.verdict_ != Verdict::kUnknown) {
      request.ended_ = true;
      return;
    }
    if (!answer.answer_.ticket_.empty()) {
      request.ticket_ = answer.answer_.ticket_;
    }
    Resend(index);
  }

  void OnAnswerTimeout(std::size_t index, std::uint32_t attempt) {
    TrackedRequest& request = requests_[index];
    if (!request.waiting_ || request.attempt_ != attempt) return;
    request.waiting_ = false;
    // Half of the callers close their connection; the others leave it open.
    if (NextBelow(random_, 2) == 0) {
      world_.AbandonCall(request.entry_, request.call_id_);
    }
    Resend(index);
  }

  void Resend(std::size_t index) {
    TrackedRequest& request = requests_[index];
    if (request.attempt_ >= kMaxResends) return;
    ++request.attempt_;
    ++resends_;
    Timestamp at =
        world_.now() +
        std::chrono::milliseconds(static_cast<int>(NextBelow(random_, 300)));
    if (request.kind_ == CallerKind::kUnaware) {
      at = std::max(at, request.last_sent_ + std::chrono::seconds(1));
    }
    world_.At(at, [this, index] { Send(index); });
  }

  World& world_;
  const FaultStory& story_;
  RandomState random_;
  std::vector<TrackedRequest> requests_;
  std::uint32_t resends_ = 0;
};

void EvaluateRequest(const ModelTotals& totals, const TrackedRequest& request,
                     FaultResult& result) {
  const bool ran = totals.runs_.contains(request.key_);
  if (!request.verdict_) {
    ++result.unanswered_;
    return;
  }
  switch (*request.verdict_) {
    case Verdict::kFinished:
      ++result.finished_;
      if (!ran) ++result.finished_but_never_ran_;
      return;
    case Verdict::kNotRun:
      ++result.not_run_;
      if (ran) ++result.not_run_but_ran_;
      return;
    case Verdict::kUnknown:
      ++result.unknown_;
      return;
    case Verdict::kFailed:
    case Verdict::kExpired:
    case Verdict::kCondemned:
      ++result.other_;
      return;
  }
}

FaultResult EvaluateRun(World& world, const SafetyCallers& callers) {
  FaultResult result{
      .requests_ = static_cast<std::uint32_t>(callers.requests().size()),
      .resends_ = callers.resends()};
  const ModelTotals& totals = world.totals();
  for (const auto& [key, runs] : totals.runs_) {
    if (runs.size() > 1) ++result.keys_run_twice_;
  }
  for (const TrackedRequest& request : callers.requests()) {
    EvaluateRequest(totals, request, result);
  }
  for (const std::string& name : world.NodeNames()) {
    result.rounds_ += world.FindState(name)->counters_.rounds_;
  }
  return result;
}

}  // namespace

FaultResult RunFaultStory(const FaultStory& story) {
  World world({.seed_ = story.seed_, .log_region_ = "store"});
  StartDeployment(world, SafetyDeployment(story));
  const Timestamp start = world.now() + kWarmUp;
  FaultInjector injector(world, story);
  injector.Schedule(start);
  SafetyCallers callers(world, story);
  callers.Schedule(start);
  world.RunUntil(start + story.length_ + kCoolDown);
  return EvaluateRun(world, callers);
}

std::vector<Fault> RandomFaults(std::uint64_t seed, std::size_t count,
                                Duration length) {
  RandomState random{.state_ = seed};
  std::vector<Fault> faults;
  faults.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    const auto at = static_cast<std::int64_t>(
        NextBelow(random, static_cast<std::uint64_t>(length.count())));
    const auto length_ms =
        static_cast<std::int64_t>(50 + NextBelow(random, 4000));
    faults.push_back(
        {.at_ = Duration(at),
         .kind_ = static_cast<FaultKind>(NextBelow(random, kFaultKinds)),
         .subject_ = static_cast<std::uint32_t>(NextBelow(random, 1000)),
         .length_ = std::chrono::milliseconds(length_ms)});
  }
  return faults;
}

}  // namespace jujubefront
