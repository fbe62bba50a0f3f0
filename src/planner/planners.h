#ifndef ENDIVEYARD_PLANNER_PLANNERS_H_
#define ENDIVEYARD_PLANNER_PLANNERS_H_

#include "endiveyard/planner/role_planner.h"
#include "planner/role_change_plan.h"

namespace endiveyard {

// Input of a planner.
struct PlannerInput {
  const PlannerSettings& settings;
  const std::vector<PlannerEngine>& engines;
  const DemandHistory& history;
  TimePoint now;
};

// Each planner adds role changes to `plan`. Engines in the prefill and decode
// roles are called dedicated; the split is the prefill share of them.

// Approaches the configured split.
void PlanFixed(const PlannerInput& input, RoleChangePlan* plan);
// Approaches the ideal split for the last observed demand.
void PlanThreshold(const PlannerInput& input, RoleChangePlan* plan);
// Approaches the ideal split for the recent average demand once it is outside
// a band around the current split and a minimum dwell time has passed since
// the last change. Band and dwell time increase with the role change weight.
void PlanHysteresis(const PlannerInput& input, RoleChangePlan* plan);
// Adds the changes whose forecast gain in goodput exceeds the capacity lost
// during the change plus a cost that increases with the role change weight.
void PlanCostBenefit(const PlannerInput& input, RoleChangePlan* plan);

// Adds changes between the prefill and decode roles until the number of
// prefill engines is as close as possible to `prefill` or the limits of the
// plan are reached.
void ApproachPrefillCount(double prefill, RoleChangePlan* plan);

// Returns the number of dedicated engines, not rounded, that should be in the
// prefill role for `demand`; the planned number if there is no demand.
double IdealPrefillCount(const PlannerSettings& settings,
                         const TokenRates& demand,
                         const RoleChangePlan& plan);

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLANNER_PLANNERS_H_
