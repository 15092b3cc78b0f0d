#include "callgraph/callgraph.h"

#include <algorithm>

namespace jujubefront {
namespace {

// Factor by which all counts and sums decay with each window.
constexpr double kDecay = 0.97;
constexpr double kRegularisation = 1.0;
// Routes whose weight has decayed below this are removed, and at most
// kMaxRoutes are kept, since the cost of the fit grows with the square of their
// number.
constexpr double kMinRouteWeight = 0.5;
constexpr std::size_t kMaxRoutes = 8;
constexpr int kDescentRounds = 30;
// Mean calls per run below this are treated as noise.
constexpr double kMinMeanCalls = 0.15;
// Number of calls from which the counts are used, and the share of calls that
// may name no run.
constexpr double kMinCalls = 5.0;
constexpr double kMaxUnnamedShare = 0.05;
// Share of a route's arrivals that the hosts of a single service must receive.
constexpr double kSingleServiceShare = 0.95;
// Arrivals per second below which a route is not classified.
constexpr double kMinArrivalsPerSecond = 1.0;

void Decay(std::map<std::string, std::map<std::string, double>>& sums) {
  for (auto& [first, row] : sums) {
    for (auto& [second, sum] : row) sum *= kDecay;
  }
}

double ValueAt(const std::map<std::string, double>& row,
               const std::string& key);

void RemoveRoute(CallFit& fit, const std::string& route) {
  fit.squares_.erase(route);
  for (auto& [other, row] : fit.squares_) row.erase(route);
  for (auto& [called, row] : fit.products_) row.erase(route);
}

void Prune(CallFit& fit) {
  std::vector<std::pair<double, std::string>> weights;
  for (const auto& [route, row] : fit.squares_) {
    weights.emplace_back(ValueAt(row, route), route);
  }
  std::sort(weights.rbegin(), weights.rend());
  for (std::size_t i = 0; i < weights.size(); ++i) {
    if (i < kMaxRoutes && weights[i].first >= kMinRouteWeight) continue;
    RemoveRoute(fit, weights[i].second);
  }
  std::erase_if(fit.products_,
                [](const auto& entry) { return entry.second.empty(); });
}

double ValueAt(const std::map<std::string, double>& row,
               const std::string& key) {
  const auto found = row.find(key);
  return found == row.end() ? 0.0 : found->second;
}

// Solves the fit of one called route for all routes of runs.
std::map<std::string, double> Solve(
    const CallFit& fit, const std::map<std::string, double>& products) {
  std::map<std::string, double> solution;
  for (int round = 0; round < kDescentRounds; ++round) {
    for (const auto& [route, row] : fit.squares_) {
      double residual = ValueAt(products, route);
      for (const auto& [other, sum] : row) {
        if (other != route) residual -= sum * ValueAt(solution, other);
      }
      const double square = ValueAt(row, route) + kRegularisation;
      solution[route] = std::max(0.0, residual / square);
    }
  }
  return solution;
}

}  // namespace

void AddWindow(CallFit& fit, const CallWindow& window) {
  Decay(fit.squares_);
  Decay(fit.products_);
  for (const auto& [first, runs] : window.runs_) {
    for (const auto& [second, others] : window.runs_) {
      fit.squares_[first][second] += runs * others;
    }
    for (const auto& [called, calls] : window.calls_) {
      fit.products_[called][first] += runs * calls;
    }
  }
  Prune(fit);
}

std::map<std::string, std::map<std::string, double>> FittedMeanCalls(
    const CallFit& fit) {
  std::map<std::string, std::map<std::string, double>> calls;
  for (const auto& [called, products] : fit.products_) {
    for (const auto& [route, mean] : Solve(fit, products)) {
      if (mean >= kMinMeanCalls) calls[route][called] = mean;
    }
  }
  return calls;
}

void CountCall(CallCounts& counts, bool unnamed) {
  counts.calls_ += 1.0;
  if (unnamed) counts.unnamed_calls_ += 1.0;
}

void CountRun(CallCounts& counts, const std::string& route,
              const std::map<std::string, std::uint32_t>& calls) {
  CallCounts::Route& counted = counts.routes_[route];
  counted.runs_ += 1.0;
  for (const auto& [called, count] : calls) counted.calls_[called] += count;
}

void Decay(CallCounts& counts) {
  counts.calls_ *= kDecay;
  counts.unnamed_calls_ *= kDecay;
  for (auto& [route, counted] : counts.routes_) {
    counted.runs_ *= kDecay;
    for (auto& [called, count] : counted.calls_) count *= kDecay;
  }
  std::erase_if(counts.routes_, [](const auto& entry) {
    return entry.second.runs_ < kMinRouteWeight;
  });
}

bool CallersNameTheirRun(const CallCounts& counts) {
  return counts.calls_ >= kMinCalls &&
         counts.unnamed_calls_ <= kMaxUnnamedShare * counts.calls_;
}

std::map<std::string, std::map<std::string, double>> CountedMeanCalls(
    const CallCounts& counts) {
  std::map<std::string, std::map<std::string, double>> means;
  for (const auto& [route, counted] : counts.routes_) {
    for (const auto& [called, count] : counted.calls_) {
      const double mean = count / counted.runs_;
      if (mean >= kMinMeanCalls) means[route][called] = mean;
    }
  }
  return means;
}

std::set<std::string> FindCalledRoutes(
    const std::vector<RouteArrivals>& arrivals) {
  std::map<std::string, std::map<std::string, double>> by_route;
  std::map<std::string, double> by_service;
  for (const RouteArrivals& entry : arrivals) {
    by_route[entry.route_][entry.host_service_] += entry.per_second_;
    by_service[entry.host_service_] += entry.per_second_;
  }
  std::set<std::string> called;
  if (by_service.size() < 2) return called;
  for (const auto& [route, services] : by_route) {
    double total = 0.0;
    double largest = 0.0;
    for (const auto& [service, rate] : services) {
      total += rate;
      largest = std::max(largest, rate);
    }
    if (total >= kMinArrivalsPerSecond &&
        largest >= kSingleServiceShare * total) {
      called.insert(route);
    }
  }
  return called;
}

}  // namespace jujubefront
