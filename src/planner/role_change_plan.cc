#include "planner/role_change_plan.h"

#include <tuple>

namespace endiveyard {

namespace {

constexpr Role kRoles[] = {Role::kPrefill, Role::kDecode, Role::kMixed};

}  // namespace

RoleChangePlan::RoleChangePlan(const PlannerSettings& settings,
                               const std::vector<PlannerEngine>& engines)
    : settings_(settings), engines_(engines), selected_(engines.size()) {
  for (const PlannerEngine& it : engines) {
    if (!it.available) {
      continue;
    }
    if (it.changing) {
      ++engines_changing_;
      ++planned_.Of(it.next_role);
    } else {
      ++serving_.Of(it.role);
      ++planned_.Of(it.role);
    }
  }
}

bool RoleChangePlan::CanChange(Role from, Role to) const {
  if (from == to || !IsBelowChangeLimit() || serving_.Of(from) == 0) {
    return false;
  }
  RoleCounts during = serving_;
  --during.Of(from);
  RoleCounts after = planned_;
  --after.Of(from);
  ++after.Of(to);
  return MaxDemandFactor(during, settings_.minimum, settings_) >= 1 &&
         MaxDemandFactor(after, settings_.minimum, settings_) >= 1;
}

void RoleChangePlan::AddChange(Role from, Role to) {
  size_t best = engines_.size();
  const auto cost = [&](size_t i) {
    return std::tie(engines_[i].running_sequences, engines_[i].changed_at,
                    engines_[i].id);
  };
  for (size_t i = 0; i < engines_.size(); ++i) {
    const PlannerEngine& it = engines_[i];
    if (it.available && !it.changing && !selected_[i] && it.role == from &&
        (best == engines_.size() || cost(i) < cost(best))) {
      best = i;
    }
  }
  if (best == engines_.size()) {
    return;
  }
  selected_[best] = true;
  --serving_.Of(from);
  --planned_.Of(from);
  ++planned_.Of(to);
  ++engines_changing_;
  changes_.push_back({engines_[best].id, from, to});
}

bool RoleChangePlan::RestoreMinimum() {
  if (MaxDemandFactor(serving_, settings_.minimum, settings_) >= 1) {
    return false;
  }
  while (IsBelowChangeLimit()) {
    // Starts from the planned roles, so that a change in progress that already
    // restores the minimum is not planned twice.
    double best = MaxDemandFactor(planned_, settings_.minimum, settings_);
    if (best >= 1) {
      break;
    }
    Role best_from = Role::kMixed;
    Role best_to = Role::kMixed;
    for (Role from : kRoles) {
      TokenRates role_minimum = settings_.minimum;
      (from == Role::kPrefill ? role_minimum.output : role_minimum.prompt) = 0;
      RoleCounts during = serving_;
      --during.Of(from);
      // A mixed engine serves both roles, so only the planned result of its
      // change is checked.
      if (during.Of(from) < 0 ||
          (from != Role::kMixed &&
           MaxDemandFactor(during, role_minimum, settings_) < 1)) {
        continue;
      }
      for (Role to : kRoles) {
        RoleCounts after = planned_;
        --after.Of(from);
        ++after.Of(to);
        const double factor =
            MaxDemandFactor(after, settings_.minimum, settings_);
        if (factor > best + 1e-9) {
          best = factor;
          best_from = from;
          best_to = to;
        }
      }
    }
    if (best_from == best_to) {
      break;
    }
    AddChange(best_from, best_to);
  }
  return true;
}

bool RoleChangePlan::IsBelowChangeLimit() const {
  return engines_changing_ < settings_.max_changes;
}

}  // namespace endiveyard
