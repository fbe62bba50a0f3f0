#include "endiveyard/load_exchange/peer_directory.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <random>
#include <set>

#include "endiveyard/load_exchange/peer_load_report.h"

namespace endiveyard {
namespace {

TimePoint At(int64_t millis) {
  return TimePointFromMicros(millis * 1000);
}

int64_t TimeoutMs(size_t instances) {
  const Duration timeout = instances > kMaxPeersForFullExchange + 1
                               ? kPeerTimeoutOfLargeFleet
                               : kPeerTimeout;
  return timeout.count() / 1000;
}

bool Has(const std::vector<uint32_t>& addresses, uint32_t address) {
  return std::find(addresses.begin(), addresses.end(), address) !=
         addresses.end();
}

constexpr int64_t kStepMs = 10;
constexpr int64_t kDelayMs = 40;

// Instances that send their reports about live instances as datagrams. One in
// `lost_in` of these is lost, none for 0.
class ReportingFleet {
 public:
  ReportingFleet(uint32_t instances, int64_t interval_ms, uint32_t lost_in)
      : interval_ms_(interval_ms),
        lost_in_(lost_in),
        live_(instances),
        leaving_(instances) {
    for (uint32_t n = 0; n < instances; ++n) {
      fleet_.emplace_back(n + 1, RegionOf(n), std::vector<uint32_t>{1, 2, 3});
    }
  }

  void Run(int64_t duration_ms) {
    for (const int64_t end_ms = now_ms_ + duration_ms; now_ms_ < end_ms;
         now_ms_ += kStepMs) {
      while (!on_the_way_.empty() && on_the_way_.front().at_ms <= now_ms_) {
        Receive(on_the_way_.front());
        on_the_way_.pop_front();
      }
      for (uint32_t n = 0; n < live_; ++n) {
        if ((now_ms_ + 130 * n) % interval_ms_ == 0) {
          Send(n);
        }
      }
    }
  }

  void EndLast() { --live_; }

  void SetLeaving(uint32_t n, bool leaving) { leaving_[n] = leaving; }
  // Returns the number of other instances that count some instance as leaving.
  uint32_t ObserversOfLeaving(uint32_t n) const {
    uint32_t observers = 0;
    for (uint32_t other = 0; other < live_; ++other) {
      observers +=
          other != n && !fleet_[other].OwnPosition(At(now_ms_)).leaving.empty();
    }
    return observers;
  }
  int64_t SpreadingTimeMs() const {
    return fleet_[0].SpreadingTime(At(now_ms_)).count() / 1000;
  }

  // Tells all instances what the registry says: all instances.
  void ReadRegistry() {
    std::vector<uint32_t> all;
    for (uint32_t n = 0; n < live_; ++n) {
      all.push_back(n + 1);
    }
    for (PeerDirectory& it : fleet_) {
      it.RecordRegistered(all, At(now_ms_));
    }
  }
  // Returns the sum of the equal shares that all instances take.
  double SumOfShares() const {
    double sum = 0;
    for (uint32_t n = 0; n < live_; ++n) {
      const InstancePosition position =
          fleet_[n].OwnSharingPosition(At(now_ms_));
      sum += 1.0 / static_cast<double>(position.count);
    }
    return sum;
  }
  // Returns how many instances at most take themselves for the same one, and
  // so hold a share of the same limits.
  size_t MostAtOnePosition() const {
    std::map<size_t, size_t> instances;
    size_t most = 0;
    for (uint32_t n = 0; n < live_; ++n) {
      most = std::max(
          most, ++instances[fleet_[n].OwnSharingPosition(At(now_ms_)).index]);
    }
    return most;
  }

  uint32_t KnownInstances(uint32_t n) const {
    return static_cast<uint32_t>(fleet_[n].InstanceCount(At(now_ms_)));
  }

 private:
  struct Datagram {
    int64_t at_ms = 0;
    uint32_t to = 0;
    std::string bytes;
  };

  static uint16_t RegionOf(uint32_t n) { return static_cast<uint16_t>(n % 4); }

  void Send(uint32_t from) {
    PeerLoadReport report;
    report.sender = from + 1;
    report.sequence = 1;
    report.region = RegionOf(from);
    report.scope = ReportScope::kMembers;
    report.leaving = leaving_[from];
    report.members = fleet_[from].Members(At(now_ms_));
    const std::string bytes = EncodePeerLoadReport(report);
    for (const uint32_t it : fleet_[from].MemberRecipients(At(now_ms_))) {
      on_the_way_.push_back({now_ms_ + kDelayMs, it - 1, bytes});
    }
  }

