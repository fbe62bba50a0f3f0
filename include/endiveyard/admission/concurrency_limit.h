#ifndef ENDIVEYARD_ADMISSION_CONCURRENCY_LIMIT_H_
#define ENDIVEYARD_ADMISSION_CONCURRENCY_LIMIT_H_

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Adaptive limit on the requests in flight to one target, derived from the
// latency of its responses.
struct ConcurrencyLimit {
  double limit = 1;
  double max_limit = 1;
  // Minimum latency of the current and of the previous window; 0: no sample.
  double min_latency_current = 0;
  double min_latency_previous = 0;
  TimePoint window_start;
  TimePoint last_decrease;
  bool has_decreased = false;
};

// Returns a limit that starts at `initial` and grows to at most four times
// that.
ConcurrencyLimit MakeConcurrencyLimit(int initial, TimePoint now);

// Records the latency of one response, in any unit that all calls share. If the
// latency exceeds twice the recent minimum, multiplies the limit by 0.9;
// otherwise, if `in_flight` has reached the limit, increases it by 1/limit.
// Decreases are at least 200 ms apart. O(1).
void RecordLatency(ConcurrencyLimit* limit,
                   double latency,
                   int in_flight,
                   TimePoint now);

// Records a failed attempt: multiplies the limit by 0.7, unless it was
// decreased less than 200 ms ago.
void RecordFailure(ConcurrencyLimit* limit, TimePoint now);

// Returns the limit rounded down, at least 1.
int AllowedInFlight(const ConcurrencyLimit& limit);

}  // namespace endiveyard

#endif  // ENDIVEYARD_ADMISSION_CONCURRENCY_LIMIT_H_
