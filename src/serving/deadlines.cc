#include <algorithm>

#include "absl/strings/str_cat.h"
#include "endiveyard/serving/serving_log_events.h"
#include "serving/serving_state.h"

namespace endiveyard {
namespace {

// How long after the deadline the outcome of an at-most-once request, or the
// result of committing its intent, is still awaited.
constexpr Duration kLateOutcomeTimeout = std::chrono::minutes(5);
// Interval at which a request that is due for migration looks for another
// target.
constexpr Duration kMigrationRetryInterval = std::chrono::seconds(1);

// Ticks arrive every few tens of milliseconds; a gap of this length means that
// the process was suspended or starved of CPU time.
constexpr Duration kMinProcessPause = std::chrono::seconds(1);

void OnDeadline(const StepContext& ctx, Exchange* exchange) {
  switch (exchange->state) {
    case ExchangeState::kIntentPending:
      // The request was not sent and will not be, even if the commit succeeds.
      AdjustReservation(&ctx.state->queue, exchange->house,
                        exchange->caller_class, -1);
      SendError(
          ctx, *exchange, ErrorKind::kObjectApiUnavailable,
          "the intent was not committed to the object API before the deadline",
          Duration(0));
      exchange->state = ExchangeState::kIntentAbandoned;
      ArmTimer(ctx, exchange, ctx.now + kLateOutcomeTimeout);
      return;
    case ExchangeState::kQueued:
      RecordNotRun(ctx, *exchange);
      FailExchange(ctx, exchange,
                   exchange->may_have_run ? ErrorKind::kDeadlineExceeded
                                          : ErrorKind::kDeadlineTooShort,
                   "the deadline passed while the request was queued");
      return;
    case ExchangeState::kRunning:
      if (exchange->idempotent) {
        ctx.Emit(CancelAttempt{exchange->id, exchange->attempt.number,
                               exchange->attempt.target,
                               exchange->attempt.address});
        ReleaseTarget(ctx, exchange, exchange->attempt.first_token);
        FailExchange(ctx, exchange, ErrorKind::kDeadlineExceeded, "");
        return;
      }
      SendError(
          ctx, *exchange, ErrorKind::kOutcomeUnknown,
          "the deadline passed while an at-most-once request was in flight",
          Duration(0));
      exchange->state = ExchangeState::kDetached;
      ArmTimer(ctx, exchange, ctx.now + kLateOutcomeTimeout);
      return;
    case ExchangeState::kIntentAbandoned:
      EraseExchange(ctx, exchange);
      return;
    case ExchangeState::kDetached:
      ReleaseTarget(ctx, exchange, Duration(-1));
      EraseExchange(ctx, exchange);
      return;
  }
}

// Whether another target could take the exchange now.
bool HasAlternative(const StepContext& ctx, const Exchange& exchange) {
  RouteRequest route = exchange.route;
  route.excluded_targets.push_back(exchange.attempt.target);
  for (const RoutePhase phase :
       {RoutePhase::kPrefillAndDecode, RoutePhase::kPrefill}) {
    route.phase = phase;
    if (ctx.state->router.Explain(route, ctx.now).found) {
      return true;
    }
  }
  return false;
}

// Handles the stall and drain timeouts of the attempt in flight. Returns the
// time of the next check, or TimePoint::max() if the attempt has ended.
TimePoint CheckAttempt(const StepContext& ctx, Exchange* exchange) {
  const RunningAttempt& attempt = exchange->attempt;
  TimePoint next = exchange->deadline;
  if (exchange->kind != RequestKind::kPlain) {
    // While this process is paused, token events accumulate in its buffers.
    // Counting the pause as a stall would resume all open streams on other
    // targets at once.
    const TimePoint stall_at =
        std::max(attempt.last_event, ctx.state->process_resumed_at) +
        (attempt.first_token < Duration(0) ? attempt.first_event_timeout
                                           : ctx.state->policy->stall_timeout);
    if (stall_at <= ctx.now) {
      ctx.Log(kLogStreamStalled,
              absl::StrCat(attempt.event_id, " stalled at ", attempt.target));
      CancelAndFailAttempt(ctx, exchange, "stalled");
      return TimePoint::max();
    }
    next = std::min(next, stall_at);
  }
  const auto target = ctx.state->targets.find(attempt.target);
  if (target == ctx.state->targets.end() ||
      target->second.migrate_at == TimePoint::max()) {
    return next;
  }
  if (target->second.migrate_at > ctx.now) {
    return std::min(next, target->second.migrate_at);
  }
  if (HasAlternative(ctx, *exchange)) {
    ctx.Log(kLogDrainTimeoutReached,
            absl::StrCat(attempt.event_id, " reached the drain timeout at ",
                         attempt.target));
    MigrateExchange(ctx, exchange);
    return TimePoint::max();
  }
  return std::min(next, ctx.now + kMigrationRetryInterval);
}

}  // namespace

void DetectProcessPause(const StepContext& ctx) {
  ServingState& state = *ctx.state;
  if (state.last_tick != TimePoint() &&
      ctx.now - state.last_tick >= kMinProcessPause) {
    state.process_resumed_at = ctx.now;
  }
  state.last_tick = ctx.now;
}

void ArmTimer(const StepContext& ctx, Exchange* exchange, TimePoint at) {
  if (at < exchange->timer_due) {
    exchange->timer_due = at;
    ctx.state->timers.push({at, exchange->id});
  }
}

void FireTimers(const StepContext& ctx) {
  ServingState& state = *ctx.state;
  while (!state.timers.empty() && state.timers.top().at <= ctx.now) {
    const Timer timer = state.timers.top();
    state.timers.pop();
    const auto it = state.exchanges.find(timer.exchange);
    if (it == state.exchanges.end() || it->second->timer_due != timer.at) {
      continue;  // replaced by an earlier timer, or the exchange has ended
    }
    Exchange* exchange = it->second.get();
    exchange->timer_due = TimePoint::max();
    const bool answered = exchange->state == ExchangeState::kDetached ||
                          exchange->state == ExchangeState::kIntentAbandoned;
    const TimePoint due =
        exchange->deadline + (answered ? kLateOutcomeTimeout : Duration(0));
    if (due <= ctx.now) {
      OnDeadline(ctx, exchange);
      continue;
    }
    TimePoint next = due;
    if (exchange->state == ExchangeState::kRunning && exchange->idempotent) {
      const ExchangeId id = timer.exchange;
      next = CheckAttempt(ctx, exchange);
      if (next == TimePoint::max()) {
        const auto remaining = state.exchanges.find(id);
        if (remaining == state.exchanges.end()) {
          continue;
        }
        next = remaining->second->deadline;
      }
    }
    ArmTimer(ctx, exchange, next);
  }
}

}  // namespace endiveyard
