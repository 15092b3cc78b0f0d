#include "relaymodel/experiment.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "base/hashing.h"
#include "http1/http1_types.h"
#include "relaymodel/fleet_simulator.h"

namespace jujubefront {
namespace {

// Time in which relays connect to each other before clients start.
constexpr Duration kWarmUp = std::chrono::seconds(4);
// Wait of a client that ignores Retry-After before it retries.
constexpr Duration kEarlyRetryWait = std::chrono::milliseconds(50);
// Retry-After is honoured up to the time that a client has left, divided by
// this.
constexpr int kHonouredWaitDivisor = 3;
// A refusal is late if it took longer than the objective divided by this.
constexpr int kLateRefusalDivisor = 8;
// Crashes of backend servers after which a content must not run.
constexpr std::size_t kCrashesThatCondemn = 3;
constexpr Duration kRestartTime = std::chrono::seconds(1);
constexpr Duration kInForcePoll = std::chrono::milliseconds(20);
// Goodput has recovered at this share of its level before the surge.
constexpr double kRecoveredShare = 0.95;

// One client request with all its attempts.
struct ClientRequest {
  const FleetRoute* route_ = nullptr;
  std::string root_;
  std::vector<std::size_t> hosts_;  // hosts of the client's zone
  Timestamp first_at_;
  Timestamp sent_at_;
  int attempts_ = 0;
};

// Sends the requests of the clients to a simulated fleet, causes the faults of
// the options and evaluates the outcomes.
class Experiment {
 public:
  Experiment(const Fleet& fleet, const FleetPolicy& policy,
             const FleetRunOptions& options)
      : options_(options),
        simulator_(fleet, policy, options.seed_),
        begin_(simulator_.now() + kWarmUp) {
    const auto seconds =
        static_cast<std::size_t>(options.length_ / std::chrono::seconds(1));
    requested_.resize(seconds);
    earned_.resize(seconds);
    simulator_.OnRunEnd([this](const std::string& root, Duration held) {
      slot_seconds_ += InSeconds(held);
      if (failed_roots_.contains(root)) {
        wasted_slot_seconds_ += InSeconds(held);
      } else {
        slot_seconds_by_root_[root] += InSeconds(held);
      }
    });
  }

  FleetResult Run() {
    std::map<std::string, std::vector<std::size_t>> zones;
    const auto& hosts = simulator_.fleet().hosts_;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      zones[hosts[i].zone_].push_back(i);
    }
    for (const FleetRoute& route : simulator_.fleet().routes_) {
      if (route.per_second_ <= 0.0) continue;
      for (const auto& [zone, members] : zones) {
        ScheduleArrival(route, members,
                        route.per_second_ / static_cast<double>(zones.size()),
                        begin_);
      }
    }
    for (const FleetRejection& rejection : options_.rejections_) {
      simulator_.At(begin_ + rejection.from_, [this, &rejection] {
        simulator_.SetRejection(rejection.service_, rejection.share_);
      });
      simulator_.At(begin_ + rejection.to_, [this, &rejection] {
        simulator_.SetRejection(rejection.service_, 0.0);
      });
    }
    for (std::size_t i = 0; i < options_.crashing_contents_.size(); ++i) {
      simulator_.AddCrashingBody(CrashingBody(i));
      ScheduleCrashing(i, begin_ + options_.crashing_contents_[i].from_);
    }
    result_.crashing_.resize(options_.crashing_contents_.size());
    for (const FleetCrash& crash : options_.crashes_) {
      simulator_.At(begin_ + crash.at_, [this, &crash] { Crash(crash); });
    }
    for (const FleetPartition& partition : options_.partitions_) {
      simulator_.At(begin_ + partition.from_, [this, &partition] {
        simulator_.SetPartitioned(partition.zone_, true);
      });
      simulator_.At(begin_ + partition.to_, [this, &partition] {
        simulator_.SetPartitioned(partition.zone_, false);
      });
    }
    for (const FleetRateLimit& limit : options_.rate_limits_) {
      SetRateLimit(limit);
    }
    for (const FleetDocument& document : options_.documents_) {
      simulator_.At(begin_ + document.at_, [this, &document] {
        simulator_.PutDocument(document.version_);
        if (&document == &options_.documents_.back()) {
          AwaitInForce(document.version_, simulator_.now());
        }
      });
    }
    for (const FleetStoreRestore& restore : options_.store_restores_) {
      simulator_.At(begin_ + restore.at_,
                    [this, &restore] { simulator_.RestoreStore(restore); });
    }
    for (const FleetReaderFault& fault : options_.reader_faults_) {
      simulator_.At(begin_ + fault.from_, [this, &fault] {
        const auto hosts = simulator_.BeginReaderFault(fault);
        simulator_.At(begin_ + fault.to_, [this, &fault, hosts] {
          simulator_.EndReaderFault(fault.fault_, hosts);
        });
      });
    }
    if (!options_.documents_.empty()) AuditDocuments();
    for (const FleetRestart& restart : options_.restarts_) {
      simulator_.At(begin_ + restart.at_,
                    [this, &restart] { Restart(restart); });
    }
    constexpr Duration kSettleTime = std::chrono::seconds(6);
    simulator_.RunUntil(begin_ + options_.length_ + kSettleTime);
    return EvaluateResult();
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
    const double unit = std::max(1e-12, 1.0 - NextUnit(simulator_.random()));
    const double wait = -std::log(unit) / (rate * FactorAt(after));
    const Timestamp at =
        after + Duration(static_cast<std::int64_t>(wait * 1e6));
    if (at >= begin_ + options_.length_) return;
    simulator_.At(at, [this, &route, hosts, rate] {
      ScheduleArrival(route, hosts, rate, simulator_.now());
      StartRequest(route, hosts);
    });
  }

