#ifndef ENDIVEYARD_DUTIES_CLOCK_MEDIAN_H_
#define ENDIVEYARD_DUTIES_CLOCK_MEDIAN_H_

#include <cstdint>
#include <map>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// True time as the median of the clocks of all instances that are heard. The
// clocks of single instances may be wrong by seconds and may jump. No I/O.
class ClockMedian {
 public:
  // Records the time of day of the own machine, in ms of Unix time. Has to be
  // called before the first UnixMs() and then several times a second; applies
  // what was heard of the others since the last call.
  void RecordOwn(int64_t unix_ms, TimePoint now);
  // Records the time of day that a report of another instance states, at its
  // arrival. Ignored if the report may have waited to be read.
  void RecordPeer(uint32_t peer, int64_t unix_ms, TimePoint now);

  // Returns the time of day in ms of Unix time.
  int64_t UnixMs(TimePoint now) const;

 private:
  struct Reading {
    int64_t offset_ms = 0;  // Unix time minus BootClock
    TimePoint at{};
  };

  std::map<uint32_t, Reading> peers_;
  int64_t offset_ms_ = 0;
  TimePoint last_own_{};
  TimePoint ignored_until_{};
  bool has_own_ = false;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_DUTIES_CLOCK_MEDIAN_H_
