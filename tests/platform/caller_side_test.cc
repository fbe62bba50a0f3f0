#include <future>
#include <string>

#include <boost/test/unit_test.hpp>

#include "relay_fixture.h"

// What callers get of streams, whatever they do meanwhile.
namespace endiveyard {
namespace {

std::string Event(int id) {
  const std::string n = std::to_string(id);
  return "id: " + n + "\ndata: e" + n + "\n\n";
}

std::string ChunkOf(int id) {
  return EncodeChunk(Event(id));
}

const std::string kEnd = EncodeChunk("");

struct OneTargetFixture : RelayFixture {
  OneTargetFixture() { UseOneTarget(); }

  // Reads the next request at the target.
  TestConnection Serve() {
    TestConnection target = first().Accept();
    target.ReadMessage();
    return target;
  }
};

std::string StreamRequest(const std::string& id,
                          const std::string& more_headers = "",
                          const std::string& path = "/once/x") {
  return RequestHead("POST", path, id, "Content-Length: 0\r\n" + more_headers);
}

}  // namespace

// Guards against responses out of order, and streams that are cut, where a
// caller sends requests behind one whose response is a stream.
BOOST_FIXTURE_TEST_CASE(RequestsBehindAStreamWaitForItsEnd, OneTargetFixture) {
  TestConnection caller = Connect();
  caller.Send(StreamRequest("r1") + RequestHead("GET", "/safe/x", "r2") +
              StreamRequest("r3"));
  TestConnection target = Serve();
  target.Send(StreamResponseHead("r1") + ChunkOf(1));
  caller.ReadUntil(Event(1));
  target.Send(ChunkOf(2) + kEnd);
  const std::string stream = caller.ReadUntil("0\r\n\r\n");
  BOOST_TEST(Contains(stream, Event(2)));
  BOOST_TEST(!Contains(stream, "HTTP/1.1"));
  target.ReadMessage();
  target.Send(SignedResponse("r2", "two"));
  BOOST_TEST(Contains(caller.ReadMessage(), "\r\n\r\ntwo"));
  target.ReadMessage();
  target.Send(StreamResponseHead("r3") + ChunkOf(1) + kEnd);
  BOOST_TEST(Contains(caller.ReadMessage(), Event(1)));
}

// Guards against a response that follows a stream that broke off, as its next
// chunk or as its end: the connection ends, and what waits behind is not sent.
BOOST_FIXTURE_TEST_CASE(NothingFollowsAStreamThatBreaksOff, OneTargetFixture) {
  TestConnection caller = Connect();
  caller.Send(StreamRequest("r1") + RequestHead("POST", "/unsafe/x", "r2"));
  TestConnection target = Serve();
  target.Send(StreamResponseHead("r1") + ChunkOf(1));
  caller.ReadUntil(Event(1));
  target.Reset();
  const std::string rest = caller.ReadUntilClose();
  BOOST_TEST(!Contains(rest, "HTTP/1.1"));
  BOOST_TEST(!Contains(rest, "0\r\n\r\n"));
  BOOST_TEST(!first().HasConnectionWithin(0));
}

// Guards against events that are lost where the caller does not read and the
// connection of the target ends meanwhile.
BOOST_FIXTURE_TEST_CASE(EventsWaitForCallersThatDoNotRead, OneTargetFixture) {
  constexpr int kEvents = 2000;
  constexpr size_t kDataBytes = 16000;  // more than the buffers hold, together
  const std::string data(kDataBytes, 'x');
  TestConnection caller = Connect();
  caller.Send(StreamRequest("r1"));
  TestConnection target = Serve();
  const auto sent = std::async(std::launch::async, [&] {
    target.Send(StreamResponseHead("r1"));
    for (int n = 1; n <= kEvents; ++n) {
      target.Send(
          EncodeChunk("id: " + std::to_string(n) + "\ndata: " + data + "\n\n"));
    }
    target.Send(kEnd);
    target.Close();
  });
  caller.ReadUntil("\r\n\r\n");
  for (int n = 1; n <= kEvents; ++n) {
    const std::string event = caller.ReadUntil("\n\n");
    BOOST_TEST_REQUIRE(
        Contains(event, "id: " + std::to_string(n) + "\ndata: " + data));
  }
  BOOST_TEST(Contains(caller.ReadUntil("0\r\n\r\n"), "0\r\n\r\n"));
}

// Guards against streams that a stop of the instance cuts or ends early.
BOOST_FIXTURE_TEST_CASE(StreamsOpenAtAStopGoOn, OneTargetFixture) {
  TestConnection caller = Connect();
  caller.Send(StreamRequest("r1"));
  TestConnection target = Serve();
  target.Send(StreamResponseHead("r1") + ChunkOf(1));
  caller.ReadUntil(Event(1));
  RunOnRelayThread([this](RoutingState&) {
    relay().StartDraining(Duration(0),
                          BootClock::now() + std::chrono::seconds(60));
  });
  target.Send(ChunkOf(2));
  caller.ReadUntil(Event(2));
  target.Send(ChunkOf(3) + kEnd);
  const std::string rest = caller.ReadUntilClose();
  BOOST_TEST(Contains(rest, Event(3)));
  BOOST_TEST(Contains(rest, "0\r\n\r\n"));
}

// Guards against events that are made up, or repeated, for a caller that names
// an event beyond the end of the stream, or none at all.
BOOST_FIXTURE_TEST_CASE(TakeUpsBeyondTheEndGetNoEvent, OneTargetFixture) {
  for (const char* id :
       {"7", "9223372036854775807", "-1", "-9223372036854775808"}) {
    BOOST_TEST_CONTEXT(id) {
      const std::string header = "Last-Event-Id: " + std::string(id) + "\r\n";
      TestConnection begun = Connect();
      begun.Send(StreamRequest("r0", "", "/stream/x"));
      TestConnection target = Serve();
      target.Send(StreamResponseHead("r0") + ChunkOf(1) + kEnd);
      begun.ReadMessage();
      TestConnection caller = Connect();
      caller.Send(StreamRequest("r1", header + "Resumes: r0\r\n", "/stream/x"));
      BOOST_TEST(Contains(target.ReadMessage(), header));
      target.Send(StreamResponseHead("r1") + kEnd);
      const std::string answer = caller.ReadMessage();
      BOOST_TEST(Contains(answer, "HTTP/1.1 200 OK\r\n"));
      BOOST_TEST(!Contains(answer, "id: "));

      // A replica that begins anew.
      caller.Send(StreamRequest("r2", header + "Resumes: r0\r\n", "/stream/x"));
      target.ReadMessage();
      target.Send(StreamResponseHead("r2") + ChunkOf(1) + kEnd);
      BOOST_TEST(Contains(caller.ReadMessage(), "HTTP/1.1 502 "));
      RestartTargets();
      UseOneTarget();
    }
  }
}

// Guards against chunks in what an HTTP/1.0 caller takes for the body, and
// against streams that broke off and look complete to it.
BOOST_FIXTURE_TEST_CASE(CallersOfTheOldProtocolGetTheBareStream,
                        OneTargetFixture) {
  std::string request = StreamRequest("r1", "Connection: keep-alive\r\n");
  request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
  TestConnection caller = Connect();
  caller.Send(request);
  TestConnection target = Serve();
  target.Send(StreamResponseHead("r1") + ChunkOf(1));
  const std::string head = caller.ReadUntil("\r\n\r\n");
  BOOST_TEST(!Contains(head, "Transfer-Encoding"));
  BOOST_TEST(Contains(head, "Connection: close\r\n"));
  BOOST_TEST(caller.ReadUntil("\n\n") == Event(1));
  target.Send(ChunkOf(2) + kEnd);
  BOOST_TEST(caller.ReadUntilClose() == Event(2));
  BOOST_TEST(!caller.WasReset());

  TestConnection cut = Connect();
  cut.Send(request);
  TestConnection broken = Serve();
  broken.Send(StreamResponseHead("r1") + ChunkOf(1));
  cut.ReadUntil(Event(1));
  broken.Reset();
  BOOST_TEST(cut.ReadUntilClose().empty());
  BOOST_TEST(cut.WasReset());
}

}  // namespace endiveyard
