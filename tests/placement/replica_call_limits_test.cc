#include "endiveyard/placement/replica_call_limits.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>
#include <set>

#include "endiveyard/placement/placer.h"

namespace endiveyard {
namespace {

TimePoint At(int64_t millis) {
  return TimePointFromMicros(millis * 1000);
}

Duration Ms(int64_t millis) {
  return std::chrono::milliseconds(millis);
}

Replica MakeReplica(const std::string& id, int slots = 32) {
  Replica replica;
  replica.id = id;
  replica.service = "s";
  replica.failure_domain = "here";
  replica.slots = slots;
  return replica;
}

const Replica kNew = MakeReplica("new");
const uint64_t kNewKey = EngineKey(kNew);

// Limits of an instance that has seen kNew start at At(1000).
ReplicaCallLimits LimitsWithNewReplica(const Replica& replica = kNew,
                                       size_t index = 0,
                                       size_t count = 1) {
  ReplicaCallLimits limits;
  limits.set_instance({index, count, {}, false});
  ReplicaView view;
  view.Reset({MakeReplica("old")}, At(0));
  limits.RecordReplicas(view, At(0));
  view.Put(replica);
  limits.RecordReplicas(view, At(1000));
  return limits;
}

PlacementQuery MakeQuery(bool slow_start) {
  PlacementQuery query;
  query.service = "s";
  query.time_left = query.first_output_time_left = std::chrono::seconds(1);
  query.slow_start = slow_start;
  return query;
}

}  // namespace

// Guards against limits on replicas that were there when the instance started,
// after which all of them would be used less.
BOOST_AUTO_TEST_CASE(OnlyReplicasThatComeLaterAreNew) {
  ReplicaCallLimits limits = LimitsWithNewReplica();
  BOOST_TEST(!limits.Allowance(MakeReplica("old"), {}, At(1000)));
  BOOST_TEST(limits.Allowance(kNew, {}, At(1000)).value() == 8);
  ReplicaCallLimits late = LimitsWithNewReplica();
  BOOST_TEST(!late.Allowance(kNew, {}, At(12000)));
  BOOST_TEST(LimitsWithNewReplica(MakeReplica("new", 6))
                 .Allowance(MakeReplica("new", 6), {}, At(1000))
                 .value() == 2);
}

// Guards against shares of the instances that add up to more than the limit, or
// to less, and against shares that are all at neighbouring instances.
BOOST_AUTO_TEST_CASE(SharesAddUpToTheLimit) {
  for (const size_t count : {1u, 2u, 3u, 8u, 75u, 83u, 87u, 370u}) {
    for (int n = 0; n < 20; ++n) {
      const Replica replica = MakeReplica("new" + std::to_string(n));
      int calls = 0;
      std::set<size_t> thirds;
      for (size_t index = 0; index < count; ++index) {
        ReplicaCallLimits limits = LimitsWithNewReplica(replica, index, count);
        const int share = limits.Allowance(replica, {}, At(1000)).value();
        calls += share;
        if (share > 0) {
          thirds.insert(3 * index / count);
        }
      }
      BOOST_TEST(calls == 8);
      if (count >= 3) {
        BOOST_TEST(thirds.size() == 3u);
      }
    }
  }
}

// Guards against growth by more than the answers show, which would be a flood,
// and against a limit that does not end.
BOOST_AUTO_TEST_CASE(LimitsDoubleWithEachRoundOfGoodAnswers) {
  ReplicaCallLimits limits = LimitsWithNewReplica();
  limits.Allowance(kNew, {}, At(1000));
  // Sent before the limit.
  limits.RecordAnswer(kNewKey, 1, At(900), At(1010));
  BOOST_TEST(*limits.LimitOf(kNewKey) == 8);
  for (int n = 0; n < 20; ++n) {
    limits.RecordAnswer(kNewKey, 1, At(1000), At(1050));
  }
  BOOST_TEST(*limits.LimitOf(kNewKey) == 16);
  for (int n = 0; n < 20; ++n) {
    limits.RecordAnswer(kNewKey, 2, At(1060), At(1150));  // neither
  }
  BOOST_TEST(*limits.LimitOf(kNewKey) == 16);
  for (int n = 0; n < 16; ++n) {
    limits.RecordAnswer(kNewKey, 1.4, At(1060), At(1150));
  }
  BOOST_TEST(*limits.LimitOf(kNewKey) == 32);
  limits.RecordAnswer(kNewKey, 1, At(1160), At(1200));
  BOOST_TEST(!limits.LimitOf(kNewKey));
  BOOST_TEST(!limits.Allowance(kNew, {}, At(1200)));
  const auto events = limits.TakeEvents();
  BOOST_REQUIRE(events.size() == 2u);
  BOOST_TEST((events[0].kind == CallLimitEvent::Kind::kStarted));
  BOOST_TEST(events[0].reason == "new");
  BOOST_TEST((events[1].kind == CallLimitEvent::Kind::kEnded));
}

// Guards against one overload that halves the limit many times.
BOOST_AUTO_TEST_CASE(LimitsAreHalvedOncePerRound) {
  ReplicaCallLimits limits = LimitsWithNewReplica();
  limits.Allowance(kNew, {}, At(1000));
  for (int n = 0; n < 5; ++n) {
    limits.RecordAnswer(kNewKey, 3, At(1000), At(1100));
  }
  BOOST_TEST(*limits.LimitOf(kNewKey) == 4);
  limits.RecordCallEnded(kNewKey, CallResult::kRejected, At(1150), At(1200));
  BOOST_TEST(*limits.LimitOf(kNewKey) == 2);
  limits.RecordTimeout(kNewKey, At(1150), At(1250));
  BOOST_TEST(*limits.LimitOf(kNewKey) == 2);
  for (int n = 0; n < 5; ++n) {
    const int64_t sent = 1300 + 100 * n;
    limits.RecordTimeout(kNewKey, At(sent), At(sent + 50));
  }
  BOOST_TEST(*limits.LimitOf(kNewKey) == 1);
  limits.RecordCallEnded(kNewKey, CallResult::kCompleted, At(1900), At(1950));
  limits.RecordCallEnded(kNewKey, CallResult::kMisdirected, At(1900), At(1950));
  BOOST_TEST(*limits.LimitOf(kNewKey) == 1);
}

// Guards against a replica that is left idle because the instances that may
// send have no request, and against a limit without an end.
BOOST_AUTO_TEST_CASE(LimitsEndWithoutAnswers) {
  ReplicaCallLimits idle = LimitsWithNewReplica();
  ReplicaSigns signs;
  int64_t now = 1000;
  while (idle.Allowance(kNew, signs, At(now))) {
    now += 100;
  }
  BOOST_TEST(now <= 4500);
  ReplicaCallLimits slow = LimitsWithNewReplica();
  signs.calls = 2;
  now = 1000;
  while (slow.Allowance(kNew, signs, At(now))) {
    slow.RecordAnswer(kNewKey, 2, At(now - 40), At(now));
    now += 100;
  }
  BOOST_TEST(now <= 31000);
  // Never fast: by its own standard after three seconds.
  ReplicaCallLimits steady = LimitsWithNewReplica();
  now = 1000;
  while (steady.Allowance(kNew, signs, At(now))) {
    steady.RecordAnswer(kNewKey, 4, At(now - 40), At(now));
    now += 100;
  }
  BOOST_TEST(now >= 4000);
  BOOST_TEST(now <= 8000);
}

// Guards against limits that rise by the reports of instances that do not know
// that the replica is overloaded, or fall by those of instances that lag
// behind.
BOOST_AUTO_TEST_CASE(TheLowestThatShrankCountsElseTheHighest) {
  ReplicaCallLimits limits = LimitsWithNewReplica();
  ReplicaSigns signs;
  signs.calls = 1;
  limits.Allowance(kNew, signs, At(1000));
  const auto tell = [&limits](int64_t age, double limit, int64_t now) {
    limits.ApplyReport({kNewKey, Ms(age), std::nullopt, limit}, At(now), false);
    return limits.LimitOf(kNewKey).value_or(0);
  };
  BOOST_TEST(tell(0, 16, 1100) == 16);
  BOOST_TEST(tell(0, 8, 1200) == 16);     // lags behind
  BOOST_TEST(tell(50, 8.5, 1300) == 8);   // shrank at 1250
  BOOST_TEST(tell(10, 4.5, 1310) == 4);   // and again
  BOOST_TEST(tell(0, 16, 1400) == 4);     // may not know
  BOOST_TEST(tell(100, 8.5, 1400) == 4);  // older than the last one
  BOOST_TEST(tell(0, 8, 2000) == 8);
  for (const double it : {0.0, 0.5, -1.0, 1e9, std::nan(""),
                          std::numeric_limits<double>::infinity()}) {
    BOOST_TEST(tell(0, it, 2100) == 8);
  }
  BOOST_TEST(tell(-5, 16, 2100) == 8);
  // Ended elsewhere. Reports of instances that lag behind do not start it
  // again.
  BOOST_TEST(tell(0, 33, 2200) == 0);
  BOOST_TEST(tell(0, 16, 2300) == 0);
}

// Guards against news of a limit that are lost with one datagram, and against
// instances that do not learn of a limit that they did not start.
BOOST_AUTO_TEST_CASE(LimitsReachOtherInstances) {
  ReplicaCallLimits first = LimitsWithNewReplica();
  first.Allowance(kNew, {}, At(1000));
  BOOST_TEST(first.TakeNews(9, At(1000)).empty());  // all see it start
  first.RecordTimeout(kNewKey, At(1000), At(1100));
  for (int n = 0; n < 3; ++n) {
    const auto news = first.TakeNews(9, At(1200));
    BOOST_REQUIRE(news.size() == 1u);
    BOOST_TEST(news[0].call_limit.value() == 4.5);
    BOOST_TEST((news[0].age == Ms(100)));
  }
  BOOST_TEST(first.TakeNews(9, At(1200)).empty());
  const auto digest = first.Digest(9, At(1200));
  BOOST_REQUIRE(digest.size() == 1u);
  // One that has restarted.
  ReplicaCallLimits restarted;
  restarted.ApplyReport(digest[0], At(1250), true);
  BOOST_TEST(restarted.Allowance(kNew, {}, At(1250)).value() == 4);
  BOOST_TEST(restarted.TakeNews(9, At(1250)).size() == 1u);
  // One that gets good answers from the replica.
  ReplicaCallLimits content;
  content.Allowance(kNew, {}, At(1200));
  content.RecordAnswer(kNewKey, 1, At(1200), At(1240));
  content.ApplyReport(digest[0], At(1250), false);
  BOOST_TEST(!content.Allowance(kNew, {}, At(1250)));
}

// Guards against replicas that recover without announcing it being flooded, and
// against limits that begin with each change of a shared machine.
BOOST_AUTO_TEST_CASE(RecoveredReplicasGetALimit) {
  const auto starts = [](const ReplicaSigns& impaired, int64_t impaired_ms,
                         const ReplicaSigns& recovered) {
    ReplicaCallLimits limits;
    for (int64_t now = 20000; now <= 20000 + impaired_ms; now += 100) {
      if (limits.Allowance(kNew, impaired, At(now))) {
        return false;  // too early
      }
    }
    return limits.Allowance(kNew, recovered, At(20100 + impaired_ms))
        .has_value();
  };
  ReplicaSigns usual;
  ReplicaSigns backoff;
  backoff.in_backoff = true;
  BOOST_TEST(starts(backoff, 250, usual));
  BOOST_TEST(!starts(usual, 250, usual));
  ReplicaSigns waits_usual;
  waits_usual.slowness = 1.1;
  ReplicaSigns waits_slow;
  waits_slow.slowness = 2.1;
  // Waits that have only become old show nothing.
  BOOST_TEST(!starts(waits_slow, 250, waits_usual));
  ReplicaCallLimits waits;
  waits.Allowance(kNew, waits_slow, At(1000));
  waits.RecordAnswer(kNewKey, 1, At(1000), At(1050));
  BOOST_TEST(!waits.Allowance(kNew, waits_slow, At(1060)));
  waits.RecordAnswer(kNewKey, 1, At(1000), At(1070));
  BOOST_TEST(waits.Allowance(kNew, waits_usual, At(1100)).value() == 8);
  ReplicaSigns fast;
  fast.momentary_duration = 1;
  fast.lasting_duration = 1;
  ReplicaSigns busy = fast;
  busy.momentary_duration = 2.5;
  BOOST_TEST(!starts(busy, 600, fast));
  BOOST_TEST(starts(busy, 2400, fast));
  ReplicaSigns old_value;
  old_value.expected_duration = 1.7;
  BOOST_TEST(!starts(usual, 250, old_value));
  old_value.expected_duration = 2.4;
  BOOST_TEST(starts(usual, 250, old_value));
  ReplicaSigns machine = fast;
  machine.momentary_duration = machine.lasting_duration = 1.7;
  BOOST_TEST(!starts(machine, 5000, machine));
  machine.momentary_duration = 1.7 * 2.5;
  ReplicaSigns machine_usual = machine;
  machine_usual.momentary_duration = 1.7;
  BOOST_TEST(!starts(machine, 600, machine_usual));

  ReplicaCallLimits refused;
  refused.Allowance(kNew, usual, At(1000));
  for (int n = 0; n < 3; ++n) {
    refused.RecordCallEnded(kNewKey, CallResult::kRejected, At(1000), At(1010));
  }
  BOOST_TEST(!refused.Allowance(kNew, usual, At(1020)));
  refused.RecordAnswer(kNewKey, 1, At(1030), At(1050));
  BOOST_TEST(refused.Allowance(kNew, usual, At(1060)).value() == 8);
}

// Guards against a limit that leads to a refusal where no other replica can
// serve the request, and against limits that hold where others are free.
BOOST_AUTO_TEST_CASE(LimitsNeverLeadToRefusals) {
  Placer placer({"here", {{"here", "r1"}}});
  ReplicaView view;
  for (int n = 0; n < 7; ++n) {
    const Replica old = MakeReplica("old" + std::to_string(n));
    view.Put(old);
    // Far more than at the new one.
    for (int call = 0; call < 20; ++call) {
      placer.LoadOf(old).RecordCallSent(0);
    }
  }
  placer.call_limits().RecordReplicas(view, At(0));
  view.Put(kNew);
  placer.call_limits().RecordReplicas(view, At(1000));
  PlacementQuery query = MakeQuery(true);
  const auto place = [&](int requests) {
    int at_new = 0;
    for (int n = 0; n < requests; ++n) {
      const auto result = placer.Choose(view, query, At(1000));
      BOOST_REQUIRE(result.placement.has_value());
      placer.LoadOf(result.placement->target).RecordCallSent(0);
      at_new += result.placement->target.id == "new" ? 1 : 0;
    }
    return at_new;
  };
  // Eight, times the square of 8 replicas for 7 without a limit.
  BOOST_TEST(place(19) == 10);
  BOOST_TEST(placer.call_limits().TakeEvents().size() == 1u);
  for (int n = 0; n < 7; ++n) {
    query.excluded.insert("old" + std::to_string(n));
  }
  BOOST_TEST(place(5) == 5);
  const auto events = placer.call_limits().TakeEvents();
  BOOST_REQUIRE(events.size() == 1u);
  BOOST_TEST((events[0].kind == CallLimitEvent::Kind::kBypassed));
  // Others that cannot serve it in time do not count either.
  query.excluded.clear();
  for (int n = 0; n < 7; ++n) {
    for (int call = 0; call < 100; ++call) {
      placer.LoadOf(MakeReplica("old" + std::to_string(n))).RecordCallSent(0);
    }
  }
  BOOST_TEST(place(5) == 5);
}

// Guards against limits at services without autoscaling whose replicas state no
// relative durations.
BOOST_AUTO_TEST_CASE(OtherServicesHaveNoLimits) {
  for (const bool states_duration : {false, true}) {
    Placer placer({"here", {{"here", "r1"}}});
    const Replica old = MakeReplica("old");
    ReplicaView view;
    view.Reset({old}, At(0));
    placer.call_limits().RecordReplicas(view, At(0));
    ReportedLoad load{0, 0, 32, std::nullopt};
    if (states_duration) {
      load.relative_duration = 1;
    }
    placer.RecordReportedLoad(old, load, At(1000));
    view.Put(kNew);
    placer.call_limits().RecordReplicas(view, At(1000));
    BOOST_TEST(
        placer.Choose(view, MakeQuery(false), At(1000)).placement.has_value());
    BOOST_TEST(placer.call_limits().LimitOf(kNewKey).has_value() ==
               states_duration);
  }
}

}  // namespace endiveyard
