#include <boost/test/unit_test.hpp>
#include <string>

#include "relay_fixture.h"

// Responses with neither a length nor chunks, which end with their connection.
namespace endiveyard {
namespace {

const std::string kNoBody = "Content-Length: 0\r\n";
constexpr const char* kEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

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

}  // namespace endiveyard
