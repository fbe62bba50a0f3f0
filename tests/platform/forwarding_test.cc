#include <boost/test/unit_test.hpp>
#include <string>

#include "relay/forwarded_request.h"
#include "relay_fixture.h"

namespace endiveyard {
namespace {

// An instance that has lost its links to the targets, and the other instance,
// whose part the test plays.
struct StrandedInstance {
  StrandedInstance() : peer(io), relay(WithPeerPort(peer.port())) {
    relay.LoseLinks();
    relay.LearnOfPeer();
  }

  boost::asio::io_context io;
  TestTarget peer;
  RelayFixture relay;
};

// The head of a request of another instance.
std::string ForwardedHead(const std::string& method,
                          const std::string& path,
                          const std::string& id,
                          ForwardedRequest state = {},
                          const std::string& more_headers = "") {
  state.time_left = std::chrono::seconds(6);
  return RequestHead(method, path, id,
                     std::string(kForwardedRequestHeader) + ": " +
                         EncodeForwardedRequest(state) + "\r\n" + more_headers);
}

// `message` with what an instance tells about the replica that has responded.
std::string WithForwardedResponse(std::string message,
                                  int runs = 1,
                                  const std::string& version = "v2",
                                  const std::string& replica = "t9") {
  ForwardedResponse response;
  response.delivered_calls = response.possible_runs = runs;
  response.replica_id = replica;
  response.version = version;
  return message.insert(message.find("\r\n") + 2,
                        std::string(kForwardedResponseHeader) + ": " +
                            EncodeForwardedResponse(response) + "\r\n");
}

// Accepts the next call to a target, whose request is read. Probes, which send
// nothing, are left out.
TestConnection AcceptCall(TestTarget* target) {
  while (true) {
    TestConnection connection = target->Accept();
    try {
      connection.ReadUntil("\r\n\r\n");
      return connection;
    } catch (const std::runtime_error&) {
    }
  }
}

std::string NotTaken(const std::string& id) {
  return "HTTP/1.1 421 Misdirected Request\r\nEndiveyard-Request-Id: " + id +
         "\r\nContent-Length: 0\r\n\r\n";
}

}  // namespace

// Guards against callers that get failures from an instance without links to
// targets (RECOVER): their requests are forwarded and responses come back
// unchanged, refusals with their Retry-After too.
BOOST_FIXTURE_TEST_CASE(RequestsOfInstancesWithoutLinksAreForwarded,
                        StrandedInstance) {
  TestConnection caller = relay.Connect();
  caller.Send(RequestHead("POST", "/unsafe/%2e/x?y", "r1",
                          "Content-Length: 4\r\nX-Own: kept\r\n"
                          "Forwarded-Request: forged\r\n") +
              "body");
  TestConnection other = peer.Accept();
  const std::string request = other.ReadMessage();
  BOOST_TEST(Contains(request, "POST /unsafe/%2e/x?y HTTP/1.1\r\n"));
  BOOST_TEST(Contains(request, "X-Own: kept\r\n"));
  BOOST_TEST(Contains(request, "\r\n\r\nbody"));
  BOOST_TEST(
      Contains(request, "calls=0;runs=0;counted=0;prefilled=0;map=1\r\n"));
  BOOST_TEST(!Contains(request, "forged"));
  other.Send(
      WithForwardedResponse(SignedResponse("r1", "done", "201 Created")));
  const std::string response = caller.ReadMessage();
  BOOST_TEST(Contains(response, "HTTP/1.1 201 Created\r\n"));
  BOOST_TEST(Contains(response, "Endiveyard-Response-Signature: sig-r1\r\n"));
  BOOST_TEST(!Contains(response, std::string(kForwardedResponseHeader)));

  caller.Send(RequestHead("GET", "/safe/x", "r2"));
  other.ReadMessage();
  other.Send(WithForwardedResponse(
      "HTTP/1.1 503 Service Unavailable\r\nEndiveyard-Request-Id: r2\r\n"
      "Retry-After: 0.70\r\nContent-Length: 2\r\n\r\n{}",
      0));
  const std::string refusal = caller.ReadMessage();
  BOOST_TEST(Contains(refusal, "HTTP/1.1 503 "));
  BOOST_TEST(Contains(refusal, "Retry-After: 0.70\r\n"));
}

// Guards against a request that may have run at another instance and is
// reported as not run, or is sent again although that is not allowed.
BOOST_FIXTURE_TEST_CASE(LostForwardedRequestsMayHaveRun, StrandedInstance) {
  TestConnection caller = relay.Connect();
  caller.Send(RequestHead("POST", "/unsafe/x", "r1"));
  TestConnection other = peer.Accept();
  other.ReadUntil("\r\n\r\n");
  other.Close();
  BOOST_TEST(Contains(caller.ReadMessage(), "HTTP/1.1 502 "));

  // Where the other instance says that it has not taken the request, it may go
  // elsewhere, here to nobody.
  relay.LearnOfPeer();
  TestConnection again = relay.Connect();
  again.Send(RequestHead("POST", "/unsafe/x", "r2"));
  TestConnection refusing = peer.Accept();
  refusing.ReadUntil("\r\n\r\n");
  refusing.Send(NotTaken("r2"));
  BOOST_TEST(Contains(again.ReadMessage(), "HTTP/1.1 503 "));
}

// Guards against a forwarded stream whose events are held back, that ends as
// complete after its connection broke, or that holds the text of a failure.
BOOST_FIXTURE_TEST_CASE(ForwardedStreamsArePassedOnByEvent, StrandedInstance) {
  TestConnection caller = relay.Connect();
  caller.Send(RequestHead("GET", "/stream/x", "r1"));
  TestConnection other = peer.Accept();
  other.ReadUntil("\r\n\r\n");
  other.Send(WithForwardedResponse(StreamResponseHead("r1")) +
             EncodeChunk("id: 1\ndata: a\n\n"));
  caller.ReadUntil("data: a\n\n");
  other.Send(EncodeChunk("id: 2\ndata: b\n\nid: 3\ndata: c"));
  other.Close();
  const std::string rest = caller.ReadUntilClose();
  BOOST_TEST(Contains(rest, "data: b"));
  BOOST_TEST(!Contains(rest, "data: c"));
  BOOST_TEST(!Contains(rest, "0\r\n\r\n"));

  relay.LearnOfPeer();
  TestConnection left = relay.Connect();
  left.Send(RequestHead("GET", "/stream/x", "r2"));
  TestConnection serving = peer.Accept();
  serving.ReadUntil("\r\n\r\n");
  left.Close();
  BOOST_TEST(serving.IsClosedWithin(5000));
}

// Guards against a stream that ends as complete because the instance that
// passes it on ends between two events, by a close or a reset: it goes on
// through another instance, or is broken off.
BOOST_AUTO_TEST_CASE(StreamsOutliveTheInstanceThatPassesThemOn) {
  for (const bool resets : {false, true}) {
    for (const bool has_next : {false, true}) {
      BOOST_TEST_CONTEXT("reset " << resets << ", another " << has_next) {
        StrandedInstance stranded;
        TestTarget next_peer(stranded.io, "127.0.0.2", stranded.peer.port());
        TestConnection caller = stranded.relay.Connect();
        caller.Send(RequestHead("GET", "/stream/x", "r1"));
        TestConnection other = stranded.peer.Accept();
        other.ReadUntil("\r\n\r\n");
        other.Send(WithForwardedResponse(StreamResponseHead("r1")) +
                   EncodeChunk("id: 1\ndata: a\n\n"));
        caller.ReadUntil("data: a\n\n\r\n");
        if (has_next) {
          stranded.relay.LearnOfPeer("127.0.0.2");
        }
        resets ? other.Reset() : other.Close();
        if (!has_next) {
          BOOST_TEST(caller.ReadUntilClose() == "");
          continue;
        }
        TestConnection next = next_peer.Accept();
        BOOST_TEST(Contains(next.ReadUntil("\r\n\r\n"), "after=1"));
        next.Send(WithForwardedResponse(StreamResponseHead("r1"), 2) +
                  EncodeChunk("id: 2\ndata: b\n\n") + EncodeChunk(""));
        BOOST_TEST(caller.ReadUntil("0\r\n\r\n") ==
                   EncodeChunk("id: 2\ndata: b\n\n") + EncodeChunk(""));
      }
    }
  }
}

// Guards against a stream that another instance has begun and that its caller
// takes up here at another software version: what this instance remembers of
// its own attempt, which reached no target, must not decide (ORDER).
BOOST_FIXTURE_TEST_CASE(ForwardedStreamsAreTakenUpAtTheirVersion,
                        StrandedInstance) {
  TestConnection caller = relay.Connect();
  caller.Send(RequestHead("GET", "/stream/x", "r1"));
  TestConnection other = peer.Accept();
  other.ReadUntil("\r\n\r\n");
  relay.RunOnRelayThread([this](RoutingState&) {
    relay.relay().stream_versions()->RecordBegun(
        "svc", MakeStreamId("svc", "r1", std::nullopt), "v1", BootClock::now());
  });
  other.Send(WithForwardedResponse(StreamResponseHead("r1")) +
             EncodeChunk("id: 1\ndata: a\n\n"));
  caller.ReadUntil("data: a\n\n");
  std::optional<std::string> version;
  relay.RunOnRelayThread([this, &version](RoutingState&) {
    version = relay.relay().stream_versions()->Find(
        "svc", MakeStreamId("svc", "r1", std::nullopt), std::chrono::seconds(1),
        BootClock::now());
  });
  BOOST_TEST(version.value_or("unknown") == "v2");
}

// Guards against a stream that is continued by another instance at an event
// that the caller has, or at another software version.
BOOST_FIXTURE_TEST_CASE(BrokenStreamsContinueThroughPeers, RelayFixture) {
  LearnOfPeer();
  SetVersion("t1", "v1");
  SetVersion("t2", "v2");
  TestConnection other = ConnectAsPeer();
  ForwardedRequest state;
  state.delivered_calls = state.possible_runs = 1;
  state.counted = true;
  state.last_event_id = 4;
  state.stream_version = "v2";
  other.Send(ForwardedHead("GET", "/stream/x", "r1", state));
  TestConnection target = second().Accept();
  const std::string request = target.ReadUntil("\r\n\r\n");
  BOOST_TEST(Contains(request, "Last-Event-Id: 4\r\n"));
  BOOST_TEST(!Contains(request, "Forwarded-Request"));
  target.Send(StreamResponseHead("r1") + EncodeChunk("id: 5\ndata: e\n\n") +
              "0\r\n\r\n");
  const std::string response = other.ReadMessage();
  BOOST_TEST(Contains(response, "data: e"));
  ForwardedResponse told;
  told.delivered_calls = told.possible_runs = 2;
  told.replica_id = "t2";
  told.version = "v2";
  BOOST_TEST(Contains(response, EncodeForwardedResponse(told)));
}

// Guards against a promise that a forwarded request has not run although it may
// have run before it was forwarded.
BOOST_FIXTURE_TEST_CASE(RunsBeforeForwardingAreCounted, RelayFixture) {
  LearnOfPeer();
  TestConnection other = ConnectAsPeer();
  ForwardedRequest state;
  state.delivered_calls = state.possible_runs = 2;  // all attempts of the route
  other.Send(ForwardedHead("GET", "/safe/x", "r1", state));
  TestConnection target = first().Accept();
  target.ReadUntil("\r\n\r\n");
  target.Send(
      "HTTP/1.1 503 Full\r\nEndiveyard-Request-Id: r1\r\n"
      "Endiveyard-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  BOOST_TEST(Contains(other.ReadMessage(), "HTTP/1.1 502 "));
}

// Guards against requests that two instances without links send back and forth,
// and against a refusal that an instance without links gives for others.
BOOST_FIXTURE_TEST_CASE(ForwardedRequestsAreNotForwardedAgain,
                        StrandedInstance) {
  TestConnection other = relay.ConnectAsPeer();
  other.Send(ForwardedHead("GET", "/safe/x", "r1"));
  BOOST_TEST(Contains(other.ReadMessage(), "HTTP/1.1 421 "));
  BOOST_TEST(!peer.HasConnectionWithin(0));
}

// Guards against requests that an instance refuses to others while it still
// serves its own callers, and against those that it takes and then cuts off.
BOOST_AUTO_TEST_CASE(InstancesThatShutDownTakeWhatTheyCanEnd) {
  constexpr Duration kDrainDelay = std::chrono::seconds(60);
  // One is longer than the timeout of the route, one is shorter.
  for (const auto grace : {std::chrono::seconds(60), std::chrono::seconds(7)}) {
    BOOST_TEST_CONTEXT("grace " << grace.count() << " s") {
      RelayFixture fixture;
      fixture.UseOneTarget();
      fixture.LearnOfPeer();
      TestConnection other = fixture.ConnectAsPeer();
      fixture.RunOnRelayThread([&](RoutingState&) {
        BOOST_TEST(!fixture.relay().TakesLastForwardedRequests());
        fixture.relay().StartDraining(kDrainDelay, BootClock::now() + grace);
        BOOST_TEST(fixture.relay().TakesLastForwardedRequests());
      });
      other.Send(ForwardedHead("GET", "/safe/x", "r1"));
      if (grace < std::chrono::seconds(8)) {
        BOOST_TEST(Contains(other.ReadMessage(), "HTTP/1.1 421 "));
        continue;
      }
      TestConnection target = fixture.first().Accept();
      target.ReadMessage();
      target.Send(SignedResponse("r1", "done"));
      BOOST_TEST(Contains(other.ReadMessage(), "done"));
    }
  }
}

// Guards against callers that use the listener of the instances: without what
// an instance states, and from unknown addresses, nothing is served. Neither
// may look as if the request had run.
BOOST_FIXTURE_TEST_CASE(OnlyInstancesForwardRequests, RelayFixture) {
  TestConnection stranger = ConnectAsPeer();
  stranger.Send(ForwardedHead("GET", "/safe/x", "r1"));
  BOOST_TEST(Contains(stranger.ReadUntilClose(), "HTTP/1.1 421 "));
  LearnOfPeer();
  TestConnection caller = ConnectAsPeer();
  caller.Send(RequestHead("GET", "/safe/x", "r1"));
  const std::string refusal = caller.ReadUntilClose();
  BOOST_TEST(Contains(refusal, "HTTP/1.1 421 "));
  // On a connection that was in use before, only the id tells whose it is.
  BOOST_TEST(Contains(refusal, "Endiveyard-Request-Id: r1\r\n"));
}

// Guards against responses that no target has given: a refusal by an instance
// that has not read the request must not reach the caller (DENIED), and neither
// may a success that does not come from a target (MIXED).
BOOST_FIXTURE_TEST_CASE(OnlyResponsesOfTargetsArePassedOn, StrandedInstance) {
  for (const auto& [response, status] :
       {std::pair("HTTP/1.1 400 Bad Request\r\nContent-Length: 2\r\n\r\n{}",
                  "HTTP/1.1 503 "),
        std::pair("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
                  "HTTP/1.1 502 ")}) {
    relay.LearnOfPeer();
    TestConnection caller = relay.Connect();
    caller.Send(RequestHead("POST", "/unsafe/x", "r1"));
    TestConnection other = peer.Accept();
    other.ReadUntil("\r\n\r\n");
    other.Send(response);
    other.Close();
    BOOST_TEST(Contains(caller.ReadMessage(), status));
  }
}

// Guards against runs beyond the attempts of a route (BUDGET), since the sender
// does not count those of the receiver. The text of a failure does not continue
// the stream (MIXED).
BOOST_FIXTURE_TEST_CASE(RunsAtOtherInstancesAreCounted, StrandedInstance) {
  TestTarget next_peer(io, "127.0.0.2", peer.port());
  TestConnection caller = relay.Connect();
  caller.Send(RequestHead("GET", "/stream/x", "r1"));
  TestConnection other = peer.Accept();
  other.ReadUntil("\r\n\r\n");
  relay.LearnOfPeer("127.0.0.2");
  other.Send(WithForwardedResponse(StreamResponseHead("r1")) +
             EncodeChunk("id: 1\ndata: a\n\n"));
  caller.ReadUntil("data: a\n\n");
  other.Close();
  TestConnection next = next_peer.Accept();
  const std::string request = next.ReadUntil("\r\n\r\n");
  BOOST_TEST(
      Contains(request, "calls=1;runs=1;counted=1;prefilled=0;map=1;after=1"));
  next.Send(WithForwardedResponse(
      "HTTP/1.1 502 Bad Gateway\r\nEndiveyard-Request-Id: r1\r\n"
      "Content-Length: 7\r\n\r\nFAILURE",
      2));
  const std::string rest = caller.ReadUntilClose();
  BOOST_TEST(!Contains(rest, "FAILURE"));
  BOOST_TEST(!Contains(rest, "0\r\n\r\n"));
}

// Guards against a request that is handled by an older configuration than the
// one by which it was routed, or by another service than the one that has begun
// its stream (CONFIG, ROUTE).
BOOST_FIXTURE_TEST_CASE(ReceiversRefuseWhatTheyWouldRouteDifferently,
                        RelayFixture) {
  LearnOfPeer();
  TestConnection other = ConnectAsPeer();
  ForwardedRequest newer;
  newer.map_version = 2;
  other.Send(ForwardedHead("GET", "/safe/x", "r1", newer));
  BOOST_TEST(Contains(other.ReadMessage(), "HTTP/1.1 421 "));
  ForwardedRequest moved;
  moved.last_event_id = 1;
  moved.service = "other";
  other.Send(ForwardedHead("GET", "/stream/x", "r2", moved));
  BOOST_TEST(Contains(other.ReadMessage(), "HTTP/1.1 421 "));
}

// Guards against new work for a replica that has said, through another
// instance, that it is leaving (DRAIN).
BOOST_FIXTURE_TEST_CASE(LeavingReplicasAreLearntThroughPeers,
                        StrandedInstance) {
  TestConnection caller = relay.Connect();
  caller.Send(RequestHead("GET", "/safe/x", "r1"));
  TestConnection other = peer.Accept();
  other.ReadUntil("\r\n\r\n");
  std::string response = SignedResponse("r1", "ok");
  response.insert(response.find("\r\n") + 2, "Server-Leaving: 1\r\n");
  other.Send(WithForwardedResponse(response, 1, "v1", "t1"));
  BOOST_TEST(Contains(caller.ReadMessage(), "HTTP/1.1 200 OK\r\n"));
  bool leaving = false;
  relay.RunOnRelayThread([&](RoutingState& routing_state) {
    leaving = relay.relay().placer()->availability().IsLeaving(
        EngineKey(*routing_state.replicas.Find("t1")), BootClock::now());
  });
  BOOST_TEST(leaving);
}

// Guards against calls that an instance loses together with its links and that
// count as crashes of the targets, so that sound requests are refused.
BOOST_FIXTURE_TEST_CASE(CallsLostWithTheLinksAreNoCrashes, RelayFixture) {
  UseOneTarget();
  TestConnection caller = Connect();
  caller.Send(RequestHead("POST", "/unsafe/x", "r1",
                          "Endiveyard-Token-Count: 4000,80\r\n"
                          "Endiveyard-Prompt-Prefix: aa11:3000,bb22:1000\r\n"));
  TestConnection target = first().Accept();
  target.ReadUntil("\r\n\r\n");
  LoseLinks();
  target.Reset();
  BOOST_TEST(Contains(caller.ReadMessage(), "HTTP/1.1 502 "));
  bool has_evidence = true;
  RunOnRelayThread([&](RoutingState&) {
    has_evidence = !relay().crash_suspects()->empty();
  });
  BOOST_TEST(!has_evidence);
}

// Guards against a stream that another instance begins at another version than
// this one has told: its first run failed here before any event, and no replica
// of that version is left here.
BOOST_AUTO_TEST_CASE(StreamsAreForwardedToTheVersionThatWasTried) {
  boost::asio::io_context io;
  TestTarget peer(io);
  RelayFixture relay(WithPeerPort(peer.port()));
  relay.UseOneTarget();
  relay.SetVersion("t1", "v1");
  TestConnection caller = relay.Connect();
  caller.Send(RequestHead("GET", "/stream/x", "r1"));
  TestConnection target = relay.first().Accept();
  target.ReadUntil("\r\n\r\n");
  relay.LoseLinks();
  relay.SetVersion("t1", "v1");
  for (const char* id : {"t2", "t3", "t4"}) {
    relay.SetVersion(id, "v2");
  }
  relay.NotifyRoutingStateChanged();
  relay.LearnOfPeer();
  target.Reset();
  const std::string request = peer.Accept().ReadUntil("\r\n\r\n");
  const std::string name = std::string(kForwardedRequestHeader) + ": ";
  const size_t begin = request.find(name);
  BOOST_REQUIRE(begin != std::string::npos);
  const size_t end = request.find("\r\n", begin);
  const auto state = DecodeForwardedRequest(
      request.substr(begin + name.size(), end - begin - name.size()));
  BOOST_REQUIRE(state);
  BOOST_TEST(state->stream_version.value_or("") == "v1");
}

// Guards against receivers that do not know the sender, since it connects from
// another of its addresses than the one that its reports come from (RECOVER).
BOOST_AUTO_TEST_CASE(RequestsAreForwardedFromTheOwnAddress) {
  boost::asio::io_context io;
  TestTarget peer(io);
  RelayFixtureOptions options = WithPeerPort(peer.port());
  options.peer_ip = "127.0.0.3";
  RelayFixture relay(options);
  relay.LoseLinks();
  relay.LearnOfPeer();
  TestConnection caller = relay.Connect();
  caller.Send(RequestHead("GET", "/safe/x", "r1"));
  BOOST_TEST(peer.Accept().RemoteIp() == "127.0.0.3");
}

// Guards against a receiver that resumes a stream by itself, so that its sender
// cannot count the runs (BUDGET).
BOOST_FIXTURE_TEST_CASE(ReceiversDoNotResumeStreams, RelayFixture) {
  LearnOfPeer();
  TestConnection other = ConnectAsPeer();
  other.Send(ForwardedHead("GET", "/stream/x", "r1"));
  TestConnection target = first().Accept();
  target.ReadUntil("\r\n\r\n");
  target.Send(StreamResponseHead("r1") + EncodeChunk("id: 1\ndata: a\n\n"));
  other.ReadUntil("data: a\n\n");
  target.Close();
  BOOST_TEST(!Contains(other.ReadUntilClose(), "0\r\n\r\n"));
}

// Guards against a receiver that runs a request at several targets, so that its
// sender cannot count the runs if it ends before it answers (BUDGET).
BOOST_FIXTURE_TEST_CASE(ReceiversRunARequestAtOneTarget, RelayFixture) {
  LearnOfPeer();
  TestConnection other = ConnectAsPeer();
  other.Send(ForwardedHead("GET", "/safe/x", "r1"));
  TestConnection target = first().Accept();
  target.ReadUntil("\r\n\r\n");
  target.Send(
      "HTTP/1.1 500 Failed\r\nEndiveyard-Request-Id: r1\r\n"
      "Endiveyard-Response-Signature: sig-r1\r\nContent-Length: 4\r\n\r\n"
      "fail");
  const std::string response = other.ReadMessage();
  BOOST_TEST(Contains(response, "HTTP/1.1 500 "));
  BOOST_TEST(Contains(response, "calls=1;runs=1;"));
}

// The same for a target whose response is lost.
BOOST_FIXTURE_TEST_CASE(ReceiversRunARequestThatIsLostOnce, RelayFixture) {
  LearnOfPeer();
  TestConnection other = ConnectAsPeer();
  other.Send(ForwardedHead("GET", "/safe/x", "r1"));
  TestConnection target = first().Accept();
  target.ReadUntil("\r\n\r\n");
  target.Close();
  const std::string response = other.ReadMessage();
  BOOST_TEST(Contains(response, "HTTP/1.1 502 "));
  BOOST_TEST(Contains(response, "calls=1;runs=1;"));
}

// Guards against a receiver that does not look for another target after one has
// refused the request, or that uses the one at which it has failed.
BOOST_FIXTURE_TEST_CASE(ReceiversGoOnAfterRefusals, RelayFixture) {
  LearnOfPeer();
  for (const std::string excluded : {"", "t1"}) {
    TestConnection other = ConnectAsPeer();
    ForwardedRequest state;
    state.delivered_calls = state.possible_runs = 1;
    state.excluded_replica = excluded;
    other.Send(ForwardedHead("GET", "/safe/x", "r1", state));
    if (excluded.empty()) {
      TestConnection refusing = first().Accept();
      refusing.ReadUntil("\r\n\r\n");
      refusing.Send(
          "HTTP/1.1 503 Full\r\nEndiveyard-Request-Id: r1\r\n"
          "Endiveyard-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
    TestConnection target = second().Accept();
    target.ReadUntil("\r\n\r\n");
    target.Send(SignedResponse("r1", "ok"));
    target.Close();
    BOOST_TEST(Contains(other.ReadMessage(), "HTTP/1.1 200 OK\r\n"));
  }
}

// Guards against callers that get the failure of one target from an instance
// without links, though the route allows another attempt.
BOOST_FIXTURE_TEST_CASE(FailuresAtOtherInstancesAreRetried, StrandedInstance) {
  TestTarget next_peer(io, "127.0.0.2", peer.port());
  TestConnection caller = relay.Connect();
  caller.Send(RequestHead("GET", "/safe/x", "r1"));
  TestConnection other = peer.Accept();
  other.ReadUntil("\r\n\r\n");
  relay.LearnOfPeer("127.0.0.2");
  other.Send(WithForwardedResponse(
      "HTTP/1.1 500 Failed\r\nEndiveyard-Request-Id: r1\r\n"
      "Endiveyard-Response-Signature: sig-r1\r\nContent-Length: 4\r\n\r\n"
      "fail"));
  TestConnection next = next_peer.Accept();
  const std::string request = next.ReadUntil("\r\n\r\n");
  BOOST_TEST(Contains(request, "calls=1;runs=1;counted=1;prefilled=0;map=1"));
  BOOST_TEST(Contains(request, ";replica=7439"));  // t9
  next.Send(WithForwardedResponse(SignedResponse("r1", "ok"), 2));
  BOOST_TEST(Contains(caller.ReadMessage(), "HTTP/1.1 200 OK\r\n"));
}

// Guards against a second prefill that is taken for the first one, which the
// retry budget does not count, since another instance had made that one.
BOOST_FIXTURE_TEST_CASE(PrefillsAtOtherInstancesAreCounted, StrandedInstance) {
  TestTarget next_peer(io, "127.0.0.2", peer.port());
  TestConnection caller = relay.Connect();
  caller.Send(RequestHead("GET", "/stream/x", "r1",
                          "Endiveyard-Model: m\r\n"
                          "Endiveyard-Token-Count: 6000,20\r\n"
                          "Endiveyard-Prompt-Prefix: a1:4000,b2:2000\r\n"));
  TestConnection other = peer.Accept();
  BOOST_TEST(Contains(other.ReadUntil("\r\n\r\n"), "prefilled=0"));
  relay.LearnOfPeer("127.0.0.2");
  other.Close();
  TestConnection next = next_peer.Accept();
  BOOST_TEST(Contains(next.ReadUntil("\r\n\r\n"), "prefilled=1"));
}

// Guards against runs beyond the attempts of a route: after the last one, the
// caller gets what the target has answered.
BOOST_FIXTURE_TEST_CASE(FailuresOfTheLastAttemptArePassedOn, StrandedInstance) {
  TestTarget next_peer(io, "127.0.0.2", peer.port());
  TestConnection caller = relay.Connect();
  caller.Send(RequestHead("GET", "/safe/x", "r1"));
  TestConnection other = peer.Accept();
  other.ReadUntil("\r\n\r\n");
  relay.LearnOfPeer("127.0.0.2");
  other.Send(WithForwardedResponse(
      "HTTP/1.1 500 Failed\r\nEndiveyard-Request-Id: r1\r\n"
      "Endiveyard-Response-Signature: sig-r1\r\nContent-Length: 4\r\n\r\n"
      "last",
      2));
  BOOST_TEST(Contains(caller.ReadMessage(), "last"));
  BOOST_TEST(!next_peer.HasConnectionWithin(0));
}

// Guards against an instance that goes on forwarding after its links are back.
BOOST_FIXTURE_TEST_CASE(RegainedLinksEndForwarding, StrandedInstance) {
  relay.RestartTargets();
  bool has_links = false;
  while (!has_links) {
    relay.RunOnRelayThread([this, &has_links](RoutingState&) {
      has_links = relay.relay().HasLinks();
    });
  }
  TestConnection caller = relay.Connect();
  caller.Send(RequestHead("GET", "/safe/x", "r1"));
  AcceptCall(&relay.first()).Send(SignedResponse("r1", "ok"));
  BOOST_TEST(Contains(caller.ReadMessage(), "HTTP/1.1 200 OK\r\n"));
}

// Guards against what another instance states being misread.
BOOST_AUTO_TEST_CASE(ForwardedStateIsReadAsWritten) {
  ForwardedRequest state;
  state.time_left = std::chrono::milliseconds(1500);
  state.waited = Duration(7);
  state.delivered_calls = 2;
  state.possible_runs = 1;
  state.counted = true;
  state.last_event_id = 12;
  state.stream_version = "v;1=\n";
  state.service = "svc";
  state.excluded_replica = "i-1";
  state.map_version = 3;
  const std::string text = EncodeForwardedRequest(state);
  BOOST_CHECK(DecodeForwardedRequest(text) == state);
  // Each change of one field makes the value unreadable.
  for (const auto& [from, to] :
       {std::pair("left_us=", "left_us=-"), std::pair("left_us=", "x="),
        std::pair("runs=1", "runs=3"), std::pair("counted=1", "counted=2"),
        std::pair("calls=2", "calls="), std::pair("after=12", "after=x"),
        std::pair("version=", "version=0g"), std::pair("map=3", "map=3;map=3"),
        std::pair("map=3", "map=99999999999999999999")}) {
    std::string changed = text;
    changed.replace(changed.find(from), std::string(from).size(), to);
    BOOST_TEST(!DecodeForwardedRequest(changed).has_value(), changed);
  }
  BOOST_TEST(!DecodeForwardedRequest("").has_value());
}

// Guards against requests and responses of a later build that are not taken
// because they say more.
BOOST_AUTO_TEST_CASE(FieldsOfLaterBuildsInForwardedStateAreIgnored) {
  ForwardedRequest request;
  request.time_left = std::chrono::milliseconds(1500);
  request.stream_version = "v1";
  ForwardedResponse response;
  response.delivered_calls = 2;
  response.possible_runs = 1;
  response.replica_id = "i-1";
  response.version = "v1";
  for (const char* field : {"later=", "later=-7", "a b=text of any kind"}) {
    const std::string more = std::string(field) + ";";
    BOOST_CHECK(DecodeForwardedRequest(
                    more + EncodeForwardedRequest(request)) == request);
    BOOST_CHECK(DecodeForwardedResponse(
                    more + EncodeForwardedResponse(response)) == response);
  }
}

}  // namespace endiveyard
