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

// Thread that reads the platform's list of instances and targets periodically.
class InstanceListThread {
 public:
  using ListCallback = std::function<void(const InstanceList&)>;

  // Calls `on_list` on this thread after each successful read. Precondition:
  // `api` outlives this object.
  InstanceListThread(ObjectApi* api,
                     Duration interval,
                     Duration timeout,
                     ListCallback on_list);
  ~InstanceListThread();

  void Stop();

 private:
  void Run();

  ObjectApi* const api_;
  const Duration interval_;
  const Duration timeout_;
  const ListCallback on_list_;
  std::mutex mutex_;
  std::condition_variable state_changed_;
  bool stopping_ = false;
  std::thread thread_;
};

// Thread that watches the configuration log while it is active, that is while
// this instance is one of the fleet's watchers.
class LogWatchThread {
 public:
  using ChangeCallback = std::function<void()>;
  using WatchStateCallback = std::function<void(bool)>;

  // Calls `on_change` on this thread when the log may have a new entry, and
  // `on_watch_state` when the watch has started to work, has failed or was
  // deactivated. Precondition: `api` outlives this object.
  LogWatchThread(ObjectApi* api,
                 std::string prefix,
                 uint64_t seed,
                 ChangeCallback on_change,
                 WatchStateCallback on_watch_state);
  ~LogWatchThread();

  // While active, the thread keeps one watch call open. Otherwise it makes no
  // calls.
  void SetActive(bool active);

  void Stop();

 private:
  void Run();
  // Waits for `time`. Returns false, without waiting further, when Stop() is
  // called.
  bool WaitUnlessStopping(Duration time);

  ObjectApi* const api_;
  const std::string prefix_;
  const uint64_t seed_;
  const ChangeCallback on_change_;
  const WatchStateCallback on_watch_state_;
  std::mutex mutex_;
  std::condition_variable state_changed_;
  bool stopping_ = false;
  bool active_ = true;
  std::thread thread_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_INSTANCE_PLATFORM_THREADS_H_
