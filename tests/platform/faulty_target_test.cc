#include <boost/test/unit_test.hpp>
#include <string>

#include "relay_fixture.h"

// What callers get when a target responds in a way that its protocol forbids.
namespace endiveyard {
namespace {

// Above the size up to which a response is collected before it is forwarded.
constexpr size_t kLargeBodyBytes = 20 * 16384;

// Sends `request` and returns the response of the relay to what `respond` sends
// as the first target.
template <typename Respond>
std::string ResponseTo(RelayFixture* fixture,
                       const std::string& request,
                       const Respond& respond) {
  TestConnection caller = fixture->Connect();
  caller.Send(request);
  TestConnection target = fixture->first().Accept();
  target.ReadMessage();
  respond(target);
  return caller.ReadMessage();
}

}  // namespace

// Guards against a failure response that is too large to be collected ending
// the process: where no retry is possible, it was to be forwarded after the
// call that held it was gone.
BOOST_FIXTURE_TEST_CASE(LargeFailureResponsesEndOnlyTheirRequest,
                        RelayFixture) {
  UseOneTarget();
  const std::string failure =
      "HTTP/1.1 500 Internal Server Error\r\nEndiveyard-Request-Id: r1\r\n";
  const std::string filler(16384, 'x');
  const struct {
    const char* framing;
    std::string head;
    std::string repeated;
  } cases[] = {
      {"ends with the connection", failure + "\r\n", filler},
      {"chunks", failure + "Transfer-Encoding: chunked\r\n\r\n",
       EncodeChunk(filler)},
      {"length",
       failure + "Endiveyard-Response-Signature: s\r\nContent-Length: " +
           std::to_string(kLargeBodyBytes) + "\r\n\r\n",
       filler},
  };
  for (const char* path : {"/unsafe/x", "/safe/x", "/once/x", "/stream/x"}) {
    for (const auto& it : cases) {
      BOOST_TEST_CONTEXT(path << ", " << it.framing) {
        const std::string response = ResponseTo(
            this, RequestHead("POST", path, "r1", "Content-Length: 0\r\n"),
            [&](TestConnection& target) {
              target.Send(it.head);
              target.SendUntilClosed(it.repeated, kLargeBodyBytes);
            });
        BOOST_TEST(Contains(response, "HTTP/1.1 502 "));
        BOOST_TEST(!Contains(response, "Response-Signature"));
      }
    }
  }
}

// Guards against a target's 503 that reaches a caller as the promise that the
// request has not run, although the target has not stated that: callers of
// unsafe routes then send the request again. The same holds for 408 and 429.
BOOST_FIXTURE_TEST_CASE(RefusalsWithoutStatementAreNotForwarded, RelayFixture) {
  UseOneTarget();
  const std::string headers[] = {"", "Endiveyard-Response-Signature: s\r\n",
                                 "Retry-After: 0\r\n"};
  for (const char* path : {"/unsafe/x", "/once/x", "/safe/x", "/stream/x"}) {
    for (const char* status : {"408 Request Timeout", "429 Too Many Requests",
                               "503 Service Unavailable"}) {
      for (const std::string& it : headers) {
        BOOST_TEST_CONTEXT(path << ", " << status << ", " << it) {
          const std::string response = ResponseTo(
              this, RequestHead("POST", path, "r1", "Content-Length: 0\r\n"),
              [&](TestConnection& target) {
                target.Send("HTTP/1.1 " + std::string(status) +
                            "\r\nEndiveyard-Request-Id: r1\r\n" + it +
                            "Content-Length: 4\r\n\r\nfail");
                target.Close();
              });
          BOOST_TEST(Contains(response, "HTTP/1.1 502 "));
          BOOST_TEST(!Contains(response, "Response-Signature"));
          BOOST_TEST(!Contains(response, "Retry-After"));
        }
      }
    }
  }
}

}  // namespace endiveyard
