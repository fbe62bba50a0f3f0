#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "endiveyard/serving/serving_log_events.h"
#include "serving/serving_state.h"

namespace endiveyard {
namespace {

// Failed attempts after which a request is refused. Limits the share of the
// retry budget that one request can use.
constexpr int kMaxFailedAttempts = 5;
// A lost target gets no new work for this time, unless it reports its load
// before.
constexpr Duration kLostTargetBackoff = std::chrono::seconds(2);

bool IsKnownNotRun(AttemptFailure failure) {
  return failure == AttemptFailure::kConnectFailed ||
         failure == AttemptFailure::kTargetRefused;
}

void ExcludeTarget(Exchange* exchange, const std::string& target) {
  std::vector<std::string>& excluded = exchange->route.excluded_targets;
  if (std::find(excluded.begin(), excluded.end(), target) == excluded.end()) {
    excluded.push_back(target);
  }
}

ErrorKind FinalErrorKind(const Exchange& exchange, AttemptFailure failure) {
  if (exchange.may_have_run) {
    return ErrorKind::kTargetFailed;
  }
  return failure == AttemptFailure::kTargetRefused ? ErrorKind::kTargetRefused
                                                   : ErrorKind::kNoCapacity;
}

// Whether max_tokens tokens were delivered, so that only the end of the stream
// is missing.
bool HasAllTokens(const Exchange& exchange) {
  return exchange.kind != RequestKind::kPlain && !exchange.delivered.empty() &&
         exchange.delivered.size() >= exchange.max_tokens;
}

void PenalizeTarget(const StepContext& ctx,
                    const std::string& target,
                    const AttemptFailed& failed) {
  RecordFailure(&GetOrAddTarget(ctx, target)->limit, ctx.now);
  ApplyTargetLimit(ctx, target);
  if (failed.failure == AttemptFailure::kConnectFailed ||
      (failed.failure == AttemptFailure::kConnectionLost &&
       !failed.target_known_alive)) {
    ctx.state->router.MarkLost(target, ctx.now + kLostTargetBackoff);
  }
}

}  // namespace

Exchange* FindRunningExchange(const StepContext& ctx,
                              ExchangeId id,
                              int attempt) {
  const auto it = ctx.state->exchanges.find(id);
  if (it != ctx.state->exchanges.end()) {
    Exchange* exchange = it->second.get();
    const bool running = exchange->state == ExchangeState::kRunning ||
                         exchange->state == ExchangeState::kDetached;
    if (running && exchange->attempt.number == attempt) {
      return exchange;
    }
  }
  ++ctx.state->counters.stale_events;
  return nullptr;
}

void ReleaseTarget(const StepContext& ctx,
                   Exchange* exchange,
                   Duration first_token) {
  ServingState& state = *ctx.state;
  const std::string& name = exchange->attempt.target;
  state.router.RecordAttemptEnd(name, exchange->route, first_token, ctx.now);
  TargetState* target = GetOrAddTarget(ctx, name);
  target->in_flight.erase(exchange->id);
  if (exchange->route.suspect) {
    --target->suspects;
  }
  if (!target->listed && target->in_flight.empty()) {
    EraseTarget(&state, name);
  } else {
    ApplyTargetLimit(ctx, name);
  }
  UnblockService(ctx, exchange->house, exchange->route.service);
}

void MigrateExchange(const StepContext& ctx, Exchange* exchange) {
  ctx.Emit(CancelAttempt{exchange->id, exchange->attempt.number,
                         exchange->attempt.target, exchange->attempt.address});
  if (HasAllTokens(*exchange)) {
    FinishCompletionExchange(ctx, exchange, "length");
    return;
  }
  ReleaseTarget(ctx, exchange, exchange->attempt.first_token);
  ++ctx.state->counters.planned_migrations;
  exchange->may_have_run = true;
  exchange->kv_handle.clear();
  ExcludeTarget(exchange, exchange->attempt.target);
  exchange->last_failure = ctx.now;
  EnqueueExchange(ctx, exchange);
}

void CancelAndFailAttempt(const StepContext& ctx,
                          Exchange* exchange,
                          const std::string& detail) {
  ctx.Emit(CancelAttempt{exchange->id, exchange->attempt.number,
                         exchange->attempt.target, exchange->attempt.address});
  AttemptFailed failed;
  failed.failure = AttemptFailure::kMalformed;
  failed.detail = detail;
  FailAttempt(ctx, exchange, failed);
}

void FailAttempt(const StepContext& ctx,
                 Exchange* exchange,
                 const AttemptFailed& failed) {
  ServingState& state = *ctx.state;
  const AttemptFailure failure = failed.failure;
  const std::string& detail = failed.detail;
  const std::string target = exchange->attempt.target;
  const bool was_suspect = exchange->route.suspect;
  if (HasAllTokens(*exchange)) {
    FinishCompletionExchange(ctx, exchange, "length");
    PenalizeTarget(ctx, target, failed);
    return;
  }
  ReleaseTarget(ctx, exchange, Duration(-1));
  PenalizeTarget(ctx, target, failed);
  if (!IsKnownNotRun(failure)) {
    exchange->may_have_run = true;
  }
  if (failure == AttemptFailure::kConnectionLost &&
      !failed.target_known_alive &&
      HandleTargetLoss(ctx, exchange, target, was_suspect)) {
    return;
  }
  if (!exchange->idempotent) {
    FailAtMostOnce(ctx, exchange, failure, detail);
    return;
  }
  ++exchange->failures;
  exchange->last_failure = ctx.now;
  exchange->kv_handle.clear();
  ExcludeTarget(exchange, target);
  if (exchange->failures >= kMaxFailedAttempts) {
    FailExchange(ctx, exchange, FinalErrorKind(*exchange, failure), detail);
    return;
  }
  if (!TryConsumeRetry(&state.retry_budget)) {
    ctx.Log(kLogRetryBudgetEmpty, absl::StrCat("x", exchange->id));
    // A caller that has received tokens cannot simply repeat the request, so
    // its stream waits for the retry budget until its deadline.
    if (exchange->delivered.empty()) {
      FailExchange(ctx, exchange, FinalErrorKind(*exchange, failure), detail);
      return;
    }
    exchange->state = ExchangeState::kQueued;
    state.awaiting_retry_budget.push_back(exchange->id);
    return;
  }
  ++state.counters.retries;
  if (!exchange->delivered.empty()) {
    ctx.Log(kLogStreamResumed,
            absl::StrCat("x", exchange->id, " resumes after ",
                         exchange->delivered.size(), " tokens from ", target));
  }
  EnqueueExchange(ctx, exchange);
}

void OnAttemptCompleted(const StepContext& ctx, const AttemptCompleted& event) {
  Exchange* exchange = FindRunningExchange(ctx, event.exchange, event.attempt);
  if (exchange == nullptr) {
    return;
  }
  if (exchange->kind == RequestKind::kPlain) {
    ++ctx.state->counters.stale_events;
    return;
  }
  if (event.prompt_tokens > 0 && exchange->prompt_tokens == 0) {
    exchange->prompt_tokens = event.prompt_tokens;
  }
  const RunningAttempt& attempt = exchange->attempt;
  // A prefill attempt ends with "length" after one token; any other finish
  // reason ends the whole answer.
  const bool continues = attempt.prefill_only &&
                         event.finish_reason == "length" &&
                         exchange->delivered.size() < exchange->max_tokens;
  if (!continues) {
    FinishCompletionExchange(ctx, exchange, event.finish_reason);
    return;
  }
  ReleaseTarget(ctx, exchange, attempt.first_token);
  ++ctx.state->counters.planned_migrations;
  exchange->may_have_run = true;
  exchange->kv_handle = event.kv_handle;
  exchange->kv_address = attempt.address;
  EnqueueExchange(ctx, exchange);
}

void OnAttemptFailed(const StepContext& ctx, const AttemptFailed& event) {
  Exchange* exchange = FindRunningExchange(ctx, event.exchange, event.attempt);
  if (exchange == nullptr) {
    return;
  }
  const std::string target = exchange->attempt.target;
  const bool leaving =
      event.failure == AttemptFailure::kTargetRefused && event.target_leaving;
  if (leaving) {
    MarkTargetLeaving(ctx, target, /*announce=*/true);
  }
  if (leaving && exchange->idempotent) {
    ReleaseTarget(ctx, exchange, Duration(-1));
    ++ctx.state->counters.planned_migrations;
    ExcludeTarget(exchange, target);
    EnqueueExchange(ctx, exchange);
    return;
  }
  FailAttempt(ctx, exchange, event);
}

void OnPlainAnswered(const StepContext& ctx, const PlainAnswered& event) {
  Exchange* exchange = FindRunningExchange(ctx, event.exchange, event.attempt);
  if (exchange == nullptr) {
    return;
  }
  if (exchange->kind != RequestKind::kPlain) {
    ++ctx.state->counters.stale_events;
    return;
  }
  exchange->attempt.first_token = ctx.now - exchange->attempt.started;
  TargetState* target = GetOrAddTarget(ctx, exchange->attempt.target);
  RecordLatency(&target->limit,
                static_cast<double>(exchange->attempt.first_token.count()),
                static_cast<int>(target->in_flight.size()), ctx.now);
  FinishPlainExchange(ctx, exchange, event);
}

}  // namespace endiveyard
