#ifndef ENDIVEYARD_PLANNER_ROLE_PLANNER_H_
#define ENDIVEYARD_PLANNER_ROLE_PLANNER_H_

#include <deque>
#include <string>
#include <vector>

#include "endiveyard/base/target.h"
#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Token rates per second. Used for the demand, for the capacity of one engine
// and for the minimum capacity.
struct TokenRates {
  double prompt = 0;  // prompt tokens not found in a prefix cache
  double output = 0;

  friend bool operator==(const TokenRates& a, const TokenRates& b) {
    return a.prompt == b.prompt && a.output == b.output;
  }
  friend bool operator!=(const TokenRates& a, const TokenRates& b) {
    return !(a == b);
  }
};

enum class PlannerKind { kFixed, kThreshold, kHysteresis, kCostBenefit };

struct PlannerSettings {
  PlannerKind kind = PlannerKind::kCostBenefit;
  // Capacity of one engine: `prompt` in the prefill role, `output` in the
  // decode role. Both must be positive.
  TokenRates engine_capacity;
  // Fraction of the capacity that an engine delivers in the mixed role, where
  // prefill and decode steps delay each other.
  double mixed_efficiency = 0.8;
  // Capacity that must remain in service during role changes.
  TokenRates minimum;
  // Time for which a role change takes an engine out of service.
  Duration change_time = std::chrono::seconds(10);
  // 0 maximises goodput only, 1 minimises the number of role changes.
  double role_change_weight = 0.5;
  // Maximum number of concurrent role changes, including those in progress.
  int max_changes = 2;
  // Prefill share of the engines in the prefill and decode roles; kFixed only.
  double fixed_prefill_share = 0.35;
  // Period that the demand forecast covers.
  Duration horizon = std::chrono::seconds(60);
  // Period of past demand that the forecast is based on.
  Duration history = std::chrono::seconds(300);
};

// State of one engine. All engines of a plan belong to the same house, service
// and region.
struct PlannerEngine {
  std::string id;
  Role role = Role::kMixed;
  bool available = true;  // false: leaving or lost
  bool changing = false;  // out of service, changing to `next_role`
  Role next_role = Role::kMixed;
  int running_sequences = 0;  // must finish before the role can change
  TimePoint changed_at;       // end of the last role change
};

struct RoleChange {
  std::string id;
  Role from = Role::kMixed;
  Role to = Role::kMixed;

  friend bool operator==(const RoleChange& a, const RoleChange& b) {
    return a.id == b.id && a.from == b.from && a.to == b.to;
  }
  friend bool operator!=(const RoleChange& a, const RoleChange& b) {
    return !(a == b);
  }
};

// One observation of the demand, with the predictions made at that time.
struct DemandSample {
  TimePoint at;
  TokenRates demand;
  // Prefill share of the engine time as predicted from the recent average and
  // from the average over the history.
  double recent_share = 0;
  double history_share = 0;
};

// Past demand of one house, service and region. Samples are limited in number
// and to PlannerSettings::history in age.
struct DemandHistory {
  std::deque<DemandSample> samples;  // oldest first
  // Exponential moving average with a time constant of 10 s.
  TokenRates recent;
  // Average absolute errors of the two predictions of the prefill share.
  double recent_error = 0;
  double history_error = 0;
};

// Adds a demand observation that arrived at `now`; the demand itself may have
// been measured earlier. Precondition: `now` does not decrease between calls.
// O(samples).
void RecordDemand(const PlannerSettings& settings,
                  const TokenRates& demand,
                  TimePoint now,
                  DemandHistory* history);

// Returns the role changes to start now, at most one per engine. The engines
// that remain in service provide the minimum capacity. If the engines in
// service provide less before any change, only changes that restore it are
// returned, whatever the planner. O(engines).
std::vector<RoleChange> PlanRoles(const PlannerSettings& settings,
                                  const std::vector<PlannerEngine>& engines,
                                  const DemandHistory& history,
                                  TimePoint now);

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLANNER_ROLE_PLANNER_H_
