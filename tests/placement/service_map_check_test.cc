#include "endiveyard/placement/service_map_check.h"

#include <algorithm>
#include <string>

#include <boost/test/unit_test.hpp>

namespace endiveyard {
namespace {

using std::chrono::milliseconds;

Route MakeRoute(const std::string& name, const std::string& path_prefix) {
  Route route;
  route.name = name;
  route.host = "shop.example";
  route.path_prefix = path_prefix;
  route.kind = RouteKind::kSafe;
  route.timeout = milliseconds(800);
  route.target_latency = milliseconds(150);
  route.max_attempts = 2;
  route.services = {{"orders", 1}};
  return route;
}

ServiceMap SoundMap() {
  ServiceMap map;
  map.version = 7;
  map.routes = {MakeRoute("r1", "/a/"), MakeRoute("r2", "/a/b/")};
  Service service;
  service.name = "orders";
  service.max_connections = 110;
  AutoscalingTraits scaling;
  scaling.min_replicas = 1;
  scaling.max_replicas = 30;
  scaling.spot_price = 0.2;
  scaling.failure_domain_prices = {{"zone-a", 0.9}};
  service.autoscaling = scaling;
  map.services = {service};
  CustomerTableBuilder customers;
  customers.Add({"one", {}}, {"key-1"}).Add({"two", 1}, {"key-2", "key-3"});
  map.customers = customers.Build();
  return map;
}

bool Has(const std::vector<ConfigurationFinding>& findings,
         FindingKind kind,
         const std::string& subject,
         const std::string& part) {
  return std::any_of(findings.begin(), findings.end(), [&](const auto& it) {
    return it.kind == kind && it.subject == subject &&
           it.text.find(part) != std::string::npos;
  });
}

bool HasError(const ServiceMap& map,
              const std::string& subject,
              const std::string& part) {
  return Has(CheckServiceMap(map), FindingKind::kError, subject, part);
}

bool HasWarning(const ServiceMap& map,
                const std::string& subject,
                const std::string& part) {
  return Has(CheckServiceMap(map), FindingKind::kWarning, subject, part);
}

}  // namespace

// Guards against findings about a configuration that is as it should be.
BOOST_AUTO_TEST_CASE(SoundConfigurationsHaveNoFindings) {
  BOOST_TEST(CheckServiceMap(SoundMap()).empty());
}

// Guards against entries that are sent although no request can reach them.
BOOST_AUTO_TEST_CASE(EntriesThatNeverMatchAreFound) {
  ServiceMap map = SoundMap();
  map.routes.push_back(MakeRoute("r3", "/a/"));
  map.routes.push_back(MakeRoute("r4", "/c?x/"));
  map.routes[0].services = {{"orders", 1}, {"spare", 0}};
  Service spare;
  spare.name = "spare";
  Service unused;
  unused.name = "unused";
  map.services.push_back(spare);
  map.services.push_back(unused);
  map.customers = CustomerTableBuilder()
                      .Add({"one", {}}, {"key-1"})
                      .Add({"two", {}}, {"key-1"})
                      .Build();
  BOOST_TEST(HasError(map, "route r3", "never matches: route r1"));
  BOOST_TEST(HasError(map, "route r4", "without their query"));
  BOOST_TEST(HasWarning(map, "route r1", "spare never gets a request"));
  BOOST_TEST(HasWarning(map, "service unused", "no route leads to it"));
  BOOST_TEST(!HasWarning(map, "service spare", "no route leads to it"));
  BOOST_TEST(HasError(map, "customer two", "belongs to customer one"));
  BOOST_TEST(HasWarning(map, "customer two", "holds no key"));
}

// Guards against limits that cannot all be kept.
BOOST_AUTO_TEST_CASE(ContradictingLimitsAreFound) {
  ServiceMap map = SoundMap();
  map.routes[0].target_latency = milliseconds(900);
  map.routes[1].max_attempts = 0;
  map.services[0].autoscaling->min_replicas = 31;
  map.services[0].autoscaling->failure_domain_prices["zone-b"] = -1;
  map.limits.header_timeout = std::chrono::seconds(20);
  map.limits.max_header_bytes = kLargestMaxHeaderBytes + 1;
  BOOST_TEST(HasError(map, "route r1", "target latency exceeds the timeout"));
  BOOST_TEST(HasError(map, "route r2", "allows no attempt"));
  BOOST_TEST(HasError(map, "service orders", "31 exceeds max_replicas 30"));
  BOOST_TEST(HasError(map, "service orders", "price in zone-b"));
  BOOST_TEST(HasWarning(map, "limits", "exceeds the idle timeout"));
  BOOST_TEST(HasWarning(map, "limits", "above 64512 bytes are refused"));
}

// Guards against references and values that instances cannot follow.
BOOST_AUTO_TEST_CASE(ErrorsAreFound) {
  ServiceMap map = SoundMap();
  map.version = 0;
  map.routes[0].services = {{"missing", 1}};
  map.routes[1].path_prefix = "/a";
  map.routes.push_back(MakeRoute("r1", "/d/"));
  map.services.push_back(map.services[0]);
  BOOST_TEST(HasError(map, "configuration", "version is not positive"));
  BOOST_TEST(HasError(map, "route r1", "unknown service missing"));
  BOOST_TEST(HasError(map, "route r2", "begin and end with a slash"));
  BOOST_TEST(HasError(map, "route r1", "the name is used twice"));
  BOOST_TEST(HasError(map, "service orders", "the name is used twice"));
}

// Guards against changes that are sent unseen, and against keys in the output.
BOOST_AUTO_TEST_CASE(DifferencesFromTheVersionInForceAreListed) {
  const ServiceMap before = SoundMap();
  ServiceMap after = before;
  after.version = 8;
  after.routes[0].timeout = milliseconds(900);
  after.routes[1].name = "r5";
  after.services[0].autoscaling->max_replicas = 20;
  after.limits.max_body_bytes = 1000;
  after.customers = CustomerTableBuilder()
                        .Add({"one", {}}, {"key-1", "key-4"})
                        .Add({"two", 2}, {"key-2"})
                        .Build();
  const auto changes = CompareServiceMaps(before, after);
  const auto has = [&changes](const char* subject, const char* part) {
    return Has(changes, FindingKind::kChange, subject, part);
  };
  BOOST_TEST(has("route r1", "timeout: 800 ms -> 900 ms"));
  BOOST_TEST(has("route r2", "removed"));
  BOOST_TEST(has("route r5", "added"));
  BOOST_TEST(has("service orders", "max_replicas: 30 -> 20"));
  BOOST_TEST(has("limits", "body bytes: 4194304 -> 1000"));
  BOOST_TEST(has("customer one", "keys: 1 added, 0 removed, 2 in all"));
  BOOST_TEST(has("customer two", "keys: 0 added, 1 removed, 1 in all"));
  BOOST_TEST(has("customer two", "priority: 1 -> 2"));
  for (const ConfigurationFinding& it : changes) {
    BOOST_TEST(it.text.find("key-") == std::string::npos);
  }
  BOOST_TEST(Has(CompareServiceMaps(after, before), FindingKind::kError,
                 "configuration", "version 7 does not replace version 8"));
  BOOST_TEST(CompareServiceMaps(before, before).size() == 1);  // the version
}

}  // namespace endiveyard
