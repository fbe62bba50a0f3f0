#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <memory>
#include <mutex>
#include <numeric>
#include <random>
#include <set>
#include <thread>

#include <boost/program_options.hpp>

#include "soak/build_plan.h"
#include "soak/client_plan.h"
#include "soak/connection_crowd.h"
#include "soak/crash_ledger.h"
#include "soak/first_tries.h"
#include "soak/front_process.h"
#include "soak/http_peer.h"
#include "soak/registry_faults.h"
#include "soak/registry_standin.h"
#include "soak/replica_kills.h"
#include "soak/replica_process.h"
#include "soak/replica_standin.h"
#include "soak/run_ledger.h"
#include "soak/run_watch.h"
#include "soak/soak_configuration.h"

// Runs processes of endiveyard against stand-ins that misbehave, sends signals
// to the processes, and checks from outside what ran and what clients got.
namespace endiveyard::soak {
namespace {

// Faults begin once estimates of the service times exist.
constexpr int64_t kCalmMs = 2000;
constexpr int kGraceMs = 8000;

struct SoakOptions {
  std::string binary;
  std::string folder;
  uint64_t seed = 1;
  int seconds = 20;
  int fronts = 3;
  int plain_replicas = 8;
  int prefill_engines = 2;
  int decode_engines = 5;
  int clients = 24;
  int timeout_ms = 2000;  // of the routes and the clients
  int max_work_ms = 120;  // of a replica on one request, before its answer
  int max_attempts = 2;   // of the routes
  // Of the routes whose requests may run once at most.
  int once_attempts = 2;
  int max_idle_ms = 60000;  // of the connections of replicas
  int cores = 0;  // for all processes together; 0 for all of the machine
  ClientHabits habits;
  double fault_rate = 0.15;
  std::vector<ReplicaFault> faults;
  double pipeline_rate = 0;
  int max_pause_ms = 30;  // of a client between two requests
  // Share of the requests that are repeated with the same id, among those that
  // were refused as not run.
  double same_id_rate = 0.5;
  int max_change_ms = 1700;  // between two changes of replicas at most
  bool signals = true;
  // Processes of different groups cannot report to each other.
  int report_groups = 1;
  std::string event_ids = "one";
  // How processes lose their links to all replicas, one way after the other:
  // none if it is empty.
  std::vector<std::string> stranded;
  std::vector<RegistryFault> registry_faults;
  // Interval at which one process after the other is killed and started again,
  // instead of other signals; 0 for none.
  int kill_every_ms = 0;
  bool kill_all = false;  // all processes at once, instead
  // A second build; empty for none.
  std::string other_binary;
  BuildChange build_change = BuildChange::kDrawn;
};

// How a request ended, in words.
std::string EndOf(const ClientResult& result) {
  constexpr size_t kMaxReasonBytes = 80;
  std::string end = result.connection_ended ? "closed" : "timeout";
  if (result.status == 0) {
    return end;
  }
  return std::to_string(result.status) +
         (result.complete ? "" : " broken off, " + end) +
         (result.status == 200 ? ""
                               : " " + result.body.substr(0, kMaxReasonBytes));
}

struct ClientRequest {
  std::string id;
  std::string first_id;  // see ClientResult
  int begun_after = 0;
  std::string last_event_id = "0";
  std::string target;
  std::string prompt;  // header lines
  std::string body;
  int64_t sent_ms = 0;
  // When the first try was sent, from which the deadline of all tries counts;
  // 0 before.
  int64_t first_sent_ms = 0;
};

class Soak {
 public:
  explicit Soak(const SoakOptions& options)
      : options_(options),
        network_(NetworkOf(getpid())),
        builds_({options.binary, options.other_binary, options.build_change,
                 options.seed, static_cast<size_t>(options.fronts),
                 int64_t{1000} * options.seconds}),
        plan_(options.habits, options.seed),
        registry_(Ip(1), ViewCount()),
        first_tries_(options.folder + "/first-tries.txt") {}

  // Returns the violations.
  std::vector<std::string> Run();
  std::string summary() { return summary_; }

 private:
  struct Tries {
    int all = 0;
    int served = 0;
  };

