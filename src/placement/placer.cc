#include "endiveyard/placement/placer.h"

#include <algorithm>

#include "endiveyard/base/digest.h"
#include "placement/placer_candidate.h"

namespace endiveyard {
namespace {

// A decode engine prefills a prompt at half the speed of a prefill engine.
constexpr double kDecodeEnginePrefillSpeedRatio = 0.5;

// Times to prefill a prompt from which it counts as medium or long.
constexpr double kMediumPrefillMs = 45;
constexpr double kLongPrefillMs = 110;

// Delay that each request in a batch adds to the first token of a new one, in
// steps of the engine.
constexpr double kStepsPerRunningRequest = 1.65;
// Delay for each request beyond the slots, which waits for another one to end,
// in steps.
constexpr double kStepsPerWaitingRequest = 20;
// The same delays at a plain service, as shares of the duration of a call.
constexpr double kPlainCallShareOfRunningRequest = 0.25;
constexpr double kPlainCallShareOfWaitingRequest = 3;

// Reports of load are some requests old. Replicas that differ by less than this
// number of requests are chosen at random, since instances that all chose the
// best one would overload it.
constexpr double kLoadUncertaintyRequests = 0.5;

// Long outputs end earlier than their callers estimate: the median duration of
// those estimated at over 600 tokens is 0.85 of the estimate.
constexpr double kOutputTimeScale = 0.8;
// Cost of a failed call, multiplied by the failure rate of the replica.
constexpr double kFailedCallMs = 1500;
// Penalty for a replica that is in backoff after failures, so that it is used
// only if the alternatives are worse by that much.
constexpr double kBackoffPenaltyMs = 5000;
// A replica whose limit on its calls allows no more counts as one with this
// many waiting, so that it is used where the others have as many.
constexpr double kWaitingAtLimit = 1;

// A prefill on a decode engine takes capacity from all streams that it runs, so
// a disaggregated prefill is preferred unless it costs this much more.
constexpr double kDisaggregationPreferenceMs = 250;
// For prompts that take less time to prefill, disaggregation does not outweigh
// the second call and the transfer.
constexpr double kMinDisaggregatedPrefillMs = 43;
// The same where replicas share their machines with other workloads, as they
// state. Each prefill on a decode engine then lengthens the pauses of its
// streams by several times its usual duration, and streams are late once a
// single pause is above the target of their route.
constexpr double kMinDisaggregatedPrefillOnSharedMachinesMs = 10;
// Setting up a copy of fewer tokens takes as long as prefilling them.
constexpr double kMinCopiedTokens = 200;

// Retry-After if no replica is registered: entries reappear within about two
// seconds after the recovery of the registry.
constexpr Duration kNoReplicaRetryAfter = std::chrono::milliseconds(700);
// Retry-After if this instance has no share of the rate limits of the replicas.
// Another one, which the caller may reach when it comes again, has.
constexpr Duration kNoShareRetryAfter = std::chrono::milliseconds(300);
// Requests wait at most this long for their turn at a rate-limited replica.
// Longer waits leave callers too little time if the replica fails.
constexpr Duration kMaxTurnWait = std::chrono::seconds(1);

Duration FromMs(double ms) {
  return Duration(static_cast<int64_t>(ms * 1000));
}

PlacementRefusal RefusalWithoutCandidates(
    const std::optional<Duration>& rate_limit_wait,
    const std::optional<Duration>& shortest_pause) {
  PlacementRefusal refusal;
  refusal.retry_after = kNoReplicaRetryAfter;
  if (shortest_pause) {
    refusal.reason = PlacementRefusal::Reason::kPaused;
    refusal.retry_after = *shortest_pause;
  }
  if (rate_limit_wait &&
      *rate_limit_wait <= shortest_pause.value_or(*rate_limit_wait)) {
    refusal.reason = PlacementRefusal::Reason::kRateLimited;
    refusal.retry_after = *rate_limit_wait;
  }
  return refusal;
}

// Returns how many of the uncached tokens belong to shared parts.
double RecomputedTokens(const PromptShape& prompt, double uncached) {
  return std::max(0.0, uncached - UnsharedTokens(prompt));
}

// Returns the replica that rendezvous hashing selects for `key`, the same on
// all instances with the same `replicas`.
const Replica* RendezvousReplica(const std::vector<const Replica*>& replicas,
                                 uint64_t key) {
  const Replica* selected = nullptr;
  uint64_t best_weight = 0;
  for (const Replica* it : replicas) {
    const uint64_t weight = Digest64(it->id, key);
    if (selected == nullptr || weight > best_weight) {
      selected = it;
      best_weight = weight;
    }
  }
  return selected;
}

// Returns a number in [0, 1) that differs between replicas and requests.
double TieBreaker(const Replica& replica, uint64_t request) {
  constexpr double kRange = 18446744073709551616.0;  // 2^64
  return static_cast<double>(Digest64(replica.id, request)) / kRange;
}

}  // namespace

int QueuePriority(int route_priority, double prefill_ms, bool yields) {
  constexpr int kSizeClasses = 3;
  constexpr int kLowestPriority = 9;
  const int size_class = prefill_ms < kMediumPrefillMs ? 0
                         : prefill_ms < kLongPrefillMs ? 1
                                                       : 2;
  const int place = std::min(size_class + (yields ? 1 : 0), kSizeClasses - 1);
  return std::clamp(kSizeClasses * route_priority + place, 0, kLowestPriority);
}

Placer::Placer(Location location, PlacementPrices prices)
    : location_(std::move(location)), prices_(prices) {}

std::vector<Placer::CacheSource> Placer::CacheSources(
    const std::vector<const Replica*>& replicas,
    const PromptShape& prompt,
    TimePoint now) {
  // What one software version has cached cannot be read by another.
  std::map<std::pair<std::string_view, std::string_view>, CacheSource> best;
  for (const Replica* it : replicas) {
    const ReplicaLoad& load = LoadOf(*it);
    if (load.InBackoff(now)) {
      continue;
    }
    const double tokens =
        cache_view_.CopyableTokens(EngineKey(*it), prompt, now);
    CacheSource& source = best[{it->failure_domain, it->version}];
    if (tokens >= kMinCopiedTokens && tokens > source.tokens) {
      source = {it, tokens};
    }
  }
  std::vector<CacheSource> sources;
  for (const auto& [place, source] : best) {
    if (source.replica != nullptr) {
      sources.push_back(source);
    }
  }
  return sources;
}

const Replica* Placer::HomeOfSharedParts(
    const QueryContext& context,
    const std::vector<const Replica*>& replicas) {
  const PromptShape& prompt = *context.query.prompt;
  const double shared_tokens = SharedTokens(prompt);
  const bool is_cached =
      std::any_of(context.sources.begin(), context.sources.end(),
                  [shared_tokens](const CacheSource& it) {
                    return it.tokens >= shared_tokens;
                  });
  const uint64_t key = SharedPrefixKey(prompt);
  if (key == 0 || is_cached) {
    return nullptr;
  }
  std::vector<const Replica*> available;
  for (const Replica* it : replicas) {
    if (context.query.excluded.count(it->id) == 0 &&
        !LoadOf(*it).InBackoff(context.now)) {
      available.push_back(it);
    }
  }
  return RendezvousReplica(available, key);
}

std::optional<Duration> Placer::TurnWait(const Replica& replica,
                                         QueryContext* context) {
  if (rate_limits_.empty()) {
    return Duration(0);
  }
  const uint64_t key = EngineKey(replica);
  if (!rate_limits_.LimitOf(key, context->now)) {
    return Duration(0);
  }
  const auto& usable = context->usable;
  const auto position = std::lower_bound(
      usable.begin(), usable.end(), replica.id,
      [](const Replica* a, const std::string& id) { return a->id < id; });
  const Duration wait =
      rate_limits_
          .WaitFor(
              key,
              {static_cast<size_t>(position - usable.begin()), usable.size()},
              context->now)
          .value_or(kNoShareRetryAfter + kMaxTurnWait);
  if (wait <= kMaxTurnWait) {
    return wait;
  }
  context->rate_limit_wait =
      std::min(context->rate_limit_wait.value_or(wait), wait - kMaxTurnWait);
  return std::nullopt;
}

std::vector<Placer::Candidate> Placer::MakeCandidates(
    QueryContext* query_context,
    const std::vector<const Replica*>& replicas,
    double tokens_per_ms,
    double mean_uncached,
    const Replica* home) {
  const QueryContext& context = *query_context;
  const PlacementQuery& query = context.query;
  const TimePoint now = context.now;
  std::vector<Candidate> candidates;
  for (const Replica* it : replicas) {
    if (query.excluded.count(it->id) > 0) {
      continue;
    }
    const auto turn_wait = TurnWait(*it, query_context);
    if (!turn_wait) {
      continue;
    }
    const ReplicaLoad& load = LoadOf(*it);
    const uint64_t key = ReplicaKey(it->id);
    auto stated_duration = paces_.RelativeDuration(EngineKey(*it), now);
    const bool is_limited =
        context.with_call_limits && !AllowsCall(*it, context.limit_factor, now);
    if (stated_duration && context.with_call_limits && !is_limited &&
        call_limits_.LimitOf(EngineKey(*it)) &&
        !paces_.MomentaryDuration(EngineKey(*it), now)) {
      // Tries a machine that was slow with as many calls as the limit allows.
      stated_duration = std::min(1.0, *stated_duration);
    }
    const double relative_duration = stated_duration.value_or(1);
    Candidate candidate;
    candidate.replica = it;
    candidate.is_limited = is_limited;
    query_context->is_limited |= is_limited;
    candidate.turn_wait_ms = static_cast<double>(turn_wait->count()) / 1000;
    candidate.mean_work_ms = context.mean_work_ms;
    candidate.requests = context.has_live_peers
                             ? load.local_calls() + peer_loads_.Calls(key, now)
                             : load.Requests(now);
    candidate.requests += load.BodyRequests();
    const double requests_over_slots =
        it->slots > 0 ? std::max(0.0, candidate.requests - it->slots) : 0;
    if (query.prompt) {
      const PromptShape& prompt = *query.prompt;
      candidate.uncached = std::max(
          1.0, prompt.prompt_tokens -
                   cache_view_.CachedTokens(EngineKey(*it), prompt, now));
      ChooseCacheSource(context, tokens_per_ms, &candidate);
      // Without a report that covers their calls, the calls of other instances
      // still show in the number of waiting requests.
      const double queued_tokens =
          context.has_live_peers
              ? std::max(load.local_pending_prefill_tokens() +
                             peer_loads_.PendingPrefillTokens(key, now),
                         load.ReportedWaiting(now) * mean_uncached)
              : load.QueuedTokens(mean_uncached, now);
      // Measured waits show the same as what the replica states.
      const double slowness = stated_duration.value_or(load.Slowness(now));
      candidate.queue_ms = slowness * queued_tokens / tokens_per_ms;
      candidate.prefill_ms = slowness * candidate.uncached / tokens_per_ms;
      // The home prefills the shared parts for all instances, so nothing is
      // computed twice there.
      if (it != home) {
        candidate.cache_cost_ms +=
            RecomputedTokens(prompt, candidate.uncached) *
            context.costs.recomputed_token_ms();
      }
      candidate.batch_delay_ms =
          relative_duration * context.profile.step_ms *
          (candidate.requests * kStepsPerRunningRequest +
           requests_over_slots * kStepsPerWaitingRequest);
      if (it->stage != Stage::kPrefill) {
        candidate.output_ms =
            relative_duration * prompt.expected_output_tokens *
            context.profile.step_ms *
            (1 + kStepSlowdownPerRequest * candidate.requests);
      }
    } else {
      candidate.batch_delay_ms =
          relative_duration * context.plain_call_ms *
          (candidate.requests * kPlainCallShareOfRunningRequest +
           requests_over_slots * kPlainCallShareOfWaitingRequest);
      candidate.call_difference_ms =
          (relative_duration - 1) * context.plain_call_ms;
    }
    const double request_delay_ms =
        query.prompt ? context.profile.step_ms * kStepsPerRunningRequest
                     : context.plain_call_ms * kPlainCallShareOfRunningRequest;
    const double slots = it->slots > 0 ? it->slots : kDefaultSlots;
    const double full_delay_ms =
        query.prompt ? context.profile.step_ms *
                           (slots * kStepsPerRunningRequest +
                            kWaitingAtLimit * kStepsPerWaitingRequest)
                     : context.plain_call_ms *
                           (slots * kPlainCallShareOfRunningRequest +
                            kWaitingAtLimit * kPlainCallShareOfWaitingRequest);
    const Distance distance = DistanceBetween(
        location_, location_.failure_domain, it->failure_domain);
    candidate.penalty_ms = TieBreaker(*it, query.tie_breaker) *
                               kLoadUncertaintyRequests * request_delay_ms +
                           context.costs.CallMs(distance, query.body_bytes) +
                           load.FailureRate(now) * kFailedCallMs +
                           (load.InBackoff(now) ? kBackoffPenaltyMs : 0) +
                           (candidate.is_limited ? full_delay_ms : 0);
    candidates.push_back(candidate);
  }
  return candidates;
}

void Placer::ChooseCacheSource(const QueryContext& context,
                               double tokens_per_ms,
                               Candidate* candidate) const {
  const double local_uncached = candidate->uncached;
  double best_saved_ms = 0;
  for (const CacheSource& it : context.sources) {
    const double copied =
        local_uncached - (context.query.prompt->prompt_tokens - it.tokens);
    if (it.replica == candidate->replica ||
        it.replica->version != candidate->replica->version ||
        copied < kMinCopiedTokens) {
      continue;
    }
    const Distance distance =
        DistanceBetween(location_, it.replica->failure_domain,
                        candidate->replica->failure_domain);
    const double copy_ms = copied * context.costs.CopyMsPerToken(distance);
    const double saved_ms =
        copied * (1 / tokens_per_ms + context.costs.recomputed_token_ms()) -
        copy_ms;
    if (saved_ms > best_saved_ms) {
      best_saved_ms = saved_ms;
      candidate->cache_source = it.replica;
      candidate->copied = copied;
      candidate->uncached = std::max(1.0, local_uncached - copied);
      candidate->cache_cost_ms = copy_ms;
    }
  }
}

std::optional<Placer::DisaggregatedPair> Placer::BestDisaggregatedPair(
    const QueryContext& context,
    const std::vector<Candidate>& prefill_candidates,
    const std::vector<Candidate>& run_candidates) const {
  // Only the best prefill engine of each failure domain and software version is
  // combined with the engines that may run the request.
  std::map<std::pair<std::string_view, std::string_view>, const Candidate*>
      best_by_place;
  for (const Candidate& it : prefill_candidates) {
    const Candidate*& best =
        best_by_place[{it.replica->failure_domain, it.replica->version}];
    if (best == nullptr || it.PrefillCostMs() < best->PrefillCostMs()) {
      best = &it;
    }
  }
  std::optional<DisaggregatedPair> best_pair;
  for (const auto& [place, prefill_candidate] : best_by_place) {
    for (const Candidate& run_candidate : run_candidates) {
      if (run_candidate.turn_wait_ms > 0 ||
          run_candidate.replica->version !=
              prefill_candidate->replica->version) {
        continue;
      }
      const Distance distance =
          DistanceBetween(location_, prefill_candidate->replica->failure_domain,
                          run_candidate.replica->failure_domain);
      const double cost_ms = prefill_candidate->PrefillCostMs() +
                             run_candidate.RunCostMs() +
                             context.query.prompt->prompt_tokens *
                                 context.costs.CopyMsPerToken(distance);
      if (!best_pair || cost_ms < best_pair->cost_ms) {
        best_pair =
            DisaggregatedPair{prefill_candidate, &run_candidate, cost_ms};
      }
    }
  }
  return best_pair;
}

double Placer::LimitFactor(const std::vector<const Replica*>& usable) const {
  const auto unlimited =
      std::count_if(usable.begin(), usable.end(), [this](const Replica* it) {
        return !call_limits_.LimitOf(EngineKey(*it));
      });
  const double factor =
      static_cast<double>(usable.size()) /
      static_cast<double>(std::max<std::ptrdiff_t>(1, unlimited));
  return factor * factor;
}

bool Placer::AllowsCall(const Replica& replica,
                        double limit_factor,
                        TimePoint now) {
  const ReplicaLoad& load = LoadOf(replica);
  const uint64_t key = EngineKey(replica);
  ReplicaSigns signs;
  signs.in_backoff = load.InBackoff(now);
  signs.momentary_duration = paces_.MomentaryDuration(key, now);
  signs.lasting_duration = paces_.LastingDuration(key);
  signs.expected_duration = paces_.RelativeDuration(key, now);
  if (!signs.expected_duration) {
    signs.slowness = load.Slowness(now);
  }
  signs.calls =
      load.local_calls() + peer_loads_.Calls(ReplicaKey(replica.id), now);
  signs.limit_factor = limit_factor;
  const auto allowance = call_limits_.Allowance(replica, signs, now);
  return !allowance || load.local_calls() < *allowance;
}

PlacementResult Placer::Choose(const ReplicaView& view,
                               const PlacementQuery& query,
                               TimePoint now) {
  bool is_limited = false;
  PlacementResult result = ChooseAmong(view, query, true, now, &is_limited);
  if (result.placement || !is_limited) {
    return result;
  }
  // A replica that has a limit may be the only one to serve it in time.
  result = ChooseAmong(view, query, false, now, &is_limited);
  if (result.placement) {
    call_limits_.RecordBypass(EngineKey(result.placement->target), now);
  }
  return result;
}

PlacementResult Placer::ChooseAmong(const ReplicaView& view,
                                    const PlacementQuery& query,
                                    bool with_call_limits,
                                    TimePoint now,
                                    bool* is_limited) {
  std::vector<const Replica*> prefill_replicas;
  std::vector<const Replica*> run_replicas;
  std::vector<const Replica*> usable = view.Usable(query.service);
  std::optional<Duration> shortest_pause;
  const std::vector<const Replica*> available =
      availability_.Select(usable, now, &shortest_pause);
  for (const Replica* it : available) {
    if (query.version && it->version != *query.version) {
      continue;
    }
    (it->stage == Stage::kPrefill ? prefill_replicas : run_replicas)
        .push_back(it);
  }
  const ServiceState& state = services_[query.service];
  QueryContext context{query,
                       now,
                       PlacementCosts(prices_, query.engine),
                       state.profile.Profile(now),
                       kInitialPlainCallMs,
                       false,
                       {},
                       {},
                       {},
                       state.mean_work_ms,
                       false,
                       1,
                       false};
  context.plain_call_ms =
      state.plain_call_ms.Quantile(0.5, now).value_or(kInitialPlainCallMs);
  context.has_live_peers = peer_loads_.LivePeers(now) > 0;
  if (query.prompt) {
    context.sources = CacheSources(available, *query.prompt, now);
  }
  context.usable = std::move(usable);
  context.with_call_limits =
      with_call_limits &&
      (query.slow_start ||
       (!paces_.empty() &&
        std::any_of(
            context.usable.begin(), context.usable.end(),
            [this, now](const Replica* it) {
              return paces_.RelativeDuration(EngineKey(*it), now).has_value();
            })));
  if (context.with_call_limits) {
    context.limit_factor = LimitFactor(context.usable);
  }
  const double prefill_speed = context.profile.prefill_tokens_per_ms;
  const double run_prefill_speed =
      prefill_speed *
      (prefill_replicas.empty() ? 1 : kDecodeEnginePrefillSpeedRatio);
  const double min_disaggregated_ms =
      query.target_gap && !paces_.empty()
          ? kMinDisaggregatedPrefillOnSharedMachinesMs
          : kMinDisaggregatedPrefillMs;
  const bool disaggregate =
      query.prompt && query.allow_disaggregated_prefill &&
      query.prompt->prompt_tokens >= min_disaggregated_ms * prefill_speed &&
      !prefill_replicas.empty();
  // The home of shared parts is an engine of the stage that prefills prompts of
  // this length.
  const Replica* home =
      query.prompt ? HomeOfSharedParts(context, disaggregate ? prefill_replicas
                                                             : run_replicas)
                   : nullptr;
  std::vector<Candidate> colocated =
      MakeCandidates(&context, run_replicas, run_prefill_speed,
                     state.mean_uncached_colocated, home);
  PlacementResult result;
  *is_limited = context.is_limited;
  if (colocated.empty()) {
    result.refusal =
        RefusalWithoutCandidates(context.rate_limit_wait, shortest_pause);
    return result;
  }
  const Candidate* run_candidate =
      &*std::min_element(colocated.begin(), colocated.end(),
                         [](const Candidate& a, const Candidate& b) {
                           return a.ColocatedCostMs() < b.ColocatedCostMs();
                         });
  const Candidate* prefill_candidate = run_candidate;
  std::vector<Candidate> prefill_candidates;
  if (disaggregate) {
    prefill_candidates =
        MakeCandidates(&context, prefill_replicas, prefill_speed,
                       state.mean_uncached_disaggregated, home);
    *is_limited = context.is_limited;
    const auto pair =
        BestDisaggregatedPair(context, prefill_candidates, colocated);
    if (pair && pair->cost_ms < run_candidate->ColocatedCostMs() +
                                    kDisaggregationPreferenceMs) {
      prefill_candidate = pair->prefill_candidate;
      run_candidate = pair->run_candidate;
    }
  }
  Placement placement;
  placement.target = *run_candidate->replica;
  const auto expected_wait = [&](CallKind kind, Duration predicted) {
    return state.WaitsOf({kind, query.route_priority}).Expected(predicted, now);
  };
  if (prefill_candidate == run_candidate) {
    placement.target_uncached = run_candidate->uncached;
    placement.predicted_run =
        FromMs(std::max(0.0, run_candidate->FirstOutputMs() +
                                 run_candidate->call_difference_ms));
    placement.expected_first_output =
        expected_wait(CallKind::kRun, placement.predicted_run);
  } else {
    const double transfer_ms =
        query.prompt->prompt_tokens *
        context.costs.CopyTimeMsPerToken(DistanceBetween(
            location_, prefill_candidate->replica->failure_domain,
            run_candidate->replica->failure_domain));
    placement.prefill = *prefill_candidate->replica;
    placement.prefill_uncached = prefill_candidate->uncached;
    placement.predicted_prefill = FromMs(prefill_candidate->FirstOutputMs());
    placement.predicted_run = FromMs(
        run_candidate->queue_ms + run_candidate->batch_delay_ms + transfer_ms);
    placement.expected_first_output =
        expected_wait(CallKind::kPrefill, placement.predicted_prefill) +
        expected_wait(CallKind::kRunAfterPrefill, placement.predicted_run);
  }
  placement.turn_wait = FromMs(prefill_candidate->turn_wait_ms);
  placement.expected_first_output += placement.turn_wait;
  placement.work_ms = run_candidate->WorkMs();
  if (prefill_candidate->cache_source != nullptr) {
    placement.cache_source = *prefill_candidate->cache_source;
    placement.copied = prefill_candidate->copied;
  }
  if (query.prompt) {
    placement.recomputed_tokens =
        RecomputedTokens(*query.prompt, prefill_candidate->uncached);
  }
  placement.expected_completion =
      placement.expected_first_output +
      FromMs(kOutputTimeScale * run_candidate->output_ms);
  if (const auto refusal = RefusalOf(query, placement)) {
    result.refusal = *refusal;
    return result;
  }
  result.placement = placement;
  if (run_candidate->is_limited) {
    call_limits_.RecordBypass(EngineKey(placement.target), now);
  }
  return result;
}

std::optional<PlacementRefusal> Placer::RefusalOf(
    const PlacementQuery& query,
    const Placement& placement) const {
  Duration overrun =
      placement.expected_first_output - query.first_output_time_left;
  if (!query.continues_stream) {
    overrun =
        std::max(overrun, placement.expected_completion - query.time_left);
  }
  if (overrun < Duration(0)) {
    return std::nullopt;
  }
  return PlacementRefusal{PlacementRefusal::Reason::kTooLate, overrun,
                          placement.expected_first_output,
                          placement.expected_completion};
}

}  // namespace endiveyard
