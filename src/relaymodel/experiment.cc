#include "relaymodel/experiment.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "base/hashing.h"
#include "http1/http1_types.h"
#include "relaymodel/fleet_simulator.h"

namespace jujubefront {
namespace {

// Time in which relays find each other before clients come.
constexpr Duration kWarmUp = std::chrono::seconds(4);
// Wait of a client that does not honour Retry-After.
constexpr Duration kHastyWait = std::chrono::milliseconds(50);
// Honoured up to this part of the time that a client has left.
constexpr int kHonouredPart = 3;
// A refusal is late after this part of the objective.
constexpr int kLateRefusalPart = 8;
// Ends of backend servers after which a content must not run.
constexpr std::size_t kCrashesThatMustStop = 3;
constexpr Duration kRestartTime = std::chrono::seconds(1);
// Goodput counts as recovered from this part of that before the surge on.
constexpr double kRecoveredShare = 0.95;

// One client request over all its attempts.
struct ClientRequest {
  const FleetRoute* route_ = nullptr;
  std::string root_;
  std::vector<std::size_t> hosts_;  // of the client's zone
  Timestamp first_at_;
  Timestamp sent_at_;
  int attempts_ = 0;
};

class Experiment {
 public:
  Experiment(const Fleet& fleet, const FleetPolicy& policy,
             const FleetRunOptions& options)
      : options_(options),
        world_(fleet, policy, options.seed_),
        begin_(world_.now() + kWarmUp) {
    const auto seconds =
        static_cast<std::size_t>(options.length_ / std::chrono::seconds(1));
    asked_.resize(seconds);
    got_.resize(seconds);
    world_.OnRunEnd([this](const std::string& root, Duration held) {
      held_ += InSeconds(held);
      if (failed_.contains(root)) {
        wasted_ += InSeconds(held);
      } else {
        held_by_root_[root] += InSeconds(held);
      }
    });
  }

  FleetResult Run() {
    std::map<std::string, std::vector<std::size_t>> zones;
    const auto& hosts = world_.fleet().hosts_;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      zones[hosts[i].zone_].push_back(i);
    }
    for (const FleetRoute& route : world_.fleet().routes_) {
      if (route.per_second_ <= 0.0) continue;
      for (const auto& [zone, members] : zones) {
        ScheduleArrival(route, members,
                        route.per_second_ / static_cast<double>(zones.size()),
                        begin_);
      }
    }
    for (const FleetRejection& rejection : options_.rejections_) {
      world_.At(begin_ + rejection.from_, [this, &rejection] {
        world_.SetRejection(rejection.service_, rejection.share_);
      });
      world_.At(begin_ + rejection.to_, [this, &rejection] {
        world_.SetRejection(rejection.service_, 0.0);
      });
    }
    for (std::size_t i = 0; i < options_.crashing_contents_.size(); ++i) {
      world_.AddCrashingBody(CrashingBody(i));
      ScheduleCrashing(i, begin_ + options_.crashing_contents_[i].from_);
    }
    result_.crashing_.resize(options_.crashing_contents_.size());
    for (const FleetCrash& crash : options_.crashes_) {
      world_.At(begin_ + crash.at_, [this, &crash] { Crash(crash); });
    }
    for (const FleetCut& cut : options_.cuts_) {
      world_.At(begin_ + cut.from_,
                [this, &cut] { world_.SetCut(cut.zone_, true); });
      world_.At(begin_ + cut.to_,
                [this, &cut] { world_.SetCut(cut.zone_, false); });
    }
    for (const FleetRestart& restart : options_.restarts_) {
      world_.At(begin_ + restart.at_, [this, &restart] { Restart(restart); });
    }
    constexpr Duration kTail = std::chrono::seconds(6);
    world_.RunUntil(begin_ + options_.length_ + kTail);
    return Judge();
  }

 private:
  double FactorAt(Timestamp time) const {
    double factor = options_.base_factor_;
    for (const FleetSurge& surge : options_.surges_) {
      const Duration at = time - begin_;
      if (at >= surge.from_ && at < surge.to_) factor *= surge.factor_;
    }
    return factor;
  }

  void ScheduleArrival(const FleetRoute& route,
                       const std::vector<std::size_t>& hosts, double rate,
                       Timestamp after) {
    const double unit = std::max(1e-12, 1.0 - NextUnit(world_.random()));
    const double wait = -std::log(unit) / (rate * FactorAt(after));
    const Timestamp at =
        after + Duration(static_cast<std::int64_t>(wait * 1e6));
    if (at >= begin_ + options_.length_) return;
    world_.At(at, [this, &route, hosts, rate] {
      ScheduleArrival(route, hosts, rate, world_.now());
      Begin(route, hosts);
    });
  }

