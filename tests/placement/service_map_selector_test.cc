#include "endiveyard/placement/service_map_selector.h"

#include <boost/test/unit_test.hpp>

namespace endiveyard {
namespace {

ServiceMap MakeMap(int64_t version, const std::string& service) {
  ServiceMap map;
  map.version = version;
  Route route;
  route.host = "h";
  route.path_prefix = "/";
  route.services = {{service, 1}};
  map.routes = {route};
  return map;
}

std::string ServiceOf(const ServiceMapSelector& selector) {
  return selector.current()->routes[0].services[0].service;
}

}  // namespace

// Guards against an older configuration in force again after the registry was
// restored from a copy, and against taking its routes for the latest ones.
BOOST_AUTO_TEST_CASE(RestoredVersionsDoNotReplaceLaterOnes) {
  ServiceMapSelector selector;
  BOOST_TEST(selector.Offer(MakeMap(3, "a"), {1, 10}));
  BOOST_TEST(selector.Offer(MakeMap(7, "b"), {1, 20}));
  BOOST_TEST(!selector.Offer(MakeMap(3, "a"), {2, 10}));
  BOOST_TEST(ServiceOf(selector) == "b");
  BOOST_TEST(!selector.is_registry_current());
  // What the operators had written is written again.
  BOOST_TEST(!selector.Offer(MakeMap(7, "b"), {2, 14}));
  BOOST_TEST(selector.is_registry_current());
  BOOST_TEST(selector.Offer(MakeMap(9, "c"), {2, 15}));
  BOOST_TEST(ServiceOf(selector) == "c");
}

// Guards against keeping a configuration whose version was lost in a restore
// and has been given out again with other contents.
BOOST_AUTO_TEST_CASE(VersionsGivenOutAgainAreApplied) {
  ServiceMapSelector selector;
  selector.Offer(MakeMap(7, "b"), {1, 20});
  BOOST_TEST(selector.Offer(MakeMap(7, "c"), {2, 12}));
  BOOST_TEST(ServiceOf(selector) == "c");
  // A delayed answer from before the restore.
  BOOST_TEST(!selector.Offer(MakeMap(7, "b"), {1, 20}));
  BOOST_TEST(ServiceOf(selector) == "c");
}

// Guards against a delayed response within one era, which says nothing about
// the registry.
BOOST_AUTO_TEST_CASE(DelayedResponsesChangeNothing) {
  ServiceMapSelector selector;
  selector.Offer(MakeMap(7, "b"), {1, 20});
  BOOST_TEST(!selector.Offer(MakeMap(3, "a"), {1, 10}));
  BOOST_TEST(selector.is_registry_current());
  BOOST_TEST(ServiceOf(selector) == "b");
}

// Guards against losing the order of versions where the registry states neither
// era nor revision.
BOOST_AUTO_TEST_CASE(VersionsDecideWithoutRevisions) {
  ServiceMapSelector selector;
  BOOST_TEST(selector.Offer(MakeMap(1, "a"), {}));
  BOOST_TEST(!selector.Offer(MakeMap(1, "a"), {}));
  BOOST_TEST(selector.Offer(MakeMap(2, "b"), {}));
  BOOST_TEST(!selector.Offer(MakeMap(1, "a"), {}));
  BOOST_TEST(ServiceOf(selector) == "b");
}

}  // namespace endiveyard
