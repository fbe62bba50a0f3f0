// Compares the role planners over the same token-mix traces in a fluid model
// of prefill and decode capacity, and sweeps the role change weight.
//
// Usage: planner_experiment [seed] [utilisation]
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "endiveyard/planner/role_planner.h"

namespace endiveyard {
namespace {

constexpr int kEngines = 24;
constexpr int kDurationSeconds = 3600;
constexpr int kPlanInterval = 5;
constexpr double kPrefillRate = 8000;  // tokens/s of a prefill engine
constexpr double kDecodeRate = 1500;   // tokens/s of a decode engine
constexpr double kMixedEfficiency = 0.8;
// work that waits longer has missed its deadline
constexpr double kMaxQueueSeconds = 5;
constexpr int kChangeSeconds = 10;
// engines that crash halfway, for kCrashSeconds
constexpr int kCrashedEngines = 4;
constexpr int kCrashSeconds = 120;
constexpr double kPi = 3.14159265358979;

struct Trace {
  const char* name;
  double (*share)(int second);  // prefill share of the work
};

constexpr Trace kTraces[] = {
    {"steady", [](int) { return 0.35; }},
    {"step", [](int t) { return t / 900 % 2 == 0 ? 0.25 : 0.5; }},
    {"slow swing",
     [](int t) { return 0.35 + 0.175 * std::sin(2 * kPi * t / 1200); }},
    {"fast oscillation",
     [](int t) { return 0.35 + 0.175 * std::sin(2 * kPi * t / 40); }},
    {"burst", [](int t) { return t % 300 < 60 ? 0.55 : 0.3; }},
};

struct Result {
  double goodput = 0;  // served share of the offered output tokens
  int changes = 0;
};

struct ExperimentOptions {
  uint64_t seed = 1;
  double utilisation = 0.85;  // of all engines with the best split
};

TimePoint At(int second) {
  return TimePointFromMicros((second + 1000) * 1000000LL);
}

// Runs one trace. Each second the engines serve the prefill queue and the
// decode queue; mixed engines divide their time in proportion to the two
// backlogs. Work in excess of kMaxQueueSeconds of a stage's arrivals is
// dropped.
Result RunTrace(const Trace& trace,
                PlannerKind kind,
                double weight,
                int lag,
                bool crash,
                int initial_mixed,
                const ExperimentOptions& options) {
  std::mt19937_64 random(options.seed);
  std::normal_distribution<double> noise(0, 0.03);
  PlannerSettings settings;
  settings.kind = kind;
  settings.engine_capacity = {kPrefillRate, kDecodeRate};
  settings.mixed_efficiency = kMixedEfficiency;
  settings.minimum = {2 * kPrefillRate, 2 * kDecodeRate};
  settings.change_time = std::chrono::seconds(kChangeSeconds);
  settings.role_change_weight = weight;
  std::vector<PlannerEngine> engines(kEngines);
  // second in which a role change or an outage ends
  std::vector<int> available_at(kEngines, -1);
  for (int i = 0; i < kEngines; ++i) {
    engines[i].id = "engine-" + std::to_string(100 + i);
    engines[i].role = i < initial_mixed ? Role::kMixed
                      : i % 3 == 0      ? Role::kPrefill
                                        : Role::kDecode;
  }
  DemandHistory history;
  std::deque<TokenRates> observed;
  // in engine seconds, like all amounts of work below
  double prefill_queue = 0;
  double undecoded_work = 0;  // decode work of the prompts in prefill_queue
  double decode_queue = 0;
  double offered_decode = 0;
  double total_decode_served = 0;
  Result result;
  for (int t = 0; t < kDurationSeconds; ++t) {
    const double share = std::clamp(trace.share(t) + noise(random), 0.05, 0.95);
    const double work = options.utilisation * kEngines * (1 + noise(random));
    const double prefill_work = share * work;
    const double decode_work = (1 - share) * work;
    observed.push_back(
        {prefill_work * kPrefillRate, decode_work * kDecodeRate});
    for (int i = 0; i < kEngines; ++i) {
      if (crash && t == kDurationSeconds / 2 && i < kCrashedEngines) {
        engines[i].available = false;  // a crash also aborts a role change
        engines[i].changing = false;
        available_at[i] = t + kCrashSeconds;
      }
      if (available_at[i] == t) {
        if (engines[i].changing) {
          engines[i].role = engines[i].next_role;
        }
        engines[i].available = true;
        engines[i].changing = false;
        engines[i].changed_at = At(t);
      }
    }
    if (t % kPlanInterval == 0 && t >= lag) {
      RecordDemand(settings, observed[t - lag], At(t), &history);
      for (const RoleChange& it :
           PlanRoles(settings, engines, history, At(t))) {
        for (int i = 0; i < kEngines; ++i) {
          if (engines[i].id == it.id) {
            engines[i].changing = true;
            engines[i].next_role = it.to;
            available_at[i] = t + kChangeSeconds;
            ++result.changes;
          }
        }
      }
    }
    double prefill_engines = 0;
    double decode_engines = 0;
    double mixed_engines = 0;
    for (const PlannerEngine& it : engines) {
      if (it.available && !it.changing) {
        (it.role == Role::kPrefill  ? prefill_engines
         : it.role == Role::kDecode ? decode_engines
                                    : mixed_engines) += 1;
      }
    }
    mixed_engines *= kMixedEfficiency;
    // Prefilling a prompt adds its decode work to the decode queue; dropping a
    // prompt also drops its decode work.
    prefill_queue += prefill_work;
    undecoded_work += decode_work;
    const double prefill_backlog =
        std::max(0.0, prefill_queue - prefill_engines);
    const double decode_backlog = std::max(0.0, decode_queue - decode_engines);
    const double backlog = prefill_backlog + decode_backlog;
    const double mixed_prefill =
        backlog > 0 ? mixed_engines * prefill_backlog / backlog : 0;
    const double decode_served =
        std::min(decode_queue, decode_engines + mixed_engines - mixed_prefill);
    decode_queue -= decode_served;
    const double prefill_served =
        std::min(prefill_queue, prefill_engines + mixed_prefill);
    const double new_decode_work =
        undecoded_work * prefill_served / prefill_queue;
    decode_queue += new_decode_work;
    undecoded_work -= new_decode_work;
    prefill_queue -= prefill_served;
    const double kept_share = std::min(
        1.0, kMaxQueueSeconds * prefill_work / std::max(1e-9, prefill_queue));
    prefill_queue *= kept_share;
    undecoded_work *= kept_share;
    decode_queue = std::min(decode_queue, kMaxQueueSeconds * decode_work);
    offered_decode += decode_work;
    total_decode_served += decode_served;
  }
  result.goodput = total_decode_served / offered_decode;
  return result;
}

void ComparePlanners(const ExperimentOptions& options) {
  const struct {
    const char* name;
    PlannerKind kind;
    int initial_mixed;
  } planners[] = {{"all mixed", PlannerKind::kFixed, kEngines},
                  {"fixed", PlannerKind::kFixed, 0},
                  {"threshold", PlannerKind::kThreshold, 0},
                  {"hysteresis", PlannerKind::kHysteresis, 0},
                  {"cost-benefit", PlannerKind::kCostBenefit, 0}};
  std::printf("%-17s %-13s", "trace", "planner");
  const struct {
    const char* name;
    int lag;
    bool crash;
  } conditions[] = {{"no lag", 0, false},
                    {"lag 10 s", 10, false},
                    {"lag 10 s, crash", 10, true}};
  for (const auto& it : conditions) {
    std::printf(" | %-17s", it.name);
  }
  std::printf("\n");
  for (const Trace& trace : kTraces) {
    for (const auto& planner : planners) {
      std::printf("%-17s %-13s", trace.name, planner.name);
      for (const auto& it : conditions) {
        const Result result =
            RunTrace(trace, planner.kind, 0.5, it.lag, it.crash,
                     planner.initial_mixed, options);
        std::printf(" | %6.2f %% %8d", 100 * result.goodput, result.changes);
      }
      std::printf("\n");
    }
  }
}

void SweepWeight(const ExperimentOptions& options) {
  std::printf(
      "\nrole change weight, lag 10 s, no crash (goodput %% / changes)\n");
  for (const auto& [name, kind] :
       {std::pair("hysteresis", PlannerKind::kHysteresis),
        {"cost-benefit", PlannerKind::kCostBenefit}}) {
    std::printf("%-13s", name);
    for (const Trace& trace : kTraces) {
      std::printf(" | %-16s", trace.name);
    }
    std::printf("\n");
    for (double weight : {0.0, 0.2, 0.4, 0.5, 0.6, 0.8, 0.9, 0.95, 0.98, 1.0}) {
      std::printf("%-13.2f", weight);
      for (const Trace& trace : kTraces) {
        const Result result =
            RunTrace(trace, kind, weight, 10, false, 0, options);
        std::printf(" | %7.2f %8d", 100 * result.goodput, result.changes);
      }
      std::printf("\n");
    }
  }
}

}  // namespace
}  // namespace endiveyard

int main(int argc, char** argv) {
  endiveyard::ExperimentOptions options;
  if (argc > 1) {
    options.seed = std::strtoull(argv[1], nullptr, 10);
  }
  if (argc > 2) {
    options.utilisation = std::strtod(argv[2], nullptr);
  }
  endiveyard::ComparePlanners(options);
  endiveyard::SweepWeight(options);
  return 0;
}
