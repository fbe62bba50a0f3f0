#ifndef ENDIVEYARD_PLANNER_ROLE_COUNTS_H_
#define ENDIVEYARD_PLANNER_ROLE_COUNTS_H_

#include "endiveyard/base/target.h"
#include "endiveyard/planner/role_planner.h"

namespace endiveyard {

// Number of engines in each role.
struct RoleCounts {
  int prefill = 0;
  int decode = 0;
  int mixed = 0;

  int& Of(Role role);
  int Of(Role role) const;
  int Total() const { return prefill + decode + mixed; }
};

// Largest factor by which `load` can be multiplied so that the engines still
// serve it, with each mixed engine divided between the roles as needed. A
// large number if `load` is zero. O(1).
double ServableFactor(const RoleCounts& counts,
                      const TokenRates& load,
                      const PlannerSettings& settings);

// Prefill share of the work in `load`, in engine time; 0 if there is none.
double PrefillShare(const TokenRates& load, const PlannerSettings& settings);

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLANNER_ROLE_COUNTS_H_
