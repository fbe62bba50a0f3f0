#include "endiveyard/base/time_point.h"

#include <time.h>

namespace endiveyard {

BootClock::time_point BootClock::now() {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return time_point(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec)));
}

}  // namespace endiveyard
