#ifndef ENDIVEYARD_AUTOSCALING_SERVICE_MEASUREMENT_H_
#define ENDIVEYARD_AUTOSCALING_SERVICE_MEASUREMENT_H_

#include <map>
#include <string>
#include <vector>

#include "endiveyard/autoscaling/scaling_duty.h"
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

// Returns the inputs of the decisions for `service`. Precondition: it has
// `autoscaling`. O(replicas + work).
ScalingInput MeasureService(const Service& service,
                            const FleetMeasurement& fleet,
                            const EngineProfile& profile,
                            int refusals);

}  // namespace endiveyard

#endif  // ENDIVEYARD_AUTOSCALING_SERVICE_MEASUREMENT_H_
