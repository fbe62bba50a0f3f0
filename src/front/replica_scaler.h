#ifndef ENDIVEYARD_SRC_FRONT_REPLICA_SCALER_H_
#define ENDIVEYARD_SRC_FRONT_REPLICA_SCALER_H_

#include <map>
#include <string>

#include "endiveyard/autoscaling/scaling_duty.h"
#include "endiveyard/duties/duty_calls.h"
#include "endiveyard/load_exchange/load_exchange.h"
#include "endiveyard/placement/placer.h"
#include "endiveyard/relay/relay.h"
#include "endiveyard/telemetry/json_log.h"
#include "endiveyard/telemetry/metrics.h"

namespace endiveyard {

struct ReplicaScalerOptions {
  std::map<std::string, std::string> region_of_failure_domain;
  double duty_calls_per_second = 50;
};

// Connects ScalingDuty with what this instance knows of the services, the log
// and the metrics.
class ReplicaScaler {
 public:
  ReplicaScaler(ReplicaScalerOptions options,
                const RoutingState* routing_state,
                Placer* placer,
                const LoadExchange* load_exchange,
                JsonLog* log,
                Metrics* metrics);

  // To be called every 250 ms. `calls` may be null; then nothing is decided.
  void Tick(DutyCalls* calls, bool is_view_current, TimePoint now);

 private:
  void LogOrder(const ScaleOrder& order, DutyCallOutcome outcome);
  std::map<std::string, ScalingInput> Measure(TimePoint now);
  void SetMetrics(const std::map<std::string, ScalingInput>& inputs);

  const ReplicaScalerOptions options_;
  const RoutingState& routing_state_;
  Placer& placer_;
  const LoadExchange& load_exchange_;
  JsonLog& log_;
  Metrics& metrics_;
  ScalingDuty duty_;
  // Requests refused until the last decision, by service.
  std::map<std::string, int64_t> too_late_before_;
  bool has_metrics_ = false;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_FRONT_REPLICA_SCALER_H_
