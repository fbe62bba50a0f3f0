#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>

#include "gateway_fixture.h"

namespace endiveyard {
namespace {

constexpr int kTokens = 12;

std::string CompletionBody(const std::string& prompt, bool stream) {
  return R"({"model":"setola-lm","prompt":")" + prompt + R"(","max_tokens":)" +
         std::to_string(kTokens) + R"(,"stream":)" +
         (stream ? "true}" : "false}");
}

std::string ExpectedText(const std::string& prompt) {
  std::string text;
  for (int i = 0; i < kTokens; ++i) {
    text += EngineStandin::TokenText(prompt, i);
  }
  return text;
}

// Text of a streamed answer: all values of "text" in order.
std::string StreamedText(const std::string& body) {
  constexpr std::string_view kField = "\"text\":\"";
  std::string text;
  for (size_t at = body.find(kField); at != std::string::npos;
       at = body.find(kField, at)) {
    at += kField.size();
    text += body.substr(at, body.find('"', at) - at);
  }
  return text;
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

struct EngineFaultCase {
  const char* name;
  EngineFaults faults;
};

std::vector<EngineFaultCase> EngineFaultCases() {
  std::vector<EngineFaultCase> cases(7);
  cases[0] = {"crash after 5 tokens", {}};
  cases[0].faults.crash_after_tokens = 5;
  cases[1] = {"crash before the first token", {}};
  cases[1].faults.crash_after_tokens = 0;
  cases[2] = {"stall after 3 tokens", {}};
  cases[2].faults.stall_after_tokens = 3;
  cases[3] = {"truncated after 4 tokens", {}};
  cases[3].faults.truncate_after_tokens = 4;
  cases[4] = {"index jumps after 2 tokens", {}};
  cases[4].faults.jump_after_tokens = 2;
  cases[5] = {"events of another request", {}};
  cases[5].faults.wrong_id = true;
  cases[6] = {"refuses as a leaving engine", {}};
  cases[6].faults.refuse = true;
  return cases;
}

}  // namespace

BOOST_AUTO_TEST_CASE(CompletionsAndChatAreAnswered) {
  GatewayFixture fixture(1);
  const CallerAnswer plain =
      fixture.Send("POST", "/v1/completions", CompletionBody("combs", false));
  BOOST_TEST(plain.status == 200);
  BOOST_TEST(Contains(plain.body, ExpectedText("combs")));
  BOOST_TEST(Contains(plain.body, "\"completion_tokens\":12"));
  const CallerAnswer streamed =
      fixture.Send("POST", "/v1/completions", CompletionBody("combs", true));
  BOOST_TEST(StreamedText(streamed.body) == ExpectedText("combs"));
  BOOST_TEST(Contains(streamed.body, "data: [DONE]"));
  const CallerAnswer chat =
      fixture.Send("POST", "/v1/chat/completions",
                   R"({"model":"setola-lm","max_tokens":2,)"
                   R"("messages":[{"role":"user","content":"combs"}]})");
  BOOST_TEST(chat.status == 200);
  BOOST_TEST(Contains(chat.body, "\"role\":\"assistant\""));
  BOOST_TEST(Contains(chat.body, EngineStandin::TokenText("user: combs\n", 1)));
}

// Guards against tokens lost or repeated when an engine fails: whichever
// engine is chosen first has the fault, the other one is sound.
BOOST_AUTO_TEST_CASE(StreamsResumeAfterEveryEngineFault) {
  for (const EngineFaultCase& it : EngineFaultCases()) {
    GatewayFixture fixture(2);
    fixture.engine(0).SetFaults(it.faults);
    for (int n = 0; n < 4; ++n) {
      const std::string prompt = "case " + std::to_string(n);
      const CallerAnswer answer =
          fixture.Send("POST", "/v1/completions", CompletionBody(prompt, true));
      BOOST_TEST(StreamedText(answer.body) == ExpectedText(prompt), it.name);
      BOOST_TEST(Contains(answer.body, "data: [DONE]"), it.name);
    }
  }
}

// Guards against a repeated event that reaches the caller twice.
BOOST_AUTO_TEST_CASE(RepeatedEventsAreDropped) {
  GatewayFixture fixture(1);
  EngineFaults faults;
  faults.repeat_after_tokens = 3;
  fixture.engine(0).SetFaults(faults);
  const CallerAnswer answer =
      fixture.Send("POST", "/v1/completions", CompletionBody("x", true));
  BOOST_TEST(StreamedText(answer.body) == ExpectedText("x"));
}

// Guards against a false "not run": the service ran the order and the answer
// was lost, so the outcome is unknown and nothing is sent again.
BOOST_AUTO_TEST_CASE(LostAnswerOfAnOrderIsUnknownAndRunsOnce) {
  GatewayFixture fixture(0);
  ServiceFaults faults;
  faults.lose_answers = 1;
  fixture.service().SetFaults(faults);
  const CallerAnswer answer =
      fixture.Send("POST", "/orders", R"({"n":1})", {"Idempotency-Key: k1"});
  BOOST_TEST(answer.status == 502, answer.body);
  BOOST_TEST(Contains(answer.body, "\"kind\":\"outcome_unknown\""));
  BOOST_TEST(Contains(answer.body, "\"run\":\"unknown\""));
  BOOST_TEST(fixture.service().executions() == 1);
}

// Guards against an order sent although its intent was not committed.
BOOST_AUTO_TEST_CASE(OrdersFollowTheirIntent) {
  struct Case {
    IntentState state;
    const char* kind;
    int64_t executions;
  };
  const Case cases[] = {
      {IntentState::kCommitted, "\"booking\":1", 1},
      {IntentState::kUnavailable, "\"kind\":\"object_api_unavailable\"", 0},
      {IntentState::kUnknown, "\"kind\":\"outcome_unknown\"", 0},
      {IntentState::kInProgress, "\"kind\":\"in_progress\"", 0},
      {IntentState::kKeyReused, "\"kind\":\"key_reused\"", 0},
  };
  for (const Case& it : cases) {
    GatewayFixture fixture(0);
    fixture.SetIntentState(it.state);
    const CallerAnswer answer =
        fixture.Send("POST", "/orders", "{}", {"Idempotency-Key: k"});
    BOOST_TEST(Contains(answer.body, it.kind), answer.body);
    BOOST_TEST(fixture.service().executions() == it.executions);
  }
}

// Guards against errors that are unclear, and against input that leaves the
// process unhealthy.
BOOST_AUTO_TEST_CASE(MalformedRequestsAreRefusedClearly) {
  struct Case {
    const char* method;
    const char* path;
    std::string body;
    std::vector<std::string> headers;
    int status;
    const char* kind;
  };
  const std::string good = CompletionBody("x", false);
  const std::vector<Case> cases = {
      {"POST", "/v1/completions", "{", {}, 400, "bad_request"},
      {"POST", "/v1/completions", "[]", {}, 400, "bad_request"},
      {"POST", "/v1/completions", R"({"model":5})", {}, 400, "bad_request"},
      {"POST",
       "/v1/completions",
       R"({"model":"setola-lm"})",
       {},
       400,
       "bad_request"},
      {"POST",
       "/v1/completions",
       R"({"model":"setola-lm","prompt":"x","max_tokens":0})",
       {},
       400,
       "bad_request"},
      {"POST",
       "/v1/completions",
       R"({"model":"setola-lm","prompt":"x","stream":"yes"})",
       {},
       400,
       "bad_request"},
      {"POST",
       "/v1/completions",
       R"({"model":"none","prompt":"x"})",
       {},
       404,
       "unknown_service"},
      {"GET", "/v1/completions", "", {}, 405, "method_not_allowed"},
      {"GET", "/orders", "", {}, 405, "method_not_allowed"},
      {"GET", "/nowhere", "", {}, 404, "unknown_service"},
      {"POST",
       "/v1/completions",
       good,
       {"Authorization: Bearer other"},
       401,
       "unauthorized"},
      {"POST",
       "/v1/completions",
       good,
       {"Authorization: Basic key"},
       401,
       "unauthorized"},
      {"POST",
       "/v1/completions",
       good,
       {"X-Deadline-Ms: soon"},
       400,
       "bad_request"},
      {"POST",
       "/v1/completions",
       good,
       {"X-Deadline-Ms: 0"},
       400,
       "bad_request"},
      {"POST", "/v1/completions", good, {"X-Priority: 10"}, 400, "bad_request"},
      {"POST",
       "/v1/completions",
       std::string(70000, 'x'),
       {},
       413,
       "body_too_large"},
      {"POST",
       "/v1/completions",
       good,
       {"X-Large: " + std::string(5000, 'x')},
       431,
       "headers_too_large"},
      {"POST",
       "/orders",
       "{}",
       {"Idempotency-Key: " + std::string(300, 'k')},
       400,
       "bad_request"},
  };
  GatewayFixture fixture(1);
  for (const Case& it : cases) {
    const CallerAnswer answer =
        fixture.Send(it.method, it.path, it.body, it.headers);
    BOOST_TEST(answer.status == it.status, answer.body);
    BOOST_TEST(
        Contains(answer.body, "\"kind\":\"" + std::string(it.kind) + "\""),
        answer.body);
    BOOST_TEST(Contains(answer.body, "\"run\":\"not_run\""), answer.body);
  }
  BOOST_TEST(fixture.service().executions() == 0);
  BOOST_TEST(fixture.Send("GET", "/healthz", "").status == 200);
  BOOST_TEST(fixture.Send("POST", "/v1/completions", CompletionBody("x", false))
                 .status == 200);
}

// Guards against a body that the listener misreads: a malformed chunk header
// reaches it as an empty body, and a negative length as a huge one.
BOOST_AUTO_TEST_CASE(UntrustworthyBodiesNeverReachAService) {
  GatewayFixture fixture(0);
  const std::string head =
      "POST /orders HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\n";
  BOOST_TEST(Contains(
      fixture.SendRaw(head + "Transfer-Encoding: chunked\r\n\r\nZZ\r\n"),
      "length_required"));
  BOOST_TEST(Contains(fixture.SendRaw(head + "Content-Length: -5\r\n\r\n"),
                      "not_run"));
  // A body that ends early.
  const std::string cut =
      fixture.SendRaw(head + "Content-Length: 50\r\n\r\n{\"n\":1}");
  BOOST_TEST((cut.empty() || Contains(cut, "bad_request")), cut);
  BOOST_TEST(fixture.service().executions() == 0);
}

// Guards against requests cut by a graceful shutdown.
BOOST_AUTO_TEST_CASE(ShutdownFinishesOpenStreams) {
  GatewayFixture fixture(1);
  CallerAnswer answer;
  std::thread caller([&] {
    answer = fixture.Send("POST", "/v1/completions",
                          R"({"model":"setola-lm","prompt":"long",)"
                          R"("max_tokens":200,"stream":true})");
  });
  // The engine has the request, so a refusal would not be truthful.
  while (fixture.engine(0).stats().started == 0) {
    std::this_thread::yield();
  }
  BOOST_TEST(fixture.gateway().Shutdown(std::chrono::seconds(20)) == 0);
  caller.join();
  BOOST_TEST(Contains(answer.body, "data: [DONE]"), answer.body);
  BOOST_TEST(Contains(answer.body, "\"completion_tokens\":200"));
}

}  // namespace endiveyard
