#include "soak/http_peer.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <vector>

namespace endiveyard::soak {

// Guards against a soak that never ends: a port that was drawn and is taken was
// bound again for ever.
BOOST_AUTO_TEST_CASE(TakenPortsAreNotDrawnAgain) {
  // Every other port of those that the kernel gives out, which may be only the
  // odd or only the even ones.
  constexpr uint32_t kAllPorts = 65536;
  std::vector<uint16_t> taken;
  for (uint32_t n = 0; n < kAllPorts; n += 4) {
    taken.push_back(static_cast<uint16_t>(n));
    taken.push_back(static_cast<uint16_t>(n + 1));
  }
  constexpr int kDraws = 40;
  for (int n = 0; n < kDraws; ++n) {
    const uint16_t port = FindFreePort("127.0.0.1", taken);
    BOOST_TEST(std::count(taken.begin(), taken.end(), port) == 0);
  }
}

}  // namespace endiveyard::soak
