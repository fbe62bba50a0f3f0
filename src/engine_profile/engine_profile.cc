#include "endiveyard/engine_profile/engine_profile.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace endiveyard {
namespace {

// Factor by which samples differ that count as the same speed.
constexpr double kSameSpeedFactor = 1.15;
// Calls that wait may agree as well, if the queues are alike, so that a speed
// counts which is less frequent than the most frequent one, but higher.
constexpr double kMinModeShare = 0.4;
// Steps that also prefill the prompts of other requests take longer.
constexpr double kStepQuantile = 0.25;

// A prefill that should take less is dominated by the overhead of the call.
constexpr double kMinPrefillSampleMs = 20;

// Range of plausible values, for samples and for the reports of peers.
constexpr double kMinPrefillTokensPerMs = 0.05;
constexpr double kMaxPrefillTokensPerMs = 10000;
constexpr double kMinStepMs = 0.05;
constexpr double kMaxStepMs = 5000;

// Limit on the samples by which an instance is weighed.
constexpr double kMaxWeight = 32;
// Weight of kInitialEngineProfile.
constexpr double kInitialWeight = 1;
constexpr Duration kPeerLifetime = std::chrono::seconds(30);
// Limits the memory that forged reports can take.
constexpr size_t kMaxPeers = 1000;
// Limits the processor time of estimates.
constexpr Duration kCacheLifetime = std::chrono::milliseconds(100);

struct WeightedValue {
  double value = 0;
  double weight = 0;
};

double WeightedMedian(std::vector<WeightedValue> values) {
  std::sort(values.begin(), values.end(),
            [](const WeightedValue& a, const WeightedValue& b) {
              return a.value < b.value;
            });
  double total = 0;
  for (const WeightedValue& it : values) {
    total += it.weight;
  }
  double sum = 0;
  for (const WeightedValue& it : values) {
    sum += it.weight;
    if (sum * 2 >= total) {
      return it.value;
    }
  }
  return 0;
}

bool IsPlausible(double value, double min, double max) {
  return std::isfinite(value) && value >= min && value <= max;
}

}  // namespace

void EngineProfileEstimator::ObservePrefill(double tokens,
                                            Duration elapsed,
                                            TimePoint now) {
  if (elapsed <= Duration(0)) {
    return;
  }
  if (min_prefill_duration_ == Duration(0) || elapsed < min_prefill_duration_) {
    min_prefill_duration_ = elapsed;
  }
  const double prefill_ms =
      static_cast<double>((elapsed - min_prefill_duration_).count()) / 1000;
  if (prefill_ms <= 0 || prefill_ms < kMinPrefillSampleMs) {
    return;
  }
  const double sample = tokens / prefill_ms;
  if (IsPlausible(sample, kMinPrefillTokensPerMs, kMaxPrefillTokensPerMs)) {
    prefill_tokens_per_ms_.Add(sample, now);
  }
}

void EngineProfileEstimator::ObserveOutput(double tokens,
                                           double running,
                                           Duration elapsed,
                                           TimePoint now) {
  if (!(tokens >= 1) || !(running >= 0)) {
    return;
  }
  const double gap_ms = static_cast<double>(elapsed.count()) / 1000 / tokens;
  const double sample = gap_ms / (1 + kStepSlowdownPerRequest * running);
  if (IsPlausible(sample, kMinStepMs, kMaxStepMs)) {
    step_ms_.Add(sample, now);
  }
}

void EngineProfileEstimator::ApplyPeer(uint64_t peer,
                                       const MeasuredProfile& measured,
                                       TimePoint now) {
  if (peers_.size() >= kMaxPeers && peers_.count(peer) == 0) {
    return;
  }
  MeasuredProfile plausible = measured;
  if (!IsPlausible(measured.profile.prefill_tokens_per_ms,
                   kMinPrefillTokensPerMs, kMaxPrefillTokensPerMs)) {
    plausible.prefill_samples = 0;
  }
  if (!IsPlausible(measured.profile.step_ms, kMinStepMs, kMaxStepMs)) {
    plausible.step_samples = 0;
  }
  peers_[peer] = {plausible, now};
}

MeasuredProfile EngineProfileEstimator::Measured(TimePoint now) const {
  MeasuredProfile measured;
  measured.prefill_samples =
      static_cast<uint32_t>(prefill_tokens_per_ms_.size(now));
  measured.step_samples = static_cast<uint32_t>(step_ms_.size(now));
  measured.profile.prefill_tokens_per_ms =
      prefill_tokens_per_ms_.HighestMode(kSameSpeedFactor, kMinModeShare, now)
          .value_or(0);
  measured.profile.step_ms = step_ms_.Quantile(kStepQuantile, now).value_or(0);
  return measured;
}

EngineProfile EngineProfileEstimator::Profile(TimePoint now) const {
  if (cached_at_ == TimePoint() || now - cached_at_ >= kCacheLifetime ||
      now < cached_at_) {
    RefreshCache(now);
  }
  return cached_;
}

void EngineProfileEstimator::RefreshCache(TimePoint now) const {
  std::vector<WeightedValue> prefill = {
      {kInitialEngineProfile.prefill_tokens_per_ms, kInitialWeight}};
  std::vector<WeightedValue> step = {
      {kInitialEngineProfile.step_ms, kInitialWeight}};
  const auto add = [&](const MeasuredProfile& it) {
    prefill.push_back({it.profile.prefill_tokens_per_ms,
                       std::min<double>(kMaxWeight, it.prefill_samples)});
    step.push_back(
        {it.profile.step_ms, std::min<double>(kMaxWeight, it.step_samples)});
  };
  add(Measured(now));
  for (const auto& [peer, entry] : peers_) {
    if (now - entry.received < kPeerLifetime) {
      add(entry.measured);
    }
  }
  cached_ = {WeightedMedian(std::move(prefill)),
             WeightedMedian(std::move(step))};
  cached_at_ = now;
}

}  // namespace endiveyard
