// Measures the time of routing decisions and the memory of the router's state.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <memory>
#include <string>
#include <vector>

#include "endiveyard/base/digest.h"
#include "endiveyard/routing/target_router.h"

namespace endiveyard {
namespace {

constexpr TimePoint kStart = TimePointFromMicros(1000000000);
constexpr uint64_t kBlocksPerPrompt = 16;

// Returns the heap bytes allocated now.
size_t AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::vector<TargetInfo> MakeTargets(int replicas) {
  std::vector<TargetInfo> targets;
  targets.reserve(replicas);
  for (int i = 0; i < replicas; ++i) {
    TargetInfo info;
    info.id = "setola-lm-" + std::to_string(i);
    info.house = "trinacria";
    info.service = "setola-lm";
    info.address = "10.1." + std::to_string(i / 250) + ".7:8000";
    info.region = "sicilia-ovest";
    info.failure_domain = "palermo-a";
    targets.push_back(std::move(info));
  }
  return targets;
}

std::unique_ptr<TargetRouter> MakeRouter(
    const std::vector<TargetInfo>& targets) {
  TargetRouterOptions options;
  options.region = "sicilia-ovest";
  options.failure_domain = "palermo-a";
  auto router = std::make_unique<TargetRouter>(options);
  router->ApplyTargetList(targets, kStart);
  TargetLoad load;
  load.model = "setola-8b";
  load.adapters = {"catalogue", "complaints"};
  load.version = "2026-11-02";
  load.sequence = 1;
  for (const TargetInfo& it : targets) {
    router->ApplyLoad(it.id, load, kStart);
  }
  return router;
}

// Returns request `n`. Its prompt shares its first half with 15 others.
RouteRequest MakeRequest(uint64_t n) {
  RouteRequest request;
  request.house = "trinacria";
  request.service = "setola-lm";
  request.model = "setola-8b";
  request.prompt_tokens = kBlocksPerPrompt * kPromptBlockBytes / kBytesPerToken;
  request.deadline = kStart + std::chrono::hours(1);
  for (uint64_t i = 0; i < kBlocksPerPrompt; ++i) {
    const uint64_t group = i < kBlocksPerPrompt / 2 ? n / 16 : n + (1U << 30U);
    request.prompt_blocks.push_back(CombineDigests(group, i));
  }
  return request;
}

void Choose(benchmark::State& state) {
  const auto targets = MakeTargets(static_cast<int>(state.range(0)));
  const auto router = MakeRouter(targets);
  std::vector<RouteRequest> requests;
  requests.reserve(1024);
  for (uint64_t i = 0; i < 1024; ++i) {
    requests.push_back(MakeRequest(i));
    router->RecordAttemptStart(targets[i % targets.size()].id, requests.back(),
                               kStart);
    router->RecordAttemptEnd(targets[i % targets.size()].id, requests.back(),
                             Duration(-1), kStart);
  }
  size_t n = 0;
  for (auto it : state) {
    benchmark::DoNotOptimize(router->Choose(requests[n++ % 1024], kStart));
  }
}
BENCHMARK(Choose)->Arg(12)->Arg(120)->Arg(1200)->Arg(12000);

// One complete request: target choice, start and end.
void ChooseStartFinish(benchmark::State& state) {
  const auto router = MakeRouter(MakeTargets(static_cast<int>(state.range(0))));
  std::vector<RouteRequest> requests;
  requests.reserve(16384);
  for (uint64_t i = 0; i < 16384; ++i) {
    requests.push_back(MakeRequest(i));
  }
  size_t n = 0;
  TimePoint now = kStart;
  for (auto it : state) {
    const RouteRequest& request = requests[n++ % requests.size()];
    now += Duration(100);
    const RouteDecision decision = router->Choose(request, now);
    router->RecordAttemptStart(decision.chosen.target, request, now);
    router->RecordAttemptEnd(decision.chosen.target, request,
                             std::chrono::milliseconds(400), now);
  }
}
BENCHMARK(ChooseStartFinish)->Arg(12)->Arg(120)->Arg(1200)->Arg(12000);

// Applies 64 stored and 64 evicted blocks while the prefix index is full.
void ApplyCacheEvents(benchmark::State& state) {
  const auto targets = MakeTargets(120);
  const auto router = MakeRouter(targets);
  uint64_t block = 0;
  std::vector<uint64_t> sequence(targets.size(), 1);
  std::vector<uint64_t> stored(64);
  std::vector<uint64_t> evicted;
  const auto apply = [&] {
    const size_t n = block / 64 % targets.size();
    for (uint64_t& it : stored) {
      it = CombineDigests(1, block++);
    }
    router->ApplyCacheEvents(targets[n].id, sequence[n], stored, evicted);
    sequence[n] += stored.size() + evicted.size();
    evicted = stored;
  };
  while (block < 400000) {
    apply();
  }
  for (auto it : state) {
    apply();
  }
  state.SetItemsProcessed(state.iterations() * 128);
}
BENCHMARK(ApplyCacheEvents);

void HashPrompt(benchmark::State& state) {
  const std::string prompt(state.range(0), 'p');
  for (auto it : state) {
    benchmark::DoNotOptimize(PromptBlockHashes(prompt));
  }
  state.SetBytesProcessed(state.iterations() * state.range(0));
}
BENCHMARK(HashPrompt)->Arg(16384)->Arg(262144);

void ApplyList(benchmark::State& state) {
  const auto targets = MakeTargets(static_cast<int>(state.range(0)));
  const auto router = MakeRouter(targets);
  for (auto it : state) {
    router->ApplyTargetList(targets, kStart);
  }
}
BENCHMARK(ApplyList)->Arg(12)->Arg(1200)->Arg(12000);

// Reports the heap bytes per replica.
void MemoryPerReplica(benchmark::State& state) {
  const auto targets = MakeTargets(static_cast<int>(state.range(0)));
  double bytes = 0;
  for (auto it : state) {
    const size_t before = AllocatedBytes();
    const auto router = MakeRouter(targets);
    bytes = static_cast<double>(AllocatedBytes() - before);
  }
  state.counters["bytes_per_replica"] =
      bytes / static_cast<double>(state.range(0));
}
BENCHMARK(MemoryPerReplica)->Arg(120)->Arg(1200)->Arg(12000)->Iterations(3);

// Reports the heap bytes per entry of a full prefix index.
void MemoryPerPrefixEntry(benchmark::State& state) {
  const auto targets = MakeTargets(1);
  double bytes = 0;
  size_t entries = 0;
  std::vector<uint64_t> stored;
  stored.reserve(1000000);
  for (uint64_t i = 0; i < 1000000; ++i) {
    stored.push_back(CombineDigests(1, i));
  }
  for (auto it : state) {
    const auto router = MakeRouter(targets);
    const size_t before = AllocatedBytes();
    router->ApplyCacheEvents(targets[0].id, 1, stored, {});
    bytes = static_cast<double>(AllocatedBytes() - before);
    entries = router->prefix_entries();
  }
  state.counters["entries"] = static_cast<double>(entries);
  state.counters["bytes_per_entry"] = bytes / static_cast<double>(entries);
}
BENCHMARK(MemoryPerPrefixEntry)->Iterations(3);

}  // namespace
}  // namespace endiveyard

BENCHMARK_MAIN();
