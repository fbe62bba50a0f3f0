#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <utility>

#include "platform/object_decoding.h"
#include "platform/platform_wire_protocol.h"
#include "relay/forwarded_request.h"
#include "relay_fixture.h"

namespace endiveyard {
namespace {

CustomerTable OneCustomer(const std::string& key) {
  return CustomerTableBuilder().Add({"hule930", 1}, {key}).Build();
}

// A relay whose configuration has the customer hule930 with the key "key-1".
struct CustomerFixture : RelayFixture {
  CustomerFixture() { SetKey("key-1"); }

  void SetKey(const std::string& key) {
    RunOnRelayThread([&key](RoutingState& state) {
      ServiceMap map = *state.service_map;
      ++map.version;
      map.customers = OneCustomer(key);
      state.service_map = std::make_shared<const ServiceMap>(std::move(map));
    });
    NotifyRoutingStateChanged();
  }

  void AllowAnonymousCallers() {
    RunOnRelayThread([](RoutingState& state) {
      ServiceMap map = *state.service_map;
      for (Route& it : map.routes) {
        it.allow_anonymous = true;
      }
      state.service_map = std::make_shared<const ServiceMap>(std::move(map));
    });
  }

  // Returns the response to a request that no target must get.
  std::string Refused(const std::string& headers) {
    TestConnection caller = Connect();
    caller.Send(RequestHead("GET", "/safe/a", "r1", headers));
    std::string response = caller.ReadMessage();
    BOOST_TEST(!first().HasConnectionWithin(0));
    return response;
  }

