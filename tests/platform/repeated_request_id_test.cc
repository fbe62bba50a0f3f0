#include <memory>
#include <string>

#include <boost/test/unit_test.hpp>

#include "relay_fixture.h"

// What callers get when a target sends a response once more after a request
// with the same id has followed it.
namespace endiveyard {
namespace {

const char kPromptHeaders[] =
    "Content-Length: 0\r\nEndiveyard-Token-Count: 6000,20\r\n"
    "Endiveyard-Prompt-Prefix: a1:4000,b2:2000\r\n";

std::string Refusal(const std::string& status) {
  return "HTTP/1.1 " + status +
         "\r\nEndiveyard-Request-Id: r1\r\nEndiveyard-Not-Executed: 1\r\n"
         "Content-Length: 0\r\n\r\n";
}

std::string PrefillResponse(const std::string& handle) {
  const std::string body =
      "{\"kv_handle\":\"" + handle + "\",\"tokens\":6000,\"version\":1}";
  return "HTTP/1.1 200 OK\r\nEndiveyard-Request-Id: r1\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string WholeStream(const std::string& events) {
  return StreamResponseHead("r1") + EncodeChunk(events) + EncodeChunk("");
}

// Waits for the next request at `target` and sends `copy` on `kept`, where an
// earlier response was sent. Only then responds to the request. Returns the
// request.
std::string RespondAfterCopy(TestTarget* target,
                             TestConnection* kept,
                             const std::string& copy,
                             const std::string& response) {
  const std::unique_ptr<TestConnection> opened = target->AcceptUnlessUsed(kept);
  TestConnection& used = opened ? *opened : *kept;
  std::string request = used.ReadMessage();
  kept->Send(copy);
  used.Send(response);
  return request;
}

// Adds a registration of the replica `id` under another id.
void RegisterAgain(RelayFixture* fixture, const std::string& id) {
  fixture->RunOnRelayThread([&id](RoutingState& routing_state) {
    Replica replica = *routing_state.replicas.Find(id);
    replica.id += "-again";
    routing_state.replicas.Put(replica);
  });
}

// Moves the prefill engine to the address of the decode engines.
void MovePrefillEngine(RelayFixture* fixture) {
  fixture->UseDisaggregatedTargets();
  fixture->RunOnRelayThread([fixture](RoutingState& routing_state) {
    Replica replica = *routing_state.replicas.Find("p1");
    replica.port = fixture->first().port();
    routing_state.replicas.Put(replica);
  });
}

}  // namespace

// Guards against 'not run' for a request that a target runs: a caller sends an
// id again after a refusal, and the refusal arrives once more.
BOOST_FIXTURE_TEST_CASE(CopiedRefusalsDoNotCountForAnIdSentAgain,
                        RelayFixture) {
  UseOneTarget();
  for (const char* status : {"503 Service Unavailable", "429 Too Many Requests",
                             "421 Misdirected Request", "400 Bad Request"}) {
    BOOST_TEST_CONTEXT(status) {
      const std::string request =
          RequestHead("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n");
      TestConnection caller = Connect();
      caller.Send(request);
      TestConnection target = first().Accept();
      target.ReadMessage();
      target.Send(Refusal(status));
      BOOST_TEST(Contains(caller.ReadMessage(), "HTTP/1.1 503 "));
      TestConnection other_caller = Connect();
      other_caller.Send(request);
      RespondAfterCopy(&first(), &target, Refusal(status),
                       SignedResponse("r1", "ok"));
      BOOST_TEST(Contains(other_caller.ReadMessage(), "\r\n\r\nok"));
    }
    RestartTargets();
    UseOneTarget();
  }
}

// Guards against a request that is sent on while a target runs it: the replica
// that has followed another one at its address refuses the call to that one,
// gets the request under its own id, and the refusal arrives once more.
BOOST_FIXTURE_TEST_CASE(CopiedRefusalsDoNotCountForTheNextReplicaAtAnAddress,
                        RelayFixture) {
  UseOneTarget();
  RegisterAgain(this, "t1");
  TestConnection caller = Connect();
  caller.Send(RequestHead("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n"));
  TestConnection target = first().Accept();
  target.ReadMessage();
  const std::string refusal = Refusal("421 Misdirected Request");
  target.Send(refusal);
  RespondAfterCopy(&first(), &target, refusal, SignedResponse("r1", "ok"));
  BOOST_TEST(Contains(caller.ReadMessage(), "\r\n\r\nok"));
}

// Guards against a resumed stream that is resumed once more while its second
// replica sends the rest: that replica's refusal under another id arrives once
// more.
BOOST_FIXTURE_TEST_CASE(CopiedRefusalsDoNotEndAResumedStream, RelayFixture) {
  RegisterAgain(this, "t2");
  TestConnection caller = Connect();
  caller.Send(RequestHead("POST", "/stream/x", "r1", "Content-Length: 0\r\n"));
  TestConnection broken = first().Accept();
  broken.ReadMessage();
  broken.Send(StreamResponseHead("r1") + EncodeChunk("id: 1\ndata: a\n\n"));
  caller.ReadUntil("data: a\n\n");
  broken.Reset();
  TestConnection target = second().Accept();
  target.ReadMessage();
  const std::string refusal = Refusal("421 Misdirected Request");
  target.Send(refusal);
  RespondAfterCopy(&second(), &target, refusal,
                   WholeStream("id: 2\ndata: b\n\n"));
  const std::string rest = caller.ReadUntil("0\r\n\r\n");
  BOOST_TEST(Contains(rest, "id: 2\ndata: b\n\n"));
}

// Guards against a run that counts as refused because the refusal of its
// prefill call, at the same address, arrives once more.
BOOST_FIXTURE_TEST_CASE(CopiedRefusalsOfPrefillCallsDoNotCountForTheRun,
                        RelayFixture) {
  MovePrefillEngine(this);
  TestConnection caller = Connect();
  caller.Send(RequestHead("POST", "/once/x", "r1", kPromptHeaders));
  TestConnection target = first().Accept();
  BOOST_TEST(Contains(target.ReadMessage(), "Endiveyard-Stage: prefill"));
  const std::string refusal = Refusal("503 Service Unavailable");
  target.Send(refusal);
  RespondAfterCopy(&first(), &target, refusal,
                   WholeStream("id: 1\ndata: a\n\n"));
  BOOST_TEST(Contains(caller.ReadMessage(), "id: 1\ndata: a\n\n"));
  // The other decode engine, at the same address, got no second run.
  BOOST_TEST(!target.IsClosedWithin(0));
  BOOST_TEST(!first().HasConnectionWithin(0));
}

// Guards against a run whose response is taken to be the handle that its
// prefill call, at the same address, has returned: the run fails and goes on
// unwatched.
BOOST_FIXTURE_TEST_CASE(CopiedPrefillResponsesDoNotEndTheRun, RelayFixture) {
  MovePrefillEngine(this);
  TestConnection caller = Connect();
  caller.Send(RequestHead("POST", "/once/x", "r1", kPromptHeaders));
  TestConnection target = first().Accept();
  BOOST_TEST(Contains(target.ReadMessage(), "Endiveyard-Stage: prefill"));
  target.Send(PrefillResponse("h1"));
  RespondAfterCopy(&first(), &target, PrefillResponse("h1"),
                   WholeStream("id: 1\ndata: a\n\n"));
  BOOST_TEST(Contains(caller.ReadMessage(), "id: 1\ndata: a\n\n"));
}

// Guards against a handle that a run has used before: the second prefill call
// of a request, at the same engine, is taken to return the handle of the first.
BOOST_FIXTURE_TEST_CASE(CopiedPrefillResponsesDoNotReturnAUsedHandle,
                        RelayFixture) {
  UseDisaggregatedTargets();
  TestConnection caller = Connect();
  caller.Send(RequestHead("POST", "/stream/x", "r1", kPromptHeaders));
  TestConnection prefill = second().Accept();
  prefill.ReadMessage();
  prefill.Send(PrefillResponse("h1"));
  TestConnection broken = first().Accept();
  BOOST_TEST(Contains(broken.ReadMessage(), "/h1\r\n"));
  broken.Send(StreamResponseHead("r1") + EncodeChunk("id: 1\ndata: a\n\n"));
  caller.ReadUntil("data: a\n\n");
  broken.Reset();
  const std::string request = RespondAfterCopy(
      &second(), &prefill, PrefillResponse("h1"), PrefillResponse("h2"));
  BOOST_TEST(Contains(request, "Endiveyard-Stage: prefill"));
  TestConnection resumed = first().Accept();
  BOOST_TEST(Contains(resumed.ReadMessage(), "/h2\r\n"));
  resumed.Send(WholeStream("id: 2\ndata: b\n\n"));
  BOOST_TEST(Contains(caller.ReadUntil("0\r\n\r\n"), "id: 2\ndata: b\n\n"));
}

}  // namespace endiveyard
