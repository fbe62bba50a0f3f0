#include <algorithm>
#include <unordered_set>

#include "endiveyard/serving/serving_log_events.h"
#include "serving/serving_state.h"

namespace endiveyard {
namespace {

// Arms the timers of the requests on `target` for the end of its drain timeout.
void ArmMigrationTimers(const StepContext& ctx, const TargetState& target) {
  for (const ExchangeId id : target.in_flight) {
    ArmTimer(ctx, ctx.state->exchanges.at(id).get(), target.migrate_at);
  }
}

void CountRole(ServingState* state, const TargetState& target, int change) {
  if (target.role == Role::kMixed) {
    return;
  }
  auto& [prefill, decode] = state->role_counts[{target.house, target.service}];
  (target.role == Role::kPrefill ? prefill : decode) += change;
}

}  // namespace

TargetState* GetOrAddTarget(const StepContext& ctx, const std::string& target) {
  ServingState& state = *ctx.state;
  const auto [it, added] = state.targets.try_emplace(target);
  TargetState& found = it->second;
  if (added) {
    found.limit =
        MakeConcurrencyLimit(state.policy->target_concurrency, ctx.now);
    const TargetInfo* info = state.router.Find(target);
    found.listed = info != nullptr;
    if (info != nullptr) {
      found.house = info->house;
      found.service = info->service;
    }
    ApplyTargetLimit(ctx, target);
  }
  return &found;
}

void EraseTarget(ServingState* state, const std::string& name) {
  const auto it = state->targets.find(name);
  CountRole(state, it->second, -1);
  state->targets.erase(it);
}

void ApplyTargetLimit(const StepContext& ctx, const std::string& target) {
  const auto it = ctx.state->targets.find(target);
  if (it == ctx.state->targets.end()) {
    return;
  }
  TargetState& found = it->second;
  int limit = AllowedInFlight(found.limit);
  if (found.suspects > 0) {
    // Admits no further request to the target of a suspect, because it would be
    // lost with the target.
    limit =
        std::max(1, std::min(limit, static_cast<int>(found.in_flight.size())));
  }
  if (limit != found.applied_limit) {
    found.applied_limit = limit;
    ctx.state->router.SetConcurrencyLimit(target, limit);
  }
}

void MarkTargetLeaving(const StepContext& ctx,
                       const std::string& target,
                       bool announce) {
  ServingState& state = *ctx.state;
  state.router.MarkLeaving(target);
  const auto it = state.targets.find(target);
  if (it == state.targets.end() || it->second.leaving) {
    return;
  }
  it->second.leaving = true;
  it->second.migrate_at =
      std::min(it->second.migrate_at, ctx.now + state.policy->drain_timeout);
  ArmMigrationTimers(ctx, it->second);
  if (announce) {
    ctx.Emit(AnnounceToPeers{target, 0});
    ctx.Log(kLogTargetLeaving, target);
  }
}

void OnTargetListReceived(const StepContext& ctx,
                          const TargetListReceived& event) {
  ServingState& state = *ctx.state;
  state.router.ApplyTargetList(event.targets, ctx.now);
  state.target_list_received = true;
  std::unordered_set<std::string> named;
  for (const TargetInfo& it : event.targets) {
    named.insert(it.id);
    state.services.emplace(it.house, it.service);
    TargetState* target = GetOrAddTarget(ctx, it.id);
    if (!target->listed) {
      // A target that returns after it was removed from the list is not
      // leaving.
      target->listed = true;
      target->leaving = false;
      target->migrate_at = TimePoint::max();
      target->house = it.house;
      target->service = it.service;
    }
    if (it.state == ListedState::kLeaving) {
      MarkTargetLeaving(ctx, it.id, /*announce=*/false);
    }
  }
  std::vector<std::string> gone;
  for (auto& [name, target] : state.targets) {
    if (named.count(name) == 0) {
      target.listed = false;
      if (target.in_flight.empty()) {
        gone.push_back(name);
      }
    }
  }
  for (const std::string& it : gone) {
    EraseTarget(&state, it);
  }
  UnblockAll(&state.queue);
}

void OnLoadReported(const StepContext& ctx, const LoadReported& event) {
  ServingState& state = *ctx.state;
  state.router.ApplyLoad(event.target, event.load, ctx.now);
  const auto it = state.targets.find(event.target);
  if (it == state.targets.end()) {
    return;
  }
  TargetState& target = it->second;
  if (target.role != event.load.role) {
    CountRole(&state, target, -1);
    target.role = event.load.role;
    CountRole(&state, target, 1);
  }
  UnblockService(ctx, target.house, target.service);
}

void OnTargetDraining(const StepContext& ctx, const TargetDraining& event) {
  ServingState& state = *ctx.state;
  state.router.SetDraining(event.target, event.draining);
  const auto it = state.targets.find(event.target);
  if (it == state.targets.end()) {
    return;
  }
  TargetState& target = it->second;
  if (event.draining) {
    target.migrate_at =
        std::min(target.migrate_at, ctx.now + state.policy->drain_timeout);
    ArmMigrationTimers(ctx, target);
    return;
  }
  if (!target.leaving) {
    target.migrate_at = TimePoint::max();
  }
  UnblockService(ctx, target.house, target.service);
}

void OnPolicyChanged(const StepContext& ctx, const PolicyChanged& event) {
  ServingState& state = *ctx.state;
  if (event.policy == nullptr) {
    return;
  }
  const bool new_limits =
      event.policy->target_concurrency != state.policy->target_concurrency;
  for (const auto& [house, weight] : state.policy->house_weights) {
    SetWeight(&state.queue, house, 1);
  }
  state.policy = event.policy;
  for (const auto& [house, weight] : state.policy->house_weights) {
    SetWeight(&state.queue, house, weight);
  }
  if (new_limits) {
    for (auto& [name, target] : state.targets) {
      target.limit =
          MakeConcurrencyLimit(state.policy->target_concurrency, ctx.now);
      ApplyTargetLimit(ctx, name);
    }
  }
  UnblockAll(&state.queue);
}

void UnblockService(const StepContext& ctx,
                    const std::string& house,
                    const std::string& service) {
  if (ctx.state->queue.size > 0) {
    Unblock(&ctx.state->queue, house, FlowPrefix(service));
  }
}

}  // namespace endiveyard