  static std::string CrashingBody(std::size_t number) {
    return "crash-" + std::to_string(number);
  }

  void ScheduleCrashing(std::size_t number, Timestamp at) {
    const FleetCrashingContent& content = options_.crashing_contents_[number];
    if (at >= begin_ + content.to_) return;
    simulator_.At(at, [this, number] {
      SendCrashing(number);
      ScheduleCrashing(number, simulator_.now() +
                                   options_.crashing_contents_[number].every_);
    });
  }

  void SendCrashing(std::size_t number) {
    const FleetCrashingContent& content = options_.crashing_contents_[number];
    const Fleet& fleet = simulator_.fleet();
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
    simulator_.Send(hosts[NextBelow(simulator_.random(), hosts.size())], *route,
                    "x" + std::to_string(++last_request_id_) + ".1",
                    content.by_call_ ? FleetSimulator::CarrierOf(body) : body,
                    route->deadline_, [&result](const Http1Response& response) {
                      ++result.statuses_[response.status_];
                    });
  }

  // Draws a share of the hosts of a service, or of all hosts if it is empty.
  std::vector<std::size_t> DrawHosts(const std::string& service, double share) {
    const auto& hosts = simulator_.fleet().hosts_;
    std::vector<std::size_t> members;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      if (service.empty() || hosts[i].service_ == service) members.push_back(i);
    }
    const auto count = static_cast<std::size_t>(
        std::lround(share * static_cast<double>(members.size())));
    std::vector<std::size_t> drawn;
    while (drawn.size() < count) {
      const std::size_t chosen = NextBelow(simulator_.random(), members.size());
      drawn.push_back(members[chosen]);
      members.erase(members.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    return drawn;
  }

  void Crash(const FleetCrash& crash) {
    for (const std::size_t host : DrawHosts(crash.service_, crash.share_)) {
      simulator_.CrashBackend(host);
    }
  }

  void Restart(const FleetRestart& restart) {
    const std::vector<std::size_t> hosts =
        DrawHosts(restart.service_, restart.share_);
    for (const std::size_t host : hosts) simulator_.Kill(host);
    simulator_.At(simulator_.now() + kRestartTime, [this, hosts, &restart] {
      for (const std::size_t host : hosts) {
        restart.relays_only_ ? simulator_.RestartRelay(host)
                             : simulator_.Restart(host);
      }
    });
  }

  // Hosts at equal distances in the list of the service are limited: in all
  // zones, and the same ones in the periods of several limits.
  void SetRateLimit(const FleetRateLimit& limit) {
    std::vector<std::size_t> members;
    const auto& hosts = simulator_.fleet().hosts_;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      if (hosts[i].service_ == limit.service_) members.push_back(i);
    }
    const auto count = static_cast<std::size_t>(
        std::lround(limit.share_ * static_cast<double>(members.size())));
    std::vector<std::size_t> limited;
    for (std::size_t i = 0; i < count; ++i) {
      limited.push_back(members[i * members.size() / count]);
    }
    simulator_.At(begin_ + limit.from_, [this, limited, &limit] {
      for (const std::size_t host : limited) {
        simulator_.SetRateLimit(host, limit.per_second_);
      }
    });
    const bool is_last = std::none_of(
        options_.rate_limits_.begin(), options_.rate_limits_.end(),
        [&](const FleetRateLimit& other) { return other.from_ == limit.to_; });
    if (!is_last) return;
    simulator_.At(begin_ + limit.to_, [this, limited] {
      for (const std::size_t host : limited) {
        simulator_.SetRateLimit(host, std::nullopt);
      }
    });
  }

