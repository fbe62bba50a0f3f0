#include "routing/candidate_estimate.h"

#include <algorithm>
#include <cmath>

namespace endiveyard {

namespace {

// Weight of one measurement in the learnt prefill rate.
constexpr double kRateWeight = 0.1;
// Shorter prefills measure the network and the batching delay, not the rate.
constexpr double kMinMeasuredTokens = 256;
// Time over which the share of busy reports is averaged.
constexpr double kBusyShareSeconds = 5;
// Age at which a report has lost 63 % of its weight. Of 0.25, 0.5, 1, 2 and
// 4 s, 2 s was best over the workloads of routing_policy_experiment.
constexpr double kReportWeightSeconds = 2;
// A learnt rate stays within this factor of the configured one, so that a
// few bad measurements can't make a target look free or unusable.
constexpr double kMaxRateFactor = 10;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

// Both directions of the way to the target.
Duration NetworkTime(const Target& target, const TargetRouterOptions& options) {
  if (target.info.region != options.region) {
    return 2 * options.cross_region_latency;
  }
  if (target.info.failure_domain != options.failure_domain) {
    return 2 * options.same_region_latency;
  }
  return Duration(0);
}

// Moves the reported queue towards the average as the report ages: other
// instances saw the same report and sent their work to the shortest queues.
double StalenessCorrection(const Target& target,
                           const PeerLoad& peers,
                           const TargetRouterOptions& options,
                           TimePoint now) {
  if (peers.targets == 0 || !target.reported) {
    return 0;
  }
  const double age =
      Seconds(options.expected_report_lag + (now - target.reported_at));
  const double lost_weight = 1 - std::exp(-age / kReportWeightSeconds);
  return lost_weight * (peers.queued_tokens -
                        static_cast<double>(target.load.queued_prefill_tokens));
}

}  // namespace

double QueuedTokens(const Target& target, TimePoint now) {
  const double drained =
      Seconds(now - target.backlog_at) / target.seconds_per_token;
  return std::max(0.0, target.backlog_tokens - std::max(0.0, drained));
}

int RunningSequences(const Target& target) {
  return std::max(static_cast<int>(target.in_flight.size()),
                  target.load.running_sequences + target.running_delta);
}

int64_t UncachedTokens(const RouteRequest& request, int64_t cached_tokens) {
  // A decode target imports the KV cache of the prompt.
  if (request.phase == RoutePhase::kDecode) {
    return 0;
  }
  return std::max<int64_t>(0, request.prompt_tokens - cached_tokens);
}

void AddToPeerLoad(const Target& target, PeerLoad* peers) {
  const double weight = 1.0 / ++peers->targets;
  const auto queued = static_cast<double>(target.load.queued_prefill_tokens);
  peers->queued_tokens += weight * (queued - peers->queued_tokens);
  peers->busy_share += weight * (target.busy_share - peers->busy_share);
}

RouteCandidate EstimateCandidate(const Target& target,
                                 const RouteRequest& request,
                                 int cached_blocks,
                                 const PeerLoad& peers,
                                 const TargetRouterOptions& options,
                                 TimePoint now) {
  const double queued =
      std::max(0.0, QueuedTokens(target, now) +
                        StalenessCorrection(target, peers, options, now));
  const int64_t uncached =
      UncachedTokens(request, cached_blocks * kTokensPerBlock);
  const double compute_seconds =
      static_cast<double>(uncached) * target.seconds_per_token;
  RouteCandidate candidate;
  candidate.cached_tokens =
      std::min<int64_t>(request.prompt_tokens, cached_blocks * kTokensPerBlock);
  candidate.queued_tokens = static_cast<int64_t>(queued);
  candidate.prefill =
      FromSeconds(queued * target.seconds_per_token + compute_seconds);
  candidate.decode_wait =
      options.decode_wait_per_sequence * RunningSequences(target);
  candidate.network = NetworkTime(target, options);
  candidate.first_token =
      candidate.prefill + candidate.decode_wait + candidate.network;
  // In a queue that is busy for a share b of the time, a second of work
  // delays the work behind it by b / (1 - b) seconds in total. One factor for
  // all candidates keeps noise in b from deciding between equal ones.
  const double factor =
      std::min(options.max_shared_cost_factor,
               peers.busy_share / std::max(1e-6, 1 - peers.busy_share));
  candidate.shared_cost = FromSeconds(factor * compute_seconds);
  return candidate;
}

void CorrectByReport(Target& target, Duration report_lag, TimePoint now) {
  if (target.reported_at != TimePoint()) {
    const double busy = target.load.queued_prefill_tokens > 0 ? 1 : 0;
    const double weight =
        1 - std::exp(-Seconds(now - target.reported_at) / kBusyShareSeconds);
    target.busy_share += weight * (busy - target.busy_share);
  }
  target.reported_at = now;
  target.backlog_tokens =
      static_cast<double>(target.load.queued_prefill_tokens);
  target.backlog_at = now;
  target.running_delta = 0;
  for (const InFlightAttempt& it : target.in_flight) {
    if (now - it.started < report_lag) {
      ++target.running_delta;
      if (!it.prefilled) {
        target.backlog_tokens += static_cast<double>(it.uncached_tokens);
      }
    }
  }
}

void AddAttempt(Target& target, const InFlightAttempt& attempt, TimePoint now) {
  target.backlog_tokens =
      QueuedTokens(target, now) + static_cast<double>(attempt.uncached_tokens);
  target.backlog_at = now;
  ++target.running_delta;
  target.in_flight.push_back(attempt);
}

void LearnPrefillRate(Target& target,
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
  target.seconds_per_token +=
      kRateWeight * (seconds / tokens - target.seconds_per_token);
  target.seconds_per_token =
      std::clamp(target.seconds_per_token, expected / kMaxRateFactor,
                 expected * kMaxRateFactor);
}

}  // namespace endiveyard
