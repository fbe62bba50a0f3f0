#ifndef ENDIVEYARD_PLACEMENT_PLACER_H_
#define ENDIVEYARD_PLACEMENT_PLACER_H_

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "endiveyard/base/time_point.h"
#include "endiveyard/engine_profile/engine_profile.h"
#include "endiveyard/engine_profile/wait_calibration.h"
#include "endiveyard/placement/cache_view.h"
#include "endiveyard/placement/peer_loads.h"
#include "endiveyard/placement/placement_costs.h"
#include "endiveyard/placement/prompt_shape.h"
#include "endiveyard/placement/replica_call_limits.h"
#include "endiveyard/placement/replica_load.h"
#include "endiveyard/placement/replica_pace.h"
#include "endiveyard/placement/replica_rate_limits.h"
#include "endiveyard/placement/replica_view.h"
#include "endiveyard/placement/service_map.h"
#include "endiveyard/placement/target_availability.h"

namespace endiveyard {

// A request to be placed.
struct PlacementQuery {
  std::string service;
  std::optional<EngineTraits> engine;  // from the configuration
  std::optional<PromptShape> prompt;   // absent for plain services
  int route_priority = 0;              // 0 is the most urgent
  std::set<std::string> excluded;  // ids of replicas that failed the request
  // Software version that has to run the request; any if absent.
  std::optional<std::string> version;
  Duration time_left{};               // until the deadline
  Duration first_output_time_left{};  // until the caller gives up waiting
  double body_bytes = 0;  // request body, sent to each chosen engine
  // The caller has the beginning of the output. It is better off with some of
  // the rest than with none, so only the first output has to come in time.
  bool continues_stream = false;
  // Longest pause between events for which a stream of the route is on time.
  std::optional<Duration> target_gap;
  // Digest of the request, by which instances that see the same load choose
  // different replicas.
  uint64_t tie_breaker = 0;
  // The number of calls at replicas of the service that have just started or
  // recovered is limited. It also is where replicas state relative durations.
  bool slow_start = false;
  // False after a disaggregated prefill has failed.
  bool allow_disaggregated_prefill = true;
};

// Calls whose waiting times are predicted in different ways.
enum class CallKind {
  kPrefill,          // until the prompt is prefilled
  kRun,              // until the first output, including the prefill if any
  kRunAfterPrefill,  // until the first output, with the KV cache of the prompt
};
inline constexpr size_t kCallKinds = 3;

// A kind of calls of routes with the same priority, whose waits are alike:
// engines serve more urgent calls first.
struct CallClass {
  CallKind kind = CallKind::kRun;
  int route_priority = 0;
};

// Replicas chosen for a request, with the expected times and token counts.
struct Placement {
  std::optional<Replica> prefill;    // prefills the prompt for `target`
  Replica target;                    // runs the request
  Duration expected_first_output{};  // time until the first output
  Duration expected_completion{};    // time until the last output
  // Predicted waits of the calls, before they are corrected by measured ones.
  Duration predicted_prefill{};
  Duration predicted_run{};
  // Time until the first call may be sent, because the rate limit of its
  // replica leaves no request before.
  Duration turn_wait{};
  double prefill_uncached = 0;  // prompt tokens that `prefill` has to prefill
  double target_uncached = 0;   // prompt tokens that `target` has to prefill
  // Engine from which the engine that prefills the prompt copies cached parts.
  std::optional<Replica> cache_source;
  double copied = 0;  // tokens expected to be copied
  // Uncached tokens of shared parts, which another engine may have in its
  // cache.
  double recomputed_tokens = 0;
  // Time of an engine that the request takes, 0 at a plain service.
  double work_ms = 0;
};

// Reason why no placement was made, and the time after which to retry. The
// expected times are those of the best placement if it was too late.
struct PlacementRefusal {
  enum class Reason {
    kNoReplica,
    kTooLate,
    kRateLimited,  // the replicas that could run it get no more requests now
    kPaused,       // all replicas have asked to get no requests for some time
  };
  Reason reason = Reason::kNoReplica;
  Duration retry_after{};
  Duration expected_first_output{};
  Duration expected_completion{};
};

struct PlacementResult {
  std::optional<Placement> placement;
  PlacementRefusal refusal;  // valid if there is no placement
};

// A profile of the engines of a service, as exchanged between instances.
struct ServiceProfile {
  uint64_t service_key = 0;
  MeasuredProfile measured;

  bool operator==(const ServiceProfile& other) const {
    return service_key == other.service_key && measured == other.measured;
  }
};

// Returns the priority of a call in the queue of an engine, from 0 (first) to
// 9. The priority of the route takes precedence; within it, prompts that take
// little time to prefill come before others, which reduces the mean wait when
// prompt lengths vary widely. A call that `yields` goes behind
// those that are as long as it.
int QueuePriority(int route_priority, double prefill_ms, bool yields = false);

// Chooses the replicas for a request by the estimated cost, which consists of
// the expected time until the last output and penalties in milliseconds. Not
// thread-safe. Choose() takes O(replicas of the service x failure domains).
class Placer {
 public:
  explicit Placer(Location location, PlacementPrices prices = {});

