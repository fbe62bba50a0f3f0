#ifndef ENDIVEYARD_TESTS_FRONT_FAKE_CLOCK_H_
#define ENDIVEYARD_TESTS_FRONT_FAKE_CLOCK_H_

#include <algorithm>
#include <functional>
#include <map>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Time, and what is to happen later.
class Clock {
 public:
  TimePoint now() const { return now_; }
  void Schedule(Duration delay, std::function<void()> action) {
    actions_.emplace(now_ + delay, std::move(action));
  }
  void Advance(Duration duration) {
    const TimePoint until = now_ + duration;
    while (!actions_.empty() && actions_.begin()->first <= until) {
      const auto first = actions_.begin();
      now_ = std::max(now_, first->first);
      const std::function<void()> action = std::move(first->second);
      actions_.erase(first);
      action();
    }
    now_ = until;
  }

 private:
  TimePoint now_ = TimePointFromMicros(1000000000);
  std::multimap<TimePoint, std::function<void()>> actions_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_TESTS_FRONT_FAKE_CLOCK_H_
