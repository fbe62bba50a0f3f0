#ifndef ENDIVEYARD_DUTIES_USAGE_COUNTER_H_
#define ENDIVEYARD_DUTIES_USAGE_COUNTER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string_view>

#include "endiveyard/base/time_point.h"
#include "endiveyard/duties/clock_median.h"
#include "endiveyard/duties/usage_counts.h"

namespace endiveyard {

// An instance tells the counts of this many windows that have ended.
inline constexpr size_t kMaxToldWindows = 4;
// Limit on the customers counted in one window, which bounds the memory and the
// size of a report.
inline constexpr size_t kMaxCountedCustomers = 512;

// Counts, for each customer, the requests of the callers of this instance that
// began to run in each window. Single-threaded.
class UsageCounter {
 public:
  // `clock` has to outlive the counter and to know the time.
  UsageCounter(const ClockMedian* clock, Duration window);

  // Counts a request whose first output goes to the caller now.
  void RecordStart(std::string_view customer, TimePoint now);
  // Closes the windows that have ended.
  void Advance(TimePoint now);

  // Returns the latest windows that have ended, in order. Their counts do not
  // change any more: a request that is counted late, since the clock was set
  // back, goes to the present window.
  const std::deque<WindowUsage>& ended() const { return ended_; }
  // Returns the counts so far of the window that has not ended.
  WindowUsage present() const;
  // Returns the number of requests left out beyond the limit on customers.
  uint64_t left_out() const { return left_out_; }

 private:
  void AddEnded(WindowUsage usage);

  const ClockMedian& clock_;
  const int64_t window_ms_;
  int64_t window_ = 0;  // 0 before the first call
  std::map<uint64_t, uint32_t> counts_;
  std::deque<WindowUsage> ended_;
  uint64_t left_out_ = 0;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_DUTIES_USAGE_COUNTER_H_
