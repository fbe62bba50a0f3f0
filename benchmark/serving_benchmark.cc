#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "endiveyard/serving/serving_core.h"

namespace endiveyard {
namespace {

constexpr size_t kPromptBytes = 4096;
constexpr int kModels = 18;
constexpr int kPromptCount = 64;

// Prompts are built in advance, so that a step does not include their cost.
const std::vector<std::string>& Prompts() {
  static const auto* const kPrompts = [] {
    auto* prompts = new std::vector<std::string>;
    for (int i = 0; i < kPromptCount; ++i) {
      std::string text(kPromptBytes, static_cast<char>('!' + i));
      prompts->push_back(std::move(text));
    }
    return prompts;
  }();
  return *kPrompts;
}

// One serving core with `targets` engines and `streams` open streams.
class ServingCoreWithStreams {
 public:
  ServingCoreWithStreams(int targets, int streams, int capacity)
      : core_(Options()) {
    auto policy = std::make_shared<ServingPolicy>();
    policy->target_concurrency = capacity;
    Step(PolicyChanged{policy});
    TargetListReceived listed;
    for (int i = 0; i < targets; ++i) {
      TargetInfo info;
      info.id = "engine-" + std::to_string(i);
      info.house = "h";
      info.service = "lm";
      info.address = "127.0.0.1:" + std::to_string(i);
      info.region = "r";
      listed.targets.push_back(info);
    }
    Step(listed);
    for (int i = 0; i < targets; ++i) {
      LoadReported report;
      report.target = "engine-" + std::to_string(i);
      report.load.model =
          "model" + std::to_string(i % std::min(targets, kModels));
      report.load.sequence = 1;
      Step(report);
    }
    model_count_ = std::min(targets, kModels);
    for (int i = 0; i < streams; ++i) {
      OpenStream();
      DeliverToken();
    }
    if (open_exchanges() != static_cast<size_t>(streams)) {
      std::abort();  // otherwise refusals would be measured
    }
  }

  void OpenStream() {
    RequestArrived arrived;
    arrived.exchange = ++last_exchange_;
    ServingRequest& request = arrived.request;
    request.request_id = "r";
    request.house = "h";
    request.caller_class = "c";
    request.service = "lm";
    request.model = "model" + std::to_string(last_exchange_ % model_count_);
    request.prompt = Prompts()[last_exchange_ % kPromptCount];
    request.max_tokens = 1 << 30;
    request.deadline = now_ + std::chrono::hours(1000) +
                       Duration(static_cast<int64_t>(last_exchange_));
    Step(arrived);
    open_streams_.push_back({last_exchange_, 0});
  }

  // Delivers the next token of the stream that has waited longest.
  void DeliverToken() {
    Stream stream = open_streams_.front();
    open_streams_.pop_front();
    TokensReceived tokens;
    tokens.exchange = stream.exchange;
    tokens.attempt = 1;
    tokens.event_id = "x" + std::to_string(stream.exchange) + "/1";
    tokens.index = stream.next_token++;
    tokens.tokens.emplace_back(" tok");
    Step(std::move(tokens));
    open_streams_.push_back(stream);
  }

  void FinishStream() {
    const Stream stream = open_streams_.front();
    open_streams_.pop_front();
    Step(AttemptCompleted{stream.exchange, 1, "stop", 1000, ""});
  }

  void AdvanceTime(Duration by) {
    now_ += by;
    Step(Tick{});
  }

  size_t open_exchanges() const { return core_.open_exchanges(); }

 private:
  struct Stream {
    ExchangeId exchange = 0;
    int next_token = 0;
  };

  static ServingCoreOptions Options() {
    ServingCoreOptions options;
    options.region = "r";
    return options;
  }

  void Step(const ServingEvent& event) {
    actions_.clear();
    core_.Step(event, now_, &actions_);
  }

  ServingCore core_;
  std::vector<ServingAction> actions_;
  std::deque<Stream> open_streams_;
  TimePoint now_ = TimePointFromMicros(1000000);
  ExchangeId last_exchange_ = 0;
  uint64_t model_count_ = 1;
};

void SetFleetSizes(benchmark::internal::Benchmark* bench) {
  for (const int targets : {12, 800, 12000}) {
    for (const int streams : {10, 1000, 10000}) {
      bench->Args({targets, streams});
    }
  }
}

// Processes one token event of a stream.
void BenchmarkToken(benchmark::State& state) {
  ServingCoreWithStreams streams(static_cast<int>(state.range(0)),
                                 static_cast<int>(state.range(1)),
                                 2 * static_cast<int>(state.range(1)));
  for (auto _ : state) {
    streams.DeliverToken();
  }
}
BENCHMARK(BenchmarkToken)->Apply(SetFleetSizes);

// Processes one request with a single token: arrival with a prompt of 4 KiB,
// choice of a target, first token and end.
void BenchmarkRequest(benchmark::State& state) {
  ServingCoreWithStreams streams(static_cast<int>(state.range(0)),
                                 static_cast<int>(state.range(1)),
                                 2 * static_cast<int>(state.range(1)));
  for (auto _ : state) {
    streams.OpenStream();
    streams.DeliverToken();
    streams.FinishStream();
  }
}
BENCHMARK(BenchmarkRequest)->Apply(SetFleetSizes);

// Processes one tick in which no timer is due. A tick occurs every 100 ms.
void BenchmarkIdleTick(benchmark::State& state) {
  ServingCoreWithStreams streams(800, static_cast<int>(state.range(0)),
                                 2 * static_cast<int>(state.range(0)));
  for (auto _ : state) {
    streams.AdvanceTime(Duration(0));
  }
}
BENCHMARK(BenchmarkIdleTick)->Arg(10)->Arg(1000)->Arg(10000);

// Reports the heap bytes per open stream after range(0) delivered tokens.
void BenchmarkBytesPerStream(benchmark::State& state) {
  constexpr int kStreams = 10000;
  for (auto _ : state) {
    ServingCoreWithStreams streams(12, 0, 2 * kStreams);
    const size_t before = mallinfo2().uordblks;
    for (int i = 0; i < kStreams; ++i) {
      streams.OpenStream();
    }
    for (int64_t i = 0; i < kStreams * state.range(0); ++i) {
      streams.DeliverToken();
    }
    if (streams.open_exchanges() != kStreams) {
      state.SkipWithError(
          "some streams were refused, expected all 10000 to open");
      break;
    }
    state.counters["bytes"] =
        static_cast<double>(mallinfo2().uordblks - before) / kStreams;
  }
}
BENCHMARK(BenchmarkBytesPerStream)->Arg(1)->Arg(64)->Arg(256)->Iterations(1);

}  // namespace
}  // namespace endiveyard

BENCHMARK_MAIN();
