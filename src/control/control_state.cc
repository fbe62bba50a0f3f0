#include "control/control_state.h"

namespace endiveyard::control_internal {

bool Matches(const TargetLoad& load, const TargetPlan& plan) {
  return load.role == plan.role && load.model == plan.model &&
         load.adapters == plan.adapters && load.version == plan.version;
}

bool NeedsWeights(const TargetLoad& load, const TargetPlan& plan) {
  return load.model != plan.model || load.adapters != plan.adapters ||
         load.version != plan.version;
}

bool MayTakeOutOfService(const ControlPolicy& policy,
                         const Capacity& capacity,
                         const std::map<std::string, Target>& targets,
                         const Target& target) {
  int prefill = 0;
  int decode = 0;
  for (const std::string& id : capacity.targets) {
    const Target& other = targets.at(id);
    const auto entry = capacity.next.targets.find(id);
    const bool entered = entry != capacity.next.targets.end();
    if (&other == &target || other.info.state != ListedState::kLive ||
        (entered && entry->second.out) || (!entered && !other.load_known)) {
      continue;
    }
    const Role role = entered ? entry->second.role : other.load.role;
    prefill += role != Role::kDecode ? 1 : 0;
    decode += role != Role::kPrefill ? 1 : 0;
  }
  return (target.load.role == Role::kDecode || prefill >= policy.min_prefill) &&
         (target.load.role == Role::kPrefill || decode >= policy.min_decode);
}

}  // namespace endiveyard::control_internal
