#include "small_fleet.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <thread>

namespace endiveyard::review {

using soak::HttpListener;
using soak::HttpMessage;
using soak::HttpPeer;
using soak::NowMs;
using soak::SleepMs;

namespace {

// Ports that are free at the address of the first process. All processes have
// the same ones, each at an address of its own.
struct Ports {
  Ports() {
    const std::string ip = Network() + "101";
    std::vector<uint16_t> taken;
    for (uint16_t* it : {&callers, &readiness, &control, &peers}) {
      *it = soak::FindFreePort(ip, taken);
      taken.push_back(*it);
    }
  }

  uint16_t callers = 0;
  uint16_t readiness = 0;
  uint16_t control = 0;
  uint16_t peers = 0;
};

const Ports& PortsOfRun() {
  static const Ports kPorts;
  return kPorts;
}

}  // namespace

CaseOptions ParseOptions(int argc, char** argv) {
  CaseOptions options;
  for (int n = 1; n + 1 < argc; n += 2) {
    const std::string name = argv[n];
    const std::string value = argv[n + 1];
    if (name == "--binary") {
      options.binary = value;
    } else if (name == "--folder") {
      options.folder = value;
    } else if (name == "--record") {
      options.record = value;
    } else if (name == "--mode") {
      options.mode = value;
    } else if (name == "--trouble") {
      options.trouble = value != "0";
    }
  }
  if (options.binary.empty() || options.folder.empty() ||
      options.record.empty() || access(options.binary.c_str(), X_OK) != 0) {
    std::fprintf(stderr,
                 "usage: CASE --binary FILE --folder DIR --record FILE "
                 "[--mode TEXT] [--trouble 0|1]\n");
    std::exit(kCouldNotRun);
  }
  return options;
}

Record::Record(const std::string& path)
    : begin_ms_(NowMs()), file_(std::fopen(path.c_str(), "w")) {
  if (file_ == nullptr) {
    std::fprintf(stderr, "cannot write %s\n", path.c_str());
    std::exit(kCouldNotRun);
  }
}

Record::~Record() {
  std::fclose(file_);
}

int64_t Record::Now() const {
  return NowMs() - begin_ms_;
}

void Record::Write(const std::string& line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::fprintf(file_, "%7lld  %s\n", static_cast<long long>(Now()),
               line.c_str());
  std::fflush(file_);
}

void Record::Say(const std::string& line) {
  Write(line);
  std::printf("%s\n", line.c_str());
  std::fflush(stdout);
}

std::string Network() {
  constexpr int kNets = 250;
  const int pid = getpid();
  return "127." + std::to_string(1 + pid / kNets % kNets) + "." +
         std::to_string(1 + pid % kNets) + ".";
}

Front::Front(const CaseOptions& options,
             const std::string& name,
             const std::string& ip,
             const std::string& zone,
             const std::string& store_address,
             const std::string& seeds)
    : name_(name),
      ip_(ip),
      binary_(options.binary),
      base_(options.folder + "/" + name) {
  const auto address = [&ip](uint16_t port) {
    return ip + ":" + std::to_string(port);
  };
  std::ofstream out(base_ + ".conf");
  out << "node=" << name
      << "\nrole=front\nmachine_class=front\nserves=front,control\nip=" << ip
      << "\nzone=" << zone << "\nregion=region-" << zone
      << "\nzones.a=region-a\nzones.b=region-b\nzones.c=region-c"
      << "\nlisten.front=" << address(PortsOfRun().callers)
      << "\nlisten.ready_address=" << address(PortsOfRun().readiness)
      << "\nlisten.control=" << address(PortsOfRun().control)
      << "\ninternal_port_range=" << PortsOfRun().peers << ","
      << PortsOfRun().peers << "\nseeds=" << seeds
      << "\nbootstrap=true\ncounts_toward_tolerance=false\n"
         "limits.cpu_share=0.25\nlimits.cpu_cores=1\nlimits.memory_mb="
      << kMemoryMb
      << "\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n"
         "discovery=platform\nentry=vip\nheartbeat_ms=1200\n"
         "contracts=base,drain,config,cost,retry,recover,split,stream,engine,"
         "platform\n"
         "fault_tolerance.machines=1\nfault_tolerance.zones=0\n"
         "fault_tolerance.regions=0\nbounds.seed_lag_s=3\n"
         "bounds.addr_reuse_s=2\nbounds.stable_ms=4000\nbounds.ack_ms=5000\n"
         "bounds.catch_up_s=4\nbounds.drain_ms=2500\nbounds.grace_s=8\n"
         "bounds.loss_slack_ms=200\nbounds.config_apply_ms=2500\n"
         "bounds.downgrade_slack_ms=250\nbounds.max_stretch_ms=6000\n"
         "bounds.retry_budget_ratio=0.2\nbounds.retry_window_s=10\n"
         "bounds.retry_slack=56\nbounds.recovery_s=12\n"
         "bounds.transit_ms=250\nbounds.retry_after_s=7.7\n"
         "bounds.require_fencing=true\nbounds.lease_ms=3000\n"
         "bounds.thaw_ms=300\nplatform.form=objects\n"
         "platform.writes_per_s=400\nplatform.reads_per_s=2000\n"
         "platform.history_s=20\nplatform.value_bytes=1048576\n"
         "platform.ttl_min_ms=1000\nplatform.address="
      << store_address << "\n";
}

Front::~Front() {
  if (pid_ > 0) {
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

void Front::Start() {
  // The `run` line of deploy/system.toml.
  const char* const arguments[] = {binary_.c_str(), "front", "--metrics-port",
                                   "9464", nullptr};
  const std::string setting = "ENDIVEYARD_CONFIG=" + base_ + ".conf";
  const std::string log = base_ + ".log";
  const char* const environment[] = {setting.c_str(), "LANG=C.UTF-8", nullptr};
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(127);
    }
    const int fd =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    execve(arguments[0], const_cast<char* const*>(arguments),
           const_cast<char* const*>(environment));
    _exit(127);
  }
}

bool Front::WaitUntilReady(int timeout_ms) const {
  constexpr int kIntervalMs = 20;
  const int64_t until = NowMs() + timeout_ms;
  while (NowMs() < until) {
    const auto peer = HttpPeer::Connect(ip_, PortsOfRun().readiness);
    if (peer && peer->Send("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n") &&
        peer->Read(static_cast<int>(until - NowMs())).Status() == 200) {
      return true;
    }
    SleepMs(kIntervalMs);
  }
  return false;
}

uint16_t Front::port() const {
  return PortsOfRun().callers;
}

uint16_t Front::ControlPort() {
  return PortsOfRun().control;
}

void Front::Signal(int signal) const {
  if (pid_ > 0) {
    kill(pid_, signal);
  }
}

bool Front::HasEnded() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = -1;
  }
  return pid_ <= 0;
}

