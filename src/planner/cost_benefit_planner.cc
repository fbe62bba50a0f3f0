#include <algorithm>

#include "planner/demand_forecast.h"
#include "planner/planners.h"
#include "planner/role_counts.h"

namespace endiveyard {

namespace {

// Ratio of capacity to demand at which requests are served without queueing.
constexpr double kCapacityHeadroom = 1.1;
// Gain in engine seconds, as a multiple of the change time, that a change must
// exceed at a role change weight of 0.5.
constexpr double kChangeCost = 1;

constexpr Role kRoles[] = {Role::kPrefill, Role::kDecode, Role::kMixed};

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Expected share of the demand that is served.
double ServedShare(const RoleCounts& counts,
                   const std::vector<DemandScenario>& scenarios,
                   const PlannerSettings& settings) {
  double share = 0;
  for (const DemandScenario& it : scenarios) {
    const double factor = MaxDemandFactor(counts, it.demand, settings);
    share += it.weight * std::min(1.0, factor / kCapacityHeadroom);
  }
  return share;
}

// Engine seconds that `after` would have served in addition to `before` since
// the last change ended, limited to the demand history. Counts actual losses
// only, so that the capacity headroom does not apply.
double MissedGain(const RoleCounts& before,
                  const RoleCounts& after,
                  const PlannerInput& input) {
  TimePoint last_change;
  for (const PlannerEngine& it : input.engines) {
    last_change = std::max(last_change, it.changed_at);
  }
  const auto& samples = input.history.samples;
  double missed = 0;
  for (size_t i = samples.size(); i > 1; --i) {
    const DemandSample& sample = samples[i - 1];
    const TimePoint from = samples[i - 2].at;
    if (from < last_change) {
      break;
    }
    const double gain =
        std::min(1.0, MaxDemandFactor(after, sample.demand, input.settings)) -
        std::min(1.0, MaxDemandFactor(before, sample.demand, input.settings));
    missed += Seconds(sample.at - from) * gain;
  }
  return std::max(0.0, missed * before.Total());
}

}  // namespace

void PlanCostBenefit(const PlannerInput& input, RoleChangePlan* plan) {
  const PlannerSettings& settings = input.settings;
  const auto scenarios = ForecastDemand(input.history);
  if (scenarios.empty() || settings.role_change_weight >= 1) {
    return;
  }
  const double weight = std::max(0.0, settings.role_change_weight);
  const double change_seconds = Seconds(settings.change_time);
  const double change_cost =
      kChangeCost * change_seconds * weight / (1 - weight);
  const double remaining_seconds =
      std::max(0.0, Seconds(settings.horizon) - change_seconds);
  while (true) {
    const RoleCounts& planned = plan->planned();
    const double current_share = ServedShare(planned, scenarios, settings);
    const double serving = ServedShare(plan->serving(), scenarios, settings);
    double best = 0;
    Role best_from = Role::kMixed;
    Role best_to = Role::kMixed;
    for (Role from : kRoles) {
      for (Role to : kRoles) {
        if (!plan->CanChange(from, to)) {
          continue;
        }
        RoleCounts after = planned;
        --after.Of(from);
        ++after.Of(to);
        RoleCounts during = plan->serving();
        --during.Of(from);
        const double gain =
            remaining_seconds *
            (ServedShare(after, scenarios, settings) - current_share);
        const double loss =
            change_seconds *
            (serving - ServedShare(during, scenarios, settings));
        if (gain <= loss) {
          continue;
        }
        // In engine seconds. The gain missed so far is deducted from the cost
        // of the change, so that a persistent mismatch is corrected at any
        // weight below 1.
        const double remaining_cost =
            std::max(0.0, change_cost - MissedGain(planned, after, input));
        const double net_gain =
            planned.Total() * (gain - loss) - remaining_cost;
        if (net_gain > best + 1e-6) {
          best = net_gain;
          best_from = from;
          best_to = to;
        }
      }
    }
    if (best_from == best_to) {
      return;
    }
    plan->AddChange(best_from, best_to);
  }
}

}  // namespace endiveyard
