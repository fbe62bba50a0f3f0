#ifndef ENDIVEYARD_PLANNER_CHANGE_LIST_H_
#define ENDIVEYARD_PLANNER_CHANGE_LIST_H_

#include <vector>

#include "endiveyard/planner/role_planner.h"
#include "planner/role_counts.h"

namespace endiveyard {

// Collects the changes of one plan and checks each against the limits.
class ChangeList {
 public:
  ChangeList(const PlannerSettings& settings,
             const std::vector<PlannerEngine>& engines);

  // Engines in service, without those under change.
  const RoleCounts& serving() const { return serving_; }
  // Engines once all changes, planned or under way, have ended.
  const RoleCounts& planned() const { return planned_; }
  // True if the limits allow one more change between these roles.
  bool CanMove(Role from, Role to) const;
  // Plans the change of the engine with the least work in role `from`.
  // Precondition: CanMove(from, to). O(engines).
  void Move(Role from, Role to);
  // While the engines in service don't have the minimum capacity, plans the
  // changes that come closest to it without taking a role below its own
  // minimum. Returns whether the minimum was not kept.
  bool RepairMinimum();

  std::vector<RoleChange> Take() { return std::move(changes_); }

 private:
  bool HasRoom() const;

  const PlannerSettings& settings_;
  const std::vector<PlannerEngine>& engines_;
  std::vector<bool> taken_;
  RoleCounts serving_;
  RoleCounts planned_;
  int changing_ = 0;
  std::vector<RoleChange> changes_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLANNER_CHANGE_LIST_H_