  // Returns the best placement, without recording it. Replicas with a limit on
  // their calls that allows no more are used only if no other one can serve the
  // request, or if the others are overloaded.
  PlacementResult Choose(const ReplicaView& view,
                         const PlacementQuery& query,
                         TimePoint now);
  // Records that the request of `query` is sent to the replicas of `placement`.
  // Takes it from their rate limits, also where it is sent only after a
  // prefill.
  void RecordPlaced(const PlacementQuery& query,
                    const Placement& placement,
                    TimePoint now);
  // Records that the first call of `placement` is not sent after all.
  void RecordNotSent(const Placement& placement, TimePoint now);

  // Returns the load of a replica incarnation, created on first use. The load
  // of a restarted replica starts empty.
  ReplicaLoad& LoadOf(const Replica& replica);
  // Records the result of a call that was sent at `sent_at`.
  void RecordCallEnded(const Replica& replica,
                       CallResult result,
                       TimePoint sent_at,
                       TimePoint now);
  // Records the load that a response of the replica states.
  void RecordReportedLoad(const Replica& replica,
                          const ReportedLoad& load,
                          TimePoint now);

  // Applies the report of the instance `sender`, which sends one every
  // `interval`. Returns false and changes nothing if it is older than the last
  // one.
  bool ApplyPeerReport(uint64_t sender,
                       uint64_t sequence,
                       const std::vector<ReplicaWork>& work,
                       const std::vector<CacheUpdate>& cached,
                       TimePoint now,
                       Duration interval = Duration(0));
  // Applies what the instance `sender` has measured about engines.
  void ApplyPeerProfiles(uint64_t sender,
                         const std::vector<ServiceProfile>& profiles,
                         TimePoint now);
  // Returns what this instance has measured, for reports to other instances.
  std::vector<ServiceProfile> MeasuredProfiles(TimePoint now) const;

  // Returns the outstanding work of this instance, for reports to other
  // instances.
  std::vector<ReplicaWork> LocalWork() const;
  // Work of other instances from their reports. While there are live peers, it
  // replaces the estimate from the loads that replicas report.
  PeerLoads& peer_loads() { return peer_loads_; }

  CacheView& cache_view() { return cache_view_; }

  ReplicaRateLimits& rate_limits() { return rate_limits_; }

  // How long work takes at replicas that state it. Choose() uses it for the
  // expected times, in place of the measured waits at the replica.
  ReplicaPaces& paces() { return paces_; }

  // Limits on the calls at replicas that have just started or recovered.
  ReplicaCallLimits& call_limits() { return call_limits_; }

  // What replicas have said about whether they take new work. Choose() passes
  // over those that do not.
  TargetAvailability& availability() { return availability_; }

  // Removes the state of replicas that are no longer registered, and sets the
  // cache capacities of the engines. `services` may be null.
  void Retain(const ReplicaView& view, const ServiceMap* services);

  // Records a completed prefill call, see
  // EngineProfileEstimator::ObservePrefill().
  void ObservePrefill(const std::string& service,
                      double tokens,
                      Duration elapsed,
                      TimePoint now);
  // Records output tokens, see EngineProfileEstimator::ObserveOutput().
  void ObserveOutput(const std::string& service,
                     double tokens,
                     double running,
                     Duration elapsed,
                     TimePoint now);
  // Records the number of events of a complete stream with `tokens`.
  void ObserveEvents(const std::string& service,
                     double tokens,
                     double events,
                     TimePoint now);
  // Returns how many output tokens are left after `events` of a stream with
  // `tokens` in all.
  double TokensAfterEvents(const std::string& service,
                           double tokens,
                           double events,
                           TimePoint now) const;
  // Records how long a call waited, compared with the prediction.
  void ObserveWait(const std::string& service,
                   const CallClass& call_class,
                   const Replica& replica,
                   Duration predicted,
                   Duration actual,
                   TimePoint now);
  // Records that a call was given up after `waited`.
  void ObserveAbandoned(const std::string& service,
                        const CallClass& call_class,
                        const Replica& replica,
                        Duration predicted,
                        Duration waited,
                        TimePoint now);
  // Returns the time that few of the calls predicted as `predicted` exceed.
  Duration UpperWait(const std::string& service,
                     const CallClass& call_class,
                     Duration predicted,
                     TimePoint now) const;
  // Records the duration of a complete call to a plain service.
  void ObservePlainCall(const std::string& service,
                        Duration elapsed,
                        TimePoint now);
  EngineProfile Profile(const std::string& service, TimePoint now) const;
  // Counts a request that was refused because no replica could serve it in
  // time.
  void RecordTooLate(const std::string& service) { ++too_late_[service]; }
  // Returns the number of such requests since the start.
  int64_t TooLateCount(const std::string& service) const {
    const auto it = too_late_.find(service);
    return it == too_late_.end() ? 0 : it->second;
  }

