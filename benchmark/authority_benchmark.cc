#include <benchmark/benchmark.h>

#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include "../tests/control/control_harness.h"
#include "absl/strings/str_cat.h"
#include "endiveyard/authority/shard_assignment.h"

namespace endiveyard {
namespace {

constexpr Duration kMinute = std::chrono::minutes(1);

void AddEngines(int targets, ControlHarness* harness) {
  for (int i = 0; i < targets; ++i) {
    harness->AddEngine(absl::StrCat("t", i));
  }
}

void AddInstances(int instances, ControlHarness* harness) {
  for (int i = 0; i < instances; ++i) {
    const std::string id = absl::StrCat("i", i);
    harness->instances[id].alive = false;  // listed, but not started yet
  }
  for (int i = 0; i < instances; ++i) {
    harness->Start(absl::StrCat("i", i));
  }
}

void LeaseTick(benchmark::State& state) {
  LeaseState lease = MakeLease("a", "1", 1);
  const LeaseOptions options;
  uint64_t next_call = 1;
  uint64_t version = 0;
  TimePoint now = TimePoint(std::chrono::seconds(1000));
  for (auto _ : state) {
    std::vector<ObjectCall> calls;
    TickLease(options, now, &next_call, &lease, &calls);
    for (const ObjectCall& it : calls) {
      version += it.write ? 1 : 0;
      ApplyLeaseResult(options, {it.id, ObjectOutcome::kOk, version, ""}, now,
                       &lease);
    }
    benchmark::DoNotOptimize(HoldsLease(lease, now));
    now += std::chrono::seconds(1);
  }
}
BENCHMARK(LeaseTick);

// Ranks the candidates of all shards of one house after the list has changed.
void Assignment(benchmark::State& state) {
  std::vector<InstanceInfo> list(state.range(0));
  for (size_t i = 0; i < list.size(); ++i) {
    list[i].id = absl::StrCat("instance-", i);
  }
  for (auto _ : state) {
    const std::vector<std::string> live = EligibleInstances(list, "h");
    for (int i = 0; i < kShardsPerHouse; ++i) {
      benchmark::DoNotOptimize(
          ShardCandidates(live, absl::StrCat("shards/h-", i)));
    }
  }
}
BENCHMARK(Assignment)->Arg(8)->Arg(32)->Arg(128)->Arg(370);

// One second of steady operation of the instance that owns most shards, in a
// fleet of range(0) instances and range(1) targets. The list is received every
// 5 s.
void ControlSecond(benchmark::State& state) {
  ControlHarness harness;
  harness.record = false;
  harness.list_interval = std::chrono::hours(24);
  AddEngines(static_cast<int>(state.range(1)), &harness);
  AddInstances(static_cast<int>(state.range(0)), &harness);
  harness.RunFor(kMinute);
  std::string busiest = "i0";
  for (const auto& [id, instance] : harness.instances) {
    if (instance.core->owned_shards() >
        harness.instances[busiest].core->owned_shards()) {
      busiest = id;
    }
  }
  ControlCore& core = *harness.instances[busiest].core;
  PlatformListReceived list;
  for (int i = 0; i < state.range(0); ++i) {
    list.instances.push_back({absl::StrCat("i", i), "", "", false});
  }
  for (const auto& [id, engine] : harness.engines) {
    list.targets.push_back(engine.info);
  }
  TimePoint now = harness.now;
  uint64_t version = harness.store["leases/" + busiest].first;
  int second = 0;
  for (auto _ : state) {
    now += std::chrono::seconds(1);
    std::vector<ControlAction> actions;
    if (second++ % 5 == 0) {
      core.Step(list, now, &actions);
    }
    core.Step(ControlTick{}, now, &actions);
    for (size_t i = 0; i < actions.size(); ++i) {
      const auto* call = std::get_if<CallObjectApi>(&actions[i]);
      if (call == nullptr) {
        continue;
      }
      const ObjectCall sent = call->call;
      ObjectResult result{sent.id, ObjectOutcome::kOk, 0, ""};
      if (sent.write) {
        result.version = ++version;
      } else {
        result.version = harness.store[sent.key].first;
        result.value = harness.store[sent.key].second;
      }
      core.Step(ObjectCallDone{result}, now, &actions);
    }
  }
  state.counters["owned_shards"] = static_cast<double>(core.owned_shards());
}
BENCHMARK(ControlSecond)
    ->Args({8, 12})
    ->Args({8, 1200})
    ->Args({8, 12000})
    ->Args({32, 1200})
    ->Args({128, 1200})
    ->Args({370, 12000})
    ->Iterations(500)  // setting up the largest fleet takes seconds
    ->Unit(benchmark::kMicrosecond);

// Prints the rate of object API calls over one minute, after all instances have
// started and the shards have moved to their preferred owners.
void PrintCallsPerSecond() {
  struct FleetSize {
    int instances;
    int targets;
  };
  std::printf("instances targets writes/s reads/s\n");
  for (const FleetSize& row :
       {FleetSize{4, 24}, FleetSize{8, 24}, FleetSize{16, 48},
        FleetSize{32, 96}, FleetSize{370, 12000}}) {
    ControlHarness harness;
    harness.record = false;
    // The list does not change, so it is received only at the start.
    harness.list_interval = std::chrono::hours(24);
    AddEngines(row.targets, &harness);
    AddInstances(row.instances, &harness);
    harness.RunFor(8 * kMinute);
    harness.reads = 0;
    harness.writes = 0;
    harness.RunFor(kMinute);
    std::printf("%d %d %.1f %.1f\n", row.instances, row.targets,
                static_cast<double>(harness.writes) / 60,
                static_cast<double>(harness.reads) / 60);
  }
}

}  // namespace
}  // namespace endiveyard

int main(int argc, char** argv) {
  benchmark::Initialize(&argc, argv);
  if (benchmark::ReportUnrecognizedArguments(argc, argv)) {
    return 1;
  }
  endiveyard::PrintCallsPerSecond();
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
