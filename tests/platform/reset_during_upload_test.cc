#include <sys/socket.h>

#include <boost/test/unit_test.hpp>
#include <cstring>
#include <string>

#include "relay_fixture.h"

// Targets that respond before they have read a long request.
namespace endiveyard {
namespace {

constexpr size_t kUploadBytes = 4 << 20;
constexpr const char* kEndOfUpload = "the end";
const std::string kHead =
    "HTTP/1.1 200 OK\r\nEndiveyard-Request-Id: r1\r\n"
    "Endiveyard-Response-Signature: s\r\n";

// Sends a long request, and returns the connection on which the target gets it
// but has not read its body.
TestConnection BeginUpload(RelayFixture* fixture,
                           const std::string& path,
                           TestConnection* caller) {
  caller->Send(
      RequestHead("POST", path, "r1",
                  "Content-Length: " + std::to_string(kUploadBytes) + "\r\n") +
      std::string(kUploadBytes - std::strlen(kEndOfUpload), 'u') +
      kEndOfUpload);
  TestConnection target = fixture->first().Accept();
  // The kernel must not take the whole body.
  const int bytes = 65536;
  setsockopt(target.fd(), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  target.ReadUntil("\r\n\r\n");
  return target;
}

}  // namespace

// Guards against a part of a response that reaches the caller as a whole one:
// the target resets the connection, and the kernel tells the write of the
// upload, so that the read sees an orderly end (MIXED).
BOOST_FIXTURE_TEST_CASE(ResponsesResetDuringAnUploadAreNoSuccess,
                        RelayFixture) {
  for (const bool resets : {true, false}) {
    for (const char* path : {"/unsafe/x", "/once/x"}) {
      BOOST_TEST_CONTEXT(path << (resets ? ", reset" : ", closed unread")) {
        RestartTargets();
        UseOneTarget();
        TestConnection caller = Connect();
        TestConnection target = BeginUpload(this, path, &caller);
        target.Send(kHead + "\r\nid: 1\ndata: half of\n\n");
        // Unread bytes make the kernel reset the connection.
        resets ? target.Reset() : target.Close();
        // The target itself goes on.
        constexpr int kProbeMs = 300;
        if (first().HasRequestWithin(kProbeMs)) {
          AnswerProbe(&first());
        }
        if (std::string(path) == "/unsafe/x") {
          BOOST_TEST(Contains(caller.ReadMessage(), "HTTP/1.1 502 "));
        } else {
          BOOST_TEST(!Contains(caller.ReadUntilClose(), "0\r\n\r\n"));
        }
      }
    }
  }
}

// Guards against early responses that are given up: the target reads on, and
// gets the rest of the body (UNASKED), or ends in order.
BOOST_FIXTURE_TEST_CASE(EarlyResponsesOfTargetsThatReadOnArrive, RelayFixture) {
  for (const bool is_framed : {true, false}) {
    RestartTargets();
    UseOneTarget();
    TestConnection caller = Connect();
    TestConnection target = BeginUpload(this, "/unsafe/x", &caller);
    target.Send(kHead +
                (is_framed ? "Content-Length: 5\r\n\r\nwhole" : "\r\nwhole"));
    if (is_framed) {
      BOOST_TEST(Contains(caller.ReadMessage(), "\r\n\r\nwhole"));
      continue;
    }
    target.ReadUntil(kEndOfUpload);
    target.Close();
    AnswerProbe(&first());
    BOOST_TEST(Contains(caller.ReadMessage(), "\r\n\r\nwhole"));
  }
}

}  // namespace endiveyard
