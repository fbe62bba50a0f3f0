// Compares routing policies on seeded workloads, and the time to import a KV
// cache with the time to recompute it. An engine is modelled as one FIFO
// prefill queue with an LRU prefix cache; decoding only keeps a sequence
// running.
//
// Usage: routing_policy_experiment [seed] [engines]
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <list>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "endiveyard/base/digest.h"
#include "endiveyard/routing/target_router.h"

namespace endiveyard {
namespace {

constexpr int kFailureDomains = 3;
constexpr int kRouterCount = 8;
constexpr double kPrefillRate = 8000;  // tokens/s of one engine
constexpr double kOutputSeconds = 5;   // 200 tokens at 25 ms
constexpr double kSequenceDelay = 0.0003;
constexpr size_t kEngineCacheBlocks = 2000;  // 512,000 tokens
constexpr int kTokensPerBlock = kPromptBlockBytes / kBytesPerToken;
constexpr double kDuration = 60;
constexpr double kWarmUpTime = 15;
constexpr double kReportInterval = 0.25;
// time at which a failure domain is lost
constexpr double kDomainLossTime = 30;
// until the platform's list shows the loss
constexpr double kListDelayAfterLoss = 2;
constexpr double kConnectFailureDelay = 0.05;

// Number of engines. Must be a multiple of kFailureDomains.
int engine_count = 48;

TimePoint At(double seconds) {
  return TimePointFromMicros(static_cast<int64_t>((seconds + 1000) * 1e6));
}

Duration ToDuration(double seconds) {
  return Duration(static_cast<int64_t>(seconds * 1e6));
}

std::string EngineId(int engine) {
  return "engine-" + std::to_string(engine);
}

struct Workload {
  const char* name;
  int prefixes;        // distinct shared prefixes
  double zipf;         // exponent of the Zipf distribution of their popularity
  int prefix_blocks;   // blocks of a shared prefix
  int unique_blocks;   // blocks after the prefix that no other request has
  double utilisation;  // of all engines without any cache hits
  bool varied;         // unique blocks are exponentially distributed
};

constexpr Workload kWorkloads[] = {
    {"no sharing", 1, 0, 0, 16, 0.7, false},
    {"varied lengths", 1, 0, 0, 16, 0.7, true},
    {"few hot prefixes", 40, 1.2, 16, 2, 1.5, false},
    {"one prefix", 1, 0, 16, 2, 6.0, false},
    {"many prefixes", 4000, 0.6, 16, 2, 1.5, false},
    {"long catalogues", 300, 0.9, 100, 4, 2.0, false},
};

// Prefill queue and prefix cache of one engine.
struct Engine {
  double busy_until = 0;
  int running = 0;
  bool alive = true;
  std::list<uint64_t> lru;  // newest first
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> cache;
  uint64_t next_event = 1;
  std::vector<uint64_t> stored;  // since the last report
  std::vector<uint64_t> evicted;

