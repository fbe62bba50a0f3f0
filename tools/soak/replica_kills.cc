#include "soak/replica_kills.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

#include "soak/http_peer.h"
#include "soak/registry_standin.h"
#include "soak/run_ledger.h"
#include "soak/soak_configuration.h"

namespace endiveyard::soak {
namespace {

constexpr int kTimeoutMs = 4000;
constexpr int kMaxAttempts = 2;
constexpr int64_t kHeartbeatMs = 1200;  // as in the settings of the processes

struct Outcomes {
  int whole = 0;
  int broken_off = 0;        // without the end of the response
  int failed = 0;            // answered with another status than 200
  int wrongly_complete = 0;  // ended as complete, with pieces missing or wrong
};

std::string RequestBytes(const std::string& id, const std::string& target) {
  std::string bytes = "POST " + target + " HTTP/1.1\r\nHost: " + kHost;
  bytes += "\r\nEndiveyard-Request-Id: " + id;
  bytes += "\r\nEndiveyard-Deadline-Ms: " + std::to_string(kTimeoutMs);
  if (IsStream(KindOf(target))) {
    bytes +=
        "\r\nEndiveyard-Model: m\r\nEndiveyard-Token-Count: 200,40\r\n"
        "Endiveyard-Prompt-Prefix: " +
        id + ":200";
  }
  return bytes + "\r\nContent-Length: 0\r\n\r\n";
}

class ReplicaKillSoak {
 public:
  explicit ReplicaKillSoak(const ReplicaKillOptions& options)
      : options_(options),
        network_(NetworkOf(getpid())),
        registry_(network_ + "1", 1) {}

  std::vector<std::string> Run(std::string* summary);

 private:
  // Starts the replica with this number under a new id.
  void StartReplica(size_t number);
  // Starts it again under its id and address.
  void RestartReplica(size_t number, std::mt19937_64* random);
  ReplicaProcess::Options OptionsOf(size_t number) const;
  void KillReplicas();
  void RunClient(int number);
  void Record(const std::string& id,
              const std::string& target,
              const HttpMessage& answer);
  bool Ended() const { return NowMs() >= end_ms_; }

