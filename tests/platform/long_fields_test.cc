#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "endiveyard/placement/service_map.h"
#include "relay_fixture.h"

// What fields of any length do, where a peer sends them.
namespace endiveyard {
namespace {

// From this length on, Beast's own container for fields throws an exception.
constexpr size_t kBeastLimit = 65534;

// Fields of a request and of an answer around the limits of both.
std::vector<std::pair<std::string, std::string>> LongFields() {
  std::vector<std::pair<std::string, std::string>> fields;
  for (const size_t n : {kBeastLimit - 1, kBeastLimit, kBeastLimit + 2,
                         size_t{70000}, size_t{90000}}) {
    fields.emplace_back("X-Long", std::string(n, 'v'));
    fields.emplace_back(std::string(n, 'n'), "v");
  }
  return fields;
}

std::string LineOf(const std::pair<std::string, std::string>& field) {
  return field.first + ": " + field.second + "\r\n";
}

std::string ChunkedRequest(const std::string& id, const std::string& trailers) {
  return RequestHead("POST", "/unsafe/x", id,
                     "Transfer-Encoding: chunked\r\n") +
         EncodeChunk("abc") + "0\r\n" + trailers + "\r\n";
}

// A request on a connection of its own is served.
bool IsServing(RelayFixture* fixture) {
  TestConnection caller = fixture->Connect();
  caller.Send(RequestHead("GET", "/safe/x", "alive"));
  TestConnection target = fixture->first().Accept();
  target.ReadMessage();
  target.Send(SignedResponse("alive", "yes"));
  return Contains(caller.ReadMessage(), "HTTP/1.1 200 ");
}

void SetHeaderLimit(RelayFixture* fixture, uint32_t bytes) {
  fixture->RunOnRelayThread([bytes](RoutingState& state) {
    auto map = std::make_shared<ServiceMap>(*state.service_map);
    map->limits.max_header_bytes = bytes;
    state.service_map = std::move(map);
  });
}

}  // namespace

// Guards against a process that ends at a long trailer of one answer, and all
// connections of other callers with it (review/11).
BOOST_FIXTURE_TEST_CASE(LongTrailersOfResponsesEndOnlyTheirCall, RelayFixture) {
  UseOneTarget();
  for (const auto& field : LongFields()) {
    BOOST_TEST_CONTEXT(field.first.size() << ": " << field.second.size()) {
      TestConnection caller = Connect();
      caller.Send(
          RequestHead("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n"));
      TestConnection target = first().Accept();
      target.ReadMessage();
      target.TrySend(
          "HTTP/1.1 200 OK\r\nEndiveyard-Request-Id: r1\r\n"
          "Endiveyard-Response-Signature: s\r\nTransfer-Encoding: "
          "chunked\r\n\r\n" +
          EncodeChunk("abc") + "0\r\n" + LineOf(field) + "\r\n");
      target.Close();
      const std::string response = caller.ReadMessage();
      const size_t size = field.first.size() + field.second.size();
      constexpr size_t kMaxUnparsedBytes = 81920;
      BOOST_TEST(Contains(response, size <= kMaxUnparsedBytes
                                        ? "HTTP/1.1 200 "
                                        : "HTTP/1.1 502 "));
      BOOST_TEST(IsServing(this));
    }
  }
}

// Guards against the same for the trailers of a request, which no limit on
// headers counted.
BOOST_FIXTURE_TEST_CASE(LongTrailersOfRequestsAreRefused, RelayFixture) {
  UseOneTarget();
  std::vector<std::pair<std::string, std::string>> fields = LongFields();
  fields.emplace_back("X-Long", std::string(16385, 'v'));
  for (const auto& field : fields) {
    BOOST_TEST_CONTEXT(field.first.size() << ": " << field.second.size()) {
      TestConnection caller = Connect();
      caller.TrySend(ChunkedRequest("r1", LineOf(field)));
      BOOST_TEST(Contains(caller.ReadUntilClose(), "HTTP/1.1 431 "));
      BOOST_TEST(IsServing(this));
    }
  }
}

// Guards against a limit in the configuration that lets a head end the process,
// or wait for its timeout.
BOOST_FIXTURE_TEST_CASE(LongHeadsAreRefusedWhateverTheConfiguredLimit,
                        RelayFixture) {
  UseOneTarget();
  for (const uint32_t limit : {131072U, 1U << 30}) {
    SetHeaderLimit(this, limit);
    for (const auto& field : LongFields()) {
      BOOST_TEST_CONTEXT(limit << ", " << field.first.size() << ": "
                               << field.second.size()) {
        TestConnection caller = Connect();
        caller.TrySend(RequestHead("GET", "/safe/x", "r1", LineOf(field)));
        BOOST_TEST(Contains(caller.ReadUntilClose(), "HTTP/1.1 431 "));
        BOOST_TEST(IsServing(this));
      }
    }
  }
  constexpr size_t kRestOfHead = 512;
  TestConnection caller = Connect();
  caller.Send(RequestHead(
      "GET", "/safe/x", "r1",
      LineOf(
          {"X-Long", std::string(kLargestMaxHeaderBytes - kRestOfHead, 'v')})));
  TestConnection target = first().Accept();
  BOOST_TEST(Contains(target.ReadMessage(), "X-Long: vvv"));
  target.Send(SignedResponse("r1", "yes"));
  BOOST_TEST(Contains(caller.ReadMessage(), "HTTP/1.1 200 "));
}

// Guards against a chunk header that is not read to its end and holds its
// connection until a timeout.
BOOST_FIXTURE_TEST_CASE(ChunkHeadersWithoutEndAreRefused, RelayFixture) {
  TestConnection caller = Connect();
  caller.TrySend(
      RequestHead("POST", "/unsafe/x", "r1", "Transfer-Encoding: chunked\r\n") +
      "3;x=" + std::string(80000, 'x'));
  BOOST_TEST(Contains(caller.ReadUntilClose(), "HTTP/1.1 431 "));
}

// Guards against trailers that count as headers: a replica ran requests with
// another model, number of tokens or id than the caller's head states
// (UNASKED).
BOOST_FIXTURE_TEST_CASE(TrailersOfRequestsAreNoHeaders, RelayFixture) {
  UseOneTarget();
  TestConnection caller = Connect();
  caller.Send(
      ChunkedRequest("r1",
                     "Endiveyard-Model: m9\r\nEndiveyard-Token-Count: 9\r\n"
                     "Endiveyard-Request-Id: r9\r\nX-Trailer: t\r\n"));
  TestConnection target = first().Accept();
  const std::string request = target.ReadMessage();
  BOOST_TEST(Contains(request, "Endiveyard-Request-Id: r1\r\n"));
  for (const char* it : {"m9", "Token-Count", "r9", "X-Trailer"}) {
    BOOST_TEST(!Contains(request, it));
  }
  target.Send(SignedResponse("r1", "yes"));
  BOOST_TEST(Contains(caller.ReadMessage(), "HTTP/1.1 200 "));
  for (const char* it : {"Host: other\r\n", "Content-Length: 3\r\n",
                         "Transfer-Encoding: chunked\r\n"}) {
    BOOST_TEST_CONTEXT(it) {
      TestConnection refused = Connect();
      refused.Send(ChunkedRequest("r2", it));
      BOOST_TEST(Contains(refused.ReadUntilClose(), "HTTP/1.1 400 "));
    }
  }
}

}  // namespace endiveyard
