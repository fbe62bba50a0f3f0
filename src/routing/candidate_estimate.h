#ifndef ENDIVEYARD_ROUTING_CANDIDATE_ESTIMATE_H_
#define ENDIVEYARD_ROUTING_CANDIDATE_ESTIMATE_H_

#include <cstdint>

#include "endiveyard/base/time_point.h"
#include "endiveyard/routing/target_router.h"
#include "routing/target_table.h"

namespace endiveyard {

inline constexpr int64_t kTokensPerBlock = kPromptBlockBytes / kBytesPerToken;

// Returns the estimated number of tokens that wait for prefill on the target at
// `now`, based on its last report, the attempts of this instance since then and
// the estimated prefill rate. O(1).
double QueuedTokens(const Target& target, TimePoint now);

// Returns the estimated number of sequences that run on the target, based on
// its last report and the attempts of this instance since then. O(1).
int RunningSequences(const Target& target);

// Returns the number of prompt tokens that the target has to compute for
// `request` if its cache holds the first `cached_tokens`.
int64_t UncachedTokens(const RouteRequest& request, int64_t cached_tokens);

// Average load of the candidates of one decision, used as an estimate of the
// average over all targets that could serve the request.
struct CandidateAverage {
  int targets = 0;
  double queued_tokens = 0;  // from the load reports
  double busy_share = 0;     // share of time with a prefill queue
};

// Adds the load of one target to the average. O(1).
void AddToAverage(const Target& target, CandidateAverage* average);

// Estimates the first-token time of `request` on the target and the delay to
// other requests. Does not set RouteCandidate::target and address. O(1).
RouteCandidate EstimateCandidate(const Target& target,
                                 const RouteRequest& request,
                                 int cached_blocks,
                                 const CandidateAverage& average,
                                 const TargetRouterOptions& options,
                                 TimePoint now);

// Resets the estimates of the queue and the running sequences of the target to
// its load report that arrived at `now`, plus the attempts of this instance
// that started less than `report_lag` ago, which the report does not include
// yet. Also updates Target::busy_share.
// O(attempts in flight on the target).
void UpdateFromReport(Target& target, Duration report_lag, TimePoint now);

// Adds an attempt to those in flight on the target and to the estimates of its
// queue and running sequences. O(1).
void AddInFlightAttempt(Target& target,
                        const InFlightAttempt& attempt,
                        TimePoint now);

// Updates the estimated prefill rate with the measured first-token time of an
// attempt.
void UpdatePrefillRate(Target& target,
                       const InFlightAttempt& attempt,
                       Duration first_token,
                       const TargetRouterOptions& options);

}  // namespace endiveyard

#endif  // ENDIVEYARD_ROUTING_CANDIDATE_ESTIMATE_H_
