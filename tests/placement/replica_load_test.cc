#include "endiveyard/placement/replica_load.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

namespace endiveyard {

// Guards against a sound target that stays in backoff although it has answered
// since: calls that were given up during a pause count as failures, all at
// once.
BOOST_AUTO_TEST_CASE(CompletedCallsEndTheBackoff) {
  const TimePoint start{std::chrono::seconds(100)};
  ReplicaLoad load;
  constexpr int kCalls = 6;
  for (int n = 0; n < kCalls; ++n) {
    load.RecordCallSent(0);
    load.RecordCallEnded(CallResult::kFailed, start);
  }
  const TimePoint later = start + std::chrono::milliseconds(500);
  BOOST_TEST(load.InBackoff(later));
  load.RecordCallEnded(CallResult::kRejected, later);
  BOOST_TEST(load.InBackoff(later));
  load.RecordCallEnded(CallResult::kCompleted, later);
  BOOST_TEST(!load.InBackoff(later));
}

}  // namespace endiveyard
