#include "front/replica_scaler.h"

#include <algorithm>
#include <utility>

#include "endiveyard/autoscaling/service_measurement.h"
#include "endiveyard/telemetry/log_event_numbers.h"

namespace endiveyard {
namespace {

// Reports of at least this share of the instances make the load known.
constexpr double kReportingShare = 0.8;

std::string_view NameOf(DutyCallOutcome outcome) {
  switch (outcome) {
    case DutyCallOutcome::kAccepted:
      return "accepted";
    case DutyCallOutcome::kConflict:
      return "conflict";
    case DutyCallOutcome::kRejected:
      return "rejected";
    case DutyCallOutcome::kUnknown:
      return "unknown";
  }
  return "";
}

std::string_view NameOf(ReplicaKind kind) {
  return kind == ReplicaKind::kSpot ? "spot" : "on_demand";
}

}  // namespace

ReplicaScaler::ReplicaScaler(ReplicaScalerOptions options,
                             const RoutingState* routing_state,
                             Placer* placer,
                             const LoadExchange* load_exchange,
                             JsonLog* log,
                             Metrics* metrics)
    : options_(std::move(options)),
      routing_state_(*routing_state),
      placer_(*placer),
      load_exchange_(*load_exchange),
      log_(*log),
      metrics_(*metrics),
      duty_(ScalingDutyOptions{options_.duty_calls_per_second},
            ScalingHandlers{
                [this](bool is_active) {
                  log_.Log(is_active ? kLogScalingStarted : kLogScalingStopped,
                           JsonFields(), BootClock::now());
                },
                [this](const ScaleOrder& order, DutyCallOutcome outcome) {
                  LogOrder(order, outcome);
                },
                [this](const std::string& service,
                       const std::string& failure_domain) {
                  JsonFields fields;
                  fields.Text("service", service)
                      .Text("failure_domain", failure_domain);
                  log_.Log(kLogSpotReplicasLost, fields, BootClock::now());
                }}) {}

void ReplicaScaler::Tick(DutyCalls* calls,
                         bool is_view_current,
                         TimePoint now) {
  if (calls == nullptr) {
    return;
  }
  if (!is_view_current || !routing_state_.IsComplete()) {
    duty_.TickWithoutView(now);
    return;
  }
  // Only the holder measures: adding up the reports of all instances takes some
  // hundred microseconds.
  const bool is_holder = calls->Token(now).has_value();
  std::map<std::string, ScalingInput> inputs;
  if (is_holder) {
    inputs = Measure(now);
  }
  duty_.Tick(inputs, calls, now);
  if (is_holder || has_metrics_) {
    SetMetrics(inputs);
  }
}

void ReplicaScaler::LogOrder(const ScaleOrder& order, DutyCallOutcome outcome) {
  JsonFields fields;
  fields.Text("service", order.service)
      .Text("failure_domain", order.failure_domain)
      .Integer("replicas", order.replicas)
      .Flag("spot", order.spot)
      .Text("outcome", NameOf(outcome));
  log_.Log(outcome == DutyCallOutcome::kAccepted ? kLogReplicasOrdered
                                                 : kLogReplicaOrderFailed,
           fields, BootClock::now());
}

std::map<std::string, ScalingInput> ReplicaScaler::Measure(TimePoint now) {
  std::map<std::string, ScalingInput> inputs;
  FleetMeasurement fleet;
  for (const Service& it : routing_state_.service_map->services) {
    if (!it.autoscaling) {
      continue;
    }
    if (fleet.view == nullptr) {
      fleet.view = &routing_state_.replicas;
      fleet.work = placer_.peer_loads().ReportedWork(now);
      const auto own = placer_.LocalWork();
      fleet.work.insert(fleet.work.end(), own.begin(), own.end());
      fleet.region_of_failure_domain = options_.region_of_failure_domain;
      const auto sharing = load_exchange_.SharingCount();
      fleet.is_complete =
          sharing && static_cast<double>(load_exchange_.InstanceCount()) >=
                         kReportingShare * static_cast<double>(*sharing);
    }
    const int64_t too_late = placer_.TooLateCount(it.name);
    const auto before = too_late_before_.emplace(it.name, too_late).first;
    inputs[it.name] = MeasureService(
        it, fleet, placer_.Profile(it.name, now),
        ShortestTargetLatency(*routing_state_.service_map, it.name),
        static_cast<int>(too_late - before->second));
    before->second = too_late;
  }
  return inputs;
}

void ReplicaScaler::SetMetrics(
    const std::map<std::string, ScalingInput>& inputs) {
  // Gauges of an instance that no longer holds the duty are removed, so that
  // sums over instances count every replica once.
  metrics_.ClearReplicas();
  has_metrics_ = !inputs.empty();
  for (const auto& [service, input] : inputs) {
    for (const auto& [name, counts] : input.counts.failure_domains) {
      for (const auto kind : {ReplicaKind::kOnDemand, ReplicaKind::kSpot}) {
        metrics_.SetReplicas({service, name, std::string(NameOf(kind))},
                             "ready", counts[IndexOf(kind)].Ready());
      }
    }
  }
  for (const auto& [service, failure_domains] : duty_.Ordered()) {
    for (const auto& [name, counts] : failure_domains) {
      for (const auto kind : {ReplicaKind::kOnDemand, ReplicaKind::kSpot}) {
        metrics_.SetReplicas({service, name, std::string(NameOf(kind))},
                             "ordered", counts[IndexOf(kind)]);
      }
    }
  }
}

}  // namespace endiveyard
