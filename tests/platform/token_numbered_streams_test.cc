#include <boost/test/unit_test.hpp>
#include <string>

#include "relay_fixture.h"

// Streams whose event ids are the numbers of the tokens so far.
namespace endiveyard {
namespace {

std::string EventWithId(int id) {
  const std::string number = std::to_string(id);
  return "id: " + number + "\ndata: up to " + number + "\n\n";
}

std::string ChunkWithId(int id) {
  return EncodeChunk(EventWithId(id));
}

// Returns the ids of the whole events in a response, each followed by a space.
std::string IdsIn(const std::string& response) {
  std::string ids;
  for (size_t n = response.find("id: "); n != std::string::npos;
       n = response.find("id: ", n + 1)) {
    const std::string id =
        response.substr(n + 4, response.find('\n', n) - n - 4);
    ids += Contains(response, EventWithId(std::stoi(id))) ? id + " " : "cut ";
  }
  return ids;
}

}  // namespace

// Guards against sound streams that are cut after their first event because
// their ids increase by more than one (LOST).
BOOST_FIXTURE_TEST_CASE(StreamsNumberedByTokensAreWhole, RelayFixture) {
  UseOneTarget();
  for (const char* path : {"/once/x", "/stream/x"}) {
    for (const bool is_long : {false, true}) {
      TestConnection caller = Connect();
      caller.Send(RequestHead("POST", path, "r1", "Content-Length: 0\r\n"));
      TestConnection target = first().Accept();
      target.ReadMessage();
      target.Send(StreamResponseHead("r1") + ChunkWithId(3) + ChunkWithId(7));
      if (is_long) {
        target.Send(ChunkWithId(8) + ChunkWithId(11));
      }
      target.Send(EncodeChunk(""));
      BOOST_TEST(IdsIn(caller.ReadMessage()) ==
                 (is_long ? "3 7 8 11 " : "3 7 "));
      RestartTargets();
      UseOneTarget();
    }
  }
}

// Guards against a stream that goes on at the wrong event: an id that nothing
// confirms yet may be damaged. A second target that gives the same one is
// right.
BOOST_FIXTURE_TEST_CASE(StreamsNumberedByTokensAreResumed, RelayFixture) {
  TestConnection caller = Connect();
  caller.Send(RequestHead("POST", "/stream/x", "r1", "Content-Length: 0\r\n"));
  TestConnection target = first().Accept();
  target.ReadMessage();
  target.Send(StreamResponseHead("r1") + ChunkWithId(1) + ChunkWithId(2) +
              ChunkWithId(5) + ChunkWithId(6));
  TestConnection other = second().Accept();
  BOOST_TEST(Contains(other.ReadMessage(), "Last-Event-Id: 2\r\n"));
  other.Send(StreamResponseHead("r1") + ChunkWithId(5) + ChunkWithId(6) +
             ChunkWithId(9) + EncodeChunk(""));
  BOOST_TEST(IdsIn(caller.ReadMessage()) == "1 2 5 6 9 ");
}

}  // namespace endiveyard
