#include "endiveyard/placement/replica_rate_limits.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

namespace endiveyard {
namespace {

constexpr uint64_t kReplica = 7;
constexpr ReplicaPosition kOnlyReplica{0, 1};

TimePoint At(int64_t millis) {
  return TimePointFromMicros(millis * 1000);
}

// Sends as many requests as allowed from `begin_ms` to `end_ms` and returns
// their number.
int SendAll(ReplicaRateLimits* limits, int64_t begin_ms, int64_t end_ms) {
  int sent = 0;
  for (int64_t ms = begin_ms; ms < end_ms; ms += 5) {
    if (limits->WaitFor(kReplica, kOnlyReplica, At(ms)) == Duration(0)) {
      limits->RecordSent(kReplica, At(ms));
      ++sent;
    }
  }
  return sent;
}

bool IsOpen(ReplicaRateLimits* limits, int64_t ms) {
  return limits->WaitFor(kReplica, kOnlyReplica, At(ms)) == Duration(0);
}

}  // namespace

// Guards against a replica that gets more requests than the limit that it
// states, and against one that gets fewer than it could take.
BOOST_AUTO_TEST_CASE(LimitIsSpentAndNotExceeded) {
  for (const double limit : {0.5, 3.0, 40.0}) {
    ReplicaRateLimits limits;
    BOOST_TEST(IsOpen(&limits, 0));
    BOOST_TEST(limits.RecordResponse(kReplica, limit, At(0)));
    BOOST_TEST(!limits.RecordResponse(kReplica, limit, At(10)));
    const int sent = SendAll(&limits, 10, 20010);
    BOOST_TEST(sent <= 20 * limit + 1);
    BOOST_TEST(sent >= 20 * limit - 1);
  }
}

// Guards against a replica that is never asked again because it states a limit
// of nearly nothing: without requests, no response can lift the limit.
BOOST_AUTO_TEST_CASE(ReplicasWithoutCapacityAreAskedNowAndThen) {
  ReplicaRateLimits limits;
  limits.RecordResponse(kReplica, 0.0, At(0));
  BOOST_TEST(SendAll(&limits, 0, 9000) == 0);
  BOOST_TEST(SendAll(&limits, 9000, 31000) == 3);
}

// Guards against a limit that stays after the replica has stopped to state it,
// or after it has not been heard of for a long time.
BOOST_AUTO_TEST_CASE(LimitsEnd) {
  ReplicaRateLimits limits;
  limits.RecordResponse(kReplica, 1.0, At(0));
  BOOST_TEST(!IsOpen(&limits, 10));
  BOOST_TEST(limits.RecordResponse(kReplica, std::nullopt, At(20)));
  BOOST_TEST(IsOpen(&limits, 20));
  limits.RecordResponse(kReplica, 0.0, At(30));
  BOOST_TEST(!IsOpen(&limits, 40));
  BOOST_TEST(IsOpen(&limits, 61000));
  limits.RecordResponse(kReplica, 1.0, At(61000));
  limits.Digest(1, At(61000 + 59999));
  BOOST_TEST(!limits.empty());
  limits.Digest(1, At(61000 + 60000));
  limits.Digest(1, At(61000 + 60000));
  BOOST_TEST(limits.empty());
}

// The latest response counts, whoever got it, and a limit that is no longer
// stated does not live on in reports.
BOOST_AUTO_TEST_CASE(LatestResponseCounts) {
  ReplicaRateLimits limits;
  limits.ApplyReport({kReplica, 2.0, std::chrono::milliseconds(100)}, At(1000),
                     false);
  BOOST_TEST(limits.LimitOf(kReplica, At(1000)).value() == 2.0);
  BOOST_TEST(limits.TakeNews(10, At(1000)).empty());
  limits.RecordResponse(kReplica, std::nullopt, At(2000));
  BOOST_TEST(limits.TakeNews(10, At(2000)).size() == 1);
  // A report on an older response.
  limits.ApplyReport({kReplica, 2.0, std::chrono::milliseconds(500)}, At(2100),
                     false);
  BOOST_TEST(!limits.LimitOf(kReplica, At(2100)));
  // Two instances that repeat each other's reports, each 30 ms on its way.
  ReplicaRateLimits other;
  other.RecordResponse(kReplica, 5.0, At(3000));
  int64_t ms = 3000;
  for (; ms < 80000; ms += 500) {
    for (const RateLimitReport& it : other.Digest(10, At(ms))) {
      limits.ApplyReport(it, At(ms + 30), false);
    }
    for (const RateLimitReport& it : limits.Digest(10, At(ms + 30))) {
      other.ApplyReport(it, At(ms + 60), false);
    }
  }
  BOOST_TEST(!limits.LimitOf(kReplica, At(ms)));
  BOOST_TEST(!other.LimitOf(kReplica, At(ms)));
}

// All instances together hold each limit once, and about as many replicas each.
BOOST_AUTO_TEST_CASE(InstancesHoldEqualShares) {
  constexpr size_t kInstances = 95;
  constexpr size_t kReplicas = 6;
  constexpr double kLimit = 16;
  std::vector<int> shares(kInstances);
  for (size_t replica = 0; replica < kReplicas; ++replica) {
    double sent = 0;
    for (size_t n = 0; n < kInstances; ++n) {
      ReplicaRateLimits limits;
      limits.set_instance({n, kInstances});
      limits.RecordResponse(kReplica, kLimit, At(0));
      const auto wait = limits.WaitFor(kReplica, {replica, kReplicas}, At(0));
      if (wait) {
        sent += 1e6 / static_cast<double>(wait->count());
        ++shares[n];
      }
    }
    BOOST_TEST(sent <= kLimit * 1.001);
    BOOST_TEST(sent >= kLimit * 0.999);
  }
  for (const int it : shares) {
    BOOST_TEST(it >= 1);
    BOOST_TEST(it <= 3);
  }
}

// Guards against shares that add up to more than a limit while instances leave
// or return and only some of the others know it: every second instance, or
// half of them in a row, as in a failure domain that is restarted.
BOOST_AUTO_TEST_CASE(SharesStayWithinTheLimitWhileNewsSpread) {
  constexpr size_t kReplicas = 24;
  // Of the users' bound of one and a half, a part is left for bursts.
  constexpr double kMostOfLimit = 1.25;
  std::mt19937 random(1);
  for (const size_t instances : {8u, 95u, 370u}) {
    for (const double limit : {1.5, 16.0}) {
      for (const bool in_a_row : {false, true}) {
        const auto moves = [&](size_t n) {
          return in_a_row ? n < instances / 2 : n % 2 == 0;
        };
        // In a small fleet, all know within a moment that an instance is back.
        for (const bool returning : {false, true}) {
          if (returning && instances == 8) {
            continue;
          }
          for (size_t replica = 0; replica < kReplicas; ++replica) {
            const unsigned known_in_20 = replica % 2 == 0 ? 10 : 19;
            double sum = 0;
            for (size_t n = 0; n < instances; ++n) {
              InstancePosition position{n, instances, {}, false};
              for (size_t other = 0; other < instances; ++other) {
                const bool is_known = random() % 20 < known_in_20;
                if (moves(other) && (other == n ? !returning : is_known)) {
                  position.leaving.push_back(other);
                }
              }
              position.joining = returning && moves(n);
              ReplicaRateLimits limits;
              limits.set_instance(position);
              limits.RecordResponse(kReplica, limit, At(0));
              const auto wait =
                  limits.WaitFor(kReplica, {replica, kReplicas}, At(0));
              sum += wait ? 1e6 / static_cast<double>(wait->count()) : 0;
            }
            BOOST_TEST(sum <= kMostOfLimit * limit * 1.001);
          }
        }
      }
    }
  }
}

}  // namespace endiveyard
