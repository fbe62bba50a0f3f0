#ifndef ENDIVEYARD_PLANNER_ROLE_CHANGE_PLAN_H_
#define ENDIVEYARD_PLANNER_ROLE_CHANGE_PLAN_H_

#include <vector>

#include "endiveyard/planner/role_planner.h"
#include "planner/role_counts.h"

namespace endiveyard {

// The role changes of one planning run. Enforces the minimum capacity and the
// maximum number of concurrent changes.
class RoleChangePlan {
 public:
  RoleChangePlan(const PlannerSettings& settings,
                 const std::vector<PlannerEngine>& engines);

  // Engines in service, excluding those that are changing or selected to
  // change.
  const RoleCounts& serving() const { return serving_; }
  // Engines by role after all changes, planned or in progress, have finished.
  const RoleCounts& planned() const { return planned_; }
  // Returns whether the limits allow one more change from `from` to `to`.
  bool CanChange(Role from, Role to) const;
  // Adds a change for the engine in role `from` that runs the fewest
  // sequences. Precondition: CanChange(from, to). O(engines).
  void AddChange(Role from, Role to);
  // If the engines in service provide less than the minimum capacity, adds the
  // changes that come closest to it without taking the role that gives up an
  // engine below its own minimum. Returns whether the capacity was too low.
  bool RestoreMinimum();

  std::vector<RoleChange> TakeChanges() { return std::move(changes_); }

 private:
  bool IsBelowChangeLimit() const;

  const PlannerSettings& settings_;
  const std::vector<PlannerEngine>& engines_;
  std::vector<bool> selected_;
  RoleCounts serving_;
  RoleCounts planned_;
  int engines_changing_ = 0;
  std::vector<RoleChange> changes_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLANNER_ROLE_CHANGE_PLAN_H_
