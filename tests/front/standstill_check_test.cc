#include "front/standstill_check.h"

#include <boost/test/unit_test.hpp>

namespace endiveyard {
namespace {

TimePoint At(int64_t ms) {
  return TimePointFromMicros(ms * 1000);
}

}  // namespace

// Guards against a view that counts as current after a standstill, although no
// call that was sent since then was answered.
BOOST_AUTO_TEST_CASE(TheRegistryIsReadAfterAStandstill) {
  StandstillCheck check;
  for (int n = 0; n < 8; ++n) {
    BOOST_TEST(!check.RecordTick(At(250 * n)));
  }
  BOOST_TEST(check.is_confirmed());
  const auto first = check.RecordTick(At(5000));
  BOOST_REQUIRE(first);
  BOOST_TEST(check.awaits_news());
  BOOST_TEST(!check.is_confirmed());
  BOOST_TEST(!check.RecordTick(At(5250)));
  // Another standstill begins while the registry is read.
  const auto second = check.RecordTick(At(9000));
  BOOST_REQUIRE(second);
  BOOST_TEST(!check.RecordRead(*first, true));
  BOOST_TEST(check.awaits_news());
  BOOST_TEST(check.RecordRead(*second, true));
  BOOST_TEST(!check.awaits_news());
  BOOST_TEST(check.is_confirmed());
  BOOST_TEST(!check.RecordTick(At(9250)));
}

// Guards against requests that wait for a registry that does not answer, and
// against a view that counts as current since they no longer do.
BOOST_AUTO_TEST_CASE(RequestsDoNotWaitForALostRegistry) {
  StandstillCheck check;
  check.RecordTick(At(0));
  const auto first = check.RecordTick(At(3000));
  BOOST_REQUIRE(first);
  BOOST_TEST(check.RecordRead(*first, false));
  BOOST_TEST(!check.awaits_news());
  BOOST_TEST(!check.is_confirmed());
  const auto second = check.RecordTick(At(3250));
  BOOST_REQUIRE(second);
  BOOST_TEST(!check.awaits_news());
  BOOST_TEST(!check.RecordRead(*second, true));
  BOOST_TEST(check.is_confirmed());
}

}  // namespace endiveyard