  void AwaitInForce(std::uint64_t version, Timestamp since) {
    if (simulator_.IsInForce(version)) {
      result_.document_delay_ = simulator_.now() - since;
      return;
    }
    simulator_.At(simulator_.now() + kInForcePoll,
                  [this, version, since] { AwaitInForce(version, since); });
  }

  void AuditDocuments() {
    simulator_.AuditDocuments();
    simulator_.At(simulator_.now() + kInForcePoll,
                  [this] { AuditDocuments(); });
  }

  void EvaluateCrashing() {
    for (std::size_t i = 0; i < result_.crashing_.size(); ++i) {
      FleetCrashingResult& result = result_.crashing_[i];
      const auto& runs = simulator_.crashing_bodies().at(CrashingBody(i));
      result.runs_ = runs.run_starts_.size();
      result.backend_crashes_ = runs.backend_crashes_.size();
      if (result.backend_crashes_ < kCrashesThatCondemn) continue;
      const Timestamp known =
          runs.backend_crashes_[kCrashesThatCondemn - 1] + kCondemnationGrace;
      result.runs_late_ = static_cast<std::uint64_t>(
          std::count_if(runs.run_starts_.begin(), runs.run_starts_.end(),
                        [&](Timestamp at) { return at > known; }));
    }
  }

  std::size_t SecondOf(Timestamp time) const {
    return static_cast<std::size_t>((time - begin_) / std::chrono::seconds(1));
  }

  void StartRequest(const FleetRoute& route,
                    const std::vector<std::size_t>& hosts) {
    auto request = std::make_shared<ClientRequest>();
    request->route_ = &route;
    request->root_ = "c" + std::to_string(++last_request_id_);
    request->hosts_ = hosts;
    request->first_at_ = simulator_.now();
    ++result_.routes_[route.name_].requested_;
    requested_.at(SecondOf(simulator_.now())) += route.worth_;
    Send(request);
  }

  void Send(const std::shared_ptr<ClientRequest>& request) {
    ++request->attempts_;
    request->sent_at_ = simulator_.now();
    const std::size_t host =
        request->hosts_[NextBelow(simulator_.random(), request->hosts_.size())];
    const Duration left =
        request->first_at_ + request->route_->deadline_ - simulator_.now();
    simulator_.Send(host, *request->route_,
                    request->root_ + "." + std::to_string(request->attempts_),
                    options_.identical_requests_ ? "" : request->root_, left,
                    [this, request](const Http1Response& response) {
                      OnAnswer(request, response);
                    });
  }

