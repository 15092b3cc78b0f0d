#include "relay/tests/relay_harness.h"

namespace jujubefront {
namespace {

constexpr const char* kLocalZone = "z1";
constexpr const char* kOtherZone = "z2";

std::string AddressOf(int number) {
  return "10.0.1." + std::to_string(number) + ":7000";
}

HostStatus StatusOf(const RelayHarness& harness, int number, const char* zone) {
  HostStatus status{.address_ = AddressOf(number),
                    .boot_ = 1,
                    .sent_at_ = harness.now().time_since_epoch(),
                    .zone_ = zone,
                    .region_ = "r1",
                    .service_ = "svc",
                    .instance_ = "i-" + std::to_string(number),
                    .backend_ = BackendState::kReady,
                    .slots_ = 4,
                    .running_ = 3};
  status.demands_.push_back({.route_ = "read",
                             .priority_ = 1,
                             .per_second_ = 5.0,
                             .arrivals_per_second_ = 8.0});
  status.profiles_.push_back({.route_ = "read",
                              .service_ = "svc",
                              .runs_ = 10,
                              .slot_seconds_ = 0.05,
                              .calls_ = {{"book", 2.0}}});
  return status;
}

void ReceiveStatus(RelayHarness& harness, const HostStatus& status,
                   int number) {
  harness.Feed(
      LinkReceived{.connection_id_ = static_cast<std::uint64_t>(number),
                   .message_ = status});
}

void AddHost(RelayHarness& harness, int number, const char* zone) {
  ReceiveStatus(harness, StatusOf(harness, number, zone), number);
  harness.Feed(PeerConnected{AddressOf(number)});
}

// Zone sums sent to peers since the last call, with their receivers.
std::vector<std::pair<std::string, ZoneSum>> TakeSums(RelayHarness& harness) {
  std::vector<std::pair<std::string, ZoneSum>> sums;
  for (SendToPeer& sent : harness.Take<SendToPeer>()) {
    if (auto* sum = std::get_if<ZoneSum>(&sent.message_)) {
      sums.emplace_back(sent.peer_, std::move(*sum));
    }
  }
  return sums;
}

// Advances the clock by 600 ms, during which the hosts of both zones report.
// The host `silent` of the local zone does not; 0: all do.
void RunForWindow(RelayHarness& harness, int local, int other, int silent = 0) {
  for (int i = 0; i < 6; ++i) {
    for (int host = 1; host <= local; ++host) {
      if (host != silent)
        ReceiveStatus(harness, StatusOf(harness, host, kLocalZone), host);
    }
    for (int host = 11; host <= 10 + other; ++host) {
      ReceiveStatus(harness, StatusOf(harness, host, kOtherZone), host);
    }
    harness.RunFor(std::chrono::milliseconds(100));
  }
}

ZoneSum SumOfOtherZone(const std::string& aggregator, std::uint64_t sequence,
                       double slots) {
  ZoneSum sum{.zone_ = kOtherZone,
              .region_ = "r1",
              .aggregator_ = aggregator,
              .aggregator_boot_ = 1,
              .sequence_ = sequence,
              .hosts_ = 3};
  sum.services_.push_back({.service_ = "svc", .slots_ = slots});
  return sum;
}

// The harness with this many other hosts of its zone, and two hosts of another
// zone.
struct Zones {
  explicit Zones(int local,
                 RelayOptions options = RelayHarness::DefaultOptions())
      : harness_(std::move(options)) {
    harness_.LoadTable();
    for (int host = 1; host <= local; ++host)
      AddHost(harness_, host, kLocalZone);
    for (int host = 11; host <= 12; ++host) AddHost(harness_, host, kOtherZone);
    TakeSums(harness_);
  }

