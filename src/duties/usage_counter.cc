#include "endiveyard/duties/usage_counter.h"

#include <algorithm>
#include <utility>

#include "endiveyard/base/digest.h"

namespace endiveyard {

UsageCounter::UsageCounter(const ClockMedian* clock, Duration window)
    : clock_(*clock),
      window_ms_(std::max<int64_t>(
          1,
          std::chrono::duration_cast<std::chrono::milliseconds>(window)
              .count())) {}

void UsageCounter::RecordStart(std::string_view customer, TimePoint now) {
  Advance(now);
  const uint64_t key = Digest64(customer);
  const auto it = counts_.find(key);
  if (it != counts_.end()) {
    ++it->second;
  } else if (counts_.size() < kMaxCountedCustomers) {
    counts_.emplace(key, 1);
  } else {
    ++left_out_;
  }
}

void UsageCounter::Advance(TimePoint now) {
  const int64_t window = clock_.UnixMs(now) / window_ms_;
  // The clock was set back by more than a window: what has ended by the former
  // time is forgotten. By less, the present window lasts until then.
  constexpr int64_t kMaxSetBack = 1;
  if (window_ == 0 || window_ - window > kMaxSetBack) {
    // The process may replace one that has ended. The empty windows tell the
    // holder of the duties that nothing is to come for them.
    ended_.clear();
    window_ = window - static_cast<int64_t>(kMaxToldWindows);
    while (window_ < window) {
      AddEnded({window_++, {}});
    }
    return;
  }
  if (window <= window_) {
    return;
  }
  AddEnded(present());
  counts_.clear();
  window_ =
      std::max(window_ + 1, window - static_cast<int64_t>(kMaxToldWindows));
  while (window_ < window) {
    AddEnded({window_++, {}});
  }
}

WindowUsage UsageCounter::present() const {
  WindowUsage usage;
  usage.window = window_;
  for (const auto& [key, requests] : counts_) {
    usage.customers.push_back({key, requests});
  }
  return usage;
}

void UsageCounter::AddEnded(WindowUsage usage) {
  ended_.push_back(std::move(usage));
  if (ended_.size() > kMaxToldWindows) {
    ended_.pop_front();
  }
}

}  // namespace endiveyard
