#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "relay_fixture.h"

namespace endiveyard {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Half of the time after which a caller that acknowledges nothing is dead.
constexpr Duration kShortPeerTimeout = seconds(1);

// Time for which the link to a sound target may be silent.
constexpr milliseconds kSilence(1500);

struct ShortTimeoutsFixture : RelayFixture {
  ShortTimeoutsFixture() : RelayFixture(Options()) {}

  static RelayFixtureOptions Options() {
    RelayFixtureOptions options;
    options.peer_timeout = kShortPeerTimeout;
    return options;
  }
};

void ChangeServiceMap(RelayFixture* fixture,
                      const std::function<void(ServiceMap&)>& change) {
  fixture->RunOnRelayThread([&](RoutingState& routing_state) {
    auto map = std::make_shared<ServiceMap>(*routing_state.service_map);
    change(*map);
    routing_state.service_map = map;
  });
}

enum class Peer { kAcknowledgesNothing, kDoesNotRead };

// Waits until the kernel has given up a connection to a peer of this kind by a
// TCP_USER_TIMEOUT of `limit`. Other connections in the same state have then
// been in it for longer than that.
void WaitUntilGivenUp(Peer kind, milliseconds limit) {
  namespace asio = boost::asio;
  asio::io_context io;
  TestTarget listener(io);
  asio::ip::tcp::socket socket(io);
  socket.connect({asio::ip::address_v4::loopback(), listener.port()});
  const int limit_ms = static_cast<int>(limit.count());
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms,
             sizeof limit_ms);
  TestConnection peer = listener.AcceptConnection();
  if (kind == Peer::kAcknowledgesNothing) {
    peer.DiscardIncoming();
  }
  const std::string bytes(65536, 'x');
  boost::system::error_code ec;
  while (!ec) {
    asio::write(socket, asio::buffer(bytes), ec);
  }
  BOOST_TEST_REQUIRE(ec == asio::error::timed_out);
}

// Accepts the connection of a request that `caller` sends. If the caller gets
// an answer instead, the test fails with its text.
TestConnection AcceptUnlessAnswered(TestTarget* target,
                                    TestConnection* caller) {
  pollfd sockets[] = {{target->fd(), POLLIN, 0}, {caller->fd(), POLLIN, 0}};
  poll(sockets, 2, -1);
  if (sockets[0].revents == 0) {
    BOOST_FAIL("answered without a target: " + caller->ReadMessage());
  }
  return target->Accept();
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
  // Before the request, which is sent to the other target if this one takes
  // half a second for its first byte.
  const std::string body = LargeBody();
  const std::string response = SignedResponse("r1", body);
  const size_t first_part = response.size() - body.size() + 1;
  TestConnection caller = Connect();
  caller.Send(
      "GET /safe/x HTTP/1.1\r\nHost: h\r\nEndiveyard-Request-Id: r1\r\n"
      "Connection: close\r\n\r\n");
  TestConnection target = first().Accept();
  target.ReadMessage();
  target.Send(response.substr(0, first_part));
  const auto sent = std::async(
      std::launch::async, [&] { target.TrySend(response.substr(first_part)); });
  // The first one covers the time until the buffers are full.
  for (int n = 0; n < 2; ++n) {
    WaitUntilGivenUp(
        Peer::kDoesNotRead,
        std::chrono::duration_cast<milliseconds>(kShortPeerTimeout));
  }
  BOOST_TEST_REQUIRE(!second().HasConnectionWithin(0));
  const std::string received = caller.ReadUntilClose();
  BOOST_TEST(received.size() > body.size());
  BOOST_TEST(Contains(received.substr(received.size() - 9), "x\r\n0\r\n\r\n"));
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
  const std::string body = LargeBody();
  TestConnection caller = Connect();
  caller.Send(RequestHead("GET", "/safe/x", "r1"));
  TestConnection target = first().Accept();
  target.ReadMessage();
  // Returns when the relay closes the connection at the route's timeout.
  target.SendUntilClosed(SignedResponse("r1", body), body.size());
  // Until the test program's own time limit.
  size_t open = 1;
  while (open > 0) {
    std::this_thread::yield();
    RunOnRelayThread([&](RoutingState&) { open = relay().open_connections(); });
  }
}

// Guards against sound requests that are refused as crashing targets because
// links were cut: a target that no longer acknowledges has not closed anything.
BOOST_FIXTURE_TEST_CASE(CallsLostInSilenceAreNoEvidenceOfCrashes,
                        ShortTimeoutsFixture) {
  UseOneTarget();
  ChangeServiceMap(this, [](ServiceMap& map) {
    map.limits.max_body_bytes = 2 * LargeBody().size();
  });
  constexpr int kLostCalls = 3;
  // The larger body is still being written when the target falls silent.
  for (const std::string& body : {std::string(), LargeBody()}) {
    const auto request = [&](const std::string& id) {
      return RequestHead(
                 "POST", "/unsafe/x", id,
                 "Content-Length: " + std::to_string(body.size()) + "\r\n") +
             body;
    };
    for (int n = 0; n < kLostCalls; ++n) {
      TestConnection caller = Connect();
      TestConnection target = [&] {
        const auto sent = std::async(std::launch::async,
                                     [&] { caller.Send(request("lost")); });
        TestConnection accepted = AcceptUnlessAnswered(&first(), &caller);
        accepted.ReadUntil("\r\n\r\n");
        accepted.DiscardIncoming();
        return accepted;
      }();
      const std::string answer = caller.ReadMessage();
      BOOST_TEST(Contains(answer, "HTTP/1.1 502 "), answer);
      RunOnRelayThread([this](RoutingState&) {
        BOOST_TEST(relay().crash_suspects()->empty());
      });
      RestartTargets();
      UseOneTarget();
    }
    TestConnection caller = Connect();
    caller.Send(request("last"));
    TestConnection target = AcceptUnlessAnswered(&first(), &caller);
    target.ReadMessage();
    target.Send(SignedResponse("last", "done"));
    BOOST_TEST(Contains(caller.ReadMessage(), "HTTP/1.1 200 OK\r\n"));
  }
}

