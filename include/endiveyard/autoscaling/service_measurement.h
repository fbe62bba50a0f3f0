#ifndef ENDIVEYARD_AUTOSCALING_SERVICE_MEASUREMENT_H_
#define ENDIVEYARD_AUTOSCALING_SERVICE_MEASUREMENT_H_

#include <map>
#include <string>
#include <vector>

#include "endiveyard/autoscaling/scaling_duty.h"
#include "endiveyard/base/time_point.h"
#include "endiveyard/engine_profile/engine_profile.h"
#include "endiveyard/placement/peer_loads.h"
#include "endiveyard/placement/placement_costs.h"
#include "endiveyard/placement/replica_view.h"
#include "endiveyard/placement/service_map.h"

namespace endiveyard {

// What is known of all services at one time.
struct FleetMeasurement {
  const ReplicaView* view = nullptr;
  // Of all instances. Several entries for one replica are added up.
  std::vector<ReplicaWork> work;
  std::map<std::string, std::string> region_of_failure_domain;
  bool is_complete = true;  // see ServiceDemand
};

// Returns the shortest target latency of the routes to `service`, or
// kDefaultTargetLatency if none states one.
inline constexpr Duration kDefaultTargetLatency =
    std::chrono::milliseconds(500);
Duration ShortestTargetLatency(const ServiceMap& map,
                               const std::string& service);

// Returns the inputs of the decisions for `service`. Prompts that engines have
// not prefilled yet keep them busy as far as they take longer than
// `target_latency`. Precondition: the service has `autoscaling`.
// O(replicas + work).
ScalingInput MeasureService(const Service& service,
                            const FleetMeasurement& fleet,
                            const EngineProfile& profile,
                            Duration target_latency,
                            int refusals);

}  // namespace endiveyard

#endif  // ENDIVEYARD_AUTOSCALING_SERVICE_MEASUREMENT_H_
