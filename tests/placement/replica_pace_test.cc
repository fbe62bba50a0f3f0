#include "endiveyard/placement/replica_pace.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>
#include <random>

namespace endiveyard {
namespace {

constexpr uint64_t kReplica = 7;

TimePoint At(int64_t millis) {
  return TimePointFromMicros(millis * 1000);
}

Duration Ms(int64_t millis) {
  return std::chrono::milliseconds(millis);
}

// A machine whose work takes 2.5 times as long in 15 % of the intervals of
// 600 ms.
double StatedAt(double machine, int64_t millis, unsigned seed) {
  std::mt19937 random(static_cast<uint32_t>(millis / 600) * 7919 + seed);
  random.discard(8);
  return random() % 100 < 15 ? machine * 2.5 : machine;
}

}  // namespace

// Guards against a value that counts after the machine has changed.
BOOST_AUTO_TEST_CASE(MomentaryValuesFallBackToTheLastingOne) {
  ReplicaPaces paces;
  BOOST_TEST(!paces.RelativeDuration(kReplica, At(0)));
  for (int n = 0; n < 5; ++n) {
    paces.RecordResponse(kReplica, 0.7, At(1000 * n));
  }
  paces.RecordResponse(kReplica, 1.75, At(5000));
  const auto at = [&paces](int64_t millis) {
    return paces.RelativeDuration(kReplica, At(millis)).value();
  };
  const auto close = boost::test_tools::tolerance(1e-9);
  BOOST_TEST(at(5000) == 1.75, close);
  BOOST_TEST(at(5300) == 0.7 + 1.05 / 2, close);
  BOOST_TEST(at(5600) == 0.7, close);
  BOOST_TEST(at(15600) == std::sqrt(0.7), close);
  BOOST_TEST(!paces.RelativeDuration(kReplica, At(5000 + 600000)));
}

// Guards against one response from a busy machine, or many within the same
// interval, counting as its lasting speed.
BOOST_AUTO_TEST_CASE(LastingSpeedsAreFoundUnderNoise) {
  ReplicaPaces busy;
  for (int n = 0; n < 20; ++n) {
    busy.RecordResponse(kReplica, 2.5, At(20 * n));
  }
  BOOST_TEST(*busy.RelativeDuration(kReplica, At(2000)) == 1.0);
  for (const double machine : {0.7, 1.0, 1.7}) {
    int wrong = 0;
    for (unsigned seed = 0; seed < 200; ++seed) {
      ReplicaPaces paces;
      for (int64_t now = 0; now < 20000; now += 140) {
        paces.RecordResponse(kReplica, StatedAt(machine, now, seed), At(now));
      }
      const double found = *paces.RelativeDuration(kReplica, At(20500));
      wrong += std::abs(found - machine) > 0.01 ? 1 : 0;
    }
    // Chance alone gives six of nine busy intervals in 0.1 % of the cases.
    BOOST_TEST(wrong <= 2, "machine " << machine << ": " << wrong);
  }
}

// Guards against a replica that was slow for long and gets no more calls, so
// that nobody learns that it has recovered.
BOOST_AUTO_TEST_CASE(OldValuesApproachTheUsualDuration) {
  ReplicaPaces paces;
  for (int n = 0; n < 9; ++n) {
    paces.RecordResponse(kReplica, 8, At(1000 * n));
  }
  BOOST_TEST(*paces.RelativeDuration(kReplica, At(8000)) == 8);
  BOOST_TEST(*paces.RelativeDuration(kReplica, At(8600)) == 2.5);
  BOOST_TEST(*paces.RelativeDuration(kReplica, At(8600 + 30000)) < 1.2);
}

// Guards against values that are not plausible, from replicas or in reports.
BOOST_AUTO_TEST_CASE(ImplausibleValuesAreIgnored) {
  ReplicaPaces paces;
  for (const double it : {0.0, -1.0, 0.09, 20.1, std::nan(""),
                          std::numeric_limits<double>::infinity()}) {
    paces.RecordResponse(kReplica, it, At(0));
    paces.ApplyReport({kReplica, Ms(0), it, std::nullopt}, At(0), true);
  }
  paces.ApplyReport({kReplica, Ms(-1), 2.0, std::nullopt}, At(0), true);
  paces.ApplyReport({kReplica, Ms(0), std::nullopt, 3.0}, At(0), true);
  BOOST_TEST(paces.empty());
}

// Guards against reports that replace newer values, and against values that go
// round between instances.
BOOST_AUTO_TEST_CASE(TheLatestValueOfAllInstancesCounts) {
  ReplicaPaces paces;
  paces.RecordResponse(kReplica, 1.0, At(1000));
  paces.ApplyReport({kReplica, Ms(200), 2.5, std::nullopt}, At(1100), false);
  BOOST_TEST(*paces.RelativeDuration(kReplica, At(1100)) == 1.0);
  paces.ApplyReport({kReplica, Ms(0), 2.5, std::nullopt}, At(1100), false);
  BOOST_TEST(*paces.RelativeDuration(kReplica, At(1100)) == 2.5);
  BOOST_TEST(paces.TakeNews(9, At(1100)).empty());
  // From another region.
  paces.ApplyReport({kReplica, Ms(0), 1.5, std::nullopt}, At(1200), true);
  BOOST_TEST(paces.TakeNews(9, At(1200)).size() == 1u);
}

// Guards against reports that exceed the limit on their size, or that are full
// of values which are too old to be of use.
BOOST_AUTO_TEST_CASE(NewsAreFreshAndBounded) {
  ReplicaPaces paces;
  for (uint64_t n = 0; n < 20; ++n) {
    paces.RecordResponse(n, 1.5, At(static_cast<int64_t>(50 * n)));
  }
  const auto news = paces.TakeNews(4, At(1000));
  BOOST_REQUIRE(news.size() == 4u);
  BOOST_TEST(news[0].replica_key == 19u);
  BOOST_TEST((news[0].age == Ms(50)));
  BOOST_TEST(news[3].replica_key == 16u);
  // Values of the last 600 ms, each in two reports.
  BOOST_TEST(paces.Digest(99, At(1000)).size() == 11u);
  BOOST_TEST(paces.TakeNews(99, At(1000)).size() == 11u);
  BOOST_TEST(paces.TakeNews(99, At(1000)).size() == 7u);
  BOOST_TEST(paces.TakeNews(99, At(1000)).empty());
  paces.Retain({3, 19});
  BOOST_TEST(paces.Digest(99, At(1000)).size() == 1u);
  BOOST_TEST(paces.RelativeDuration(3, At(1000)).has_value());
  BOOST_TEST(!paces.RelativeDuration(4, At(1000)));
}

// Guards against instances that do not learn the speeds of machines in a large
// fleet, where each one is answered by a given replica every ten seconds, and a
// third of the reports is lost.
BOOST_AUTO_TEST_CASE(InstancesOfALargeFleetLearnTheLastingSpeeds) {
  constexpr size_t kInstances = 75;
  constexpr size_t kReplicas = 30;
  constexpr int64_t kStepMs = 20;
  // An instance of a fleet of this size reports every five seconds.
  constexpr int64_t kIntervalMs = 5000;
  std::mt19937 random(3);
  std::vector<ReplicaPaces> fleet(kInstances);
  const auto machine = [](size_t replica) {
    return std::array<double, 4>{0.7, 1, 1, 1.7}[replica % 4];
  };
  const auto known = [&](int64_t now) {
    size_t right = 0;
    for (const ReplicaPaces& it : fleet) {
      for (size_t n = 0; n < kReplicas; ++n) {
        const double found = it.RelativeDuration(n, At(now)).value_or(1);
        right += std::abs(found / machine(n) - 1) < 0.1 ? 1 : 0;
      }
    }
    return static_cast<double>(right) / (kInstances * kReplicas);
  };
  for (int64_t now = 0; now < 20000; now += kStepMs) {
    for (size_t n = 0; n < kReplicas; ++n) {
      if (random() % 7 == 0) {  // every 140 ms
        fleet[random() % kInstances].RecordResponse(
            n, StatedAt(machine(n), now, static_cast<unsigned>(n)), At(now));
      }
    }
    for (size_t n = 0; n < kInstances; ++n) {
      if ((now + static_cast<int64_t>(n) * 60) % kIntervalMs >= kStepMs) {
        continue;
      }
      for (const ReplicaPaceReport& it : fleet[n].TakeNews(32, At(now))) {
        for (ReplicaPaces& peer : fleet) {
          if (&peer != &fleet[n] && random() % 3 != 0) {
            peer.ApplyReport(it, At(now), false);
          }
        }
      }
    }
  }
  const double share = known(20000 + 600);
  BOOST_TEST_MESSAGE("lasting speeds known after 20 s: " << share);
  BOOST_TEST(share > 0.9);
}

}  // namespace endiveyard