  // Returns the call that the target gets for a request.
  std::string CallFor(const std::string& headers) {
    TestConnection caller = Connect();
    caller.Send(RequestHead("GET", "/safe/a", "r1", headers));
    TestConnection target = first().Accept();
    std::string call = target.ReadMessage();
    target.Send(SignedResponse("r1", "done"));
    BOOST_TEST(Contains(caller.ReadMessage(), "HTTP/1.1 200 OK\r\n"));
    return call;
  }
};

}  // namespace

// Guards against targets that get a key (UNASKED), or the name of a customer
// that the caller has made up.
BOOST_FIXTURE_TEST_CASE(TargetsGetTheCustomerAndNotTheKey, CustomerFixture) {
  const std::string call = CallFor(
      "api-key: key-1\r\nEndiveyard-Tenant: other\r\n"
      "endiveyard-tenant: other2\r\n");
  BOOST_TEST(Contains(call, "Endiveyard-Tenant: hule930\r\n"));
  BOOST_TEST(!Contains(call, "key-1"));
  BOOST_TEST(!Contains(call, "other"));
}

// Guards against requests that run without a key that is in force.
BOOST_FIXTURE_TEST_CASE(RequestsWithoutAKnownKeyAreRefused, CustomerFixture) {
  for (const char* it :
       {"", "Api-Key: key-2\r\n", "Api-Key: \r\n", "Api-Key: Bearer key-1\r\n",
        "Api-Key: key-1\r\nApi-Key: key-2\r\n"}) {
    BOOST_TEST(Contains(Refused(it), "HTTP/1.1 401 Unauthorized\r\n"));
  }
  BOOST_TEST(!Contains(LogText(), "key-2"));
}

// Guards against withdrawn keys that stay in use on open connections, for
// requests that were sent ahead too.
BOOST_FIXTURE_TEST_CASE(WithdrawnKeysEndOnOpenConnections, CustomerFixture) {
  TestConnection caller = Connect();
  const std::string headers = "Api-Key: key-1\r\n";
  caller.Send(RequestHead("GET", "/safe/a", "r1", headers) +
              RequestHead("GET", "/safe/a", "r2", headers));
  TestConnection target = first().Accept();
  target.ReadMessage();
  SetKey("key-2");
  target.Send(SignedResponse("r1", "done"));
  BOOST_TEST(Contains(caller.ReadMessage(), "HTTP/1.1 200 OK\r\n"));
  BOOST_TEST(Contains(caller.ReadMessage(), "HTTP/1.1 401 "));
  caller.Send(RequestHead("GET", "/safe/a", "r3", "Api-Key: key-2\r\n"));
  BOOST_TEST(Contains(target.ReadMessage(), "Tenant: hule930\r\n"));
}

// Guards against 401, after which callers give up, where the key may be in a
// newer configuration; and against keys of a copy of the registry.
BOOST_FIXTURE_TEST_CASE(KeysInDoubtAreRefusedAsNotRun, CustomerFixture) {
  RunOnRelayThread(
      [](RoutingState& state) { state.service_map_current = false; });
  BOOST_TEST(Contains(Refused("Api-Key: key-2\r\n"), "HTTP/1.1 503 "));
  CallFor("Api-Key: key-1\r\n");
  RunOnRelayThread([](RoutingState& state) {
    state.service_map_current = true;
    state.service_map_behind = true;
  });
  for (const char* it : {"Api-Key: key-1\r\n", "Api-Key: key-2\r\n"}) {
    const std::string response = Refused(it);
    BOOST_TEST(Contains(response, "HTTP/1.1 503 "));
    BOOST_TEST(Contains(response, "Retry-After: "));
  }
}

// Guards against refusals on open routes, and against keys that are passed on
// there.
BOOST_FIXTURE_TEST_CASE(AnonymousRoutesTakeRequestsWithoutAKey,
                        CustomerFixture) {
  AllowAnonymousCallers();
  std::string call = CallFor("Api-Key: key-2\r\nEndiveyard-Tenant: forged\r\n");
  BOOST_TEST(!Contains(call, "key-2"));
  BOOST_TEST(!Contains(call, "Tenant"));
  call = CallFor("Api-Key: key-1\r\n");
  BOOST_TEST(!Contains(call, "key-1"));
  BOOST_TEST(Contains(call, "Endiveyard-Tenant: hule930\r\n"));
}

// Guards against changes where the configuration has no customers: both headers
// are ordinary ones there.
BOOST_FIXTURE_TEST_CASE(WithoutCustomersTheHeadersPass, RelayFixture) {
  TestConnection caller = Connect();
  caller.Send(RequestHead("GET", "/safe/a", "r1",
                          "Api-Key: k\r\nEndiveyard-Tenant: t\r\n"));
  TestConnection target = first().Accept();
  const std::string call = target.ReadMessage();
  BOOST_TEST(Contains(call, "Api-Key: k\r\n"));
  BOOST_TEST(Contains(call, "Endiveyard-Tenant: t\r\n"));
}

// Guards against forwarded requests that run with a withdrawn key, or whose key
// reaches the target.
BOOST_AUTO_TEST_CASE(ForwardedRequestsAreAuthenticated) {
  boost::asio::io_context io;
  TestTarget unused(io);
  RelayFixture relay(WithPeerPort(unused.port()));
  unused.StopListening();
  relay.RunOnRelayThread([](RoutingState& state) {
    ServiceMap map = *state.service_map;
    map.customers = OneCustomer("key-1");
    state.service_map = std::make_shared<const ServiceMap>(std::move(map));
  });
  relay.LearnOfPeer();
  TestConnection other = relay.ConnectAsPeer();
  ForwardedRequest forwarded;
  forwarded.time_left = std::chrono::seconds(6);
  const auto send = [&other, &forwarded](const std::string& id,
                                         const std::string& key) {
    other.Send(RequestHead("GET", "/safe/a", id,
                           std::string(kForwardedRequestHeader) + ": " +
                               EncodeForwardedRequest(forwarded) +
                               "\r\nApi-Key: " + key + "\r\n"));
  };
  send("r1", "key-2");
  BOOST_TEST(Contains(other.ReadMessage(), "HTTP/1.1 401 "));
  send("r2", "key-1");
  TestConnection target = relay.first().Accept();
  const std::string call = target.ReadMessage();
  BOOST_TEST(Contains(call, "Endiveyard-Tenant: hule930\r\n"));
  BOOST_TEST(!Contains(call, "key-1"));
}

// Guards against a configuration that is applied without some of its keys.
BOOST_AUTO_TEST_CASE(CustomersAreDecoded) {
  const std::string routes = R"({"version":7,"routes":[{"host":"h",)"
                             R"("path_prefix":"/a/","kind":"safe",)"
                             R"("service":"s","allow_anonymous":true}])";
  auto map = platform::DecodeServiceMap(
      routes + R"(,"tenants":[{"name":"t1","api_keys":["a","b"],"priority":2},)"
               R"({"name":"t2","api_keys":[]}]})");
  BOOST_REQUIRE(map.ok());
  BOOST_TEST(map->routes[0].allow_anonymous);
  BOOST_REQUIRE(map->customers->Find("b") != nullptr);
  BOOST_CHECK(*map->customers->Find("b") == (Customer{"t1", 2}));
  BOOST_TEST(map->customers->customers().size() == 2u);
  map = platform::DecodeServiceMap(routes + "}");
  BOOST_TEST(!map->customers.has_value());
  for (const char* it : {R"(,"tenants":7})", R"(,"tenants":[{"name":"t"}]})",
                         R"(,"tenants":[{"name":"t","api_keys":[7]}]})",
                         R"(,"tenants":[{"name":"","api_keys":[]}]})"}) {
    BOOST_TEST(!platform::DecodeServiceMap(routes + it).ok());
  }
}

}  // namespace endiveyard
