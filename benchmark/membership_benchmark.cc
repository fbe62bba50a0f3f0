#include <benchmark/benchmark.h>

#include <fstream>
#include <future>
#include <map>

#include "endiveyard/membership/membership_state.h"
#include "endiveyard/peer/digest_codec.h"
#include "endiveyard/peer/peer_client.h"
#include "endiveyard/peer/peer_server.h"

namespace endiveyard {
namespace {

constexpr size_t kFailureDomains = 15;
constexpr int kTargetsOfLargestFleet = 12000;

// Bytes of one exchange besides the two encoded digests, as taken from the
// token bucket: RPC framing, TLS records and TCP headers.
constexpr double kExchangeOverheadBytes = 600;

// Membership states of all instances of a fleet. The number of targets is
// proportional to the number of instances: 12,000 for 370 instances.
struct Fleet {
  explicit Fleet(size_t count) : states(count) {
    const size_t domains = count <= 8 ? 1 : kFailureDomains;
    std::vector<PeerInfo> infos;
    for (size_t i = 0; i < count; ++i) {
      MembershipOptions it;
      it.instance = "instance-" + std::to_string(i);
      it.failure_domain = "domain-" + std::to_string(i % domains);
      it.seed = i;
      index_of_instance[it.instance] = i;
      infos.push_back({it.instance, "10.0.0.1:7000", it.failure_domain});
      options.push_back(it);
    }
    const size_t targets = kTargetsOfLargestFleet * count / 370 / domains;
    std::vector<std::string> names;
    for (size_t i = 0; i < targets; ++i) {
      names.push_back("replica-" + std::to_string(i));
    }
    for (size_t i = 0; i < count; ++i) {
      ApplyPeerList(options[i], infos, &states[i]);
      SetDomainTargets(names, &states[i]);
    }
  }

  // Simulates one second: every instance records the loads of its share of the
  // targets and exchanges digests. An edit of 300 bytes is made every 9 s,
  // which corresponds to about 9,900 edits a day.
  void RunRound() {
    ++round;
    const TimePoint now = TimePointFromMicros(round * 1'000'000);
    if (round % 9 == 0) {
      ++newest_version;
      for (size_t i = 0; i < std::min<size_t>(states.size(), 30); ++i) {
        versions[i] = newest_version;
      }
    }
    for (size_t i = 0; i < states.size(); ++i) {
      const auto& targets = states[i].domain_targets;
      for (size_t j = i / kFailureDomains; j < targets.size();
           j += states.size() / kFailureDomains + 1) {
        RecordTargetLoad(targets[j], 5000, 20, now, &states[i]);
      }
      for (const PeerInfo& it :
           StartExchangeRound(options[i], now, &states[i])) {
        const size_t j = index_of_instance.at(it.instance);
        SendDigest(i, j, now);
        SendDigest(j, i, now);
        bytes[i] += kExchangeOverheadBytes;
        bytes[j] += kExchangeOverheadBytes;
      }
    }
  }

  void SendDigest(size_t i, size_t j, TimePoint now) {
    ConfigurationSource source;
    source.version = versions[i];
    source.edits_after = [&](uint64_t version, size_t limit) {
      std::vector<DigestEdit> edits;
      while (version < versions[i] && edits.size() < limit) {
        edits.push_back({++version, "edit", "ana", std::string(300, 'x')});
      }
      return edits;
    };
    last_digest =
        BuildDigest(options[i], options[j].instance, source, now, &states[i]);
    const auto size = static_cast<double>(EncodeDigest(last_digest).size());
    bytes[i] += size;
    bytes[j] += size;
    ApplyDigest(options[j], last_digest, now, &states[j]);
    if (!last_digest.edits.empty()) {
      versions[j] = std::max(versions[j], last_digest.edits.back().version);
    }
  }

