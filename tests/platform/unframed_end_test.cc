#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "relay_fixture.h"

// Responses with neither a length nor chunks, which end with their connection.
namespace endiveyard {
namespace {

const std::string kNoBody = "Content-Length: 0\r\n";
constexpr const char* kEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

std::string UnframedHead(const std::string& id,
                         const std::string& status = "200 OK") {
  return "HTTP/1.1 " + status + "\r\nEndiveyard-Request-Id: " + id +
         "\r\nEndiveyard-Response-Signature: s\r\n\r\n";
}

// Returns the next connection that carries a request, and the request. While
// links are in doubt, connections without one come as well.
TestConnection AcceptRequest(TestTarget* target, std::string* request) {
  while (true) {
    TestConnection connection = target->Accept();
    try {
      *request = connection.ReadMessage();
      return connection;
    } catch (const std::runtime_error&) {
      continue;
    }
  }
}

}  // namespace

// Guards against logs that do not tell a stream which was cut off from a whole
// one: how it was framed, and which events were passed on.
BOOST_FIXTURE_TEST_CASE(LogsTellHowStreamsEnded, RelayFixture) {
  TestConnection caller = Connect();
  caller.Send(RequestHead("POST", "/once/x", "r1", kNoBody));
  TestConnection target = first().Accept();
  target.ReadMessage();
  target.Send(StreamResponseHead("r1") + EncodeChunk(kEvents) +
              EncodeChunk(""));
  caller.ReadUntil("0\r\n\r\n");
  BOOST_TEST(Contains(LogText(),
                      R"("framing":"chunks","first_event":1,"last_event":2,)"));
}

// Guards against a stream that a killed target cut between two events, and that
// reaches the caller as a whole one.
BOOST_FIXTURE_TEST_CASE(StreamsCutByTheEndOfTheirTargetAreBrokenOff,
                        RelayFixture) {
  NotifyRoutingStateChanged();
  TestConnection caller = Connect();
  caller.Send(RequestHead("POST", "/once/x", "r1", kNoBody));
  TestConnection target = first().Accept();
  target.ReadMessage();
  target.Send(UnframedHead("r1") + kEvents);
  caller.ReadUntil("data: b\n\n");
  first().StopListening();
  target.Close();
  BOOST_TEST(!Contains(caller.ReadUntilClose(), "0\r\n\r\n"));
}

// The same for a stream that may be resumed.
BOOST_FIXTURE_TEST_CASE(StreamsCutByTheEndOfTheirTargetAreResumed,
                        RelayFixture) {
  NotifyRoutingStateChanged();
  TestConnection caller = Connect();
  caller.Send(RequestHead("POST", "/stream/x", "r1", kNoBody));
  TestConnection target = first().Accept();
  target.ReadMessage();
  target.Send(UnframedHead("r1") + kEvents);
  caller.ReadUntil("data: b\n\n");
  first().StopListening();
  target.Close();
  std::string request;
  TestConnection other = AcceptRequest(&second(), &request);
  BOOST_TEST(Contains(request, "Last-Event-Id: 2\r\n"));
  other.Send(StreamResponseHead("r1") + EncodeChunk("id: 3\ndata: c\n\n") +
             EncodeChunk(""));
  BOOST_TEST(Contains(caller.ReadUntil("0\r\n\r\n"), "data: c\n\n"));
}

// Guards against half of a body that reaches the caller as a success.
BOOST_FIXTURE_TEST_CASE(BodiesCutByTheEndOfTheirTargetAreNoSuccess,
                        RelayFixture) {
  for (const char* status : {"200 OK", "500 Internal Server Error"}) {
    RestartTargets();
    UseOneTarget();
    TestConnection caller = Connect();
    caller.Send(RequestHead("POST", "/unsafe/x", "r1", kNoBody));
    TestConnection target = first().Accept();
    target.ReadMessage();
    target.Send(UnframedHead("r1", status) + "half of");
    target.Close();
    // Another process has the address.
    TestConnection probe = first().Accept();
    BOOST_TEST(IsProbe(probe.ReadMessage()));
    probe.Send("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
    const std::string response = caller.ReadMessage();
    BOOST_TEST(Contains(response, "HTTP/1.1 502 "));
    BOOST_TEST(!Contains(response, "half of"));
  }
}

// The same for a request that may be repeated.
BOOST_FIXTURE_TEST_CASE(BodiesCutByTheEndOfTheirTargetAreAskedForAgain,
                        RelayFixture) {
  NotifyRoutingStateChanged();
  TestConnection caller = Connect();
  caller.Send(RequestHead("GET", "/safe/x", "r1"));
  TestConnection target = first().Accept();
  target.ReadMessage();
  target.Send(UnframedHead("r1") + "half of");
  first().StopListening();
  target.Close();
  std::string request;
  TestConnection other = AcceptRequest(&second(), &request);
  other.Send(SignedResponse("r1", "whole"));
  BOOST_TEST(Contains(caller.ReadMessage(), "\r\n\r\nwhole"));
}

// The same where the address refuses connections.
BOOST_FIXTURE_TEST_CASE(BodiesOfTargetsThatRefuseConnectionsAreNoSuccess,
                        RelayFixture) {
  NotifyRoutingStateChanged();
  TestConnection caller = Connect();
  caller.Send(RequestHead("POST", "/unsafe/x", "r1", kNoBody));
  TestConnection target = first().Accept();
  target.ReadMessage();
  target.Send(UnframedHead("r1") + "half of");
  first().StopListening();
  target.Close();
  BOOST_TEST(Contains(caller.ReadMessage(), "HTTP/1.1 502 "));
}

// Guards against whole responses that are taken for cut ones: a target that
// answers a later request has sent everything.
BOOST_FIXTURE_TEST_CASE(WholeResponsesOfTargetsThatRunArrive, RelayFixture) {
  UseOneTarget();
  for (const char* path : {"/once/x", "/stream/x"}) {
    TestConnection caller = Connect();
    caller.Send(RequestHead("POST", path, "r1", kNoBody));
    TestConnection target = first().Accept();
    target.ReadMessage();
    target.Send(UnframedHead("r1") + kEvents);
    target.Close();
    AnswerProbe(&first());
    BOOST_TEST(Contains(caller.ReadUntil("\r\n0\r\n\r\n"), "data: b\n\n"));
  }
  for (const char* status : {"200 OK", "500 Internal Server Error"}) {
    TestConnection caller = Connect();
    caller.Send(RequestHead("POST", "/unsafe/x", "r1", kNoBody));
    TestConnection target = first().Accept();
    target.ReadMessage();
    target.Send(UnframedHead("r1", status) + "whole");
    target.Close();
    AnswerProbe(&first());
    BOOST_TEST(Contains(caller.ReadMessage(), "\r\n\r\nwhole"));
  }
  BOOST_TEST(Contains(LogText(), R"("verdict":"alive")"));
}

// The same where the target does not answer the probe, but another request on a
// connection that was open before the end.
BOOST_FIXTURE_TEST_CASE(AnswersToLaterRequestsShowThatATargetRuns,
                        RelayFixture) {
  UseOneTarget();
  std::vector<TestConnection> callers;
  std::vector<TestConnection> targets;
  for (const char* id : {"a", "b"}) {
    callers.push_back(Connect());
    callers.back().Send(RequestHead("POST", "/unsafe/x", id, kNoBody));
    targets.push_back(first().Accept());
    targets.back().ReadMessage();
  }
  for (size_t n = 0; n < targets.size(); ++n) {
    targets[n].Send(SignedResponse(n == 0 ? "a" : "b", "done"));
    callers[n].ReadMessage();
  }
  // The connection that was used last is used first.
  TestConnection caller = Connect();
  caller.Send(RequestHead("POST", "/once/x", "r1", kNoBody));
  targets[1].ReadMessage();
  targets[1].Send(UnframedHead("r1") + kEvents);
  targets[1].Close();
  const TestConnection probe = first().Accept();
  callers[0].Send(RequestHead("POST", "/unsafe/x", "r2", kNoBody));
  targets[0].ReadMessage();
  targets[0].Send(SignedResponse("r2", "done"));
  BOOST_TEST(Contains(caller.ReadUntil("\r\n0\r\n\r\n"), "data: b\n\n"));
}

// Guards against streams that never end for their caller: a stream that is
// resumed after its last event has none left, and is complete.
BOOST_FIXTURE_TEST_CASE(ResumedStreamsMayHaveNoEventsLeft, RelayFixture) {
  TestConnection caller = Connect();
  caller.Send(RequestHead("POST", "/stream/x", "r1", kNoBody));
  TestConnection target = first().Accept();
  target.ReadMessage();
  target.Send(UnframedHead("r1") + kEvents);
  caller.ReadUntil("data: b\n\n");
  target.Reset();
  std::string request;
  TestConnection other = AcceptRequest(&second(), &request);
  BOOST_TEST(Contains(request, "Last-Event-Id: 2\r\n"));
  other.Send(UnframedHead("r1"));
  other.Close();
  AnswerProbe(&second());
  caller.ReadUntil("\r\n0\r\n\r\n");
}

// Guards against answers that anything at the address can give, and that count
// as signs of the target.
BOOST_FIXTURE_TEST_CASE(AnswersOfOthersDoNotShowThatATargetRuns, RelayFixture) {
  UseOneTarget();
  TestConnection caller = Connect();
  caller.Send(RequestHead("POST", "/once/x", "r1", kNoBody));
  TestConnection target = first().Accept();
  target.ReadMessage();
  target.Send(UnframedHead("r1") + kEvents);
  target.Close();
  TestConnection probe = first().Accept();
  probe.ReadMessage();
  for (const char* status : {"502 Bad Gateway", "421 Misdirected Request"}) {
    TestConnection other_caller = Connect();
    other_caller.Send(RequestHead("POST", "/unsafe/x", "r2", kNoBody));
    TestConnection other = first().Accept();
    other.ReadMessage();
    other.Send("HTTP/1.1 " + std::string(status) +
               "\r\nContent-Length: 0\r\n\r\n");
    other_caller.ReadMessage();
    RestartTargets();
    UseOneTarget();
  }
  probe.Send("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
  BOOST_TEST(!Contains(caller.ReadUntilClose(), "\r\n0\r\n\r\n"));
}

// Guards against the answer of a later process with the same id.
BOOST_FIXTURE_TEST_CASE(LaterProcessesDoNotAnswerForEarlierOnes, RelayFixture) {
  UseOneTarget();
  TestConnection caller = Connect();
  caller.Send(RequestHead("POST", "/once/x", "r1", kNoBody));
  TestConnection target = first().Accept();
  target.ReadMessage();
  target.Send(UnframedHead("r1") + kEvents);
  target.Close();
  TestConnection probe = first().Accept();
  const std::string request = probe.ReadMessage();
  RestartTargets();
  UseOneTarget();
  probe.Send(ResponseToProbe(request));
  BOOST_TEST(!Contains(caller.ReadUntilClose(), "\r\n0\r\n\r\n"));
}

namespace {

template <int kRegistrationSeconds>
struct RegistrationFixture : RelayFixture {
  static RelayFixtureOptions Options() {
    RelayFixtureOptions options;
    options.registration_time = std::chrono::seconds(kRegistrationSeconds);
    return options;
  }
  RegistrationFixture() : RelayFixture(Options()) {}
};

// Waits until the connection is open that is to show the process.
void AwaitReservedConnection(TestTarget* target) {
  constexpr int kMaxWaitMs = 10000;
  BOOST_TEST_REQUIRE(target->HasUnusedConnectionWithin(kMaxWaitMs));
}

}  // namespace

// Guards against a body cut off by a crash that reaches the caller as a whole
// one: the target is back at once under its id, and registers a little later.
BOOST_FIXTURE_TEST_CASE(LaterProcessesUnderTheSameIdDoNotAnswerForEarlierOnes,
                        RegistrationFixture<3>) {
  UseOneTarget();
  TestConnection caller = Connect();
  caller.Send(RequestHead("POST", "/unsafe/x", "r1", kNoBody));
  TestConnection target = first().Accept();
  target.ReadMessage();
  target.Send(UnframedHead("r1") + "half of");
  AwaitReservedConnection(&first());
  first().AcceptConnection().Close();
  target.Close();
  AnswerProbe(&first());
  constexpr int kBeforeRegistrationMs = 500;
  BOOST_TEST(!caller.IsClosedWithin(kBeforeRegistrationMs));  // nor answered
  RestartTargets();
  UseOneTarget();
  const std::string response = caller.ReadMessage();
  BOOST_TEST(Contains(response, "HTTP/1.1 502 "));
  BOOST_TEST(!Contains(response, "half of"));
}

// Guards against whole responses that wait until a later process would have
// registered, although the target answers on a connection it had before.
BOOST_FIXTURE_TEST_CASE(ConnectionsFromBeforeTheEndShowTheTarget,
                        RegistrationFixture<60>) {
  UseOneTarget();
  for (const bool is_first : {true, false}) {
    TestConnection caller = Connect();
    caller.Send(RequestHead("POST", "/unsafe/x", "r1", kNoBody));
    TestConnection target = first().Accept();
    target.ReadMessage();
    if (is_first) {
      target.Send(UnframedHead("r1"));
    }
    // Later ones are opened with the request.
    AwaitReservedConnection(&first());
    target.Send((is_first ? "" : UnframedHead("r1")) + "whole");
    target.Close();
    AnswerProbe(&first());
    BOOST_TEST(Contains(caller.ReadMessage(), "\r\n\r\nwhole"));
  }
}

// Guards against whole responses that wait because the connection that would
// show the target was used for an earlier one.
BOOST_FIXTURE_TEST_CASE(ResponsesThatEndDuringAProbeHaveAConnectionToo,
                        RegistrationFixture<60>) {
  UseOneTarget();
  const std::vector<std::string> ids = {"r1", "r2"};
  std::vector<TestConnection> callers;
  std::vector<TestConnection> targets;
  for (const std::string& id : ids) {
    callers.push_back(Connect());
    callers.back().Send(RequestHead("POST", "/unsafe/x", id, kNoBody));
    targets.push_back(first().Accept());
    targets.back().ReadMessage();
    targets.back().Send(UnframedHead(id));
  }
  AwaitReservedConnection(&first());
  targets[0].Send("whole");
  targets[0].Close();
  TestConnection probe = first().Accept();
  AwaitReservedConnection(&first());
  targets[1].Send("whole");
  targets[1].Close();
  probe.Send(ResponseToProbe(probe.ReadMessage()));
  BOOST_TEST(Contains(callers[0].ReadMessage(), "\r\n\r\nwhole"));
  AnswerProbe(&first());
  BOOST_TEST(Contains(callers[1].ReadMessage(), "\r\n\r\nwhole"));
}

namespace {

struct ShortCheckFixture : RelayFixture {
  static RelayFixtureOptions Options() {
    RelayFixtureOptions options;
    options.end_check_limit = std::chrono::milliseconds(50);
    return options;
  }
  ShortCheckFixture() : RelayFixture(Options()) {}
};

}  // namespace

// Guards against a stream that counts as whole because nothing shows that it is
// not.
BOOST_FIXTURE_TEST_CASE(StreamsOfSilentTargetsAreBrokenOff, ShortCheckFixture) {
  UseOneTarget();
  TestConnection caller = Connect();
  caller.Send(RequestHead("POST", "/once/x", "r1", kNoBody));
  TestConnection target = first().Accept();
  target.ReadMessage();
  target.Send(UnframedHead("r1") + kEvents);
  target.Close();
  const TestConnection probe = first().Accept();
  BOOST_TEST(!Contains(caller.ReadUntilClose(), "\r\n0\r\n\r\n"));
}

// Guards against a check that acts on a request whose caller has left.
BOOST_FIXTURE_TEST_CASE(CallersMayLeaveDuringACheck, RelayFixture) {
  UseOneTarget();
  TestConnection caller = Connect();
  caller.Send(RequestHead("POST", "/once/x", "r1", kNoBody));
  TestConnection target = first().Accept();
  target.ReadMessage();
  target.Send(UnframedHead("r1") + kEvents);
  target.Close();
  TestConnection probe = first().Accept();
  const std::string request = probe.ReadMessage();
  caller.Close();
  size_t open = 1;
  while (open > 0) {
    RunOnRelayThread([&](RoutingState&) { open = relay().open_exchanges(); });
  }
  probe.Send(ResponseToProbe(request));
  TestConnection other_caller = Connect();
  other_caller.Send(RequestHead("POST", "/unsafe/x", "r2", kNoBody));
  TestConnection other = first().Accept();
  other.ReadMessage();
  other.Send(SignedResponse("r2", "done"));
  BOOST_TEST(Contains(other_caller.ReadMessage(), "\r\n\r\ndone"));
  BOOST_TEST(!Contains(LogText(), "response_end_checked"));
}

}  // namespace endiveyard
