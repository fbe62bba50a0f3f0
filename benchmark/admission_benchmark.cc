#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>

#include "endiveyard/admission/concurrency_limit.h"
#include "endiveyard/admission/fair_queue.h"
#include "endiveyard/admission/retry_after.h"
#include "endiveyard/admission/retry_budget.h"
#include "endiveyard/admission/wait_estimate.h"

namespace endiveyard {
namespace {

QueuedRequest MakeRequest(uint64_t id, int houses) {
  QueuedRequest request;
  request.id = id;
  request.house = "house" + std::to_string(id % houses);
  request.flow = "lm\nmodel" + std::to_string(id % 18);
  request.caller_class = "class" + std::to_string(id % 3);
  request.priority = static_cast<int>(id % 10);
  request.cost = 500 + static_cast<int64_t>(id * 7919 % 3000);
  return request;
}

// Enqueues and dequeues one request while range(1) requests of range(0) houses
// are waiting.
void BenchmarkEnqueueAndTake(benchmark::State& state) {
  FairQueue queue;
  const int houses = static_cast<int>(state.range(0));
  uint64_t id = 0;
  for (; id < static_cast<uint64_t>(state.range(1)); ++id) {
    Enqueue(&queue, MakeRequest(id, houses));
  }
  for (auto _ : state) {
    QueuedRequest request = MakeRequest(id++, houses);
    benchmark::DoNotOptimize(
        HasCapacity(queue, request.house, request.caller_class, 1 << 20));
    Enqueue(&queue, std::move(request));
    Dequeue(&queue, *NextCandidate(&queue));
  }
}
BENCHMARK(BenchmarkEnqueueAndTake)
    ->Args({2, 0})
    ->Args({2, 100})
    ->Args({2, 10000})
    ->Args({100, 10000});

// Decides whether to refuse a request early, from the queue limit, the number
// of requests ahead and the estimated wait.
void BenchmarkRefusalDecision(benchmark::State& state) {
  FairQueue queue;
  WaitEstimate wait;
  const TimePoint now = TimePointFromMicros(1000000);
  RecordBacklog(&wait, TimePointFromMicros(0));
  RecordDispatch(&wait, 1, TimePointFromMicros(20000));
  for (uint64_t id = 0; id < static_cast<uint64_t>(state.range(0)); ++id) {
    QueuedRequest request = MakeRequest(id, 1);
    request.flow = "lm\n";
    Enqueue(&queue, request);
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(HasCapacity(queue, "house0", "class0", 1 << 20));
    const size_t ahead = CountAhead(queue, "house0", "lm\n", 0, 5);
    benchmark::DoNotOptimize(RetryAfter(EstimateWait(wait, ahead, now), ahead));
  }
}
BENCHMARK(BenchmarkRefusalDecision)->Arg(10)->Arg(256)->Arg(1000);

void BenchmarkNoteLatency(benchmark::State& state) {
  ConcurrencyLimit limit = MakeConcurrencyLimit(32, TimePointFromMicros(0));
  int64_t now = 0;
  for (auto _ : state) {
    now += 1000;
    RecordLatency(&limit, static_cast<double>(100 + now * 7919 % 150),
                  AllowedInFlight(limit), TimePointFromMicros(now));
  }
  benchmark::DoNotOptimize(limit);
}
BENCHMARK(BenchmarkNoteLatency);

void BenchmarkRetryBudget(benchmark::State& state) {
  RetryBudget budget;
  for (auto _ : state) {
    CreditFirstAttempt(&budget);
    benchmark::DoNotOptimize(TryConsumeRetry(&budget));
  }
}
BENCHMARK(BenchmarkRetryBudget);

}  // namespace
}  // namespace endiveyard

BENCHMARK_MAIN();
