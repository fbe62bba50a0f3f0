#ifndef ENDIVEYARD_ROUTING_CANDIDATE_ESTIMATE_H_
#define ENDIVEYARD_ROUTING_CANDIDATE_ESTIMATE_H_

#include <cstdint>

#include "endiveyard/base/time_point.h"
#include "endiveyard/routing/target_router.h"
#include "routing/target_view.h"

namespace endiveyard {

inline constexpr int64_t kTokensPerBlock = kPromptBlockBytes / kBytesPerToken;

// Tokens that wait for prefill on the target at `now`, as estimated from its
// last report, the own work since and the learnt prefill rate. O(1).
double QueuedTokens(const Target& target, TimePoint now);

// Sequences that the target runs, from its last report and the own work
// since. O(1).
int RunningSequences(const Target& target);

// Prompt tokens that the target has to compute for `request`, given the
// number of leading tokens in its cache.
int64_t UncachedTokens(const RouteRequest& request, int64_t cached_tokens);

// Terms of the first-token time of `request` on the target. Does not fill
// the names. O(1).
RouteCandidate EstimateCandidate(const Target& target,
                                 const RouteRequest& request,
                                 int cached_blocks,
                                 const TargetRouterOptions& options,
                                 TimePoint now);

// Fills in the delay that `prefill_seconds` of computation add to other
// requests, if targets are busy for `busy_share` of the time.
void AddSharedCost(double busy_share,
                   double prefill_seconds,
                   const TargetRouterOptions& options,
                   RouteCandidate* candidate);

// Replaces the queue estimate of the target by its report that arrived at
// `now`, plus the own work that the report is too old to include.
// O(attempts in flight on the target).
void CorrectByReport(Target& target, Duration report_lag, TimePoint now);

// Adds an attempt to the queue estimate. O(1).
void AddAttempt(Target& target, const InFlightAttempt& attempt, TimePoint now);

// Learns the prefill rate from the measured first-token time of an attempt.
void LearnPrefillRate(Target& target,
                      const InFlightAttempt& attempt,
                      Duration first_token,
                      const TargetRouterOptions& options);

}  // namespace endiveyard

#endif  // ENDIVEYARD_ROUTING_CANDIDATE_ESTIMATE_H_
