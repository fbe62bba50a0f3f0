#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "endiveyard/base/digest.h"
#include "serving/serving_state.h"

namespace endiveyard {
namespace {

// Expected queueing time of a new request behind those waiting in its flow.
Duration ExpectedWait(const StepContext& ctx, const Exchange& exchange) {
  const ServingState& state = *ctx.state;
  const auto it = state.wait_estimates.find({exchange.house, exchange.flow});
  if (it == state.wait_estimates.end() ||
      CountWaiting(state.queue, exchange.house, exchange.flow) == 0) {
    return Duration(0);
  }
  const auto& priorities = state.policy->class_priorities;
  const auto class_entry = priorities.find(exchange.caller_class);
  const size_t ahead =
      CountAhead(state.queue, exchange.house, exchange.flow,
                 class_entry == priorities.end() ? 0 : class_entry->second,
                 exchange.priority);
  return EstimateWait(it->second, ahead, ctx.now);
}

}  // namespace

uint64_t RequestFingerprint(const ServingRequest& request) {
  uint64_t digest = Digest64(request.house);
  digest = CombineDigests(digest, static_cast<uint64_t>(request.kind));
  for (const std::string* it :
       {&request.service, &request.model, &request.adapter, &request.method,
        &request.path, &request.prompt, &request.body}) {
    digest = CombineDigests(digest, Digest64(*it));
  }
  // In AnnounceToPeers, 0 means that there is no fingerprint.
  return digest == 0 ? 1 : digest;
}

RouteRequest MakeRouteRequest(const ServingRequest& request) {
  RouteRequest route;
  route.house = request.house;
  route.service = request.service;
  if (request.kind != RequestKind::kPlain) {
    route.model = request.model;
    route.adapter = request.adapter;
    route.prompt_blocks = PromptBlockHashes(request.prompt);
    route.prompt_tokens = static_cast<int64_t>(
        (request.prompt.size() + kBytesPerToken - 1) / kBytesPerToken);
  }
  route.deadline = request.deadline;
  return route;
}

void OnRequestArrived(const StepContext& ctx, const RequestArrived& event) {
  ServingState& state = *ctx.state;
  const ServingRequest& request = event.request;
  if (state.exchanges.count(event.exchange) > 0) {
    return;
  }
  if (state.shutting_down) {
    RejectArrival(ctx, event, ErrorKind::kShuttingDown, "", Duration(0));
    return;
  }
  if (!state.target_list_received) {
    RejectArrival(ctx, event, ErrorKind::kNotReady,
                  "no list of targets received yet", Duration(0));
    return;
  }
  if (state.services.count({request.house, request.service}) == 0) {
    RejectArrival(ctx, event, ErrorKind::kUnknownService, request.service,
                  Duration(0));
    return;
  }
  const uint64_t fingerprint = RequestFingerprint(request);
  if (IsKnownToCrash(ctx, fingerprint)) {
    RejectArrival(ctx, event, ErrorKind::kCrashesTargets,
                  "an identical request was identified as crashing targets",
                  Duration(0));
    return;
  }
  if (request.deadline <= ctx.now) {
    RejectArrival(ctx, event, ErrorKind::kDeadlineTooShort,
                  "the deadline had passed on arrival", Duration(0));
    return;
  }

  auto owned = std::make_unique<Exchange>();
  Exchange* exchange = owned.get();
  exchange->id = event.exchange;
  exchange->request_id = request.request_id;
  exchange->house = request.house;
  exchange->caller_class = request.caller_class;
  exchange->idempotency_key =
      request.idempotent ? std::string() : request.idempotency_key;
  exchange->kind = request.kind;
  exchange->idempotent = request.idempotent;
  exchange->priority = std::clamp(request.priority, 0, 9);
  exchange->max_tokens = request.max_tokens;
  exchange->received = ctx.now;
  exchange->deadline = request.deadline;
  exchange->fingerprint = fingerprint;
  exchange->route = MakeRouteRequest(request);
  exchange->flow =
      absl::StrCat(FlowPrefix(request.service), exchange->route.model, "\n",
                   exchange->route.adapter);

  const Duration wait = ExpectedWait(ctx, *exchange);
  if (!HasCapacity(state.queue, request.house, request.caller_class,
                   state.policy->queue_limit)) {
    RejectArrival(ctx, event, ErrorKind::kOverloaded, "", wait);
    return;
  }
  if (ctx.now + wait > request.deadline) {
    RejectArrival(ctx, event, ErrorKind::kDeadlineTooShort,
                  absl::StrCat("the estimated wait of ", wait.count() / 1000,
                               " ms ends after the deadline"),
                  wait);
    return;
  }
  state.exchanges.emplace(event.exchange, std::move(owned));
  RestoreSuspectRecord(ctx, exchange);
  ArmTimer(ctx, exchange, exchange->deadline);
  if (!exchange->idempotency_key.empty()) {
    CommitExchangeIntent(ctx, exchange);
  } else {
    EnqueueExchange(ctx, exchange);
  }
}

}  // namespace endiveyard