  std::string Ip(int n) const { return network_ + std::to_string(n); }
  std::mt19937_64 RandomFor(uint64_t part) const {
    std::seed_seq seed{options_.seed, part};
    return std::mt19937_64(seed);
  }
  bool Plays(ReplicaFault fault) const {
    return std::count(options_.faults.begin(), options_.faults.end(), fault) >
           0;
  }
  // True if the crash ledger is needed.
  bool PlaysCrashes() const {
    return Plays(ReplicaFault::kCrashRequest) ||
           Plays(ReplicaFault::kCrashPart) || Plays(ReplicaFault::kRateLimit);
  }
  // Makes some requests crash replicas.
  void MakeCrashing(ClientRequest* request, std::mt19937_64* random) const;
  bool IsCalm(const std::string& name, int64_t begin_ms, int64_t end_ms) const;
  // True if no process, replica or link is ever disturbed. SIGHUP is sent.
  bool IsCalmRun() const {
    return !options_.signals && options_.fault_rate == 0 &&
           options_.stranded.empty() && options_.registry_faults.empty() &&
           options_.kill_every_ms == 0 && !builds_.is_mixed();
  }
  // Each process has its own view of the registry, with its own addresses of
  // the replicas, if links between processes and replicas can be cut, reports
  // are to say which build sent what, or the registry may turn some away.
  size_t ViewCount() const {
    return options_.stranded.empty() && !builds_.is_mixed() &&
                   options_.registry_faults.empty() &&
                   !Plays(ReplicaFault::kPause) && !PlaysCrashes()
               ? 1
               : static_cast<size_t>(options_.fronts);
  }
  void StartFronts();
  // Starts the process, which has ended, with the build that is due.
  void StartAgain(size_t number);
  // Ends the process as a release does.
  void Terminate(FrontProcess& front) {
    Signal(&front, SIGTERM);
    WaitOrKill(front);
  }
  void WaitOrKill(FrontProcess& front) {
    const Wait wait("end of " + front.name());
    if (!front.WaitForEnd(kGraceMs)) {
      Signal(&front, SIGKILL);
      front.WaitForEnd(kGraceMs);
    }
  }
  void StartReplicas();
  void PutConfiguration(int version);
  std::unique_ptr<ConnectionCrowd> OpenCrowd() const;
  void RunClient(int number);
  void SendOne(int number,
               int count,
               FrontProcess* front,
               HttpPeer* peer,
               std::mt19937_64* random);
  // Returns the time until the client gives up its request, over all tries.
  int64_t TimeLeftMs(const ClientRequest& request) const;
  std::string BytesOf(const ClientRequest& request) const;
  // Reads and records the answer.
  ClientResult ReadResult(const ClientRequest& request,
                          FrontProcess* front,
                          HttpPeer* peer);
  // Repeats a request that was refused, and takes up a stream that broke off,
  // at any process.
  void Repeat(int client,
              ClientRequest request,
              ClientResult result,
              FrontProcess* front,
              std::mt19937_64* random);
  // Lets the last requests, and runs of requests that were refused, end. To be
  // called by threads that have started processes, which end with them.
  void Settle() const { SleepMs(int64_t{2} * options_.timeout_ms); }
  void Signal(FrontProcess* front, int signal);
  void DisturbFront(size_t number);
  // To be called by the thread that controls the process.
  std::string DescribeEnd(size_t number, const std::string& end) const;
  void KillInTurn();
  void ChangeReplicas();
  // Starts a replica again and registers it under its new id. Engines change
  // their stages in pairs.
  void Rejoin(size_t number);
  void Replace(size_t number, const std::string& stage);
  // Has this replica and one of another service, which end, start again at each
  // other's address.
  void SwapServices(size_t number);
  // Disturbs these processes no more, until the next call. Few would be in
  // touch for the time of a cut otherwise.
  void Spare(const std::set<size_t>& numbers) {
    const std::lock_guard<std::mutex> lock(mutex_);
    spared_ = numbers;
  }
  bool IsSpared(size_t number) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return spared_.count(number) > 0;
  }
  // Cuts the links of half of the processes again and again.
  void StrandFronts();
  // Counts a client's first try while links are cut.
  void CountFirstTry(const FrontProcess& front, FirstTry first_try);
  bool Ended() const { return NowMs() >= end_ms_; }
  void SleepUntilEnd(int64_t ms) const {
    SleepMs(std::max<int64_t>(0, std::min(ms, end_ms_ - NowMs())));
  }

