// Planners that approach a given split of the engines between the prefill and
// decode roles, without comparing the cost and benefit of a change.
#include <algorithm>
#include <cmath>

#include "planner/planners.h"
#include "planner/role_counts.h"

namespace endiveyard {

namespace {

// Width of the hysteresis band to either side, as a share of the dedicated
// engines, at role change weights 0 and 1.
constexpr double kMinBandShare = 0.02;
constexpr double kMaxBandShare = 0.15;
// Minimum time between changes at role change weights 0 and 1.
constexpr double kMinDwellSeconds = 20;
constexpr double kMaxDwellSeconds = 300;

double Interpolate(double from, double to, double weight) {
  return from + weight * (to - from);
}

}  // namespace

double IdealPrefillCount(const PlannerSettings& settings,
                         const TokenRates& demand,
                         const RoleChangePlan& plan) {
  if (demand == TokenRates()) {
    return plan.planned().prefill;  // no demand: keeps the split
  }
  const int dedicated = plan.planned().prefill + plan.planned().decode;
  return PrefillShare(demand, settings) * dedicated;
}

void ApproachPrefillCount(double prefill, RoleChangePlan* plan) {
  while (true) {
    const double shortfall = prefill - plan->planned().prefill;
    if (shortfall > 0.5 && plan->CanChange(Role::kDecode, Role::kPrefill)) {
      plan->AddChange(Role::kDecode, Role::kPrefill);
    } else if (shortfall < -0.5 &&
               plan->CanChange(Role::kPrefill, Role::kDecode)) {
      plan->AddChange(Role::kPrefill, Role::kDecode);
    } else {
      return;
    }
  }
}

void PlanFixed(const PlannerInput& input, RoleChangePlan* plan) {
  const int dedicated = plan->planned().prefill + plan->planned().decode;
  ApproachPrefillCount(input.settings.fixed_prefill_share * dedicated, plan);
}

void PlanThreshold(const PlannerInput& input, RoleChangePlan* plan) {
  if (!input.history.samples.empty()) {
    ApproachPrefillCount(
        IdealPrefillCount(input.settings, input.history.samples.back().demand,
                          *plan),
        plan);
  }
}

void PlanHysteresis(const PlannerInput& input, RoleChangePlan* plan) {
  if (input.history.samples.empty()) {
    return;
  }
  const double weight = input.settings.role_change_weight;
  const double dwell = Interpolate(kMinDwellSeconds, kMaxDwellSeconds, weight);
  for (const PlannerEngine& it : input.engines) {
    const bool dwelling =
        it.changed_at != TimePoint() &&
        std::chrono::duration<double>(input.now - it.changed_at).count() <
            dwell;
    if (it.available && (it.changing || dwelling)) {
      return;
    }
  }
  const double best =
      IdealPrefillCount(input.settings, input.history.recent, *plan);
  const int dedicated = plan->planned().prefill + plan->planned().decode;
  const double band = std::max(
      1.0, dedicated * Interpolate(kMinBandShare, kMaxBandShare, weight));
  if (std::abs(best - plan->planned().prefill) > band) {
    ApproachPrefillCount(best, plan);
  }
}

}  // namespace endiveyard
