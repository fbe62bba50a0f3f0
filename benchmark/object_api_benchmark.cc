#include <benchmark/benchmark.h>

#include <string>

#include "endiveyard/object_api/http_object_api.h"
#include "standin/object_api_standin.h"

namespace endiveyard {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(2);
constexpr int kCalls = 1000;

// Starts a stand-in, or ends the benchmark with an error.
bool Start(ObjectApiStandin* standin, benchmark::State* state) {
  const bool ok = standin->Start({}).ok();
  if (!ok) {
    state->SkipWithError("the stand-in did not start");
  }
  return ok;
}

std::string AddressOf(const ObjectApiStandin& standin) {
  return "127.0.0.1:" + std::to_string(standin.port());
}

// One conditional create with a connection of its own.
void HttpPut(benchmark::State& state) {
  ObjectApiStandin standin;
  if (!Start(&standin, &state)) {
    return;
  }
  HttpObjectApi api(AddressOf(standin));
  const std::string value(static_cast<size_t>(state.range(0)), 'x');
  int n = 0;
  for (auto _ : state) {
    const WriteResult result =
        api.PutIf("k" + std::to_string(++n), value, 0, kTimeout);
    if (result.outcome != WriteOutcome::kApplied) {
      state.SkipWithError("a write failed");
    }
  }
}
BENCHMARK(HttpPut)->Arg(200)->Arg(20000)->Iterations(kCalls)->UseRealTime();

// Reads a page of 100 log entries of 200 bytes.
void HttpListPage(benchmark::State& state) {
  ObjectApiStandin standin;
  if (!Start(&standin, &state)) {
    return;
  }
  HttpObjectApi api(AddressOf(standin));
  for (int n = 100; n < 200; ++n) {
    api.PutIf("log/" + std::to_string(n), std::string(200, 'x'), 0, kTimeout);
  }
  for (auto _ : state) {
    if (!api.List("log/1", kTimeout).ok()) {
      state.SkipWithError("a read failed");
    }
  }
}
BENCHMARK(HttpListPage)->Iterations(kCalls)->UseRealTime();

}  // namespace
}  // namespace endiveyard

BENCHMARK_MAIN();
