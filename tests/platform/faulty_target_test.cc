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

// Guards against a resumed stream that leaves out events: a damaged event id
// was taken for that of the last event the caller has, and so were sound events
// that arrived together with it. Fails in the same way for an event that is too
// long.
BOOST_FIXTURE_TEST_CASE(StreamsAreResumedAfterTheLastForwardedEvent,
                        RelayFixture) {
  const std::string sound = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  const struct {
    const char* fault;
    std::string bytes;
  } cases[] = {
      {"id too high", "id: 9\ndata: c\n\nid: 10\ndata: d\n\n"},
      {"id too low", "id: 1\ndata: c\n\n"},
      {"id that is no number", "id: x\ndata: c\n\nid: 4\ndata: d\n\n"},
      {"number with a rest", "id: 3x\ndata: c\n\nid: 4\ndata: d\n\n"},
      {"event too long", "id: 3\ndata: " + std::string(131072, 'x')},
  };
  for (const auto& it : cases) {
    BOOST_TEST_CONTEXT(it.fault) {
      TestConnection caller = Connect();
      caller.Send(
          RequestHead("POST", "/stream/x", "r1", "Content-Length: 0\r\n"));
      TestConnection target = first().Accept();
      target.ReadMessage();
      // The relay may close the connection before it has read all of it.
      target.TrySend(StreamResponseHead("r1") + EncodeChunk(sound + it.bytes));
      TestConnection other = second().Accept();
      BOOST_TEST(Contains(other.ReadMessage(), "Last-Event-Id: 2\r\n"));
      other.Send(StreamResponseHead("r1") +
                 EncodeChunk("id: 3\ndata: e\n\nid: 4\ndata: f\n\n") +
                 EncodeChunk(""));
      const std::string response = caller.ReadMessage();
      BOOST_TEST(Contains(response, sound));
      BOOST_TEST(Contains(response, "id: 3\ndata: e\n\nid: 4\ndata: f\n\n"));
      BOOST_TEST(!Contains(response, "data: c"));
      BOOST_TEST(!Contains(response, "data: d"));
    }
    // Forgets the failures, so that the first target is preferred again.
    RestartTargets();
  }
}

// Guards against an event that reaches the caller twice: the position in a
// stream is unknown after data without an id, so that it cannot be resumed.
BOOST_FIXTURE_TEST_CASE(StreamsAreNotResumedAfterEventsWithoutId,
                        RelayFixture) {
  for (const char* begin : {"id: 1\ndata: a\n\ndata: b\n\n", "data: a\n\n",
                            "data: a\n\nid: 2\ndata: b\n\n"}) {
    TestConnection caller = Connect();
    caller.Send(
        RequestHead("POST", "/stream/x", "r1", "Content-Length: 0\r\n"));
    TestConnection target = first().Accept();
    target.ReadMessage();
    target.Send(StreamResponseHead("r1") + EncodeChunk(begin));
    caller.ReadUntil(begin);
    target.Reset();
    BOOST_TEST(!Contains(caller.ReadUntilClose(), "0\r\n\r\n"));
    BOOST_TEST(!second().HasConnectionWithin(0));
    RestartTargets();
  }
}

// Guards against 'not run' for a request that a target runs: on a connection
// that is out of step, as a response to another request has shown, a refusal
// without an id may belong to any request.
BOOST_FIXTURE_TEST_CASE(ResponsesWithoutIdAreNotAcceptedAfterSkippedOnes,
                        RelayFixture) {
  UseOneTarget();
  const std::string refusal =
      "Endiveyard-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  const std::string response = ResponseTo(
      this, RequestHead("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n"),
      [&](TestConnection& target) {
        target.Send(
            "HTTP/1.1 503 Service Unavailable\r\nEndiveyard-Request-Id: r0"
            "\r\n" +
            refusal + "HTTP/1.1 503 Service Unavailable\r\n" + refusal);
      });
  BOOST_TEST(Contains(response, "HTTP/1.1 502 "));
}

