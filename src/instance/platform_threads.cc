#include "instance/platform_threads.h"

#include <algorithm>
#include <random>
#include <utility>

#include "absl/random/distributions.h"

namespace endiveyard {
namespace {

// Shorter than the time within which a configuration change must be noticed
// (8 s), so that a lost watch is detected in time.
constexpr std::chrono::seconds kWatchWait(4);
constexpr std::chrono::milliseconds kInitialBackoff(200);
constexpr std::chrono::seconds kMaxBackoff(10);

}  // namespace

InstanceListThread::InstanceListThread(ObjectApi* api,
                                       Duration interval,
                                       Duration timeout,
                                       ListCallback on_list)
    : api_(api),
      interval_(interval),
      timeout_(timeout),
      on_list_(std::move(on_list)),
      thread_([this] { Run(); }) {}

InstanceListThread::~InstanceListThread() {
  Stop();
}

void InstanceListThread::Stop() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  state_changed_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void InstanceListThread::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    const auto list = api_->ListInstances(timeout_);
    if (list.ok()) {
      on_list_(*list);
    }
    lock.lock();
    state_changed_.wait_for(lock, interval_, [&] { return stopping_; });
  }
}

LogWatchThread::LogWatchThread(ObjectApi* api,
                               std::string prefix,
                               uint64_t seed,
                               ChangeCallback on_change,
                               WatchStateCallback on_watch_state)
    : api_(api),
      prefix_(std::move(prefix)),
      seed_(seed),
      on_change_(std::move(on_change)),
      on_watch_state_(std::move(on_watch_state)),
      thread_([this] { Run(); }) {}

LogWatchThread::~LogWatchThread() {
  Stop();
}

void LogWatchThread::SetActive(bool active) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    active_ = active;
  }
  state_changed_.notify_all();
}

void LogWatchThread::Stop() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  state_changed_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

bool LogWatchThread::WaitUnlessStopping(Duration time) {
  std::unique_lock<std::mutex> lock(mutex_);
  state_changed_.wait_for(lock, time, [&] { return stopping_; });
  return !stopping_;
}

void LogWatchThread::Run() {
  std::mt19937_64 random(seed_);
  Duration backoff = kInitialBackoff;
  uint64_t since = 0;
  bool watching = false;
  bool has_revision = false;
  while (true) {
    {
      std::unique_lock<std::mutex> lock(mutex_);
      if (!active_ && watching) {
        watching = false;
        lock.unlock();
        on_watch_state_(false);
        lock.lock();
      }
      state_changed_.wait(lock, [&] { return stopping_ || active_; });
      if (stopping_) {
        return;
      }
    }
    absl::Status failure;
    if (!has_revision) {
      const auto list = api_->List(prefix_, kObjectCallTimeout);
      failure = list.status();
      if (list.ok()) {
        since = list->revision;
        has_revision = true;
        on_change_();
      }
    }
    if (has_revision) {
      const auto watch = api_->Watch(prefix_, since, kWatchWait);
      failure = watch.status();
      if (watch.ok()) {
        since = watch->revision;
        has_revision = !watch->gap;
        if (watch->gap || !watch->events.empty()) {
          on_change_();
        }
      }
    }
    if (failure.ok() != watching) {
      watching = failure.ok();
      on_watch_state_(watching);
    }
    if (failure.ok()) {
      backoff = kInitialBackoff;
      continue;
    }
    // Full jitter, so that the instances do not all retry at the same time
    // after an outage.
    const Duration delay(
        absl::Uniform<int64_t>(random, 0, backoff.count() + 1));
    backoff = std::min<Duration>(backoff * 2, kMaxBackoff);
    if (!WaitUnlessStopping(delay)) {
      return;
    }
  }
}

}  // namespace endiveyard