  int64_t round = 0;
  uint64_t newest_version = 0;
  std::vector<MembershipOptions> options;
  std::vector<MembershipState> states;
  std::map<std::string, size_t> index_of_instance;
  std::map<size_t, uint64_t> versions;
  std::map<size_t, double> bytes;
  PeerDigest last_digest;
};

// Reports the bytes per second that an instance sends and receives, over 30
// rounds.
void BenchmarkBytesPerSecond(benchmark::State& state) {
  constexpr int kRounds = 30;
  double mean_bytes = 0;
  double max_bytes = 0;
  for (auto it : state) {
    Fleet fleet(static_cast<size_t>(state.range(0)));
    for (int i = 0; i < kRounds; ++i) {
      fleet.RunRound();
    }
    fleet.bytes.clear();
    for (int i = 0; i < kRounds; ++i) {
      fleet.RunRound();
    }
    mean_bytes = 0;
    max_bytes = 0;
    for (const auto& [instance, bytes] : fleet.bytes) {
      mean_bytes += bytes / kRounds / static_cast<double>(fleet.states.size());
      max_bytes = std::max(max_bytes, bytes / kRounds);
    }
  }
  state.counters["mean_bytes_per_s"] = mean_bytes;
  state.counters["most_bytes_per_s"] = max_bytes;
}

PeerDigest TypicalDigest(size_t count) {
  Fleet fleet(count);
  for (int i = 0; i < 10; ++i) {
    fleet.RunRound();
  }
  const TimePoint now = TimePointFromMicros(11'000'000);
  StartExchangeRound(fleet.options[0], now, &fleet.states[0]);
  // Only a digest for a peer in the same failure domain carries loads.
  const std::string peer =
      fleet.options[count <= 8 ? 1 : kFailureDomains].instance;
  return BuildDigest(fleet.options[0], peer, {}, now, &fleet.states[0]);
}

void BenchmarkEncodeDigest(benchmark::State& state) {
  const PeerDigest digest = TypicalDigest(static_cast<size_t>(state.range(0)));
  for (auto it : state) {
    benchmark::DoNotOptimize(EncodeDigest(digest));
  }
  state.counters["bytes"] = static_cast<double>(EncodeDigest(digest).size());
  state.counters["loads"] = static_cast<double>(digest.loads.size());
}

void BenchmarkDecodeDigest(benchmark::State& state) {
  const std::string bytes =
      EncodeDigest(TypicalDigest(static_cast<size_t>(state.range(0))));
  for (auto it : state) {
    benchmark::DoNotOptimize(DecodeDigest(bytes));
  }
}

// Work of one instance in one second: choosing peers, and building and applying
// six digests.
void BenchmarkRound(benchmark::State& state) {
  const auto count = static_cast<size_t>(state.range(0));
  Fleet fleet(count);
  for (int i = 0; i < 10; ++i) {
    fleet.RunRound();
  }
  for (auto it : state) {
    fleet.RunRound();
  }
  // A round runs all instances, so divide by their number.
  state.counters["s_per_instance"] =
      benchmark::Counter(static_cast<double>(count),
                         benchmark::Counter::kIsIterationInvariantRate |
                             benchmark::Counter::kInvert);
}

// Returns the bytes that this process has written, including to sockets.
double WrittenBytes() {
  std::ifstream file("/proc/self/io");
  std::string name;
  double value = 0;
  while (file >> name >> value) {
    if (name == "wchar:") {
      return value;
    }
  }
  return 0;
}

// Exchanges over one persistent connection without TLS on loopback.
// `overhead_bytes` counts the bytes per exchange that client and server wrote
// besides the two digests, without TCP headers and TLS records.
void BenchmarkPlainExchange(benchmark::State& state) {
  PeerDigest digest = TypicalDigest(static_cast<size_t>(state.range(0)));
  PeerServer server(
      {"127.0.0.1:0", {}},
      [&digest](const PeerDigest&, const PeerServer::Reply& reply) {
        reply(digest);
      });
  PeerClient client({});
  if (!server.Start().ok() || !client.Start().ok()) {
    state.SkipWithError("peer server or peer client failed to start");
    return;
  }
  const std::string address = "127.0.0.1:" + std::to_string(server.port());
  double written = 0;
  for (auto it : state) {
    if (written == 0) {
      written = -WrittenBytes();
    }
    std::promise<bool> promise;
    client.Exchange(digest.sender, address, digest,
                    [&promise](const absl::StatusOr<PeerDigest>& answer) {
                      promise.set_value(answer.ok());
                    });
    if (!promise.get_future().get()) {
      state.SkipWithError("digest exchange failed");
      break;
    }
  }
  written += WrittenBytes();
  state.counters["overhead_bytes"] =
      written / static_cast<double>(state.iterations()) -
      2 * static_cast<double>(EncodeDigest(digest).size());
}

BENCHMARK(BenchmarkPlainExchange)->Arg(370)->Iterations(2000)->UseRealTime();
BENCHMARK(BenchmarkEncodeDigest)->Arg(8)->Arg(32)->Arg(128)->Arg(370);
BENCHMARK(BenchmarkDecodeDigest)->Arg(8)->Arg(32)->Arg(128)->Arg(370);
BENCHMARK(BenchmarkRound)
    ->Arg(8)
    ->Arg(32)
    ->Arg(128)
    ->Arg(370)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(BenchmarkBytesPerSecond)
    ->Arg(8)
    ->Arg(32)
    ->Arg(128)
    ->Arg(370)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace endiveyard

BENCHMARK_MAIN();
