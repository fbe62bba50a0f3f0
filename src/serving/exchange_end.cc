#include <utility>

#include "absl/strings/str_cat.h"
#include "endiveyard/admission/retry_after.h"
#include "endiveyard/base/digest.h"
#include "serving/serving_state.h"

namespace endiveyard {
namespace {

void ObserveExchange(const StepContext& ctx,
                     const Exchange& exchange,
                     std::string_view outcome) {
  ObserveRequest observe;
  observe.house = exchange.house;
  observe.caller_class = exchange.caller_class;
  if (exchange.attempts > 0) {
    observe.queued = exchange.first_dispatch - exchange.received;
  }
  if (exchange.first_token != TimePoint()) {
    observe.first_token = exchange.first_token - exchange.received;
  }
  observe.total = ctx.now - exchange.received;
  observe.outcome = std::string(outcome);
  ctx.Emit(std::move(observe));
}

Duration RetryAfterFor(ErrorKind kind,
                       Duration wait,
                       uint64_t fingerprint,
                       const std::string& request_id) {
  if (ErrorResponseFor(kind).retry != RetryAdvice::kSafe) {
    return Duration(0);
  }
  // The request id spreads the retries of callers that sent the same request.
  return RetryAfter(wait, CombineDigests(fingerprint, Digest64(request_id)));
}

}  // namespace

void OnCallerDisconnected(const StepContext& ctx,
                          const CallerDisconnected& event) {
  const auto it = ctx.state->exchanges.find(event.exchange);
  if (it == ctx.state->exchanges.end()) {
    return;
  }
  Exchange* exchange = it->second.get();
  switch (exchange->state) {
    case ExchangeState::kIntentPending:
      AdjustReservation(&ctx.state->queue, exchange->house,
                        exchange->caller_class, -1);
      exchange->state = ExchangeState::kIntentAbandoned;
      ObserveExchange(ctx, *exchange, "caller_gone");
      return;
    case ExchangeState::kQueued:
      RecordNotRun(ctx, *exchange);
      break;
    case ExchangeState::kRunning:
      if (!exchange->idempotent) {
        // The effect cannot be undone; the outcome is recorded when it arrives.
        exchange->state = ExchangeState::kDetached;
        ObserveExchange(ctx, *exchange, "caller_gone");
        return;
      }
      ctx.Emit(CancelAttempt{exchange->id, exchange->attempt.number,
                             exchange->attempt.target,
                             exchange->attempt.address});
      ReleaseTarget(ctx, exchange, exchange->attempt.first_token);
      break;
    case ExchangeState::kIntentAbandoned:
    case ExchangeState::kDetached:
      return;
  }
  ObserveExchange(ctx, *exchange, "caller_gone");
  EraseExchange(ctx, exchange);
}

void FinishCompletionExchange(const StepContext& ctx,
                              Exchange* exchange,
                              const std::string& finish_reason) {
  ReleaseTarget(ctx, exchange, exchange->attempt.first_token);
  ClearSuspect(ctx, exchange);
  if (exchange->state == ExchangeState::kRunning) {
    FinishCompletion finish;
    finish.exchange = exchange->id;
    finish.finish_reason = finish_reason;
    finish.prompt_tokens = exchange->prompt_tokens;
    finish.completion_tokens = exchange->delivered.size();
    ctx.Emit(std::move(finish));
    ObserveExchange(ctx, *exchange, "ok");
  }
  EraseExchange(ctx, exchange);
}

void FinishPlainExchange(const StepContext& ctx,
                         Exchange* exchange,
                         const PlainAnswered& answer) {
  const bool stored = exchange->state == ExchangeState::kIntentAbandoned;
  if (!stored) {
    ReleaseTarget(ctx, exchange, exchange->attempt.first_token);
    ClearSuspect(ctx, exchange);
    if (exchange->intent_committed) {
      RecordOutcome record;
      record.house = exchange->house;
      record.key = exchange->idempotency_key;
      record.ran = true;
      record.status = answer.status;
      record.content_type = answer.content_type;
      record.body = answer.body;
      ctx.Emit(std::move(record));
    }
  }
  if (exchange->state != ExchangeState::kDetached) {
    ctx.Emit(FinishPlain{exchange->id, answer.status, answer.content_type,
                         answer.body});
    ObserveExchange(ctx, *exchange, "ok");
  }
  EraseExchange(ctx, exchange);
}

void RejectArrival(const StepContext& ctx,
                   const RequestArrived& event,
                   ErrorKind kind,
                   const std::string& detail,
                   Duration wait) {
  const ServingRequest& request = event.request;
  ctx.Emit(FinishError{
      event.exchange, kind, detail,
      RetryAfterFor(kind, wait, Digest64(request.body), request.request_id)});
  ObserveRequest observe;
  observe.house = request.house;
  observe.caller_class = request.caller_class;
  observe.total = Duration(0);
  observe.outcome = std::string(ErrorResponseFor(kind).name);
  ctx.Emit(std::move(observe));
}

void SendError(const StepContext& ctx,
               const Exchange& exchange,
               ErrorKind kind,
               const std::string& detail,
               Duration wait) {
  ctx.Emit(FinishError{
      exchange.id, kind, detail,
      RetryAfterFor(kind, wait, exchange.fingerprint, exchange.request_id)});
  ObserveExchange(ctx, exchange, ErrorResponseFor(kind).name);
}

void FailExchange(const StepContext& ctx,
                  Exchange* exchange,
                  ErrorKind kind,
                  const std::string& detail) {
  SendError(ctx, *exchange, kind, detail, Duration(0));
  EraseExchange(ctx, exchange);
}

void EraseExchange(const StepContext& ctx, Exchange* exchange) {
  ServingState& state = *ctx.state;
  if (exchange->state == ExchangeState::kQueued) {
    Remove(&state.queue, exchange->house, exchange->flow,
           exchange->queue_order);
  }
  SaveSuspectRecord(ctx, *exchange);
  state.suspects.erase(exchange->id);
  state.exchanges.erase(exchange->id);
}

}  // namespace endiveyard
