#include "soak/front_process.h"

#include <fcntl.h>
#include <sched.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <limits>

#include "soak/http_peer.h"

namespace endiveyard::soak {
namespace {

// A thawed process first works off what has arrived meanwhile.
constexpr int64_t kThawMs = 1000;
constexpr int64_t kOpenEnd = std::numeric_limits<int64_t>::max();

}  // namespace

std::string ZoneOf(int number) {
  return std::string("zone-") + static_cast<char>('a' + number % kZones);
}

std::string RegionOf(int number) {
  return std::string("region-") + static_cast<char>('a' + number % kZones);
}

FrontProcess::FrontProcess(const Options& options)
    : options_(options),
      port_(FindFreePort(options.ip, {options.control_port})),
      ready_port_(FindFreePort(options.ip, {options.control_port, port_})),
      build_{options.binary, ""} {
  WriteSettings();
}

FrontProcess::~FrontProcess() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

void FrontProcess::WriteSettings() const {
  std::string seeds;
  for (const std::string& it : options_.seed_addresses) {
    seeds += (seeds.empty() ? "" : ",") + it;
  }
  std::string zones;
  for (int n = 0; n < kZones; ++n) {
    zones += "zones." + ZoneOf(n) + "=" + RegionOf(n) + "\n";
  }
  std::ofstream out(options_.folder + "/" + options_.name + ".conf");
  out << "node=" << options_.name << "\nrole=front\nmachine_class=front\n"
      << "serves=front,control\nip=" << options_.ip
      << "\nzone=" << ZoneOf(options_.number)
      << "\nregion=" << RegionOf(options_.number) << "\n"
      << zones << "listen.front=" << options_.ip << ":" << port_
      << "\nlisten.ready_address=" << options_.ip << ":" << ready_port_
      << "\nlisten.control=" << options_.ip << ":" << options_.control_port
      << "\ninternal_port_range=" << options_.control_port << ","
      << options_.control_port << "\nseeds=" << seeds << "\nbootstrap=true\n"
      << "limits.memory_mb=260\nlimits.max_fds=4100\nheartbeat_ms=1200\n"
         "bounds.addr_reuse_s=2\nbounds.stable_ms=4000\nbounds.drain_ms=2500\n"
         "bounds.grace_s=8\nbounds.config_apply_ms=2500\n"
         "bounds.retry_budget_ratio=0.2\nbounds.retry_window_s=10\n"
         "bounds.retry_slack=56\nplatform.form=objects\n"
         "platform.writes_per_s=400\nplatform.reads_per_s=2000\n"
         "platform.history_s=20\nplatform.value_bytes=1048576\n"
      << "platform.address=" << options_.registry_address << "\n";
}

void FrontProcess::Start() {
  // Everything that allocates is done before fork(): other threads may hold
  // the lock of the allocator.
  const std::string base = options_.folder + "/" + options_.name;
  const std::string setting = "ENDIVEYARD_CONFIG=" + base + ".conf";
  const std::string log = base + ".log";
  const char* const arguments[] = {build_.binary.c_str(), "front",
                                   "--metrics-port", "0", nullptr};
  const char* const environment[] = {setting.c_str(), "LANG=C.UTF-8", nullptr};
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    starts_.emplace_back(NowMs(), build_.name);
  }
  if (!build_.name.empty()) {
    // The process does not say which build it is.
    std::ofstream(log, std::ios::app)
        << R"({"soak":"start","build":")" << build_.name << "\"}\n";
  }
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ == 0) {
    // The process ends with this program, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(127);
    }
    if (options_.cores > 0) {
      cpu_set_t cores;
      CPU_ZERO(&cores);
      for (int n = 0; n < options_.cores; ++n) {
        CPU_SET(n, &cores);
      }
      sched_setaffinity(0, sizeof cores, &cores);
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

std::string FrontProcess::BuildsDuring(int64_t begin_ms, int64_t end_ms) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string names;
  for (size_t n = 0; n < starts_.size(); ++n) {
    const bool before_begin =
        n + 1 < starts_.size() && starts_[n + 1].first <= begin_ms;
    if (starts_[n].first <= end_ms && !before_begin &&
        !starts_[n].second.empty()) {
      names += (names.empty() ? "" : ", ") + starts_[n].second;
    }
  }
  return names;
}

bool FrontProcess::WaitUntilReady(int timeout_ms) const {
  constexpr int kIntervalMs = 20;
  const int64_t until = NowMs() + timeout_ms;
  while (NowMs() < until) {
    const auto peer = HttpPeer::Connect(options_.ip, ready_port_);
    if (peer && peer->Send("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n") &&
        peer->Read(static_cast<int>(until - NowMs())).Status() == 200) {
      return true;
    }
    SleepMs(kIntervalMs);
  }
  return false;
}

void FrontProcess::BeginDisturbance() {
  const std::lock_guard<std::mutex> lock(mutex_);
  disturbances_.push_back({NowMs(), kOpenEnd});
}

void FrontProcess::EndDisturbance() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (Span& it : disturbances_) {
    it.end_ms = std::min(it.end_ms, NowMs() + kThawMs);
  }
}

void FrontProcess::Signal(int signal) {
  if (pid_ <= 0) {
    return;
  }
  if (signal == SIGKILL || signal == SIGSTOP) {
    BeginDisturbance();
  }
  kill(pid_, signal);
  if (signal == SIGCONT) {
    EndDisturbance();
  }
}

bool FrontProcess::WaitForEnd(int timeout_ms) {
  constexpr int kIntervalMs = 5;
  const int64_t until = NowMs() + timeout_ms;
  while (pid_ > 0) {
    if (waitpid(pid_, nullptr, WNOHANG) == pid_) {
      pid_ = -1;
      EndDisturbance();
      return true;
    }
    if (NowMs() >= until) {
      return false;
    }
    SleepMs(kIntervalMs);
  }
  return true;
}

double FrontProcess::SamplePeakMemory() {
  constexpr double kKilobytesPerMegabyte = 1024;
  std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(in, line);) {
    const std::string name = "VmHWM:";
    if (line.compare(0, name.size(), name) == 0) {
      peak_memory_mb_ =
          std::max(peak_memory_mb_, std::atof(line.c_str() + name.size()) /
                                        kKilobytesPerMegabyte);
    }
  }
  return peak_memory_mb_;
}

std::optional<std::string> FrontProcess::EndByItself() {
  int status = 0;
  if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) {
    return std::nullopt;
  }
  pid_ = -1;
  return WIFSIGNALED(status)
             ? "by signal " + std::to_string(WTERMSIG(status))
             : "with status " + std::to_string(WEXITSTATUS(status));
}

bool FrontProcess::WasDisturbed(int64_t begin_ms, int64_t end_ms) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const Span& it : disturbances_) {
    if (it.begin_ms <= end_ms && it.end_ms >= begin_ms) {
      return true;
    }
  }
  return false;
}

bool FrontProcess::WasStarted(int64_t begin_ms, int64_t end_ms) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::any_of(starts_.begin(), starts_.end(), [&](const auto& it) {
    return it.first >= begin_ms && it.first <= end_ms;
  });
}

}  // namespace endiveyard::soak
