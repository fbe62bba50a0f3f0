#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "relay/forwarded_request.h"
#include "relay_fixture.h"

namespace endiveyard {
namespace {

constexpr const char* kKey = "Api-Key: key-1\r\n";

// Counts the requests of a customer that a relay reports as begun.
struct UsageCount {
  explicit UsageCount(RelayFixture* relay) : relay(*relay) {
    relay->RunOnRelayThread([this](RoutingState& state) {
      ServiceMap map = *state.service_map;
      map.customers =
          CustomerTableBuilder().Add({"hule930", 1}, {"key-1"}).Build();
      for (Route& it : map.routes) {
        it.allow_anonymous = true;
      }
      state.service_map = std::make_shared<const ServiceMap>(std::move(map));
      state.on_run_started = [this](const std::string& customer) {
        BOOST_TEST(customer == "hule930");
        ++runs;
      };
    });
  }

  int Runs() {
    int n = 0;
    relay.RunOnRelayThread([this, &n](RoutingState&) { n = runs; });
    return n;
  }

  RelayFixture& relay;
  int runs = 0;  // on the thread of the relay
};

struct UsageFixture : RelayFixture {
  UsageFixture() : usage(this) {}

  // Returns the response to a request that a target answers with `answer`.
  std::string Call(const std::string& headers, const std::string& answer) {
    TestConnection caller = Connect();
    caller.Send(RequestHead("GET", "/safe/a", "r1", headers));
    TestConnection target = first().Accept();
    target.ReadMessage();
    target.Send(answer);
    return caller.ReadMessage();
  }

