#include "endiveyard/load_exchange/peer_registry_state.h"

#include <boost/test/unit_test.hpp>

namespace endiveyard {

// Guards against an instance that is cut off from the registry and from all
// others, and takes their silence for an outage that all of them see: streams
// went on at the versions of its old view (ORDER).
BOOST_AUTO_TEST_CASE(SilenceOfPeersIsNoOutageOfTheRegistry) {
  const auto at = [](int64_t millis) {
    return TimePointFromMicros(millis * 1000);
  };
  PeerRegistryState state;
  BOOST_TEST(state.IsLostByAll(1, at(0)));
  BOOST_TEST(!state.IsLostByAll(8, at(0)));
  state.RecordReport(true, at(1000));
  BOOST_TEST(state.IsLostByAll(8, at(1500)));
  state.RecordReport(false, at(1600));
  BOOST_TEST(!state.IsLostByAll(8, at(1700)));
  state.RecordReport(true, at(3700));
  BOOST_TEST(state.IsLostByAll(8, at(3800)));
  BOOST_TEST(!state.IsLostByAll(8, at(5800)));
}

}  // namespace endiveyard