  static std::string CrashingBody(std::size_t number) {
    return "crash-" + std::to_string(number);
  }

  void ScheduleCrashing(std::size_t number, Timestamp at) {
    const FleetCrashingContent& content = options_.crashing_contents_[number];
    if (at >= begin_ + content.to_) return;
    world_.At(at, [this, number] {
      SendCrashing(number);
      ScheduleCrashing(
          number, world_.now() + options_.crashing_contents_[number].every_);
    });
  }

  void SendCrashing(std::size_t number) {
    const FleetCrashingContent& content = options_.crashing_contents_[number];
    const Fleet& fleet = world_.fleet();
    const auto route = std::find_if(
        fleet.routes_.begin(), fleet.routes_.end(),
        [&](const FleetRoute& r) { return r.name_ == content.route_; });
    std::vector<std::size_t> hosts;
    for (std::size_t i = 0; i < fleet.hosts_.size(); ++i) {
      if (content.caller_.empty() ||
          fleet.hosts_[i].service_ == content.caller_) {
        hosts.push_back(i);
      }
    }
    if (route == fleet.routes_.end() || hosts.empty()) return;
    FleetCrashingResult& result = result_.crashing_[number];
    ++result.sent_;
    const std::string body = CrashingBody(number);
    world_.Send(hosts[NextBelow(world_.random(), hosts.size())], *route,
                "x" + std::to_string(++last_) + ".1",
                content.by_call_ ? RelayWorld::CarrierOf(body) : body,
                route->deadline_, [&result](const Http1Response& response) {
                  ++result.statuses_[response.status_];
                });
  }