 private:
  struct IncarnationLoad {
    int64_t started_unix_ms = 0;
    ReplicaLoad load;
  };
  struct Candidate;
  // An engine that has leading parts of the prompt, with `tokens` in total, in
  // its cache.
  struct CacheSource {
    const Replica* replica = nullptr;
    double tokens = 0;
  };

  // Routes with a priority above this number share their measured waits.
  static constexpr size_t kPriorityClasses = 4;

  // State of one service.
  struct ServiceState {
    EngineProfileEstimator profile;
    std::array<std::array<WaitCalibration, kPriorityClasses>, kCallKinds> waits;

    WaitCalibration& WaitsOf(const CallClass& call_class);
    const WaitCalibration& WaitsOf(const CallClass& call_class) const;
    // Durations of the calls to a plain service, in ms.
    SampleWindow plain_call_ms{64, std::chrono::seconds(30)};
    // Output tokens per event of complete streams.
    SampleWindow tokens_per_event{64, std::chrono::minutes(5)};
    // Moving averages of the uncached prompt tokens per request.
    double mean_uncached_disaggregated = 0;
    double mean_uncached_colocated = 0;
    double mean_work_ms = 0;
  };
  // What the costs of all candidates of one query depend on.
  struct QueryContext;

  const ServiceState* FindState(const std::string& service) const;
  // Returns, for each failure domain and software version, the engine with the
  // most leading tokens of the prompt in its cache.
  std::vector<CacheSource> CacheSources(
      const std::vector<const Replica*>& replicas,
      const PromptShape& prompt,
      TimePoint now);
  struct DisaggregatedPair {
    const Candidate* prefill_candidate = nullptr;
    const Candidate* run_candidate = nullptr;
    double cost_ms = 0;
  };
  // Returns the pair of engines with the lowest cost to prefill a prompt and
  // then to run the request, including the transfer of the KV cache between
  // them.
  std::optional<DisaggregatedPair> BestDisaggregatedPair(
      const QueryContext& context,
      const std::vector<Candidate>& prefill_candidates,
      const std::vector<Candidate>& run_candidates) const;
  // Returns the time until the rate limit of the replica allows another request
  // of this instance, or nullopt if that is too long. Then, adds it to
  // `context`.
  std::optional<Duration> TurnWait(const Replica& replica,
                                   QueryContext* context);
  // Returns false if the limit on the calls at the replica allows no more.
  bool AllowsCall(const Replica& replica, double limit_factor, TimePoint now);
  // Returns ReplicaSigns::limit_factor.
  double LimitFactor(const std::vector<const Replica*>& usable) const;
  // Returns the best placement. If `with_call_limits`, sets `is_limited` to
  // whether there are replicas whose limits allow no more.
  PlacementResult ChooseAmong(const ReplicaView& view,
                              const PlacementQuery& query,
                              bool with_call_limits,
                              TimePoint now,
                              bool* is_limited);
  // Sets the engine from which the candidate copies cached parts, if copying
  // costs less than prefilling them.
  void ChooseCacheSource(const QueryContext& context,
                         double tokens_per_ms,
                         Candidate* candidate) const;
  // Returns the engine that is assumed to prefill the shared parts of the
  // prompt for all instances, or nullptr if some engine is known to have them.
  const Replica* HomeOfSharedParts(const QueryContext& context,
                                   const std::vector<const Replica*>& replicas);
  // Returns the candidates among `replicas` with their cost estimates.
  // `mean_uncached` is the estimated prefill per call of other instances.
  // `home` is the result of HomeOfSharedParts().
  std::vector<Candidate> MakeCandidates(
      QueryContext* query_context,
      const std::vector<const Replica*>& replicas,
      double tokens_per_ms,
      double mean_uncached,
      const Replica* home);
  // Returns the refusal of a placement that is expected to be too late.
  std::optional<PlacementRefusal> RefusalOf(const PlacementQuery& query,
                                            const Placement& placement) const;

  Location location_;
  std::map<std::string, IncarnationLoad> loads_;
  PeerLoads peer_loads_;
  CacheView cache_view_;
  ReplicaRateLimits rate_limits_;
  ReplicaPaces paces_;
  ReplicaCallLimits call_limits_;
  TargetAvailability availability_;
  PlacementPrices prices_;
  std::map<std::string, ServiceState> services_;
  std::map<std::string, int64_t> too_late_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_PLACER_H_
