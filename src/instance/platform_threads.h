#ifndef ENDIVEYARD_SRC_INSTANCE_PLATFORM_THREADS_H_
#define ENDIVEYARD_SRC_INSTANCE_PLATFORM_THREADS_H_

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "endiveyard/object_api/object_api.h"

namespace endiveyard {

// Thread that reads the platform's list of instances and targets.
class InstanceListThread {
 public:
  using Listed = std::function<void(const InstanceList&)>;

  // `listed` runs on this thread after each successful read.
  InstanceListThread(ObjectApi* api,
                     Duration interval,
                     Duration timeout,
                     Listed listed);
  ~InstanceListThread();

  void Stop();

 private:
  void Run();

  ObjectApi* const api_;
  const Duration interval_;
  const Duration timeout_;
  const Listed listed_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::thread thread_;
};

// Thread that watches the configuration log while this instance is a watcher.
class LogWatchThread {
 public:
  using Changed = std::function<void()>;
  using Watching = std::function<void(bool)>;

  // `changed` runs on this thread when the log may have a new entry;
  // `watching` when a watch was answered for the first time or has failed.
  LogWatchThread(ObjectApi* api,
                 std::string prefix,
                 uint64_t seed,
                 Changed changed,
                 Watching watching);
  ~LogWatchThread();

  // Watchers hold one call open; others hold none.
  void SetActive(bool active);

  void Stop();

 private:
  void Run();
  // Waits up to `time`; returns false when the thread stops.
  bool Pause(Duration time);

  ObjectApi* const api_;
  const std::string prefix_;
  const uint64_t seed_;
  const Changed changed_callback_;
  const Watching watching_callback_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  bool active_ = true;
  std::thread thread_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_INSTANCE_PLATFORM_THREADS_H_