  const SoakOptions options_;
  const std::string network_;
  int64_t begin_ms_ = 0;
  int64_t end_ms_ = 0;
  RunLedger ledger_;
  CrashLedger crash_ledger_{
      [this](const std::string& name, int64_t begin_ms, int64_t end_ms) {
        return IsCalm(name, begin_ms, end_ms);
      }};
  BuildPlan builds_;
  const ClientPlan plan_;
  HandleTable handles_;
  RegistryStandin registry_;
  std::vector<std::unique_ptr<ReplicaStandin>> replicas_;
  std::vector<std::unique_ptr<FrontProcess>> fronts_;
  std::string summary_;
  FirstTries first_tries_;
  std::mutex upgrading_;  // held while a process changes its build
  std::mutex replacing_;  // held while a replica gets another id
  std::mutex mutex_;
  std::set<size_t> spared_;            // processes, see Spare()
  double peak_memory_mb_ = 0;          // of any process
  std::map<std::string, int> starts_;  // of processes, by build
};

void Soak::StartReplicas() {
  const int plain = options_.plain_replicas;
  const int prefill = options_.prefill_engines;
  for (int n = 0; n < plain + prefill + options_.decode_engines; ++n) {
    ReplicaStandin::Options options;
    options.ip = Ip(10 + n);
    options.views = ViewCount();
    options.service = n < plain ? "orders" : "chat";
    options.stage = n < plain ? "" : n < plain + prefill ? "prefill" : "decode";
    options.seed = RandomFor(static_cast<uint64_t>(n))();
    options.fault_rate = options_.fault_rate;
    std::copy_if(options_.faults.begin(), options_.faults.end(),
                 std::back_inserter(options.faults), [](ReplicaFault it) {
                   return it != ReplicaFault::kCrashRequest &&
                          it != ReplicaFault::kCrashPart;
                 });
    if (PlaysCrashes()) {
      options.crash_ledger = &crash_ledger_;
      options.restart = [this, n] {
        const std::lock_guard<std::mutex> lock(replacing_);
        const auto number = static_cast<size_t>(n);
        Replace(number, replicas_[number]->stage());
      };
    }
    if (options_.event_ids != "one") {
      options.versions_by_tokens.insert("v2");
    }
    if (options_.event_ids == "tokens") {
      options.versions_by_tokens.insert("v1");
    }
    options.max_work_ms = options_.max_work_ms;
    options.max_idle_ms = options_.max_idle_ms;
    if (builds_.is_mixed()) {
      options.describe_caller = [this](size_t view) {
        const FrontProcess& front = *fronts_[view];
        return front.name() + " (" + front.BuildsDuring(NowMs(), NowMs()) + ")";
      };
    }
    if (ViewCount() > 1) {
      options.process_of = [this](size_t view) {
        return fronts_[view]->name();
      };
    }
    options.rejoin = [this, n] { Rejoin(static_cast<size_t>(n)); };
    replicas_.push_back(
        std::make_unique<ReplicaStandin>(options, &ledger_, &handles_));
    registry_.Put("servers", replicas_.back()->id(),
                  replicas_.back()->Specs("ready"));
  }
}

void Soak::StartFronts() {
  fronts_ = StartFrontProcesses(options_.binary, options_.folder, network_,
                                options_.fronts, registry_, ViewCount(),
                                options_.report_groups, options_.cores);
  constexpr int kReadyMs = 10000;
  for (size_t n = 0; builds_.is_mixed() && n < fronts_.size(); ++n) {
    Terminate(*fronts_[n]);
    StartAgain(n);
    if (!fronts_[n]->WaitUntilReady(kReadyMs)) {
      throw std::runtime_error(fronts_[n]->name() + " is not ready after 10 s");
    }
  }
}

void Soak::StartAgain(size_t number) {
  const int64_t elapsed_ms = begin_ms_ == 0 ? 0 : NowMs() - begin_ms_;
  const FrontProcess::Build build = builds_.ForStart(number, elapsed_ms);
  fronts_[number]->set_build(build);
  first_tries_.RecordStart(fronts_[number]->name());
  fronts_[number]->Start();
  const std::lock_guard<std::mutex> lock(mutex_);
  ++starts_[build.name];
}

void Soak::PutConfiguration(int version) {
  registry_.Put(
      "config", "main",
      ConfigurationSpec(version, options_.timeout_ms, options_.max_attempts,
                        options_.once_attempts));
}

std::unique_ptr<ConnectionCrowd> Soak::OpenCrowd() const {
  if (options_.habits.crowd == 0) {
    return nullptr;
  }
  std::vector<std::pair<std::string, uint16_t>> addresses;
  for (const auto& it : fronts_) {
    addresses.emplace_back(it->ip(), it->port());
  }
  return std::make_unique<ConnectionCrowd>(addresses, options_.habits.crowd);
}

ClientResult Soak::ReadResult(const ClientRequest& request,
                              FrontProcess* front,
                              HttpPeer* peer) {
  constexpr int kSlackMs = 1500;
  const Wait wait("answer of " + front->name() + " to " + request.id);
  ClientResult result;
  const HttpMessage answer =
      ReadAs(plan_.ForAnswer(request.id), options_.timeout_ms + kSlackMs, peer,
             &result.left);
  result.id = request.id;
  result.first_id = request.first_id;
  result.begun_after = request.begun_after;
  result.kind = KindOf(request.target);
  result.process = front->name();
  result.sent_ms = request.sent_ms;
  result.status = answer.headers.empty() ? 0 : answer.Status();
  result.complete = answer.complete;
  result.connection_ended = peer->HasEnded();
  result.signed_by_target =
      answer.Header("Endiveyard-Response-Signature") == "sig-" + request.id;
  result.answered_id = answer.Header("Endiveyard-Request-Id");
  result.body = answer.body;
  result.retry_after = answer.Header("Retry-After");
  result.answered_ms = NowMs();
  result.in_time = result.answered_ms - result.sent_ms < options_.timeout_ms;
  result.build = front->BuildsDuring(result.sent_ms, result.answered_ms);
  result.process_disturbed =
      front->WasDisturbed(result.sent_ms, result.answered_ms);
  if (!result.complete || answer.Header("Connection") == "close") {
    peer->Close();
  }
  ledger_.RecordResult(result);
  return result;
}

int64_t Soak::TimeLeftMs(const ClientRequest& request) const {
  constexpr int kTimeoutsOfAllTries = 3;
  const int64_t waited =
      request.first_sent_ms == 0 ? 0 : NowMs() - request.first_sent_ms;
  return kTimeoutsOfAllTries * options_.timeout_ms - waited;
}

std::string Soak::BytesOf(const ClientRequest& request) const {
  const std::string take_up = request.first_id == request.id
                                  ? ""
                                  : "Last-Event-Id: " + request.last_event_id +
                                        "\r\nResumes: " + request.first_id +
                                        "\r\n";
  return "POST " + request.target + " HTTP/1.1\r\nHost: " + kHost +
         "\r\nEndiveyard-Request-Id: " + request.id +
         "\r\nEndiveyard-Deadline-Ms: " + std::to_string(TimeLeftMs(request)) +
         "\r\n" + request.prompt + take_up +
         "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" +
         request.body;
}

void Soak::Repeat(int client,
                  ClientRequest request,
                  ClientResult result,
                  FrontProcess* front,
                  std::mt19937_64* random) {
  constexpr int kMaxPauseMs = 100;
  const std::string base = request.id;
  for (int n = 1; n <= plan_.MaxRepeats(client) && !Ended(); ++n) {
    const bool refused = result.status == 429 || result.status == 503;
    const bool broken_off = result.kind == RequestKind::kResumableStream &&
                            result.status == 200 && !result.complete;
    if (broken_off) {
      const int last = LastEventOf(result.body, request.begun_after);
      request.first_id =
          request.begun_after == 0 && last > 0 ? request.id : request.first_id;
      request.begun_after = last;
      request.last_event_id = LastIdOf(result.body, request.last_event_id);
    }
    const bool take_up = request.begun_after > 0;
    const bool repeats_failure =
        plan_.RepeatsFailures(client) && result.status != 200;
    if (!broken_off && !refused && !repeats_failure) {
      return;
    }
    if (!refused || std::uniform_real_distribution<double>()(*random) >=
                        options_.same_id_rate) {
      request.id = base + "-" + std::to_string(n);
    }
    if (!take_up) {
      request.first_id = request.id;
    }
    SleepMs(plan_.PauseMs(
        client, result.retry_after,
        1 + static_cast<int64_t>(random->operator()() % kMaxPauseMs)));
    // Often at the same process, which may still have the connection on which
    // the request was refused.
    if (random->operator()() % 2 == 0) {
      front = fronts_[random->operator()() % fronts_.size()].get();
    }
    constexpr int kMinTimeLeftMs = 100;
    const auto peer = HttpPeer::Connect(front->ip(), front->port());
    if (!peer || TimeLeftMs(request) < kMinTimeLeftMs) {
      return;
    }
    ledger_.RecordRequest(ServiceOf(KindOf(request.target)), request.id,
                          TimeLeftMs(request));
    request.sent_ms = NowMs();
    peer->Send(BytesOf(request));
    result = ReadResult(request, front, peer.get());
  }
}

void Soak::SendOne(int number,
                   int count,
                   FrontProcess* front,
                   HttpPeer* peer,
                   std::mt19937_64* random) {
  const auto draw = [random](int max) {
    return std::uniform_int_distribution<int>(0, max)(*random);
  };
  const char* const paths[] = {"/order/", "/order/", "/lookup/", "/once/",
                               "/chat/"};
  const double pipelined = std::uniform_real_distribution<double>()(*random);
  const int requests = pipelined < options_.pipeline_rate ? 2 + draw(1) : 1;
  std::vector<ClientRequest> sent;
  std::string bytes;
  for (int n = 0; n < requests; ++n) {
    ClientRequest request;
    request.id = "c" + std::to_string(number) + "-" + std::to_string(count) +
                 "-" + std::to_string(n);
    request.first_id = request.id;
    request.target = paths[draw(4)] + request.id;
    if (IsStream(KindOf(request.target))) {
      // Half of the prompts have one of few first parts, so that requests share
      // caches. Of streams with the same one, the same version begins all.
      const std::string shared =
          draw(1) == 0 ? "a" + std::to_string(draw(3)) + ":2000," : "";
      request.prompt =
          "Endiveyard-Model: m\r\nEndiveyard-Token-Count: 8000,40\r\n"
          "Endiveyard-Prompt-Prefix: " +
          shared + "b" + std::to_string(number) + std::to_string(count) +
          (shared.empty() ? ":8000\r\n" : ":6000\r\n");
    }
    request.body = std::string(static_cast<size_t>(draw(2000)), 'q');
    MakeCrashing(&request, random);
    bytes += BytesOf(request);
    ledger_.RecordRequest(ServiceOf(KindOf(request.target)), request.id,
                          TimeLeftMs(request));
    sent.push_back(request);
  }
  const int64_t sent_ms = NowMs();
  peer->Send(bytes);
  for (ClientRequest& it : sent) {
    if (peer->HasEnded() && it.id != sent.front().id) {
      return;  // not answered, as the answer before closed the connection
    }
    it.sent_ms = it.first_sent_ms = sent_ms;
    const ClientResult result = ReadResult(it, front, peer);
    CountFirstTry(*front,
                  {"", "", false, it.id, sent_ms,
                   result.status == 200 && (result.complete || result.left),
                   EndOf(result)});
    if (requests == 1) {
      Repeat(number, it, result, front, random);
    }
  }
}

void Soak::MakeCrashing(ClientRequest* request, std::mt19937_64* random) const {
  if (!(Plays(ReplicaFault::kCrashRequest) ||
        Plays(ReplicaFault::kCrashPart)) ||
      NowMs() < begin_ms_ + kCalmMs ||
      std::uniform_real_distribution<double>()(*random) >=
          options_.fault_rate) {
    return;
  }
  const bool by_part =
      Plays(ReplicaFault::kCrashPart) &&
      (!Plays(ReplicaFault::kCrashRequest) || (*random)() % 2 == 0);
  const std::string prompt =
      "Endiveyard-Model: m\r\nEndiveyard-Token-Count: 8000,40\r\n"
      "Endiveyard-Prompt-Prefix: a";
  if (by_part) {
    std::string last_part = "b" + request->id.substr(1);
    std::replace(last_part.begin(), last_part.end(), '-', 'f');
    request->target =
        ((*random)() % 2 == 0 ? "/chat/" : "/once/") + request->id;
    request->prompt = prompt + std::to_string((*random)() % 4) + ":2000," +
                      std::string(kCrashingPart) + ":1000," + last_part +
                      ":5000\r\n";
    return;
  }
  const char* const paths[] = {"/order/", "/lookup/", "/once/", "/chat/"};
  request->target =
      paths[options_.seed % std::size(paths)] + std::string(kCrashingTarget);
  request->body = "crash";
  request->prompt =
      IsStream(KindOf(request->target)) ? prompt + "0:2000,c1:6000\r\n" : "";
}

void Soak::RunClient(int number) {
  std::mt19937_64 random = RandomFor(1000 + static_cast<uint64_t>(number));
  std::unique_ptr<HttpPeer> peer;
  FrontProcess* front = nullptr;
  for (int count = 0; !Ended(); ++count) {
    if (!peer || peer->HasEnded()) {
      front = fronts_[random() % fronts_.size()].get();
      const Wait wait("connection to " + front->name());
      peer = HttpPeer::Connect(front->ip(), front->port());
      if (!peer) {
        constexpr int kRetryMs = 50;
        CountFirstTry(*front, {"", "", false, "", NowMs(), false, "refused"});
        SleepMs(kRetryMs);
        continue;
      }
    }
    SendOne(number, count, front, peer.get(), &random);
    SleepMs(static_cast<int64_t>(random() %
                                 static_cast<uint64_t>(options_.max_pause_ms)));
  }
}

void Soak::Signal(FrontProcess* front, int signal) {
  first_tries_.RecordSignal(front->name(), signal);
  front->Signal(signal);
}

std::string Soak::DescribeEnd(size_t number, const std::string& end) const {
  const std::string& build = fronts_[number]->build();
  return "LOST, process " + std::to_string(number) +
         (build.empty() ? "" : " (" + build + ")") + " has ended " + end;
}

void Soak::DisturbFront(size_t number) {
  std::mt19937_64 random = RandomFor(2000 + number);
  FrontProcess& front = *fronts_[number];
  const auto draw = [&random](int max) {
    return std::uniform_int_distribution<int>(0, max)(random);
  };
  const auto freeze = [&](int64_t ms) {
    Signal(&front, SIGSTOP);
    SleepMs(ms);
    Signal(&front, SIGCONT);
  };
  const auto restart = [&] {
    SleepMs(draw(500));
    StartAgain(number);
  };
  const auto sample_memory = [&] {
    const double mb = front.SamplePeakMemory();
    const std::lock_guard<std::mutex> lock(mutex_);
    peak_memory_mb_ = std::max(peak_memory_mb_, mb);
  };
  while (!Ended()) {
    SleepUntilEnd(300 + draw(1700));
    sample_memory();
    if (builds_.IsDue(number, front.build(), NowMs() - begin_ms_)) {
      const std::lock_guard<std::mutex> lock(upgrading_);
      if (Ended()) {
        break;
      }
      Terminate(front);
      restart();
      front.WaitUntilReady(kGraceMs);
      continue;
    }
    if (const auto end = front.EndByItself()) {
      ledger_.RecordViolation(DescribeEnd(number, *end));
      restart();
    }
    if (Ended()) {
      break;
    }
    const int disturbance = options_.signals ? draw(5) : 5;
    switch (IsSpared(number) ? 5 : disturbance) {
      case 0:
        freeze(50 + draw(1500));
        break;
      case 1: {
        // A small share of the processor: what lies 90 ms apart is handled in
        // one iteration of the event loop.
        const int rounds = 10 + draw(20);
        for (int n = 0; n < rounds; ++n) {
          freeze(90);
          SleepMs(30);
        }
        break;
      }
      case 2:
        Signal(&front, SIGKILL);
        front.WaitForEnd(kGraceMs);
        restart();
        break;
      case 3:
        Signal(&front, SIGTERM);
        if (draw(2) == 0) {
          SleepMs(draw(2000));
          freeze(draw(300));
        }
        WaitOrKill(front);
        restart();
        break;
      default:
        Signal(&front, SIGHUP);
        break;
    }
  }
  Settle();
  sample_memory();
  if (const auto end = front.EndByItself()) {
    ledger_.RecordViolation(DescribeEnd(number, *end));
  }
}

void Soak::KillInTurn() {
  for (size_t n = 0; !Ended(); ++n) {
    SleepUntilEnd(options_.kill_every_ms);
    std::vector<size_t> numbers{n % fronts_.size()};
    if (options_.kill_all) {
      numbers.resize(fronts_.size());
      std::iota(numbers.begin(), numbers.end(), size_t{0});
    }
    numbers.erase(std::remove_if(numbers.begin(), numbers.end(),
                                 [this](size_t it) { return IsSpared(it); }),
                  numbers.end());
    for (const size_t it : numbers) {
      Signal(fronts_[it].get(), SIGKILL);
    }
    for (const size_t it : numbers) {
      fronts_[it]->WaitForEnd(kGraceMs);
      StartAgain(it);
    }
  }
  Settle();
}

void Soak::Replace(size_t number, const std::string& stage) {
  ReplicaStandin& replica = *replicas_[number];
  registry_.Delete("servers", replica.id());
  replica.Restart(replica.service(), stage);
  registry_.Put("servers", replica.id(), replica.Specs("ready"));
}

void Soak::SwapServices(size_t number) {
  // Replicas that ended are registered for a while.
  constexpr int64_t kLapseMs = 300;
  ReplicaStandin& replica = *replicas_[number];
  const std::string service = replica.service();
  const std::string stage = replica.stage();
  const auto other =
      std::find_if(replicas_.begin(), replicas_.end(),
                   [&](const auto& it) { return it->service() != service; });
  if (other == replicas_.end()) {
    return;
  }
  const std::string ids[] = {replica.id(), (*other)->id()};
  replica.Restart((*other)->service(), (*other)->stage());
  (*other)->Restart(service, stage);
  SleepUntilEnd(kLapseMs);
  for (const std::string& it : ids) {
    registry_.Delete("servers", it);
  }
  for (const ReplicaStandin* it : {&replica, other->get()}) {
    registry_.Put("servers", it->id(), it->Specs("ready"));
  }
}

void Soak::Rejoin(size_t number) {
  const std::lock_guard<std::mutex> lock(replacing_);
  const std::string stage = replicas_[number]->stage();
  for (size_t n = 0; !stage.empty() && n < replicas_.size(); ++n) {
    const size_t other = (number + n) % replicas_.size();
    const std::string other_stage = replicas_[other]->stage();
    if (!other_stage.empty() && other_stage != stage) {
      Replace(other, stage);
      Replace(number, other_stage);
      return;
    }
  }
  Replace(number, stage);
}

void Soak::ChangeReplicas() {
  std::mt19937_64 random = RandomFor(3000);
  int version = 8;
  for (int replaced = 0; !Ended();) {
    constexpr int kMinChangeMs = 200;
    SleepUntilEnd(kMinChangeMs + static_cast<int64_t>(
                                     random() % static_cast<uint64_t>(std::max(
                                                    1, options_.max_change_ms -
                                                           kMinChangeMs))));
    if (random() % 3 == 0) {
      PutConfiguration(version += 1 + static_cast<int>(random() % 5));
      continue;
    }
    const size_t number = random() % replicas_.size();
    ReplicaStandin& replica = *replicas_[number];
    const std::string id = replica.id();
    const int64_t drain_ms = static_cast<int64_t>(random() % 3000);
    {
      const std::lock_guard<std::mutex> lock(replacing_);
      if (replica.id() == id) {
        registry_.Put("servers", id, replica.Specs("draining"));
      }
    }
    SleepUntilEnd(drain_ms);
    const std::lock_guard<std::mutex> lock(replacing_);
    constexpr int kReplacedPerSwap = 4;
    if (replica.id() == id && ++replaced % kReplacedPerSwap == 0) {
      SwapServices(number);
    } else if (replica.id() == id) {
      Replace(number, replica.stage());
    }
  }
}

void Soak::StrandFronts() {
  constexpr int64_t kPauseMs = 3000;
  constexpr int64_t kStrandedMs = 9000;
  std::mt19937_64 random = RandomFor(4000);
  for (size_t round = 0; !Ended(); ++round) {
    const std::string mode =
        options_.stranded[round % options_.stranded.size()];
    std::vector<size_t> numbers(fronts_.size());
    std::iota(numbers.begin(), numbers.end(), size_t{0});
    std::shuffle(numbers.begin(), numbers.end(), random);
    const size_t other = numbers.back();
    numbers.resize(std::max<size_t>(1, numbers.size() / 2));
    // In every other cut of a kind.
    if (round / options_.stranded.size() % 2 == 0) {
      Spare({numbers.front(), other});
    }
    SleepUntilEnd(kPauseMs);
    const auto for_each_link = [&](const auto& apply) {
      for (const size_t n : numbers) {
        for (const auto& it : replicas_) {
          apply(it->listener(n));
        }
      }
    };
    for_each_link([&](HttpListener& it) {
      if (mode == "hang") {
        it.Hang();
        return;
      }
      it.Refuse();
      if (mode == "reset") {
        it.ResetConnections();
      }
    });
    std::vector<std::string> names;
    names.reserve(numbers.size());
    for (const size_t n : numbers) {
      names.push_back(fronts_[n]->name());
    }
    first_tries_.RecordCut(mode, names);
    SleepUntilEnd(kStrandedMs);
    first_tries_.RecordHeal();
    for_each_link([](HttpListener& it) { it.Heal(); });
    Spare({});
  }
}

void Soak::CountFirstTry(const FrontProcess& front, FirstTry first_try) {
  first_try.process = front.name();
  first_try.build = front.BuildsDuring(first_try.sent_ms, NowMs());
  first_try.process_calm =
      !front.WasDisturbed(first_try.sent_ms - FirstTries::kStableMs, NowMs());
  first_tries_.RecordTry(first_try);
}

bool Soak::IsCalm(const std::string& name,
                  int64_t begin_ms,
                  int64_t end_ms) const {
  const auto it =
      std::find_if(fronts_.begin(), fronts_.end(),
                   [&](const auto& front) { return front->name() == name; });
  return it != fronts_.end() && !(*it)->WasDisturbed(begin_ms, end_ms) &&
         !(*it)->WasStarted(begin_ms, end_ms);
}

std::vector<std::string> Soak::Run() {
  ledger_.set_max_attempts(options_.max_attempts, options_.once_attempts);
  ledger_.set_is_calm(
      [this](const std::string& name, int64_t begin_ms, int64_t end_ms) {
        return IsCalm(name, begin_ms, end_ms);
      });
  StartReplicas();
  PutConfiguration(7);
  StartFronts();
  begin_ms_ = NowMs();
  end_ms_ = begin_ms_ + int64_t{1000} * options_.seconds;
  if (IsCalmRun()) {
    // The first streams show how replicas number events.
    constexpr int64_t kLearnMs = 5000;
    ledger_.set_streams_whole_from(begin_ms_ + kLearnMs);
  }
  std::vector<std::thread> clients;
  clients.reserve(static_cast<size_t>(options_.clients));
  for (int n = 0; n < options_.clients; ++n) {
    clients.emplace_back([this, n] { RunClient(n); });
  }
  SleepMs(kCalmMs);
  for (const auto& it : replicas_) {
    it->set_faulty(true);
  }
  std::vector<std::thread> disturbers;
  disturbers.reserve(fronts_.size() + 1);
  if (options_.kill_every_ms > 0) {
    disturbers.emplace_back([this] { KillInTurn(); });
  }
  for (size_t n = 0; options_.kill_every_ms == 0 && n < fronts_.size(); ++n) {
    disturbers.emplace_back([this, n] { DisturbFront(n); });
  }
  if (options_.signals) {
    disturbers.emplace_back([this] { ChangeReplicas(); });
  }
  if (!options_.stranded.empty()) {
    disturbers.emplace_back([this] { StrandFronts(); });
  }
  if (!options_.registry_faults.empty()) {
    disturbers.emplace_back([this] {
      PlayRegistryDisruptions(
          PlanRegistryDisruptions(options_.registry_faults, options_.seed,
                                  ViewCount(), kCalmMs, end_ms_ - begin_ms_),
          begin_ms_, options_.folder + "/registry-faults.txt", &registry_);
    });
  }
  const auto crowd = OpenCrowd();
  for (std::thread& it : clients) {
    it.join();
  }
  for (std::thread& it : disturbers) {
    it.join();
  }
  // That of the smallest machines.
  constexpr double kMaxMemoryMb = 160;
  if (peak_memory_mb_ > kMaxMemoryMb) {
    ledger_.RecordViolation("MEMORY, a process took more than its machine has");
  }
  for (const std::string& it : crash_ledger_.Violations()) {
    ledger_.RecordViolation(it);
  }
  summary_ = ledger_.Summary() + "; " + ledger_.RepeatSummary() +
             crash_ledger_.Summary() + "; peak memory of a process " +
             std::to_string(static_cast<int>(peak_memory_mb_)) + " MB" +
             first_tries_.Summary();
  if (crowd) {
    summary_ += "; at most " + std::to_string(crowd->most_open()) +
                " connections of the crowd";
  }
  for (const std::string& it : first_tries_.Violations()) {
    ledger_.RecordViolation(it);
  }
  for (const auto& [build, count] : starts_) {
    if (!build.empty()) {
      summary_ +=
          "; " + std::to_string(count) + " starts of processes with " + build;
    }
  }
  return ledger_.Violations();
}

}  // namespace