  RelayHarness harness_;
};

class ZoneSumTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ZoneSumTests);
  CPPUNIT_TEST(SumCountsEachLiveHostOnce);
  CPPUNIT_TEST(ZoneHasOneAggregator);
  CPPUNIT_TEST(NewestSumOfAZoneIsStored);
  CPPUNIT_TEST(ExpiredSumsAreLeftOut);
  CPPUNIT_TEST(SumsAreForwardedOnceWithinTheZone);
  CPPUNIT_TEST(OnlyRegionsWithoutFreeSlotsReceiveSums);
  CPPUNIT_TEST(OtherZonesReceiveFewStatuses);
  CPPUNIT_TEST(NewDocumentsAreSentToFewHostsOfAnotherZone);
  CPPUNIT_TEST(FrequentDocumentsAreReadTogether);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Zone sums stand for the demand and the slots of a zone in other zones'
  // plans. A lost or silent host that is still counted, or one counted twice,
  // would make them plan with slots that do not exist. The harness has an
  // address that ranks first by hash, which makes it the aggregator of its
  // zone.
  void SumCountsEachLiveHostOnce() {
    struct Row {
      const char* name_;
      std::optional<RelayEventBody> event_;
      int silent_;  // host that stops reporting; 0: none
      std::uint32_t hosts_;
      double slots_;
    };
    const Row rows[] = {
        {"all hosts report", std::nullopt, 0, 4, 12},
        {"one host disconnected", PeerDisconnected{AddressOf(2)}, 2, 3, 8},
        {"one host silent", std::nullopt, 2, 3, 8},
        {"one host reports again", LinkReceived{.connection_id_ = 2}, 0, 4, 12},
    };
    for (const Row& row : rows) {
      Zones zones(3, OptionsOfAggregator());
      RelayHarness& harness = zones.harness_;
      if (row.event_) {
        RelayEventBody event = *row.event_;
        if (auto* again = std::get_if<LinkReceived>(&event)) {
          again->message_ = StatusOf(harness, 2, kLocalZone);
        }
        harness.Feed(event);
      }
      // Long enough for a silent host to be left out.
      for (int i = 0; i < 8; ++i) {
        TakeSums(harness);
        RunForWindow(harness, 3, 2, row.silent_);
      }
      const auto sums = TakeSums(harness);
      CPPUNIT_ASSERT_MESSAGE(row.name_, !sums.empty());
      const ZoneSum& sum = sums.back().second;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.hosts_, sum.hosts_);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sum.services_.size());
      CPPUNIT_ASSERT_DOUBLES_EQUAL(row.slots_, sum.services_[0].slots_, 1e-9);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(row.slots_ / 4 * 5,
                                   sum.demands_.at(0).per_second_, 1e-3);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(row.slots_ / 4 * 10, sum.profiles_[0].runs_,
                                   1e-9);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, sum.profiles_[0].calls_.at("book"),
                                   1e-9);
    }
  }

  // Every node of a zone determines its aggregator from what it knows. Two at a
  // time would send two sums for one zone; none, as when the aggregator fails,
  // would leave the zone out of the plans of other zones. A node whose peers
  // are all silent becomes the aggregator itself.
  void ZoneHasOneAggregator() {
    int aggregators = 0;
    for (int local = 1; local <= 4; ++local) {
      RelayOptions options = RelayHarness::DefaultOptions();
      options.address_ = AddressOf(local);
      RelayHarness harness(options);
      harness.LoadTable();
      for (int host = 1; host <= 4; ++host) {
        if (host != local) AddHost(harness, host, kLocalZone);
      }
      AddHost(harness, 11, kOtherZone);
      TakeSums(harness);
      for (int i = 0; i < 6; ++i) {
        for (int host = 1; host <= 4; ++host) {
          if (host != local)
            ReceiveStatus(harness, StatusOf(harness, host, kLocalZone), host);
        }
        ReceiveStatus(harness, StatusOf(harness, 11, kOtherZone), 11);
        harness.RunFor(std::chrono::milliseconds(100));
      }
      if (!TakeSums(harness).empty()) ++aggregators;
      // The other hosts stop reporting.
      for (int i = 0; i < 50; ++i) {
        ReceiveStatus(harness, StatusOf(harness, 11, kOtherZone), 11);
        harness.RunFor(std::chrono::milliseconds(100));
      }
      const auto sums_when_alone = TakeSums(harness);
      CPPUNIT_ASSERT(!sums_when_alone.empty());
      CPPUNIT_ASSERT_EQUAL(1U, sums_when_alone.back().second.hosts_);
    }
    CPPUNIT_ASSERT_EQUAL(1, aggregators);
  }

  // A sum replaces the known sum of its zone if it is newer or has another
  // aggregator. A late or repeated sum, or one of the local zone or another
  // region, must not change anything, or hosts would plan with outdated slots.
  void NewestSumOfAZoneIsStored() {
    struct Row {
      const char* name_;
      ZoneSum second_sum_;
      double slots_;  // known of the other zone afterwards
    };
    ZoneSum other_region = SumOfOtherZone("b", 9, 99);
    other_region.region_ = "r2";
    ZoneSum local_zone = SumOfOtherZone("b", 9, 99);
    local_zone.zone_ = kLocalZone;
    const Row rows[] = {{"newer sum", SumOfOtherZone("a", 6, 20), 20},
                        {"same sum repeated", SumOfOtherZone("a", 5, 12), 12},
                        {"older sum, late", SumOfOtherZone("a", 4, 99), 12},
                        {"another aggregator", SumOfOtherZone("b", 1, 16), 16},
                        {"another region", other_region, 12},
                        {"local zone", local_zone, 12}};
    for (const Row& row : rows) {
      Zones zones(2);
      for (const ZoneSum& sum : {SumOfOtherZone("a", 5, 12), row.second_sum_}) {
        zones.harness_.Feed(
            LinkReceived{.connection_id_ = 11, .message_ = sum});
      }
      const auto& known = zones.harness_.state().zone_sums_;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, std::size_t{1}, known.size());
      CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(
          row.name_, row.slots_,
          known.at(kOtherZone).sum_.services_.at(0).slots_, 1e-9);
    }
  }

  // A region without free slots learns from the zones of others what they could
  // run for it. Guards against reports over the narrow links between regions
  // that nobody needs, and against sums of other regions that enter the plan
  // for the local one.
  void OnlyRegionsWithoutFreeSlotsReceiveSums() {
    struct Row {
      const char* name_;
      std::uint32_t running_;
      bool ranks_first_;
      std::size_t min_sums_;
      std::size_t max_sums_;
    };
    const Row rows[] = {
        {"free slots there", 3, true, 0, 0},
        {"no free slots there", 4, true, 2, 4},
        {"no free slots there, another host aggregates", 4, false, 0, 0},
    };
    for (const Row& row : rows) {
      Zones zones(2, row.ranks_first_ ? OptionsOfAggregator()
                                      : RelayHarness::DefaultOptions());
      RelayHarness& harness = zones.harness_;
      std::size_t sums = 0;
      for (int i = 0; i < 6; ++i) {
        HostStatus remote = StatusOf(harness, 11, kOtherZone);
        remote.region_ = "r2";
        remote.slots_ = 4;
        remote.running_ = row.running_;
        ReceiveStatus(harness, remote, 11);
        HostStatus second = StatusOf(harness, 12, kOtherZone);
        second.region_ = "r2";
        second.running_ = second.slots_;
        if (row.running_ < 4) second.running_ = 0;
        ReceiveStatus(harness, second, 12);
        for (int host = 1; host <= 2; ++host) {
          ReceiveStatus(harness, StatusOf(harness, host, kLocalZone), host);
        }
        harness.RunFor(std::chrono::seconds(1));
        for (const auto& [receiver, sum] : TakeSums(harness)) {
          CPPUNIT_ASSERT(sum.profiles_.empty() && sum.demands_.empty());
          CPPUNIT_ASSERT(!sum.services_.empty());
          ++sums;
        }
      }
      const std::string figures = row.name_ + (": " + std::to_string(sums));
      CPPUNIT_ASSERT_MESSAGE(figures, sums >= row.min_sums_);
      CPPUNIT_ASSERT_MESSAGE(figures, sums <= row.max_sums_);
      ZoneSum received = SumOfOtherZone("a", 5, 12);
      received.zone_ = "z9";
      received.region_ = "r2";
      harness.Feed(LinkReceived{.connection_id_ = 11, .message_ = received});
      CPPUNIT_ASSERT(harness.state().zone_sums_.empty());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                           harness.state().remote_zone_sums_.size());
      // Forwarded to both other hosts of the local zone.
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, TakeSums(harness).size());
      harness.RunFor(std::chrono::seconds(9));
      CPPUNIT_ASSERT(harness.state().remote_zone_sums_.empty());
    }
  }

  // If no sum of a zone arrives for some seconds, the last one no longer
  // describes it. Its demand and its slots are then left out together: leaving
  // out one of them would make the plan for the remaining zones wrong.
  void ExpiredSumsAreLeftOut() {
    Zones zones(2);
    RelayHarness& harness = zones.harness_;
    harness.Feed(LinkReceived{.connection_id_ = 11,
                              .message_ = SumOfOtherZone("a", 1, 12)});
    harness.RunFor(std::chrono::seconds(3));
    CPPUNIT_ASSERT(harness.state().zone_sums_.contains(kOtherZone));
    harness.RunFor(std::chrono::seconds(2));
    CPPUNIT_ASSERT(!harness.state().zone_sums_.contains(kOtherZone));
    // The next sum of the same aggregator is used again.
    harness.Feed(LinkReceived{.connection_id_ = 11,
                              .message_ = SumOfOtherZone("a", 2, 12)});
    CPPUNIT_ASSERT(harness.state().zone_sums_.contains(kOtherZone));
  }

  // A sum from another zone is sent to one or a few hosts here and forwarded to
  // the rest of the zone. A sum that a host of the zone has forwarded, or one
  // received before, must not be forwarded again, or sums would circulate.
  void SumsAreForwardedOnceWithinTheZone() {
    struct Row {
      const char* name_;
      std::uint64_t connection_;  // of host 11 (other zone) or 1 (local zone)
      std::size_t forwarded_;
    };
    const Row rows[] = {{"from a host of the zone that it describes", 11, 2},
                        {"forwarded by a host of the local zone", 1, 0}};
    for (const Row& row : rows) {
      Zones zones(2);
      zones.harness_.Feed(LinkReceived{.connection_id_ = row.connection_,
                                       .message_ = SumOfOtherZone("a", 1, 12)});
      const auto sums = TakeSums(zones.harness_);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.forwarded_, sums.size());
      for (const auto& [peer, sum] : sums) {
        CPPUNIT_ASSERT(peer == AddressOf(1) || peer == AddressOf(2));
      }
      zones.harness_.Feed(LinkReceived{.connection_id_ = row.connection_,
                                       .message_ = SumOfOtherZone("a", 1, 12)});
      CPPUNIT_ASSERT(TakeSums(zones.harness_).empty());
    }
  }

  // Hosts of other zones plan by zone sums and need statuses only for choosing
  // among hosts, more often while a backend server is saturated. Sending them
  // every status, or demands and calls with it, would fill the links between
  // zones. Counted are the statuses sent to one such host in ten seconds.
  void OtherZonesReceiveFewStatuses() {
    struct Row {
      const char* name_;
      int running_;  // of two slots of the local backend server
      std::size_t min_statuses_;
      std::size_t max_statuses_;
    };
    const Row rows[] = {{"idle", 0, 4, 6}, {"saturated", 2, 18, 22}};
    for (const Row& row : rows) {
      Zones zones(1);
      RelayHarness& harness = zones.harness_;
      harness.ReceiveHeartbeat();
      std::uint64_t send_id = 0;
      for (int i = 0; i < row.running_; ++i) {
        harness.Feed(LinkReceived{
            .connection_id_ = 11,
            .message_ = RunOrder{.send_id_ = ++send_id,
                                 .sent_at_ = harness.now().time_since_epoch(),
                                 .instance_ = "i-1",
                                 .route_ = "read",
                                 .remaining_ = std::chrono::minutes(5),
                                 .objective_left_ = std::chrono::minutes(1)}});
      }
      harness.RunFor(std::chrono::milliseconds(500));
      harness.Take<SendToPeer>();
      std::size_t statuses = 0;
      std::uint64_t sequence = 1;
      for (int second = 0; second < 10; ++second) {
        harness.ReceiveHeartbeat("i-1", 1, ++sequence);
        harness.RunFor(std::chrono::seconds(1));
        for (const SendToPeer& sent : harness.Take<SendToPeer>()) {
          const auto* status = std::get_if<HostStatus>(&sent.message_);
          if (status == nullptr || sent.peer_ != AddressOf(11)) continue;
          ++statuses;
          CPPUNIT_ASSERT(status->demands_.empty());
          for (const RouteProfile& profile : status->profiles_) {
            CPPUNIT_ASSERT(profile.calls_.empty());
          }
        }
      }
      CPPUNIT_ASSERT_MESSAGE(row.name_, statuses >= row.min_statuses_);
      CPPUNIT_ASSERT_MESSAGE(row.name_, statuses <= row.max_statuses_);
    }
  }

  // A new document is sent to two of the twenty hosts of another zone, which
  // distribute it there. Sent to each of them by each node, it would cross the
  // link between the zones many times. A node that receives the document from a
  // peer does not send it to other zones.
  void NewDocumentsAreSentToFewHostsOfAnotherZone() {
    struct Row {
      const char* name_;
      bool from_peer_;
      bool zone_has_it_;
      std::size_t local_;
      std::size_t other_;
    };
    const Row rows[] = {
        {"read from the store", false, false, 3, 2},
        {"received from a peer, first of its zone", true, false, 3, 0},
        {"received from a peer of its zone", true, true, 0, 0}};
    for (const Row& row : rows) {
      RelayHarness harness;
      harness.LoadTable(1);
      for (int host = 1; host <= 3; ++host) AddHost(harness, host, kLocalZone);
      for (int host = 11; host <= 30; ++host)
        AddHost(harness, host, kOtherZone);
      if (row.zone_has_it_) {
        HostStatus status = StatusOf(harness, 1, kLocalZone);
        status.table_version_ = 2;
        ReceiveStatus(harness, status, 1);
      }
      harness.Take<SendToPeer>();
      harness.Feed(TableRead{.from_peer_ = row.from_peer_,
                             .table_ = RelayHarness::Table(2),
                             .text_ = "text"});
      std::size_t local = 0;
      std::size_t other = 0;
      for (const SendToPeer& sent : harness.Take<SendToPeer>()) {
        const int number = std::stoi(sent.peer_.substr(7));
        ++(number <= 3 ? local : other);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.local_, local);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.other_, other);
    }
  }

  // Load pattern: a new document every 0.2 s. Each ends the wait of every
  // reader at the store. If all waited again immediately, they would overload
  // the store; a wait is therefore repeated at most twice a second. After a
  // single change there is no pause.
  void FrequentDocumentsAreReadTogether() {
    RelayHarness harness;
    harness.LoadTable(1);
    harness.Feed(TableOffset{.next_ = 1});
    harness.RunFor(std::chrono::seconds(5));
    harness.Take<AwaitTable>();
    std::size_t waits = 0;
    std::uint64_t version = 1;
    for (int i = 0; i < 25; ++i) {
      // The store answers the open wait, if there is one.
      if (harness.state().store_.waiting_) {
        ++version;
        harness.Feed(
            TableRead{.table_ = RelayHarness::Table(version), .text_ = "text"});
        harness.Feed(TableOffset{.next_ = version});
      }
      waits += harness.Take<AwaitTable>().size();
      harness.RunFor(std::chrono::milliseconds(200));
      waits += harness.Take<AwaitTable>().size();
    }
    CPPUNIT_ASSERT(waits >= 6);
    CPPUNIT_ASSERT(waits <= 12);
    for (int second = 0; second < 5; ++second) {
      harness.RunFor(std::chrono::seconds(1));
      harness.Feed(TableOffset{.next_ = version, .polled_ = true});
    }
    harness.Take<AwaitTable>();
    harness.Feed(
        TableRead{.table_ = RelayHarness::Table(version + 1), .text_ = "text"});
    harness.Feed(TableOffset{.next_ = version + 1});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.Take<AwaitTable>().size());
  }

 private:
  // Options of a host that ranks first in its zone among those of the tests.
  static RelayOptions OptionsOfAggregator() {
    RelayOptions options = RelayHarness::DefaultOptions();
    const auto rank = [](const std::string& address) {
      return HashBytes(std::string(kLocalZone) + '/' + address);
    };
    std::uint64_t min_rank = rank(AddressOf(1));
    for (int host = 2; host <= 4; ++host) {
      min_rank = std::min(min_rank, rank(AddressOf(host)));
    }
    for (int i = 1; rank(options.address_) >= min_rank; ++i) {
      options.address_ = "10.0.2." + std::to_string(i) + ":7000";
    }
    return options;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneSumTests);

}  // namespace
}  // namespace jujubefront