// Guards against a late copy of a response that is taken for that to a request
// without an id, to which no response can be matched.
BOOST_FIXTURE_TEST_CASE(CallsWithoutIdDoNotShareConnections, RelayFixture) {
  UseOneTarget();
  const std::string without_id =
      "GET /safe/x HTTP/1.1\r\nHost: h\r\nEndiveyard-Deadline-Ms: 7000\r\n\r\n";
  TestConnection caller = Connect();
  caller.Send(RequestHead("GET", "/safe/x", "r1"));
  TestConnection target = first().Accept();
  target.ReadMessage();
  target.Send(SignedResponse("r1", "one"));
  BOOST_TEST(Contains(caller.ReadMessage(), "\r\n\r\none"));
  caller.Send(without_id);
  TestConnection own_target = first().Accept();
  own_target.ReadMessage();
  target.Send(SignedResponse("r1", "one"));
  own_target.Send(SignedResponse("r2", "two"));
  BOOST_TEST(Contains(caller.ReadMessage(), "\r\n\r\ntwo"));
  // Nor is the connection used for later requests.
  BOOST_TEST(own_target.ReadUntilClose().empty());
}

// Guards against a response that a target cut off in its head and that reaches
// the caller as a success, empty or short, with the framing of a whole one.
BOOST_FIXTURE_TEST_CASE(ResponsesCutInTheHeadAreNotForwarded, RelayFixture) {
  UseOneTarget();
  const std::string head =
      "HTTP/1.1 200 OK\r\nEndiveyard-Request-Id: r1\r\n"
      "Endiveyard-Response-Signature: s\r\n";
  const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
  const std::string heads[] = {
      head + "Content-Length: 14\r\n\r\n",
      head + "Transfer-Encoding: chunked\r\n\r\n",
      head + "\r\n",
      interim + head + "Content-Length: 0\r\n\r\n",
  };
  for (const char* path : {"/unsafe/", "/once/", "/stream/", "/safe/"}) {
    for (const std::string& it : heads) {
      for (size_t n = 0; n < it.size(); ++n) {
        // Different requests, as those that lose their targets are refused.
        const std::string target_path =
            path + std::to_string(&it - heads) + "-" + std::to_string(n);
        const std::string response = ResponseTo(
            this,
            RequestHead("POST", target_path, "r1", "Content-Length: 0\r\n"),
            [&](TestConnection& target) {
              target.Send(it.substr(0, n));
              target.Close();
            });
        BOOST_TEST(Contains(response, "HTTP/1.1 502 "),
                   target_path << ": " << response);
      }
    }
  }
}

// Guards against a success that ends with its connection right after the head:
// the target may have stopped there, so an empty body is not taken for whole.
BOOST_FIXTURE_TEST_CASE(UnframedSuccessesWithoutBodyAreIncomplete,
                        RelayFixture) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nEndiveyard-Request-Id: r1\r\n"
      "Endiveyard-Response-Signature: s\r\n\r\n";
  const std::string response = ResponseTo(
      this, RequestHead("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n"),
      [&](TestConnection& target) {
        target.Send(head);
        target.Close();
      });
  BOOST_TEST(Contains(response, "HTTP/1.1 502 "));
  RestartTargets();
  const std::string retried = ResponseTo(
      this, RequestHead("GET", "/safe/x", "r1"), [&](TestConnection& target) {
        target.Send(head);
        target.Close();
        TestConnection other = second().Accept();
        other.ReadMessage();
        other.Send(SignedResponse("r1", "ok"));
      });
  BOOST_TEST(Contains(retried, "\r\n\r\nok"));
}

