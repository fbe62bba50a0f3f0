#include "endiveyard/autoscaling/service_measurement.h"

#include <algorithm>
#include <unordered_map>

namespace endiveyard {
namespace {

// An engine with this share of its slots in use decodes about 1.6 times slower
// than an empty one (32 slots).
constexpr double kBusySlotShare = 0.5;

struct Work {
  double calls = 0;
  double pending_prefill_tokens = 0;
};

// Returns how many replicas the work of one keeps busy.
double Busy(const Replica& replica,
            const Work& work,
            bool is_engine,
            const EngineProfile& profile,
            Duration target_latency) {
  const double slots = std::max(1, replica.slots);
  if (!is_engine) {
    return work.calls / slots;
  }
  const double target_ms =
      std::chrono::duration<double, std::milli>(target_latency).count();
  const double prefill =
      work.pending_prefill_tokens /
      (std::max(0.001, profile.prefill_tokens_per_ms) * target_ms);
  return replica.stage == Stage::kPrefill
             // An engine prefills one prompt after the other.
             ? std::max(work.calls, prefill)
             : work.calls / (slots * kBusySlotShare) + prefill;
}

}  // namespace

Duration ShortestTargetLatency(const ServiceMap& map,
                               const std::string& service) {
  std::optional<Duration> shortest;
  for (const Route& route : map.routes) {
    const bool leads_to_service = std::any_of(
        route.services.begin(), route.services.end(),
        [&service](const auto& it) { return it.service == service; });
    if (leads_to_service && route.target_latency > Duration(0)) {
      shortest = std::min(shortest.value_or(route.target_latency),
                          route.target_latency);
    }
  }
  return shortest.value_or(kDefaultTargetLatency);
}

ScalingInput MeasureService(const Service& service,
                            const FleetMeasurement& fleet,
                            const EngineProfile& profile,
                            Duration target_latency,
                            int refusals) {
  const AutoscalingTraits& traits = *service.autoscaling;
  ScalingInput input;
  input.policy.min_replicas = traits.min_replicas;
  input.policy.max_replicas = traits.max_replicas;
  input.policy.boot_time = traits.boot_time;
  input.policy.spot_price = traits.spot_price;
  std::unordered_map<uint64_t, Work> work;
  for (const ReplicaWork& it : fleet.work) {
    work[it.replica_key].calls += it.calls;
    work[it.replica_key].pending_prefill_tokens += it.pending_prefill_tokens;
  }
  const auto add_failure_domain = [&](const std::string& name) {
    FailureDomainPolicy domain;
    const auto region = fleet.region_of_failure_domain.find(name);
    domain.region =
        region == fleet.region_of_failure_domain.end() ? name : region->second;
    const auto price = traits.failure_domain_prices.find(name);
    domain.price =
        price == traits.failure_domain_prices.end() ? 1 : price->second;
    input.policy.failure_domains.emplace(name, std::move(domain));
  };
  for (const auto& [name, price] : traits.failure_domain_prices) {
    add_failure_domain(name);
  }
  for (const Replica* it : fleet.view->Registered(service.name)) {
    add_failure_domain(it->failure_domain);
    const auto kind = it->spot ? ReplicaKind::kSpot : ReplicaKind::kOnDemand;
    KindCounts& counts =
        input.counts.failure_domains[it->failure_domain][IndexOf(kind)];
    if (!it->draining) {
      ++counts.ready[IndexOf(it->stage)];
    } else if (it->leaves_in) {
      ++counts.leaving;
    }
    input.demand.busy[it->failure_domain][IndexOf(it->stage)] +=
        Busy(*it, work[ReplicaKey(it->id)], service.engine.has_value(), profile,
             target_latency);
  }
  input.demand.refusals = refusals;
  input.demand.is_complete = fleet.is_complete;
  return input;
}

}  // namespace endiveyard
