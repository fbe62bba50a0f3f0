#include "endiveyard/planner/role_planner.h"

#include "planner/planners.h"
#include "planner/role_change_plan.h"

namespace endiveyard {

std::vector<RoleChange> PlanRoles(const PlannerSettings& settings,
                                  const std::vector<PlannerEngine>& engines,
                                  const DemandHistory& history,
                                  TimePoint now) {
  RoleChangePlan plan(settings, engines);
  if (plan.RestoreMinimum()) {
    return plan.TakeChanges();
  }
  const PlannerInput input{settings, engines, history, now};
  switch (settings.kind) {
    case PlannerKind::kFixed:
      PlanFixed(input, &plan);
      break;
    case PlannerKind::kThreshold:
      PlanThreshold(input, &plan);
      break;
    case PlannerKind::kHysteresis:
      PlanHysteresis(input, &plan);
      break;
    case PlannerKind::kCostBenefit:
      PlanCostBenefit(input, &plan);
      break;
  }
  return plan.TakeChanges();
}

}  // namespace endiveyard
