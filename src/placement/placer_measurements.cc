#include <algorithm>

#include "endiveyard/base/digest.h"
#include "endiveyard/placement/placer.h"

// What a placer learns from calls and from other instances. The choice of
// replicas is in placer.cc.
namespace endiveyard {
namespace {

uint64_t ServiceKey(const std::string& service) {
  return Digest64(service) & 0xffffffffu;
}

}  // namespace

ReplicaLoad& Placer::LoadOf(const Replica& replica) {
  IncarnationLoad& entry = loads_[replica.id];
  if (entry.started_unix_ms != replica.started_unix_ms) {
    entry = {replica.started_unix_ms, ReplicaLoad()};
  }
  return entry.load;
}

void Placer::RecordCallEnded(const Replica& replica,
                             CallResult result,
                             TimePoint sent_at,
                             TimePoint now) {
  LoadOf(replica).RecordCallEnded(result, now);
  call_limits_.RecordCallEnded(EngineKey(replica), result, sent_at, now);
}

void Placer::RecordReportedLoad(const Replica& replica,
                                const ReportedLoad& load,
                                TimePoint now) {
  LoadOf(replica).RecordReport(load, now);
  if (load.relative_duration) {
    paces_.RecordResponse(EngineKey(replica), *load.relative_duration, now);
  }
}

void Placer::Retain(const ReplicaView& view, const ServiceMap* services) {
  std::vector<uint64_t> engine_keys;
  for (auto it = loads_.begin(); it != loads_.end();) {
    const Replica* replica = view.Find(it->first);
    if (replica != nullptr) {
      engine_keys.push_back(EngineKey(*replica));
    }
    const bool idle = it->second.load.local_calls() == 0;
    it = idle && replica == nullptr ? loads_.erase(it) : std::next(it);
  }
  if (services != nullptr) {
    std::vector<uint64_t> keys = engine_keys;
    for (const Service& service : services->services) {
      for (const Replica* it : view.Usable(service.name)) {
        keys.push_back(EngineKey(*it));
      }
    }
    std::sort(keys.begin(), keys.end());
    paces_.Retain(keys);
    call_limits_.Retain(keys);
    for (const Service& service : services->services) {
      if (!service.engine) {
        continue;
      }
      const double capacity = CacheCapacityTokens(service.engine);
      for (const Replica* it : view.Usable(service.name)) {
        engine_keys.push_back(EngineKey(*it));
        cache_view_.SetCapacity(engine_keys.back(), capacity);
      }
    }
  }
  std::sort(engine_keys.begin(), engine_keys.end());
  cache_view_.Retain(engine_keys);
}

bool Placer::ApplyPeerReport(uint64_t sender,
                             uint64_t sequence,
                             const std::vector<ReplicaWork>& work,
                             const std::vector<CacheUpdate>& cached,
                             TimePoint now,
                             Duration interval) {
  if (!peer_loads_.Update(sender, sequence, work, now, interval)) {
    return false;
  }
  for (const CacheUpdate& it : cached) {
    cache_view_.ApplyPeerUpdate(sender, it, now);
  }
  return true;
}

void Placer::ApplyPeerProfiles(uint64_t sender,
                               const std::vector<ServiceProfile>& profiles,
                               TimePoint now) {
  // Only services that this instance has used, so that reports cannot add
  // entries without limit.
  for (auto& [service, state] : services_) {
    const uint64_t key = ServiceKey(service);
    for (const ServiceProfile& it : profiles) {
      if (it.service_key == key) {
        state.profile.ApplyPeer(sender, it.measured, now);
      }
    }
  }
}

std::vector<ServiceProfile> Placer::MeasuredProfiles(TimePoint now) const {
  std::vector<ServiceProfile> profiles;
  for (const auto& [service, state] : services_) {
    const MeasuredProfile measured = state.profile.Measured(now);
    if (measured.prefill_samples > 0 || measured.step_samples > 0) {
      profiles.push_back({ServiceKey(service), measured});
    }
  }
  return profiles;
}

std::vector<ReplicaWork> Placer::LocalWork() const {
  std::vector<ReplicaWork> work;
  for (const auto& [id, entry] : loads_) {
    if (entry.load.local_calls() > 0) {
      work.push_back(
          {ReplicaKey(id),
           static_cast<uint32_t>(entry.load.local_calls() +
                                 entry.load.BodyRequests()),
           static_cast<uint32_t>(entry.load.local_pending_prefill_tokens())});
    }
  }
  return work;
}

const WaitCalibration& Placer::ServiceState::WaitsOf(
    const CallClass& call_class) const {
  const int priority = std::clamp(call_class.route_priority, 0,
                                  static_cast<int>(kPriorityClasses) - 1);
  return waits[static_cast<size_t>(call_class.kind)]
              [static_cast<size_t>(priority)];
}

WaitCalibration& Placer::ServiceState::WaitsOf(const CallClass& call_class) {
  const ServiceState& self = *this;
  return const_cast<WaitCalibration&>(self.WaitsOf(call_class));
}

const Placer::ServiceState* Placer::FindState(
    const std::string& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? nullptr : &it->second;
}

void Placer::ObservePrefill(const std::string& service,
                            double tokens,
                            Duration elapsed,
                            TimePoint now) {
  services_[service].profile.ObservePrefill(tokens, elapsed, now);
}

void Placer::ObserveOutput(const std::string& service,
                           double tokens,
                           double running,
                           Duration elapsed,
                           TimePoint now) {
  services_[service].profile.ObserveOutput(tokens, running, elapsed, now);
}

void Placer::ObserveWait(const std::string& service,
                         const CallClass& call_class,
                         const Replica& replica,
                         Duration predicted,
                         Duration actual,
                         TimePoint now) {
  WaitCalibration& waits = services_[service].WaitsOf(call_class);
  // Small absolute differences of short waits are not slowness.
  constexpr double kAddedUs = 50000;
  const Duration expected = waits.Expected(predicted, now);
  const double ratio = (static_cast<double>(actual.count()) + kAddedUs) /
                       (static_cast<double>(expected.count()) + kAddedUs);
  LoadOf(replica).RecordWait(ratio, now);
  call_limits_.RecordAnswer(EngineKey(replica), ratio, now - actual, now);
  waits.ObserveWait(predicted, actual, now);
}

void Placer::ObserveAbandoned(const std::string& service,
                              const CallClass& call_class,
                              const Replica& replica,
                              Duration predicted,
                              Duration waited,
                              TimePoint now) {
  call_limits_.RecordTimeout(EngineKey(replica), now - waited, now);
  WaitCalibration& waits = services_[service].WaitsOf(call_class);
  const Duration expected = waits.Expected(predicted, now);
  if (waited > expected && expected > Duration(0)) {
    LoadOf(replica).RecordWait(static_cast<double>(waited.count()) /
                                   static_cast<double>(expected.count()),
                               now);
  }
  waits.ObserveAbandoned(predicted, waited, now);
}

Duration Placer::UpperWait(const std::string& service,
                           const CallClass& call_class,
                           Duration predicted,
                           TimePoint now) const {
  const ServiceState* state = FindState(service);
  return state == nullptr ? predicted
                          : state->WaitsOf(call_class).Upper(predicted, now);
}

void Placer::ObserveEvents(const std::string& service,
                           double tokens,
                           double events,
                           TimePoint now) {
  if (events > 0) {
    services_[service].tokens_per_event.Add(tokens / events, now);
  }
}

double Placer::TokensAfterEvents(const std::string& service,
                                 double tokens,
                                 double events,
                                 TimePoint now) const {
  const ServiceState* state = FindState(service);
  // An event has one token at least.
  const double tokens_per_event =
      state == nullptr
          ? 1
          : std::max(1.0,
                     state->tokens_per_event.Quantile(0.5, now).value_or(1));
  return std::max(1.0, tokens - events * tokens_per_event);
}

void Placer::ObservePlainCall(const std::string& service,
                              Duration elapsed,
                              TimePoint now) {
  services_[service].plain_call_ms.Add(
      static_cast<double>(elapsed.count()) / 1000, now);
}

EngineProfile Placer::Profile(const std::string& service, TimePoint now) const {
  const ServiceState* state = FindState(service);
  return state == nullptr ? kInitialEngineProfile : state->profile.Profile(now);
}

void Placer::RecordNotSent(const Placement& placement, TimePoint now) {
  rate_limits_.RecordNotSent(EngineKey(placement.target), now);
  if (placement.prefill) {
    rate_limits_.RecordNotSent(EngineKey(*placement.prefill), now);
  }
}

void Placer::RecordPlaced(const PlacementQuery& query,
                          const Placement& placement,
                          TimePoint now) {
  rate_limits_.RecordSent(EngineKey(placement.target), now);
  if (placement.prefill) {
    rate_limits_.RecordSent(EngineKey(*placement.prefill), now);
  }
  constexpr double kMeanWeight = 0.05;
  ServiceState& state = services_[query.service];
  state.mean_work_ms += (placement.work_ms - state.mean_work_ms) * kMeanWeight;
  if (!query.prompt) {
    return;
  }
  double& mean = placement.prefill ? state.mean_uncached_disaggregated
                                   : state.mean_uncached_colocated;
  mean += ((placement.prefill ? placement.prefill_uncached
                              : placement.target_uncached) -
           mean) *
          kMeanWeight;
}

}  // namespace endiveyard
