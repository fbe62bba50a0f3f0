#include "endiveyard/telemetry/log_interval.h"

#include <boost/test/unit_test.hpp>

namespace endiveyard {
namespace {

TimePoint At(int64_t millis) {
  return TimePointFromMicros(millis * 1000);
}

}  // namespace

// Guards against a log that grows with each response of a faulty target, and
// against memory that grows with the number of targets.
BOOST_AUTO_TEST_CASE(OneLineIsAllowedForEachKeyAndInterval) {
  LogInterval interval(std::chrono::seconds(60));
  BOOST_TEST(interval.Allow(1, At(0)));
  BOOST_TEST(!interval.Allow(1, At(59999)));
  BOOST_TEST(interval.Allow(2, At(59999)));
  BOOST_TEST(interval.Allow(1, At(60000)));
  for (uint64_t key = 3; key <= LogInterval::kMaxKeys; ++key) {
    BOOST_REQUIRE(interval.Allow(key, At(60001)));
  }
  BOOST_TEST(!interval.Allow(0, At(60002)));
  BOOST_TEST(interval.Allow(0, At(130000)));
}

}  // namespace endiveyard