  // Returns the number of leading blocks found in the cache, and caches all
  // blocks of the prompt.
  int RunPrefill(const std::vector<uint64_t>& blocks) {
    size_t hit_blocks = 0;
    while (hit_blocks < blocks.size() && cache.count(blocks[hit_blocks]) > 0) {
      ++hit_blocks;
    }
    for (size_t i = blocks.size(); i > 0; --i) {
      const uint64_t block = blocks[i - 1];
      const auto it = cache.find(block);
      if (it != cache.end()) {
        lru.splice(lru.begin(), lru, it->second);
        continue;
      }
      lru.push_front(block);
      cache[block] = lru.begin();
      stored.push_back(block);
    }
    while (cache.size() > kEngineCacheBlocks) {
      evicted.push_back(lru.back());
      cache.erase(lru.back());
      lru.pop_back();
    }
    return static_cast<int>(hit_blocks);
  }
};

struct Report {
  double taken_at;
  std::vector<bool> alive;  // engines that are lost report nothing
  std::vector<int64_t> queued;
  std::vector<int> running;
  std::vector<uint64_t> first_event;
  std::vector<std::vector<uint64_t>> stored;
  std::vector<std::vector<uint64_t>> evicted;
};

// Routing policy with the state of all routers. Choose() returns an engine that
// is not in `excluded`.
class Policy {
 public:
  Policy() = default;
  Policy(const Policy&) = delete;
  Policy& operator=(const Policy&) = delete;
  virtual ~Policy() = default;
  virtual int Choose(int router,
                     const RouteRequest& request,
                     const std::vector<bool>& excluded,
                     double now) = 0;
  virtual void OnReport(const Report& /*report*/,
                        const std::vector<bool>& /*listed*/,
                        double /*now*/) {}
  virtual void OnStarted(int /*router*/,
                         int /*engine*/,
                         const RouteRequest& /*request*/,
                         double /*now*/) {}
  virtual void OnFirstToken(int /*router*/,
                            int /*engine*/,
                            const RouteRequest& /*request*/,
                            double /*seconds*/,
                            double /*now*/) {}
  virtual void OnFinished(int /*router*/,
                          int /*engine*/,
                          const RouteRequest& /*request*/,
                          double /*now*/) {}
  virtual void OnLost(int /*router*/, int /*engine*/, double /*now*/) {}
};

class RoundRobin : public Policy {
 public:
  int Choose(int router,
             const RouteRequest& /*request*/,
             const std::vector<bool>& excluded,
             double /*now*/) override {
    do {
      next_[router] = (next_[router] + 1) % engine_count;
    } while (excluded[next_[router]]);
    return next_[router];
  }

 private:
  std::vector<int> next_ = std::vector<int>(kRouterCount);
};

// Chooses the engine with the shortest reported queue; breaks ties at random.
class LeastLoaded : public Policy {
 public:
  explicit LeastLoaded(uint64_t seed) : random_(seed) {}
  int Choose(int /*router*/,
             const RouteRequest& /*request*/,
             const std::vector<bool>& excluded,
             double /*now*/) override {
    int best = -1;
    const int first = static_cast<int>(random_() % engine_count);
    for (int i = 0; i < engine_count; ++i) {
      const int engine = (first + i) % engine_count;
      if (!excluded[engine] && (best < 0 || queued_[engine] < queued_[best])) {
        best = engine;
      }
    }
    return best;
  }
  void OnReport(const Report& report,
                const std::vector<bool>& /*listed*/,
                double /*now*/) override {
    queued_ = report.queued;
  }

 private:
  std::mt19937_64 random_;
  std::vector<int64_t> queued_ = std::vector<int64_t>(engine_count);
};

// Chooses an engine by rendezvous hashing of the first block.
class HashAffinity : public Policy {
 public:
  int Choose(int /*router*/,
             const RouteRequest& request,
             const std::vector<bool>& excluded,
             double /*now*/) override {
    int best = -1;
    uint64_t best_weight = 0;
    for (int i = 0; i < engine_count; ++i) {
      const uint64_t weight = CombineDigests(request.prompt_blocks[0], i);
      if (!excluded[i] && (best < 0 || weight > best_weight)) {
        best = i;
        best_weight = weight;
      }
    }
    return best;
  }
};

// Routes with TargetRouter, the router that endiveyard uses.
class TargetRouterPolicy : public Policy {
 public:
  TargetRouterPolicy(uint64_t seed, Duration lag) {
    for (int i = 0; i < kRouterCount; ++i) {
      TargetRouterOptions options;
      options.region = "r";
      options.failure_domain = "none";
      options.seed = seed + i;
      options.prefill_tokens_per_second = kPrefillRate;
      options.expected_report_lag = lag;
      routers_.push_back(std::make_unique<TargetRouter>(options));
    }
    ApplyTargetList(std::vector<bool>(engine_count, true), 0);
  }
  int Choose(int router,
             const RouteRequest& request,
             const std::vector<bool>& excluded,
             double now) override {
    RouteRequest copy = request;
    for (int i = 0; i < engine_count; ++i) {
      if (excluded[i]) {
        copy.excluded_targets.push_back(EngineId(i));
      }
    }
    const RouteDecision decision = routers_[router]->Choose(copy, At(now));
    return decision.found ? std::atoi(decision.chosen.target.c_str() + 7) : -1;
  }
  void OnReport(const Report& report,
                const std::vector<bool>& listed,
                double now) override {
    ApplyTargetList(listed, now);
    ++sequence_;
    for (int i = 0; i < engine_count; ++i) {
      TargetLoad load;
      load.model = "m";
      load.queued_prefill_tokens = report.queued[i];
      load.running_sequences = report.running[i];
      load.sequence = sequence_;
      for (auto& it : routers_) {
        if (listed[i] && report.alive[i]) {
          it->ApplyLoad(EngineId(i), load, At(now));
          it->ApplyCacheEvents(EngineId(i), report.first_event[i],
                               report.stored[i], report.evicted[i]);
        }
      }
    }
  }
  void OnStarted(int router,
                 int engine,
                 const RouteRequest& request,
                 double now) override {
    routers_[router]->RecordAttemptStart(EngineId(engine), request, At(now));
  }
  void OnFirstToken(int router,
                    int engine,
                    const RouteRequest& request,
                    double seconds,
                    double now) override {
    routers_[router]->RecordFirstToken(EngineId(engine), request,
                                       ToDuration(seconds), At(now));
  }
  void OnFinished(int router,
                  int engine,
                  const RouteRequest& request,
                  double now) override {
    routers_[router]->RecordAttemptEnd(EngineId(engine), request, Duration(-1),
                                       At(now));
  }
  void OnLost(int router, int engine, double now) override {
    routers_[router]->MarkLost(EngineId(engine), At(now + 10));
  }

