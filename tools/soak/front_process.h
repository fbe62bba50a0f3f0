#ifndef ENDIVEYARD_TOOLS_SOAK_FRONT_PROCESS_H_
#define ENDIVEYARD_TOOLS_SOAK_FRONT_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace endiveyard::soak {

// Zones, one in each of kZones regions. Processes and replicas are spread over
// them by their number.
inline constexpr int kZones = 3;
std::string ZoneOf(int number);
std::string RegionOf(int number);

// A process of endiveyard, started as deploy/system.toml does. One thread
// controls it; others may ask for its address and its disturbances.
class FrontProcess {
 public:
  struct Options {
    std::string binary;
    std::string name;
    std::string ip;
    std::string folder;  // for the settings and the log
    std::string registry_address;
    std::vector<std::string> seed_addresses;  // control addresses of all
    uint16_t control_port = 0;
    int number = 0;  // decides about its zone
    int cores = 0;   // of the machine that it may use; 0 for all
  };
  struct Build {
    std::string binary;
    std::string name;  // in reports; empty if there is only one build
  };

  explicit FrontProcess(const Options& options);
  ~FrontProcess();
  FrontProcess(const FrontProcess&) = delete;
  FrontProcess& operator=(const FrontProcess&) = delete;

  // Sets what Start() runs from now on, instead of the binary of the options.
  void set_build(const Build& build) { build_ = build; }
  const std::string& build() const { return build_.name; }
  // Returns the names of the builds that ran from `begin_ms` to `end_ms`, each
  // with a comma before the next one. Empty if there is only one build.
  std::string BuildsDuring(int64_t begin_ms, int64_t end_ms) const;

  void Start();
  bool WaitUntilReady(int timeout_ms) const;
  // Sends a signal. SIGKILL, SIGSTOP and SIGCONT are recorded as disturbances.
  void Signal(int signal);
  // Waits until the process ends. Returns false after `timeout_ms`.
  bool WaitForEnd(int timeout_ms);
  // Peak of the memory of the processes until now, in MB; that of a process
  // counts when it is sampled.
  double SamplePeakMemory();
  // Returns how the process has ended, if it did so without a signal of this
  // class.
  std::optional<std::string> EndByItself();

  const std::string& name() const { return options_.name; }
  const std::string& ip() const { return options_.ip; }
  uint16_t port() const { return port_; }
  // True if the process was killed, frozen or down for a moment from `begin_ms`
  // to `end_ms`, or thawed less than a second before.
  bool WasDisturbed(int64_t begin_ms, int64_t end_ms) const;
  // True if a process was started from `begin_ms` to `end_ms`.
  bool WasStarted(int64_t begin_ms, int64_t end_ms) const;

 private:
  struct Span {
    int64_t begin_ms;
    int64_t end_ms;
  };

  void WriteSettings() const;
  void BeginDisturbance();
  void EndDisturbance();

  const Options options_;
  const uint16_t port_;
  const uint16_t ready_port_;
  Build build_;
  pid_t pid_ = -1;
  double peak_memory_mb_ = 0;
  mutable std::mutex mutex_;
  std::vector<Span> disturbances_;
  std::vector<std::pair<int64_t, std::string>> starts_;  // time and build
};

}  // namespace endiveyard::soak

#endif  // ENDIVEYARD_TOOLS_SOAK_FRONT_PROCESS_H_