double Front::ResidentMb() const {
  constexpr double kKilobytesPerMegabyte = 1024;
  std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
  const std::string name = "VmRSS:";
  for (std::string line; std::getline(in, line);) {
    if (line.compare(0, name.size(), name) == 0) {
      return std::atof(line.c_str() + name.size()) / kKilobytesPerMegabyte;
    }
  }
  return 0;
}

StoreProxy::StoreProxy(const std::string& ip,
                       const std::string& store_ip,
                       uint16_t store_port)
    : store_ip_(store_ip),
      store_port_(store_port),
      listener_(std::make_unique<HttpListener>(ip, [this](HttpPeer& peer) {
        Serve(peer);
      })) {}

void StoreProxy::Serve(HttpPeer& peer) {
  // A connection of the system to the store carries one call.
  constexpr int kSilentMs = 60000;
  constexpr int kStepMs = 5;
  constexpr int kCallMs = 40000;
  const auto store = HttpPeer::Connect(store_ip_, store_port_);
  const HttpMessage call = peer.Read(kCallMs);
  if (!store || call.start_line.empty()) {
    return;
  }
  std::string text = call.start_line + "\r\n";
  for (const auto& [name, value] : call.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  store->Send(text + "\r\n" + call.body);
  // Waits for the answer, and for the end of the caller.
  const bool is_watch = call.start_line.find("watch=") != std::string::npos;
  const bool is_limited = watch_limit_ms_ > 0 && is_watch;
  const int64_t until =
      NowMs() + (is_limited ? watch_limit_ms_.load() : kCallMs);
  HttpMessage answer;
  std::atomic<bool> has_answer{false};
  std::thread reader([&] {
    answer = store->Read(kCallMs);
    has_answer = true;
  });
  while (!has_answer && NowMs() < until && !peer.HasEnded()) {
    SleepMs(kStepMs);
  }
  if (!has_answer) {
    store->Abort();
  }
  reader.join();
  if (!answer.complete && is_limited) {
    return;
  }
  const bool is_lost =
      loses_answers_ && is_watch &&
      call.start_line.find("/objects/config?") != std::string::npos;
  if (!answer.complete || is_lost) {
    peer.WaitForEnd(kSilentMs);
    return;
  }
  text = answer.start_line + "\r\n";
  for (const auto& [name, value] : answer.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  peer.Send(text + "\r\n" + answer.body);
  peer.WaitForEnd(1000);
}

std::string SpecOf(const ReplicaEntry& entry) {
  return R"({"service":")" + entry.service + R"(","address":")" +
         entry.address + R"(","zone":")" + entry.zone + R"(","version":")" +
         entry.version + R"(","slots":)" + std::to_string(entry.slots) +
         R"(,"state":")" + entry.state + R"(","cold_remaining_ms":)" +
         std::to_string(entry.cold_remaining_ms) +
         (entry.is_engine
              ? R"(,"stage":"decode","models":[{"name":"m","version":1,"adapters":[]}])"
              : "") +
         R"(,"sequence":1,"born":)" + std::to_string(entry.born) + "}";
}

ClientResult Ask(const Front& front,
                 const std::string& request,
                 int timeout_ms) {
  ClientResult result;
  const auto peer = HttpPeer::Connect(front.ip(), front.port());
  if (!peer || !peer->Send(request)) {
    return result;
  }
  const HttpMessage answer = peer->Read(timeout_ms);
  result.status = answer.start_line.empty() ? 0 : answer.Status();
  result.complete = answer.complete;
  result.body = answer.body;
  return result;
}

std::string PostRequest(const std::string& path,
                        const std::string& id,
                        int deadline_ms,
                        const std::string& headers) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: yard.example\r\nEndiveyard-Request-Id: " + id +
         "\r\nEndiveyard-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" +
         headers + "Content-Length: 0\r\n\r\n";
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void End(int status, std::vector<std::unique_ptr<Front>>* fronts) {
  fronts->clear();
  std::fflush(nullptr);
  _exit(status);
}

}  // namespace endiveyard::review
