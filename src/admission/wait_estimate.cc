#include "endiveyard/admission/wait_estimate.h"

#include <algorithm>

namespace endiveyard {
namespace {

// Weight of a new interval in the moving average.
constexpr double kSmoothingFactor = 0.125;

}  // namespace

void RecordBacklog(WaitEstimate* estimate, TimePoint now) {
  if (!estimate->backlogged) {
    estimate->backlogged = true;
    estimate->last_dispatch = now;
  }
}

void RecordDispatch(WaitEstimate* estimate, size_t remaining, TimePoint now) {
  if (estimate->backlogged) {
    const auto interval =
        static_cast<double>((now - estimate->last_dispatch).count());
    estimate->mean_interval_micros =
        estimate->mean_interval_micros == 0
            ? interval
            : estimate->mean_interval_micros +
                  kSmoothingFactor *
                      (interval - estimate->mean_interval_micros);
  }
  estimate->last_dispatch = now;
  estimate->backlogged = remaining > 0;
}

Duration EstimateWait(const WaitEstimate& estimate,
                      size_t ahead,
                      TimePoint now) {
  if (!estimate.backlogged || estimate.mean_interval_micros == 0) {
    return Duration(0);
  }
  // If the last dispatch is longer ago than the mean interval, the flow has
  // become slower than the mean.
  const auto since_dispatch =
      static_cast<double>((now - estimate.last_dispatch).count());
  const double interval =
      std::max(estimate.mean_interval_micros, since_dispatch);
  return Duration(
      static_cast<int64_t>(interval * static_cast<double>(ahead + 1)));
}

}  // namespace endiveyard