  const ReplicaKillOptions options_;
  const std::string network_;
  RegistryStandin registry_;
  std::vector<std::unique_ptr<ReplicaProcess>> replicas_;
  std::vector<std::unique_ptr<FrontProcess>> fronts_;
  int64_t end_ms_ = 0;
  int incarnations_ = 0;
  int kills_ = 0;
  std::mutex mutex_;
  std::map<std::string, Outcomes> outcomes_;  // by route
  std::vector<std::string> violations_;
};

ReplicaProcess::Options ReplicaKillSoak::OptionsOf(size_t number) const {
  constexpr size_t kFirstHost = 10;
  ReplicaProcess::Options options;
  options.ip = network_ + std::to_string(kFirstHost + number);
  options.is_engine = number < static_cast<size_t>(options_.replicas + 1) / 2;
  options.service = options.is_engine ? "chat" : "orders";
  options.framing = options_.framing;
  options.started_unix_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  return options;
}

void ReplicaKillSoak::StartReplica(size_t number) {
  ReplicaProcess::Options options = OptionsOf(number);
  options.id =
      "i-" + std::to_string(number) + "-" + std::to_string(++incarnations_);
  replicas_[number] = std::make_unique<ReplicaProcess>(options);
  replicas_[number]->Start();
  registry_.Put("servers", options.id, replicas_[number]->Spec());
}

void ReplicaKillSoak::RestartReplica(size_t number, std::mt19937_64* random) {
  constexpr int64_t kMinDownMs = 10;
  constexpr int64_t kMaxDownMs = 300;
  std::uniform_int_distribution<int64_t> down_ms(kMinDownMs, kMaxDownMs);
  std::uniform_int_distribution<int64_t> unregistered_ms(0, kHeartbeatMs);
  SleepMs(down_ms(*random));
  ReplicaProcess::Options options = OptionsOf(number);
  options.id = replicas_[number]->id();
  options.port = replicas_[number]->port();
  replicas_[number] = std::make_unique<ReplicaProcess>(options);
  replicas_[number]->Start();
  SleepMs(unregistered_ms(*random));
  registry_.Put("servers", options.id, replicas_[number]->Spec());
}

void ReplicaKillSoak::KillReplicas() {
  // A dead replica stays registered until its heartbeats are missed.
  constexpr int64_t kLapseMs = 300;
  std::mt19937_64 random(options_.seed);
  while (!Ended()) {
    SleepMs(std::min<int64_t>(options_.kill_every_ms, end_ms_ - NowMs()));
    const size_t number = random() % replicas_.size();
    const std::string id = replicas_[number]->id();
    replicas_[number]->Kill();
    ++kills_;
    if (options_.keeps_id) {
      RestartReplica(number, &random);
      continue;
    }
    SleepMs(kLapseMs);
    registry_.Delete("servers", id);
    StartReplica(number);
  }
}

void ReplicaKillSoak::Record(const std::string& id,
                             const std::string& target,
                             const HttpMessage& answer) {
  std::string expected;
  for (int n = 1; n <= kPiecesOfResponse; ++n) {
    expected += PieceOf(n, id);
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  Outcomes& outcomes = outcomes_[target.substr(1, target.find('/', 1) - 1)];
  std::string wrong;
  if (answer.headers.empty() || answer.Status() != 200) {
    ++outcomes.failed;
    wrong = answer.start_line;
  } else if (!answer.complete) {
    ++outcomes.broken_off;
    wrong = "broken off";
  } else if (answer.body == expected) {
    ++outcomes.whole;
    return;
  } else {
    ++outcomes.wrongly_complete;
    violations_.push_back(
        std::string(IsStream(KindOf(target)) ? "ORDER" : "MIXED") +
        ", ends as complete with " +
        std::to_string(LastEventOf(answer.body, 0)) + " of " +
        std::to_string(kPiecesOfResponse) + " pieces: " + target);
    return;
  }
  if (options_.kill_every_ms == 0) {
    violations_.push_back("LOST, not answered in full though no replica was " +
                          ("killed: " + target) + ", " + wrong);
  }
}

void ReplicaKillSoak::RunClient(int number) {
  std::seed_seq seed{options_.seed, static_cast<uint64_t>(number)};
  std::mt19937_64 random(seed);
  const char* const paths[] = {"/once/", "/chat/", "/lookup/", "/order/"};
  for (int count = 0; !Ended(); ++count) {
    const FrontProcess& front = *fronts_[random() % fronts_.size()];
    const auto peer = HttpPeer::Connect(front.ip(), front.port());
    const std::string id =
        "c" + std::to_string(number) + "-" + std::to_string(count);
    const std::string target = paths[random() % std::size(paths)] + id;
    if (!peer || !peer->Send(RequestBytes(id, target))) {
      continue;
    }
    constexpr int kSlackMs = 1500;
    Record(id, target, peer->Read(kTimeoutMs + kSlackMs));
  }
}

std::vector<std::string> ReplicaKillSoak::Run(std::string* summary) {
  constexpr int kVersion = 7;
  replicas_.resize(static_cast<size_t>(options_.replicas));
  for (size_t n = 0; n < replicas_.size(); ++n) {
    StartReplica(n);
  }
  registry_.Put(
      "config", "main",
      ConfigurationSpec(kVersion, kTimeoutMs, kMaxAttempts, kMaxAttempts));
  fronts_ = StartFrontProcesses(options_.binary, options_.folder, network_,
                                options_.fronts, registry_, 1);
  end_ms_ = NowMs() + int64_t{1000} * options_.seconds;
  std::vector<std::thread> clients;
  clients.reserve(static_cast<size_t>(options_.clients));
  for (int n = 0; n < options_.clients; ++n) {
    clients.emplace_back([this, n] { RunClient(n); });
  }
  if (options_.kill_every_ms > 0) {
    KillReplicas();
  }
  for (std::thread& it : clients) {
    it.join();
  }
  *summary = std::to_string(kills_) + " kills";
  for (const auto& [route, it] : outcomes_) {
    *summary += "; " + route + ": whole " + std::to_string(it.whole) +
                ", broken off " + std::to_string(it.broken_off) + ", failed " +
                std::to_string(it.failed) + ", wrongly complete " +
                std::to_string(it.wrongly_complete);
  }
  return violations_;
}

}  // namespace

std::vector<std::string> RunReplicaKills(const ReplicaKillOptions& options,
                                         std::string* summary) {
  // Connections use threads that outlive Run(); the program ends without
  // waiting for them.
  auto* run = new ReplicaKillSoak(options);
  return run->Run(summary);
}

}  // namespace endiveyard::soak
