#ifndef ENDIVEYARD_BASE_TIME_POINT_H_
#define ENDIVEYARD_BASE_TIME_POINT_H_

#include <chrono>

namespace endiveyard {

using Duration = std::chrono::microseconds;

// Monotonic clock that also advances while the machine is suspended, so that a
// lease holder finds its lease expired after a suspension.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
  static constexpr bool is_steady = true;

  // Reads CLOCK_BOOTTIME.
  static time_point now();
};

using TimePoint = BootClock::time_point;

// Returns the time point `micros` microseconds after boot, for tests and
// replay.
constexpr TimePoint TimePointFromMicros(int64_t micros) {
  return TimePoint(Duration(micros));
}

}  // namespace endiveyard

#endif  // ENDIVEYARD_BASE_TIME_POINT_H_
