#include <boost/test/unit_test.hpp>
#include <chrono>
#include <future>
#include <string>
#include <thread>

#include "relay_fixture.h"

namespace endiveyard {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Half of the time after which a caller that acknowledges nothing is dead.
constexpr Duration kShortPeerTimeout = seconds(1);

struct ShortTimeoutsFixture : RelayFixture {
  ShortTimeoutsFixture() : RelayFixture(Duration(0), kShortPeerTimeout) {}
};

void ChangeServiceMap(RelayFixture* fixture,
                      const std::function<void(ServiceMap&)>& change) {
  fixture->RunOnRelayThread([&](RoutingState& routing_state) {
    auto map = std::make_shared<ServiceMap>(*routing_state.service_map);
    change(*map);
    routing_state.service_map = map;
  });
}

// More than the buffers of both sockets hold.
std::string LargeBody() {
  constexpr size_t kBytes = 32 << 20;
  return std::string(kBytes, 'x');
}

}  // namespace

// Guards against callers that are cut off because they pause: TCP_USER_TIMEOUT
// ends a connection whose receive window stays closed, also if the peer's
// kernel acknowledges each probe.
BOOST_FIXTURE_TEST_CASE(CallersThatPauseGetTheWholeResponse,
                        ShortTimeoutsFixture) {
  ChangeServiceMap(this, [](ServiceMap& map) {
    for (Route& it : map.routes) {
      it.timeout = seconds(60);
    }
  });
  TestConnection caller = Connect();
  caller.Send(
      "GET /safe/x HTTP/1.1\r\nHost: h\r\nEndiveyard-Request-Id: r1\r\n"
      "Connection: close\r\n\r\n");
  TestConnection target = first().Accept();
  target.ReadMessage();
  const std::string body = LargeBody();
  const auto sent = std::async(std::launch::async, [&] {
    target.SendUntilClosed(SignedResponse("r1", body), body.size());
  });
  std::this_thread::sleep_for(2 * kShortPeerTimeout + seconds(1));
  const std::string response = caller.ReadUntilClose();
  BOOST_TEST(response.size() > body.size());
  BOOST_TEST(Contains(response.substr(response.size() - 9), "x\r\n0\r\n\r\n"));
}

// Guards against callers that never read again and hold their connection and
// what is queued for them.
BOOST_FIXTURE_TEST_CASE(CallersThatStopReadingAreClosedAfterTheIdleTimeout,
                        ShortTimeoutsFixture) {
  ChangeServiceMap(this, [](ServiceMap& map) {
    map.limits.idle_timeout = seconds(1);
    for (Route& it : map.routes) {
      it.timeout = seconds(1);
    }
  });
  TestConnection caller = Connect();
  caller.Send(RequestHead("GET", "/safe/x", "r1"));
  TestConnection target = first().Accept();
  target.ReadMessage();
  const std::string body = LargeBody();
  // Returns when the relay closes the connection at the route's timeout.
  target.SendUntilClosed(SignedResponse("r1", body), body.size());
  constexpr int kChecks = 100;
  size_t open = 1;
  for (int n = 0; n < kChecks && open > 0; ++n) {
    std::this_thread::sleep_for(milliseconds(100));
    RunOnRelayThread([&](RoutingState&) { open = relay().open_connections(); });
  }
  BOOST_TEST(open == 0U);
}

}  // namespace endiveyard
