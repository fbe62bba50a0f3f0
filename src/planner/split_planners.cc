// The planners that follow a split without weighing cost against benefit.
#include <algorithm>
#include <cmath>

#include "planner/planners.h"
#include "planner/role_counts.h"

namespace endiveyard {

namespace {

// Band of the hysteresis as a share of the dedicated engines, at role change
// weights 0 and 1.
constexpr double kMinBandShare = 0.02;
constexpr double kMaxBandShare = 0.15;
// Time between changes at role change weights 0 and 1.
constexpr double kMinDwellSeconds = 20;
constexpr double kMaxDwellSeconds = 300;

double Interpolate(double from, double to, double weight) {
  return from + weight * (to - from);
}

}  // namespace

double BestPrefillEngines(const PlannerSettings& settings,
                          const TokenRates& mix,
                          const ChangeList& changes) {
  if (mix == TokenRates()) {
    return changes.planned().prefill;  // nothing asks for another split
  }
  const int dedicated = changes.planned().prefill + changes.planned().decode;
  return PrefillShare(mix, settings) * dedicated;
}

void MoveTowards(double prefill, ChangeList* changes) {
  while (true) {
    const double missing = prefill - changes->planned().prefill;
    if (missing > 0.5 && changes->CanMove(Role::kDecode, Role::kPrefill)) {
      changes->Move(Role::kDecode, Role::kPrefill);
    } else if (missing < -0.5 &&
               changes->CanMove(Role::kPrefill, Role::kDecode)) {
      changes->Move(Role::kPrefill, Role::kDecode);
    } else {
      return;
    }
  }
}

void PlanFixed(const PlannerView& view, ChangeList* changes) {
  const int dedicated = changes->planned().prefill + changes->planned().decode;
  MoveTowards(view.settings.fixed_prefill_share * dedicated, changes);
}

void PlanThreshold(const PlannerView& view, ChangeList* changes) {
  if (!view.history.samples.empty()) {
    MoveTowards(BestPrefillEngines(view.settings,
                                   view.history.samples.back().mix, *changes),
                changes);
  }
}

void PlanHysteresis(const PlannerView& view, ChangeList* changes) {
  if (view.history.samples.empty()) {
    return;
  }
  const double weight = view.settings.role_change_weight;
  const double dwell = Interpolate(kMinDwellSeconds, kMaxDwellSeconds, weight);
  for (const PlannerEngine& it : view.engines) {
    const bool dwelling =
        it.changed_at != TimePoint() &&
        std::chrono::duration<double>(view.now - it.changed_at).count() < dwell;
    if (it.available && (it.changing || dwelling)) {
      return;
    }
  }
  const double best =
      BestPrefillEngines(view.settings, view.history.recent, *changes);
  const int dedicated = changes->planned().prefill + changes->planned().decode;
  const double band = std::max(
      1.0, dedicated * Interpolate(kMinBandShare, kMaxBandShare, weight));
  if (std::abs(best - changes->planned().prefill) > band) {
    MoveTowards(best, changes);
  }
}

}  // namespace endiveyard
