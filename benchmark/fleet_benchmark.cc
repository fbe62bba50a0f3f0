#include <benchmark/benchmark.h>

#include <cstdlib>

#include "endiveyard/base/digest.h"
#include "endiveyard/fleet/configuration_delta.h"
#include "endiveyard/fleet/configuration_replica.h"
#include "endiveyard/fleet/configuration_text.h"

namespace endiveyard {
namespace {

constexpr int kModelServices = 18;

std::string CallerKey(int house_number) {
  return "key-" + std::to_string(house_number);
}

// Every house has one caller. The first 18 houses have a model service each,
// and the first 200 have an exception.
FleetConfiguration MakeConfiguration(int house_count) {
  FleetConfiguration::Builder builder;
  ClassEntry caller_class;
  caller_class.name = "quotes";
  builder.Set(caller_class);
  for (int i = 0; i < house_count; ++i) {
    HouseEntry house;
    house.name = "house-" + std::to_string(i);
    house.role_change_weight = 0.25;
    CallerEntry caller;
    caller.key_sha256 = Sha256Hex(CallerKey(i));
    caller.house = house.name;
    caller.caller_class = "quotes";
    if (i < kModelServices) {
      ServiceEntry service;
      service.house = house.name;
      service.name = "service";
      service.models = {"model-" + std::to_string(i)};
      builder.Set(service);
    }
    if (i < 200) {
      ExceptionEntry exception;
      exception.key = "queue_limit";
      exception.house = house.name;
      exception.value = int64_t{64 + i};
      exception.reason = "agreed limit";
      builder.Set(exception);
    }
    builder.Set(std::move(house));
    builder.Set(std::move(caller));
  }
  auto built = builder.Build();
  if (!built.ok()) {
    std::abort();
  }
  return *std::move(built);
}

void BenchmarkParse(benchmark::State& state) {
  const std::string text = FormatFleetConfiguration(
      MakeConfiguration(static_cast<int>(state.range(0))));
  for (auto it : state) {
    benchmark::DoNotOptimize(ParseFleetConfiguration(text));
  }
  state.counters["text_bytes"] = static_cast<double>(text.size());
}

// Adds one caller, as an edit from the log does.
void BenchmarkApplyEdit(benchmark::State& state) {
  ReplicaState replica;
  replica.configuration = MakeConfiguration(static_cast<int>(state.range(0)));
  ConfigurationDelta delta;
  CallerEntry caller;
  caller.key_sha256 = Sha256Hex("another key");
  caller.house = "house-1";
  caller.caller_class = "quotes";
  delta.set.callers.push_back(caller);
  LogRead event;
  event.edits.resize(1);
  event.edits[0].edit_id = "e";
  event.edits[0].author = "ana";
  event.edits[0].delta = FormatConfigurationDelta(delta);
  for (auto it : state) {
    std::vector<ReplicaAction> actions;
    event.edits[0].version = replica.version + 1;
    StepReplica(ReplicaOptions(), event, TimePoint(), &replica, &actions);
  }
  state.counters["edit_bytes"] =
      static_cast<double>(EncodeEdit(event.edits[0]).size());
}

void BenchmarkFindCaller(benchmark::State& state) {
  const int house_count = static_cast<int>(state.range(0));
  const FleetConfiguration configuration = MakeConfiguration(house_count);
  int i = 0;
  for (auto it : state) {
    benchmark::DoNotOptimize(
        configuration.FindCaller(CallerKey(i++ % house_count)));
  }
}

void BenchmarkLookup(benchmark::State& state) {
  const int house_count = static_cast<int>(state.range(0));
  const FleetConfiguration configuration = MakeConfiguration(house_count);
  std::vector<std::string> names;
  for (const HouseEntry& it : configuration.houses()) {
    names.push_back(it.name);
  }
  size_t i = 0;
  for (auto it : state) {
    SettingScope scope;
    scope.house = names[i++ % names.size()];
    scope.caller_class = "quotes";
    benchmark::DoNotOptimize(configuration.Lookup("queue_limit", scope));
  }
}

BENCHMARK(BenchmarkParse)
    ->Arg(2)
    ->Arg(370)
    ->Arg(3700)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(BenchmarkApplyEdit)
    ->Arg(2)
    ->Arg(370)
    ->Arg(3700)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(BenchmarkFindCaller)->Arg(2)->Arg(370)->Arg(3700);
BENCHMARK(BenchmarkLookup)->Arg(2)->Arg(370)->Arg(3700);

}  // namespace
}  // namespace endiveyard

BENCHMARK_MAIN();
