#ifndef ENDIVEYARD_ADMISSION_WAIT_ESTIMATE_H_
#define ENDIVEYARD_ADMISSION_WAIT_ESTIMATE_H_

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Moving average of the interval between dispatches from one flow while
// requests are queued in it.
struct WaitEstimate {
  double mean_interval_micros = 0;  // 0: no sample yet
  TimePoint last_dispatch;
  bool backlogged = false;
};

// Records that a request was queued at `now`.
void RecordBacklog(WaitEstimate* estimate, TimePoint now);

// Records a dispatch, after which `remaining` requests are queued in the flow.
void RecordDispatch(WaitEstimate* estimate, size_t remaining, TimePoint now);

// Returns the expected wait of a request behind `ahead` others. Returns 0 for a
// flow that is idle or has no sample, so that no request is rejected without a
// measurement.
Duration EstimateWait(const WaitEstimate& estimate,
                      size_t ahead,
                      TimePoint now);

}  // namespace endiveyard

#endif  // ENDIVEYARD_ADMISSION_WAIT_ESTIMATE_H_