// Returns the faults with these names; if there are no names, all that a
// process can always tell.
std::vector<ReplicaFault> FaultsNamed(const std::vector<std::string>& names) {
  std::vector<ReplicaFault> faults;
  for (const std::string& it : names) {
    const auto fault = FaultNamed(it);
    if (!fault) {
      throw std::runtime_error("no fault has the name " + it);
    }
    faults.push_back(*fault);
  }
  for (int n = 1; names.empty() && n < static_cast<int>(ReplicaFault::kCount);
       ++n) {
    const auto fault = static_cast<ReplicaFault>(n);
    if (fault < ReplicaFault::kLateFirstId) {
      faults.push_back(fault);
    }
  }
  return faults;
}

// Returns the time that a run may take, with its start and its end.
int64_t MaxRunMs(const SoakOptions& options) {
  constexpr int64_t kMsPerSecond = 1000;
  constexpr int64_t kStartAndEndSeconds = 45;
  // Where each process is replaced before the run, its end and its start.
  const int64_t start_seconds = options.other_binary.empty() ? 1 : 30;
  return kMsPerSecond * (options.seconds + kStartAndEndSeconds +
                         start_seconds * options.fronts);
}

}  // namespace endiveyard::soak

int main(int argc, char** argv) {
  using endiveyard::soak::ReplicaProcess;
  constexpr int kReplicaArguments = 7;
  if (argc == kReplicaArguments &&
      std::string(argv[1]) == ReplicaProcess::kRoleArgument) {
    return ReplicaProcess::Serve(argv[2], argv[3], argv[4], argv[5], argv[6]);
  }
  namespace po = boost::program_options;
  using endiveyard::soak::Soak;
  endiveyard::soak::SoakOptions soak;
  endiveyard::soak::ReplicaKillOptions kills;
  std::string framing = "connection";
  std::string upgrade;
  std::string folder;
  std::vector<std::string> fault_names;
  std::vector<std::string> registry_fault_names;
  po::options_description options("soak");
  options.add_options()("help", "print this text")(
      "binary", po::value(&soak.binary)->required(), "the program endiveyard")(
      "folder", po::value(&folder),
      "folder for settings and logs; default: a temporary one, which is kept "
      "if something is wrong")("seed", po::value(&soak.seed),
                               "seed of the plan of faults")(
      "seconds", po::value(&soak.seconds), "duration")(
      "fronts", po::value(&soak.fronts), "processes")(
      "clients", po::value(&soak.clients), "clients")(
      "timeout-ms", po::value(&soak.timeout_ms),
      "timeout of routes and clients")("max-work-ms",
                                       po::value(&soak.max_work_ms),
                                       "time that a replica takes at most")(
      "fault-rate", po::value(&soak.fault_rate),
      "share of the requests that a replica handles wrongly")(
      "fault", po::value(&fault_names)->composing(),
      "fault of the replicas; may be repeated; default: all but "
      "late_first_id, pause, crash_request, crash_part and rate_limit")(
      "pipeline-rate", po::value(&soak.pipeline_rate),
      "share of the turns of a client that send two or three requests at once")(
      "stranded", po::value(&soak.stranded)->composing(),
      "half of the processes lose their links to all replicas for 9 s at a "
      "time; connections hang (hang), are reset (reset), or live on while new "
      "ones are refused (live_on); may be repeated")(
      "registry-fault", po::value(&registry_fault_names)->composing(),
      "fault of the registry, in a series of those named: calls hang "
      "(silent; cut: of half of the processes), get 503 (busy; some: of half "
      "of the processes), are answered late (slow), writes are not answered "
      "(lost), it comes back from a copy (restore) or drops its history "
      "(compact); may be repeated")("max-attempts",
                                    po::value(&soak.max_attempts),
                                    "replicas that get one request at most")(
      "once-attempts", po::value(&soak.once_attempts),
      "the same for requests that may run once at most")(
      "max-idle-ms", po::value(&soak.max_idle_ms),
      "replicas close connections that are idle for up to this time")(
      "cores", po::value(&soak.cores),
      "cores of the machine that all processes share; 0 for all")(
      "same-id-rate", po::value(&soak.same_id_rate),
      "share of the repeats of refused requests that have the same id")(
      "max-change-ms", po::value(&soak.max_change_ms),
      "pause between two changes of replicas at most")(
      "plain-replicas", po::value(&soak.plain_replicas),
      "replicas of the plain service")("prefill-engines",
                                       po::value(&soak.prefill_engines),
                                       "engines that only prefill")(
      "decode-engines", po::value(&soak.decode_engines), "engines that decode")(
      "max-pause-ms", po::value(&soak.max_pause_ms),
      "pause of a client between two requests at most")(
      "kill-every-ms", po::value(&soak.kill_every_ms),
      "interval at which one process after the other is killed and started "
      "again, instead of other signals")(
      "kill-all", po::value(&soak.kill_all),
      "kill-every-ms concerns all processes at once")(
      "report-groups", po::value(&soak.report_groups),
      "processes of different groups cannot report to each other")(
      "signals", po::value(&soak.signals),
      "signals to processes, changes of replicas and configuration")(
      "event-ids", po::value(&soak.event_ids),
      "events of streams are numbered by one (one), by their tokens (tokens), "
      "or by tokens at one of the two software versions (mixed)")(
      "other-binary", po::value(&soak.other_binary),
      "a second build of the program: each process draws at each start which "
      "of the two it runs")(
      "upgrade", po::value(&upgrade),
      "processes change from the other binary to the binary, one after the "
      "other (there), and back in the second half of the time (back)")(
      "replica-processes", po::value(&kills.replicas),
      "plays another soak, with this number of replicas that are processes, "
      "answer without faults and are killed in turn")(
      "replica-kill-ms", po::value(&kills.kill_every_ms),
      "interval at which one of these replicas is killed; 0 for never")(
      "replica-same-id", po::value(&kills.keeps_id),
      "killed replicas are back at once under their id and address, and "
      "register later")(
      "framing", po::value(&framing),
      "how the responses of these replicas end: with their connection "
      "(connection) or with the last chunk (chunks)");
  endiveyard::soak::AddOptions(&soak.habits, &options);
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
    if (values.count("help") > 0) {
      std::cout << options;
      return 0;
    }
    po::notify(values);
    soak.faults = endiveyard::soak::FaultsNamed(fault_names);
    for (const std::string& it : registry_fault_names) {
      soak.registry_faults.push_back(endiveyard::soak::RegistryFaultNamed(it));
    }
    for (const std::string& it : soak.stranded) {
      if (it != "hang" && it != "reset" && it != "live_on") {
        throw std::runtime_error("links are not cut in the way " + it);
      }
    }
    if (soak.event_ids != "one" && soak.event_ids != "tokens" &&
        soak.event_ids != "mixed") {
      throw std::runtime_error("events are not numbered in the way " +
                               soak.event_ids);
    }
    if (!upgrade.empty()) {
      soak.build_change = endiveyard::soak::BuildChangeNamed(upgrade);
      if (soak.other_binary.empty()) {
        throw std::runtime_error("an upgrade needs another binary");
      }
    }
    std::signal(SIGPIPE, SIG_IGN);
    const bool temporary = folder.empty();
    if (temporary) {
      std::string pattern =
          (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
      if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot make a temporary folder");
      }
      folder = pattern;
    }
    soak.folder = folder;
    endiveyard::soak::WatchRun(endiveyard::soak::MaxRunMs(soak), folder);
    std::string summary;
    std::vector<std::string> violations;
    if (kills.replicas > 0) {
      kills.binary = soak.binary;
      kills.folder = folder;
      kills.seed = soak.seed;
      kills.seconds = soak.seconds;
      kills.fronts = soak.fronts;
      kills.clients = soak.clients;
      kills.framing = endiveyard::soak::FramingNamed(framing);
      violations = endiveyard::soak::RunReplicaKills(kills, &summary);
    } else {
      // Replicas and clients use threads that outlive Run(); the program ends
      // without waiting for them.
      auto* run = new Soak(soak);
      violations = run->Run();
      summary = run->summary();
    }
    std::cout << "seed " << soak.seed << ": " << summary << "\n";
    for (const std::string& it : violations) {
      std::cout << "  " << it << "\n";
    }
    std::cout << "seed " << soak.seed << ": " << violations.size()
              << " violations" << std::endl;
    if (violations.empty() && temporary) {
      std::filesystem::remove_all(folder);
    } else {
      std::cout << "logs: " << folder << std::endl;
    }
    std::_Exit(violations.empty() ? 0 : 1);
  } catch (const std::exception& e) {
    std::cerr << "soak: " << e.what() << std::endl;
    std::_Exit(2);
  }
}
