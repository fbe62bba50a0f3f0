#ifndef ENDIVEYARD_ENGINE_PROFILE_ENGINE_PROFILE_H_
#define ENDIVEYARD_ENGINE_PROFILE_ENGINE_PROFILE_H_

#include <cstdint>
#include <map>

#include "endiveyard/base/time_point.h"
#include "endiveyard/engine_profile/sample_window.h"

namespace endiveyard {

// Speed of the engines of one service.
struct EngineProfile {
  // Prompt tokens per ms that a prefill engine processes without a queue.
  double prefill_tokens_per_ms = 0;
  // Time per output token in an empty batch, in ms.
  double step_ms = 0;

  bool operator==(const EngineProfile& other) const {
    return prefill_tokens_per_ms == other.prefill_tokens_per_ms &&
           step_ms == other.step_ms;
  }
};

// What one instance has measured, as reported to other instances.
struct MeasuredProfile {
  EngineProfile profile;
  uint32_t prefill_samples = 0;
  uint32_t step_samples = 0;

  bool operator==(const MeasuredProfile& other) const {
    return profile == other.profile &&
           prefill_samples == other.prefill_samples &&
           step_samples == other.step_samples;
  }
};

// Profile of engines that nobody has measured yet: slow enough that a typical
// fleet is not overloaded before the first measurements, some seconds later.
inline constexpr EngineProfile kInitialEngineProfile{50, 3};

// Share by which each request in a batch slows down a step: decoding is bound
// by reading the weights, which the requests of a batch share.
inline constexpr double kStepSlowdownPerRequest = 0.04;

// Estimates the profile of the engines of one service from the calls of this
// instance and from what other instances measured. Not thread-safe.
class EngineProfileEstimator {
 public:
  // Records a prefill call of `tokens` prompt tokens that were expected not to
  // be cached. Waiting in the queue of the engine makes a sample too low, and
  // tokens that were cached after all make it too high, in both cases by
  // varying factors, while the other samples agree: the most frequent value
  // counts.
  void ObservePrefill(double tokens, Duration elapsed, TimePoint now);
  // Records that about `tokens` output tokens arrived within `elapsed`, while
  // `running` requests were in the batch. Prefills in the same batch make a
  // sample too high, so that a low quantile counts.
  void ObserveOutput(double tokens,
                     double running,
                     Duration elapsed,
                     TimePoint now);
  // Applies the measurements of another instance. Implausible values are
  // ignored.
  void ApplyPeer(uint64_t peer, const MeasuredProfile& measured, TimePoint now);

  // Returns the estimate from all measurements. Each instance weighs by its
  // samples up to a limit, and the median counts, so that a few instances with
  // wrong values do not determine the result.
  EngineProfile Profile(TimePoint now) const;
  // Returns what this instance has measured itself.
  MeasuredProfile Measured(TimePoint now) const;

 private:
  struct PeerEntry {
    MeasuredProfile measured;
    TimePoint received{};
  };

  static constexpr Duration kSampleLifetime = std::chrono::seconds(60);
  static constexpr size_t kMaxSamples = 128;

  void RefreshCache(TimePoint now) const;

  SampleWindow prefill_tokens_per_ms_{kMaxSamples, kSampleLifetime};
  SampleWindow step_ms_{kMaxSamples, kSampleLifetime};
  // Taken as the overhead of a call.
  Duration min_prefill_duration_{};
  std::map<uint64_t, PeerEntry> peers_;
  mutable EngineProfile cached_ = kInitialEngineProfile;
  mutable TimePoint cached_at_{};
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_ENGINE_PROFILE_ENGINE_PROFILE_H_