  UsageCount usage;
};

std::string ForwardedAnswer(std::string message, const std::string& replica) {
  ForwardedResponse response;
  response.delivered_calls = response.possible_runs = replica.empty() ? 0 : 1;
  response.replica_id = replica;
  return message.insert(message.find("\r\n") + 2,
                        std::string(kForwardedResponseHeader) + ": " +
                            EncodeForwardedResponse(response) + "\r\n");
}

}  // namespace

// Guards against requests that are left out of the usage of a customer, and
// against requests of nobody that are counted.
BOOST_FIXTURE_TEST_CASE(ResponsesOfReplicasCountOnce, UsageFixture) {
  Call(kKey, SignedResponse("r1", "done"));
  BOOST_TEST(usage.Runs() == 1);
  constexpr size_t kMoreThanIsCollected = 400000;
  Call(kKey, SignedResponse("r1", std::string(kMoreThanIsCollected, 'x')));
  BOOST_TEST(usage.Runs() == 2);
  Call(kKey, SignedResponse("r1", "none", "404 Not Found"));
  BOOST_TEST(usage.Runs() == 3);
  Call("", SignedResponse("r1", "done"));
  Call("Api-Key: key-2\r\n", SignedResponse("r1", "done"));
  BOOST_TEST(usage.Runs() == 3);
}

// Guards against requests that count although their caller got nothing of a
// replica, and against those that count for each replica.
BOOST_FIXTURE_TEST_CASE(FailedCallsDoNotCount, UsageFixture) {
  TestConnection caller = Connect();
  caller.Send(RequestHead("POST", "/unsafe/a", "r1",
                          std::string(kKey) + "Content-Length: 0\r\n"));
  TestConnection target = first().Accept();
  target.ReadMessage();
  target.Send(SignedResponse("r1", "failed", "500 Internal Server Error"));
  caller.ReadMessage();
  BOOST_TEST(usage.Runs() == 0);

  caller.Send(RequestHead("GET", "/safe/a", "r2", kKey));
  TestConnection lost = second().Accept();
  lost.ReadMessage();
  lost.Reset();
  target.ReadMessage();
  target.Send(SignedResponse("r2", "done"));
  BOOST_TEST(Contains(caller.ReadMessage(), "HTTP/1.1 200 OK\r\n"));
  BOOST_TEST(usage.Runs() == 1);
}

// Guards against streams that count before they run, or again at the replica
// that continues them.
BOOST_FIXTURE_TEST_CASE(StreamsCountAtTheirFirstEvent, UsageFixture) {
  TestConnection caller = Connect();
  caller.Send(RequestHead("GET", "/stream/x", "r1", kKey));
  TestConnection target = first().Accept();
  target.ReadMessage();
  target.Send(StreamResponseHead("r1") + EncodeChunk("id: 1\nda"));
  BOOST_TEST(usage.Runs() == 0);
  target.Send(EncodeChunk("ta: a\n\n"));
  caller.ReadUntil("data: a\n\n");
  BOOST_TEST(usage.Runs() == 1);
  target.Reset();
  TestConnection other = second().Accept();
  other.ReadMessage();
  other.Send(StreamResponseHead("r1") + EncodeChunk("id: 2\ndata: b\n\n") +
             "0\r\n\r\n");
  caller.ReadUntil("0\r\n\r\n");
  BOOST_TEST(usage.Runs() == 1);
}

// Guards against streams that count again where a caller takes them up.
BOOST_FIXTURE_TEST_CASE(StreamsThatAreTakenUpDoNotCountAgain, UsageFixture) {
  UseOneTarget();
  TestConnection caller = Connect();
  caller.Send(RequestHead("GET", "/stream/x", "r1", kKey));
  TestConnection target = first().Accept();
  target.ReadMessage();
  target.Send(StreamResponseHead("r1") + EncodeChunk("id: 1\ndata: a\n\n"));
  caller.ReadUntil("data: a\n\n");
  caller.Close();
  TestConnection again = Connect();
  again.Send(
      RequestHead("GET", "/stream/x", "r2",
                  std::string(kKey) + "Last-Event-Id: 1\r\nResumes: r1\r\n"));
  TestConnection rest = first().Accept();
  rest.ReadMessage();
  rest.Send(StreamResponseHead("r2") + EncodeChunk("id: 2\ndata: b\n\n") +
            "0\r\n\r\n");
  again.ReadUntil("0\r\n\r\n");
  BOOST_TEST(usage.Runs() == 1);
}

// Guards against forwarded requests that no instance counts, that both count,
// or that count although the other instance has refused them.
BOOST_AUTO_TEST_CASE(ForwardedRequestsCountWhereTheCallerIs) {
  boost::asio::io_context io;
  TestTarget peer(io);
  RelayFixture relay(WithPeerPort(peer.port()));
  relay.LoseLinks();
  relay.LearnOfPeer();
  UsageCount usage(&relay);
  TestConnection caller = relay.Connect();
  caller.Send(RequestHead("GET", "/safe/a", "r1", kKey));
  TestConnection other = peer.Accept();
  other.ReadMessage();
  other.Send(ForwardedAnswer(SignedResponse("r1", "done"), "t9"));
  caller.ReadMessage();
  BOOST_TEST(usage.Runs() == 1);
  caller.Send(RequestHead("GET", "/stream/x", "r2", kKey));
  other.ReadMessage();
  other.Send(ForwardedAnswer(StreamResponseHead("r2"), "t9") +
             EncodeChunk("id: 1\ndata: a\n\n") + "0\r\n\r\n");
  caller.ReadUntil("0\r\n\r\n");
  BOOST_TEST(usage.Runs() == 2);
  caller.Send(RequestHead("GET", "/safe/a", "r3", kKey));
  other.ReadMessage();
  other.Send(ForwardedAnswer(
      "HTTP/1.1 401 Unauthorized\r\nEndiveyard-Request-Id: r3\r\n"
      "Content-Length: 0\r\n\r\n",
      ""));
  BOOST_TEST(Contains(caller.ReadMessage(), "HTTP/1.1 401 "));
  BOOST_TEST(usage.Runs() == 2);
}

// Guards against a receiver that counts what others have forwarded to it.
BOOST_AUTO_TEST_CASE(ReceiversDoNotCountForwardedRequests) {
  boost::asio::io_context io;
  TestTarget unused(io);
  RelayFixture relay(WithPeerPort(unused.port()));
  unused.StopListening();
  UsageCount usage(&relay);
  relay.LearnOfPeer();
  TestConnection other = relay.ConnectAsPeer();
  ForwardedRequest forwarded;
  forwarded.time_left = std::chrono::seconds(6);
  other.Send(RequestHead("GET", "/safe/a", "r1",
                         std::string(kForwardedRequestHeader) + ": " +
                             EncodeForwardedRequest(forwarded) + "\r\n" +
                             kKey));
  TestConnection target = relay.first().Accept();
  target.ReadMessage();
  target.Send(SignedResponse("r1", "done"));
  BOOST_TEST(Contains(other.ReadMessage(), "HTTP/1.1 200 OK\r\n"));
  BOOST_TEST(usage.Runs() == 0);
}

}  // namespace endiveyard
