#include <benchmark/benchmark.h>

#include <cstdlib>

#include "endiveyard/base/digest.h"
#include "endiveyard/fleet/configuration_delta.h"
#include "endiveyard/fleet/configuration_replica.h"
#include "endiveyard/fleet/configuration_text.h"

namespace endiveyard {
namespace {

constexpr int kModels = 18;

std::string KeyOf(int customer) {
  return "key-" + std::to_string(customer);
}

// Every customer is a house with one caller; 18 model services belong to the
// first houses, and 200 houses have an exception.
FleetConfiguration MakeFleet(int customers) {
  FleetConfiguration::Builder builder;
  ClassEntry caller_class;
  caller_class.name = "quotes";
  builder.Set(caller_class);
  for (int i = 0; i < customers; ++i) {
    HouseEntry house;
    house.name = "house-" + std::to_string(i);
    house.role_change_weight = 0.25;
    CallerEntry caller;
    caller.key_sha256 = Sha256Hex(KeyOf(i));
    caller.house = house.name;
    caller.caller_class = "quotes";
    if (i < kModels) {
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
  const std::string text =
      FormatFleetConfiguration(MakeFleet(static_cast<int>(state.range(0))));
  for (auto it : state) {
    benchmark::DoNotOptimize(ParseFleetConfiguration(text));
  }
  state.counters["text_bytes"] = static_cast<double>(text.size());
}

// One caller is added, as by an edit that arrives from the log.
void BenchmarkApplyEdit(benchmark::State& state) {
  ReplicaState replica;
  replica.configuration = MakeFleet(static_cast<int>(state.range(0)));
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
  const int customers = static_cast<int>(state.range(0));
  const FleetConfiguration fleet = MakeFleet(customers);
  int i = 0;
  for (auto it : state) {
    benchmark::DoNotOptimize(fleet.FindCaller(KeyOf(i++ % customers)));
  }
}

void BenchmarkLookup(benchmark::State& state) {
  const int customers = static_cast<int>(state.range(0));
  const FleetConfiguration fleet = MakeFleet(customers);
  std::vector<std::string> names;
  for (const HouseEntry& it : fleet.houses()) {
    names.push_back(it.name);
  }
  size_t i = 0;
  for (auto it : state) {
    SettingScope scope;
    scope.house = names[i++ % names.size()];
    scope.caller_class = "quotes";
    benchmark::DoNotOptimize(fleet.Lookup("queue_limit", scope));
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
