#include <boost/test/unit_test.hpp>
#include <string>

#include "relay_fixture.h"

// Responses with neither a length nor chunks, which end with their connection.
namespace endiveyard {
namespace {

const std::string kNoBody = "Content-Length: 0\r\n";
constexpr const char* kEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

std::string UnframedHead(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nEndiveyard-Request-Id: " + id +
         "\r\nEndiveyard-Response-Signature: s\r\n\r\n";
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
                        RelayFixture,
                        *boost::unit_test::label("known_red")) {
  UseOneTarget();
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
                        RelayFixture,
                        *boost::unit_test::label("known_red")) {
  TestConnection caller = Connect();
  caller.Send(RequestHead("POST", "/stream/x", "r1", kNoBody));
  TestConnection target = first().Accept();
  target.ReadMessage();
  target.Send(UnframedHead("r1") + kEvents);
  caller.ReadUntil("data: b\n\n");
  first().StopListening();
  target.Close();
  TestConnection other = second().Accept();
  BOOST_TEST(Contains(other.ReadMessage(), "Last-Event-Id: 2\r\n"));
  other.Send(StreamResponseHead("r1") + EncodeChunk("id: 3\ndata: c\n\n") +
             EncodeChunk(""));
  BOOST_TEST(Contains(caller.ReadUntil("0\r\n\r\n"), "data: c\n\n"));
}

// Guards against half of a body that reaches the caller as a success.
BOOST_FIXTURE_TEST_CASE(BodiesCutByTheEndOfTheirTargetAreNoSuccess,
                        RelayFixture,
                        *boost::unit_test::label("known_red")) {
  for (const bool is_safe : {false, true}) {
    TestConnection caller = Connect();
    caller.Send(is_safe ? RequestHead("GET", "/safe/x", "r2")
                        : RequestHead("POST", "/unsafe/x", "r1", kNoBody));
    TestTarget& asked = is_safe ? second() : first();
    TestConnection target = asked.Accept();
    target.ReadMessage();
    target.Send(UnframedHead(is_safe ? "r2" : "r1") + "half of");
    asked.StopListening();
    target.Close();
    BOOST_TEST(Contains(caller.ReadMessage(), "HTTP/1.1 502 "));
  }
}

}  // namespace endiveyard
