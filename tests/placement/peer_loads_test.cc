#include "endiveyard/placement/peer_loads.h"

#include <boost/test/unit_test.hpp>

namespace endiveyard {
namespace {

TimePoint At(int64_t millis) {
  return TimePointFromMicros(millis * 1000);
}

}  // namespace

// Guards against a late datagram that replaces a newer report.
BOOST_AUTO_TEST_CASE(OlderReportsAreIgnored) {
  PeerLoads loads;
  BOOST_TEST(loads.Update(1, 5, {{9, 2, 100}}, At(10000)));
  BOOST_TEST(!loads.Update(1, 4, {{9, 7, 900}}, At(10000)));
  BOOST_TEST(loads.Calls(9, At(10000)) == 2);
}

// Guards against ignoring the reports of a restarted peer, whose sequence
// begins at one again.
BOOST_AUTO_TEST_CASE(ReportsOfRestartedPeerAreAccepted) {
  PeerLoads loads;
  loads.Update(1, 500, {{9, 2, 100}}, At(10000));
  loads.Update(1, 1, {{9, 3, 100}}, At(12000));
  BOOST_TEST(loads.Calls(9, At(12000)) == 3);
}

// Guards against counting the work of a failed peer indefinitely.
BOOST_AUTO_TEST_CASE(ReportsOfSilentPeerExpire) {
  PeerLoads loads;
  loads.Update(1, 1, {{9, 4, 1000}}, At(10000));
  loads.Update(2, 1, {{9, 1, 500}}, At(10000));
  BOOST_TEST(loads.PendingPrefillTokens(9, At(10000)) == 1500);
  BOOST_TEST(loads.PendingPrefillTokens(9, At(10300)) < 1500);
  BOOST_TEST(loads.PendingPrefillTokens(9, At(10300)) > 0);
  BOOST_TEST(loads.PendingPrefillTokens(9, At(11600)) == 0);
  BOOST_TEST(loads.LivePeers(At(10300)) == 2u);
  BOOST_TEST(loads.LivePeers(At(11600)) == 0u);
}

// Guards against instances that all choose the engine that was idle a second
// ago: in the run further-grown quiet-1, with the full weight of reports of
// that age, the busiest engine got 2.4 times the mean, and worth fell from 0.44
// to 0.27.
BOOST_AUTO_TEST_CASE(OldReportsSayLittleAboutThePresent) {
  PeerLoads loads;
  loads.Update(1, 1, {{9, 4, 1000}}, At(10000), std::chrono::seconds(1));
  BOOST_TEST(loads.PendingPrefillTokens(9, At(11000)) < 100);
  // The peer is not taken for gone before it is due to report.
  BOOST_TEST(loads.LivePeers(At(12000)) == 1u);
}

// Guards against the work of another region that is counted twice, since any of
// its instances may report it, or for ever.
BOOST_AUTO_TEST_CASE(RegionsReplaceTheirReport) {
  PeerLoads loads;
  const Duration interval = std::chrono::milliseconds(400);
  loads.UpdateRegion(1, {{9, 4, 1000}}, At(10000), interval);
  loads.UpdateRegion(1, {{9, 3, 500}}, At(10000), interval);
  loads.UpdateRegion(2, {{9, 1, 100}}, At(10000), interval);
  BOOST_TEST(loads.Calls(9, At(10000)) == 4);
  BOOST_TEST(loads.PendingPrefillTokens(9, At(10000)) == 600);
  BOOST_TEST(loads.WorkOfPeers(At(10000)).empty());
  BOOST_TEST(loads.Calls(9, At(20000)) == 0);
}

// Guards against a load of the whole fleet that is too low because reports of
// other regions come seldom.
BOOST_AUTO_TEST_CASE(ReportedWorkHasNoWeights) {
  PeerLoads loads;
  loads.Update(1, 1, {{9, 4, 100}}, At(0));
  loads.UpdateRegion(2, {{9, 10, 50}}, At(0), std::chrono::seconds(1));
  const auto work = loads.ReportedWork(At(1000));
  BOOST_REQUIRE_EQUAL(work.size(), 1u);
  BOOST_TEST((work[0] == ReplicaWork{9, 14, 150}));
  BOOST_TEST(loads.ReportedWork(At(10000)).empty());
}

}  // namespace endiveyard
