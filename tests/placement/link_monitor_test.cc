#include "endiveyard/placement/link_monitor.h"

#include <boost/test/unit_test.hpp>

#include "endiveyard/placement/forwarding_peers.h"

namespace endiveyard {
namespace {

using State = LinkMonitor::State;

TimePoint At(int64_t millis) {
  return TimePointFromMicros(millis * 1000);
}

// A monitor of 15 targets whose requests fail to connect to two of them.
LinkMonitor MakeSuspicious() {
  LinkMonitor monitor;
  monitor.set_target_count(15);
  BOOST_TEST(!monitor.RecordConnect("a", false));
  BOOST_TEST(!monitor.RecordConnect("a", false));
  BOOST_TEST(monitor.RecordConnect("b", false));
  return monitor;
}

}  // namespace

// Guards against an instance that takes some crashed targets for the loss of
// its links, or that never finds out that it has lost them.
BOOST_AUTO_TEST_CASE(ProbesDecideWhetherLinksAreLost) {
  LinkMonitor monitor = MakeSuspicious();
  BOOST_CHECK(monitor.state() == State::kSuspected);
  BOOST_TEST(!monitor.RecordProbe("c", false, At(0)));
  BOOST_TEST(!monitor.RecordProbe("d", false, At(0)));
  BOOST_TEST(!monitor.IsUntried("c"));
  BOOST_TEST(monitor.RecordProbe("e", true, At(0)));
  BOOST_CHECK(monitor.state() == State::kConnected);
  BOOST_TEST(monitor.IsUntried("c"));

  monitor = MakeSuspicious();
  for (const char* it : {"c", "d"}) {
    monitor.RecordProbe(it, false, At(10));
  }
  BOOST_TEST(monitor.RecordProbe("e", false, At(20)));
  BOOST_CHECK(monitor.state() == State::kLost);
  BOOST_TEST(!monitor.RecordProbe("f", false, At(30)));
  BOOST_TEST(monitor.RecordConnect("g", true));
  BOOST_CHECK(monitor.state() == State::kConnected);
}

// Guards against probes of an earlier round that count after the links are
// back, and against a single target that can never be found to be lost.
BOOST_AUTO_TEST_CASE(LateProbesDoNotCount) {
  LinkMonitor monitor;
  BOOST_TEST(!monitor.RecordProbe("c", false, At(0)));
  monitor.set_target_count(1);
  BOOST_TEST(monitor.RecordConnect("a", false));
  BOOST_TEST(monitor.RecordProbe("a", false, At(0)));
  BOOST_CHECK(monitor.state() == State::kLost);
}

// Guards against requests on open connections that hang, and against giving up
// those that live on while new ones are refused.
BOOST_AUTO_TEST_CASE(OpenConnectionsCountWhileTargetsRespond) {
  LinkMonitor monitor = MakeSuspicious();
  BOOST_TEST(monitor.AreOpenConnectionsAlive(At(0)));
  monitor.RecordResponse(At(1000));
  for (const char* it : {"c", "d", "e"}) {
    monitor.RecordProbe(it, false, At(1100));
  }
  BOOST_TEST(monitor.AreOpenConnectionsAlive(At(1900)));
  BOOST_TEST(!monitor.AreOpenConnectionsAlive(At(2100)));
}

// Guards against requests that are forwarded to instances without links, to
// some that are no longer heard of, or all to the same one.
BOOST_AUTO_TEST_CASE(RequestsAreSpreadOverInstancesWithLinks) {
  constexpr uint16_t kOwn = 1;
  constexpr uint16_t kOther = 2;
  ForwardingPeers peers;
  peers.RecordReport(10, {true, kOwn}, At(0));
  peers.RecordReport(11, {false, kOwn}, At(0));
  peers.RecordReport(12, {true, kOther}, At(0));
  BOOST_TEST(peers.Choose(kOwn, {}, 5, At(100)).value_or(0) == 10u);
  BOOST_TEST(peers.Choose(kOwn, {10}, 5, At(100)).value_or(0) == 12u);
  BOOST_TEST(!peers.Choose(kOwn, {10, 12}, 5, At(100)).has_value());
  for (int n = 0; n < 20; ++n) {
    peers.RecordSent(10);
  }
  BOOST_TEST(peers.Choose(kOwn, {}, 5, At(100)).value_or(0) == 12u);
  for (int n = 0; n < 20; ++n) {
    peers.RecordEnded(10);
  }
  peers.RecordReport(12, {true, kOther}, At(4000));
  BOOST_TEST(peers.Choose(kOwn, {}, 5, At(4000)).value_or(0) == 12u);
  BOOST_TEST(peers.IsKnown(10, At(4000)));
  BOOST_TEST(!peers.IsKnown(10, At(70000)));
}

// Guards against requests that are refused while all others shut down although
// these still serve (RECOVER), and that go to such instances while others take
// them.
BOOST_AUTO_TEST_CASE(InstancesThatShutDownAreChosenLast) {
  constexpr uint16_t kOwn = 1;
  constexpr uint16_t kOther = 2;
  ForwardingPeers peers;
  peers.RecordReport(10, {false, kOwn, true}, At(0));
  BOOST_TEST(peers.Choose(kOwn, {}, 5, At(100)).value_or(0) == 10u);
  peers.RecordReport(11, {true, kOther}, At(0));
  for (int n = 0; n < 20; ++n) {
    peers.RecordSent(11);
  }
  BOOST_TEST(peers.Choose(kOwn, {}, 5, At(100)).value_or(0) == 11u);
  BOOST_TEST(peers.Choose(kOwn, {11}, 5, At(100)).value_or(0) == 10u);
  peers.RecordNotTaken(10);
  BOOST_TEST(!peers.Choose(kOwn, {11}, 5, At(100)).has_value());
}

// Guards against requests that go on waiting for an instance that stands still,
// or to one that has just refused one.
BOOST_AUTO_TEST_CASE(SilentInstancesAreOverdue) {
  ForwardingPeers peers;
  for (int n = 0; n < 4; ++n) {
    peers.RecordReport(10, {true, 1}, At(500 * n));   // a small fleet
    peers.RecordReport(11, {true, 1}, At(2000 * n));  // another region
  }
  BOOST_TEST(!peers.IsOverdue(10, At(1500 + 1900)));
  BOOST_TEST(peers.IsOverdue(10, At(1500 + 2100)));
  BOOST_TEST(!peers.IsOverdue(11, At(6000 + 7900)));
  BOOST_TEST(peers.IsOverdue(11, At(6000 + 8100)));
  peers.RecordNotTaken(11);
  BOOST_TEST(!peers.Choose(1, {}, 5, At(6100)).has_value());
  peers.RecordReport(11, {true, 1}, At(6200));
  BOOST_TEST(peers.Choose(1, {}, 5, At(6300)).value_or(0) == 11u);
}

}  // namespace endiveyard
