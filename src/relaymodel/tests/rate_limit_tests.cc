#include <cppunit/extensions/HelperMacros.h>

#include "relaymodel/experiment.h"
#include "relaymodel/fleets.h"

namespace jujubefront {
namespace {

using std::chrono::seconds;

double ServedShare(const FleetResult& result, const std::string& route) {
  const FleetRouteResult& counts = result.routes_.at(route);
  return static_cast<double>(counts.in_time_) /
         static_cast<double>(counts.requested_);
}

// Limits a share of a service for most of a run.
FleetRateLimit MakeLimit(const char* service, double share, double rate) {
  return {.service_ = service,
          .from_ = seconds(3),
          .to_ = seconds(17),
          .share_ = share,
          .per_second_ = rate};
}

class RateLimitTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RateLimitTests);
  CPPUNIT_TEST(BackendServersGetNoMoreThanTheyName);
  CPPUNIT_TEST(LimitedServiceKeepsItsImportantRequests);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A backend server in need names in its answers how many requests a second it
  // accepts from all hosts. The rate must hold however many hosts send to it,
  // and whatever the relay on its host still knows.
  void BackendServersGetNoMoreThanTheyName() {
    struct Row {
      const char* name_;
      bool grown_;
      double demand_;
      std::vector<FleetRateLimit> limits_;
      std::vector<FleetRestart> restarts_;
      std::vector<FleetSurge> surges_;
      std::vector<FleetRejection> rejections_;
    };
    const Row rows[] = {
        {"most servers of a service",
         false,
         1.0,
         {MakeLimit("warranty", 0.75, 11)},
         {},
         {},
         {}},
        {"all servers of a service",
         false,
         1.0,
         {MakeLimit("warranty", 1.0, 11)},
         {},
         {},
         {}},
        {"their relays restart",
         false,
         1.0,
         {MakeLimit("warranty", 1.0, 4)},
         {{.at_ = seconds(9),
           .share_ = 1.0,
           .service_ = "warranty",
           .relays_only_ = true}},
         {},
         {}},
        {"a service that others call",
         false,
         1.0,
         {MakeLimit("jobs", 1.0, 60)},
         {},
         {},
         {}},
        {"less than one call tree needs",
         false,
         1.0,
         {MakeLimit("jobs", 0.5, 0.4)},
         {},
         {},
         {}},
        {"no requests at all",
         false,
         1.0,
         {MakeLimit("warranty", 0.5, 0.0)},
         {},
         {},
         {}},
        {"surge",
         false,
         1.0,
         {MakeLimit("payments", 1.0, 10)},
         {},
         {{.from_ = seconds(6), .to_ = seconds(14), .factor_ = 2.5}},
         {}},
        {"part of the requests rejected",
         false,
         1.0,
         {MakeLimit("jobs", 1.0, 60)},
         {},
         {},
         {{.service_ = "jobs",
           .from_ = seconds(4),
           .to_ = seconds(16),
           .share_ = 0.3}}},
        {"66 hosts", true, 1.0, {MakeLimit("warranty", 0.7, 10)}, {}, {}, {}},
    };
    for (const Row& row : rows) {
      const FleetResult result = RunFleet(BrolgaFleet(row.grown_), {},
                                          {.length_ = seconds(20),
                                           .surges_ = row.surges_,
                                           .rejections_ = row.rejections_,
                                           .restarts_ = row.restarts_,
                                           .rate_limits_ = row.limits_,
                                           .base_factor_ = row.demand_});
      const std::string text = std::string(row.name_) + ": " +
                               std::to_string(result.rate_limit_use_);
      CPPUNIT_ASSERT_MESSAGE(text, result.rate_limit_use_ > 0.0);
      CPPUNIT_ASSERT_MESSAGE(text, result.rate_limit_use_ <= 1.0);
    }
  }

  // A limited backend server has free slots and no queue. If only slots count,
  // requests pile up at its host and expire there, important ones among them,
  // while others could have taken them.
  void LimitedServiceKeepsItsImportantRequests() {
    struct Row {
      const char* name_;
      bool grown_;
      FleetRateLimit limit_;
      const char* route_;
      double min_served_;
    };
    const Row rows[] = {
        // Payments get 32 charges and 88 reads a second; 60 are left.
        {"all servers of a service, half of the demand",
         false,
         {.service_ = "payments", .share_ = 1.0, .per_second_ = 15},
         "deposit-charge",
         0.95},
        {"half of the servers, the others have free slots",
         false,
         {.service_ = "payments", .share_ = 0.5, .per_second_ = 5},
         "deposit-charge",
         0.95},
        {"half of the servers, the least important requests",
         false,
         {.service_ = "payments", .share_ = 0.5, .per_second_ = 5},
         "warranty-check",
         0.95},
        {"half of the servers, 66 hosts",
         true,
         {.service_ = "payments", .share_ = 0.5, .per_second_ = 5},
         "deposit-charge",
         0.95},
        {"a called service, half of the demand",
         false,
         {.service_ = "dispatch", .share_ = 1.0, .per_second_ = 22},
         "callout-booking",
         0.95},
    };
    for (const Row& row : rows) {
      FleetRateLimit limit = row.limit_;
      limit.from_ = seconds(2);
      limit.to_ = seconds(20);
      const FleetResult result = RunFleet(BrolgaFleet(row.grown_), {},
                                          {.length_ = seconds(20),
                                           .rate_limits_ = {limit},
                                           .base_factor_ = 0.6});
      const double served = ServedShare(result, row.route_);
      CPPUNIT_ASSERT_MESSAGE(
          std::string(row.name_) + ": " + std::to_string(served),
          served >= row.min_served_);
      CPPUNIT_ASSERT_MESSAGE(row.name_, result.rate_limit_use_ <= 1.0);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimitTests);

}  // namespace
}  // namespace jujubefront
