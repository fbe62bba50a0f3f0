#include "routing/candidate_estimate.h"

#include <algorithm>
#include <cmath>

namespace endiveyard {

namespace {

// Weight of one measurement in the moving average of the prefill time per
// token.
constexpr double kPrefillRateSampleWeight = 0.1;
// Minimum prefill length of a measurement. Shorter ones are dominated by
// network and batching delays.
constexpr double kMinMeasuredTokens = 256;
// Time constant of the average share of reports with a prefill queue.
constexpr double kBusyShareTimeConstantSeconds = 5;
// Age at which a report has lost 63 % of its weight. 2 s gave the best results
// of 0.25, 0.5, 1, 2 and 4 s over the workloads of routing_policy_experiment.
constexpr double kReportTimeConstantSeconds = 2;
// Maximum ratio between the estimated and the configured prefill rate, in both
// directions. Keeps a few bad measurements from making a target look idle or
// unusable.
constexpr double kMaxPrefillRateFactor = 10;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

// Network round-trip time to the target.
Duration NetworkTime(const Target& target, const TargetRouterOptions& options) {
  if (target.info.region != options.region) {
    return 2 * options.cross_region_latency;
  }
  if (target.info.failure_domain != options.failure_domain) {
    return 2 * options.same_region_latency;
  }
  return Duration(0);
}

// Returns the correction that moves the reported queue length towards the
// average of the candidates as the report ages: other instances received the
// same report and sent their requests to the targets with the shortest queues.
double StalenessCorrection(const Target& target,
                           const CandidateAverage& average,
                           const TargetRouterOptions& options,
                           TimePoint now) {
  if (average.targets == 0 || !target.has_report) {
    return 0;
  }
  const double age =
      Seconds(options.expected_report_lag + (now - target.reported_at));
  const double lost_weight = 1 - std::exp(-age / kReportTimeConstantSeconds);
  return lost_weight * (average.queued_tokens -
                        static_cast<double>(target.load.queued_prefill_tokens));
}

}  // namespace

double QueuedTokens(const Target& target, TimePoint now) {
  const double processed_tokens = Seconds(now - target.queue_estimated_at) /
                                  target.prefill_seconds_per_token;
  return std::max(
      0.0, target.estimated_queue_tokens - std::max(0.0, processed_tokens));
}

int RunningSequences(const Target& target) {
  return std::max(
      static_cast<int>(target.in_flight.size()),
      target.load.running_sequences + target.running_sequences_delta);
}

int64_t UncachedTokens(const RouteRequest& request, int64_t cached_tokens) {
  // A decode target imports the KV cache of the prompt and computes none of it.
  if (request.phase == RoutePhase::kDecode) {
    return 0;
  }
  return std::max<int64_t>(0, request.prompt_tokens - cached_tokens);
}

void AddToAverage(const Target& target, CandidateAverage* average) {
  const double weight = 1.0 / ++average->targets;
  const auto queued = static_cast<double>(target.load.queued_prefill_tokens);
  average->queued_tokens += weight * (queued - average->queued_tokens);
  average->busy_share += weight * (target.busy_share - average->busy_share);
}

RouteCandidate EstimateCandidate(const Target& target,
                                 const RouteRequest& request,
                                 int cached_blocks,
                                 const CandidateAverage& average,
                                 const TargetRouterOptions& options,
                                 TimePoint now) {
  const double queued =
      std::max(0.0, QueuedTokens(target, now) +
                        StalenessCorrection(target, average, options, now));
  const int64_t uncached =
      UncachedTokens(request, cached_blocks * kTokensPerBlock);
  const double compute_seconds =
      static_cast<double>(uncached) * target.prefill_seconds_per_token;
  RouteCandidate candidate;
  candidate.cached_tokens =
      std::min<int64_t>(request.prompt_tokens, cached_blocks * kTokensPerBlock);
  candidate.queued_tokens = static_cast<int64_t>(queued);
  candidate.prefill =
      FromSeconds(queued * target.prefill_seconds_per_token + compute_seconds);
  candidate.decode_wait =
      options.decode_wait_per_sequence * RunningSequences(target);
  candidate.network = NetworkTime(target, options);
  candidate.first_token =
      candidate.prefill + candidate.decode_wait + candidate.network;
  // In a queue that is busy for a share b of the time, one second of work
  // delays later work by b / (1 - b) seconds in total. All candidates use the
  // same factor, so that noise in b does not decide between equal candidates.
  const double factor =
      std::min(options.max_delay_to_others_factor,
               average.busy_share / std::max(1e-6, 1 - average.busy_share));
  candidate.delay_to_others = FromSeconds(factor * compute_seconds);
  return candidate;
}

void UpdateFromReport(Target& target, Duration report_lag, TimePoint now) {
  if (target.reported_at != TimePoint()) {
    const double busy = target.load.queued_prefill_tokens > 0 ? 1 : 0;
    const double weight = 1 - std::exp(-Seconds(now - target.reported_at) /
                                       kBusyShareTimeConstantSeconds);
    target.busy_share += weight * (busy - target.busy_share);
  }
  target.reported_at = now;
  target.estimated_queue_tokens =
      static_cast<double>(target.load.queued_prefill_tokens);
  target.queue_estimated_at = now;
  target.running_sequences_delta = 0;
  for (const InFlightAttempt& it : target.in_flight) {
    if (now - it.started < report_lag) {
      ++target.running_sequences_delta;
      if (!it.prefilled) {
        target.estimated_queue_tokens +=
            static_cast<double>(it.uncached_tokens);
      }
    }
  }
}

void AddInFlightAttempt(Target& target,
                        const InFlightAttempt& attempt,
                        TimePoint now) {
  target.estimated_queue_tokens =
      QueuedTokens(target, now) + static_cast<double>(attempt.uncached_tokens);
  target.queue_estimated_at = now;
  ++target.running_sequences_delta;
  target.in_flight.push_back(attempt);
}

void UpdatePrefillRate(Target& target,
                       const InFlightAttempt& attempt,
                       Duration first_token,
                       const TargetRouterOptions& options) {
  const double tokens =
      attempt.queued_tokens + static_cast<double>(attempt.uncached_tokens);
  const double seconds = Seconds(first_token - NetworkTime(target, options)) -
                         attempt.decode_wait_seconds;
  if (tokens < kMinMeasuredTokens || seconds <= 0) {
    return;
  }
  const double expected = 1 / options.prefill_tokens_per_second;
  target.prefill_seconds_per_token +=
      kPrefillRateSampleWeight *
      (seconds / tokens - target.prefill_seconds_per_token);
  target.prefill_seconds_per_token = std::clamp(
      target.prefill_seconds_per_token, expected / kMaxPrefillRateFactor,
      expected * kMaxPrefillRateFactor);
}

}  // namespace endiveyard
