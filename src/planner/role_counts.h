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

// Returns the largest factor by which `demand` can be multiplied so that the
// engines still serve it, with the capacity of mixed engines divided between
// prefill and decode as needed. Returns 1e9 if `demand` is zero. O(1).
double MaxDemandFactor(const RoleCounts& counts,
                       const TokenRates& demand,
                       const PlannerSettings& settings);

// Returns the share of engine time that `demand` needs for prefill; 0 if
// `demand` is zero.
double PrefillShare(const TokenRates& demand, const PlannerSettings& settings);

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLANNER_ROLE_COUNTS_H_
