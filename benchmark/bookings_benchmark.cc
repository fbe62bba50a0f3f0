#include <benchmark/benchmark.h>
#include <malloc.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "endiveyard/bookings/idempotency_shard.h"

namespace endiveyard {
namespace {

constexpr int64_t kWallMs = 1700000000000;
constexpr TimePoint kNow = TimePointFromMicros(1000000);
constexpr int kRecordsPerEntry = 20;

size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// Executes log calls against an empty log, in which each create succeeds.
void ExecuteLogCalls(IdempotencyShard* shard,
                     const std::vector<IdempotencyAction>& actions) {
  for (const IdempotencyAction& it : actions) {
    LogEvent event;
    if (std::get_if<CreateLogEntry>(&it) != nullptr) {
      event = LogEntryCreateDone{LogEntryCreateResult::kCreated};
    } else if (std::get_if<ReadLogEntries>(&it) != nullptr) {
      LogEntriesRead read;
      read.ok = true;
      event = read;
    } else if (std::get_if<ReadLogTruncationPoint>(&it) != nullptr) {
      event = LogTruncationPointRead{true, 0};
    } else {
      continue;
    }
    ExecuteLogCalls(shard, StepIdempotencyShard(shard, event, {kNow, kWallMs}));
  }
}

CommitIntent MakeIntent(int64_t n) {
  CommitIntent intent;
  intent.exchange = static_cast<ExchangeId>(n);
  intent.house = "trinacria";
  intent.key = "order-" + std::to_string(n);
  intent.fingerprint = static_cast<uint64_t>(n);
  intent.give_up_at = kNow + std::chrono::seconds(30);
  return intent;
}

// Returns a shard filled with finished records of another process, as after a
// catch-up.
IdempotencyShard MakeFilledShard(int64_t records, const std::string& body) {
  IdempotencyShard shard = MakeIdempotencyShard(0, "a.1", IdempotencyLimits());
  ExecuteLogCalls(&shard,
                  StepIdempotencyShard(&shard, MakeIntent(0), {kNow, kWallMs}));
  uint64_t number = shard.log.applied;
  for (int64_t n = 1; n <= records; n += kRecordsPerEntry) {
    std::vector<std::string> lines;
    for (int64_t i = n; i < n + kRecordsPerEntry && i <= records; ++i) {
      IdempotencyLogLine line;
      line.key =
          MakeIdempotencyKeyDigest("trinacria", "order-" + std::to_string(i));
      line.intent = static_cast<uint64_t>(i);
      line.fingerprint = static_cast<uint64_t>(i);
      lines.push_back(FormatIdempotencyLogLine(line));
      line.kind = IdempotencyLogLineKind::kResult;
      line.stored = true;
      line.status = 201;
      line.content_type = "application/json";
      line.body = body;
      lines.push_back(FormatIdempotencyLogLine(line));
    }
    shard.log.pending = LogState::Pending::kRead;
    LogEntriesRead read;
    read.ok = true;
    LogEntry entry;
    entry.writer = "b.1";
    entry.batch = number;
    entry.payload = FormatIdempotencyBatch(kWallMs, lines);
    read.items.push_back(
        {LogEntryKey(shard.log.name, ++number), FormatLogEntry(entry)});
    StepIdempotencyShard(&shard, LogEvent(read), {kNow, kWallMs});
    shard.log.pending = LogState::Pending::kNone;
  }
  return shard;
}

// Answers a repeated request from the stored records.
void BookingLookup(benchmark::State& state) {
  const int64_t records = state.range(0);
  IdempotencyShard shard =
      MakeFilledShard(records, "{\"order\":\"0123456789\"}");
  int64_t n = 0;
  for (auto _ : state) {
    n = (n + 7919) % records;
    benchmark::DoNotOptimize(
        StepIdempotencyShard(&shard, MakeIntent(n + 1), {kNow, kWallMs}));
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(BookingLookup)->RangeMultiplier(10)->Range(1000, 1000000);

// Commits batches of new intents. Excludes the latency of the object API.
void BookingAppend(benchmark::State& state) {
  const int64_t records = state.range(0);
  IdempotencyShard shard =
      MakeFilledShard(records, "{\"order\":\"0123456789\"}");
  int64_t n = records;
  TimePoint now = kNow;
  for (auto _ : state) {
    for (int i = 0; i < kRecordsPerEntry; ++i) {
      CommitIntent intent = MakeIntent(++n);
      intent.give_up_at = now + std::chrono::seconds(30);
      ExecuteLogCalls(&shard,
                      StepIdempotencyShard(&shard, intent, {now, kWallMs}));
    }
    now += shard.limits.batch_interval;
    ExecuteLogCalls(&shard, StepIdempotencyShard(&shard, IdempotencyTick{},
                                                 {now, kWallMs}));
  }
  state.SetItemsProcessed(state.iterations() * kRecordsPerEntry);
}
BENCHMARK(BookingAppend)->RangeMultiplier(10)->Range(1000, 1000000);

// Reads a log of range(0) records, as a starting process does, and reports the
// memory per record with a result of range(1) bytes.
void BookingCatchUp(benchmark::State& state) {
  const int64_t records = state.range(0);
  const std::string body(static_cast<size_t>(state.range(1)), 'x');
  double bytes = 0;
  for (auto _ : state) {
    // Pauses the timer for mallinfo2(), which walks the free chunks, and for
    // freeing the shard, which is not part of a catch-up.
    state.PauseTiming();
    malloc_trim(0);  // releases memory that earlier benchmarks freed
    const size_t before = HeapBytes();
    state.ResumeTiming();
    auto shard =
        std::make_unique<IdempotencyShard>(MakeFilledShard(records, body));
    state.PauseTiming();
    bytes = static_cast<double>(HeapBytes() - before);
    shard.reset();
    state.ResumeTiming();
  }
  state.counters["bytes_per_record"] = bytes / static_cast<double>(records);
  state.SetItemsProcessed(state.iterations() * records);
}
BENCHMARK(BookingCatchUp)
    ->ArgsProduct({{1000, 10000, 100000, 1000000}, {0, 200}})
    ->Unit(benchmark::kMillisecond);

// Reports the size of an intent record and a result record in the log.
void BookingLogBytes(benchmark::State& state) {
  IdempotencyLogLine intent;
  intent.key = MakeIdempotencyKeyDigest("trinacria", "order-1");
  intent.intent = 123456;
  intent.fingerprint = 1;
  IdempotencyLogLine result = intent;
  result.kind = IdempotencyLogLineKind::kResult;
  result.stored = true;
  result.status = 201;
  result.content_type = "application/json";
  result.body = "{\"order\":\"0123456789\",\"slot\":\"K7-0415\"}";
  size_t bytes = 0;
  for (auto _ : state) {
    bytes = FormatIdempotencyLogLine(intent).size() +
            FormatIdempotencyLogLine(result).size();
    benchmark::DoNotOptimize(bytes);
  }
  state.counters["intent_bytes"] =
      static_cast<double>(FormatIdempotencyLogLine(intent).size() + 1);
  state.counters["result_bytes"] =
      static_cast<double>(FormatIdempotencyLogLine(result).size() + 1);
}
BENCHMARK(BookingLogBytes);

}  // namespace
}  // namespace endiveyard

BENCHMARK_MAIN();
