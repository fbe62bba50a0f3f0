#include "endiveyard/placement/customer_table.h"

#include <boost/test/unit_test.hpp>

#include "endiveyard/placement/service_map_currency.h"

namespace endiveyard {
namespace {

constexpr uint32_t kPeer = 1;
constexpr Duration kPropagation = std::chrono::seconds(4);

TimePoint At(double seconds) {
  return TimePoint() + std::chrono::hours(1) +
         Duration(static_cast<int64_t>(seconds * 1e6));
}

CustomerTable TwoCustomers() {
  return CustomerTableBuilder()
      .Add({"first", 1}, {"k1", "k2", ""})
      .Add({"second", std::nullopt}, {"k3", "k1"})
      .Build();
}

}  // namespace

// Guards against requests that run for the wrong customer, or for none.
BOOST_AUTO_TEST_CASE(CallersAreKnownByTheirKeys) {
  const std::optional<CustomerTable> table = TwoCustomers();
  const auto authenticate = [&table](std::string_view key, bool anonymous) {
    return AuthenticateCaller(table, anonymous, key);
  };
  BOOST_TEST(authenticate("k2", false).customer->name == "first");
  BOOST_TEST(authenticate("k3", false).customer->name == "second");
  // Of two customers with the same key, the first one keeps it.
  BOOST_TEST(authenticate("k1", true).customer->name == "first");
  BOOST_CHECK(authenticate("k4", false).result == Authentication::kUnknownKey);
  BOOST_CHECK(authenticate("K1", false).result == Authentication::kUnknownKey);
  BOOST_CHECK(authenticate("", false).result == Authentication::kMissingKey);
  BOOST_CHECK(authenticate("k4", true).result == Authentication::kAnonymous);
  BOOST_CHECK(AuthenticateCaller(std::nullopt, false, "k4").result ==
              Authentication::kNotRequired);
}

// Guards against keys in log lines.
BOOST_AUTO_TEST_CASE(LogLinesNameAPartOfTheDigest) {
  BOOST_TEST(KeyForLog("secret-key").size() == 8u);
  BOOST_TEST(KeyForLog("secret-key").find("secret") == std::string::npos);
  BOOST_TEST(KeyForLog("") == "");
}

// Guards against withdrawn keys that are accepted again: an instance that
// starts while the registry holds an older copy must not trust it.
BOOST_AUTO_TEST_CASE(StartedInstancesDoNotTrustAnOlderMap) {
  ServiceMapCurrency currency(kPropagation);
  currency.RecordOwn(7);
  BOOST_TEST(!currency.IsBehind(At(0)));
  currency.RecordPeer(kPeer, 9, At(0));
  BOOST_TEST(currency.IsBehind(At(0)));
  currency.RecordOwn(9);
  BOOST_TEST(!currency.IsBehind(At(1)));
}

// Guards against refusals while a new version spreads, and against instances
// that stay behind after it should have arrived.
BOOST_AUTO_TEST_CASE(NewVersionsMayTakeTheirTime) {
  ServiceMapCurrency currency(kPropagation);
  currency.RecordPeer(kPeer, 7, At(0));
  currency.RecordOwn(7);
  BOOST_TEST(!currency.IsBehind(At(0)));
  currency.RecordPeer(kPeer, 8, At(1));
  BOOST_TEST(!currency.IsBehind(At(1)));
  BOOST_TEST(!currency.IsBehind(At(4.9)));
  BOOST_TEST(currency.IsBehind(At(5)));
  // After a restore, what is read is in doubt at once.
  currency.RecordOwn(8);
  BOOST_TEST(!currency.IsBehind(At(6)));
  currency.RecordRestart();
  currency.RecordOwn(6);
  BOOST_TEST(currency.IsBehind(At(6)));
}

// Guards against a forged or wrong report that refuses requests for good.
BOOST_AUTO_TEST_CASE(ReportsOfOthersDoNotRefuseRequestsForGood) {
  ServiceMapCurrency currency(kPropagation);
  currency.RecordOwn(7);
  BOOST_TEST(!currency.IsBehind(At(0)));
  for (int n = 0; n <= 60; ++n) {
    currency.RecordPeer(kPeer, 1000, At(n));
    BOOST_TEST(currency.IsBehind(At(n)) == (n < 30));
  }
  currency.RecordPeer(kPeer, 0, At(61));
  BOOST_TEST(currency.HighestHeard(At(61)) == 1000);
  BOOST_TEST(currency.HighestHeard(At(200)) == 0);
}

}  // namespace endiveyard
