#ifndef ENDIVEYARD_SRC_PLACEMENT_PLACER_CANDIDATE_H_
#define ENDIVEYARD_SRC_PLACEMENT_PLACER_CANDIDATE_H_

#include <algorithm>
#include <optional>
#include <vector>

#include "endiveyard/placement/placer.h"

namespace endiveyard {

// A prefill on a decode engine delays each stream that it runs. Each stream
// adds this share of the prefill time to the cost.
inline constexpr double kInterferencePerStream = 0.1;
// With more streams than this share of the slots, the accumulated delays cause
// missed deadlines, so the cost grows with the square of their number.
inline constexpr double kBusyShareOfSlots = 0.125;
// Duration of a call to a plain service that has not been measured.
inline constexpr double kInitialPlainCallMs = 20;

// Requests with less work count as this much.
inline constexpr double kMinWorkMs = 1;

// Returns the delay that a prefill on a decode engine causes to its streams, as
// a multiple of the prefill time.
inline double InterferenceFactor(double streams, int slots) {
  const double busy_streams =
      kBusyShareOfSlots * (slots > 0 ? slots : kDefaultSlots);
  return kInterferencePerStream * streams *
         std::max(1.0, streams / busy_streams);
}

// A replica that may be chosen for a request, with its estimated costs in
// milliseconds.
struct Placer::Candidate {
  const Replica* replica = nullptr;
  const Replica* cache_source = nullptr;
  double uncached = 0;
  double copied = 0;          // tokens from `cache_source`
  double queue_ms = 0;        // prefilling the prompts queued ahead
  double prefill_ms = 0;      // prefilling this prompt
  double batch_delay_ms = 0;  // delay that the batch adds to the first token
  double output_ms = 0;       // of the output tokens
  // Difference of the duration of a call to a plain service from the usual one,
  // which the other times leave out.
  double call_difference_ms = 0;
  double cache_cost_ms = 0;  // cost of copying and recomputing shared parts
  double penalty_ms = 0;     // for distance, failures and backoff
  double turn_wait_ms = 0;   // until the rate limit allows the request
  double requests = 0;
  bool is_limited = false;  // the limit on its calls allows no more
  double mean_work_ms = 0;  // of the requests to the service; 0 if it is plain

  // After `turn_wait_ms`.
  double FirstOutputMs() const {
    return queue_ms + prefill_ms + batch_delay_ms;
  }
  double PrefillCostMs() const {
    return FirstOutputMs() + cache_cost_ms + penalty_ms +
           TurnCostMs(prefill_ms);
  }
  // Time of the engine that prefilling and running the request takes: each
  // stream lengthens all steps.
  double WorkMs() const {
    return prefill_ms + kStepSlowdownPerRequest * output_ms;
  }
  // Cost of waiting for a turn with `work_ms` of work, and of making later
  // requests wait. A large request takes no more from a rate limit than a small
  // one, but relieves other replicas of more work, so that small ones leave
  // their turns to large ones.
  double TurnCostMs(double work_ms) const {
    return turn_wait_ms * (1 + mean_work_ms / std::max(kMinWorkMs, work_ms));
  }
  // Cost of running the request after a prefill on another engine.
  double RunCostMs() const {
    return queue_ms + batch_delay_ms + output_ms + penalty_ms;
  }
  // Cost of prefilling and running on the same engine. A prefill on a decode
  // engine delays the streams that it runs.
  double ColocatedCostMs() const {
    return FirstOutputMs() + call_difference_ms + cache_cost_ms + penalty_ms +
           output_ms +
           InterferenceFactor(requests, replica->slots) * prefill_ms +
           TurnCostMs(WorkMs());
  }
};

// What the costs of all candidates of one query depend on.
struct Placer::QueryContext {
  const PlacementQuery& query;
  TimePoint now{};
  PlacementCosts costs;
  EngineProfile profile;
  double plain_call_ms = kInitialPlainCallMs;
  bool has_live_peers = false;
  std::vector<CacheSource> sources;
  std::vector<const Replica*> usable;  // of the service, in order of id
  // Time after which the first of the replicas that are left out because of
  // their rate limit gets another request.
  std::optional<Duration> rate_limit_wait;
  double mean_work_ms = 0;
  bool with_call_limits = false;
  double limit_factor = 1;
  // Some candidate is.
  bool is_limited = false;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_PLACEMENT_PLACER_CANDIDATE_H_
