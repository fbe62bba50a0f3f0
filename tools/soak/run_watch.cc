#include "soak/run_watch.h"

#include <cstdlib>
#include <iostream>
#include <mutex>
#include <thread>

#include "soak/http_peer.h"

namespace endiveyard::soak {
namespace {

struct OpenWaits {
  std::mutex mutex;
  std::list<std::pair<int64_t, std::string>> entries;
};

// Never destroyed: threads outlive main().
OpenWaits& AllWaits() {
  static auto* const kWaits = new OpenWaits;
  return *kWaits;
}

}  // namespace

Wait::Wait(const std::string& what) {
  OpenWaits& waits = AllWaits();
  const std::lock_guard<std::mutex> lock(waits.mutex);
  entry_ = waits.entries.insert(waits.entries.end(), {NowMs(), what});
}

Wait::~Wait() {
  OpenWaits& waits = AllWaits();
  const std::lock_guard<std::mutex> lock(waits.mutex);
  waits.entries.erase(entry_);
}

std::string Wait::DescribeAll() {
  OpenWaits& waits = AllWaits();
  const std::lock_guard<std::mutex> lock(waits.mutex);
  std::string text;
  for (const auto& [since_ms, what] : waits.entries) {
    text +=
        "  for " + std::to_string(NowMs() - since_ms) + " ms: " + what + "\n";
  }
  return text;
}

void WatchRun(int64_t limit_ms, const std::string& log_folder) {
  std::thread([limit_ms, log_folder] {
    SleepMs(limit_ms);
    std::cerr << "soak: not ended after " << limit_ms << " ms; it waits\n"
              << Wait::DescribeAll() << "logs: " << log_folder << std::endl;
    std::_Exit(2);
  }).detach();
}

}  // namespace endiveyard::soak
