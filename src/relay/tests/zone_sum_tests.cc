#include "relay/tests/relay_harness.h"

namespace jujubefront {
namespace {

constexpr const char* kOwnZone = "z1";
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

void Hear(RelayHarness& harness, const HostStatus& status, int number) {
  harness.Feed(
      LinkReceived{.connection_id_ = static_cast<std::uint64_t>(number),
                   .message_ = status});
}

void AddHost(RelayHarness& harness, int number, const char* zone) {
  Hear(harness, StatusOf(harness, number, zone), number);
  harness.Feed(PeerConnected{AddressOf(number)});
}

// Sums sent to peers since the last call, by receiver.
std::vector<std::pair<std::string, ZoneSum>> TakeSums(RelayHarness& harness) {
  std::vector<std::pair<std::string, ZoneSum>> sums;
  for (SendToPeer& sent : harness.Take<SendToPeer>()) {
    if (auto* sum = std::get_if<ZoneSum>(&sent.message_)) {
      sums.emplace_back(sent.peer_, std::move(*sum));
    }
  }
  return sums;
}

// Lets a window pass in which the hosts of both zones keep reporting.
void PassWindow(RelayHarness& harness, int own, int others, int silent = 0) {
  for (int i = 0; i < 6; ++i) {
    for (int host = 1; host <= own; ++host) {
      if (host != silent)
        Hear(harness, StatusOf(harness, host, kOwnZone), host);
    }
    for (int host = 11; host <= 10 + others; ++host) {
      Hear(harness, StatusOf(harness, host, kOtherZone), host);
    }
    harness.RunFor(std::chrono::milliseconds(100));
  }
}

ZoneSum OtherSum(const std::string& maker, std::uint64_t sequence,
                 double slots) {
  ZoneSum sum{.zone_ = kOtherZone,
              .region_ = "r1",
              .aggregator_ = maker,
              .aggregator_boot_ = 1,
              .sequence_ = sequence,
              .hosts_ = 3};
  sum.services_.push_back({.service_ = "svc", .slots_ = slots});
  return sum;
}

// The harness's own zone with this many hosts, and two hosts of another zone.
struct Zones {
  explicit Zones(int own, RelayOptions options = RelayHarness::DefaultOptions())
      : harness_(std::move(options)) {
    harness_.LoadTable();
    for (int host = 1; host <= own; ++host) AddHost(harness_, host, kOwnZone);
    for (int host = 11; host <= 12; ++host) AddHost(harness_, host, kOtherZone);
    TakeSums(harness_);
  }

