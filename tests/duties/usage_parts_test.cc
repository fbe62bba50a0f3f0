#include <boost/test/unit_test.hpp>

#include "endiveyard/base/digest.h"
#include "endiveyard/duties/clock_median.h"
#include "endiveyard/duties/duty_holder_view.h"
#include "endiveyard/duties/usage_collector.h"
#include "endiveyard/duties/usage_counter.h"

namespace endiveyard {
namespace {

constexpr int64_t kUnixMs = 1'767'225'600'000;
constexpr Duration kWindow = std::chrono::seconds(5);
constexpr int64_t kWindowNumber = kUnixMs / 5000;

TimePoint At(double seconds) {
  return TimePoint() + std::chrono::hours(1) +
         Duration(static_cast<int64_t>(seconds * 1e6));
}

int64_t UnixMsAt(double seconds) {
  return kUnixMs + static_cast<int64_t>(seconds * 1000);
}

}  // namespace

// Guards against clocks read from datagrams that waited while the process stood
// still.
BOOST_AUTO_TEST_CASE(ReportsThatHaveWaitedAreNoClocks) {
  ClockMedian clock;
  clock.RecordOwn(kUnixMs, At(0));
  for (const bool after_tick : {false, true}) {
    if (after_tick) {
      clock.RecordOwn(UnixMsAt(4), At(4));
    }
    for (uint32_t peer = 1; peer <= 5; ++peer) {
      clock.RecordPeer(peer, UnixMsAt(1), At(4.1));
    }
  }
  clock.RecordOwn(UnixMsAt(4.25), At(4.25));
  BOOST_TEST(clock.UnixMs(At(5)) == UnixMsAt(5));
}

// Guards against counts that stay in the future after the clock was corrected.
BOOST_AUTO_TEST_CASE(ACorrectedClockCorrectsTheWindow) {
  ClockMedian clock;
  UsageCounter counter(&clock, kWindow);
  clock.RecordOwn(UnixMsAt(3600), At(0));
  counter.RecordStart("c1", At(0));
  clock.RecordOwn(UnixMsAt(0.1), At(0.1));
  counter.RecordStart("c1", At(0.1));
  const WindowUsage expected{kWindowNumber, {{Digest64("c1"), 2}}};
  BOOST_TEST((counter.present() == expected));
  BOOST_TEST(counter.ended().back().window == kWindowNumber - 1);
}

// Guards against reports that do not wait for instances that leave, that wait
// for instances that are gone, or that take the counts before the end of a
// window for all.
BOOST_AUTO_TEST_CASE(InstancesThatLeaveAreWaitedForWhileTheyAreHeard) {
  UsageCollector collector(kWindow);
  const std::vector<uint32_t> live = {1};
  const auto record = [&collector](uint32_t sender, double seconds,
                                   int64_t window) {
    const int64_t unix_ms = UnixMsAt(seconds);
    return collector
        .Record({sender,
                 static_cast<uint64_t>(unix_ms),
                 unix_ms,
                 {{window, {{7, 3}}}}},
                unix_ms, At(seconds))
        .size();
  };
  BOOST_TEST(record(2, 4, kWindowNumber) == 0);
  BOOST_TEST(record(2, 4.9, kWindowNumber - 1) == 1);
  BOOST_TEST(record(1, 5.1, kWindowNumber) == 1);
  BOOST_TEST(collector.MissingCount(kWindowNumber, live, At(5.2)) == 1);
  BOOST_TEST(collector.MissingCount(kWindowNumber, live, At(7.5)) == 0);
  BOOST_TEST(record(2, 7.6, kWindowNumber) == 1);
  BOOST_TEST(collector.Sum(kWindowNumber)[7] == 6);
}

// Guards against counts that go to a former holder.
BOOST_AUTO_TEST_CASE(TheHolderWithTheHighestTokenIsBelievedIn) {
  DutyHolderView view(9, At(0));
  view.RecordReport({1, 5, std::chrono::seconds(4)}, At(0));
  view.RecordReport({2, 4, Duration(0)}, At(0));
  view.RecordReport({9, 8, Duration(0)}, At(0));
  BOOST_TEST(view.Current(At(0)).address == 1);
  view.RecordReport({3, 5, std::chrono::seconds(2)}, At(0));
  BOOST_TEST(view.Current(At(0)).address == 3);
  BOOST_TEST(view.Current(At(31)).address == 0);
  view.RecordReport({2, 4, Duration(0)}, At(31));
  BOOST_TEST(view.Current(At(31)).address == 2);
  view.RecordOwn(6, At(31));
  BOOST_TEST(view.Current(At(31)).address == 9);
  BOOST_TEST(view.highest_other_token() == 5u);
}

}  // namespace endiveyard
