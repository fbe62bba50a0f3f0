#include "endiveyard/engine_profile/sample_window.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace endiveyard {

SampleWindow::SampleWindow(size_t capacity, Duration lifetime)
    : capacity_(capacity), lifetime_(lifetime) {}

void SampleWindow::Add(double value, TimePoint now) {
  if (!std::isfinite(value)) {
    return;
  }
  if (samples_.size() >= capacity_) {
    samples_.pop_front();
  }
  samples_.push_back({now, value});
}

size_t SampleWindow::size(TimePoint now) const {
  RemoveExpired(now);
  return samples_.size();
}

std::optional<double> SampleWindow::Quantile(double q, TimePoint now) const {
  RemoveExpired(now);
  if (samples_.empty()) {
    return std::nullopt;
  }
  std::vector<double> values;
  values.reserve(samples_.size());
  for (const Sample& it : samples_) {
    values.push_back(it.value);
  }
  const auto rank = static_cast<std::ptrdiff_t>(std::lround(
      std::clamp(q, 0.0, 1.0) * static_cast<double>(values.size() - 1)));
  std::nth_element(values.begin(), values.begin() + rank, values.end());
  return values[static_cast<size_t>(rank)];
}

std::optional<double> SampleWindow::HighestMode(double width,
                                                double share,
                                                TimePoint now) const {
  RemoveExpired(now);
  std::vector<double> values;
  values.reserve(samples_.size());
  for (const Sample& it : samples_) {
    if (it.value > 0) {
      values.push_back(it.value);
    }
  }
  std::sort(values.begin(), values.end());
  struct Interval {
    size_t begin = 0;
    size_t count = 0;
  };
  std::vector<Interval> intervals;
  size_t max_count = 0;
  size_t begin = 0;
  for (size_t end = 0; end < values.size(); ++end) {
    while (values[end] > values[begin] * width) {
      ++begin;
    }
    intervals.push_back({begin, end - begin + 1});
    max_count = std::max(max_count, intervals.back().count);
  }
  const double min_count = share * static_cast<double>(max_count);
  for (auto it = intervals.rbegin(); it != intervals.rend(); ++it) {
    if (static_cast<double>(it->count) >= min_count) {
      return values[it->begin + it->count / 2];
    }
  }
  return std::nullopt;
}

void SampleWindow::RemoveExpired(TimePoint now) const {
  while (!samples_.empty() && now - samples_.front().time >= lifetime_) {
    samples_.pop_front();
  }
}

}  // namespace endiveyard
