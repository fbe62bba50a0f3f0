#ifndef ENDIVEYARD_ENGINE_PROFILE_SAMPLE_WINDOW_H_
#define ENDIVEYARD_ENGINE_PROFILE_SAMPLE_WINDOW_H_

#include <cstddef>
#include <deque>
#include <optional>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// The most recent samples of a quantity, at most `capacity` of them and none
// older than `lifetime`.
class SampleWindow {
 public:
  SampleWindow(size_t capacity, Duration lifetime);

  // Ignores values that are not finite.
  void Add(double value, TimePoint now);
  size_t size(TimePoint now) const;
  // Returns the quantile `q`, 0 to 1, or nullopt without samples. O(samples).
  std::optional<double> Quantile(double q, TimePoint now) const;
  // Returns a positive value at which samples accumulate: the middle of an
  // interval whose ends differ at most by the factor `width`. Of the intervals
  // with at least `share` times the samples of the fullest one, the highest
  // counts. O(samples * log(samples)).
  std::optional<double> HighestMode(double width,
                                    double share,
                                    TimePoint now) const;

 private:
  struct Sample {
    TimePoint time{};
    double value = 0;
  };

  void RemoveExpired(TimePoint now) const;

  size_t capacity_;
  Duration lifetime_;
  mutable std::deque<Sample> samples_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_ENGINE_PROFILE_SAMPLE_WINDOW_H_
