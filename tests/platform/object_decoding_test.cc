#include "platform/object_decoding.h"

#include <boost/test/unit_test.hpp>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

namespace endiveyard::platform {
namespace {

constexpr const char* kRegistration =
    R"({"service":"lm","address":"10.0.0.9:8080","zone":"z","version":"v1",)"
    R"("slots":64,"state":"ready","cold_remaining_ms":0,"stage":"decode",)"
    R"("sequence":4,"born":1789048673062})";

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

BOOST_AUTO_TEST_CASE(RegistrationsAreDecoded) {
  const auto replica = DecodeReplica("i-1", kRegistration);
  BOOST_REQUIRE(replica.ok());
  BOOST_TEST(replica->id == "i-1");
  BOOST_TEST(replica->ip == "10.0.0.9");
  BOOST_TEST(replica->port == 8080);
  BOOST_TEST(replica->version == "v1");
  BOOST_TEST((replica->stage == Stage::kDecode));
  BOOST_TEST(replica->started_unix_ms == 1789048673062);
  BOOST_TEST(!replica->draining);
  const auto draining =
      DecodeReplica("i-1", Replace(kRegistration, "\"ready\"", "\"draining\""));
  BOOST_REQUIRE(draining.ok());
  BOOST_TEST(draining->draining);
}

// Guards against malformed registrations of other writers becoming targets:
// fields are missing, of another type, or have an unknown value.
BOOST_AUTO_TEST_CASE(MalformedRegistrationsAreRejected) {
  const std::pair<const char*, const char*> changes[] = {
      {"\"service\":\"lm\"", "\"service\":7"},
      {"\"service\":\"lm\",", ""},
      {"\"10.0.0.9:8080\"", "\"10.0.0.9\""},
      {"\"10.0.0.9:8080\"", "\"10.0.0.9:port\""},
      {"\"10.0.0.9:8080\"", "null"},
      {"\"zone\":\"z\"", "\"zone\":{}"},
      {"\"version\":\"v1\",", ""},
      {"\"version\":\"v1\"", "\"version\":1"},
      {"\"version\":\"v1\"", "\"version\":\"\""},
      {"\"slots\":64", "\"slots\":\"64\""},
      {"\"ready\"", "\"gone\""},
      {"\"ready\"", "true"},
      {"\"decode\"", "\"other\""},
  };
  for (const auto& [from, to] : changes) {
    BOOST_TEST(!DecodeReplica("i-1", Replace(kRegistration, from, to)).ok(),
               to);
  }
  for (const char* bytes : {"", "{", "[]", "\xff\xfe", "\"text\"", "null"}) {
    BOOST_TEST(!DecodeReplica("i-1", bytes).ok(), bytes);
  }
}

BOOST_AUTO_TEST_CASE(ConfigurationsAreDecoded) {
  const auto map = DecodeServiceMap(
      R"({"version":7,"routes":[)"
      R"({"name":"r1","host":"A.example","path_prefix":"/p/","kind":"streaming",)"
      R"("timeout_ms":8000,"target_latency_ms":800,"priority":1,"service":"lm",)"
      R"("max_attempts":2,"session_affinity":true,"resumable":true,)"
      R"("target_gap_ms":300},)"
      R"({"name":"r2","host":"b.example","path_prefix":"/q/","kind":"novel",)"
      R"("timeout_ms":1,"traffic_split":[{"service":"lm","weight":90},)"
      R"({"service":"x","weight":10}]}],)"
      R"("services":[{"name":"lm","max_connections":370,"engine":)"
      R"({"slots":64,"kv_tokens":540532,"handle_ttl_s":5.0}},{"name":"x"}],)"
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
      R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})");
  BOOST_REQUIRE(map.ok());
  BOOST_TEST(map->version == 7);
  BOOST_REQUIRE_EQUAL(map->routes.size(), 2u);
  BOOST_TEST(map->routes[0].host == "a.example");
  BOOST_TEST((map->routes[0].kind == RouteKind::kStreaming));
  BOOST_TEST(map->routes[0].resumable);
  BOOST_TEST((map->routes[0].timeout == Duration(std::chrono::seconds(8))));
  // Requests of an unknown kind must not be retried.
  BOOST_TEST((map->routes[1].kind == RouteKind::kUnsafe));
  BOOST_TEST(map->routes[1].services.size() == 2u);
  BOOST_TEST(FindService(*map, "lm")->engine->slots == 64);
  BOOST_TEST(!FindService(*map, "x")->engine.has_value());
  BOOST_TEST((map->limits.idle_timeout == Duration(std::chrono::seconds(15))));
}

// Guards against orders by limits that were not configured, and against a
// configuration that is refused because of them.
BOOST_AUTO_TEST_CASE(AutoscalingIsDecoded) {
  const auto decode = [](const std::string& autoscaling) {
    const auto map = DecodeServiceMap(
        R"({"version":1,"routes":[],"services":[{"name":"s","autoscaling":)" +
        autoscaling + "}]}");
    BOOST_REQUIRE(map.ok());
    return FindService(*map, "s")->autoscaling;
  };
  const auto traits =
      decode(R"({"min_replicas":1,"max_replicas":30,"boot_time_s":4.5,)"
             R"("spot_price":0.2,"zone_prices":{"a":0.85,"b":1.2,"c":"x"}})");
  BOOST_REQUIRE(traits.has_value());
  BOOST_TEST(traits->min_replicas == 1);
  BOOST_TEST(traits->max_replicas == 30);
  BOOST_TEST((traits->boot_time == Duration(4500000)));
  BOOST_TEST(traits->spot_price == 0.2);
  BOOST_TEST(traits->failure_domain_prices.size() == 2u);
  BOOST_TEST(traits->failure_domain_prices.at("b") == 1.2);
  BOOST_TEST(decode(R"({"max_replicas":3})")->spot_price == 1);
  for (const char* text :
       {"null", "7", "[]", "{}", R"({"min_replicas":4,"max_replicas":3})",
        R"({"max_replicas":"3"})"}) {
    BOOST_TEST(!decode(text).has_value(), text);
  }
}

// Guards against replicas that are lost because of fields of another type.
BOOST_AUTO_TEST_CASE(SpotFieldsOfRegistrationsAreOptional) {
  const auto decode = [](const std::string& fields) {
    const auto replica = DecodeReplica(
        "i-1", Replace(kRegistration, "\"state\":\"ready\"", fields));
    BOOST_REQUIRE(replica.ok());
    return *replica;
  };
  BOOST_TEST(!decode(R"("state":"ready")").spot);
  const Replica leaving =
      decode(R"("state":"draining","spot":true,"leaves_ms":1500)");
  BOOST_TEST(leaving.spot);
  BOOST_REQUIRE(leaving.leaves_in.has_value());
  BOOST_TEST((*leaving.leaves_in == Duration(1500000)));
  const Replica other =
      decode(R"("state":"draining","spot":1,"leaves_ms":"x")");
  BOOST_TEST(other.draining);
  BOOST_TEST(!other.spot);
  BOOST_TEST(!other.leaves_in.has_value());
  // How it is paid for does not decide whether placed work may stay there.
  BOOST_TEST(AcceptsWork(decode(R"("state":"ready","spot":true)"),
                         decode(R"("state":"ready")")));
}

// Guards against applying a configuration that is only partly valid.
BOOST_AUTO_TEST_CASE(MalformedConfigurationsAreRejected) {
  for (
      const char* text :
      {"", "{}", R"({"version":1})", R"({"routes":[]})",
       R"({"version":"1","routes":[]})",
       R"({"version":1,"routes":[{"host":"h"}]})",
       R"({"version":1,"routes":[{"host":"h","path_prefix":"/","kind":"safe"}]})"}) {
    BOOST_TEST(!DecodeServiceMap(text).ok(), text);
  }
}

BOOST_AUTO_TEST_CASE(ListPagesAndChangesAreDecoded) {
  const auto page = DecodeListPage(
      R"({"items":[{"metadata":{"name":"a","revision":3,"deleting":false},)"
      R"("spec":{"x":1}},{"metadata":{"name":"b","deleting":true},"spec":{}},)"
      R"({"spec":{}}],"has_more":true,"current_rev":530})");
  BOOST_REQUIRE(page.ok());
  BOOST_TEST(page->has_more);
  BOOST_TEST(page->revision == 530);
  BOOST_REQUIRE_EQUAL(page->items.size(), 2u);
  BOOST_TEST(page->items[0].spec == R"({"x":1})");
  BOOST_TEST(page->items[1].deleted);
  const auto changes = DecodeChanges(
      R"({"events":[{"deleted":true,"object":{"metadata":{"name":"a"}}}],)"
      R"("current_rev":533})");
  BOOST_REQUIRE(changes.ok());
  BOOST_TEST(changes->objects[0].deleted);
  BOOST_TEST(changes->revision == 533);
  for (const char* text : {"", "{}", "[]", R"({"items":{}})"}) {
    BOOST_TEST(!DecodeListPage(text).ok());
    BOOST_TEST(!DecodeChanges(text).ok());
  }
}

namespace {

// Values of another writer that a JSON parser refuses.
std::vector<std::string> UnreadableValues() {
  const std::string deep(5000, '[');
  return {"1e400",
          "123456789012345678901234567890",
          "-99999999999999999999",
          "Infinity",
          "NaN",
          "\"\xff\xfe\"",
          "\"]}, \\\" \x01\"",
          deep + std::string(deep.size(), ']')};
}

}  // namespace

// Guards against one unreadable entry of another writer that hides all others:
// the whole page was refused, and instances never finished their lists.
BOOST_AUTO_TEST_CASE(UnreadableEntriesDoNotHideOthers) {
  const std::string sound =
      R"({"metadata":{"name":"a","revision":3},"spec":{"x":1}})";
  for (const std::string& value : UnreadableValues()) {
    const std::string odd = absl::StrCat(
        R"({"metadata":{"name":"odd","revision":4},"spec":{"slots":)", value,
        "}}");
    for (const std::string& items :
         {absl::StrCat(odd, ",", sound), absl::StrCat(sound, ",", odd)}) {
      const auto page = DecodeListPage(absl::StrCat(
          R"({"items":[)", items, R"(],"has_more":true,"current_rev":9})"));
      BOOST_REQUIRE_MESSAGE(page.ok(), value.substr(0, 40));
      BOOST_TEST(page->has_more);
      BOOST_TEST(page->revision == 9);
      BOOST_REQUIRE_EQUAL(page->items.size(), 2u);
      for (const RegistryObject& it : page->items) {
        BOOST_TEST(it.spec == (it.name == "a" ? R"({"x":1})" : ""));
      }
    }
    const auto changes = DecodeChanges(absl::StrCat(
        R"({"events":[{"deleted":false,"object":)", odd,
        R"(},{"deleted":true,"object":)", sound, R"(}],"current_rev":11})"));
    BOOST_REQUIRE_MESSAGE(changes.ok(), value.substr(0, 40));
    BOOST_TEST(changes->revision == 11);
    BOOST_REQUIRE_EQUAL(changes->objects.size(), 2u);
    BOOST_TEST(changes->objects[0].name == "odd");
    BOOST_TEST(!changes->objects[0].deleted);
    BOOST_TEST(changes->objects[1].name == "a");
    BOOST_TEST(changes->objects[1].deleted);
  }
}

// Guards against a list that cannot go on behind a page with unreadable entries
// only.
BOOST_AUTO_TEST_CASE(PagesOfUnreadableEntriesNameTheNextPage) {
  const auto page =
      DecodeListPage(R"({"items":[{"metadata":{"name":"odd"},"spec":1e999}],)"
                     R"("has_more":true,"current_rev":9})");
  BOOST_REQUIRE(page.ok());
  BOOST_REQUIRE_EQUAL(page->items.size(), 1u);
  BOOST_TEST(page->items[0].name == "odd");
}

// Guards against targets from registrations with values out of range, whose
// conversion is undefined.
BOOST_AUTO_TEST_CASE(RegistrationsOutOfRangeAreRejected) {
  const std::pair<const char*, const char*> changes[] = {
      {":8080", ":0"},
      {":8080", ":65536"},
      {":8080", ":-1"},
      {":8080", ":8080x"},
      {":8080", ":"},
      {"10.0.0.9", "10.0.0.999"},
      {"10.0.0.9", ""},
      {"\"slots\":64", "\"slots\":1e300"},
      {"\"slots\":64", "\"slots\":-1"},
      {"\"slots\":64", "\"slots\":18446744073709551615"},
  };
  for (const auto& [from, to] : changes) {
    BOOST_TEST(!DecodeReplica("i-1", Replace(kRegistration, from, to)).ok(),
               to);
  }
}

// Guards against configurations with values out of range, whose conversion is
// undefined.
BOOST_AUTO_TEST_CASE(ConfigurationValuesAreBounded) {
  const auto map = DecodeServiceMap(
      R"({"version":1,"routes":[{"host":"h","path_prefix":"/","kind":"safe",)"
      R"("service":"s","timeout_ms":1e300,"priority":-1e300,)"
      R"("max_attempts":1e300}],"limits":{"max_header_bytes":-1,)"
      R"("max_body_bytes":1e300}})");
  BOOST_REQUIRE(map.ok());
  const Route& route = map->routes[0];
  BOOST_TEST((route.timeout > std::chrono::hours(24)));
  BOOST_TEST(route.priority == -std::numeric_limits<int>::max());
  BOOST_TEST(route.max_attempts == std::numeric_limits<int>::max());
  BOOST_TEST(map->limits.max_header_bytes == 0u);
  BOOST_TEST(map->limits.max_body_bytes > uint64_t{1} << 40);
}

// Guards against writes without the condition that nobody else has written.
BOOST_AUTO_TEST_CASE(ObjectsAreWrittenAtTheirRevision) {
  RegistryObject object;
  object.name = "a";
  object.spec = "{\"b\":1}";
  BOOST_TEST(EncodeObject(object) ==
             R"({"metadata":{"name":"a"},"spec":{"b":1}})");
  object.revision = 7;
  RegistryObject any = object;
  any.revision = kAnyRevision;
  BOOST_TEST(EncodeObject(any) ==
             R"({"metadata":{"name":"a"},"spec":{"b":1}})");
  const std::string body = EncodeObject(object);
  BOOST_TEST(body ==
             R"({"metadata":{"name":"a","revision":7},"spec":{"b":1}})");
  const auto decoded = DecodeObject(body);
  BOOST_REQUIRE(decoded.ok());
  BOOST_TEST(decoded->name == "a");
  BOOST_TEST(decoded->revision == 7);
  BOOST_TEST(decoded->spec == object.spec);
  BOOST_TEST(!DecodeObject("{").ok());
  BOOST_TEST(!DecodeObject("{}").ok());
}

}  // namespace endiveyard::platform
