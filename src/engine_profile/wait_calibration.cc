#include "endiveyard/engine_profile/wait_calibration.h"

#include <algorithm>

namespace endiveyard {
namespace {

constexpr size_t kMaxSamples = 64;
// Long enough for some samples at one request per second, short enough to
// follow a burst.
constexpr Duration kSampleLifetime = std::chrono::seconds(5);

// Added to both times of a ratio, so that small absolute differences of short
// waits do not count as large errors.
constexpr double kAddedUs = 50000;
constexpr double kMinRatio = 0.2;
constexpr double kMaxRatio = 50;

// Weight, in samples, of the assumption that predictions are right.
constexpr double kPriorSamples = 8;
constexpr double kUpperQuantile = 0.9;
// An abandoned wait counts as at most this multiple of the upper ratio.
constexpr double kMaxAbandonedGrowth = 1.5;

double Ratio(Duration predicted, Duration actual) {
  const double ratio = (static_cast<double>(actual.count()) + kAddedUs) /
                       (static_cast<double>(predicted.count()) + kAddedUs);
  return std::clamp(ratio, kMinRatio, kMaxRatio);
}

Duration Scale(Duration predicted, double ratio) {
  const double scaled =
      (static_cast<double>(predicted.count()) + kAddedUs) * ratio - kAddedUs;
  return Duration(static_cast<int64_t>(std::max(0.0, scaled)));
}

}  // namespace

WaitCalibration::WaitCalibration() : ratios_(kMaxSamples, kSampleLifetime) {}

void WaitCalibration::ObserveWait(Duration predicted,
                                  Duration actual,
                                  TimePoint now) {
  ratios_.Add(Ratio(predicted, actual), now);
}

void WaitCalibration::ObserveAbandoned(Duration predicted,
                                       Duration waited,
                                       TimePoint now) {
  ratios_.Add(
      std::min(Ratio(predicted, waited), UpperRatio(now) * kMaxAbandonedGrowth),
      now);
}

Duration WaitCalibration::Expected(Duration predicted, TimePoint now) const {
  const auto n = static_cast<double>(ratios_.size(now));
  const double median = ratios_.Quantile(0.5, now).value_or(1);
  return Scale(predicted, (kPriorSamples + n * median) / (kPriorSamples + n));
}

Duration WaitCalibration::Upper(Duration predicted, TimePoint now) const {
  return Scale(predicted, UpperRatio(now));
}

double WaitCalibration::UpperRatio(TimePoint now) const {
  return std::max(1.0, ratios_.Quantile(kUpperQuantile, now).value_or(1));
}

}  // namespace endiveyard