  // Draws a share of the hosts of a service, or of all when it is empty.
  std::vector<std::size_t> DrawHosts(const std::string& service, double share) {
    const auto& hosts = world_.fleet().hosts_;
    std::vector<std::size_t> members;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      if (service.empty() || hosts[i].service_ == service) members.push_back(i);
    }
    const auto count = static_cast<std::size_t>(
        std::lround(share * static_cast<double>(members.size())));
    std::vector<std::size_t> drawn;
    while (drawn.size() < count) {
      const std::size_t chosen = NextBelow(world_.random(), members.size());
      drawn.push_back(members[chosen]);
      members.erase(members.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    return drawn;
  }

  void Crash(const FleetCrash& crash) {
    for (const std::size_t host : DrawHosts(crash.service_, crash.share_)) {
      world_.CrashBackend(host);
    }
  }

  void Restart(const FleetRestart& restart) {
    const std::vector<std::size_t> hosts = DrawHosts("", restart.share_);
    for (const std::size_t host : hosts) world_.Kill(host);
    world_.At(world_.now() + kRestartTime, [this, hosts] {
      for (const std::size_t host : hosts) world_.Restart(host);
    });
  }

  void JudgeCrashing() {
    for (std::size_t i = 0; i < result_.crashing_.size(); ++i) {
      FleetCrashingResult& result = result_.crashing_[i];
      const auto& runs = world_.crashing_bodies().at(CrashingBody(i));
      result.runs_ = runs.began_.size();
      result.ended_ = runs.ended_.size();
      if (result.ended_ < kCrashesThatMustStop) continue;
      const Timestamp known =
          runs.ended_[kCrashesThatMustStop - 1] + kCrashesKnownAfter;
      result.runs_late_ = static_cast<std::uint64_t>(
          std::count_if(runs.began_.begin(), runs.began_.end(),
                        [&](Timestamp at) { return at > known; }));
    }
  }

  std::size_t SecondOf(Timestamp time) const {
    return static_cast<std::size_t>((time - begin_) / std::chrono::seconds(1));
  }

  void Begin(const FleetRoute& route, const std::vector<std::size_t>& hosts) {
    auto request = std::make_shared<ClientRequest>();
    request->route_ = &route;
    request->root_ = "c" + std::to_string(++last_);
    request->hosts_ = hosts;
    request->first_at_ = world_.now();
    ++result_.routes_[route.name_].asked_;
    asked_.at(SecondOf(world_.now())) += route.worth_;
    Send(request);
  }

  void Send(const std::shared_ptr<ClientRequest>& request) {
    ++request->attempts_;
    request->sent_at_ = world_.now();
    const std::size_t host =
        request->hosts_[NextBelow(world_.random(), request->hosts_.size())];
    const Duration left =
        request->first_at_ + request->route_->deadline_ - world_.now();
    world_.Send(host, *request->route_,
                request->root_ + "." + std::to_string(request->attempts_),
                options_.alike_ ? "" : request->root_, left,
                [this, request](const Http1Response& response) {
                  OnAnswer(request, response);
                });
  }

  void OnAnswer(const std::shared_ptr<ClientRequest>& request,
                const Http1Response& response) {
    const Duration elapsed = world_.now() - request->first_at_;
    const FleetRoute& route = *request->route_;
    FleetRouteResult& counts = result_.routes_[route.name_];
    if (response.status_ == 200) {
      const bool in_time = elapsed <= route.objective_;
      ++(in_time ? counts.in_time_ : counts.late_);
      if (in_time) got_.at(SecondOf(request->first_at_)) += route.worth_;
      held_by_root_.erase(request->root_);
      return;
    }
    if (response.status_ == 503) {
      ++refusals_;
      const Duration took = world_.now() - request->sent_at_;
      if (took > route.objective_ / kLateRefusalPart) ++late_refusals_;
    }
    const Duration left = route.deadline_ - elapsed;
    // What may be repeated is sent again after any failure.
    const bool returns = response.status_ == 503 || route.idempotent_;
    if (returns && request->attempts_ <= options_.retries_ &&
        left > kHastyWait) {
      return Return(request, response, left);
    }
    ++(response.status_ == 503 ? counts.refused_ : counts.failed_);
    wasted_ += held_by_root_[request->root_];
    held_by_root_.erase(request->root_);
    failed_.insert(request->root_);
  }

  void Return(const std::shared_ptr<ClientRequest>& request,
              const Http1Response& response, Duration left) {
    Duration wait = kHastyWait;
    const std::string* told = FindHeader(response.headers_, "Retry-After");
    const bool honours =
        NextUnit(world_.random()) < options_.honours_retry_after_;
    if (told != nullptr && honours) {
      wait =
          std::min(left / kHonouredPart,
                   Duration(static_cast<std::int64_t>(std::stod(*told) * 1e6)));
    }
    world_.At(world_.now() + wait, [this, request] { Send(request); });
  }

  FleetResult Judge() {
    double asked = 0.0;
    double got = 0.0;
    for (std::size_t i = 0; i < asked_.size(); ++i) {
      asked += asked_[i];
      got += got_[i];
      result_.worth_by_second_.push_back(asked_[i] > 0.0 ? got_[i] / asked_[i]
                                                         : 1.0);
    }
    result_.worth_share_ = asked > 0.0 ? got / asked : 1.0;
    result_.wasted_work_ = held_ > 0.0 ? wasted_ / held_ : 0.0;
    result_.refused_late_ = refusals_ > 0
                                ? static_cast<double>(late_refusals_) /
                                      static_cast<double>(refusals_)
                                : 0.0;
    result_.region_crossings_ =
        world_.runs() > 0 ? static_cast<double>(world_.region_crossings()) /
                                static_cast<double>(world_.runs())
                          : 0.0;
    for (const auto& [service, arrivals] : world_.arrivals()) {
      const auto first =
          static_cast<double>(arrivals.all_ - arrivals.repeated_);
      result_.repeated_ = std::max(
          result_.repeated_, static_cast<double>(arrivals.repeated_) / first);
    }
    result_.recovery_seconds_ = Recovery();
    JudgeCrashing();
    result_.innocents_refused_ = world_.innocents_refused();
    result_.notices_ = world_.notices().notices_;
    result_.charges_told_ = world_.notices().charges_;
    return std::move(result_);
  }

  double Recovery() const {
    if (options_.surges_.empty()) return 0.0;
    const auto seconds = [](Duration time) {
      return static_cast<std::size_t>(time / std::chrono::seconds(1));
    };
    const auto& worth = result_.worth_by_second_;
    const std::size_t first =
        std::max<std::size_t>(1, seconds(options_.surges_.front().from_));
    const std::size_t end = seconds(options_.surges_.back().to_);
    double before = 0.0;
    for (std::size_t i = 0; i < first; ++i) before += worth[i];
    before /= static_cast<double>(first);
    for (std::size_t i = end; i < worth.size(); ++i) {
      if (worth[i] >= kRecoveredShare * before) {
        return static_cast<double>(i - end);
      }
    }
    return -1.0;
  }

  FleetRunOptions options_;
  RelayWorld world_;
  Timestamp begin_;
  FleetResult result_;
  std::vector<double> asked_;  // worth by second of the first attempt
  std::vector<double> got_;
  std::uint64_t last_ = 0;
  std::uint64_t refusals_ = 0;
  std::uint64_t late_refusals_ = 0;
  double held_ = 0.0;  // slot seconds of all runs
  double wasted_ = 0.0;
  std::unordered_map<std::string, double> held_by_root_;
  std::set<std::string> failed_;
};

}  // namespace

FleetResult RunFleet(const Fleet& fleet, const FleetPolicy& policy,
                     const FleetRunOptions& options) {
  return Experiment(fleet, policy, options).Run();
}

}  // namespace jujubefront
