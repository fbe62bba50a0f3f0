#include <boost/test/unit_test.hpp>
#include <string>

#include "relay/forwarded_request.h"
#include "relay_fixture.h"

// Responses of targets in trouble: a status that HTTP does not know, and a
// response that begins, and breaks off, while the request is still sent.
namespace endiveyard {
namespace {

// More than the sockets between relay and target hold, so that the target
// responds while the relay still writes.
constexpr size_t kUploadBytes = 4 << 20;

const char* const kInvalidStatuses[] = {"000 Unknown", "099 Low", "600 High",
                                        "999 High"};

std::string ResponseWithStatus(const std::string& status,
                               const std::string& framing) {
  return "HTTP/1.1 " + status +
         "\r\nEndiveyard-Request-Id: r1\r\nEndiveyard-Response-Signature: "
         "s\r\n" +
         framing + "\r\nbody";
}

// True if the caller got a failure of the relay, with a status of its own.
bool IsOwnFailure(const std::string& response) {
  return Contains(response, "HTTP/1.1 502 ") ||
         Contains(response, "HTTP/1.1 503 ") ||
         Contains(response, "HTTP/1.1 504 ");
}

std::string Upload(const std::string& path, size_t bytes = kUploadBytes) {
  return RequestHead("POST", path, "r1",
                     "Content-Length: " + std::to_string(bytes) + "\r\n") +
         std::string(bytes, 'u');
}

// The beginning of a success that has no length, sent while the upload is not
// read.
std::string EarlyPart(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nEndiveyard-Request-Id: r1\r\n"
         "Endiveyard-Response-Signature: s\r\n\r\n" +
         body;
}

// Ways in which a target ends a response that it has not completed.
enum class Break { kReset, kCloseWithUnreadBytes };

void SendPartAndBreak(TestConnection& target,
                      const std::string& part,
                      Break way) {
  target.ReadUntil("\r\n\r\n");
  target.Send(part);
  if (way == Break::kReset) {
    target.Reset();
  } else {
    target.Close();
  }
}

}  // namespace

// Guards against a status that is none, which callers took for an answer: 30 of
// 30 responses with status 000, 099 or 999 were passed on.
BOOST_FIXTURE_TEST_CASE(InvalidStatusesAreNotForwarded, RelayFixture) {
  UseOneTarget();
  for (const char* path : {"/unsafe/x", "/safe/x", "/once/x", "/stream/x"}) {
    for (const std::string status : kInvalidStatuses) {
      for (const char* framing :
           {"Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
        BOOST_TEST_CONTEXT(path << ", " << status << ", " << framing) {
          TestConnection caller = Connect();
          caller.Send(RequestHead("POST", path, "r1", "Content-Length: 0\r\n"));
          TestConnection target = first().Accept();
          target.ReadMessage();
          target.Send(ResponseWithStatus(status, framing));
          target.Close();
          BOOST_TEST(IsOwnFailure(caller.ReadMessage()));
        }
      }
    }
  }
}

// The same where the request has run, and may not be said not to have.
BOOST_FIXTURE_TEST_CASE(RequestsWithInvalidStatusesMayHaveRun, RelayFixture) {
  UseOneTarget();
  TestConnection caller = Connect();
  caller.Send(RequestHead("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n"));
  TestConnection target = first().Accept();
  target.ReadMessage();
  target.Send(ResponseWithStatus(
      "000 Unknown", "Endiveyard-Not-Executed: 1\r\nContent-Length: 4\r\n"));
  BOOST_TEST(Contains(caller.ReadMessage(), "HTTP/1.1 502 "));
}

// The same for a request that another instance handles.
BOOST_AUTO_TEST_CASE(InvalidStatusesAreNotForwardedBetweenInstances) {
  boost::asio::io_context io;
  for (const std::string status : kInvalidStatuses) {
    TestTarget peer(io);
    RelayFixture relay(WithPeerPort(peer.port()));
    relay.LoseLinks();
    relay.LearnOfPeer();
    TestConnection caller = relay.Connect();
    caller.Send(
        RequestHead("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n"));
    TestConnection other = peer.Accept();
    other.ReadMessage();
    ForwardedResponse response;
    response.delivered_calls = response.possible_runs = 1;
    response.replica_id = "t9";
    response.version = "v2";
    other.Send(ResponseWithStatus(status,
                                  std::string(kForwardedResponseHeader) + ": " +
                                      EncodeForwardedResponse(response) +
                                      "\r\nContent-Length: 4\r\n"));
    BOOST_TEST(IsOwnFailure(caller.ReadMessage()));
  }
}

// The same for a call that only prefills the prompt: the request goes on
// without what the response brought.
BOOST_FIXTURE_TEST_CASE(InvalidStatusesOfPrefillCallsAreFailures,
                        RelayFixture) {
  UseDisaggregatedTargets();
  TestConnection caller = Connect();
  caller.Send(RequestHead("POST", "/stream/x", "r1",
                          "Content-Length: 0\r\n"
                          "Endiveyard-Token-Count: 6000,20\r\n"
                          "Endiveyard-Prompt-Prefix: a1:4000,b2:2000\r\n"));
  TestConnection prefill = second().Accept();
  prefill.ReadMessage();
  const std::string body = "{\"kv_handle\":\"h1\",\"tokens\":6000}";
  prefill.Send(
      "HTTP/1.1 099 Low\r\nEndiveyard-Request-Id: r1\r\n"
      "Content-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body);
  TestConnection run = first().Accept();
  BOOST_TEST(!Contains(run.ReadMessage(), "Kv-Source"));
  run.Send(StreamResponseHead("r1") + EncodeChunk("id: 1\ndata: a\n\n") +
           "0\r\n\r\n");
  BOOST_TEST(Contains(caller.ReadMessage(), "data: a"));
}

// Guards against a part of a response that counts as the whole one: the target
// responds before it has read the upload, without a length, and breaks off.
BOOST_FIXTURE_TEST_CASE(EarlyPartsOfResponsesAreNotComplete, RelayFixture) {
  UseOneTarget();
  // Different requests, as those that lose their targets are refused.
  int request = 0;
  for (const std::string path : {"/unsafe/", "/safe/"}) {
    for (const Break way : {Break::kReset, Break::kCloseWithUnreadBytes}) {
      TestConnection caller = Connect();
      caller.Send(Upload(path + std::to_string(++request)));
      TestConnection target = first().Accept();
      SendPartAndBreak(target, EarlyPart("part"), way);
      const std::string response = caller.ReadMessage();
      // A safe request is sent again, and waits for its timeout.
      BOOST_TEST(IsOwnFailure(response), response);
      RestartTargets();
      UseOneTarget();
    }
  }
}

// The same for streams: the events may be passed on, but not a regular end.
BOOST_FIXTURE_TEST_CASE(EarlyPartsOfStreamsAreNotComplete, RelayFixture) {
  UseOneTarget();
  for (const Break way : {Break::kReset, Break::kCloseWithUnreadBytes}) {
    TestConnection caller = Connect();
    caller.Send(Upload("/once/x"));
    TestConnection target = first().Accept();
    SendPartAndBreak(target, EarlyPart("id: 1\ndata: a\n\n"), way);
    const std::string head = caller.ReadUntil("\r\n\r\n");
    if (Contains(head, "HTTP/1.1 200 ")) {
      BOOST_TEST(!Contains(caller.ReadUntilClose(), "0\r\n\r\n"));
    } else {
      BOOST_TEST(IsOwnFailure(head), head);
    }
    RestartTargets();
    UseOneTarget();
  }
}

// The same for a request that another instance handles.
BOOST_AUTO_TEST_CASE(EarlyPartsBetweenInstancesAreNotComplete) {
  boost::asio::io_context io;
  for (const Break way : {Break::kReset, Break::kCloseWithUnreadBytes}) {
    TestTarget peer(io);
    RelayFixture relay(WithPeerPort(peer.port()));
    relay.LoseLinks();
    relay.LearnOfPeer();
    TestConnection caller = relay.Connect();
    caller.Send(Upload("/unsafe/x"));
    TestConnection other = peer.Accept();
    ForwardedResponse response;
    response.delivered_calls = response.possible_runs = 1;
    response.replica_id = "t9";
    response.version = "v2";
    std::string part = EarlyPart("part");
    part.insert(part.find("\r\n") + 2,
                std::string(kForwardedResponseHeader) + ": " +
                    EncodeForwardedResponse(response) + "\r\n");
    SendPartAndBreak(other, part, way);
    BOOST_TEST(Contains(caller.ReadMessage(), "HTTP/1.1 502 "));
  }
}

// The same for a prefill call: an early part is no handle.
BOOST_FIXTURE_TEST_CASE(EarlyPartsOfPrefillCallsAreFailures, RelayFixture) {
  UseDisaggregatedTargets();
  TestConnection caller = Connect();
  // Larger bodies are not sent to two engines.
  constexpr size_t kBytes = 4096;
  std::string upload = Upload("/stream/x", kBytes);
  upload.insert(upload.find("\r\n") + 2,
                "Endiveyard-Token-Count: 6000,20\r\n"
                "Endiveyard-Prompt-Prefix: a1:4000,b2:2000\r\n");
  caller.Send(upload);
  TestConnection prefill = second().Accept();
  SendPartAndBreak(prefill, EarlyPart("{\"kv_handle\":\"h1\",\"tokens\":6000}"),
                   Break::kReset);
  TestConnection run = first().Accept();
  BOOST_TEST(!Contains(run.ReadUntil("\r\n\r\n"), "Kv-Source"));
}

}  // namespace endiveyard