  void Receive(const Datagram& datagram) {
    const bool lost = lost_in_ > 0 && random_() % lost_in_ == 0;
    const auto report = DecodePeerLoadReport(datagram.bytes);
    if (!lost && report && datagram.to < live_) {
      fleet_[datagram.to].RecordReport(
          {report->sender, report->region, Duration(0), report->leaving},
          report->sequence, report->members, At(now_ms_));
    }
  }

  const int64_t interval_ms_;
  const uint32_t lost_in_;
  uint32_t live_;
  std::vector<bool> leaving_;
  std::mt19937 random_{1};
  std::vector<PeerDirectory> fleet_;
  std::deque<Datagram> on_the_way_;
  int64_t now_ms_ = 100000;
};

}  // namespace

// Guards against instances that never find each other: seeds are told about
// this instance until they report, and report the other instances.
BOOST_AUTO_TEST_CASE(PeersAreDiscoveredThroughSeeds) {
  PeerDirectory directory(1, 7, {1, 2});
  BOOST_TEST(Has(directory.MemberRecipients(At(10000)), 2));
  BOOST_TEST(!Has(directory.MemberRecipients(At(10000)), 1));
  BOOST_TEST(directory.Mates(At(10000)).empty());
  directory.RecordReport({2, 7}, 1, {{1, 7, Duration(0)}, {3, 7, Duration(0)}},
                         At(11100));
  const auto mates = directory.Mates(At(11200));
  BOOST_TEST(Has(mates, 2));
  BOOST_TEST(Has(mates, 3));
  BOOST_TEST(!Has(mates, 1));
  BOOST_TEST(directory.InstanceCount(At(11200)) == 3u);
  BOOST_TEST(
      (directory.OwnPosition(At(11200)) == InstancePosition{0, 3, {}, false}));
  directory.RecordReport({0, 7}, 1, {}, At(11200));
  BOOST_TEST(
      (directory.OwnPosition(At(11200)) == InstancePosition{1, 4, {}, false}));
}

// Guards against instances that are shutting down and count like the others, or
// count as leaving before all know it or after their restart.
BOOST_AUTO_TEST_CASE(LeavingInstancesAreKnown) {
  const auto leaving = [](const PeerDirectory& directory, int64_t ms) {
    return directory.OwnPosition(At(ms)).leaving;
  };
  const std::vector<size_t> none;
  PeerDirectory directory(2, 7, {});
  directory.RecordReport({1, 7}, 1, {{3, 7}, {4, 7}}, At(1000));
  BOOST_TEST(leaving(directory, 5000) == none);
  directory.RecordReport({3, 7, Duration(0), true}, 1, {}, At(5000));
  BOOST_TEST(leaving(directory, 5500) == none);
  BOOST_TEST(leaving(directory, 6100) == std::vector<size_t>{2});
  // Others are told, and older news change nothing.
  BOOST_TEST(directory.Members(At(6100))[1].leaving);
  directory.RecordReport({1, 7}, 1, {{3, 7, std::chrono::seconds(3)}},
                         At(6200));
  BOOST_TEST(leaving(directory, 6300) == std::vector<size_t>{2});
  directory.RecordOwnLeaving(At(6300));
  BOOST_TEST((leaving(directory, 7400) == std::vector<size_t>{1, 2}));
  directory.RecordReport({1, 7}, 1, {{3, 7, Duration(0), false}}, At(8000));
  BOOST_TEST(leaving(directory, 8000) == std::vector<size_t>{1});
}

// Guards against instances that have restarted at the same address and are not
// told what a new instance needs to know.
BOOST_AUTO_TEST_CASE(StartedInstancesAreWelcomed) {
  PeerDirectory directory(1, 7, {});
  BOOST_TEST(directory.RecordReport({2, 7}, 1, {}, At(1000)));
  BOOST_TEST(directory.RecordReport({2, 7}, 2, {}, At(1100)));
  directory.RecordWelcomed(2);
  BOOST_TEST(!directory.RecordReport({2, 7}, 500, {}, At(2000)));
  // The first report of the new process was lost.
  BOOST_TEST(directory.RecordReport({2, 7}, 2, {}, At(5000)));
  directory.RecordWelcomed(2);
  BOOST_TEST(!directory.RecordReport({2, 7}, 3, {}, At(5100)));
  // Others have welcomed an instance that is known by hearsay.
  directory.RecordReport({2, 7}, 4, {{3, 7}}, At(5200));
  BOOST_TEST(!directory.RecordReport({3, 7}, 9, {}, At(5300)));
}

// Guards against sending reports to instances that no longer exist.
BOOST_AUTO_TEST_CASE(PeersWithoutReportsAreDropped) {
  PeerDirectory directory(1, 7, {});
  directory.RecordReport({5, 7}, 1, {}, At(1000));
  BOOST_TEST(Has(directory.Mates(At(2000)), 5));
  BOOST_TEST(!Has(directory.Mates(At(47000)), 5));
  BOOST_TEST(directory.Members(At(47000)).empty());
  BOOST_TEST(directory.InstanceCount(At(47000)) == 1u);
}

// Guards against traffic that grows with the square of the number of instances:
// in a large fleet, reports of work go to the own region, and one instance of
// each other region at a time gets the sum.
BOOST_AUTO_TEST_CASE(LargeFleetsReportWithinTheRegion) {
  PeerDirectory directory(1000, 7, {});
  for (uint32_t n = 1; n <= 72; ++n) {
    const auto other_region = static_cast<uint16_t>(8 + n % 2);
    directory.RecordReport({n, n % 3 == 0 ? uint16_t{7} : other_region}, 1, {},
                           At(1000));
  }
  BOOST_TEST(directory.Mates(At(1100)).size() == 24u);
  std::set<uint32_t> told;
  for (int n = 0; n < 24; ++n) {
    const auto recipients = directory.RegionRecipients(At(1100));
    BOOST_TEST(recipients.size() == 2u);
    told.insert(recipients.begin(), recipients.end());
  }
  BOOST_TEST(told.size() == 48u);
  // The limit on bytes per second holds for any number of recipients.
  for (const size_t mates : {7u, 24u, 370u}) {
    constexpr size_t kReportBytes = 400;
    const auto rate = [](size_t recipients, Duration interval) {
      return static_cast<double>(recipients) * (kReportBytes + 28) * 1e6 /
             static_cast<double>(interval.count());
    };
    const double bytes_per_second =
        rate(mates, directory.WorkInterval(mates, kReportBytes, At(1100))) +
        rate(3, PeerDirectory::RegionInterval(3, kReportBytes)) +
        rate(5, directory.MemberReportInterval(5, kReportBytes, At(9000)));
    BOOST_TEST(bytes_per_second <= kMaxReportBytesPerSecond * 1.001);
  }
}

// Guards against instances that are not found, and against instances that are
// kept alive by others that repeat what they heard: in fleets of up to 370
// instances that lose a third of the datagrams, all know all others within some
// seconds, and forget a part that is gone.
BOOST_AUTO_TEST_CASE(MembershipSpreadsAndForgets) {
  for (const uint32_t instances : {8u, 95u, 370u}) {
    std::mt19937 random(instances);
    std::vector<PeerDirectory> fleet;
    for (uint32_t n = 0; n < instances; ++n) {
      fleet.emplace_back(n + 1, static_cast<uint16_t>(n % 4),
                         std::vector<uint32_t>{1, 2, 3});
    }
    uint32_t live = instances;
    const auto run = [&](int64_t from_ms, int64_t to_ms) {
      for (int64_t ms = from_ms; ms < to_ms; ms += 1000) {
        for (uint32_t n = 0; n < live; ++n) {
          const auto members = fleet[n].Members(At(ms + n));
          for (const uint32_t it : fleet[n].MemberRecipients(At(ms + n))) {
            if (it <= live && random() % 3 != 0) {
              fleet[it - 1].RecordReport({n + 1, static_cast<uint16_t>(n % 4)},
                                         1, members, At(ms + n));
            }
          }
        }
      }
    };
    run(100000, 130000);
    for (uint32_t n = 0; n < live; ++n) {
      BOOST_TEST(fleet[n].InstanceCount(At(130000)) >= instances * 0.9);
      BOOST_TEST(fleet[n].InstanceCount(At(130000)) <= instances);
    }
    live = instances / 2;
    const int64_t forgotten_ms = 130000 + TimeoutMs(instances);
    run(130000, forgotten_ms);
    for (uint32_t n = 0; n < live; ++n) {
      BOOST_TEST(fleet[n].InstanceCount(At(forgotten_ms)) <= live);
    }
  }
}

// Guards against ended instances that stay in the view of the others because
// their age loses its fraction, and the time on the way, whenever it is passed
// on.
BOOST_AUTO_TEST_CASE(PassedOnAgesDoNotKeepEndedInstancesAlive) {
  for (const uint32_t instances : {8u, 95u}) {
    ReportingFleet fleet(instances, 1000, 0);
    fleet.Run(20000);
    BOOST_TEST(fleet.KnownInstances(0) == instances);
    fleet.EndLast();
    fleet.Run(TimeoutMs(instances) + kDelayMs);
    for (uint32_t n = 0; n + 1 < instances; ++n) {
      BOOST_TEST(fleet.KnownInstances(n) == instances - 1);
    }
  }
}

// Guards against live instances that are dropped in a large fleet, where news
// are several hops old, when reports are large and therefore rare.
BOOST_AUTO_TEST_CASE(LiveInstancesOfALargeFleetStayKnown) {
  constexpr uint32_t kInstances = 370;
  ReportingFleet fleet(kInstances, 2000, 3);
  fleet.Run(90000);
  for (int n = 0; n < 3; ++n) {
    fleet.Run(20000);
    uint32_t fewest = kInstances;
    for (uint32_t instance = 0; instance < kInstances; ++instance) {
      fewest = std::min(fewest, fleet.KnownInstances(instance));
    }
    BOOST_TEST(fewest >= 0.95 * kInstances);
  }
}

// Guards against shares that add up to more than there is where some datagrams
// are lost at random, a few or many, with and without the registry.
BOOST_AUTO_TEST_CASE(SharesAddUpWhereReportsAreLost) {
  struct Losses {
    uint32_t instances;
    uint32_t lost_in;
  };
  for (const Losses& it : {Losses{8, 33}, Losses{8, 3}, Losses{95, 33},
                           Losses{95, 3}, Losses{370, 3}}) {
    for (const bool reads_registry : {true, false}) {
      const bool is_large = it.instances > 100;
      ReportingFleet fleet(it.instances, is_large ? 2000 : 1000, it.lost_in);
      fleet.Run(60000);
      for (int n = 0; n < (is_large ? 4 : 12); ++n) {
        if (reads_registry) {
          fleet.ReadRegistry();
        }
        fleet.Run(5000);
        BOOST_TEST(fleet.SumOfShares() <= (reads_registry ? 1 + 1e-9 : 1.01));
        BOOST_TEST(fleet.MostAtOnePosition() <= (reads_registry ? 1u : 2u));
      }
    }
  }
}

// Guards against an instance that takes its whole share again after a restart,
// while others still use it because they count the instance as leaving.
BOOST_AUTO_TEST_CASE(ReturnOfAnInstanceIsKnownAfterTheSpreadingTime) {
  for (const uint32_t instances : {95u, 370u}) {
    ReportingFleet fleet(instances, 2000, 3);
    fleet.Run(40000);
    const uint32_t n = instances / 2;
    fleet.SetLeaving(n, true);
    fleet.Run(60000);
    BOOST_TEST(fleet.ObserversOfLeaving(n) >= instances * 0.9);
    fleet.SetLeaving(n, false);
    fleet.Run(fleet.SpreadingTimeMs());
    BOOST_TEST(fleet.ObserversOfLeaving(n) == 0u);
  }
}

// Guards against forged reports that fill the memory or add instances of the
// past or the future.
BOOST_AUTO_TEST_CASE(ForgedMembersAreBounded) {
  PeerDirectory directory(1, 7, {});
  std::vector<Member> members;
  for (uint32_t n = 0; n < 100000; ++n) {
    members.push_back({n + 10, 7, Duration(0)});
  }
  directory.RecordReport({2, 7}, 1, members, At(100000));
  BOOST_TEST(directory.InstanceCount(At(100000)) <= 2001u);
  PeerDirectory other(1, 7, {});
  other.RecordReport(
      {2, 7}, 1, {{3, 7, std::chrono::hours(1)}, {4, 7, Duration(-1000000)}},
      At(100000));
  BOOST_TEST(other.InstanceCount(At(100000)) == 2u);
}

}  // namespace endiveyard