  RelayHarness harness_;
};

class ZoneSumTests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ZoneSumTests);
  CPPUNIT_TEST(CountsEachLiveHostOnce);
  CPPUNIT_TEST(OneHostOfAZoneAddsUp);
  CPPUNIT_TEST(TakesTheNewestSumWhole);
  CPPUNIT_TEST(OldSumsAreLeftOut);
  CPPUNIT_TEST(PassesSumsOnWithinTheZoneOnly);
  CPPUNIT_TEST(OtherZonesHearLittleOfAHost);
  CPPUNIT_TEST(NewDocumentsAreToldToFewOfAnotherZone);
  CPPUNIT_TEST(DocumentsInQuickSuccessionAreReadTogether);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A zone of three other hosts. The sum is the harness's own where it ranks
  // first; its seedless address does so with the hosts below.
  void CountsEachLiveHostOnce() {
    struct Row {
      const char* name_;
      std::optional<RelayEventBody> event_;
      int silent_;  // host that reports no more
      std::uint32_t hosts_;
      double slots_;
    };
    const Row rows[] = {
        {"all live", std::nullopt, 0, 4, 12},
        {"one lost", PeerDisconnected{AddressOf(2)}, 2, 3, 8},
        {"one silent", std::nullopt, 2, 3, 8},
        {"one reports once more", LinkReceived{.connection_id_ = 2}, 0, 4, 12},
    };
    for (const Row& row : rows) {
      Zones zones(3, First());
      RelayHarness& harness = zones.harness_;
      if (row.event_) {
        RelayEventBody event = *row.event_;
        if (auto* again = std::get_if<LinkReceived>(&event)) {
          again->message_ = StatusOf(harness, 2, kOwnZone);
        }
        harness.Feed(event);
      }
      // Long enough for a silent host to count no more.
      for (int i = 0; i < 8; ++i) {
        TakeSums(harness);
        PassWindow(harness, 3, 2, row.silent_);
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

  // Every node works out who adds up; the next one does when it is silent.
  void OneHostOfAZoneAddsUp() {
    int makers = 0;
    for (int own = 1; own <= 4; ++own) {
      RelayOptions options = RelayHarness::DefaultOptions();
      options.address_ = AddressOf(own);
      RelayHarness harness(options);
      harness.LoadTable();
      for (int host = 1; host <= 4; ++host) {
        if (host != own) AddHost(harness, host, kOwnZone);
      }
      AddHost(harness, 11, kOtherZone);
      TakeSums(harness);
      for (int i = 0; i < 6; ++i) {
        for (int host = 1; host <= 4; ++host) {
          if (host != own)
            Hear(harness, StatusOf(harness, host, kOwnZone), host);
        }
        Hear(harness, StatusOf(harness, 11, kOtherZone), 11);
        harness.RunFor(std::chrono::milliseconds(100));
      }
      if (!TakeSums(harness).empty()) ++makers;
      // The others have fallen silent.
      for (int i = 0; i < 50; ++i) {
        Hear(harness, StatusOf(harness, 11, kOtherZone), 11);
        harness.RunFor(std::chrono::milliseconds(100));
      }
      const auto alone = TakeSums(harness);
      CPPUNIT_ASSERT(!alone.empty());
      CPPUNIT_ASSERT_EQUAL(1U, alone.back().second.hosts_);
    }
    CPPUNIT_ASSERT_EQUAL(1, makers);
  }

  void TakesTheNewestSumWhole() {
    struct Row {
      const char* name_;
      ZoneSum second_;
      double slots_;  // of the other zone afterwards
    };
    ZoneSum other_region = OtherSum("b", 9, 99);
    other_region.region_ = "r2";
    ZoneSum own_zone = OtherSum("b", 9, 99);
    own_zone.zone_ = kOwnZone;
    const Row rows[] = {{"newer", OtherSum("a", 6, 20), 20},
                        {"the same again", OtherSum("a", 5, 12), 12},
                        {"older, late", OtherSum("a", 4, 99), 12},
                        {"of another maker", OtherSum("b", 1, 16), 16},
                        {"of another region", other_region, 12},
                        {"of the own zone", own_zone, 12}};
    for (const Row& row : rows) {
      Zones zones(2);
      for (const ZoneSum& sum : {OtherSum("a", 5, 12), row.second_}) {
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

  // Without news of a zone its demand and its slots are left out together, and
  // the rest is planned for by itself.
  void OldSumsAreLeftOut() {
    Zones zones(2);
    RelayHarness& harness = zones.harness_;
    harness.Feed(
        LinkReceived{.connection_id_ = 11, .message_ = OtherSum("a", 1, 12)});
    harness.RunFor(std::chrono::seconds(3));
    CPPUNIT_ASSERT(harness.state().zone_sums_.contains(kOtherZone));
    harness.RunFor(std::chrono::seconds(2));
    CPPUNIT_ASSERT(!harness.state().zone_sums_.contains(kOtherZone));
    // A late one of the same maker counts again.
    harness.Feed(
        LinkReceived{.connection_id_ = 11, .message_ = OtherSum("a", 2, 12)});
    CPPUNIT_ASSERT(harness.state().zone_sums_.contains(kOtherZone));
  }

  void PassesSumsOnWithinTheZoneOnly() {
    struct Row {
      const char* name_;
      std::uint64_t connection_;  // whose host opened it
      std::size_t passed_on_;
    };
    const Row rows[] = {{"from its own zone's host", 11, 2},
                        {"passed on by a host of this zone", 1, 0}};
    for (const Row& row : rows) {
      Zones zones(2);
      zones.harness_.Feed(LinkReceived{.connection_id_ = row.connection_,
                                       .message_ = OtherSum("a", 1, 12)});
      const auto sums = TakeSums(zones.harness_);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.passed_on_, sums.size());
      for (const auto& [peer, sum] : sums) {
        CPPUNIT_ASSERT(peer == AddressOf(1) || peer == AddressOf(2));
      }
      zones.harness_.Feed(LinkReceived{.connection_id_ = row.connection_,
                                       .message_ = OtherSum("a", 1, 12)});
      CPPUNIT_ASSERT(TakeSums(zones.harness_).empty());
    }
  }

  // Statuses to a host of another zone within ten seconds.
  void OtherZonesHearLittleOfAHost() {
    struct Row {
      const char* name_;
      int running_;  // of the own two slots
      std::size_t least_;
      std::size_t most_;
    };
    const Row rows[] = {{"calm", 0, 4, 6}, {"pressed", 2, 18, 22}};
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
      CPPUNIT_ASSERT_MESSAGE(row.name_, statuses >= row.least_);
      CPPUNIT_ASSERT_MESSAGE(row.name_, statuses <= row.most_);
    }
  }

  // Twenty hosts of another zone: two of them hear at once, and they tell the
  // rest of theirs.
  void NewDocumentsAreToldToFewOfAnotherZone() {
    struct Row {
      const char* name_;
      bool from_peer_;
      bool zone_has_it_;
      std::size_t own_;
      std::size_t others_;
    };
    const Row rows[] = {{"read from the store", false, false, 3, 2},
                        {"first of its zone by a peer", true, false, 3, 0},
                        {"from a peer of its zone", true, true, 0, 0}};
    for (const Row& row : rows) {
      RelayHarness harness;
      harness.LoadTable(1);
      for (int host = 1; host <= 3; ++host) AddHost(harness, host, kOwnZone);
      for (int host = 11; host <= 30; ++host)
        AddHost(harness, host, kOtherZone);
      if (row.zone_has_it_) {
        HostStatus status = StatusOf(harness, 1, kOwnZone);
        status.table_version_ = 2;
        Hear(harness, status, 1);
      }
      harness.Take<SendToPeer>();
      harness.Feed(TableRead{.from_peer_ = row.from_peer_,
                             .table_ = RelayHarness::Table(2),
                             .text_ = "text"});
      std::size_t own = 0;
      std::size_t others = 0;
      for (const SendToPeer& sent : harness.Take<SendToPeer>()) {
        const int number = std::stoi(sent.peer_.substr(7));
        ++(number <= 3 ? own : others);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.own_, own);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name_, row.others_, others);
    }
  }

  // Load pattern: a document every 0.2 s. Each ends the wait of every reader;
  // waits are opened anew at most twice a second, and a single change is read
  // without a pause.
  void DocumentsInQuickSuccessionAreReadTogether() {
    RelayHarness harness;
    harness.LoadTable(1);
    harness.Feed(TableOffset{.next_ = 1});
    harness.RunFor(std::chrono::seconds(5));
    harness.Take<AwaitTable>();
    std::size_t waits = 0;
    std::uint64_t version = 1;
    for (int i = 0; i < 25; ++i) {
      // The store answers the wait that is open, if one is.
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
    harness.RunFor(std::chrono::seconds(5));
    harness.Feed(
        TableRead{.table_ = RelayHarness::Table(version + 1), .text_ = "text"});
    harness.Feed(TableOffset{.next_ = version + 1});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.Take<AwaitTable>().size());
  }

 private:
  // Options of a host that ranks first in its zone among those of the tests.
  static RelayOptions First() {
    RelayOptions options = RelayHarness::DefaultOptions();
    const auto rank = [](const std::string& address) {
      return HashBytes(std::string(kOwnZone) + '/' + address);
    };
    std::uint64_t least = rank(AddressOf(1));
    for (int host = 2; host <= 4; ++host) {
      least = std::min(least, rank(AddressOf(host)));
    }
    for (int i = 1; rank(options.address_) >= least; ++i) {
      options.address_ = "10.0.2." + std::to_string(i) + ":7000";
    }
    return options;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneSumTests);

}  // namespace
}  // namespace jujubefront
