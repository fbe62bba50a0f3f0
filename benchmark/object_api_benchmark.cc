#include <benchmark/benchmark.h>

#include <string>

#include "endiveyard/object_api/http_object_api.h"
#include "standin/object_api_standin.h"

namespace endiveyard {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(2);
constexpr int kIterations = 1000;

// Starts the stand-in. On failure, skips the benchmark and returns false.
bool StartStandin(ObjectApiStandin* standin, benchmark::State* state) {
  const bool ok = standin->Start({}).ok();
  if (!ok) {
    state->SkipWithError("object API stand-in failed to start");
  }
  return ok;
}

std::string AddressOf(const ObjectApiStandin& standin) {
  return "127.0.0.1:" + std::to_string(standin.port());
}

// Creates one object; each call opens a new connection.
void HttpPut(benchmark::State& state) {
  ObjectApiStandin standin;
  if (!StartStandin(&standin, &state)) {
    return;
  }
  HttpObjectApi api(AddressOf(standin));
  const std::string value(static_cast<size_t>(state.range(0)), 'x');
  int n = 0;
  for (auto _ : state) {
    const WriteResult result =
        api.PutIf("k" + std::to_string(++n), value, 0, kTimeout);
    if (result.outcome != WriteOutcome::kApplied) {
      state.SkipWithError("PutIf() did not return kApplied");
    }
  }
}
BENCHMARK(HttpPut)
    ->Arg(200)
    ->Arg(20000)
    ->Iterations(kIterations)
    ->UseRealTime();

// Lists a page of 100 log entries of 200 bytes each.
void HttpListPage(benchmark::State& state) {
  ObjectApiStandin standin;
  if (!StartStandin(&standin, &state)) {
    return;
  }
  HttpObjectApi api(AddressOf(standin));
  for (int n = 100; n < 200; ++n) {
    api.PutIf("log/" + std::to_string(n), std::string(200, 'x'), 0, kTimeout);
  }
  for (auto _ : state) {
    if (!api.List("log/1", kTimeout).ok()) {
      state.SkipWithError("List() returned an error");
    }
  }
}
BENCHMARK(HttpListPage)->Iterations(kIterations)->UseRealTime();

}  // namespace
}  // namespace endiveyard

BENCHMARK_MAIN();
