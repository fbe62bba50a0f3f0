#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "serving/serving_state.h"

namespace endiveyard {
namespace {

// Added to the class priority of requests that have run, so that they precede
// all new ones: they hold delivered tokens or a KV cache, which would be wasted
// if they were refused.
constexpr int kResumedPriorityBoost = 1000000;
// A target on which this request failed is retried only if no other target can
// take the request, and no sooner than this after the failure.
constexpr Duration kRetrySameTargetAfter = std::chrono::milliseconds(500);
// Maximum number of further choices made to find an idle target for a suspect.
constexpr int kMaxIdleTargetTries = 4;
// The first token may take this many times its estimate plus the stall timeout.
// The margin is needed because load reports, on which the estimate is based,
// lag.
constexpr int kFirstTokenTimeoutFactor = 4;

std::pair<std::string, std::string> ServiceOf(const Exchange& exchange) {
  return {exchange.route.house, exchange.route.service};
}

bool HasPrefillAndDecodeEngines(const ServingState& state,
                                const Exchange& exchange) {
  const auto it = state.role_counts.find(ServiceOf(exchange));
  return it != state.role_counts.end() && it->second.first > 0 &&
         it->second.second > 0;
}

// Prefers an idle target for a suspect, because other requests on the target
// would be lost with it if the suspect crashes it.
RouteDecision ChooseForSuspect(ServingState* state,
                               RouteRequest route,
                               TimePoint now) {
  RouteDecision first = state->router.Choose(route, now);
  RouteDecision decision = first;
  for (int i = 0; i < kMaxIdleTargetTries && decision.found; ++i) {
    if (state->router.InFlight(decision.chosen.target) == 0) {
      return decision;
    }
    route.excluded_targets.push_back(decision.chosen.target);
    decision = state->router.Choose(route, now);
  }
  return first;
}

RouteDecision ChooseForPhase(ServingState* state,
                             const RouteRequest& route,
                             TimePoint now) {
  return route.suspect ? ChooseForSuspect(state, route, now)
                       : state->router.Choose(route, now);
}

// Chooses a target and sets the phase of the exchange's route to match.
RouteDecision ChooseTarget(const StepContext& ctx, Exchange* exchange) {
  ServingState* state = ctx.state;
  RouteRequest& route = exchange->route;
  route.suspect = exchange->suspect;
  if (!exchange->kv_handle.empty()) {
    route.phase = RoutePhase::kDecode;
    RouteDecision decode = ChooseForPhase(state, route, ctx.now);
    if (decode.found || decode.matching_targets > 0) {
      return decode;
    }
    // Without a decode target, the exported KV cache cannot be used.
    exchange->kv_handle.clear();
  }
  route.phase = RoutePhase::kPrefillAndDecode;
  RouteDecision whole = ChooseForPhase(state, route, ctx.now);
  if (exchange->kind == RequestKind::kPlain ||
      !HasPrefillAndDecodeEngines(*state, *exchange)) {
    return whole;
  }
  route.phase = RoutePhase::kPrefill;
  RouteDecision prefill = ChooseForPhase(state, route, ctx.now);
  if (prefill.found &&
      (!whole.found || prefill.chosen.first_token < whole.chosen.first_token)) {
    return prefill;
  }
  route.phase = RoutePhase::kPrefillAndDecode;
  whole.matching_targets += prefill.matching_targets;
  return whole;
}

// Chooses a target. If there is none, considers the excluded targets again once
// kRetrySameTargetAfter has passed.
RouteDecision ChooseWithFallback(const StepContext& ctx, Exchange* exchange) {
  RouteDecision decision = ChooseTarget(ctx, exchange);
  if (decision.found || exchange->route.excluded_targets.empty() ||
      ctx.now - exchange->last_failure < kRetrySameTargetAfter) {
    return decision;
  }
  std::vector<std::string> excluded;
  excluded.swap(exchange->route.excluded_targets);
  decision = ChooseTarget(ctx, exchange);
  if (!decision.found) {
    excluded.swap(exchange->route.excluded_targets);
  }
  return decision;
}

void StartNextAttempt(const StepContext& ctx,
                      Exchange* exchange,
                      const RouteCandidate& chosen) {
  ServingState& state = *ctx.state;
  exchange->state = ExchangeState::kRunning;
  const bool first = exchange->attempts == 0;
  ++exchange->attempts;
  if (first) {
    exchange->first_dispatch = ctx.now;
    CreditFirstAttempt(&state.retry_budget);
    ++state.counters.first_attempts;
  }

  RunningAttempt& attempt = exchange->attempt;
  attempt = RunningAttempt();
  attempt.number = exchange->attempts;
  attempt.target = chosen.target;
  attempt.address = chosen.address;
  attempt.event_id = absl::StrCat("x", exchange->id, "/", attempt.number);
  attempt.prefill_only = exchange->route.phase == RoutePhase::kPrefill;
  attempt.uncached_tokens = std::max<int64_t>(
      0, exchange->route.prompt_tokens - chosen.cached_tokens);
  attempt.started = ctx.now;
  attempt.last_event = ctx.now;
  attempt.first_event_timeout = state.policy->stall_timeout +
                                kFirstTokenTimeoutFactor * chosen.first_token;

  TargetState* target = GetOrAddTarget(ctx, chosen.target);
  target->in_flight.insert(exchange->id);
  state.router.RecordAttemptStart(chosen.target, exchange->route, ctx.now);
  if (exchange->route.suspect) {
    ++target->suspects;
    ApplyTargetLimit(ctx, chosen.target);
  }

  StartAttempt start;
  start.exchange = exchange->id;
  start.attempt = attempt.number;
  start.target = chosen.target;
  start.address = chosen.address;
  start.resume = exchange->delivered.ToVector();
  start.prefill_only = attempt.prefill_only;
  if (!exchange->kv_handle.empty()) {
    start.import_kv = exchange->kv_handle;
    start.import_from = exchange->kv_address;
  }
  start.dedicated_connection = !exchange->idempotent;
  ctx.Emit(std::move(start));
  if (exchange->kind != RequestKind::kPlain) {
    ArmTimer(ctx, exchange, ctx.now + attempt.first_event_timeout);
  }
}

// Queues streams that wait for the retry budget, oldest first, as far as the
// budget allows.
void QueueAffordableRetries(const StepContext& ctx) {
  ServingState& state = *ctx.state;
  while (!state.awaiting_retry_budget.empty()) {
    const auto it = state.exchanges.find(state.awaiting_retry_budget.front());
    if (it != state.exchanges.end()) {
      if (!TryConsumeRetry(&state.retry_budget)) {
        return;
      }
      ++state.counters.retries;
      EnqueueExchange(ctx, it->second.get());
    }
    state.awaiting_retry_budget.pop_front();
  }
}

}  // namespace

std::string FlowPrefix(const std::string& service) {
  return absl::StrCat(service, "\n");
}

void EnqueueExchange(const StepContext& ctx, Exchange* exchange) {
  ServingState& state = *ctx.state;
  exchange->state = ExchangeState::kQueued;
  const bool first_attempt = exchange->attempts == 0;
  const std::string base_flow =
      absl::StrCat(FlowPrefix(exchange->route.service), exchange->route.model,
                   "\n", exchange->route.adapter);
  // A request that cannot be placed blocks its flow. Resumed requests exclude
  // different targets, so each gets its own flow to avoid blocking the others.
  exchange->dedicated_flow =
      exchange->suspect || (!first_attempt && exchange->kv_handle.empty());
  if (exchange->dedicated_flow) {
    exchange->flow = absl::StrCat(base_flow, "\nresume ", exchange->id);
  } else if (first_attempt) {
    exchange->flow = base_flow;
  } else {
    exchange->flow = absl::StrCat(base_flow, "\ndecode");
  }
  if (CountWaiting(state.queue, exchange->house, exchange->flow) == 0) {
    // The last backlog may have ended without a dispatch, so its flag is stale.
    const auto wait =
        state.wait_estimates.find({exchange->house, exchange->flow});
    if (wait != state.wait_estimates.end()) {
      wait->second.backlogged = false;
    }
  }
  QueuedRequest queued;
  queued.id = exchange->id;
  queued.house = exchange->house;
  queued.flow = exchange->flow;
  queued.caller_class = exchange->caller_class;
  const auto& priorities = state.policy->class_priorities;
  const auto class_entry = priorities.find(exchange->caller_class);
  queued.class_priority =
      (class_entry == priorities.end() ? 0 : class_entry->second) +
      (first_attempt ? 0 : kResumedPriorityBoost);
  queued.priority = exchange->priority;
  queued.cost = std::max<int64_t>(
      1, exchange->route.prompt_tokens + exchange->max_tokens);
  queued.counted = first_attempt;
  exchange->queue_order = Enqueue(&state.queue, std::move(queued));
}

void DispatchQueued(const StepContext& ctx) {
  ServingState& state = *ctx.state;
  QueueAffordableRetries(ctx);
  while (const QueuedRequest* candidate = NextCandidate(&state.queue)) {
    Exchange* exchange = state.exchanges.at(candidate->id).get();
    if (IsKnownToCrash(ctx, exchange->fingerprint)) {
      RecordNotRun(ctx, *exchange);
      FailExchange(ctx, exchange, ErrorKind::kCrashesTargets,
                   "an identical request was identified as crashing targets");
      continue;
    }
    const RouteDecision decision = ChooseWithFallback(ctx, exchange);
    if (!decision.found) {
      if (decision.matching_targets == 0 && exchange->attempts == 0) {
        RecordNotRun(ctx, *exchange);
        FailExchange(ctx, exchange, ErrorKind::kNoCapacity,
                     "no listed target serves this service, model and adapter");
        continue;
      }
      if (!exchange->dedicated_flow) {
        RecordBacklog(&state.wait_estimates[{exchange->house, exchange->flow}],
                      ctx.now);
      }
      Block(&state.queue, *candidate);
      continue;
    }
    Dequeue(&state.queue, *candidate);
    if (!exchange->dedicated_flow) {
      RecordDispatch(&state.wait_estimates[{exchange->house, exchange->flow}],
                     CountWaiting(state.queue, exchange->house, exchange->flow),
                     ctx.now);
    }
    StartNextAttempt(ctx, exchange, decision.chosen);
  }
}

}  // namespace endiveyard
