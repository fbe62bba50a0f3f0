#include <utility>

#include "absl/strings/str_cat.h"
#include "endiveyard/serving/serving_log_events.h"
#include "serving/serving_state.h"

namespace endiveyard {

void CommitExchangeIntent(const StepContext& ctx, Exchange* exchange) {
  ServingState& state = *ctx.state;
  // Avoids a write to the object API for a request that no target serves.
  const RouteDecision decision = state.router.Explain(exchange->route, ctx.now);
  if (!decision.found && decision.matching_targets == 0) {
    FailExchange(ctx, exchange, ErrorKind::kNoCapacity,
                 "no listed target serves this service, model and adapter");
    return;
  }
  exchange->state = ExchangeState::kIntentPending;
  AdjustReservation(&state.queue, exchange->house, exchange->caller_class, 1);
  CommitIntent commit;
  commit.exchange = exchange->id;
  commit.house = exchange->house;
  commit.key = exchange->idempotency_key;
  commit.fingerprint = exchange->fingerprint;
  commit.give_up_at = exchange->deadline;
  ctx.Emit(std::move(commit));
}

void OnIntentResolved(const StepContext& ctx, const IntentResolved& event) {
  const auto it = ctx.state->exchanges.find(event.exchange);
  if (it == ctx.state->exchanges.end()) {
    return;
  }
  Exchange* exchange = it->second.get();
  const bool committed = event.state == IntentState::kCommitted;
  if (exchange->state == ExchangeState::kIntentAbandoned) {
    exchange->intent_committed = committed;
    RecordNotRun(ctx, *exchange);
    EraseExchange(ctx, exchange);
    return;
  }
  if (exchange->state != ExchangeState::kIntentPending) {
    return;
  }
  AdjustReservation(&ctx.state->queue, exchange->house, exchange->caller_class,
                    -1);
  // Neither queued nor in flight until EnqueueExchange(), so that the functions
  // that end the exchange clean up neither.
  exchange->state = ExchangeState::kIntentAbandoned;
  switch (event.state) {
    case IntentState::kCommitted:
      exchange->intent_committed = true;
      EnqueueExchange(ctx, exchange);
      return;
    case IntentState::kStoredAnswer: {
      PlainAnswered answer;
      answer.status = event.status;
      answer.content_type = event.content_type;
      answer.body = event.body;
      FinishPlainExchange(ctx, exchange, answer);
      return;
    }
    case IntentState::kInProgress:
      FailExchange(ctx, exchange, ErrorKind::kInProgress, "");
      return;
    case IntentState::kUnknown:
      FailExchange(ctx, exchange, ErrorKind::kOutcomeUnknown,
                   "an earlier request with this idempotency key may have run");
      return;
    case IntentState::kKeyReused:
      FailExchange(ctx, exchange, ErrorKind::kKeyReused, "");
      return;
    case IntentState::kUnavailable:
      FailExchange(ctx, exchange, ErrorKind::kObjectApiUnavailable,
                   "the intent could not be committed to the object API");
      return;
  }
}

void RecordNotRun(const StepContext& ctx, const Exchange& exchange) {
  if (!exchange.intent_committed) {
    return;
  }
  RecordOutcome record;
  record.house = exchange.house;
  record.key = exchange.idempotency_key;
  record.ran = false;
  ctx.Emit(std::move(record));
}

void FailAtMostOnce(const StepContext& ctx,
                    Exchange* exchange,
                    AttemptFailure failure,
                    const std::string& detail) {
  ErrorKind kind = ErrorKind::kOutcomeUnknown;
  if (failure == AttemptFailure::kConnectFailed) {
    kind = ErrorKind::kNoCapacity;
  } else if (failure == AttemptFailure::kTargetRefused) {
    kind = ErrorKind::kTargetRefused;
  }
  if (kind == ErrorKind::kOutcomeUnknown) {
    // The intent stays open, so that a repeated request also gets
    // outcome_unknown.
    ctx.Log(kLogOutcomeUnknown,
            absl::StrCat("x", exchange->id, " at ", exchange->attempt.target,
                         ": ", detail));
  } else {
    RecordNotRun(ctx, *exchange);
  }
  if (exchange->state == ExchangeState::kDetached) {
    EraseExchange(ctx, exchange);
    return;
  }
  FailExchange(ctx, exchange, kind, detail);
}

}  // namespace endiveyard
