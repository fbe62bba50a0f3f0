#ifndef ENDIVEYARD_ENGINE_PROFILE_WAIT_CALIBRATION_H_
#define ENDIVEYARD_ENGINE_PROFILE_WAIT_CALIBRATION_H_

#include "endiveyard/base/time_point.h"
#include "endiveyard/engine_profile/sample_window.h"

namespace endiveyard {

// Compares predicted with actual waiting times, and corrects later predictions
// by the typical ratio. The ratios of the last seconds count, so that a
// correction ends soon after its cause. Not thread-safe.
class WaitCalibration {
 public:
  WaitCalibration();

  // Records that a wait that was predicted as `predicted` took `actual`.
  void ObserveWait(Duration predicted, Duration actual, TimePoint now);
  // Records that a wait was given up after `waited`. Its real length is
  // unknown, so that it raises the upper end of the ratios step by step: many
  // such waits mean that the predictions are wrong, a few that targets hang.
  void ObserveAbandoned(Duration predicted, Duration waited, TimePoint now);

  // Returns the expected length of a wait predicted as `predicted`.
  Duration Expected(Duration predicted, TimePoint now) const;
  // Returns a length that few of the waits exceed, never below `predicted`.
  Duration Upper(Duration predicted, TimePoint now) const;

 private:
  double UpperRatio(TimePoint now) const;

  SampleWindow ratios_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_ENGINE_PROFILE_WAIT_CALIBRATION_H_
