#include <boost/test/unit_test.hpp>
#include <cmath>

#include "platform_model.h"

namespace endiveyard {
namespace {

using std::chrono::seconds;
constexpr auto kOnDemand = ReplicaKind::kOnDemand;
constexpr auto kSpot = ReplicaKind::kSpot;
constexpr const char* kFailureDomains[] = {"a1", "a2", "b1", "b2", "c1", "c2"};

// 27 % waves of 11 s.
double Waves(double t) {
  return 22 * (1 + 0.27 * std::sin(t * 2 * 3.14159265 / 11));
}

PlatformOptions Options(uint32_t seed = 1) {
  PlatformOptions options;
  options.seed = seed;
  options.busy = Waves;
  return options;
}

void CheckNoViolations(const PlatformModel& model) {
  BOOST_TEST(model.violations().size() == 0u,
             (model.violations().empty() ? "" : model.violations().front()));
}

int Total(const PlatformModel& model, const std::string& name) {
  return model.Desired(name, kOnDemand) + model.Desired(name, kSpot);
}

}  // namespace

// Guards against a fleet that stays on expensive replicas, and against removing
// these before their replacements serve.
BOOST_AUTO_TEST_CASE(StartMovesToSpotReplicas) {
  for (uint32_t seed = 1; seed <= 20; ++seed) {
    PlatformModel model(Options(seed));
    model.Run(seconds(12));
    BOOST_TEST(model.Ready(kOnDemand) + model.Ready(kSpot) >= 80);
    int on_demand = 0;
    for (const char* name : kFailureDomains) {
      BOOST_TEST(model.Desired(name, kSpot) == 14);
      BOOST_TEST(model.Desired(name, kOnDemand) >= 1);
      on_demand += model.Desired(name, kOnDemand);
    }
    BOOST_TEST(on_demand <= 24);
    model.Run(seconds(30));
    BOOST_TEST_MESSAGE("price " << model.price() << " orders " << model.orders()
                                << " on demand " << on_demand);
    // Without scaling it would be 90 x 1.03 x 42 s.
    BOOST_TEST(model.price() < 0.5 * 3906);
    CheckNoViolations(model);
  }
}

// Guards against a fleet that is cut down to the replicas that had registered
// when the holder began.
BOOST_AUTO_TEST_CASE(LateReplicasBelongToTheFleet) {
  for (const int late_ms : {1000, 3000, 5000, 7000}) {
    PlatformOptions options = Options();
    options.late_start = std::chrono::milliseconds(late_ms);
    PlatformModel model(options);
    model.Run(seconds(20));
    BOOST_TEST(Total(model, "a1") == 15, late_ms);
    CheckNoViolations(model);
  }
}

// Guards against counts that follow every wave.
BOOST_AUTO_TEST_CASE(WavesDoNotMakeCountsFlap) {
  PlatformModel model(Options());
  model.Run(seconds(120));
  BOOST_TEST(model.reversals() == 0);
  BOOST_TEST(model.orders() < 100u);
  for (const char* name : kFailureDomains) {
    BOOST_TEST(Total(model, name) >= 8);
    BOOST_TEST(Total(model, name) <= 15);
  }
  CheckNoViolations(model);
}

// Guards against a fleet that is trimmed to the present load: a burst rises
// faster than a replica boots.
BOOST_AUTO_TEST_CASE(BurstsFindTheirCapacity) {
  for (const double load : {1.0, 0.6, 0.4}) {
    for (const double begin : {10.0, 30.0, 80.0, 151.0, 156.0}) {
      PlatformOptions options = Options();
      options.busy = [load, begin](double t) {
        return load * Waves(t) * (t >= begin && t < begin + 6 ? 2.2 : 1);
      };
      PlatformModel model(options);
      model.Run(seconds(170));
      CheckNoViolations(model);
      BOOST_TEST(model.reversals() <= 6);
    }
  }
}

// Guards against a fleet that keeps what it clearly does not need, or drops it
// at once.
BOOST_AUTO_TEST_CASE(UnusedReplicasAreTrimmedSlowly) {
  PlatformOptions options = Options();
  options.busy = [](double t) { return 0.3 * Waves(t); };
  PlatformModel model(options);
  model.Run(seconds(17));
  BOOST_TEST(model.Ready(kOnDemand) + model.Ready(kSpot) >= 88);
  model.Run(seconds(10));
  BOOST_TEST(model.Ready(kOnDemand) + model.Ready(kSpot) >= 70);
  model.Run(seconds(90));
  BOOST_TEST(model.Ready(kOnDemand) + model.Ready(kSpot) <= 66);
  BOOST_TEST(model.Ready(kOnDemand) + model.Ready(kSpot) >= 45);
  // Once in each failure domain, after its spot replicas were ordered.
  BOOST_TEST(model.reversals() <= 6);
  CheckNoViolations(model);
}

// Guards against queues that no replica is ordered for.
BOOST_AUTO_TEST_CASE(LoadThatStaysIsFollowed) {
  PlatformOptions options = Options();
  options.busy = [](double t) { return t < 20 ? 22 : std::min(85.0, t * 2); };
  PlatformModel model(options);
  model.Run(seconds(80));
  BOOST_TEST(model.Ready(kOnDemand) + model.Ready(kSpot) > 100);
  CheckNoViolations(model);
}

// Guards against a zone that stays empty, and against a region that lacks its
// capacity, while no spot replicas are to be had.
BOOST_AUTO_TEST_CASE(ReclaimedZoneIsReplacedInItsRegion) {
  for (uint32_t seed = 1; seed <= 10; ++seed) {
    for (const char* name : {"a1", "b2"}) {
      PlatformOptions options = Options(seed);
      options.restores_reclaimed = seed % 2 == 0;
      PlatformModel model(options);
      model.Run(seconds(20));
      model.Reclaim(name, seconds(9));
      model.Run(seconds(7));
      BOOST_TEST(model.spot_losses() == 1);
      const std::string other = name == std::string("a1") ? "a2" : "b1";
      BOOST_TEST(model.Desired(other, kSpot) >= 20);
      model.Run(seconds(25));
      BOOST_TEST(model.Desired(name, kSpot) >= 8);
      // Those of a stage that the new ones happen to lack stay.
      BOOST_TEST(Total(model, name) + Total(model, other) <= 36);
      CheckNoViolations(model);
    }
  }
}

// Guards against waiting for replicas that have just been ordered and were
// reclaimed.
BOOST_AUTO_TEST_CASE(ReplicasReclaimedAfterTheirStartAreReplaced) {
  PlatformModel model(Options());
  model.Run(std::chrono::milliseconds(8500));
  BOOST_REQUIRE(model.Ready(kSpot) == 84);
  model.Reclaim("a1", seconds(9));
  model.Run(seconds(1));
  BOOST_TEST(model.Desired("a2", kSpot) > 14);
  model.Run(seconds(30));
  BOOST_TEST(model.Desired("a1", kSpot) >= 8);
  CheckNoViolations(model);
}

// Guards against a failure domain that stays without replicas that crashed, of
// which its platform takes no notice.
BOOST_AUTO_TEST_CASE(ReplicasThatEndAreOrderedAgain) {
  PlatformModel model(Options());
  for (const char* name : kFailureDomains) {
    model.RefuseSpot(name, seconds(1000));
  }
  model.Run(seconds(8));
  model.End("b1", kOnDemand, 5);
  BOOST_TEST(model.Ready(kOnDemand) == 85);
  model.Run(seconds(11));
  BOOST_TEST(model.Ready(kOnDemand) == 90);
}

// Guards against a region without capacity where spot replicas are to be had in
// none of its zones.
BOOST_AUTO_TEST_CASE(OnDemandReplicasStandInWhereThereIsNoSpot) {
  PlatformModel model(Options());
  model.Run(seconds(20));
  model.RefuseSpot("a2", seconds(9));
  model.Reclaim("a1", seconds(9));
  model.Run(seconds(7));
  BOOST_TEST(model.Desired("a1", kOnDemand) + model.Desired("a2", kOnDemand) >
             3);
  model.Run(seconds(30));
  BOOST_TEST(model.Desired("a1", kOnDemand) + model.Desired("a2", kOnDemand) <=
             6);
  BOOST_TEST(model.Desired("a1", kSpot) >= 8);
  CheckNoViolations(model);
}

// Guards against removing replicas in favour of others that never come.
BOOST_AUTO_TEST_CASE(NothingIsRemovedWithoutReplacement) {
  PlatformModel model(Options());
  for (const char* name : kFailureDomains) {
    model.RefuseSpot(name, seconds(1000));
  }
  model.Run(seconds(14));
  for (const char* name : kFailureDomains) {
    BOOST_TEST(model.Desired(name, kOnDemand) == 15);
  }
  CheckNoViolations(model);
}

// Guards against a stage that loses its replicas because their replacements all
// run the other one.
BOOST_AUTO_TEST_CASE(StagesKeepTheirProportion) {
  for (const double share : {0.0, 0.1, 0.8}) {
    PlatformOptions options = Options();
    options.spot_prefill_share = share;
    PlatformModel model(options);
    model.Run(seconds(60));
    CheckNoViolations(model);
  }
}

// Guards against a new holder that takes half of a change for the whole: both
// kinds run side by side while one replaces the other.
BOOST_AUTO_TEST_CASE(HolderChangesBetweenTwoOrders) {
  for (int ms = 2000; ms <= 12000; ms += 250) {
    PlatformModel model(Options(static_cast<uint32_t>(ms)));
    model.Run(std::chrono::milliseconds(ms));
    model.ChangeHolder(seconds(5));
    model.Run(seconds(30));
    int total = 0;
    for (const char* name : kFailureDomains) {
      BOOST_TEST(Total(model, name) >= 8, ms);
      total += Total(model, name);
    }
    // On-demand replicas of a stage that the new ones happen to lack stay.
    BOOST_TEST(total <= 105, ms);
    BOOST_TEST(model.Ready(kOnDemand) <= 30, ms);
    CheckNoViolations(model);
  }
}

// Guards against an order that is given up, or that an earlier one undoes
// seconds later.
BOOST_AUTO_TEST_CASE(LostAndLateAnswersDoNotUndoOrders) {
  for (uint32_t seed = 1; seed <= 40; ++seed) {
    PlatformOptions options = Options(seed);
    options.busy = [](double t) { return 0.4 * Waves(t); };
    options.lost_share = 0.3;
    options.rejected_share = 0.2;
    options.answer_time = std::chrono::milliseconds(900);
    options.faulty_seconds = 40;
    PlatformModel model(options);
    model.Run(seconds(60));
    BOOST_TEST(model.HolderIsRight(), seed);
    BOOST_TEST(model.Ready(kOnDemand) <= 30);
    BOOST_TEST(model.Ready(kOnDemand) + model.Ready(kSpot) >= 45);
    CheckNoViolations(model);
  }
}

// Guards against decisions from reports that are seconds old, each of which
// orders the same again.
BOOST_AUTO_TEST_CASE(LaggingReportsDoNotMultiplySteps) {
  PlatformOptions options = Options();
  options.view_lag = std::chrono::milliseconds(2500);
  options.report_lag = seconds(3);
  options.busy = [](double t) { return t > 30 && t < 36 ? 48 : 22; };
  PlatformModel model(options);
  model.Run(seconds(90));
  BOOST_TEST(model.reversals() <= 6);
  CheckNoViolations(model);
}

// Guards against orders while the platform or the registry is unavailable.
BOOST_AUTO_TEST_CASE(OutagesChangeNothing) {
  PlatformModel model(Options());
  model.Run(seconds(20));
  const size_t orders = model.orders();
  model.Run(seconds(10), false);
  BOOST_TEST(model.orders() == orders);
  model.set_platform_down(true);
  model.Reclaim("c1", seconds(9));
  model.Run(seconds(15));
  BOOST_TEST(model.orders() - orders < 60u);
  model.set_platform_down(false);
  model.Run(seconds(20));
  BOOST_TEST(model.Desired("c1", kSpot) >= 8);
  CheckNoViolations(model);
}

// Guards against replacing a large fleet within seconds: instances that learned
// late of thousands of changes sent requests to replicas that had left.
BOOST_AUTO_TEST_CASE(LargeFleetsAreReplacedGradually) {
  PlatformOptions options = Options();
  options.on_demand = 500;  // 3,000 in all
  PlatformModel model(options);
  const auto totals = [&model] {
    std::pair<int, int> total;
    for (const char* name : kFailureDomains) {
      total.first += model.Desired(name, kOnDemand);
      total.second += model.Desired(name, kSpot);
    }
    return total;
  };
  auto before = totals();
  int removed = 0;
  for (int second = 0; second < 40; ++second) {
    model.Run(seconds(1));
    const auto now = totals();
    // Four plans of up to 100 replicas and an order that was under way.
    BOOST_TEST(now.second - before.second <= 500);
    BOOST_TEST(before.first - now.first <= 120);
    removed += before.first - now.first;
    before = now;
  }
  BOOST_TEST(removed >= 600);
  CheckNoViolations(model);
}

}  // namespace endiveyard
