#include "endiveyard/serving/serving_core.h"

#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "endiveyard/serving/serving_log_events.h"
#include "serving/serving_state.h"

namespace endiveyard {
namespace {

TargetRouterOptions RouterOptions(const ServingCoreOptions& options) {
  TargetRouterOptions router;
  router.region = options.region;
  router.failure_domain = options.failure_domain;
  router.seed = options.seed;
  return router;
}

// Events that neither free capacity nor add work do not call DispatchQueued(),
// so that the cost of a token event does not depend on the length of the queue.
struct EventHandler {
  const StepContext& ctx;

  void operator()(const RequestArrived& event) const {
    OnRequestArrived(ctx, event);
    DispatchQueued(ctx);
  }
  void operator()(const CallerDisconnected& event) const {
    OnCallerDisconnected(ctx, event);
    DispatchQueued(ctx);
  }
  void operator()(const TokensReceived& event) const {
    OnTokensReceived(ctx, event);
  }
  void operator()(const AttemptCompleted& event) const {
    OnAttemptCompleted(ctx, event);
    DispatchQueued(ctx);
  }
  void operator()(const AttemptFailed& event) const {
    OnAttemptFailed(ctx, event);
    DispatchQueued(ctx);
  }
  void operator()(const PlainAnswered& event) const {
    OnPlainAnswered(ctx, event);
    DispatchQueued(ctx);
  }
  void operator()(const IntentResolved& event) const {
    OnIntentResolved(ctx, event);
    DispatchQueued(ctx);
  }
  void operator()(const TargetListReceived& event) const {
    OnTargetListReceived(ctx, event);
    DispatchQueued(ctx);
  }
  void operator()(const LoadReported& event) const {
    OnLoadReported(ctx, event);
    DispatchQueued(ctx);
  }
  void operator()(const CacheChanged& event) const {
    ctx.state->router.ApplyCacheEvents(event.target, event.sequence,
                                       event.stored, event.evicted);
  }
  void operator()(const TargetLeaving& event) const {
    MarkTargetLeaving(ctx, event.target, /*announce=*/false);
  }
  void operator()(const TargetDraining& event) const {
    OnTargetDraining(ctx, event);
    DispatchQueued(ctx);
  }
  void operator()(const CrashFingerprintReceived& event) const {
    OnCrashFingerprintReceived(ctx, event);
    DispatchQueued(ctx);
  }
  void operator()(const PolicyChanged& event) const {
    OnPolicyChanged(ctx, event);
    DispatchQueued(ctx);
  }
  void operator()(const ShutdownStarted&) const {
    if (!ctx.state->shutting_down) {
      ctx.state->shutting_down = true;
      ctx.Log(kLogShutdownStarted,
              absl::StrCat("shutdown started; open exchanges: ",
                           ctx.state->exchanges.size()));
    }
  }
  void operator()(const Tick&) const {
    DetectProcessPause(ctx);
    FireTimers(ctx);
    EvictExpiredCrashRecords(ctx);
    UnblockAll(&ctx.state->queue);
    DispatchQueued(ctx);
  }
};

}  // namespace

ServingState::ServingState(ServingCoreOptions core_options)
    : options(std::move(core_options)),
      policy(std::make_shared<const ServingPolicy>()),
      router(RouterOptions(options)) {}

void StepContext::Log(int number, std::string detail) const {
  Emit(EmitLogEvent{number, std::move(detail)});
}

class ServingCore::Impl {
 public:
  explicit Impl(ServingCoreOptions options) : state_(std::move(options)) {}

  ServingState& state() { return state_; }

 private:
  ServingState state_;
};

ServingCore::ServingCore(ServingCoreOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

ServingCore::~ServingCore() = default;

void ServingCore::Step(const ServingEvent& event,
                       TimePoint now,
                       std::vector<ServingAction>* actions) {
  const StepContext ctx{&impl_->state(), now, actions};
  std::visit(EventHandler{ctx}, event);
}

int ServingCore::InFlight(std::string_view target) const {
  return impl_->state().router.InFlight(target);
}

size_t ServingCore::open_exchanges() const {
  return impl_->state().exchanges.size();
}

const ServingCounters& ServingCore::counters() const {
  return impl_->state().counters;
}

std::string ServingCore::Explain(const ServingRequest& request,
                                 TimePoint now) const {
  const ServingState& state = impl_->state();
  const RouteDecision decision =
      state.router.Explain(MakeRouteRequest(request), now);
  std::string text = absl::StrCat(
      "house=", request.house, " service=", request.service,
      " model=", request.model, " matching=", decision.matching_targets, "\n");
  for (const RouteCandidate& it : decision.considered) {
    const bool chosen = decision.found && it.target == decision.chosen.target;
    absl::StrAppend(&text, chosen ? "* " : "  ", it.target,
                    " cached_tokens=", it.cached_tokens,
                    " queued_tokens=", it.queued_tokens,
                    " prefill_us=", it.prefill.count(),
                    " decode_wait_us=", it.decode_wait.count(),
                    " network_us=", it.network.count(),
                    " first_token_us=", it.first_token.count(),
                    " in_flight=", state.router.InFlight(it.target), "\n");
  }
  if (!decision.found) {
    absl::StrAppend(&text, "no target can take this request now\n");
  }
  return text;
}

}  // namespace endiveyard
