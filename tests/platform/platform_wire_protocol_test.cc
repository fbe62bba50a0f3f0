#include "platform/platform_wire_protocol.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>
#include <string>

namespace endiveyard::platform {
namespace {

std::string HeaderValue(const HeaderList& headers, const std::string& name) {
  std::string found;
  for (const auto& [key, value] : headers) {
    if (key == name) {
      BOOST_TEST(found.empty(), "duplicate header " << name);
      found = value;
    }
  }
  return found;
}

}  // namespace

BOOST_AUTO_TEST_CASE(RequestMetadataIsDecoded) {
  const PlatformWireProtocol protocol;
  const RequestMetadata metadata = protocol.DecodeRequest(
      {{"endiveyard-request-id", "9c41"},
       {"Endiveyard-Deadline-Ms", "1500"},
       {"Endiveyard-Token-Count", "1460,80"},
       {"Endiveyard-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
       {"Last-Event-Id", "12"}});
  BOOST_TEST(metadata.request_id == "9c41");
  BOOST_TEST(
      (*metadata.time_left == Duration(std::chrono::milliseconds(1500))));
  BOOST_REQUIRE(metadata.prompt);
  BOOST_TEST(metadata.prompt->prompt_tokens == 1460);
  BOOST_TEST(metadata.prompt->max_output_tokens == 80);
  BOOST_REQUIRE_EQUAL(metadata.prompt->parts.size(), 3u);
  BOOST_TEST(metadata.prompt->parts[0].id == 0x5c1e07a2u);
  BOOST_TEST(metadata.prompt->parts[2].tokens == 250);
  BOOST_TEST(*metadata.last_event_id == 12);
  BOOST_TEST(metadata.resumed_request_id.empty());
  const RequestMetadata empty = protocol.DecodeRequest({});
  BOOST_TEST(!empty.prompt);
  BOOST_TEST(!empty.time_left);
}

// Guards against parts that are ignored behind many others (review/14).
BOOST_AUTO_TEST_CASE(AllPartsOfAPromptAreDecoded) {
  constexpr size_t kParts = 1300;
  std::string text;
  for (size_t n = 1; n <= kParts; ++n) {
    text += (n > 1 ? "," : "") + std::to_string(n) + ":20";
  }
  const RequestMetadata metadata = PlatformWireProtocol().DecodeRequest(
      {{"Endiveyard-Token-Count", "26000,80"},
       {"Endiveyard-Prompt-Prefix", text}});
  BOOST_REQUIRE(metadata.prompt);
  BOOST_TEST(metadata.prompt->parts.size() == kMaxPlacedParts);
  const std::vector<uint64_t> shared = SharedPartIds(*metadata.prompt);
  BOOST_REQUIRE_EQUAL(shared.size(), kParts - 1);
  BOOST_TEST(shared.back() == 0x1299u);
}

// Guards against a stream that is taken up as the continuation of another one:
// headers that name several are as good as none.
BOOST_AUTO_TEST_CASE(ResumedRequestIsDecoded) {
  const PlatformWireProtocol protocol;
  const auto resumed = [&protocol](const HeaderList& headers) {
    return protocol.DecodeRequest(headers).resumed_request_id;
  };
  BOOST_TEST(resumed({{"resumes", "9c41"}}) == "9c41");
  BOOST_TEST(resumed({{"Resumes", "9c41"}, {"Resumes", "9c41"}}) == "9c41");
  BOOST_TEST(resumed({{"Resumes", "9c41"}, {"Resumes", "9c42"}}).empty());
  BOOST_TEST(resumed({{"Resumes", ""}}).empty());
}

// Guards against callers that control targets by sending the headers that only
// endiveyard may set.
BOOST_AUTO_TEST_CASE(InternalHeadersOfCallersAreRemoved) {
  const PlatformWireProtocol protocol;
  CallHeaders call;
  call.expected_replica_id = "i-1";
  call.time_left = std::chrono::milliseconds(900);
  call.priority = 2;
  const HeaderList encoded =
      protocol.EncodeCall({{"Host", "h"},
                           {"Endiveyard-Request-Id", "9c41"},
                           {"Endiveyard-Model", "m"},
                           {"ENDIVEYARD-KV-SOURCE", "10.0.0.1:1/x"},
                           {"Endiveyard-Kv-Hold", "x"},
                           {"Endiveyard-Kv-Backup", "10.0.0.1:1"},
                           {"Endiveyard-Pin-Ms", "4000"},
                           {"Endiveyard-Stage", "prefill"},
                           {"Endiveyard-Expect-Version", "3"},
                           {"Endiveyard-Expect-Instance", "i-9"},
                           {"Endiveyard-Request-Priority", "0"},
                           {"Endiveyard-Deadline-Ms", "99999"},
                           {"Kv-Fetch", "10.0.0.1:1"}},
                          call);
  BOOST_TEST(HeaderValue(encoded, "Host") == "h");
  BOOST_TEST(HeaderValue(encoded, "Endiveyard-Request-Id") == "9c41");
  BOOST_TEST(HeaderValue(encoded, "Endiveyard-Model") == "m");
  BOOST_TEST(HeaderValue(encoded, "Endiveyard-Deadline-Ms") == "900");
  BOOST_TEST(HeaderValue(encoded, "Endiveyard-Expect-Instance") == "i-1");
  BOOST_TEST(HeaderValue(encoded, "Endiveyard-Request-Priority") == "2");
  BOOST_TEST(encoded.size() == 6u);
}

// Guards against cached parts that are not copied, or that are copied from an
// address that the caller chose.
BOOST_AUTO_TEST_CASE(CacheSourceOverridesTheCallersHeader) {
  const PlatformWireProtocol protocol;
  CallHeaders call;
  call.expected_replica_id = "i-1";
  call.cache_source = "10.1.64.9:8080";
  const HeaderList encoded =
      protocol.EncodeCall({{"Kv-Fetch", "10.0.0.1:1"}}, call);
  BOOST_TEST(HeaderValue(encoded, "Kv-Fetch") == "10.1.64.9:8080");
}

// Guards against a fourth figure that is not plausible taking effect, and
// against one that cannot be read making the first three unreadable.
BOOST_AUTO_TEST_CASE(RelativeDurationIsDecoded) {
  const auto load = [](const std::string& text) {
    const auto decoded = PlatformWireProtocol().DecodeResponse(
        200, {{"Endiveyard-Replica-Load", text}});
    BOOST_REQUIRE(decoded.load.has_value());
    return *decoded.load;
  };
  BOOST_TEST((load("3,1,8,250") == ReportedLoad{3, 1, 8, 2.5}));
  BOOST_TEST((load("3,1,8, 70 ") == ReportedLoad{3, 1, 8, 0.7}));
  BOOST_TEST((load("3,1,8,10") == ReportedLoad{3, 1, 8, 0.1}));
  BOOST_TEST((load("3,1,8,2000,9") == ReportedLoad{3, 1, 8, 20.0}));
  for (const char* it :
       {"3,1,8", "3,1,8,", "3,1,8,x", "3,1,8,0", "3,1,8,-170", "3,1,8,9",
        "3,1,8,2001", "3,1,8,nan", "3,1,8,inf", "3,1,8,1e2", "3,1,8,170%",
        "3,1,8, ", "3,1,8,,170", "3,1,8,99999999999999999999999"}) {
    BOOST_TEST((load(it) == ReportedLoad{3, 1, 8, std::nullopt}), it);
  }
}

// Guards against a response that states that the request did not run being
// taken for one that ran it, and the reverse.
BOOST_AUTO_TEST_CASE(ResponseMetadataIsDecoded) {
  const PlatformWireProtocol protocol;
  BOOST_TEST(
      protocol.DecodeResponse(503, {{"Endiveyard-Not-Executed", "1"}}).not_run);
  BOOST_TEST(protocol.DecodeResponse(421, {}).not_run);
  BOOST_TEST(!protocol.DecodeResponse(503, {}).not_run);
  for (const int status : {408, 421, 429, 503}) {
    BOOST_TEST(protocol.DecodeResponse(status, {}).reads_as_not_run);
  }
  for (const int status : {200, 400, 404, 500, 502, 504}) {
    BOOST_TEST(!protocol.DecodeResponse(status, {}).reads_as_not_run);
  }
  BOOST_TEST(!protocol.DecodeResponse(200, {}).signed_by_target);
  const ResponseMetadata metadata = protocol.DecodeResponse(
      200, {{"Endiveyard-Response-Signature", "3e1b"},
            {"Endiveyard-Replica-Load", "3,1,8"},
            {"Content-Type", "text/event-stream; charset=utf-8"}});
  BOOST_TEST(metadata.signed_by_target);
  BOOST_TEST((*metadata.load == ReportedLoad{3, 1, 8, std::nullopt}));
  BOOST_TEST(protocol.DecodeResponse(200, {{"Content-Encoding", "gzip"}})
                 .has_content_encoding);
  BOOST_TEST(!protocol.DecodeResponse(200, {{"Endiveyard-Replica-Load", "x"}})
                  .load.has_value());
  const auto limit = [&protocol](const std::string& text) {
    return protocol.DecodeResponse(200, {{"server-limit", text}})
        .requests_per_second;
  };
  BOOST_TEST(limit("4.6").value() == 4.6);
  BOOST_TEST(limit("0").value() == 0);
  for (const char* it : {"", "x", "-1", "4.6/s", "inf", "nan", "1e3"}) {
    BOOST_TEST(!limit(it), it);
    BOOST_TEST(protocol.DecodeResponse(200, {{"Server-Limit", it}})
                   .has_invalid_rate_limit);
  }
}

BOOST_AUTO_TEST_CASE(KvHandlesAreDecodedAndReleased) {
  const PlatformWireProtocol protocol;
  const auto kv = protocol.DecodeKvHandle(
      R"({"kv_handle":"3fa09c41b7d5","tokens":1460,"version":1})");
  BOOST_REQUIRE(kv);
  BOOST_TEST(kv->handle == "3fa09c41b7d5");
  BOOST_TEST(!protocol.DecodeKvHandle("{}"));
  BOOST_TEST(!protocol.DecodeKvHandle("{\"kv_handle\":7}"));
  BOOST_TEST(!protocol.DecodeKvHandle("<html>"));
  BOOST_TEST(protocol.ReleaseKvCall("3f").second == "/kv-handle/3f");
  BOOST_TEST(
      protocol.RetryAfterHeader(std::chrono::milliseconds(1250)).second ==
      "1.25");
}

BOOST_AUTO_TEST_CASE(EraOfTheRegistryIsDecoded) {
  BOOST_TEST(DecodeRegistryEra({{"store-era", "3"}}) == 3);
  BOOST_TEST(DecodeRegistryEra({{"Store-Era", "-1"}}) == 0);
  BOOST_TEST(DecodeRegistryEra({{"Store-Era", "x"}}) == 0);
  BOOST_TEST(DecodeRegistryEra({{"Store-Era", "99999999999999999999"}}) == 0);
  BOOST_TEST(DecodeRegistryEra({}) == 0);
}

// Guards against pauses that are read from anything but seconds in a rejection.
BOOST_AUTO_TEST_CASE(PausesAreDecoded) {
  const PlatformWireProtocol protocol;
  const auto pause = [&](const std::string& value, int status = 503) {
    return protocol.DecodeResponse(status, {{"retry-after", value}}).pause;
  };
  BOOST_TEST((pause("2") == std::chrono::seconds(2)));
  BOOST_TEST((pause("0.25") == std::chrono::milliseconds(250)));
  BOOST_TEST((pause("0") == Duration(0)));
  BOOST_TEST((pause("1" + std::string(30, '0')) == std::chrono::hours(24)));
  for (const char* value : {"", "-1", "1s", "x", "inf", "nan", "1e3",
                            "Sat, 05 Dec 2026 08:00:00 GMT"}) {
    BOOST_TEST(!pause(value).has_value(), value);
    BOOST_TEST(!protocol.DecodeResponse(503, {{"Retry-After", value}})
                    .invalid_header.empty(),
               value);
  }
  BOOST_TEST(!pause("2", 429).has_value());
  const auto twice = protocol.DecodeResponse(
      503, {{"Retry-After", "1"}, {"Retry-After", "3"}, {"Retry-After", "x"}});
  BOOST_TEST((twice.pause == std::chrono::seconds(3)));
}

// Guards against answers to probes that count for a replica although they do
// not come from it, or may not.
BOOST_AUTO_TEST_CASE(ProbeAnswersCountForTheirReplicaOnly) {
  using Outcome = SurvivalProbeOutcome;
  const PlatformWireProtocol protocol;
  Replica replica;
  replica.id = "i-1";
  replica.started_unix_ms = 7;
  const HeaderList own = {{"Endiveyard-Replica-Id", "i-1"}};
  const HeaderList other = {{"Endiveyard-Replica-Id", "i-2"}};
  const HeaderList refusal = {{"Endiveyard-Not-Executed", "1"}};
  const struct {
    int status;
    HeaderList headers;
    const char* body;
    Outcome outcome;
  } cases[] = {
      {200, own, "", Outcome::kSameId},
      {503, own, "", Outcome::kSameId},
      {503, refusal, "", Outcome::kSameId},
      {200, {}, R"({"stage":"decode","born":7})", Outcome::kAnswered},
      {200, {}, R"({"stage":"decode"})", Outcome::kSameId},
      {200, {}, R"({"stage":"decode","born":8})", Outcome::kOtherReplica},
      {200, other, "", Outcome::kOtherReplica},
      {421, {}, "", Outcome::kOtherReplica},
      {421, own, "", Outcome::kOtherReplica},
      {200, {}, R"({"stage":"dec)", Outcome::kFailed},
      {200, {}, "", Outcome::kFailed},
      {404, {}, "", Outcome::kFailed},
      {502, {}, R"({"stage":"decode"})", Outcome::kFailed},
      {503, {}, "", Outcome::kFailed},
  };
  for (const auto& it : cases) {
    BOOST_TEST_CONTEXT(it.status << " " << it.body) {
      BOOST_TEST((protocol.DecodeProbeAnswer(replica, it.status, it.headers,
                                             it.body) == it.outcome));
    }
  }
  const HeaderList probe = protocol.EncodeProbe(replica);
  BOOST_TEST(
      (std::find(probe.begin(), probe.end(),
                 std::pair<std::string, std::string>(
                     "Endiveyard-Expect-Instance", "i-1")) != probe.end()));
}

}  // namespace endiveyard::platform
