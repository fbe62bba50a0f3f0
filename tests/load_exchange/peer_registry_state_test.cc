#include "endiveyard/load_exchange/peer_registry_state.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <vector>

#include "endiveyard/load_exchange/peer_directory.h"

namespace endiveyard {
namespace {

TimePoint At(int64_t millis) {
  return TimePointFromMicros(millis * 1000);
}

}  // namespace

// Guards against an instance that is cut off from the registry and from all
// others, and takes their silence for an outage that all of them see: streams
// went on at the versions of its old view (ORDER).
BOOST_AUTO_TEST_CASE(SilenceOfPeersIsNoOutageOfTheRegistry) {
  PeerRegistryState state;
  const std::vector<uint32_t> alone;
  const std::vector<uint32_t> others = {2, 3};
  const auto report_lost = [&state](int64_t ms) {
    state.RecordReport(2, true, At(ms));
    state.RecordReport(3, true, At(ms));
  };
  BOOST_TEST(state.IsLostByAll(alone, At(0)));
  BOOST_TEST(!state.IsLostByAll(std::nullopt, At(0)));
  BOOST_TEST(!state.IsLostByAll(others, At(0)));
  report_lost(1000);
  BOOST_TEST(state.IsLostByAll(others, At(1500)));
  BOOST_TEST(!state.IsLostByAll(std::nullopt, At(1500)));
  state.RecordReport(3, false, At(1600));
  BOOST_TEST(!state.IsLostByAll(others, At(1700)));
  report_lost(1800);
  BOOST_TEST(!state.IsLostByAll(others, At(1900)));
  BOOST_TEST(!state.IsLostByAll(alone, At(1900)));
  report_lost(3700);
  BOOST_TEST(state.IsLostByAll(others, At(3800)));
  BOOST_TEST(!state.IsLostByAll(others, At(5800)));
  state.RecordReport(2, true, At(5800));
  BOOST_TEST(!state.IsLostByAll(others, At(5900)));
}

// Guards against a part of the fleet that has lost the registry and trusts its
// old views, while the rest, which it does not hear, reads it (ORDER).
BOOST_AUTO_TEST_CASE(APartOfTheFleetDoesNotDecideForAll) {
  PeerDirectory directory(1, 7, {});
  PeerRegistryState state;
  const auto hear = [&directory, &state](uint32_t peer, bool lost, int64_t ms) {
    directory.RecordReport({peer, 7, Duration(0)}, 1, {}, At(ms));
    state.RecordReport(peer, lost, At(ms));
  };
  const auto is_lost = [&directory, &state](int64_t ms) {
    return state.IsLostByAll(directory.OtherSharers(At(ms)), At(ms));
  };
  hear(2, true, 0);
  BOOST_TEST(!is_lost(0));  // before the registry has named this instance
  directory.RecordRegistered({1, 2, 3}, At(0));
  BOOST_TEST(!is_lost(0));
  hear(3, true, 100);
  BOOST_TEST(is_lost(200));
  // 3 regains the registry, and is not heard after that.
  hear(3, false, 300);
  for (int64_t ms = 400; ms < 200000; ms += 500) {
    hear(2, true, ms);
    BOOST_TEST(!is_lost(ms + 100));
  }
  // The registry names 4, which is never heard.
  directory.RecordRegistered({1, 2, 3, 4}, At(200000));
  hear(2, true, 200000);
  hear(3, true, 200000);
  BOOST_TEST(!is_lost(200000));
  hear(4, true, 200000);
  BOOST_TEST(is_lost(200000));
}

}  // namespace endiveyard
