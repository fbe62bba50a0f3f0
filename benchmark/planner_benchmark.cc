// Measures recording demand, and planning roles by number of replicas.
#include <benchmark/benchmark.h>

#include <cmath>
#include <string>
#include <vector>

#include "endiveyard/planner/role_planner.h"

namespace endiveyard {
namespace {

constexpr TimePoint kStart = TimePointFromMicros(1000000000);

PlannerSettings MakeSettings(PlannerKind kind) {
  PlannerSettings settings;
  settings.kind = kind;
  settings.engine_capacity = {8000, 1500};
  settings.minimum = {16000, 3000};
  return settings;
}

std::vector<PlannerEngine> MakeEngines(int replicas) {
  std::vector<PlannerEngine> engines(replicas);
  for (int i = 0; i < replicas; ++i) {
    engines[i].id = "setola-lm-" + std::to_string(i);
    engines[i].role = i % 3 == 0 ? Role::kPrefill : Role::kDecode;
    engines[i].running_sequences = i * 7 % 32;
  }
  return engines;
}

// Returns a load that oscillates around a prefill share that the roles of the
// engines do not match, so that the planner makes changes.
TokenRates LoadAt(int replicas, int second) {
  const double share = 0.45 + 0.1 * std::sin(second / 30.0);
  const double work = 0.9 * replicas;
  return {share * work * 8000, (1 - share) * work * 1500};
}

void Plan(benchmark::State& state, PlannerKind kind) {
  const auto replicas = static_cast<int>(state.range(0));
  const PlannerSettings settings = MakeSettings(kind);
  const auto engines = MakeEngines(replicas);
  DemandHistory history;
  for (int i = 0; i < 300; ++i) {
    RecordDemand(settings, LoadAt(replicas, i),
                 kStart + std::chrono::seconds(i), &history);
  }
  size_t changes = 0;
  for (auto it : state) {
    changes = PlanRoles(settings, engines, history,
                        kStart + std::chrono::seconds(300))
                  .size();
  }
  state.counters["changes"] = static_cast<double>(changes);
}
BENCHMARK_CAPTURE(Plan, fixed, PlannerKind::kFixed)
    ->Arg(12)
    ->Arg(120)
    ->Arg(1200)
    ->Arg(12000);
BENCHMARK_CAPTURE(Plan, threshold, PlannerKind::kThreshold)
    ->Arg(12)
    ->Arg(120)
    ->Arg(1200)
    ->Arg(12000);
BENCHMARK_CAPTURE(Plan, hysteresis, PlannerKind::kHysteresis)
    ->Arg(12)
    ->Arg(120)
    ->Arg(1200)
    ->Arg(12000);
BENCHMARK_CAPTURE(Plan, cost_benefit, PlannerKind::kCostBenefit)
    ->Arg(12)
    ->Arg(120)
    ->Arg(1200)
    ->Arg(12000);

// Records one sample into a full history with one sample per second.
void Observe(benchmark::State& state) {
  const PlannerSettings settings = MakeSettings(PlannerKind::kCostBenefit);
  DemandHistory history;
  int second = 0;
  const auto observe = [&] {
    RecordDemand(settings, LoadAt(12, second),
                 kStart + std::chrono::seconds(second), &history);
    ++second;
  };
  while (second < 300) {
    observe();
  }
  for (auto it : state) {
    observe();
  }
  state.counters["samples"] = static_cast<double>(history.samples.size());
}
BENCHMARK(Observe);

}  // namespace
}  // namespace endiveyard

BENCHMARK_MAIN();