// Guards against calls of sound targets that are cut off because a link was
// silent for a second or two while they had nothing to send.
BOOST_FIXTURE_TEST_CASE(WaitingCallsSurviveASilenceOfTheLink, RelayFixture) {
  TestConnection caller = Connect();
  caller.Send(RequestHead("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n"));
  TestConnection target = first().Accept();
  target.ReadMessage();
  target.DiscardIncoming();
  WaitUntilGivenUp(Peer::kAcknowledgesNothing, kSilence);
  target.ReceiveAgain();
  WaitUntilGivenUp(Peer::kAcknowledgesNothing, seconds(1));
  target.Send(SignedResponse("r1", "done"));
  BOOST_TEST(Contains(caller.ReadMessage(), "HTTP/1.1 200 OK\r\n"));
}

// The same for a request that is written into the silence.
BOOST_FIXTURE_TEST_CASE(RequestsSentIntoASilenceOfTheLinkArrive, RelayFixture) {
  TestConnection caller = Connect();
  caller.Send(RequestHead("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n"));
  TestConnection target = first().Accept();
  target.ReadMessage();
  target.Send(SignedResponse("r1", "done"));
  caller.ReadMessage();
  target.DiscardIncoming();
  caller.Send(RequestHead("POST", "/unsafe/y", "r2", "Content-Length: 0\r\n"));
  WaitUntilGivenUp(Peer::kAcknowledgesNothing, kSilence);
  target.ReceiveAgain();
  BOOST_TEST(Contains(target.ReadMessage(), "POST /unsafe/y "));
  target.Send(SignedResponse("r2", "done"));
  BOOST_TEST(Contains(caller.ReadMessage(), "HTTP/1.1 200 OK\r\n"));
}

// Guards against requests of sound targets that are lost, sent on or counted as
// crashes because the target pauses for a second or two at any place of its
// response.
BOOST_FIXTURE_TEST_CASE(TargetsMayPauseAnywhereInAResponse, RelayFixture) {
  ChangeServiceMap(this, [](ServiceMap& map) {
    for (Route& it : map.routes) {
      it.target_gap = seconds(1);  // callers give up after 8 s
    }
  });
  const std::string plain = SignedResponse("r1", "done");
  const std::string head = StreamResponseHead("r1");
  const std::string first_event = EncodeChunk("id: 1\ndata: a\n\n");
  const std::string rest = EncodeChunk("id: 2\ndata: b\n\n") + EncodeChunk("");
  const struct {
    const char* path;
    // The target pauses before each of them.
    std::vector<std::string> parts;
  } cases[] = {
      {"/unsafe/x",
       {plain.substr(0, 20), plain.substr(20, plain.size() - 22), "ne"}},
      {"/once/x", {head, first_event, rest}},
      {"/stream/x",
       {rest.substr(0, 8), rest.substr(8, rest.size() - 10), "\r\n"}},
  };
  std::vector<TestConnection> callers;
  std::vector<TestConnection> targets;
  for (const auto& it : cases) {
    callers.push_back(Connect());
    callers.back().Send(
        RequestHead("POST", it.path, "r1", "Content-Length: 0\r\n"));
    targets.push_back(first().Accept());
    targets.back().ReadMessage();
  }
  targets.back().Send(head + first_event);
  callers.back().ReadUntil("data: a\n\n");
  for (size_t part = 0; part < 3; ++part) {
    WaitUntilGivenUp(Peer::kAcknowledgesNothing, kSilence);
    for (size_t n = 0; n < targets.size(); ++n) {
      targets[n].Send(cases[n].parts[part]);
    }
  }
  BOOST_TEST(Contains(callers[0].ReadMessage(), "\r\n\r\ndone"));
  BOOST_TEST(Contains(callers[1].ReadMessage(), "id: 2\ndata: b\n\n"));
  BOOST_TEST(Contains(callers[2].ReadMessage(), "id: 2\ndata: b\n\n"));
  BOOST_TEST(!second().HasConnectionWithin(0));
  RunOnRelayThread(
      [this](RoutingState&) { BOOST_TEST(relay().crash_suspects()->empty()); });
}

// A request that may be repeated does not wait for the silent target, which is
// no evidence that the target crashes either.
BOOST_FIXTURE_TEST_CASE(SafeRequestsDoNotWaitForSilentTargets, RelayFixture) {
  TestConnection caller = Connect();
  caller.Send(RequestHead("GET", "/safe/x", "r1"));
  TestConnection target = first().Accept();
  target.ReadMessage();
  TestConnection other = second().Accept();
  other.ReadMessage();
  other.Send(SignedResponse("r1", "done"));
  BOOST_TEST(Contains(caller.ReadMessage(), "HTTP/1.1 200 OK\r\n"));
  RunOnRelayThread(
      [this](RoutingState&) { BOOST_TEST(relay().crash_suspects()->empty()); });
}

}  // namespace endiveyard