  void OnAnswer(const std::shared_ptr<ClientRequest>& request,
                const Http1Response& response) {
    const Duration elapsed = simulator_.now() - request->first_at_;
    const FleetRoute& route = *request->route_;
    FleetRouteResult& counts = result_.routes_[route.name_];
    if (response.status_ == 200) {
      const bool in_time = elapsed <= route.objective_;
      ++(in_time ? counts.in_time_ : counts.late_);
      if (in_time) earned_.at(SecondOf(request->first_at_)) += route.worth_;
      slot_seconds_by_root_.erase(request->root_);
      return;
    }
    if (response.status_ == 503) {
      ++refusals_;
      const Duration took = simulator_.now() - request->sent_at_;
      if (took > route.objective_ / kLateRefusalDivisor) ++late_refusals_;
    }
    const Duration left = route.deadline_ - elapsed;
    // A request that did not run or is idempotent is retried after a failure.
    const bool may_retry = response.status_ == 503 || route.idempotent_;
    if (may_retry && request->attempts_ <= options_.retries_ &&
        left > kEarlyRetryWait) {
      return ScheduleRetry(request, response, left);
    }
    ++(response.status_ == 503 ? counts.refused_ : counts.failed_);
    wasted_slot_seconds_ += slot_seconds_by_root_[request->root_];
    slot_seconds_by_root_.erase(request->root_);
    failed_roots_.insert(request->root_);
  }

  void ScheduleRetry(const std::shared_ptr<ClientRequest>& request,
                     const Http1Response& response, Duration left) {
    Duration wait = kEarlyRetryWait;
    const std::string* retry_after =
        FindHeader(response.headers_, "Retry-After");
    const bool honours_retry_after =
        NextUnit(simulator_.random()) < options_.honours_retry_after_;
    if (retry_after != nullptr && honours_retry_after) {
      wait = std::min(
          left / kHonouredWaitDivisor,
          Duration(static_cast<std::int64_t>(std::stod(*retry_after) * 1e6)));
    }
    simulator_.At(simulator_.now() + wait, [this, request] { Send(request); });
  }

  FleetResult EvaluateResult() {
    double requested = 0.0;
    double earned = 0.0;
    for (std::size_t i = 0; i < requested_.size(); ++i) {
      requested += requested_[i];
      earned += earned_[i];
      result_.worth_by_second_.push_back(
          requested_[i] > 0.0 ? earned_[i] / requested_[i] : 1.0);
    }
    result_.worth_share_ = requested > 0.0 ? earned / requested : 1.0;
    result_.wasted_work_ =
        slot_seconds_ > 0.0 ? wasted_slot_seconds_ / slot_seconds_ : 0.0;
    result_.refused_late_ = refusals_ > 0
                                ? static_cast<double>(late_refusals_) /
                                      static_cast<double>(refusals_)
                                : 0.0;
    result_.region_crossings_ =
        simulator_.runs() > 0
            ? static_cast<double>(simulator_.region_crossings()) /
                  static_cast<double>(simulator_.runs())
            : 0.0;
    for (const auto& [service, arrivals] : simulator_.arrivals()) {
      const auto first =
          static_cast<double>(arrivals.all_ - arrivals.repeated_);
      result_.repeated_ = std::max(
          result_.repeated_, static_cast<double>(arrivals.repeated_) / first);
    }
    result_.recovery_seconds_ = RecoverySeconds();
    EvaluateCrashing();
    result_.store_calls_ = simulator_.store_calls();
    result_.max_document_delay_ = simulator_.document_audit().max_delay();
    result_.rate_limit_use_ = simulator_.rate_limit_use();
    result_.harmless_refused_ = simulator_.harmless_refused();
    result_.notices_ = simulator_.notices().notices_;
    result_.charge_writes_ = simulator_.charge_writes();
    result_.notice_entries_ = simulator_.notices().charges_;
    return std::move(result_);
  }

  double RecoverySeconds() const {
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
  FleetSimulator simulator_;
  Timestamp begin_;
  FleetResult result_;
  std::vector<double> requested_;      // worth, by second of the first attempt
  std::vector<double> earned_;         // worth of answers in time, likewise
  std::uint64_t last_request_id_ = 0;  // id of a request
  std::uint64_t refusals_ = 0;
  std::uint64_t late_refusals_ = 0;
  double slot_seconds_ = 0.0;         // slot seconds of all runs
  double wasted_slot_seconds_ = 0.0;  // of these, spent on failed requests
  std::unordered_map<std::string, double> slot_seconds_by_root_;
  std::set<std::string> failed_roots_;
};

}  // namespace

FleetResult RunFleet(const Fleet& fleet, const FleetPolicy& policy,
                     const FleetRunOptions& options) {
  return Experiment(fleet, policy, options).Run();
}

}  // namespace jujubefront
