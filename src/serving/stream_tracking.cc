#include <utility>

#include "absl/strings/str_cat.h"
#include "endiveyard/serving/serving_log_events.h"
#include "serving/serving_state.h"

namespace endiveyard {
namespace {

// Fixed cost of an answer, expressed in prompt tokens. Time to first token is
// divided by this plus the number of uncached prompt tokens, so that a long
// prompt does not make a target look slow.
constexpr double kFixedCostTokens = 256;

void HandleFirstEvent(const StepContext& ctx, Exchange* exchange) {
  RunningAttempt& attempt = exchange->attempt;
  attempt.first_token = ctx.now - attempt.started;
  ctx.state->router.RecordFirstToken(attempt.target, exchange->route,
                                     attempt.first_token, ctx.now);
  TargetState* target = GetOrAddTarget(ctx, attempt.target);
  RecordLatency(
      &target->limit,
      static_cast<double>(attempt.first_token.count()) /
          (kFixedCostTokens + static_cast<double>(attempt.uncached_tokens)),
      static_cast<int>(target->in_flight.size()), ctx.now);
  ApplyTargetLimit(ctx, attempt.target);
  ArmTimer(ctx, exchange, ctx.now + ctx.state->policy->stall_timeout);
}

}  // namespace

void OnTokensReceived(const StepContext& ctx, const TokensReceived& event) {
  ServingState& state = *ctx.state;
  Exchange* exchange = FindRunningExchange(ctx, event.exchange, event.attempt);
  if (exchange == nullptr) {
    return;
  }
  if (event.event_id != exchange->attempt.event_id) {
    ++state.counters.foreign_events;
    ctx.Log(kLogForeignEvent,
            absl::StrCat("event id ", event.event_id, " from ",
                         exchange->attempt.target, ", expected ",
                         exchange->attempt.event_id));
    return;
  }
  const int next = exchange->delivered.size();
  if (event.index > next || event.index < 0) {
    ctx.Log(kLogIndexJump,
            absl::StrCat(exchange->attempt.event_id, " token index ",
                         event.index, ", expected ", next));
    CancelAndFailAttempt(ctx, exchange,
                         "the engine skipped tokens of the stream");
    DispatchQueued(ctx);
    return;
  }
  exchange->attempt.last_event = ctx.now;
  if (exchange->attempt.first_token < Duration(0)) {
    HandleFirstEvent(ctx, exchange);
  }
  const auto repeated = static_cast<size_t>(next - event.index);
  if (repeated >= event.tokens.size()) {
    state.counters.duplicate_tokens += event.tokens.size();
    return;
  }
  state.counters.duplicate_tokens += repeated;
  DeliverTokens deliver;
  deliver.exchange = exchange->id;
  deliver.tokens.assign(
      event.tokens.begin() + static_cast<std::ptrdiff_t>(repeated),
      event.tokens.end());
  for (const std::string& it : deliver.tokens) {
    exchange->delivered.Append(it);
  }
  if (exchange->first_token == TimePoint()) {
    exchange->first_token = ctx.now;
  } else {
    ctx.Emit(ObserveTokenGap{exchange->house, exchange->caller_class,
                             ctx.now - exchange->last_token});
  }
  exchange->last_token = ctx.now;
  if (exchange->state == ExchangeState::kRunning) {
    ctx.Emit(std::move(deliver));
  }
}

}  // namespace endiveyard