// Guards against a head that is made up of two: the beginning of an earlier
// response, sent once more and cut off, and the response itself. A request that
// has run counted as refused by the status and headers of the former, and a
// failure as a success.
BOOST_FIXTURE_TEST_CASE(CopiesCutOffBeforeAResponseAreNotItsHead,
                        RelayFixture) {
  UseOneTarget();
  const std::string unrun = "Endiveyard-Not-Executed: 1\r\nRetry-After: 1\r\n";
  const std::string id = "Endiveyard-Request-Id: r1\r\n";
  const std::string end = "Content-Length: 0\r\n\r\n";
  const struct {
    std::string copy;
    std::string response;
    const char* wrong_status;
  } cases[] = {
      {"HTTP/1.1 503 Service Unavailable\r\n" + unrun + id + end,
       SignedResponse("r2", "ok"), "HTTP/1.1 503 "},
      {"HTTP/1.1 421 Misdirected Request\r\n" + id + unrun + end,
       SignedResponse("r2", "ok"), "HTTP/1.1 503 "},
      {"HTTP/1.1 200 OK\r\nEndiveyard-Response-Signature: s\r\n" + id + end,
       SignedResponse("r2", "no", "500 Internal Server Error"),
       "HTTP/1.1 200 "},
  };
  for (const auto& it : cases) {
    for (size_t n = 1; n < it.copy.size(); ++n) {
      TestConnection caller = Connect();
      caller.Send(
          RequestHead("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n"));
      TestConnection target = first().Accept();
      target.ReadMessage();
      target.Send(SignedResponse("r1", "first"));
      caller.ReadMessage();
      caller.Send(
          RequestHead("POST", "/unsafe/x", "r2", "Content-Length: 0\r\n"));
      target.ReadMessage();
      target.Send(it.copy.substr(0, n) + it.response);
      const std::string response = caller.ReadMessage();
      BOOST_TEST(!Contains(response, it.wrong_status),
                 "after: " << it.copy.substr(0, n));
      RestartTargets();
      UseOneTarget();
    }
  }
}

// Guards against a replica that is registered wrongly and draws the requests of
// all callers, since it turns them away at once and counted as idle and sound.
BOOST_FIXTURE_TEST_CASE(MisdirectedCallsAreFailuresOfTheReplica, RelayFixture) {
  const auto failure_rate = [this](const std::string& id) {
    double rate = 0;
    RunOnRelayThread([&](RoutingState& routing_state) {
      rate = relay()
                 .placer()
                 ->LoadOf(*routing_state.replicas.Find(id))
                 .FailureRate(BootClock::now());
    });
    return rate;
  };
  const auto refusal = [](const std::string& id, const std::string& status) {
    return "HTTP/1.1 " + status + "\r\nEndiveyard-Request-Id: " + id +
           "\r\nEndiveyard-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  };
  UseOneTarget();
  TestConnection caller = Connect();
  caller.Send(RequestHead("GET", "/safe/x", "r1"));
  TestConnection target = first().Accept();
  target.ReadMessage();
  target.Send(refusal("r1", "503 Service Unavailable"));
  BOOST_TEST(Contains(caller.ReadMessage(), "HTTP/1.1 503 "));
  BOOST_TEST(failure_rate("t1") == 0);
  caller.Send(RequestHead("GET", "/safe/x", "r2"));
  target.ReadMessage();
  target.Send(refusal("r2", "421 Misdirected Request"));
  BOOST_TEST(Contains(caller.ReadMessage(), "HTTP/1.1 503 "));
  BOOST_TEST(failure_rate("t1") > 0);

  UseDisaggregatedTargets();
  caller.Send(RequestHead("POST", "/stream/x", "r3",
                          "Content-Length: 0\r\n"
                          "Endiveyard-Token-Count: 6000,20\r\n"
                          "Endiveyard-Prompt-Prefix: a1:4000,b2:2000\r\n"));
  TestConnection prefill = second().Accept();
  prefill.ReadMessage();
  prefill.Send(refusal("r3", "421 Misdirected Request"));
  target.ReadMessage();
  BOOST_TEST(failure_rate("p1") > 0);
}

}  // namespace endiveyard