 private:
  void ApplyTargetList(const std::vector<bool>& listed, double now) {
    std::vector<TargetInfo> targets;
    for (int i = 0; i < engine_count; ++i) {
      if (listed[i]) {
        TargetInfo info;
        info.id = EngineId(i);
        info.house = "h";
        info.service = "s";
        info.region = "r";
        info.failure_domain = std::to_string(i % kFailureDomains);
        targets.push_back(info);
      }
    }
    for (auto& it : routers_) {
      it->ApplyTargetList(targets, At(now));
    }
  }

  std::vector<std::unique_ptr<TargetRouter>> routers_;
  uint64_t sequence_ = 0;
};

struct Result {
  double hit_share = 0;
  // seconds by which the longest queue exceeds the mean
  double imbalance_p95 = 0;
  double first_token_p50 = 0;
  double first_token_p95 = 0;
};

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  const auto n = static_cast<size_t>(share * (values.size() - 1));
  std::nth_element(values.begin(), values.begin() + n, values.end());
  return values[n];
}

struct RunningRequest {
  double at;
  bool finished;  // next event: end of the request, or else its first token
  int router;
  int engine;
  double seconds;  // to the first token
  std::shared_ptr<RouteRequest> request;
  bool operator>(const RunningRequest& other) const { return at > other.at; }
};

// Simulates one policy on one workload. Requests arrive as a Poisson process;
// requests whose engine is lost are counted only up to the loss.
Result RunSimulation(const Workload& load,
                     Policy& policy,
                     double lag,
                     bool domain_is_lost,
                     uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<double> popularity;
  popularity.reserve(load.prefixes);
  for (int i = 0; i < load.prefixes; ++i) {
    popularity.push_back(1 / std::pow(i + 1, load.zipf));
  }
  std::discrete_distribution<int> prefix_of(popularity.begin(),
                                            popularity.end());
  const int mean_blocks = load.prefix_blocks + load.unique_blocks;
  const double rate = load.utilisation * engine_count * kPrefillRate /
                      (mean_blocks * kTokensPerBlock);
  std::exponential_distribution<double> inter_arrival_time(rate);
  std::exponential_distribution<double> unique_length(1.0 / load.unique_blocks);
  std::vector<Engine> engines(engine_count);
  std::vector<bool> listed(engine_count, true);
  std::vector<std::vector<bool>> failed_engines(
      kRouterCount, std::vector<bool>(engine_count));
  std::deque<Report> reports;
  std::priority_queue<RunningRequest, std::vector<RunningRequest>,
                      std::greater<>>
      running;
  std::vector<double> first_tokens;
  std::vector<double> imbalance;
  int64_t hit_blocks = 0;
  int64_t total_blocks = 0;
  uint64_t unique = 0;
  double next_report = 0;
  double now = 0;
  const double measure_start = domain_is_lost ? kDomainLossTime : kWarmUpTime;
  const double measure_end = domain_is_lost ? kDomainLossTime + 15 : kDuration;
  while ((now += inter_arrival_time(random)) < measure_end) {
    if (domain_is_lost && now >= kDomainLossTime) {
      for (int i = 0; i < engine_count; i += kFailureDomains) {
        engines[i].alive = false;
        listed[i] = now < kDomainLossTime + kListDelayAfterLoss;
      }
    }
    // Processes due reports, then due first tokens and ends in order of time.
    while (next_report <= now) {
      Report report;
      report.taken_at = next_report;
      double longest = 0;
      double sum = 0;
      int alive = 0;
      for (Engine& it : engines) {
        const double backlog = std::max(0.0, it.busy_until - next_report);
        report.alive.push_back(it.alive);
        report.queued.push_back(static_cast<int64_t>(backlog * kPrefillRate));
        report.running.push_back(it.running);
        report.first_event.push_back(it.next_event);
        it.next_event += it.stored.size() + it.evicted.size();
        report.stored.push_back(std::exchange(it.stored, {}));
        report.evicted.push_back(std::exchange(it.evicted, {}));
        if (it.alive) {
          longest = std::max(longest, backlog);
          sum += backlog;
          ++alive;
        }
      }
      if (next_report >= measure_start) {
        imbalance.push_back(longest - sum / alive);
      }
      reports.push_back(std::move(report));
      next_report += kReportInterval;
    }
    while (!reports.empty() && reports.front().taken_at + lag <= now) {
      policy.OnReport(reports.front(), listed, now);
      reports.pop_front();
    }
    while (!running.empty() && running.top().at <= now) {
      RunningRequest it = running.top();
      running.pop();
      if (!engines[it.engine].alive) {
        policy.OnFinished(it.router, it.engine, *it.request, it.at);
      } else if (it.finished) {
        --engines[it.engine].running;
        policy.OnFinished(it.router, it.engine, *it.request, it.at);
      } else {
        policy.OnFirstToken(it.router, it.engine, *it.request, it.seconds,
                            it.at);
        it.finished = true;
        it.at += kOutputSeconds;
        running.push(it);
      }
    }
    const int unique_blocks = load.varied
                                  ? 1 + static_cast<int>(unique_length(random))
                                  : load.unique_blocks;
    const int blocks = load.prefix_blocks + unique_blocks;
    auto request = std::make_shared<RouteRequest>();
    request->house = "h";
    request->service = "s";
    request->model = "m";
    request->prompt_tokens = blocks * kTokensPerBlock;
    request->deadline = At(now + 60);
    const uint64_t prefix = prefix_of(random);
    for (int i = 0; i < load.prefix_blocks; ++i) {
      request->prompt_blocks.push_back(CombineDigests(prefix, i));
    }
    for (int i = 0; i < unique_blocks; ++i) {
      request->prompt_blocks.push_back(CombineDigests(~unique++, 1));
    }
    const int router = static_cast<int>(random() % kRouterCount);
    double delay = 0;
    int engine = policy.Choose(router, *request, failed_engines[router], now);
    while (!engines[engine].alive) {
      failed_engines[router][engine] = true;
      policy.OnLost(router, engine, now);
      delay += kConnectFailureDelay;
      engine = policy.Choose(router, *request, failed_engines[router], now);
    }
    policy.OnStarted(router, engine, *request, now);
    Engine& target = engines[engine];
    const int cached_blocks = target.RunPrefill(request->prompt_blocks);
    const double start = std::max(now + delay, target.busy_until);
    target.busy_until =
        start + (blocks - cached_blocks) * kTokensPerBlock / kPrefillRate;
    const double seconds =
        target.busy_until - now + target.running * kSequenceDelay;
    ++target.running;
    running.push({now + seconds, false, router, engine, seconds, request});
    if (now >= measure_start) {
      first_tokens.push_back(seconds);
      hit_blocks += cached_blocks;
      total_blocks += blocks;
    }
  }
  Result result;
  result.hit_share =
      static_cast<double>(hit_blocks) / static_cast<double>(total_blocks);
  result.imbalance_p95 = Percentile(imbalance, 0.95);
  result.first_token_p50 = Percentile(first_tokens, 0.5);
  result.first_token_p95 = Percentile(first_tokens, 0.95);
  return result;
}

void ComparePolicies(uint64_t seed) {
  const char* names[] = {"round robin", "least loaded", "hash affinity",
                         "chosen"};
  std::printf("%-17s %4s %-5s %-14s %6s %10s %8s %8s\n", "workload", "lag",
              "loss", "policy", "hit %", "imbal. p95", "p50 s", "p95 s");
  for (const Workload& load : kWorkloads) {
    for (const auto& [lag, lose] :
         {std::pair(0.0, false), {0.5, false}, {2.0, false}, {0.5, true}}) {
      for (int i = 0; i < 4; ++i) {
        std::unique_ptr<Policy> policy;
        switch (i) {
          case 0:
            policy = std::make_unique<RoundRobin>();
            break;
          case 1:
            policy = std::make_unique<LeastLoaded>(seed);
            break;
          case 2:
            policy = std::make_unique<HashAffinity>();
            break;
          default:
            policy =
                std::make_unique<TargetRouterPolicy>(seed, ToDuration(lag));
        }
        const Result result = RunSimulation(load, *policy, lag, lose, seed);
        std::printf("%-17s %4.1f %-5s %-14s %6.1f %10.3f %8.3f %8.3f\n",
                    load.name, lag, lose ? "yes" : "no", names[i],
                    100 * result.hit_share, result.imbalance_p95,
                    result.first_token_p50, result.first_token_p95);
      }
    }
  }
}

// Compares importing a KV cache from another engine with recomputing it on an
// idle engine.
void CompareImport() {
  // 8 B model, 16-bit, grouped-query attention
  constexpr double kBytesPerToken = 131072;
  constexpr double kSetupSeconds = 0.005;
  const struct {
    const char* name;
    double bytes_per_second;
    double one_way_seconds;
  } links[] = {{"100 Gb/s, same domain", 12.5e9, 0.0001},
               {"25 Gb/s, other domain", 3.125e9, 0.001},
               {"10 Gb/s, other region", 1.25e9, 0.012},
               {"1 Gb/s share of it", 0.125e9, 0.012}};
  std::printf(
      "\nKV cache of %.0f KiB per token, recomputed at %.0f tokens/s or "
      "imported (ms)\n%-24s",
      kBytesPerToken / 1024, kPrefillRate, "prefix tokens");
  constexpr int kLengths[] = {256, 1024, 4096, 16384, 65536};
  for (int it : kLengths) {
    std::printf(" %9d", it);
  }
  std::printf(" %12s\n%-24s", "worth from", "recompute");
  for (int it : kLengths) {
    std::printf(" %9.1f", 1000 * it / kPrefillRate);
  }
  std::printf("\n");
  for (const auto& link : links) {
    std::printf("%-24s", link.name);
    const double fixed = kSetupSeconds + 2 * link.one_way_seconds;
    const double per_token = kBytesPerToken / link.bytes_per_second;
    for (int it : kLengths) {
      std::printf(" %9.1f", 1000 * (fixed + it * per_token));
    }
    const double gain = 1 / kPrefillRate - per_token;
    if (gain > 0) {
      std::printf(" %12.0f\n", fixed / gain);
    } else {
      std::printf(" %12s\n", "never");
    }
  }
}

}  // namespace
}  // namespace endiveyard

int main(int argc, char** argv) {
  const uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  if (argc > 2) {
    endiveyard::engine_count = std::atoi(argv[2]);
  }
  endiveyard::ComparePolicies(seed);
  endiveyard::CompareImport();
  return 0;
}
