#include <cstring>
#include <optional>
#include <string>

#include <boost/test/unit_test.hpp>

#include "relay_fixture.h"

// What callers get when a target sends the answer to an earlier request once
// more and cuts it off anywhere, on a connection in use again.
namespace endiveyard {
namespace {

constexpr const char* kOldBody = "first answer";
constexpr const char* kNewBody =
    "second answer, which is longer than the first";

std::string Head(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nEndiveyard-Request-Id: " + id +
         "\r\nEndiveyard-Response-Signature: sig-" + id + "\r\n";
}

std::string Chunked(const std::string& id, const std::string& body) {
  const size_t half = body.size() / 2;
  return Head(id) + "Transfer-Encoding: chunked\r\n\r\n" +
         EncodeChunk(body.substr(0, half)) + EncodeChunk(body.substr(half)) +
         EncodeChunk("");
}

// The second answer, whole and of the right request, or a failure.
void CheckAnswer(const std::string& answer) {
  const bool right =
      Contains(answer, "HTTP/1.1 200 OK\r\n") &&
      Contains(answer, "sig-r2\r\n") &&
      answer.substr(answer.size() - std::strlen(kNewBody)) == kNewBody;
  BOOST_TEST((right || Contains(answer, "HTTP/1.1 502 ")), answer);
  BOOST_TEST(!Contains(answer, kOldBody));
}

struct CutCopiesFixture : RelayFixture {
  CutCopiesFixture() { UseOneTarget(); }

  // Sends r1 and answers it by `first_answer`, then sends r2.
  void Begin(const std::string& path, const std::string& first_answer) {
    const std::string end = "Content-Length: 0\r\n";
    caller.emplace(Connect());
    caller->Send(RequestHead("POST", path, "r1", end));
    target.emplace(first().Accept());
    target->ReadMessage();
    target->Send(first_answer);
    caller->ReadMessage();
    caller->Send(RequestHead("POST", path, "r2", end));
    target->ReadMessage();
  }

  void CheckNoEvidence() {
    RunOnRelayThread([this](RoutingState&) {
      BOOST_TEST(relay().crash_suspects()->empty());
    });
  }

  void Forget() {
    RestartTargets();
    UseOneTarget();
  }

  std::optional<TestConnection> caller;
  std::optional<TestConnection> target;
};

}  // namespace

// Guards against sound requests that count as crashing their target: what cuts
// a copy off is no end of the answer. No answer is joined from two.
BOOST_FIXTURE_TEST_CASE(CutCopiesAreNoPartOfTheNextAnswer, CutCopiesFixture) {
  for (const std::string& copy :
       {SignedResponse("r1", kOldBody), Chunked("r1", kOldBody)}) {
    for (const std::string& answer :
         {SignedResponse("r2", kNewBody), Chunked("r2", kNewBody)}) {
      for (size_t n = 1; n < copy.size(); ++n) {
        BOOST_TEST_CONTEXT("cut at " << n << " of " << copy << answer) {
          Begin("/unsafe/x", copy);
          target->Send(copy.substr(0, n) + answer);
          CheckAnswer(caller->ReadMessage());
          CheckNoEvidence();
          Forget();
        }
      }
    }
  }
}

// Guards against calls that wait until their deadline for the rest of a copy,
// although what it swallows is their answer: with a length, in a chunk, as the
// copy of a HEAD response, or in a trailer.
BOOST_FIXTURE_TEST_CASE(AnswersWithinACutCopyAreNoticed, CutCopiesFixture) {
  const std::string large(65536, 'x');
  const std::string chunked = Head("r1") + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string copies[] = {
      SignedResponse("r1", large).substr(0, 200),
      SignedResponse("r1", large).substr(0, 60000),
      chunked + EncodeChunk(large).substr(0, 6),
      chunked + EncodeChunk(large).substr(0, 30000),
      SignedResponse("r1", large)
          .substr(0, SignedResponse("r1", large).size() - large.size()),
      chunked + EncodeChunk("a") + "0\r\nTrailer: x",
  };
  for (const std::string& copy : copies) {
    for (const std::string& answer :
         {SignedResponse("r2", kNewBody), Chunked("r2", kNewBody),
          SignedResponse("r2", "")}) {
      BOOST_TEST_CONTEXT(copy.size() << " bytes of a copy") {
        Begin("/unsafe/x", SignedResponse("r1", kOldBody));
        target->Send(copy);
        // In two pieces, so that the id may come in another one than the
        // status.
        target->Send(answer.substr(0, 40));
        target->Send(answer.substr(40));
        const std::string got = caller->ReadMessage();
        BOOST_TEST(Contains(got, "HTTP/1.1 502 "), got);
        CheckNoEvidence();
        Forget();
      }
    }
  }
}

// The same where the connection ends after the copy: nobody has answered r2, so
// that it may have run.
BOOST_FIXTURE_TEST_CASE(CutCopiesBeforeTheEndAreNoAnswer, CutCopiesFixture) {
  for (const std::string& copy :
       {SignedResponse("r1", kOldBody), Chunked("r1", kOldBody)}) {
    for (size_t n = 1; n < copy.size(); ++n) {
      BOOST_TEST_CONTEXT("cut at " << n << " of " << copy) {
        Begin("/unsafe/x", copy);
        target->Send(copy.substr(0, n));
        target->Close();
        BOOST_TEST(Contains(caller->ReadMessage(), "HTTP/1.1 502 "));
        Forget();
      }
    }
  }
}

// Guards against events of an earlier stream in a later one: its copy is cut at
// the end of an event or of a chunk, or anywhere else.
BOOST_FIXTURE_TEST_CASE(CutCopiesOfStreamsAreNoEvents, CutCopiesFixture) {
  const std::string old_events = EncodeChunk("id: 1\ndata: old\n\n") +
                                 EncodeChunk("id: 2\ndata: old\n\n") +
                                 EncodeChunk("");
  const std::string new_events =
      EncodeChunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\n") + EncodeChunk("");
  const std::string copy = StreamResponseHead("r1") + old_events;
  for (size_t n = 1; n < copy.size(); ++n) {
    BOOST_TEST_CONTEXT("cut at " << n) {
      Begin("/once/x", copy);
      target->Send(copy.substr(0, n) + StreamResponseHead("r2") + new_events);
      const std::string answer = caller->ReadMessage();
      BOOST_TEST(!Contains(answer, "old"));
      BOOST_TEST((Contains(answer, "HTTP/1.1 502 ") ||
                  Contains(answer, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")),
                 answer);
      CheckNoEvidence();
      Forget();
    }
  }
}

// The same for a copy that comes early: after the answer it copies, before the
// next request is sent.
BOOST_FIXTURE_TEST_CASE(CutCopiesThatComeEarlyAreNoAnswer, CutCopiesFixture) {
  const std::string copy = SignedResponse("r1", kOldBody);
  for (size_t n = 1; n < copy.size(); n += 7) {
    BOOST_TEST_CONTEXT("cut at " << n) {
      caller.emplace(Connect());
      caller->Send(
          RequestHead("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n"));
      target.emplace(first().Accept());
      target->ReadMessage();
      target->Send(copy + copy.substr(0, n));
      BOOST_TEST(Contains(caller->ReadMessage(), kOldBody));
      caller->Send(
          RequestHead("POST", "/unsafe/x", "r2", "Content-Length: 0\r\n"));
      TestConnection opened = first().Accept();
      opened.ReadMessage();
      opened.Send(SignedResponse("r2", kNewBody));
      CheckAnswer(caller->ReadMessage());
      Forget();
    }
  }
}

}  // namespace endiveyard
